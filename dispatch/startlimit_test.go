package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// smallTasks is a step of tasks for all of which the workers have room.
func smallTasks(n int) workload.Step {
	return workload.Step{Tasks: n, Estimate: time.Minute, Demand: resource.Resources{MilliCPU: 1, MemoryMB: 1}}
}

// TestTasksUnderWayAreBounded guards against wide jobs of small tasks whose runs exhaust the memory of each holder of the schedule in turn.
// All of them are accepted, so each must still run; urgent work starts beside them at once, and no job waits for all of another one.
func TestTasksUnderWayAreBounded(t *testing.T) {
	const tasksOfAJob = 4000
	for _, jobs := range []int{6, 12, 22} {
		before := footprinttest.LiveHeap()
		c := newCluster(t, 6)
		units := 0
		for i := range jobs {
			job := &workload.Job{
				ID: workload.JobID(fmt.Sprintf("%016x", i)), Queue: "normal", Service: "svc", Account: "large",
				Steps: []workload.Step{smallTasks(tasksOfAJob)}, AcceptedAt: c.wall(),
			}
			units += overload.Charge(job)
			c.submitJob(job)
		}
		for range 60 {
			plan := c.decide()
			for _, start := range plan.Starts {
				c.core.StartAccepted(start.Worker, start.Ref)
			}
			c.advance(10 * time.Millisecond)
		}
		c.starts = nil
		placed := c.core.placed
		used, limit := footprinttest.LiveHeap()-before, float64(footprint.UnitBytes*units+footprint.PlacedBytes*min(placed, footprint.MaxPlaced))
		t.Logf("%d jobs: %d of %d tasks are under way, %.1f MB, limit %.1f MB", jobs, placed, jobs*tasksOfAJob, used/(1<<20), limit/(1<<20))
		if placed > footprint.MaxPlaced || placed < min(jobs*tasksOfAJob, footprint.Limit(footprint.MaxPlaced, 2)) {
			t.Errorf("%d of %d tasks are under way, want at most %d and no fewer for another reason", placed, jobs*tasksOfAJob, footprint.MaxPlaced)
		}
		if used > limit {
			t.Errorf("%d wide jobs take %.1f MB, want at most %.1f MB", jobs, used/(1<<20), limit/(1<<20))
		}
		c.submit("urgent", "urgent", "large", tasks(1, 1))
		c.submit("other", "batch", "large", tasks(1, 0))
		starts := c.decide().Starts
		for _, id := range []workload.JobID{"urgent", "other"} {
			found := false
			for _, start := range starts {
				found = found || start.Ref.Task.Job == id
			}
			if !found {
				t.Errorf("job %q does not start beside %d wide jobs", id, jobs)
			}
		}
		runtime.KeepAlive(c)
	}
}

// TestUrgentWorkStartsBesideRestoredTasks guards against urgent work that waits for the many tasks that a holder of an earlier version has
// started, and against others that start beside more tasks than the holder has memory for.
func TestUrgentWorkStartsBesideRestoredTasks(t *testing.T) {
	c := newCluster(t, 6)
	const jobs, tasksOfAJob = 10, 4000
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		state := &workload.JobState{Phase: workload.PhaseRunning, Repetitions: [][]workload.StepState{{{Units: make([]workload.UnitState, tasksOfAJob)}}}}
		for k := range tasksOfAJob {
			state.Repetitions[0][0].Units[k] = workload.UnitState{Status: workload.UnitActive, Run: 1, Workers: []string{fmt.Sprintf("w%02d", k%6)}}
		}
		c.submit(id, "normal", "large", smallTasks(tasksOfAJob))
		c.stored[workload.JobID(id)] = state.Encode()
	}
	c.takeOver()
	c.listAll()
	repeated := len(c.decide().Starts)
	if c.core.placed != jobs*tasksOfAJob || repeated != jobs*tasksOfAJob {
		t.Fatalf("%d tasks are restored and %d starts repeated, want %d", c.core.placed, repeated, jobs*tasksOfAJob)
	}
	for _, w := range c.core.sortedWorkers {
		for ref := range w.runs {
			c.core.StartAccepted(w.id, ref)
		}
	}
	c.submit("urgent", "urgent", "large", tasks(1, 1))
	c.submit("other", "normal", "large", tasks(1, 1))
	starts := c.decide().Starts
	if len(starts) != 1 || starts[0].Ref.Task.Job != "urgent" {
		t.Errorf("%d tasks start beside the restored ones, want the urgent one", len(starts))
	}
}

// TestStartsAwaitedAreBounded guards against a worker at which so many starts wait that later, more urgent work waits behind them, and
// against work that is stopped to make room while there is room: only the limit on starts keeps the step waiting.
func TestStartsAwaitedAreBounded(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("running", "batch", "large", tasks(1, 1))
	c.plan()
	c.submit("wide", "normal", "large", smallTasks(1000))
	answered := 0
	for round := 0; answered < 1000; round++ {
		if round > 100 {
			t.Fatalf("%d of 1000 starts were issued in %d plans", answered, round)
		}
		plan := c.decide()
		if n := len(plan.Starts); n > maxAwaiting {
			t.Fatalf("%d starts are issued to one worker at once, want at most %d", n, maxAwaiting)
		}
		if len(plan.Stops) > 0 {
			t.Fatalf("%v is stopped although there is room", plan.Stops[0].Ref)
		}
		if more := c.decide().Starts; len(more) > 0 {
			t.Fatalf("%d more starts are issued while %d are not answered", len(more), len(plan.Starts))
		}
		for _, start := range plan.Starts {
			c.core.StartAccepted(start.Worker, start.Ref)
			answered++
		}
		c.advance(10 * time.Millisecond)
	}
	if w := c.core.workers["w00"]; w.awaiting != 0 {
		t.Errorf("%d starts are counted although all were answered", w.awaiting)
	}
}

// TestUrgentStartPassesTheLimit guards against urgent work that waits for the answers to the starts of other work.
func TestUrgentStartPassesTheLimit(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("wide", "normal", "large", smallTasks(1000))
	c.decide()
	c.submit("urgent", "urgent", "large", tasks(1, 1))
	if starts := c.decide().Starts; len(starts) != 1 || !starts[0].Urgent {
		t.Errorf("%d starts are issued after the urgent job was accepted, want its one", len(starts))
	}
}

// BenchmarkPlacedTask measures the memory of a task in the core, waiting and under way.
func BenchmarkPlacedTask(b *testing.B) {
	const count = 20_000
	for range b.N {
		c := newCluster(b, 6)
		before := footprinttest.LiveHeap()
		for i := range count / 1000 {
			c.submit(fmt.Sprintf("%016x", i), "normal", "large", smallTasks(1000))
		}
		c.core.readySteps()
		waiting := footprinttest.LiveHeap()
		for c.core.placed < count {
			for _, start := range c.decide().Starts {
				c.core.StartAccepted(start.Worker, start.Ref)
			}
			c.advance(10 * time.Millisecond)
		}
		c.starts = nil
		b.ReportMetric((waiting-before)/count, "B/waiting")
		b.ReportMetric((footprinttest.LiveHeap()-waiting)/count, "B/placed")
		runtime.KeepAlive(c)
	}
}
