package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// TestGangStartsInTheRoomItClaimed guards against an urgent gang that waits until its claim expires, with the claimed workers idle: the
// claim was taken from the free accelerators that decide whether a search for the gang is worthwhile. The bound is the shortest
// time within which users expect guaranteed work to begin, 2.7 s, less the time to stop a run.
func TestGangStartsInTheRoomItClaimed(t *testing.T) {
	c := newTimedCluster(t, 4)
	c.submitEstimated("batch", "batch", "small", tasks(32, 1))
	c.runFor(time.Second)
	c.submitEstimated("urgent", "urgent", "large", spread(gangOf(3, 8)))
	c.runFor(4 * time.Second)
	if waited := c.waitTime("urgent"); waited > 1800*time.Millisecond {
		t.Errorf("the urgent gang waited %v after other work was stopped for it, want at most 1.8s", waited)
	}
}

// TestHopelessUrgentWorkStopsNothing guards against running work that is stopped for urgent work beyond its account's guarantee that ends
// too late in any case. Work within the guarantee may still stop it.
func TestHopelessUrgentWorkStopsNothing(t *testing.T) {
	for _, c := range []struct {
		account string
		stops   bool
	}{{"small", false}, {"large", true}} {
		sim := newTimedCluster(t, 4)
		sim.duration["batch"], sim.duration["urgent"] = time.Minute, 10*time.Second
		sim.submitEstimated("running", "batch", "small", tasks(32, 1))
		sim.runFor(time.Second)
		sim.submitEstimated("waiting", "normal", "small", tasks(32, 1))
		sim.runFor(overloadDelay + 2*overloadInterval)
		sim.submitEstimated("urgent", "urgent", c.account, tasks(16, 1))
		sim.specs["urgent"].AcceptedAt = sim.wall().Add(-time.Minute)
		sim.runFor(time.Second)
		if stopped := len(sim.stops) > 0; stopped != c.stops {
			t.Errorf("account %s: %d runs were stopped for urgent work that is a minute late", c.account, len(sim.stops))
		}
	}
}

// TestHopelessWorkIsStoppedFirst guards against urgent work that stops work which can still be done in time, although as much can be freed
// by stopping work that cannot.
func TestHopelessWorkIsStoppedFirst(t *testing.T) {
	c := newTimedCluster(t, 2)
	c.duration["batch"] = 20 * time.Second
	c.submitEstimated("hopeless", "batch", "small", gangOf(1, 8))
	c.specs["hopeless"].AcceptedAt = c.wall().Add(-10 * time.Minute)
	c.runFor(simTick)
	c.submitEstimated("timely", "batch", "small", gangOf(1, 8))
	c.runFor(time.Second)
	c.submitEstimated("urgent", "urgent", "large", gangOf(1, 8))
	c.runFor(time.Second)
	if len(c.stops) != 1 || c.stops[0].Ref.Task.Job != "hopeless" {
		t.Errorf("the runs stopped are %v, want that of the hopeless job", c.stops)
	}
}

// TestWorkThatWentFirstIsNotStoppedForLateWork guards against work that is started and stopped in turn: work on time goes before late
// urgent work beyond its guarantee, which then stopped it again.
func TestWorkThatWentFirstIsNotStoppedForLateWork(t *testing.T) {
	c := newTimedCluster(t, 4)
	c.submitEstimated("running", "normal", "large", tasks(32, 1))
	c.runFor(4 * time.Second)
	submitAged := func(id, queue string, age time.Duration) {
		c.submitEstimated(id, queue, "small", tasks(32, 1))
		c.specs[workload.JobID(id)].AcceptedAt = c.wall().Add(-age)
	}
	submitAged("batch", "batch", 13*time.Second)
	submitAged("urgent", "urgent", 4*time.Second)
	c.runFor(4 * time.Second)
	if _, started := c.firstStart["batch"]; !started || len(c.stops) > 0 {
		t.Errorf("work on time started: %v; %d runs were stopped for late urgent work, want 0", started, len(c.stops))
	}
}

// TestStartThatHasNotBegunIsStoppedFirst guards against lost work: urgent work stops a run that has worked for seconds and spares a start
// that was decided earlier and that its worker has not begun, as if it had worked since.
func TestStartThatHasNotBegunIsStoppedFirst(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("pending", "batch", "small", gangOf(1, 8))
	c.decide()
	c.advance(4 * time.Second)
	c.submit("working", "batch", "small", gangOf(1, 8))
	c.plan()
	c.advance(2 * time.Second)
	c.listAll()
	c.submit("urgent", "urgent", "large", gangOf(1, 8))
	stops := c.decide().Stops
	if len(stops) != 1 || stops[0].Ref.Task.Job != "pending" {
		t.Errorf("the stops are %v, want one, of the start that no worker has begun", stops)
	}
}

// TestStartUpIsLostWithARun guards against stops that are taken for cheaper than they are: the start-up of a run comes again, but the time for
// which its start was refused is not lost with it.
func TestStartUpIsLostWithARun(t *testing.T) {
	for _, c := range []struct{ startUp, want time.Duration }{{200 * time.Millisecond, 2200 * time.Millisecond}, {5 * time.Second, 2*time.Second + maxStartUp}} {
		cl := newCluster(t, 1)
		cl.submit(string(beginJob), "batch", "small", gangOf(1, 8))
		start := cl.decide().Starts[0]
		cl.advance(c.startUp)
		u := cl.core.unitOf(start.Ref.Task)
		if lost := cl.core.timeLost(u); lost != 0 {
			t.Errorf("a stop of a start that has not begun loses %s", lost)
		}
		cl.start(start)
		cl.advance(2 * time.Second)
		if lost := cl.core.timeLost(u); lost != c.want {
			t.Errorf("a stop 2 s after the begin and a start-up of %s loses %s, want %s", c.startUp, lost, c.want)
		}
	}
}
