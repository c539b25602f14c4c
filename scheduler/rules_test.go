package scheduler

import (
	"fmt"
	"testing"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestFaultyJobFailsWithoutQuarantine guards against a faulty job that is retried forever or on a worker where it
// failed, and against one that causes workers to be quarantined.
func TestFaultyJobFailsWithoutQuarantine(t *testing.T) {
	f := newFixture(t, 8, nil)
	f.submit("bad", "a", shape(1, 8, resource.AdjacencyNone))
	seen := map[string]bool{}
	for range maxFailedWorkers {
		f.advance(maxRetryDelay)
		p := f.planAndStart()
		if len(p.Starts) != 1 {
			t.Fatalf("want one start, got %+v (%s)", p.Starts, f.core.Why("bad", f.now))
		}
		id := p.Starts[0].Placement[0]
		if seen[id] {
			t.Fatalf("job bad started again on worker %s, on which it failed", id)
		}
		seen[id] = true
		f.endAttempt("bad", Result{Kind: ResultFailed, Workers: []string{id}})
	}
	f.wantState("bad", jobs.StateFailed)
	if p := f.planAndStart(); len(p.PermanentFailures) != 1 || f.core.suspended != 0 {
		t.Errorf("permanent failures %+v, %d workers suspended", p.PermanentFailures, f.core.suspended)
	}
}

// TestQuarantinedWorkerReturnsAfterTrial guards against a quarantined worker that gets jobs too early or never returns
// to use, and against placing a run-once job on a worker on trial.
func TestQuarantinedWorkerReturnsAfterTrial(t *testing.T) {
	f := newFixture(t, 4, nil)
	for i := 1; i < 4; i++ {
		f.adoptRunning(fmt.Sprint("busy-", i), fmt.Sprintf("w-%02d", i), 8)
	}
	w := f.core.workers["w-00"]
	f.core.quarantine(w)
	f.submit("once", "a", shape(1, 8, resource.AdjacencyNone), runOnce)
	f.submit("trial", "a", shape(1, 8, resource.AdjacencyNone))
	f.planAndStart()
	f.wantState("trial", jobs.StateWaiting)
	f.advance(quarantineTime)
	f.planAndStart()
	f.wantState("once", jobs.StateWaiting)
	f.wantState("trial", jobs.StateRunning)
	f.endAttempt("trial", Result{Kind: ResultCompleted})
	if w.standing.phase != phaseNormal {
		t.Errorf("worker w-00 is in phase %d after a successful trial, want phaseNormal", w.standing.phase)
	}
}
