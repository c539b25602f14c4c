package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// task is one entry of a worker's inventory with what the worker needs to run it.
type task struct {
	infra.Task
	// reservedUntil is when a reservation expires; used in state reserved.
	reservedUntil time.Time
	// leaseUntil is when the task lease lapses; used in states held, running and checkpointing.
	leaseUntil time.Time
	// residentAt is when a started task becomes held; zero if it was not started.
	residentAt time.Time
	run        program
	// progress is the work done up to progressAt.
	progress   time.Duration
	progressAt time.Time
	// percent is the share of its processors that the task may use, 1 to 100.
	percent int
	// checkpointAt is when a checkpoint is written; used in state checkpointing.
	checkpointAt time.Time
	// stopAfterCheckpoint ends the task when the checkpoint is written.
	stopAfterCheckpoint bool
}

// program is what a task does.
type program struct {
	// length is the work until the end; negative for a task that never ends.
	length time.Duration
	// failure is the detail with which the task fails at its end; empty for success.
	failure string
}

// endless is the length of a program that never ends.
const endless = time.Duration(-1)

// parseProgram reads a command line: "sleep SECONDS", "fail [SECONDS]" or "forever". Any other command fails at once.
func parseProgram(run []string) program {
	words := strings.Fields(strings.Join(run, " "))
	if len(words) == 0 {
		return program{failure: "empty command line"}
	}
	length, err := parseSeconds(words[1:])
	switch {
	case err != nil:
		return program{failure: "command " + words[0] + ": " + err.Error()}
	case words[0] == "sleep":
		return program{length: length}
	case words[0] == "fail":
		return program{length: length, failure: "task failed as its command line asks"}
	case words[0] == "forever":
		return program{length: endless}
	}
	return program{failure: "unknown command " + words[0]}
}

func parseSeconds(words []string) (time.Duration, error) {
	if len(words) == 0 {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(words[0], 64)
	if err != nil || seconds < 0 {
		return 0, fmt.Errorf("%q is not a number of seconds", words[0])
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// A checkpoint's name holds the progress, so that every worker can start from it.
const checkpointPrefix = "progress-ms-"

func checkpointName(job string, progress time.Duration) string {
	return job + "/" + checkpointPrefix + strconv.FormatInt(progress.Milliseconds(), 10)
}

// checkpointProgress returns the progress in a checkpoint's name, 0 for a name of another form.
func checkpointProgress(name string) time.Duration {
	_, number, _ := strings.Cut(name, checkpointPrefix)
	ms, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// progressTo adds the work done until now.
func (t *task) progressTo(now time.Time) {
	if t.State == infra.TaskRunning && now.After(t.progressAt) {
		t.progress += now.Sub(t.progressAt) * time.Duration(t.percent) / 100
	}
	t.progressAt = now
}

// nextChange returns when the task changes by itself; zero if it does not.
func (t *task) nextChange() time.Time {
	switch t.State {
	case infra.TaskReserved:
		if !t.residentAt.IsZero() {
			return earlier(t.residentAt, t.leaseUntil)
		}
		return t.reservedUntil
	case infra.TaskHeld:
		return t.leaseUntil
	case infra.TaskRunning:
		if t.run.length < 0 {
			return t.leaseUntil
		}
		rest := max(t.run.length-t.progress, 0) * 100 / time.Duration(t.percent)
		return earlier(t.progressAt.Add(rest), t.leaseUntil)
	case infra.TaskCheckpointing:
		return earlier(t.checkpointAt, t.leaseUntil)
	}
	return time.Time{}
}

// change carries out the change due at now. It reports whether the task remains in the inventory.
func (t *task) change(now time.Time) bool {
	t.progressTo(now)
	switch {
	case t.State == infra.TaskReserved && t.residentAt.IsZero():
		return false
	case !now.Before(t.leaseUntil):
		t.State, t.Detail = infra.TaskLapsed, "task lease lapsed"
	case t.State == infra.TaskReserved:
		t.State = infra.TaskHeld
	case t.State == infra.TaskRunning:
		t.end()
	case t.State == infra.TaskCheckpointing:
		t.saved()
	}
	return true
}

// end ends a task whose work is done.
func (t *task) end() {
	t.State = infra.TaskDone
	if t.run.failure != "" {
		t.State, t.Detail = infra.TaskFailed, t.run.failure
	}
}

// saved completes a checkpoint.
func (t *task) saved() {
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
