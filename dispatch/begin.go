package dispatch

import (
	"fmt"
	"slices"
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

// noteRunBegun records that the run has begun on the worker. p is its placement there; nil if it has none any more.
func (c *Core) noteRunBegun(p *placement, worker string, ref workload.RunRef, evidence string) {
	if p != nil && p.beganAt >= 0 {
		return
	}
	if j := c.jobs[ref.Task.Job]; j != nil {
		c.noteBegun(j, worker, ref, evidence)
	}
	if p == nil || p.unit == nil {
		return
	}
	p.unit.begun = true
	p.beganAt = c.now
	if p.restored {
		p.beganAt = p.unit.startedAt
		return
	}
	p.worker.recordStart(p.unit, c.now)
}

// listedRunning reports whether the run has begun on the worker's present process, as far as the core knows.
func (p *placement) listedRunning() bool { return p.beganAt >= 0 && !p.processEnded }

// workedFor returns how long all tasks of the unit's run have been at work as far as the core knows; 0 while one of them has not begun. A
// restored run counts from the takeover on, also before its worker has listed it.
func (c *Core) workedFor(u *unit) time.Duration {
	since := u.startedAt
	for _, p := range u.placements {
		if p.beganAt < 0 && !p.unverified {
			return 0
		}
		since = max(since, p.beganAt)
	}
	return c.now - since
}

// restoreBegin restores whether the job has begun. In a state of an earlier version a job runs from the decision to start it, unless that
// holder has taken it over as queued. Such a job has begun if anything else in the state shows that. Otherwise its workers tell: it is
// queued again if none of them has begun the run that was meant for it.
func (c *Core) restoreBegin(j *job, state *workload.JobState) {
	running := state.Phase == workload.PhaseRunning
	j.begun = state.Begun || running && j.placements == 0 || slices.ContainsFunc(state.Repetitions, showsBegin)
	switch {
	case j.begun && !running:
		c.setPhase(j, workload.PhaseRunning, "", "the state that an earlier version has stored shows a begin")
		c.markChanged(j)
	case !j.begun && running:
		j.unprovenRuns = j.placements
	}
}

// showsBegin reports whether the stored steps of a repetition show that a run of it has begun.
func showsBegin(steps []workload.StepState) bool {
	return slices.ContainsFunc(steps, func(s workload.StepState) bool { return s.Done || slices.ContainsFunc(s.Units, unitShowsBegin) })
}

func unitShowsBegin(u workload.UnitState) bool {
	certainCrash := slices.ContainsFunc(u.Crashes, func(c workload.MemberCrashes) bool { return c.Certain > 0 })
	return u.Status == workload.UnitDone || u.LastCountedRun > 0 || u.Checkpoint != "" || certainCrash
}

// noteNeverBegan records that the process for which a restored run was meant has not begun it: it lists neither the run nor its end.
func (c *Core) noteNeverBegan(p *placement) {
	if p.unit == nil || p.unit.step.job.begun || p.unit.step.job.unprovenRuns == 0 {
		return
	}
	j := p.unit.step.job
	j.unprovenRuns--
	if j.unprovenRuns == 0 && j.phase == workload.PhaseRunning {
		c.setPhase(j, workload.PhaseQueued, p.worker.id, "no worker has begun a run that an earlier version has stored as running")
		c.markChanged(j)
	}
}

// noteUnprovenRunLost takes the job of a restored run as begun if the run is lost with the process that could have told: most starts
// arrive.
func (c *Core) noteUnprovenRunLost(p *placement) {
	if p.unverified && p.unit != nil && p.unit.step.job.unprovenRuns > 0 {
		c.noteBegun(p.unit.step.job, p.worker.id, p.ref, "stored as running by an earlier version")
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
