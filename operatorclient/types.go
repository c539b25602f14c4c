package operatorclient

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/operatorapi"
)

// Types of request and response bodies, defined in the packages config, configlog and operatorapi.
type (
	// Op is a change to one item of the configuration document.
	Op = config.Op
	// Patch is a change to a given version of the configuration.
	Patch = config.Patch
	// Document is the configuration document.
	Document = config.Document
	// Decision is the outcome of a patch, a withdrawal or an initialisation.
	Decision = configlog.Decision
	// LogEntry is a decision in the configuration log, with one line for each changed field.
	LogEntry = operatorapi.LogEntry
	// FollowerStatus is the status of a gateway's own copy of the configuration.
	FollowerStatus = configlog.Status
	// PlanResult lists the changes that a patch would make.
	PlanResult = operatorapi.PlanResult
	// ConfigStatus is the configuration in force on the responding gateway and on every entry VM.
	ConfigStatus = operatorapi.StatusResult
	// Health is the health of the responding gateway and of its peers as the gateway observes them.
	Health = operatorapi.HealthResult
	// JobOutcome is the response to a submission or cancellation.
	JobOutcome = operatorapi.JobResult
	// Why is the reason for the state of a job.
	Why = operatorapi.WhyResult
)
