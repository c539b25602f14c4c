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

// TestEndStates guards against a run-once job that is repeated and against other jobs that are not.
func TestEndStates(t *testing.T) {
	cases := map[string]struct {
		kinds  []kind
		result Result
		want   jobs.State
	}{
		"completed":                  {nil, Result{Kind: ResultCompleted}, jobs.StateCompleted},
		"lost":                       {nil, Result{Kind: ResultLost}, jobs.StateWaiting},
		"run once lost":              {[]kind{once}, Result{Kind: ResultLost}, jobs.StateUnknown},
		"run once failed":            {[]kind{once}, Result{Kind: ResultFailed}, jobs.StateFailed},
		"run once not started":       {[]kind{once}, Result{Kind: ResultNotStarted}, jobs.StateWaiting},
		"run once stopped":           {[]kind{once}, Result{Kind: ResultStopped}, jobs.StateUnknown},
		"run once stopped and saved": {[]kind{once, checkpoints}, Result{Kind: ResultStopped, Checkpointed: true}, jobs.StateWaiting},
		"unknown":                    {[]kind{once}, Result{Kind: ResultUnknown}, jobs.StateUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			f.submit("j", "a", shape(1, 8, resource.AdjacencyNone), c.kinds...)
			f.run()
			f.end("j", c.result)
			f.state("j", c.want)
			f.core.Ended("j", 1, Result{Kind: ResultCompleted}, f.now)
			f.state("j", c.want)
		})
	}
}

// TestHealth guards against work on workers that must not get any, and against lost work that stays counted.
func TestHealth(t *testing.T) {
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
			f.submit("j", "a", shape(1, 4, resource.AdjacencyNone), checkpoints)
			f.run()
			f.core.SetWorkerHealth("w-00", c.health, f.now)
			f.submit("k", "a", shape(1, 1, resource.AdjacencyNone))
			p := f.plan()
			if got := stopped(p); got != c.stops || len(p.Starts) != c.starts {
				t.Errorf("stopped %q with %d starts, want %q and %d", got, len(p.Starts), c.stops, c.starts)
			}
			f.state("j", c.want)
		})
	}
}

// TestLostMember guards against a gang that goes on partially after one of its workers is gone.
func TestLostMember(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.submit("gang", "a", shape(2, 8, resource.AdjacencyRack), once)
	f.run()
	f.core.SetWorkerHealth("w-00", HealthGone, f.now)
	if p := f.plan(); len(p.Stops) != 1 || p.Stops[0].Reason != StopLost {
		t.Fatalf("want a stop of the rest of the gang, got %+v", p.Stops)
	}
	f.end("gang", Result{Kind: ResultStopped})
	f.state("gang", jobs.StateUnknown)
}

// TestDegraded guards against a guarantee without healthy capacity that is asserted instead of reported.
func TestDegraded(t *testing.T) {
	f := newFixture(t, 4, guarantee("a", 2, shape(2, 8, resource.AdjacencyRack)))
	f.run()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Fatalf("degraded while healthy: %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUnreachable, f.now)
	f.run()
	if d := f.core.Degraded(); len(d) != 1 || d[0].Missing != 1 {
		t.Errorf("want one missing copy, got %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUp, f.now)
	f.run()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Errorf("still degraded after the worker came back: %+v", d)
	}
}

// TestAdopt guards against a takeover that starts placed jobs again or lets others stop a running claim.
func TestAdopt(t *testing.T) {
	f := newFixture(t, 2, guarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	j := jobs.Job{ID: "j", Account: "a", Shape: shape(1, 8, resource.AdjacencyNone), RunOnce: true}
	f.core.Adopt(j, 7, Placement{"w-01"}, jobs.StateRunning, f.now)
	f.submit("other", "b", shape(1, 8, resource.AdjacencyNone), once)
	f.run()
	f.state("j", jobs.StateRunning)
	f.state("other", jobs.StateRunning)
	if s, _ := f.core.Status("j"); s.Attempt != 7 || s.Workers[0] != "w-01" {
		t.Errorf("adopted as %+v", s)
	}
}

// TestCancel guards against capacity that stays reserved for a cancelled job.
func TestCancel(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.submit("busy", "b", shape(1, 8, resource.AdjacencyNone), once)
	f.run()
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.run()
	f.after(5 * time.Minute)
	f.run()
	f.submit("late", "b", shape(3, 8, resource.AdjacencyRack), once)
	f.run()
	f.state("late", jobs.StateWaiting)
	f.core.Cancel("gang", f.now)
	f.run()
	f.state("gang", jobs.StateCancelled)
	f.state("late", jobs.StateRunning)
	f.core.Cancel("late", f.now)
	if got := stopped(f.run()); got != "late" {
		t.Errorf("stopped %q, want late", got)
	}
	f.end("late", Result{Kind: ResultStopped})
	f.state("late", jobs.StateCancelled)
}

// TestCondemned guards against a bad job that is retried for ever or takes workers out.
func TestCondemned(t *testing.T) {
	f := newFixture(t, 8, nil)
	f.submit("bad", "a", shape(1, 8, resource.AdjacencyNone))
	seen := map[string]bool{}
	for range maxFailedWorkers {
		f.after(maxRetryDelay)
		p := f.run()
		if len(p.Starts) != 1 {
			t.Fatalf("starts: %+v (%s)", p.Starts, f.core.Why("bad", f.now))
		}
		id := p.Starts[0].Placement[0]
		if seen[id] {
			t.Fatalf("started again on %s where it failed", id)
		}
		seen[id] = true
		f.end("bad", Result{Kind: ResultFailed, Workers: []string{id}})
	}
	f.state("bad", jobs.StateFailed)
	if p := f.run(); len(p.Condemned) != 1 || f.core.suspended != 0 {
		t.Errorf("condemned %+v, %d workers out", p.Condemned, f.core.suspended)
	}
}

// TestQuarantineTrial guards against a quarantined worker that never comes back, and against run-once work on trial.
func TestQuarantineTrial(t *testing.T) {
	f := newFixture(t, 4, nil)
	for i := 1; i < 4; i++ {
		f.adopt(fmt.Sprint("busy-", i), fmt.Sprintf("w-%02d", i), 8)
	}
	w := f.core.workers["w-00"]
	f.core.quarantine(w)
	f.submit("once", "a", shape(1, 8, resource.AdjacencyNone), once)
	f.submit("trial", "a", shape(1, 8, resource.AdjacencyNone))
	f.run()
	f.state("trial", jobs.StateWaiting)
	f.after(quarantineTime)
	f.run()
	f.state("once", jobs.StateWaiting)
	f.state("trial", jobs.StateRunning)
	f.end("trial", Result{Kind: ResultCompleted})
	if w.standing.phase != phaseTrusted {
		t.Errorf("phase %d after a good trial", w.standing.phase)
	}
}

// adopt places a running job on one worker.
func (f *fixture) adopt(id, worker string, accelerators int) {
	j := jobs.Job{ID: id, Account: "b", Shape: shape(1, accelerators, resource.AdjacencyNone), CanCheckpoint: true}
	f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
}

// TestWhy guards against an explanation that names the wrong obstacle.
func TestWhy(t *testing.T) {
	eight, rack := shape(1, 8, resource.AdjacencyNone), shape(4, 8, resource.AdjacencyRack)
	cases := map[string]struct {
		change func(*config.Document)
		before func(*fixture)
		shape  resource.Shape
		kinds  []kind
		want   string
	}{
		"quota": {func(d *config.Document) { d.Accounts["a"] = config.Account{Name: "a", Quota: 8} },
			func(f *fixture) { f.submit("x", "a", eight) }, eight, nil, "quota: account a uses 8 of 8"},
		"adjacency": {nil, func(f *fixture) { f.adopt("x", "w-00", 8); f.adopt("y", "w-04", 8) },
			rack, nil, "adjacency"},
		"capacity":   {nil, func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) }, eight, nil, "capacity: 0 of 1"},
		"guarantees": {guarantee("b", 8, eight), func(*fixture) {}, eight, []kind{once}, "bound to guarantees"},
		"reclaim": {guarantee("a", 1, eight), func(f *fixture) { f.submit("x", "b", shape(8, 8, resource.AdjacencyNone)) },
			eight, nil, "reclaim of its guarantee in progress"},
		"degraded": {guarantee("a", 1, rack), func(f *fixture) {
			for _, id := range []string{"w-00", "w-04"} {
				f.core.SetWorkerHealth(id, HealthUnreachable, f.now)
			}
		}, rack, nil, "degraded guarantee"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8, c.change)
			c.before(f)
			f.run()
			f.submit("j", "a", c.shape, c.kinds...)
			f.run()
			if why := f.core.Why("j", f.now); !strings.Contains(why, c.want) || strings.Contains(why, "\n") {
				t.Errorf("got %q, want %q", why, c.want)
			}
		})
	}
}

// TestWeight guards against a fragmentation weight without effect on the ranking.
func TestWeight(t *testing.T) {
	for weight, want := range map[float64]string{0: "w-00", 1: "w-01"} {
		f := newFixture(t, 2, func(d *config.Document) { d.Policy.FragmentationWeight = weight })
		f.adopt("x", "w-01", 6)
		f.submit("j", "a", shape(1, 2, resource.AdjacencyNone), checkpoints)
		if p := f.run(); p.Starts[0].Placement[0] != want {
			t.Errorf("weight %v placed on %s, want %s", weight, p.Starts[0].Placement[0], want)
		}
	}
}

// TestLearned guards against trust in declared run times.
func TestLearned(t *testing.T) {
	f := newFixture(t, 1, nil)
	for i := range minRunSamples {
		id := fmt.Sprint("j-", i)
		f.submit(id, "a", shape(1, 1, resource.AdjacencyNone), func(j *jobs.Job) { j.DeclaredRunSeconds = 1 })
		f.run()
		f.after(time.Hour)
		f.end(id, Result{Kind: ResultCompleted})
	}
	f.submit("next", "a", shape(1, 1, resource.AdjacencyNone))
	if d, ok := f.core.estimatedRunTime(f.core.jobs["next"]); !ok || d != time.Hour {
		t.Errorf("learned %v (%v), want 1h", d, ok)
	}
}

// TestPatientReservationAvoidsUnstoppableWork guards against a gang that reserves the rack with the most work that may
// not be stopped, because nothing is lost by stops there, and waits for its end.
func TestPatientReservationAvoidsUnstoppableWork(t *testing.T) {
	f := newFixture(t, 8, nil)
	unstoppable := map[string]bool{"w-00": true, "w-01": true, "w-02": true, "w-03": true, "w-07": true}
	for i := range 8 {
		worker := fmt.Sprintf("w-%02d", i)
		j := jobs.Job{ID: "busy-" + worker, Account: "b", Shape: shape(1, 8, resource.AdjacencyNone),
			RunOnce: unstoppable[worker]}
		f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
	}
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.run()
	f.after(reserveUnstoppableWaits * time.Minute)
	f.run()
	held := f.core.jobs["gang"].hold
	if held == nil || held.claim {
		t.Fatalf("no reservation: %s", f.core.Why("gang", f.now))
	}
	for _, w := range held.placement {
		if w.id < "w-04" {
			t.Fatalf("reserved worker %s among four with unstoppable work, not the rack with one", w.id)
		}
	}
}
