package operatorclient

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/operatorapi"
)

// The wire types that the configuration packages define.
type (
	// Op changes one item of the configuration document.
	Op = config.Op
	// Patch is a change against a numbered version of the configuration.
	Patch = config.Patch
	// Document is the configuration document.
	Document = config.Document
	// Decision is what became of a patch, withdrawal or initialise record.
	Decision = configlog.Decision
	// FollowerStatus is what a gateway knows about its own copy of the configuration.
	FollowerStatus = configlog.Status
)

// PlanResult is what a patch would change.
type PlanResult struct {
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
	Changes []Op   `json:"changes"`
}

// VMVersion is the configuration in force on one entry VM.
type VMVersion struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// Version is a number, or "unknown" for a VM that cannot be seen.
	Version any    `json:"version"`
	Digest  string `json:"digest,omitempty"`
}

// ConfigStatus is the configuration in force on the answering gateway and on every entry VM.
type ConfigStatus struct {
	Self FollowerStatus `json:"self"`
	VMs  []VMVersion    `json:"vms"`
}

// Health is the health of the answering gateway and what it sees of the others.
type Health struct {
	Ready         bool                     `json:"ready"`
	Configuration FollowerStatus           `json:"configuration"`
	Peers         []operatorapi.PeerHealth `json:"peers"`
	// ActiveSchedulers holds the VM of the active scheduler by failure domain.
	ActiveSchedulers map[string]string `json:"active_schedulers"`
}

// JobOutcome is the answer to a submission or cancellation.
type JobOutcome struct {
	Outcome string      `json:"outcome"`
	Job     jobs.Status `json:"job"`
}

// Why tells what a job waits for.
type Why struct {
	ID  string `json:"id"`
	Why string `json:"why"`
}
