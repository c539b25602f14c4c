package dispatch

import (
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// TestJobWhoseStartsFailedWaitsAgain guards against a job that is counted as running although nothing of it has begun: all its starts
// were rejected, or their workers were lost before they responded, so that the callers' count of waiting jobs is too low.
func TestJobWhoseStartsFailedWaitsAgain(t *testing.T) {
	const job = "0000000000000001"
	for _, c := range []struct {
		name string
		fail func(c *cluster, s Start)
		want workload.Phase
	}{
		{"rejected", func(c *cluster, s Start) { c.core.StartRejected(s.Worker, s.Ref, "no room") }, workload.PhaseQueued},
		{"lost without a response", func(c *cluster, s Start) { c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired) }, workload.PhaseQueued},
		{"confirmed and lost", func(c *cluster, s Start) {
			c.core.StartAccepted(s.Worker, s.Ref)
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
		}, workload.PhaseRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t, 2)
			cl.submit(job, "normal", "large", gangOf(2, 8))
			starts := cl.decide().Starts
			if len(starts) != 2 || cl.phases[job] != workload.PhaseRunning {
				t.Fatalf("%d starts, phase %v; want 2 starts of a running job", len(starts), cl.phases[job])
			}
			for _, s := range starts {
				c.fail(cl, s)
			}
			cl.store()
			if got := cl.phases[job]; got != c.want {
				t.Errorf("the job is %v, want %v", got, c.want)
			}
		})
	}
}

// TestJobThatHasBegunIsNotQueuedAgain guards against a job that is shown as queued after it was running, because its later starts fail.
func TestJobThatHasBegunIsNotQueuedAgain(t *testing.T) {
	const job = "0000000000000001"
	c := newCluster(t, 1)
	c.submit(job, "normal", "large", tasks(1, 8))
	c.plan()
	c.endAll(job, workload.EndFailed)
	c.listAll()
	for _, s := range c.decide().Starts {
		c.core.StartRejected(s.Worker, s.Ref, "no room")
	}
	c.store()
	if got := c.phases[job]; got != workload.PhaseRunning {
		t.Errorf("the job is %v, want running", got)
	}
}
