package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// task is one entry of a worker's inventory, with the data that the worker needs to run it.
type task struct {
	infra.Task
	// reservedUntil is when a reservation expires; used in state reserved.
	reservedUntil time.Time
	// leaseUntil is when the task lease expires; used in states held, running and checkpointing.
	leaseUntil time.Time
	// heldAt is when a started task becomes held; zero if it was not started.
	heldAt  time.Time
	program taskProgram
	// progress is the work done until progressAt, as run time at full speed.
	progress   time.Duration
	progressAt time.Time
	// percent is the share of its processors that the task may use, 1 to 100.
	percent int
	// checkpointAt is when the current checkpoint completes; used in state checkpointing.
	checkpointAt time.Time
	// stopAfterCheckpoint stops the task when the current checkpoint completes.
	stopAfterCheckpoint bool
}

// taskProgram is the behaviour of a task, parsed from its command line.
type taskProgram struct {
	// work is the run time of the task at full speed; negative for a task that never ends.
	work time.Duration
	// failure is the detail with which the task fails when its work is done; empty for success.
	failure string
}

// unlimitedWork is the work of a program that never ends.
const unlimitedWork = time.Duration(-1)

// parseProgram parses a command line: "sleep SECONDS", "fail [SECONDS]" or "forever". A task with any other command
// line fails as soon as it runs.
func parseProgram(run []string) taskProgram {
	fields := strings.Fields(strings.Join(run, " "))
	if len(fields) == 0 {
		return taskProgram{failure: "empty command line"}
	}
	work, err := parseSeconds(fields[1:])
	switch {
	case err != nil:
		return taskProgram{failure: "command " + fields[0] + ": " + err.Error()}
	case fields[0] == "sleep":
		return taskProgram{work: work}
	case fields[0] == "fail":
		return taskProgram{work: work, failure: "task failed as its command line asks"}
	case fields[0] == "forever":
		return taskProgram{work: unlimitedWork}
	}
	return taskProgram{failure: "unknown command " + fields[0]}
}

func parseSeconds(fields []string) (time.Duration, error) {
	if len(fields) == 0 {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil || seconds < 0 {
		return 0, fmt.Errorf("%q is not a number of seconds", fields[0])
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// checkpointPrefix precedes the progress in the name of a checkpoint. The progress is in the name so that any worker
// can resume from the checkpoint.
const checkpointPrefix = "progress-ms-"

func checkpointName(job string, progress time.Duration) string {
	return job + "/" + checkpointPrefix + strconv.FormatInt(progress.Milliseconds(), 10)
}

// checkpointProgress returns the progress in the name of a checkpoint, 0 for a name of another form.
func checkpointProgress(name string) time.Duration {
	_, number, _ := strings.Cut(name, checkpointPrefix)
	ms, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// addProgress adds the work done between progressAt and now.
func (t *task) addProgress(now time.Time) {
	if t.State == infra.TaskRunning && now.After(t.progressAt) {
		t.progress += now.Sub(t.progressAt) * time.Duration(t.percent) / 100
	}
	t.progressAt = now
}

// nextTransition returns when the task next changes its state without a command; zero if it does not.
func (t *task) nextTransition() time.Time {
	switch t.State {
	case infra.TaskReserved:
		if !t.heldAt.IsZero() {
			return earlier(t.heldAt, t.leaseUntil)
		}
		return t.reservedUntil
	case infra.TaskHeld:
		return t.leaseUntil
	case infra.TaskRunning:
		if t.program.work < 0 {
			return t.leaseUntil
		}
		remaining := max(t.program.work-t.progress, 0) * 100 / time.Duration(t.percent)
		return earlier(t.progressAt.Add(remaining), t.leaseUntil)
	case infra.TaskCheckpointing:
		return earlier(t.checkpointAt, t.leaseUntil)
	}
	return time.Time{}
}

// transition applies the state change that is due at now. It reports whether the task remains in the inventory.
func (t *task) transition(now time.Time) bool {
	t.addProgress(now)
	switch {
	case t.State == infra.TaskReserved && t.heldAt.IsZero():
		return false
	case !now.Before(t.leaseUntil):
		t.State, t.Detail = infra.TaskLeaseExpired, "task lease lapsed"
	case t.State == infra.TaskReserved:
		t.State = infra.TaskHeld
	case t.State == infra.TaskRunning:
		t.complete()
	case t.State == infra.TaskCheckpointing:
		t.completeCheckpoint()
	}
	return true
}

// complete ends a task whose work is done.
func (t *task) complete() {
	t.State = infra.TaskDone
	if t.program.failure != "" {
		t.State, t.Detail = infra.TaskFailed, t.program.failure
	}
}

// completeCheckpoint records the checkpoint and resumes the task, or stops it if stopAfterCheckpoint is set.
func (t *task) completeCheckpoint() {
	t.Checkpoint = checkpointName(t.Attempt.Job, t.progress)
	t.State = infra.TaskRunning
	if t.stopAfterCheckpoint {
		t.State = infra.TaskStopped
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
