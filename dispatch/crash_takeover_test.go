package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// TestCrashCountSurvivesTakeovers guards against a task that crashes workers without a limit because each new holder of the
// schedule counts from zero.
func TestCrashCountSurvivesTakeovers(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	for range suspectCrashes {
		c.plan()
		c.crashRun(workload.TaskID{Job: "a"})
		c.store()
		c.takeOver()
		c.listAll()
	}
	c.checkGivenUp(fmt.Sprintf("%d crashes and takeovers", suspectCrashes))
}

// TestCrashesBetweenTakeoversCount guards against a task that crashes workers without a limit because each holder of the schedule ends
// before it learns of the crash, and the next one has never seen the run.
func TestCrashesBetweenTakeoversCount(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	for n := range maxCrashes {
		starts := c.plan().Starts
		if len(starts) != 1 {
			t.Fatalf("%d starts after %d crashes, want 1", len(starts), n)
		}
		c.takeOver()
		c.crash(starts[0].Worker)
		c.listAll()
	}
	c.checkGivenUp(fmt.Sprintf("%d crashes", maxCrashes))
}

// TestWorkerCutOffAtATakeoverIsNoCrash guards against the same, if the cut begins before the holder has reached the worker.
func TestWorkerCutOffAtATakeoverIsNoCrash(t *testing.T) {
	c := newCluster(t, 16)
	c.submit("a", "normal", "large", tasks(1, 1))
	for range 2 * maxCrashes {
		start := c.plan().Starts[0]
		delete(c.workers[start.Worker].running, start.Ref)
		c.takeOver()
		for _, id := range c.workerIDs {
			if id != start.Worker {
				c.list(id)
			}
		}
		c.core.SetUnreachable(start.Worker, true)
		c.core.MarkWorkerGone(start.Worker, GoneLeaseExpired)
	}
	if c.plan(); c.phases["a"].Final() {
		t.Errorf("the job is %v, want a phase that is not final", c.phases["a"])
	}
}

// TestCrashesOfUnlistedWorkersCount guards against a task without a limit because its workers' entries have expired whenever the next
// holder of the schedule reads the worker list.
func TestCrashesOfUnlistedWorkersCount(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	for n := range maxCrashes {
		starts := c.plan().Starts
		if len(starts) != 1 {
			t.Fatalf("%d starts after %d crashes, want 1", len(starts), n)
		}
		worker := starts[0].Worker
		delete(c.workers, worker)
		c.workerIDs = slices.DeleteFunc(c.workerIDs, func(id string) bool { return id == worker })
		c.takeOver()
		c.listAll()
		c.core.MarkWorkerGone(worker, GoneUnlisted)
	}
	c.checkGivenUp(fmt.Sprintf("%d crashes", maxCrashes))
}

// TestRestartBetweenHoldersCounts guards against a start that the next holder sends again to a worker that it has crashed, because the
// worker is back under its id and does not list the run.
func TestRestartBetweenHoldersCounts(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	c.crash(c.plan().Starts[0].Worker)
	start := c.plan().Starts[0]
	c.takeOver()
	c.restart(start.Worker)
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref.Run <= start.Ref.Run {
		t.Fatalf("the next holder starts %v, want one higher run", plan.Starts)
	}
	c.crash(plan.Starts[0].Worker)
	if c.plan(); c.phases["a"] != workload.PhaseFailed {
		t.Errorf("after 3 crashes the job is %v, want failed", c.phases["a"])
	}
}

// TestFirstRestartBetweenHoldersCounts guards against the same for the first crash of a task: its state must name the process that the
// start was meant for before any crash is counted.
func TestFirstRestartBetweenHoldersCounts(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.plan().Starts[0]
	c.restart(start.Worker)
	c.takeOver()
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref.Run <= start.Ref.Run {
		t.Fatalf("the next holder starts %v, want one higher run", plan.Starts)
	}
}

// TestCountedCrashIsNotCountedByTheNextHolder guards against a job that fails too early: a run whose crash is counted stays until its
// stop is confirmed, and the next holder of the schedule finds the same process replaced.
func TestCountedCrashIsNotCountedByTheNextHolder(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.restart(start.Worker)
	c.decide()
	for range maxCrashes {
		c.takeOver()
		c.list(start.Worker)
		c.decide()
	}
	if c.phases["a"].Final() {
		t.Errorf("the job is %v after one crash and %d takeovers, want a phase that is not final", c.phases["a"], maxCrashes)
	}
}
