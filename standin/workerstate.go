package standin

import (
	"fmt"
	"sort"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

// WorkerFaults holds the faults of a worker.
type WorkerFaults struct {
	connectionFaults
	// LoseResponses is the number of upcoming commands requests that take effect but whose response is lost.
	LoseResponses int `json:"lose_responses,omitempty"`
	// FailTasks makes every task fail when it is released.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// NeverFinish keeps every task running until it is stopped.
	NeverFinish bool `json:"never_finish,omitempty"`
	// SlowStartMS is the time that a started task needs to become held, in milliseconds.
	SlowStartMS int64 `json:"slow_start_ms,omitempty"`
	// Leaving reports the worker as leaving; it accepts no new reservations.
	Leaving bool `json:"leaving,omitempty"`
	// Restart simulates one restart of the VM: tasks, lease and epoch are lost and the incarnation changes.
	Restart bool `json:"restart,omitempty"`
}

// WorkerOptions holds the properties of a worker.
type WorkerOptions struct {
	ID       string
	Capacity resource.Resources
	// UsageLag is the delay with which the inventory reports the resources in use.
	UsageLag time.Duration
	// CheckpointTime is the duration of a checkpoint.
	CheckpointTime time.Duration
}

// TaskRun counts the releases of one member of a job, over all attempts.
type TaskRun struct {
	Worker string `json:"worker"`
	Job    string `json:"job"`
	Member int    `json:"member"`
	Count  int    `json:"count"`
}

// workerState is the state machine of a worker, without a clock and I/O. Worker passes the current time and calls advance
// with it before any other method.
type workerState struct {
	options WorkerOptions
	faults  WorkerFaults
	// incarnation is the number of starts of the VM, from 1. revision increases with every change of the inventory.
	incarnation int
	revision    uint64

	holder string
	epoch  uint64
	// leaseUntil is when the holder lease expires.
	leaseUntil time.Time

	tasks []*task
	// usage holds the resources in use after each change, oldest first, back to the sample that UsageLag makes visible.
	usage []usageSample
	// runs counts the releases of each member of a job, over all attempts.
	runs map[taskRunKey]int
}

type usageSample struct {
	at   time.Time
	used resource.Resources
}

type taskRunKey struct {
	job    string
	member int
}

func newWorkerState(options WorkerOptions) *workerState {
	return &workerState{
		options:     options,
		incarnation: 1,
		revision:    1,
		usage:       []usageSample{{}},
		runs:        make(map[taskRunKey]int),
	}
}

// setFaults replaces the faults; Restart takes effect at once.
func (s *workerState) setFaults(f WorkerFaults, now time.Time) {
	if f.Restart {
		s.restart(now)
		f.Restart = false
	}
	s.faults = f
	s.revision++
}

// restart drops the state that the VM kept in memory. The revision keeps increasing, so that no holder mistakes the new
// inventory for one that it already has.
func (s *workerState) restart(now time.Time) {
	s.incarnation++
	s.tasks = nil
	s.holder, s.epoch, s.leaseUntil = "", 0, time.Time{}
	s.recordChange(now)
}

// advance applies all state changes that are due by now, in chronological order.
func (s *workerState) advance(now time.Time) {
	for {
		next := s.nextDueTask()
		if next == nil || next.nextTransition().After(now) {
			break
		}
		at := next.nextTransition()
		if !next.transition(at) {
			s.removeTask(next)
		}
		s.recordChange(at)
	}
	s.dropOldUsage(now)
}

// nextDueTask returns the task with the earliest transition; nil if no task has one.
func (s *workerState) nextDueTask() *task {
	var first *task
	for _, t := range s.tasks {
		at := t.nextTransition()
		if !at.IsZero() && (first == nil || at.Before(first.nextTransition())) {
			first = t
		}
	}
	return first
}

// recordChange increments the revision of the inventory and samples the resources in use.
func (s *workerState) recordChange(at time.Time) {
	s.revision++
	s.usage = append(s.usage, usageSample{at: at, used: s.used()})
}

// dropOldUsage drops the samples that are older than the one reported at now. It increments the revision if the reported
// usage changes.
func (s *workerState) dropOldUsage(now time.Time) {
	visible := now.Add(-s.options.UsageLag)
	for len(s.usage) > 1 && !s.usage[1].at.After(visible) {
		if s.usage[1].used != s.usage[0].used {
			s.revision++
		}
		s.usage = s.usage[1:]
	}
}

// used returns the resources of all tasks that have not ended.
func (s *workerState) used() resource.Resources {
	var used resource.Resources
	for _, t := range s.tasks {
		if !t.State.Ended() {
			used = used.Add(t.Resources)
		}
	}
	return used
}

// findTask returns the task of a member of an attempt; nil if there is none.
func (s *workerState) findTask(attempt infra.AttemptID, member int) *task {
	for _, t := range s.tasks {
		if t.Attempt == attempt && t.Member == member {
			return t
		}
	}
	return nil
}

func (s *workerState) removeTask(removed *task) {
	for i, t := range s.tasks {
		if t == removed {
			s.tasks = append(s.tasks[:i:i], s.tasks[i+1:]...)
			return
		}
	}
}

// inventory returns the inventory as of the last advance.
func (s *workerState) inventory() infra.Inventory {
	inventory := infra.Inventory{
		Worker:      s.options.ID,
		Incarnation: fmt.Sprintf("%s-%d", s.options.ID, s.incarnation),
		Revision:    s.revision,
		Capacity:    s.options.Capacity,
		Leaving:     s.faults.Leaving,
		Tasks:       make([]infra.Task, len(s.tasks)),
		Usage:       s.usage[0].used,
	}
	for i, t := range s.tasks {
		inventory.Tasks[i] = t.Task
	}
	return inventory
}

// taskRuns returns how often each member of each job was released on this worker, sorted by job and member.
func (s *workerState) taskRuns() []TaskRun {
	runs := make([]TaskRun, 0, len(s.runs))
	for key, count := range s.runs {
		runs = append(runs, TaskRun{Worker: s.options.ID, Job: key.job, Member: key.member, Count: count})
	}
	sort.Slice(runs, func(i, j int) bool {
		a, b := runs[i], runs[j]
		return a.Job < b.Job || a.Job == b.Job && a.Member < b.Member
	})
	return runs
}
