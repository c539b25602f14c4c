package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// drainMargin is added to Options.StopTimeout: the announced time counts from the write of the entry, which is read up to
// 1.2 s later, and the stop must reach the worker.
const drainMargin = 1500 * time.Millisecond

// An end that is listed in the moment in which the worker leaves can be lost with its connection, and the task then starts again after
// it was done. lastEndMargin is how long before the announced time a run must be expected to end to stay on its worker; a run without
// checkpoints that is expected to end up to lateEndMargin after that time is not left to chance either.
const (
	lastEndMargin = 700 * time.Millisecond
	lateEndMargin = 300 * time.Millisecond
)

// noteDraining records when a worker leaves that has just announced it, or that it does not leave any more.
func (c *Core) noteDraining(w *worker) {
	switch {
	case !w.info.Draining || w.info.RemainingLife <= 0:
		w.leavesAt = 0
	case w.leavesAt == 0:
		w.leavesAt = c.now + w.info.RemainingLife
	}
}

// moveLeaving stops runs on workers that are about to leave. Checkpointing runs can still save their progress: a run that is lost with
// its worker starts again only once the worker's lease has expired. Runs without checkpoints stay, since their worker may leave later
// than announced and a restart would only take room from other work, unless they are expected to end just when it leaves.
func (c *Core) moveLeaving() {
	for _, w := range c.sortedWorkers {
		if w.leavesAt == 0 || len(w.runs) == 0 || !w.reachable {
			continue
		}
		if c.now < w.leavesAt-c.options.StopTimeout-drainMargin {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.moveOffLeaving(p)
		}
	}
}

// moveOffLeaving stops the run of the placement's unit if it should not stay until its worker leaves.
func (c *Core) moveOffLeaving(p *placement) {
	if !p.live() || p.unit.state.Status != workload.UnitActive || p.unit.aborting || !c.shouldLeave(p) {
		return
	}
	c.event(Event{Name: "run moved off a leaving worker", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.abortRun(p.unit, "worker is leaving")
}

// shouldLeave reports whether the run, whose worker is about to leave, should be stopped. Without listed progress, its end is known
// too roughly to tell whether it coincides with that of the worker.
func (c *Core) shouldLeave(p *placement) bool {
	left, remaining := p.worker.leavesAt-c.now, c.expectedRemaining(p)
	if remaining <= left-lastEndMargin {
		return false
	}
	return p.unit.step.spec.Checkpointing || p.listedRate() > 0 && remaining <= left+lateEndMargin
}

// expectedRemaining estimates how long the run of the placement's unit still takes. A gang ends with its slowest member.
func (c *Core) expectedRemaining(p *placement) time.Duration {
	if p.unit.size == 1 {
		return c.memberRemaining(p)
	}
	if remaining, known := c.gangRemaining[p.unit]; known {
		return remaining
	}
	remaining := c.memberRemaining(p)
	for _, o := range p.unit.placements {
		remaining = max(remaining, c.memberRemaining(o))
	}
	c.gangRemaining[p.unit] = remaining
	return remaining
}

// memberRemaining estimates how long the placement's task still takes on its worker: from its progress if that has been listed, else
// from the estimate, the typical pace of such tasks and the speed of the worker.
func (c *Core) memberRemaining(p *placement) time.Duration {
	sinceListed := c.now - p.worker.listedAt
	if p.slowRate > 0 && p.worker.slowUntil > c.now {
		return p.timeRemaining() - sinceListed
	}
	if rate := p.listedRate(); rate > 0 {
		return seconds(float64(100-p.percent)/rate) - sinceListed
	}
	return c.expectedDuration(p.unit.step, p.worker.speed) - c.workedFor(p.unit)
}

// listedRate returns the rate of the run on its worker's clock in percent per second: the measured one if there is one, else that
// between its listings, else that since it is known to have begun, unless that is so recent that a late response to its start would
// matter; 0 if none of them is known.
func (p *placement) listedRate() float64 {
	progress, listed := p.percent-p.firstPercent, p.worker.clock-p.firstPercentAt
	ran := p.worker.listedAt - p.beganAt
	switch {
	case p.rate > 0:
		return p.rate
	case progress > 0 && listed > 0:
		return float64(progress) / listed.Seconds()
	case !p.partial && p.percent > 0 && ran >= minRateSpan:
		return float64(p.percent) / ran.Seconds()
	}
	return 0
}
