package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestResultDeterminesState guards against repeating a run-once job that may have run, and against not repeating other
// jobs.
func TestResultDeterminesState(t *testing.T) {
	cases := map[string]struct {
		options []jobOption
		result  Result
		want    jobs.State
	}{
		"completed":                  {nil, Result{Kind: ResultCompleted}, jobs.StateCompleted},
		"lost":                       {nil, Result{Kind: ResultLost}, jobs.StateWaiting},
		"run once lost":              {[]jobOption{runOnce}, Result{Kind: ResultLost}, jobs.StateUnknown},
		"run once failed":            {[]jobOption{runOnce}, Result{Kind: ResultFailed}, jobs.StateFailed},
		"run once not started":       {[]jobOption{runOnce}, Result{Kind: ResultNotStarted}, jobs.StateWaiting},
		"run once stopped":           {[]jobOption{runOnce}, Result{Kind: ResultStopped}, jobs.StateUnknown},
		"run once stopped and saved": {[]jobOption{runOnce, canCheckpoint}, Result{Kind: ResultStopped, Checkpointed: true}, jobs.StateWaiting},
		"unknown":                    {[]jobOption{runOnce}, Result{Kind: ResultUnknown}, jobs.StateUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			f.submit("j", "a", shape(1, 8, resource.AdjacencyNone), c.options...)
			f.planAndStart()
			f.endAttempt("j", c.result)
			f.wantState("j", c.want)
			f.core.Ended("j", 1, Result{Kind: ResultCompleted}, f.now)
			f.wantState("j", c.want)
		})
	}
}

// TestWorkerHealthLimitsPlacement guards against placing work on workers that must not get any, and against resources
// that stay counted after their worker is gone.
func TestWorkerHealthLimitsPlacement(t *testing.T) {
	cases := map[string]struct {
		health Health
		stops  string
		want   jobs.State
		starts int
	}{
		"unreachable": {HealthUnreachable, "", jobs.StateRunning, 0},
		"leaving":     {HealthLeaving, "j", jobs.StateStopping, 0},
		"gone":        {HealthGone, "", jobs.StateWaiting, 0},
		"up":          {HealthUp, "", jobs.StateRunning, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, nil)
			f.submit("j", "a", shape(1, 4, resource.AdjacencyNone), canCheckpoint)
			f.planAndStart()
			f.core.SetWorkerHealth("w-00", c.health, f.now)
			f.submit("k", "a", shape(1, 1, resource.AdjacencyNone))
			p := f.plan()
			if got := stoppedJobs(p); got != c.stops || len(p.Starts) != c.starts {
				t.Errorf("stopped %q with %d starts, want %q and %d", got, len(p.Starts), c.stops, c.starts)
			}
			f.wantState("j", c.want)
		})
	}
}

// TestGangStopsAfterLostMember guards against a gang that continues to run partially after one of its workers is gone.
func TestGangStopsAfterLostMember(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.submit("gang", "a", shape(2, 8, resource.AdjacencyRack), runOnce)
	f.planAndStart()
	f.core.SetWorkerHealth("w-00", HealthGone, f.now)
	if p := f.plan(); len(p.Stops) != 1 || p.Stops[0].Reason != StopLost {
		t.Fatalf("want a stop of the rest of the gang, got %+v", p.Stops)
	}
	f.endAttempt("gang", Result{Kind: ResultStopped})
	f.wantState("gang", jobs.StateUnknown)
}

// TestDegraded guards against treating a guarantee without healthy capacity as a violated invariant instead of
// reporting it as degraded.
func TestDegraded(t *testing.T) {
	f := newFixture(t, 4, withGuarantee("a", 2, shape(2, 8, resource.AdjacencyRack)))
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Fatalf("degraded while healthy: %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUnreachable, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 1 || d[0].Missing != 1 {
		t.Errorf("want one missing copy, got %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUp, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Errorf("still degraded after the worker came back: %+v", d)
	}
}

// TestAdoptedJobsKeepRunning guards against a takeover that starts placed jobs again or stops a running claim for other
// jobs.
func TestAdoptedJobsKeepRunning(t *testing.T) {
	f := newFixture(t, 2, withGuarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	j := jobs.Job{ID: "j", Account: "a", Shape: shape(1, 8, resource.AdjacencyNone), RunOnce: true}
	f.core.Adopt(j, 7, Placement{"w-01"}, jobs.StateRunning, f.now)
	f.submit("other", "b", shape(1, 8, resource.AdjacencyNone), runOnce)
	f.planAndStart()
	f.wantState("j", jobs.StateRunning)
	f.wantState("other", jobs.StateRunning)
	if s, _ := f.core.Status("j"); s.Attempt != 7 || s.Workers[0] != "w-01" {
		t.Errorf("adopted as %+v", s)
	}
}

// TestCancelReleasesCapacity guards against capacity that stays reserved for a cancelled job.
func TestCancelReleasesCapacity(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.submit("busy", "b", shape(1, 8, resource.AdjacencyNone), runOnce)
	f.planAndStart()
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.planAndStart()
	f.advance(5 * time.Minute)
	f.planAndStart()
	f.submit("late", "b", shape(3, 8, resource.AdjacencyRack), runOnce)
	f.planAndStart()
	f.wantState("late", jobs.StateWaiting)
	f.core.Cancel("gang", f.now)
	f.planAndStart()
	f.wantState("gang", jobs.StateCancelled)
	f.wantState("late", jobs.StateRunning)
	f.core.Cancel("late", f.now)
	if got := stoppedJobs(f.planAndStart()); got != "late" {
		t.Errorf("stopped %q, want late", got)
	}
	f.endAttempt("late", Result{Kind: ResultStopped})
	f.wantState("late", jobs.StateCancelled)
}

// TestFaultyJobFailsWithoutQuarantine guards against a faulty job that is retried for ever or that causes workers to be
// quarantined.
func TestFaultyJobFailsWithoutQuarantine(t *testing.T) {
	f := newFixture(t, 8, nil)
	f.submit("bad", "a", shape(1, 8, resource.AdjacencyNone))
	seen := map[string]bool{}
	for range maxFailedWorkers {
		f.advance(maxRetryDelay)
		p := f.planAndStart()
		if len(p.Starts) != 1 {
			t.Fatalf("starts: %+v (%s)", p.Starts, f.core.Why("bad", f.now))
		}
		id := p.Starts[0].Placement[0]
		if seen[id] {
			t.Fatalf("started again on %s where it failed", id)
		}
		seen[id] = true
		f.endAttempt("bad", Result{Kind: ResultFailed, Workers: []string{id}})
	}
	f.wantState("bad", jobs.StateFailed)
	if p := f.planAndStart(); len(p.Condemned) != 1 || f.core.suspended != 0 {
		t.Errorf("condemned %+v, %d workers suspended", p.Condemned, f.core.suspended)
	}
}

// TestQuarantinedWorkerReturnsAfterTrial guards against a quarantined worker that never returns to use, and against
// placing a run-once job on a worker on trial.
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
		t.Errorf("phase %d after a successful trial", w.standing.phase)
	}
}

// adoptRunning adopts a running job on one worker.
func (f *fixture) adoptRunning(id, worker string, accelerators int) {
	j := jobs.Job{ID: id, Account: "b", Shape: shape(1, accelerators, resource.AdjacencyNone), CanCheckpoint: true}
	f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
}

// TestWhyNamesObstacle guards against an explanation that names the wrong obstacle.
func TestWhyNamesObstacle(t *testing.T) {
	wholeWorker, rackGang := shape(1, 8, resource.AdjacencyNone), shape(4, 8, resource.AdjacencyRack)
	cases := map[string]struct {
		change  func(*config.Document)
		before  func(*fixture)
		shape   resource.Shape
		options []jobOption
		want    string
	}{
		"quota": {func(d *config.Document) { d.Accounts["a"] = config.Account{Name: "a", Quota: 8} },
			func(f *fixture) { f.submit("x", "a", wholeWorker) }, wholeWorker, nil, "quota: account a uses 8 of 8"},
		"adjacency": {nil, func(f *fixture) { f.adoptRunning("x", "w-00", 8); f.adoptRunning("y", "w-04", 8) },
			rackGang, nil, "adjacency"},
		"capacity":   {nil, func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) }, wholeWorker, nil, "capacity: 0 of 1"},
		"guarantees": {withGuarantee("b", 8, wholeWorker), func(*fixture) {}, wholeWorker, []jobOption{runOnce}, "bound to guarantees"},
		"reclaim": {withGuarantee("a", 1, wholeWorker), func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) },
			wholeWorker, nil, "reclaim of its guarantee in progress"},
		"degraded": {withGuarantee("a", 1, rackGang), func(f *fixture) {
			for _, id := range []string{"w-00", "w-04"} {
				f.core.SetWorkerHealth(id, HealthUnreachable, f.now)
			}
		}, rackGang, nil, "degraded guarantee"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8, c.change)
			c.before(f)
			f.planAndStart()
			f.submit("j", "a", c.shape, c.options...)
			f.planAndStart()
			if why := f.core.Why("j", f.now); !strings.Contains(why, c.want) || strings.Contains(why, "\n") {
				t.Errorf("got %q, want %q", why, c.want)
			}
		})
	}
}

// TestFragmentationWeightRanksWorkers guards against a fragmentation weight that does not affect the ranking of
// workers.
func TestFragmentationWeightRanksWorkers(t *testing.T) {
	for weight, want := range map[float64]string{0: "w-00", 1: "w-01"} {
		f := newFixture(t, 2, func(d *config.Document) { d.Policy.FragmentationWeight = weight })
		f.adoptRunning("x", "w-01", 6)
		f.submit("j", "a", shape(1, 2, resource.AdjacencyNone), canCheckpoint)
		if p := f.planAndStart(); p.Starts[0].Placement[0] != want {
			t.Errorf("weight %v placed on %s, want %s", weight, p.Starts[0].Placement[0], want)
		}
	}
}

// TestRunTimeEstimateIgnoresDeclaredTime guards against estimates that use declared run times.
func TestRunTimeEstimateIgnoresDeclaredTime(t *testing.T) {
	f := newFixture(t, 1, nil)
	for i := range minRunSamples {
		id := fmt.Sprint("j-", i)
		f.submit(id, "a", shape(1, 1, resource.AdjacencyNone), func(j *jobs.Job) { j.DeclaredRunSeconds = 1 })
		f.planAndStart()
		f.advance(time.Hour)
		f.endAttempt(id, Result{Kind: ResultCompleted})
	}
	f.submit("next", "a", shape(1, 1, resource.AdjacencyNone))
	if d, ok := f.core.estimatedRunTime(f.core.jobs["next"]); !ok || d != time.Hour {
		t.Errorf("learned %v (%v), want 1h", d, ok)
	}
}

// TestReservationAvoidsUnstoppableWork guards against reserving the rack with the most unstoppable work, which the gang
// would have to wait for. Such a rack looks cheapest if only the loss of stops is counted, since nothing can be stopped
// there.
func TestReservationAvoidsUnstoppableWork(t *testing.T) {
	f := newFixture(t, 8, nil)
	unstoppable := map[string]bool{"w-00": true, "w-01": true, "w-02": true, "w-03": true, "w-07": true}
	for i := range 8 {
		worker := fmt.Sprintf("w-%02d", i)
		j := jobs.Job{ID: "busy-" + worker, Account: "b", Shape: shape(1, 8, resource.AdjacencyNone),
			RunOnce: unstoppable[worker]}
		f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
	}
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.planAndStart()
	f.advance(reserveUnstoppableWaits * time.Minute)
	f.planAndStart()
	reservation := f.core.jobs["gang"].hold
	if reservation == nil || reservation.claim {
		t.Fatalf("no reservation: %s", f.core.Why("gang", f.now))
	}
	for _, w := range reservation.placement {
		if w.id < "w-04" {
			t.Fatalf("reserved worker %s in the rack with four workers of unstoppable work, not in the rack with one", w.id)
		}
	}
}
