package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// resize changes the stated capacity of a worker.
func (c *cluster) resize(worker string, accelerators int) {
	w := c.workers[worker]
	w.info.Capacity = resource.Resources{Accelerators: accelerators, MilliCPU: workerSize.MilliCPU, MemoryMB: workerSize.MemoryMB}
	c.core.SetWorker(w.info)
}

// TestShrunkWorkerGetsNoMoreThanItsCapacity guards against starts beyond the capacity of a worker that has shrunk and does not
// guard it, while its runs exceed it, while they are being stopped, and once they have ended; and against room that is not used
// after the worker has grown again.
func TestShrunkWorkerGetsNoMoreThanItsCapacity(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(6, 1))
	c.plan()
	c.resize("w00", 4)
	c.submit("b", "normal", "large", tasks(8, 1))
	if starts := c.plan().Starts; len(starts) != 0 {
		t.Fatalf("%d starts on a worker with 6 runs and a capacity of 4", len(starts))
	}
	c.core.CancelJob("a")
	if starts := c.decide().Starts; len(starts) != 0 {
		t.Fatalf("%d starts on a worker with 6 runs that are being stopped and a capacity of 4", len(starts))
	}
	c.endAll("a", workload.EndStopped)
	c.listAll()
	c.advance(time.Second)
	if starts := c.plan().Starts; len(starts) != 4 {
		t.Fatalf("%d starts on an empty worker with a capacity of 4, want 4", len(starts))
	}
	c.resize("w00", 7)
	if starts := c.plan().Starts; len(starts) != 3 {
		t.Fatalf("%d starts after the capacity has grown to 7, want 3", len(starts))
	}
}

// TestShrunkWorkerKeepsNoPendingStart guards against a start that had no response and is sent again long after its worker has
// shrunk below what it runs.
func TestShrunkWorkerKeepsNoPendingStart(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(6, 1))
	starts := c.decide().Starts
	for _, start := range starts[:4] {
		c.start(start)
	}
	c.resize("w00", 5)
	pending := 0
	for _, start := range starts[4:] {
		if c.core.WantsStart(start.Worker, start.Ref) {
			pending++
		}
	}
	if plan := c.decide(); pending != 1 || len(plan.Stops) != 1 || len(plan.Starts) != 0 {
		t.Fatalf("%d of 2 starts without response are still wanted with room for one, and the plan is %+v; want 1 and one stop", pending, plan)
	}
	for _, start := range starts[:4] {
		if !c.core.WantsStart(start.Worker, start.Ref) {
			t.Errorf("%v was accepted before the worker shrank and is not wanted any more", start.Ref)
		}
	}
}

// TestNewProcessGetsNoWorkByItsPredecessorsEntry guards against starts by the capacity, labels or state of a process that has ended:
// a worker that has restarted under its id lists its runs before its new entry is read.
func TestNewProcessGetsNoWorkByItsPredecessorsEntry(t *testing.T) {
	c := newCluster(t, 1)
	c.advance(simTick)
	c.restart("w00")
	c.submit("a", "normal", "large", tasks(6, 1))
	if starts := c.plan().Starts; len(starts) != 0 {
		t.Fatalf("%d starts by the entry of the process that has ended", len(starts))
	}
	c.resize("w00", 4)
	if starts := c.plan().Starts; len(starts) != 4 {
		t.Fatalf("%d starts by the entry of the new process, want 4", len(starts))
	}
}

// TestStaleWorkerListStartsNothing guards against starts on workers that have shrunk or are draining, while the holder can store
// states and cannot read the worker list.
func TestStaleWorkerListStartsNothing(t *testing.T) {
	c := newCluster(t, 1)
	c.core.WorkersRead(c.now)
	c.advance(maxWorkerListAge + simTick)
	c.submit("a", "normal", "large", tasks(1, 1))
	if starts := c.plan().Starts; len(starts) != 0 {
		t.Fatalf("%d starts by a list that is older than %s", len(starts), maxWorkerListAge)
	}
	c.core.WorkersRead(c.now)
	if starts := c.plan().Starts; len(starts) != 1 {
		t.Fatalf("%d starts after the list was read again, want 1", len(starts))
	}
}

// TestRestoredStartNeedsTheEntryOfItsProcess guards against a start that the next holder sends again to another process of its
// worker, by the capacity and labels of the process that has ended.
func TestRestoredStartNeedsTheEntryOfItsProcess(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.takeOver()
	c.restart(start.Worker)
	if plan := c.decide(); len(plan.Starts) != 0 {
		t.Errorf("got starts %+v on a process whose entry is not known", plan.Starts)
	}
}

// TestRestoredStartNeedsAFreshList guards against a restored start that is sent again by a stale worker list.
func TestRestoredStartNeedsAFreshList(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.takeOver()
	c.core.WorkersRead(c.now)
	c.advance(maxWorkerListAge + time.Second)
	c.list(start.Worker)
	if plan := c.decide(); len(plan.Starts) != 0 {
		t.Errorf("got starts %+v by a stale worker list", plan.Starts)
	}
}

// TestGangMembersFitAShrunkWorker guards against members of a gang that are placed on a worker that is over its capacity in a resource
// that they do not need.
func TestGangMembersFitAShrunkWorker(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := newCluster(t, 1)
		c.submit("a", "normal", "large", tasks(6, 1))
		c.plan()
		c.resize("w00", 4)
		demand := resource.Resources{MilliCPU: 1000, MemoryMB: 1000}
		c.submit("b", "normal", "large", workload.Step{Tasks: 2, Estimate: time.Second, Gang: gang, Demand: demand})
		if starts := c.plan().Starts; len(starts) != 0 {
			t.Errorf("gang %v: %d starts on a worker that is over its capacity", gang, len(starts))
		}
	}
}

// TestStaleWorkerListMovesNothing guards against runs that are stopped to be moved while nothing can be started.
func TestStaleWorkerListMovesNothing(t *testing.T) {
	c := newCluster(t, 2)
	step := tasks(1, 1)
	step.Checkpointing, step.Estimate = true, time.Minute
	c.submit("a", "normal", "large", step)
	start := c.plan().Starts[0]
	c.core.WorkersRead(c.now)
	info := c.workers[start.Worker].info
	info.Draining, info.RemainingLife = true, 8*time.Second
	c.core.SetWorker(info)
	c.advance(7 * time.Second)
	c.list(start.Worker)
	if plan := c.decide(); len(plan.Stops) != 0 {
		t.Errorf("got stops %+v by a stale worker list", plan.Stops)
	}
}
