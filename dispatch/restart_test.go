package dispatch

import (
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// restart makes a worker's process end and start again under the same id, and lists the new process.
func (c *cluster) restart(worker string) {
	w := c.workers[worker]
	w.info.Incarnation++
	w.running = map[workload.RunRef]*simRun{}
	w.ended, w.lastSequence = nil, 0
	c.list(worker)
}

// TestRestartEndsAnUnconfirmedStart guards against a task that stays bound to a worker that has restarted, because its start had
// no response from the process that has ended. The run must be stopped at the new process first, which a late attempt may reach.
func TestRestartEndsAnUnconfirmedStart(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.restart(start.Worker)
	if plan := c.decide(); len(plan.Stops) != 1 || plan.Stops[0].Ref != start.Ref || len(plan.Starts) != 0 {
		t.Fatalf("got %+v after the restart, want only a stop of the run", plan)
	}
	c.core.StopConfirmed(start.Worker, start.Ref)
	c.advance(simTick)
	c.list(start.Worker)
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Ref.Run <= start.Ref.Run || plan.Starts[0].Worker == start.Worker {
		t.Fatalf("got %+v after the stop was confirmed, want a higher run on the other worker", plan)
	}
}

// TestRestartRepeatsAnUnconfirmedStop guards against a task that waits forever for the end of a run: the stop of the run had no
// response from the process that has ended, and nothing sends it to the new one.
func TestRestartRepeatsAnUnconfirmedStop(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.restart(start.Worker)
	c.decide()
	c.restart(start.Worker)
	if plan := c.decide(); len(plan.Stops) != 1 || plan.Stops[0].Ref != start.Ref {
		t.Fatalf("got %+v after the second restart, want the stop of the run again", plan)
	}
}
