package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const coldTime = 10 * time.Second

// chill restarts a worker as a process that is cold for coldTime.
func (c *cluster) chill(worker string) {
	c.restart(worker)
	w := c.workers[worker]
	w.info.ColdRemaining = coldTime
	c.core.SetWorker(w.info)
}

// TestWarmWorkerIsPreferred guards against work that goes to a worker that is slow after its start while a warm one has room, be it in
// another rack, and against a worker that stays cold.
func TestWarmWorkerIsPreferred(t *testing.T) {
	c := newCluster(t, workersPerRack+1)
	for _, id := range c.workerIDs[:workersPerRack] {
		c.chill(id)
	}
	c.advance(simTick)
	c.listAll()
	c.submit("a", "normal", "large", tasks(8, 1))
	if starts := c.plan().Starts; starts[0].Worker != "w08" || starts[7].Worker != "w08" {
		t.Errorf("got starts %+v, want all on the warm worker", starts)
	}
	c.submit("b", "normal", "large", gangOf(2, 1))
	if starts := c.plan().Starts; len(starts) != 2 {
		t.Errorf("%d members start while only cold workers have room, want 2", len(starts))
	}
	c.advance(coldTime)
	if c.core.cold(c.core.workers["w00"]) {
		t.Error("the worker is cold after the announced time")
	}
}

// TestWarmRackIsPreferred guards against a gang that is held back by a member on a worker that is slow after its start, while another
// rack has room on warm workers only.
func TestWarmRackIsPreferred(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	c.submit("a", "normal", "large", tasks(1, 4))
	if start := c.plan().Starts[0]; start.Worker != "w00" {
		t.Fatalf("the task starts on %s, want the first rack to be the fuller one", start.Worker)
	}
	c.chill("w07")
	c.submit("b", "normal", "large", gangOf(4, 8))
	if in := c.startsIn(c.plan().Starts); in["d1"] != 4 {
		t.Errorf("starts in the racks are %v, want 4 in the warm one", in)
	}
}

// TestColdWorkersAreLimited guards against cold workers that get all new work because they are empty, and against a limit where no
// worker is warm or none is set. Each of the two warm workers gets one task in each round, and is full at the end.
func TestColdWorkersAreLimited(t *testing.T) {
	const cold, slack = 2, 2
	cases := []struct {
		warm, rounds int
		overage      float64
		want         int
	}{
		{warm: 2, rounds: 0, overage: 1.5, want: cold * slack},
		{warm: 2, rounds: 1, overage: 1.5, want: cold * (slack + 1)},
		{warm: 2, rounds: 2, overage: 1.5, want: cold * (slack + 3)},
		{warm: 0, rounds: 0, overage: 1.5, want: cold * 8},
		{warm: 2, rounds: 0, overage: 0, want: cold * 8},
	}
	for _, test := range cases {
		for _, gang := range []bool{false, true} {
			c := newCluster(t, test.warm+cold)
			c.core.options.ColdOverage, c.core.options.ColdSlack = test.overage, slack
			for i := range test.warm {
				c.submit(fmt.Sprintf("fill%d", i), "normal", "large", tasks(1, 8-min(1, test.rounds)))
			}
			c.plan()
			for _, id := range c.workerIDs[test.warm:] {
				c.chill(id)
			}
			for i := range test.rounds {
				if i > 0 {
					c.endAll(fmt.Sprintf("round%d", i-1), workload.EndDone)
				}
				c.submit(fmt.Sprintf("round%d", i), "normal", "large", tasks(test.warm, 1))
				c.runFor(simTick)
			}
			step := tasks(1, 1)
			step.Gang = gang
			for i := range 20 {
				c.submit(fmt.Sprintf("x%d", i), "normal", "large", step)
			}
			if got := len(c.runFor(simTick)); got != test.want {
				t.Errorf("gang %v, %+v: %d starts on cold workers, want %d", gang, test, got, test.want)
			}
		}
	}
}

// TestExcludedWorkersDoNotLimitColdOnes guards against cold workers that stay unused because the only warm worker is quarantined: it gets
// no work either, so that the limit would not rise.
func TestExcludedWorkersDoNotLimitColdOnes(t *testing.T) {
	c := newCluster(t, 3)
	c.core.options.ColdOverage, c.core.options.ColdSlack = 1, 0
	c.chill("w01")
	c.chill("w02")
	c.listAll()
	c.core.workers["w00"].health.quarantinedUntil = c.now + time.Minute
	c.submit("a", "normal", "large", tasks(4, 1))
	if starts := c.plan().Starts; len(starts) != 4 || starts[0].Worker == "w00" {
		t.Errorf("got starts %+v, want 4 on the cold workers", starts)
	}
}

// TestReclaimKeepsToTheLimitOfColdWorkers guards against work that is stopped on a cold worker for urgent work that may not start there.
func TestReclaimKeepsToTheLimitOfColdWorkers(t *testing.T) {
	c := newCluster(t, 2)
	c.core.options.ColdOverage, c.core.options.ColdSlack = 1, 1
	c.submit("warm", "batch", "small", tasks(1, 8))
	c.plan()
	// The work on the cold worker is the cheaper to stop.
	c.advance(time.Second)
	c.chill("w01")
	c.submit("cold", "batch", "small", tasks(1, 8))
	c.runFor(simTick)
	c.submit("urgent", "urgent", "large", tasks(1, 4))
	for _, stop := range c.decide().Stops {
		if stop.Worker != "w00" {
			t.Errorf("%v is stopped on the cold worker", stop.Ref)
		}
	}
}

// TestColdWorkerIsNeitherSlowNorStalled guards against a worker that is excluded, and runs that are moved off it, because it is slow
// after its start; and against one that stays slow after that without being noticed.
func TestColdWorkerIsNeitherSlowNorStalled(t *testing.T) {
	const workers = 8
	p := newPacedCluster(t, workers)
	// Runs of two jobs share each worker: a single run that is slow from its start counts as a long task.
	step := tasks(workers, 4)
	step.Checkpointing, step.MaxPerWorker = true, 1
	for i := range 10 {
		p.submitTimed(fmt.Sprintf("before%d", i), "normal", 2*time.Second, step)
	}
	p.runFor(12 * time.Second)
	p.chill("w00")
	p.speed["w00"] = 0.1
	for i := range 8 {
		p.submitTimed(fmt.Sprintf("cold%d", i), "normal", 20*time.Second, step)
	}
	p.runFor(coldTime - time.Second)
	if w := p.core.workers["w00"]; w.slowUntil > 0 || w.health.failures > 0 || len(p.stops) > 0 {
		t.Errorf("the cold worker counts as slow until %s and has %d failures; %d runs were stopped", w.slowUntil, w.health.failures, len(p.stops))
	}
	p.runFor(6 * time.Second)
	if p.core.workers["w00"].slowUntil == 0 {
		t.Error("the worker is as slow as before 5 s after it should be warm, and does not count as slow")
	}
}

// TestRefusedStartsDoNotRaiseTheShareOfColdWorkers guards against cold workers that get more than their part, because starts that warm
// workers have refused count as theirs, and against refused starts that use up the part of a cold worker.
func TestRefusedStartsDoNotRaiseTheShareOfColdWorkers(t *testing.T) {
	refusals := map[string]func(c *cluster, s Start){
		"first attempt": func(c *cluster, s Start) { c.core.StartRejected(s.Worker, s.Ref, "not healthy") },
		"later attempt": func(c *cluster, s Start) {
			c.core.AbandonStart(s.Worker, s.Ref, "not healthy")
			c.core.StopConfirmed(s.Worker, s.Ref)
			c.advance(simTick)
			c.list(s.Worker)
		},
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			c.chill("w00")
			c.submit("a", "normal", "large", tasks(16, 1))
			for range 3 {
				c.advance(simTick)
				c.listAll()
				for _, s := range c.decide().Starts {
					refuse(c, s)
				}
			}
			if share, cold := c.core.warmShareOf("svc").total, c.core.workers["w00"].coldStart.starts; share > 0.001 || cold != 0 {
				t.Errorf("the share of a warm worker is %.1f and the cold one has got %d tasks although none has begun", share, cold)
			}
		})
	}
}
