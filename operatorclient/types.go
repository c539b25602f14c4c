package operatorclient

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/operatorapi"
)

// The wire types that the packages of the configuration and of the operator API define.
type (
	// Op changes one item of the configuration document.
	Op = config.Op
	// Patch is a change against a numbered version of the configuration.
	Patch = config.Patch
	// Document is the configuration document.
	Document = config.Document
	// Decision is what became of a patch, withdrawal or initialise record.
	Decision = configlog.Decision
	// LogEntry is a decision with one line for each field that it changed.
	LogEntry = operatorapi.LogEntry
	// FollowerStatus is what a gateway knows about its own copy of the configuration.
	FollowerStatus = configlog.Status
	// PlanResult is what a patch would change.
	PlanResult = operatorapi.PlanResult
	// ConfigStatus is the configuration in force on the answering gateway and on every entry VM.
	ConfigStatus = operatorapi.StatusResult
	// Health is the health of the answering gateway and what it sees of the others.
	Health = operatorapi.HealthResult
	// JobOutcome is the answer to a submission or cancellation.
	JobOutcome = operatorapi.JobResult
	// Why tells what a job waits for.
	Why = operatorapi.WhyResult
)
