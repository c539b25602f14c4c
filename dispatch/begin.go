package dispatch

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// beginStoreDelay is how long the begin of a job may wait to be stored, so that it is stored with another change of the job or of other
// jobs. Callers' counts of waiting jobs may be 2 s old.
const beginStoreDelay = 500 * time.Millisecond

// noteBegun records that a worker has begun a run of the job, which is queued until then. A start that was only decided shows nothing:
// it may be rejected, or lost on its way. evidence is what showed the begin, for the log.
func (c *Core) noteBegun(j *job, worker string, ref workload.RunRef, evidence string) {
	if j.begun || j.phase.Final() {
		return
	}
	j.begun = true
	if j.phase != workload.PhaseQueued {
		return
	}
	j.begunAt = c.now
	c.unstoredBegins[j.spec.ID] = j
	c.setPhase(j, workload.PhaseRunning, worker, fmt.Sprintf("%v run %d: %s", ref.Task, ref.Run, evidence))
}

// noteRunBegun is noteBegun for a run that may have no placement any more.
func (c *Core) noteRunBegun(worker string, ref workload.RunRef, evidence string) {
	if j := c.jobs[ref.Task.Job]; j != nil {
		c.noteBegun(j, worker, ref, evidence)
	}
}

// setPhase changes whether an unfinished job is queued or running, which decides whether callers see it as waiting. reason is for the log.
func (c *Core) setPhase(j *job, phase workload.Phase, worker, reason string) {
	j.phase = phase
	c.event(Event{Name: "job " + phase.String(), Job: j.spec.ID, Worker: worker, Detail: reason})
}

// markBegins marks the jobs as changed whose begins should be stored now: those that have waited for beginStoreDelay, and if there is
// something to store in any case, those that have waited for half of it.
func (c *Core) markBegins() {
	c.markBeginsOlderThan(beginStoreDelay)
	if len(c.changed) > 0 {
		c.markBeginsOlderThan(beginStoreDelay / 2)
	}
}

func (c *Core) markBeginsOlderThan(age time.Duration) {
	for _, j := range c.unstoredBegins {
		if c.now-j.begunAt >= age {
			c.markChanged(j)
		}
	}
}
