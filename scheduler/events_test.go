package scheduler

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestResultDeterminesState guards against repeating a run-once job that may have run, against not repeating other
// jobs, and against a second result of an ended attempt that changes the state of the job.
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

// TestWorkerHealthLimitsPlacement guards against placing work on workers that must not get any, against work that is
// not stopped on a leaving worker, and against a job that stays placed after its worker is gone.
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

// TestGangStopsAfterLostMember guards against a gang that continues to run partially after one of its workers is gone,
// and against repeating such a gang if it must run once.
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

// TestAdoptedJobsKeepRunning guards against a new active scheduler that starts adopted jobs again or stops an adopted
// claim for other jobs.
func TestAdoptedJobsKeepRunning(t *testing.T) {
	f := newFixture(t, 2, withGuarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	j := jobs.Job{ID: "j", Account: "a", Shape: shape(1, 8, resource.AdjacencyNone), RunOnce: true}
	f.core.Adopt(j, 7, Placement{"w-01"}, jobs.StateRunning, f.now)
	f.submit("other", "b", shape(1, 8, resource.AdjacencyNone), runOnce)
	f.planAndStart()
	f.wantState("j", jobs.StateRunning)
	f.wantState("other", jobs.StateRunning)
	if s, _ := f.core.Status("j"); s.Attempt != 7 || s.Workers[0] != "w-01" {
		t.Errorf("adopted job has status %+v, want attempt 7 on w-01", s)
	}
}

// TestCancelReleasesCapacity guards against capacity that stays reserved for a cancelled waiting job, and against a
// cancelled running job that is not stopped or does not end as cancelled.
func TestCancelReleasesCapacity(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.submit("busy", "b", shape(1, 8, resource.AdjacencyNone), runOnce)
	f.planAndStart()
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.planAndStart()
	// The gang gets a reservation, because it has waited for more than reserveUnstoppableWaits of one minute each. This
	// is why "late" waits although three workers are free.
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
