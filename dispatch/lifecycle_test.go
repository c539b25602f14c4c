package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// TestEndedJobStaysEnded guards against a job that is started again because a state from before its end was read after
// the core had forgotten the job: done tasks ran twice.
func TestEndedJobStaysEnded(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(2, 1))
	c.plan()
	before, err := c.storedState("a")
	if err != nil {
		t.Fatal(err)
	}
	c.endAll("a", workload.EndDone)
	c.listAll()
	// The end is not stored yet when the older state arrives.
	c.core.AddJob(c.specs["a"], before)
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the ended job started again: %v", plan.Starts)
	}
	if c.phases["a"] != workload.PhaseCompleted {
		t.Fatalf("the job is %v", c.phases["a"])
	}
	c.core.AddJob(c.specs["a"], before)
	c.listAll()
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the ended job started again later: %v", plan.Starts)
	}
}

// TestFailureIsCountedOnce guards against a job that is given up too early, because the next holder reads an end again
// that the last one had counted and not yet noted at the worker.
func TestFailureIsCountedOnce(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	for range 2 {
		c.plan()
		c.endAll("a", workload.EndFailed)
		c.listAll()
		c.store()
		c.takeOver()
		c.listAll()
	}
	c.plan()
	if c.phases["a"].Final() {
		t.Fatalf("the job is %v after 2 of 3 attempts", c.phases["a"])
	}
	c.endAll("a", workload.EndFailed)
	c.listAll()
	c.store()
	if c.phases["a"] != workload.PhaseFailed {
		t.Fatalf("the job is %v after 3 failed attempts", c.phases["a"])
	}
}

// TestTakeoverSendsWhatDidNotArrive guards against a task that is lost, or run under two numbers, when the holder dies
// between storing a start and sending it.
func TestTakeoverSendsWhatDidNotArrive(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(2, 1))
	first := c.decide()
	c.start(first.Starts[0])
	c.takeOver()
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref != first.Starts[1].Ref || plan.Starts[0].Worker != first.Starts[1].Worker {
		t.Fatalf("the next holder sent %v, want only %v again", plan.Starts, first.Starts[1])
	}
}

// TestUnreachableWorkerKeepsItsRuns guards against a task that runs twice because its worker was cut off and ran on.
func TestUnreachableWorkerKeepsItsRuns(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.plan().Starts[0]
	c.core.SetReachable(start.Worker, false)
	c.core.DropWorker(start.Worker)
	c.advance(5 * time.Second)
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the task started elsewhere while its worker may run it: %v", plan.Starts)
	}
	c.core.WorkerDead(start.Worker)
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Worker == start.Worker || plan.Starts[0].Ref.Run <= start.Ref.Run {
		t.Fatalf("after the lease has ended: %v", plan.Starts)
	}
}

// TestCancelStopsAndStartsNoMore guards against work of a cancelled job that runs on or starts.
func TestCancelStopsAndStartsNoMore(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(20, 1))
	if started := len(c.plan().Starts); started != 8 {
		t.Fatalf("%d of 8 possible tasks started", started)
	}
	c.core.CancelJob("a")
	plan := c.plan()
	if len(plan.Stops) != 8 || len(plan.Starts) != 0 {
		t.Fatalf("%d stops and %d starts after the cancellation", len(plan.Stops), len(plan.Starts))
	}
	c.listAll()
	if plan := c.plan(); len(plan.Starts) > 0 || len(c.placed("a")) > 0 {
		t.Fatalf("the cancelled job goes on: %v", plan.Starts)
	}
}

// TestGangCollapsesTogether guards against a gang of which a part runs on after a member has failed.
func TestGangCollapsesTogether(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", gangOf(4, 8))
	c.plan()
	for ref, worker := range c.placed("a") {
		c.end(worker, ref, workload.EndFailed)
		break
	}
	c.listAll()
	if plan := c.plan(); len(plan.Stops) != 3 {
		t.Fatalf("%d of the 3 other members are stopped", len(plan.Stops))
	}
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 4 {
		t.Fatalf("%d of 4 members started again", len(plan.Starts))
	}
	for _, start := range plan.Starts {
		if start.Ref.Run != 2 {
			t.Fatalf("member %v starts under number %d, want 2", start.Ref.Task, start.Ref.Run)
		}
	}
}

// TestOneDoneMemberCompletesTheGang guards against a gang that runs again because only one of its members' ends was seen.
func TestOneDoneMemberCompletesTheGang(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", gangOf(4, 8))
	plan := c.plan()
	c.end(plan.Starts[0].Worker, plan.Starts[0].Ref, workload.EndDone)
	c.listAll()
	if plan := c.plan(); len(plan.Starts)+len(plan.Stops) > 0 || c.phases["a"] != workload.PhaseCompleted {
		t.Fatalf("phase %v, orders %v", c.phases["a"], plan)
	}
}

// TestStepsWaitForTheirPredecessors guards against a step that starts before the steps it depends on are done.
func TestStepsWaitForTheirPredecessors(t *testing.T) {
	c := newCluster(t, 2)
	second := tasks(1, 1)
	second.After = []int{0}
	c.submitJob(&workload.Job{
		ID: "a", Queue: "normal", Service: "svc", Account: "large", Steps: []workload.Step{tasks(2, 1), second}, AcceptedAt: c.wall(),
	})
	first := c.plan()
	if len(first.Starts) != 2 {
		t.Fatalf("%d starts, want the 2 tasks of the first step", len(first.Starts))
	}
	c.end(first.Starts[0].Worker, first.Starts[0].Ref, workload.EndDone)
	c.listAll()
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the second step started early: %v", plan.Starts)
	}
	c.end(first.Starts[1].Worker, first.Starts[1].Ref, workload.EndDone)
	c.listAll()
	if plan := c.plan(); len(plan.Starts) != 1 || plan.Starts[0].Ref.Task.Step != 1 {
		t.Fatalf("after the first step: %v", plan.Starts)
	}
}

// TestRepetitionsStartWhenDue guards against scheduled work that starts before its time.
func TestRepetitionsStartWhenDue(t *testing.T) {
	c := newCluster(t, 2)
	c.submitJob(&workload.Job{
		ID: "a", Queue: "normal", Service: "svc", Account: "large", Steps: []workload.Step{tasks(1, 1)},
		AcceptedAt: c.wall(), Repetitions: 2, FirstRun: c.wall().Add(time.Second), Interval: 3 * time.Second,
	})
	var at []time.Duration
	begin := c.now
	for c.now-begin < 6*time.Second {
		for range c.plan().Starts {
			at = append(at, c.now-begin)
		}
		c.advance(50 * time.Millisecond)
	}
	if len(at) != 2 || at[0] < time.Second || at[0] > 1200*time.Millisecond || at[1] < 4*time.Second || at[1] > 4200*time.Millisecond {
		t.Fatalf("repetitions started at %v, want 1s and 4s", at)
	}
}

// TestTakeoverStopsCancelledWork guards against work of a job that was cancelled while nobody held the schedule: its stops
// were ordered before the next holder had a connection to the workers, and never again.
func TestTakeoverStopsCancelledWork(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(2, 1))
	c.plan()
	c.takeOver()
	c.core.CancelJob("a")
	c.decide()
	c.listAll()
	plan := c.plan()
	if len(plan.Stops) != 2 {
		t.Fatalf("%d of 2 runs are stopped after the first lists", len(plan.Stops))
	}
	c.listAll()
	if len(c.placed("a")) > 0 {
		t.Fatal("the cancelled job runs on")
	}
}
