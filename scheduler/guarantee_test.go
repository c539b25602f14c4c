package scheduler

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestDegraded guards against treating a guarantee without healthy capacity as a violated invariant instead of
// reporting it as degraded, and against reporting it after the capacity is back.
func TestDegraded(t *testing.T) {
	f := newFixture(t, 4, withGuarantee("a", 2, shape(2, 8, resource.AdjacencyRack)))
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Fatalf("guarantees are degraded although all workers are up: %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUnreachable, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 1 || d[0].Missing != 1 {
		t.Errorf("want one guarantee with one unbound cell, got %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUp, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Errorf("guarantees are still degraded after the worker is up again: %+v", d)
	}
}

// TestClaimOutlivesItsWorker guards against a claim that never starts: it waits for its victims when the worker of its
// hold becomes unreachable and its cell is unbound, and it must then wait in its class like any other job.
func TestClaimOutlivesItsWorker(t *testing.T) {
	f := newFixture(t, 2, withGuarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	f.submit("x", "b", shape(1, 8, resource.AdjacencyNone))
	f.submit("y", "b", shape(1, 8, resource.AdjacencyNone))
	f.planAndStart()
	f.submit("claim", "a", shape(1, 8, resource.AdjacencyNone))
	f.plan()
	hold := f.core.jobs["claim"].hold
	if hold == nil {
		t.Fatal("the claim does not wait for a victim")
	}
	f.core.SetWorkerHealth(hold.placement[0].id, HealthUnreachable, f.now)
	f.plan()
	f.endAttempt("x", Result{Kind: ResultCompleted})
	f.endAttempt("y", Result{Kind: ResultCompleted})
	f.planAndStart()
	f.wantState("claim", jobs.StateRunning)
	if waited := f.now.Sub(testStart); waited > time.Duration(f.doc.Policy.ReclaimBoundMS)*time.Millisecond {
		t.Errorf("the claim started after %s", waited)
	}
}

// TestStartThatHasNotRunIsStoppedFirst guards against a claim that stops a job which has run for minutes and spares one that was placed
// earlier and whose members do not run yet, as if it had lost work since it was placed.
func TestStartThatHasNotRunIsStoppedFirst(t *testing.T) {
	f := newFixture(t, 2, withGuarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	f.submit("placed", "b", shape(1, 8, resource.AdjacencyNone))
	f.plan()
	f.now = f.now.Add(time.Minute)
	f.submit("running", "b", shape(1, 8, resource.AdjacencyNone))
	f.plan()
	f.core.Started("running", f.core.jobs["running"].attempt, f.now)
	f.now = f.now.Add(time.Minute)
	f.submit("claim", "a", shape(1, 8, resource.AdjacencyNone))
	f.plan()
	f.wantState("placed", jobs.StateStopping)
	f.wantState("running", jobs.StateRunning)
}
