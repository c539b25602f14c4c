// Package jobs defines jobs, the records of a failure domain's job stream, and the fold of that stream.
package jobs

import (
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// Job is a gang of tasks that runs for one client account in one failure domain.
type Job struct {
	// ID is chosen by the submitter. A second submission with the same id and content refers to the same job.
	ID            string         `json:"id" cbor:"id"`
	Account       string         `json:"account" cbor:"account"`
	FailureDomain string         `json:"failure_domain" cbor:"failure_domain"`
	Shape         resource.Shape `json:"shape" cbor:"shape"`
	// Urgent marks a job that is planned before others and starts within 1.8 s if no capacity has to be reclaimed for it.
	Urgent bool `json:"urgent,omitempty" cbor:"urgent,omitempty"`
	// RunOnce marks a job that never runs twice. After a checkpointed stop it continues from its checkpoints.
	RunOnce bool `json:"run_once,omitempty" cbor:"run_once,omitempty"`
	// CanCheckpoint marks a job that can save its progress before a stop.
	CanCheckpoint bool `json:"can_checkpoint,omitempty" cbor:"can_checkpoint,omitempty"`
	// DeclaredRunSeconds is the submitter's estimate of the run time in seconds. No guarantee depends on it.
	DeclaredRunSeconds int64 `json:"declared_run_seconds,omitempty" cbor:"declared_run_seconds,omitempty"`
	// Run is the command line of each task: the program and its arguments.
	Run []string `json:"run" cbor:"run"`
	// Submitted is the time of submission by the clock of the gateway that recorded the job.
	Submitted time.Time `json:"submitted" cbor:"submitted"`
}

// Stoppable reports whether stopping the running job breaks no guarantee, because it saves its progress or may run again.
func (j Job) Stoppable() bool { return j.CanCheckpoint || !j.RunOnce }

// State is the state of a job.
type State string

// The job states.
const (
	StateWaiting   State = "waiting"
	StateStarting  State = "starting"
	StateRunning   State = "running"
	StateStopping  State = "stopping"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	// StateUnknown marks a run-once job that may have run but is in no worker's inventory.
	StateUnknown State = "unknown"
)

// Final reports whether s is a final state, which a job never leaves.
func (s State) Final() bool {
	switch s {
	case StateCompleted, StateFailed, StateCancelled, StateUnknown:
		return true
	}
	return false
}

// Status is a job with its current state, as shown to operators.
type Status struct {
	Job   Job   `json:"job" cbor:"job"`
	State State `json:"state" cbor:"state"`
	// Attempt is the number of the current or last known attempt; 0 if there was none.
	Attempt uint64 `json:"attempt" cbor:"attempt"`
	// Reason says why the job is waiting, starting or stopping, or has ended; empty while it runs.
	Reason string `json:"reason,omitempty" cbor:"reason,omitempty"`
	// Workers holds the worker of each member while the job is placed.
	Workers []string `json:"workers,omitempty" cbor:"workers,omitempty"`
}
