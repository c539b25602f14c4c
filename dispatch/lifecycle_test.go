package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// TestEndedJobStaysEnded guards against done tasks that run twice: a state from before the job's end is read after the
// core has removed the job, and the job starts again.
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
		t.Fatalf("the job is %v, want completed", c.phases["a"])
	}
	c.core.AddJob(c.specs["a"], before)
	c.listAll()
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the ended job started again later: %v", plan.Starts)
	}
}

// TestFailureIsCountedOnce guards against a job that fails after fewer failed runs than its queue allows: after a takeover,
// the next holder reads a failure again that the previous one had counted but not yet acknowledged to the worker.
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
		t.Fatalf("the job is %v after 2 of the 3 failed runs that end it, want a phase that is not final", c.phases["a"])
	}
	c.endAll("a", workload.EndFailed)
	c.listAll()
	c.store()
	if c.phases["a"] != workload.PhaseFailed {
		t.Fatalf("the job is %v after 3 failed runs, want failed", c.phases["a"])
	}
}

// TestTakeoverSendsWhatDidNotArrive guards against a task that is lost, or runs under two run numbers, because the holder
// crashed after it stored a start and before it sent it.
func TestTakeoverSendsWhatDidNotArrive(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(2, 1))
	first := c.decide()
	c.start(first.Starts[0])
	c.takeOver()
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref != first.Starts[1].Ref || plan.Starts[0].Worker != first.Starts[1].Worker {
		t.Fatalf("the next holder sent %v, want only %v", plan.Starts, first.Starts[1])
	}
}

// TestUnreachableWorkerKeepsItsRuns guards against a task that runs twice because its worker was unreachable but still
// running it, and against one that is not started elsewhere once the worker is gone.
func TestUnreachableWorkerKeepsItsRuns(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.plan().Starts[0]
	c.core.SetUnreachable(start.Worker, true)
	c.core.DropWorker(start.Worker)
	c.advance(5 * time.Second)
	if plan := c.plan(); len(plan.Starts) > 0 {
		t.Fatalf("the task started elsewhere while its worker may run it: %v", plan.Starts)
	}
	c.core.MarkWorkerGone(start.Worker, GoneLeaseExpired)
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Worker == start.Worker || plan.Starts[0].Ref.Run <= start.Ref.Run {
		t.Fatalf("starts after the worker is gone are %v, want one on the other worker with a higher run number", plan.Starts)
	}
}

// TestCancelStopsAndStartsNoMore guards against tasks of a cancelled job that keep running or start.
func TestCancelStopsAndStartsNoMore(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(20, 1))
	if started := len(c.plan().Starts); started != 8 {
		t.Fatalf("%d of 8 possible tasks started", started)
	}
	c.core.CancelJob("a")
	plan := c.plan()
	if len(plan.Stops) != 8 || len(plan.Starts) != 0 {
		t.Fatalf("%d stops and %d starts after the cancellation, want 8 and 0", len(plan.Stops), len(plan.Starts))
	}
	c.listAll()
	if plan := c.plan(); len(plan.Starts) > 0 || len(c.placed("a")) > 0 {
		t.Fatalf("the cancelled job still runs, or started %v", plan.Starts)
	}
}

// TestGangCollapsesTogether guards against members of a gang that keep running after another member has failed, and against
// a gang that is then restarted in part or under the old run number.
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
		t.Fatalf("%d of 4 members were restarted", len(plan.Starts))
	}
	for _, start := range plan.Starts {
		if start.Ref.Run != 2 {
			t.Fatalf("member %v starts with run number %d, want 2", start.Ref.Task, start.Ref.Run)
		}
	}
}

// TestOneDoneMemberCompletesTheGang guards against a gang that runs again because the end of only one member was listed.
func TestOneDoneMemberCompletesTheGang(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", gangOf(4, 8))
	plan := c.plan()
	c.end(plan.Starts[0].Worker, plan.Starts[0].Ref, workload.EndDone)
	c.listAll()
	if plan := c.plan(); len(plan.Starts)+len(plan.Stops) > 0 || c.phases["a"] != workload.PhaseCompleted {
		t.Fatalf("phase %v with plan %v, want completed with an empty plan", c.phases["a"], plan)
	}
}

// TestStepsWaitForTheirPredecessors guards against a step that starts before all steps that it depends on are done.
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
		t.Fatalf("starts after the first step are %v, want one task of the second", plan.Starts)
	}
}

// TestRepetitionsStartWhenDue guards against scheduled repetitions that start before, or more than 200 ms after, their due
// time.
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
		t.Fatalf("repetitions started at %v, want two, at 1s and 4s or up to 200 ms later", at)
	}
}

// TestOverlappingRepetitionsAreBounded guards against a job whose many repetitions are due at once and whose tasks exhaust the
// memory of every holder of the schedule, one after the other. Each repetition must run all the same.
func TestOverlappingRepetitionsAreBounded(t *testing.T) {
	c := newCluster(t, 2)
	c.core.options.MaxActiveTasks = 20
	c.submitJob(&workload.Job{
		ID: "a", Queue: "normal", Service: "svc", Account: "large", Steps: []workload.Step{tasks(8, 1)},
		AcceptedAt: c.wall(), Repetitions: 10, FirstRun: c.wall().Add(-time.Hour), Interval: time.Millisecond,
	})
	started := 0
	for range 40 {
		started += len(c.plan().Starts)
		if active := c.core.jobs["a"]; active != nil && active.activeTasks() > 20 {
			t.Fatalf("%d tasks of the job are active, at most 20 are allowed", active.activeTasks())
		}
		if due := c.core.NextDue(); !due.IsZero() && started < 80 {
			t.Fatalf("the next plan is due at %s for a repetition that must wait", due)
		}
		c.listAll()
		c.endAll("a", workload.EndDone)
		c.advance(50 * time.Millisecond)
	}
	if started != 80 {
		t.Errorf("%d tasks were started, want the 80 of all repetitions", started)
	}
}

// TestTakeoverStopsCancelledWork guards against tasks that keep running after their job was cancelled while there was no
// schedule holder: the next holder issued the stops before it was connected to the workers, and never repeated them.
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
		t.Fatalf("%d of 2 runs are stopped after the first listings", len(plan.Stops))
	}
	c.listAll()
	if len(c.placed("a")) > 0 {
		t.Fatal("the cancelled job is still running")
	}
}

// TestRunOfAnEndedJobKeepsItsRoom guards against a start beyond the capacity of a worker: after a takeover the worker still
// runs a task of a job that was cancelled, and whose end is stored without its runs.
func TestRunOfAnEndedJobKeepsItsRoom(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 8))
	c.plan()
	c.core.CancelJob("a")
	c.decide()
	c.submit("b", "normal", "large", tasks(1, 8))
	c.takeOver()
	c.listAll()
	if starts := c.decide().Starts; len(starts) > 0 {
		t.Fatalf("%v starts on a worker that is still occupied", starts[0].Ref)
	}
	c.endAll("a", workload.EndStopped)
	c.listAll()
	if starts := c.plan().Starts; len(starts) != 1 || starts[0].Ref.Task.Job != "b" {
		t.Errorf("starts after the end of the run are %v, want that of b", starts)
	}
}

// TestTakeoverDoesNotOvercommit guards against a start beyond the capacity of a worker: the states of two jobs name it, because
// the earlier holder could not store that it had moved one of them, and only one of the runs has arrived.
func TestTakeoverDoesNotOvercommit(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 8))
	c.plan()
	c.submit("b", "normal", "large", tasks(1, 8))
	c.stored["b"] = c.stored["a"]
	c.takeOver()
	c.listAll()
	if starts := c.decide().Starts; len(starts) > 0 {
		t.Fatalf("%v starts on a worker that is still occupied", starts[0].Ref)
	}
	c.endAll("a", workload.EndDone)
	c.listAll()
	if starts := c.plan().Starts; len(starts) != 1 || starts[0].Ref.Task.Job != "b" {
		t.Errorf("starts after the end of the run are %v, want that of b", starts)
	}
}
