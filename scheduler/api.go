package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// Planner is the interface between the placement core and the caller that carries out its plans.
type Planner interface {
	// SetConfig replaces the workers, client accounts and policy. The core keeps a reference to doc and does not modify
	// it.
	SetConfig(doc *config.Document, now time.Time)
	// SetWorkerHealth records the health of a worker, which need not be in the configuration. A worker that was never
	// reported counts as HealthUnreachable.
	SetWorkerHealth(worker string, health Health, now time.Time)
	// Submit adds a waiting job. It returns a BadInput error for a malformed job, NotFound for an unknown account, and
	// Infeasible for a job that the configured workers of the failure domain could not hold even if they were all empty
	// and healthy, or that exceeds the quota of its account. Before the first SetConfig only the shape is validated.
	// Submitting a known id again has no effect. The caller must submit a job only to the core of the job's failure
	// domain.
	Submit(job jobs.Job, now time.Time) error
	// Adopt adds a job that the previous holder of the failure domain's schedule placed, with the state of its attempt:
	// starting, running or stopping. It has no effect on a job that is already placed or has ended.
	Adopt(job jobs.Job, attempt uint64, placement Placement, state jobs.State, now time.Time)
	// Started records that all members of the attempt are running. It is ignored for any attempt but the current one.
	Started(job string, attempt uint64, now time.Time)
	// Ended records that no member of the attempt uses resources any longer. It is ignored for any attempt but the
	// current one.
	Ended(job string, attempt uint64, result Result, now time.Time)
	// Cancel removes a waiting job, or plans the stop of a placed one. It reports whether the job is known.
	Cancel(job string, now time.Time) bool
	// Plan returns the starts and stops that are due now. From then on the core counts them as in progress.
	Plan(now time.Time) Plan
	// Why returns a one-line explanation of what a waiting job waits for, or the state of any other job.
	Why(job string, now time.Time) string
	// Status returns the state of one job. The result is false if the job is not known.
	Status(job string) (jobs.Status, bool)
	// List returns the state of all known jobs in order of submission. The oldest ended jobs are eventually removed.
	List() []jobs.Status
	// Conditions returns the conditions of the failure domain that operators should know of.
	Conditions() Conditions
}

// Health is the caller's view of a worker.
type Health string

// The health values.
const (
	HealthUp Health = "up"
	// HealthUnreachable marks a worker that does not respond but may still run its tasks. Nothing new is placed there.
	HealthUnreachable Health = "unreachable"
	// HealthLeaving marks a worker that must be drained: its jobs save their progress if they can, and stop.
	HealthLeaving Health = "leaving"
	// HealthGone marks a worker whose leases have certainly expired, so its tasks no longer run.
	HealthGone Health = "gone"
)

// Placement lists the worker of each member of a gang, by member index.
type Placement []string

// ResultKind says how an attempt ended.
type ResultKind string

// The result kinds.
const (
	ResultCompleted ResultKind = "completed"
	// ResultFailed marks an attempt in which a task failed; Workers names the workers on which it failed.
	ResultFailed ResultKind = "failed"
	// ResultStopped marks a planned stop. The job waits again unless it was cancelled, or is a run-once job that saved
	// no progress.
	ResultStopped ResultKind = "stopped"
	// ResultLost marks an attempt that ended because workers were lost. The job waits again unless it is a run-once
	// job.
	ResultLost ResultKind = "lost"
	// ResultNotStarted marks an attempt that never ran; Workers names the workers that rejected it.
	ResultNotStarted ResultKind = "not_started"
	// ResultUnknown marks an attempt of a run-once job that may have run.
	ResultUnknown ResultKind = "unknown"
)

// Result describes how an attempt ended.
type Result struct {
	Kind ResultKind
	// Workers names the workers that caused a failure or a loss, or that rejected a start.
	Workers []string
	// Detail is the reason that operators are shown.
	Detail string
	// Checkpointed reports whether progress was saved.
	Checkpointed bool
}

// Plan lists the actions that the caller must carry out now, the stops before the starts.
type Plan struct {
	Stops  []Stop
	Starts []Start
	// PermanentFailures lists jobs that the core failed permanently, such as jobs that failed on several workers.
	PermanentFailures []PermanentFailure
	// NextCheck is the time at which Plan must be called even if no event arrives; zero if there is none.
	NextCheck time.Time
}

// Start asks the caller to run a job on a placement.
type Start struct {
	Job jobs.Job
	// Attempt counts from 1 in each Core, so the caller must distinguish the attempts of different schedulers of the
	// failure domain.
	Attempt   uint64
	Placement Placement
	// Borrowed reports whether any member runs on capacity that is bound to an unclaimed cell.
	Borrowed bool
}

// StopReason says why an attempt is stopped.
type StopReason string

// The stop reasons.
const (
	// StopReclaim makes room for a claim, or keeps the account of the claim within its quota.
	StopReclaim StopReason = "reclaim"
	// StopReservation makes room for a job with a reservation.
	StopReservation StopReason = "reservation"
	StopCancelled   StopReason = "cancelled"
	// StopDrain stops a job on a worker that is drained, leaving or overcommitted, for example after the configuration
	// reduced its capacity.
	StopDrain StopReason = "drain"
	// StopLost stops the remaining members of a gang that lost one.
	StopLost StopReason = "lost"
	// StopConsolidate stops a job in order to move it, so that free accelerators become adjacent.
	StopConsolidate StopReason = "consolidate"
)

// Stop asks the caller to stop an attempt.
type Stop struct {
	Job     string
	Attempt uint64
	Reason  StopReason
	// Checkpoint asks to save progress first, within CheckpointBound.
	Checkpoint      bool
	CheckpointBound time.Duration
}

// PermanentFailure is a job that failed permanently and is not started again.
type PermanentFailure struct {
	Job    string
	Detail string
}

// Usage is the resource usage of one account in the failure domain.
type Usage struct {
	Account string
	Used    resource.Resources
	// OutsideGuarantees is the part of Used by jobs that run in no cell of their account, on unbound capacity or on
	// capacity that is bound to cells. It includes capacity that Start.Borrowed counts as borrowed.
	OutsideGuarantees resource.Resources
}
