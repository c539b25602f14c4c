package dispatch

import (
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// listPage passes a listing with the first n ends of the worker to the core.
func (c *cluster) listPage(worker string, n int) {
	listing := c.listing(worker)
	listing.MoreEnds = n < len(listing.Ended)
	listing.Ended = listing.Ended[:n]
	c.core.ApplyListing(worker, c.now, listing)
}

// TestRunsBehindAPageOfEndsAreNotLost guards against tasks that start again after they were done: a worker lists only the first of many
// ends at a time, and the runs behind them were missing from both lists. The same holds for the first listing after a takeover.
func TestRunsBehindAPageOfEndsAreNotLost(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		c := newCluster(t, 1)
		c.submit("a", "normal", "large", tasks(8, 1))
		c.plan()
		c.advance(simTick)
		c.endAll("a", workload.EndDone)
		if takeover {
			c.takeOver()
		}
		for n := range 9 {
			c.listPage("w00", n)
			if plan := c.plan(); len(plan.Starts) > 0 {
				t.Fatalf("takeover=%v: %d runs were started after %d of 8 ends", takeover, len(plan.Starts), n)
			}
		}
		if c.phases["a"] != workload.PhaseCompleted {
			t.Errorf("takeover=%v: the job is %v, want completed", takeover, c.phases["a"])
		}
	}
}

// TestMissingRunIsLostOnceAllEndsAreListed guards against a task that waits for good because its run is gone and its worker lists many
// ends.
func TestMissingRunIsLostOnceAllEndsAreListed(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(8, 1))
	missing := c.plan().Starts[0].Ref
	c.advance(simTick)
	delete(c.workers["w00"].running, missing)
	c.endAll("a", workload.EndDone)
	for n := range 8 {
		c.listPage("w00", n)
	}
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref.Task != missing.Task {
		t.Errorf("the missing run led to the starts %v, want one of its task", plan.Starts)
	}
}

// TestRestartBehindAPageOfEndsStopsTheStart guards against a start without response that is neither repeated nor stopped because the
// first listing of the worker's new process has more ends than fit.
func TestRestartBehindAPageOfEndsStopsTheStart(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	w := c.workers["w00"]
	w.info.Incarnation++
	w.ended = []workload.EndedRun{{Sequence: 1, Reason: workload.EndStopped}, {Sequence: 2, Reason: workload.EndStopped}}
	c.listPage("w00", 1)
	c.listPage("w00", 2)
	if plan := c.decide(); len(plan.Stops) != 1 || plan.Stops[0].Ref != start.Ref {
		t.Errorf("the restart led to the stops %v, want one of %v", plan.Stops, start.Ref)
	}
}

// loseRun makes the core give up the job's only run, whose worker still has it, and returns its start.
func (c *cluster) loseRun(worker string) {
	c.core.SetUnreachable(worker, true)
	c.core.MarkWorkerGone(worker, GoneLeaseExpired)
}

// TestDoneRunThatWasGivenUpCounts guards against a task that runs again after it was done: its run was given up and then listed as running,
// so that a stop was sent, and ended by itself before the stop arrived.
func TestDoneRunThatWasGivenUpCounts(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 1))
	c.plan()
	c.loseRun("w00")
	c.list("w00")
	c.endAll("a", workload.EndDone)
	c.list("w00")
	if plan := c.plan(); len(plan.Starts) > 0 || c.phases["a"] != workload.PhaseCompleted {
		t.Errorf("the job is %v and starts %v, want completed and none", c.phases["a"], plan.Starts)
	}
}

// TestLateEndLeavesThePresentRunAlone guards against a run that is stopped because a late list has the end of an earlier run of its task.
func TestLateEndLeavesThePresentRunAlone(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	first := c.plan().Starts[0]
	c.loseRun(first.Worker)
	c.end(first.Worker, first.Ref, workload.EndFailed)
	if second := c.plan(); len(second.Starts) != 1 || second.Starts[0].Worker == first.Worker {
		t.Fatalf("the task was not started elsewhere: %v", second.Starts)
	}
	c.list(first.Worker)
	if plan := c.plan(); len(plan.Stops) > 0 {
		t.Errorf("the late end of run 1 led to the stops %v, want none", plan.Stops)
	}
}

// TestLateDoneStopsThePresentGang guards against members of a gang that run on after an earlier run has completed the gang.
func TestLateDoneStopsThePresentGang(t *testing.T) {
	c := newCluster(t, 2)
	gang := gangOf(2, 8)
	c.submit("a", "normal", "large", gang)
	first := c.plan().Starts
	c.loseRun("w00")
	c.loseRun("w01")
	for _, start := range first {
		c.end(start.Worker, start.Ref, workload.EndDone)
	}
	late := *c.listing("w00")
	for _, id := range c.workerIDs {
		c.workers[id].ended = nil
		c.list(id)
	}
	if second := c.plan(); len(second.Starts) != gang.Tasks {
		t.Fatalf("%d members were started again, want %d", len(second.Starts), gang.Tasks)
	}
	late.Running = c.listing("w00").Running
	c.core.ApplyListing("w00", c.now, &late)
	if plan := c.plan(); len(plan.Stops) != gang.Tasks {
		t.Errorf("%d members of the present run were stopped, want %d", len(plan.Stops), gang.Tasks)
	}
}
