// Package workload holds the jobs that callers submit on queues, the state of their tasks, and the workers and
// configuration that decide where tasks run.
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
	maxSteps              = 1_000
	maxRepetitions        = 10_000
)

// JobID is chosen by the caller and names the job for good.
type JobID string

// Step is a set of equal tasks.
type Step struct {
	Tasks  int
	Demand resource.Resources
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration
	// After lists earlier steps that must be complete first.
	After []int
	// Checkpointing tasks can resume from a saved checkpoint.
	Checkpointing bool
	// Gang tasks run together or not at all.
	Gang bool
	// SameRack tasks are slower on more than one rack.
	SameRack bool
	// RequiredLabel is a label that the worker must carry; empty for any.
	RequiredLabel string
	// DataRack is the rack that holds the input; tasks are slower elsewhere. Empty for none.
	DataRack string
	// MaxPerWorker bounds the tasks of one repetition of the step on one worker; 0 for no bound.
	MaxPerWorker int
	// Speculative tasks may run as parallel copies.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run.
	Image string
	// LatencyTarget bounds the tail latency of a long-running task; 0 for none.
	LatencyTarget time.Duration
	// Filler tasks use the processors that other tasks leave idle.
	Filler bool
	// MaxUnavailable is how many long-running tasks may be down at once by the scheduler's own doing.
	MaxUnavailable int
}

// Job is a submission as its caller made it.
type Job struct {
	ID    JobID
	Queue string
	// Service is the service of the queue when the job was accepted.
	Service string
	// Account is the client account whose key carried the submission; empty on a public queue.
	Account string
	// Specification is passed to the workers unread.
	Specification string
	Steps         []Step
	// Repetitions is how many times the steps run; 0 means once, without a due time.
	Repetitions int
	// FirstRun is the due time of the first repetition, Interval the time between two.
	FirstRun time.Time
	Interval time.Duration
	// AcceptedAt is the wall time at which the job was handed in.
	AcceptedAt time.Time
}

// Runs returns how many times the steps of the job run.
func (j *Job) Runs() int { return max(1, j.Repetitions) }

// Scheduled reports whether the job has due times.
func (j *Job) Scheduled() bool { return j.Repetitions > 0 }

// DueAt returns the due time of a repetition; the zero time if the job has none.
func (j *Job) DueAt(repetition int) time.Time {
	if !j.Scheduled() {
		return time.Time{}
	}
	return j.FirstRun.Add(time.Duration(repetition) * j.Interval)
}

// Validate returns a BadInput error that names the first fault of the job, nil if it has none.
func (j *Job) Validate() error {
	if len(j.Specification) > maxSpecificationBytes {
		return invalid("the specification has %d bytes, at most %d are allowed", len(j.Specification), maxSpecificationBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return invalid("the job has %d steps, 1 to %d are allowed", len(j.Steps), maxSteps)
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

func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > maxTasksPerStep {
		return invalid("step %d has %d tasks, 1 to %d are allowed", index, s.Tasks, maxTasksPerStep)
	}
	d := s.Demand
	if d.Accelerators < 0 || d.MilliCPU < 0 || d.MemoryMB < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return invalid("step %d has a negative amount", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return invalid("step %d waits for step %d, which is not an earlier one", index, before)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.BadInput, "correct the submission and hand it in again", format, args...)
}

// TaskID names one task of one repetition of a step.
type TaskID struct {
	Job        JobID
	Repetition int
	Step       int
	Index      int
}

// String returns the task's name in log lines.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Repetition, t.Step, t.Index)
}
