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
	// LoseResponses is the number of next command calls that take effect and whose response is lost.
	LoseResponses int `json:"lose_responses,omitempty"`
	// FailTasks fails every task when it is released.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// NeverFinish keeps every task running until it is stopped.
	NeverFinish bool `json:"never_finish,omitempty"`
	// SlowStartMS is the time that a started task needs to become resident, in milliseconds.
	SlowStartMS int64 `json:"slow_start_ms,omitempty"`
	// Leaving reports the worker as leaving; it takes no new reservation.
	Leaving bool `json:"leaving,omitempty"`
	// Restart replaces the VM once: tasks, lease and epoch are lost and the incarnation changes.
	Restart bool `json:"restart,omitempty"`
}

// WorkerOptions holds the properties of a worker.
type WorkerOptions struct {
	ID       string
	Capacity resource.Resources
	// UsageLag is the age of the reported usage.
	UsageLag time.Duration
	// CheckpointTime is the time that a checkpoint takes.
	CheckpointTime time.Duration
}

// TaskRun counts the releases of one member of a job, over all attempts.
type TaskRun struct {
	Worker string `json:"worker"`
	Job    string `json:"job"`
	Member int    `json:"member"`
	Count  int    `json:"count"`
}

// workerState is the state of a worker without clock and I/O. Its owner calls advance with the time before anything
// else.
type workerState struct {
	options     WorkerOptions
	faults      WorkerFaults
	incarnation int
	revision    uint64

	holder string
	epoch  uint64
	// leaseUntil is when the holder lease lapses.
	leaseUntil time.Time

	tasks []*task
	// usage holds the resources in use after each change, oldest first, as far back as the lag needs.
	usage []usageSample
	runs  map[taskRunKey]int
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

// restart loses what the VM held in memory. The revision goes on, so that no holder takes the new inventory for one
// that it knows.
func (s *workerState) restart(now time.Time) {
	s.incarnation++
	s.tasks = nil
	s.holder, s.epoch, s.leaseUntil = "", 0, time.Time{}
	s.changed(now)
}

// advance carries out all changes that were due until now, in order of time.
func (s *workerState) advance(now time.Time) {
	for {
		next := s.nextDue()
		if next == nil || next.nextChange().After(now) {
			break
		}
		at := next.nextChange()
		if !next.change(at) {
			s.remove(next)
		}
		s.changed(at)
	}
	s.forgetUsage(now)
}

// nextDue returns the task that changes first by itself; nil if none does.
func (s *workerState) nextDue() *task {
	var first *task
	for _, t := range s.tasks {
		at := t.nextChange()
		if !at.IsZero() && (first == nil || at.Before(first.nextChange())) {
			first = t
		}
	}
	return first
}

// changed counts a change of the inventory and samples the use of resources.
func (s *workerState) changed(at time.Time) {
	s.revision++
	s.usage = append(s.usage, usageSample{at: at, used: s.used()})
}

// forgetUsage drops the samples that the lag has passed. A report that thereby changes is a new revision.
func (s *workerState) forgetUsage(now time.Time) {
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

func (s *workerState) find(attempt infra.AttemptID, member int) *task {
	for _, t := range s.tasks {
		if t.Attempt == attempt && t.Member == member {
			return t
		}
	}
	return nil
}

func (s *workerState) remove(gone *task) {
	for i, t := range s.tasks {
		if t == gone {
			s.tasks = append(s.tasks[:i:i], s.tasks[i+1:]...)
			return
		}
	}
}

// inventory returns the inventory after advance.
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

// taskRuns returns how often each member of a job was released here.
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
