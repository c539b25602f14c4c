package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/workload"
)

// decide returns the reason for which a job like the given one, which has been submitted, would be refused now.
func (l *load) decide(id workload.JobID) overload.Reason {
	spec := l.specs[id]
	chains := overload.NewChains(spec.Steps)
	return overload.Decide(l.core.Forecast(), 0, overload.Job{
		ID: string(id), Service: spec.Service, Priority: spec.Priority, Objective: chains.Objective(spec.AcceptedPolicy()), Accelerators: true,
	}).Reason
}

// TestShortJobBesideLongOnesIsAccepted guards against a refusal of a short job that is done in time, because of long work of its queue that
// has time left and goes after it.
func TestShortJobBesideLongOnesIsAccepted(t *testing.T) {
	l := newLoad(t, 4, 1)
	for i := range 128 {
		l.submit("batch", "small", tasks(1, 1), 60*time.Second+time.Duration(i)*2*time.Second)
	}
	l.runFor(70 * time.Second)
	short := l.submit("batch", "small", tasks(1, 1), time.Second)
	if reason := l.decide(short); reason != "" {
		t.Errorf("the short job is refused for the reason %q", reason)
	}
	l.runFor(20 * time.Second)
	if !l.phases[short].Final() || l.outcome(short) > 3 {
		t.Errorf("the short job is in phase %v and ended after %.1f times its objective, want at most 3", l.phases[short], l.outcome(short))
	}
}

// TestGangWithoutWorkersRefusesNothing guards against a gang for which there are not enough workers, and whose work makes other jobs be
// refused although they pass it.
func TestGangWithoutWorkersRefusesNothing(t *testing.T) {
	l := newLoad(t, 2, 1)
	l.submit("normal", "large", gangOf(4, 8), time.Hour)
	l.submit("batch", "small", tasks(24, 1), 5*time.Second)
	l.runFor(2 * time.Second)
	if l.overloads() != 1 {
		t.Fatalf("the service became overloaded %d times, want once", l.overloads())
	}
	if reason := l.decide(l.submit("batch", "small", tasks(1, 1), time.Second)); reason != "" {
		t.Errorf("a job that passes the gang is refused for the reason %q", reason)
	}
}

// TestOverloadEventsAreDeterministic guards against events whose order depends on that in which a map is read.
func TestOverloadEventsAreDeterministic(t *testing.T) {
	c := newCluster(t, 0)
	var want []string
	for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		job := &workload.Job{ID: workload.JobID(service), Service: service, MaxFailedRuns: 1, Steps: []workload.Step{tasks(1, 1)}, AcceptedAt: c.wall()}
		c.core.AddJob(job, nil)
		want = append(want, service)
	}
	var got []string
	for range 20 {
		c.advance(100 * time.Millisecond)
		c.core.Plan()
		for _, e := range c.core.TakeEvents() {
			if e.Name == "service overloaded" {
				got = append(got, e.Detail)
			}
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("the services became overloaded in the order %v, want %v", got, want)
	}
}

// TestInflowOfLongAndFutureJobs guards against refusals of less urgent work because of a single long task, which takes no more than its
// accelerator, and against work that is not counted because the clock of the VM that accepted it is ahead.
func TestInflowOfLongAndFutureJobs(t *testing.T) {
	l := newLoad(t, 1, 1)
	rate := func() float64 { return l.core.overload.inflow["svc"][1].Rate(l.wall()).Accelerators }
	l.submit("normal", "small", tasks(1, 1), 100*time.Hour)
	if got := rate(); got < 0.9 || got > 1.1 {
		t.Errorf("a long task of one accelerator arrives at a rate of %.1f accelerators, want 1", got)
	}
	ahead := &workload.Job{ID: "ahead", Queue: "normal", Service: "svc", Steps: []workload.Step{tasks(1, 1)}, AcceptedAt: l.wall().Add(time.Hour)}
	ahead.Steps[0].Estimate = time.Hour
	l.submitJob(ahead)
	if got := rate(); got < 1.9 || got > 2.1 {
		t.Errorf("with a second one that is accepted an hour from now, the rate is %.1f, want 2", got)
	}
}

// TestLeavingWorkersAreNoCapacity guards against a forecast that counts workers which accept no more work.
func TestLeavingWorkersAreNoCapacity(t *testing.T) {
	l := newLoad(t, 4, 1)
	l.submit("normal", "small", tasks(64, 1), time.Minute)
	info := l.workers[l.workerIDs[0]].info
	info.Draining = true
	l.core.SetWorker(info)
	l.runFor(2 * time.Second)
	f := l.core.Forecast()
	if len(f.Services) != 1 || f.Services[0].Accelerators != 24 {
		t.Errorf("the forecast is %+v, want 24 accelerators of three workers", f)
	}
}

// TestRepetitionsCountFromTheirDueTimes guards against repetitions that are hopeless as soon as they are due, because the job was accepted
// long before.
func TestRepetitionsCountFromTheirDueTimes(t *testing.T) {
	c := newCluster(t, 1)
	spec := &workload.Job{
		Steps: []workload.Step{tasks(1, 1)}, AcceptedAt: c.wall().Add(-time.Hour),
		Repetitions: 4, FirstRun: c.wall().Add(-2 * time.Minute), Interval: time.Minute,
	}
	j := &job{spec: spec, chains: overload.NewChains(spec.Steps)}
	for repetition, want := range []time.Duration{2 * time.Minute, time.Minute, 0} {
		if got := c.core.outlook(newStep(j, repetition, 0), 0).Age; got != want {
			t.Errorf("repetition %d has the age %v, want %v", repetition, got, want)
		}
	}
}

// BenchmarkForecastUnderOverload measures a forecast while much work waits.
func BenchmarkForecastUnderOverload(b *testing.B) {
	c := newOverloadedCluster(b)
	for range 10 {
		c.advance(200 * time.Millisecond)
		c.core.Plan()
	}
	if len(c.core.Forecast().Services) == 0 {
		b.Fatal("the service is not overloaded")
	}
	for b.Loop() {
		c.core.Forecast()
	}
}

// TestStartThatHasNotBegunDoesNotProgress guards against a job that is taken for one that can still end in time, as if its start had been
// at work since it was decided: it is hopeless, and stopping it costs little.
func TestStartThatHasNotBegunDoesNotProgress(t *testing.T) {
	c := newCluster(t, 1)
	c.submit(string(beginJob), "normal", "large", tasks(1, 8))
	start := c.decide().Starts[0]
	// With an estimate of 2 s the job is late until three times its objective of 7 s.
	c.advance(20 * time.Second)
	u := c.core.jobs[beginJob].repetitions.steps(0)[0].units[0]
	if !c.core.endsHopeless(u) {
		t.Error("a job with 2 s of work that has not begun 1 s before it is hopeless counts as one that can end in time")
	}
	c.core.StartAccepted(start.Worker, start.Ref)
	c.advance(500 * time.Millisecond)
	c.core.jobs[beginJob].spec.AcceptedAt = c.wall().Add(-18 * time.Second)
	if c.core.endsHopeless(u) {
		t.Error("a job that has 1.5 s of work left 3 s before it is hopeless counts as hopeless")
	}
}

// TestRefusedStartKeepsItsTurn guards against hopeless work that never gets its share of an overloaded service, because a start of it that
// its worker has refused counts as its turn.
func TestRefusedStartKeepsItsTurn(t *testing.T) {
	for name, end := range map[string]func(c *cluster, s Start){
		"refused": func(c *cluster, s Start) { c.core.StartRejected(s.Worker, s.Ref, "not healthy") },
		"begun and lost": func(c *cluster, s Start) {
			c.core.StartAccepted(s.Worker, s.Ref)
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			c.submit(string(beginJob), "batch", "small", gangOf(1, 8))
			c.specs[beginJob].AcceptedAt = c.wall().Add(-time.Hour)
			c.core.updateOverload(c.core.readySteps())
			load := &serviceLoad{overloaded: true, changedAt: never, capacity: workerSize}
			c.core.overload.services["svc"] = load
			load.countTurn(overload.OnTime, 1)
			start := c.decide().Starts[0]
			if load.turns.Due() {
				t.Fatal("the start of hopeless work does not count as its turn")
			}
			end(c, start)
			if due := load.turns.Due(); due != (name == "refused") {
				t.Errorf("it is the turn of hopeless work: %v", due)
			}
		})
	}
}
