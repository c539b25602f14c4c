// Package workload defines the jobs that callers submit to queues, the durable state of their tasks, and the workers and
// configuration on which scheduling depends.
package workload

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Limits of a submission.
const (
	maxSpecificationBytes = 4000
	maxTasksPerStep       = 10_000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps       = 1_000
	maxRepetitions = 10_000
)

// MaxTaskStateBytes bounds the encoded state of one task, with its share of the table of worker names.
const MaxTaskStateBytes = 64

// JobID identifies a job. The caller chooses it, and it is never used for another job.
type JobID string

// Step is a set of identical tasks.
type Step struct {
	Tasks  int
	Demand resource.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// After lists the indexes of earlier steps that must be complete before this one starts.
	After []int
	// Checkpointing tasks can resume from a saved checkpoint.
	Checkpointing bool
	// Gang tasks run all at the same time or not at all.
	Gang bool
	// SameRack tasks run slower if they are spread over several racks.
	SameRack bool
	// RequiredLabel is a label that the worker must have; empty for any worker.
	RequiredLabel string
	// DataRack is the rack that holds the input data; tasks are slower in other racks. Empty for none.
	DataRack string
	// MaxPerWorker is the largest number of tasks of one repetition of the step on one worker; 0 for no limit.
	MaxPerWorker int
	// Speculative tasks may run as parallel copies.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image is the name of the image that the tasks run; empty for none.
	Image string
	// LatencyTarget is the upper limit for the tail latency of a long-running task; 0 for none.
	LatencyTarget time.Duration
	// Filler tasks use only processor time that other tasks leave idle.
	Filler bool
	// MaxUnavailable is the largest number of long-running tasks of the step that the scheduler itself may make unavailable
	// at once.
	MaxUnavailable int
}

// Job is a job as submitted by its caller.
type Job struct {
	ID    JobID
	Queue string
	// Service is the service of the queue when the job was accepted.
	Service string
	// Priority and MaxFailedRuns are those of the queue when the job was accepted, ConfigVersion is the version of the configuration
	// then. MaxFailedRuns is 0 in records of versions that did not store them.
	Priority      int
	MaxFailedRuns int
	ConfigVersion int64
	// SlackFactor and Target are those of the queue when the job was accepted; both are 0 in records of versions that did not store
	// them.
	SlackFactor float64
	Target      time.Duration
	// Account is the client account whose key authorised the submission; empty on a public queue.
	Account string
	// Origin is that of the submission; its values are 0 in records of versions that did not store it.
	Origin Origin
	// Specification is passed to the workers without being interpreted.
	Specification string
	Steps         []Step
	// Repetitions is how many times the steps run; 0 means once, without a due time.
	Repetitions int
	// FirstRun is the due time of the first repetition, Interval the time between the due times of two repetitions.
	FirstRun time.Time
	Interval time.Duration
	// AcceptedAt is the wall time at which the job was submitted.
	AcceptedAt time.Time
}

// unknownPriority is the priority of a job whose queue is not known: below that of all other work.
const unknownPriority = 2

// AcceptedPolicy returns the policy of the queue when the job was accepted. For a record that lacks it, the job may fail once.
func (j *Job) AcceptedPolicy() QueuePolicy {
	if j.MaxFailedRuns == 0 {
		return QueuePolicy{Service: j.Service, Priority: unknownPriority, MaxFailedRuns: 1}
	}
	return QueuePolicy{
		Service: j.Service, Priority: j.Priority, MaxFailedRuns: j.MaxFailedRuns, Version: j.ConfigVersion,
		SlackFactor: j.SlackFactor, Target: j.Target,
	}
}

// SetPolicy sets the service and the settings of the job's queue as of its acceptance.
func (j *Job) SetPolicy(p QueuePolicy) {
	j.Service, j.Priority, j.MaxFailedRuns, j.ConfigVersion = p.Service, p.Priority, p.MaxFailedRuns, p.Version
	j.SlackFactor, j.Target = p.SlackFactor, p.Target
}

// RepetitionCount returns how many times the steps of the job run, at least 1.
func (j *Job) RepetitionCount() int { return max(1, j.Repetitions) }

// Scheduled reports whether the job's repetitions have due times.
func (j *Job) Scheduled() bool { return j.Repetitions > 0 }

// DueAt returns the due time of a repetition, counted from 0; the zero time if the job has none.
func (j *Job) DueAt(repetition int) time.Time {
	if !j.Scheduled() {
		return time.Time{}
	}
	return j.FirstRun.Add(time.Duration(repetition) * j.Interval)
}

// Validate returns a BadInput error that describes the first invalid value of the job; nil if the job is valid.
func (j *Job) Validate() error {
	if len(j.Specification) > maxSpecificationBytes {
		return invalid("the specification has %d bytes, at most %d are allowed", len(j.Specification), maxSpecificationBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("the job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repetitions < 0 || j.Repetitions > maxRepetitions {
		return invalid("the job has %d repetitions, 0 to %d are allowed", j.Repetitions, maxRepetitions)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// Tasks returns the number of tasks of one repetition.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// CheckStateSize returns a TooLarge error if the state of the job might not fit into one record of maxBytes while one
// repetition runs. Such a state could not be stored, and what is not stored is not started.
func (j *Job) CheckStateSize(maxBytes int) error {
	ended := j.RepetitionCount() * (len(j.Steps) + 1)
	if size := ended + j.Tasks()*MaxTaskStateBytes; size > maxBytes {
		return errkind.New(errkind.TooLarge, "split the job into several with fewer tasks or repetitions",
			"the job of %d tasks and %d repetitions needs up to %d bytes of state, at most %d can be stored",
			j.Tasks(), j.RepetitionCount(), size, maxBytes)
	}
	return nil
}

// EffectiveDemand returns the resources that a task of the step takes from a worker's capacity. Filler tasks use only processors that other
// tasks leave idle, and so take none.
func (s *Step) EffectiveDemand() resource.Resources {
	demand := s.Demand
	if s.Filler {
		demand.MilliCPU = 0
	}
	return demand
}

// MaxDemand returns the largest effective demand of any task of the job, of each resource by itself.
func (j *Job) MaxDemand() resource.Resources {
	var most resource.Resources
	for i := range j.Steps {
		demand := j.Steps[i].EffectiveDemand()
		most.Accelerators = max(most.Accelerators, demand.Accelerators)
		most.MilliCPU = max(most.MilliCPU, demand.MilliCPU)
		most.MemoryMB = max(most.MemoryMB, demand.MemoryMB)
	}
	return most
}

// Ended returns what has to be known of the job once it has ended: whose it is, and what a run of it that goes on may take from its worker.
// It shares no memory with the job but its names.
func (j *Job) Ended() *Job {
	return &Job{
		ID: j.ID, Queue: j.Queue, Service: j.Service, Account: j.Account, Origin: j.Origin, AcceptedAt: j.AcceptedAt,
		Steps: []Step{{Tasks: 1, Demand: j.MaxDemand()}},
	}
}

func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > maxTasksPerStep {
		return invalid("step %d has %d tasks, 1 to %d are allowed", index, s.Tasks, maxTasksPerStep)
	}
	d := s.Demand
	if d.Accelerators < 0 || d.MilliCPU < 0 || d.MemoryMB < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return invalid("step %d has a negative resource demand or limit", index)
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return invalid("step %d depends on step %d, which is not an earlier step", index, predecessor)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.BadInput, "correct the submission and submit it again", format, args...)
}

// TaskID identifies one task of one repetition of a step. Repetition, Step and Index are counted from 0.
type TaskID struct {
	Job        JobID
	Repetition int
	Step       int
	Index      int
}

// String returns the task's name as used in log lines: JOB.REPETITION.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Repetition, t.Step, t.Index)
}
