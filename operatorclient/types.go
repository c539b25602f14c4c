package operatorclient

import (
	"encoding/json"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// Ops of a patch.
const (
	OpSet    = "set"
	OpRemove = "remove"
)

// Op changes one item of the configuration document.
type Op struct {
	// Op is OpSet or OpRemove.
	Op string `json:"op"`
	// Path names the item, for example accounts/orders.
	Path string `json:"path"`
	// Value is the item's JSON form; used by OpSet.
	Value json.RawMessage `json:"value,omitempty"`
}

// Patch is a change against a numbered version of the configuration.
type Patch struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Ops    []Op   `json:"ops"`
}

// Decision is what became of a patch, withdrawal or initialise record.
type Decision struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	// Outcome is "accepted", "refused" or "unknown".
	Outcome string `json:"outcome"`
	// Version is the one that an accepted patch made, else the one in force at the refusal.
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	// AtMS is the submitting gateway's clock in Unix milliseconds.
	AtMS      int64 `json:"at_ms"`
	Withdrawn bool  `json:"withdrawn,omitempty"`
	Ops       []Op  `json:"ops,omitempty"`
	// Error says why the patch was refused or is unknown.
	Error *errkind.Error `json:"error,omitempty"`
}

// OutcomeAccepted is the outcome of a patch that is in force.
const OutcomeAccepted = "accepted"

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

// FollowerStatus is what a gateway knows about its own copy of the configuration.
type FollowerStatus struct {
	HasConfig    bool            `json:"has_config"`
	Version      uint64          `json:"version"`
	Next         uint64          `json:"next"`
	LogReachable bool            `json:"log_reachable"`
	LogError     string          `json:"log_error,omitempty"`
	Stopped      json.RawMessage `json:"stopped,omitempty"`
	Alarm        string          `json:"alarm,omitempty"`
}

// ConfigStatus is the configuration in force on the answering gateway and on every entry VM.
type ConfigStatus struct {
	Self FollowerStatus `json:"self"`
	VMs  []VMVersion    `json:"vms"`
}

// PeerHealth is a peer as the answering gateway sees it.
type PeerHealth struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
}

// Health is the health of the answering gateway and what it sees of the others.
type Health struct {
	Ready         bool           `json:"ready"`
	Configuration FollowerStatus `json:"configuration"`
	Peers         []PeerHealth   `json:"peers"`
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

// Document is the configuration document.
type Document = config.Document
