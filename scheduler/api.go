package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// Planner is the interface of the core towards the shell that carries out its plans.
type Planner interface {
	// SetConfig replaces the workers, client accounts and policy. The core keeps doc and does not change it.
	SetConfig(doc *config.Document, now time.Time)
	// SetWorkerHealth reports the health of a worker; a worker without a report counts as HealthUnreachable.
	SetWorkerHealth(worker string, health Health, now time.Time)
	// Submit adds a waiting job. A malformed job gives a BadInput error, one of an unknown account NotFound, and one that
	// no configuration of the failure domain's workers could hold Infeasible. Before SetConfig only the shape is checked.
	// An id that is already known changes nothing. The failure domain of the job is the caller's business.
	Submit(job jobs.Job, now time.Time) error
	// Adopt adds a job that a previous holder of the failure domain placed.
	Adopt(job jobs.Job, attempt uint64, placement Placement, state jobs.State, now time.Time)
	// Started reports that all members of the attempt run.
	Started(job string, attempt uint64, now time.Time)
	// Ended reports that no member of the attempt uses resources any more.
	Ended(job string, attempt uint64, result Result, now time.Time)
	// Cancel removes a waiting job or plans the stop of a placed one. It reports whether the job is known.
	Cancel(job string, now time.Time) bool
	// Plan returns the starts and stops due now. The core counts their effects as under way from then on.
	Plan(now time.Time) Plan
	// Why returns one line that says what the job waits for, or its state.
	Why(job string, now time.Time) string
	// Status returns the state of one job.
	Status(job string) (jobs.Status, bool)
	// List returns the state of all jobs that have not been removed, in order of submission.
	List() []jobs.Status
	// Conditions returns what operators should know of the failure domain.
	Conditions() Conditions
}

// Health is what the shell knows about a worker.
type Health string

// The health values.
const (
	HealthUp Health = "up"
	// HealthUnreachable marks a worker that may still run its tasks. Nothing is placed there.
	HealthUnreachable Health = "unreachable"
	// HealthLeaving marks a worker to be emptied by checkpoint and stop.
	HealthLeaving Health = "leaving"
	// HealthGone marks a worker whose leases must have lapsed: its tasks do not run any more.
	HealthGone Health = "gone"
)

// Placement lists the worker of each member of a gang, by member index.
type Placement []string

// ResultKind says how an attempt ended.
type ResultKind string

// The result kinds.
const (
	ResultCompleted ResultKind = "completed"
	// ResultFailed marks a task that failed by itself; Workers names where.
	ResultFailed ResultKind = "failed"
	// ResultStopped marks a planned stop; the job waits again unless it was cancelled.
	ResultStopped ResultKind = "stopped"
	// ResultLost marks an attempt that ended because workers were lost; the job waits again unless it may run once.
	ResultLost ResultKind = "lost"
	// ResultNotStarted marks an attempt that never ran; Workers names those that refused it.
	ResultNotStarted ResultKind = "not_started"
	// ResultUnknown marks a run-once job that may have run.
	ResultUnknown ResultKind = "unknown"
)

// Result is how an attempt ended.
type Result struct {
	Kind ResultKind
	// Workers names the workers that caused a failure, a loss or a refusal.
	Workers []string
	// Detail is the reason for operators.
	Detail string
	// Checkpointed reports whether progress was saved.
	Checkpointed bool
}

// Plan is what the shell has to do now.
type Plan struct {
	Stops  []Stop
	Starts []Start
	// Condemned lists jobs that the core ended for good, such as jobs that failed on several workers.
	Condemned []Condemned
	// NextCheck is the time at which Plan must be called again without an event; zero if there is none.
	NextCheck time.Time
}

// Start asks the shell to run a job on a placement.
type Start struct {
	Job jobs.Job
	// Attempt counts from 1 in each Core, so the shell must tell the attempts of different holders apart.
	Attempt   uint64
	Placement Placement
	// Borrowed reports whether any member runs on capacity bound to another account's guarantee.
	Borrowed bool
}

// StopReason says why an attempt is stopped.
type StopReason string

// The stop reasons.
const (
	StopReclaim     StopReason = "reclaim"
	StopReservation StopReason = "reservation"
	StopCancelled   StopReason = "cancelled"
	StopDrain       StopReason = "drain"
	// StopLost stops the other members of a gang that lost one.
	StopLost StopReason = "lost"
	// StopConsolidate moves a job that saves its progress, so that free accelerators become adjacent.
	StopConsolidate StopReason = "consolidate"
)

// Stop asks the shell to stop an attempt.
type Stop struct {
	Job     string
	Attempt uint64
	Reason  StopReason
	// Checkpoint asks to save progress first, within CheckpointBound.
	Checkpoint      bool
	CheckpointBound time.Duration
}

// Condemned is a job that never runs again.
type Condemned struct {
	Job    string
	Detail string
}

// Usage is the use of resources by one account in the failure domain.
type Usage struct {
	Account string
	Used    resource.Resources
	// Borrowed is the part of Used outside the account's own guarantees, on unbound capacity or another account's.
	Borrowed resource.Resources
}
