package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// evacuationMargin is added to Options.StopTimeout: the announced time counts from the write of the entry, which is read up to
// 1.2 s later, and the stop must reach the worker.
const evacuationMargin = 1500 * time.Millisecond

// noteDraining records when a worker leaves that has just announced it, or that it does not leave any more.
func (c *Core) noteDraining(w *worker) {
	switch {
	case !w.info.Draining || w.info.RemainingLife <= 0:
		w.leavesAt = 0
	case w.leavesAt == 0:
		w.leavesAt = c.now + w.info.RemainingLife
	}
}

// evacuate stops checkpointing runs on workers that are about to leave, while their progress can still be saved: a run that is
// lost with its worker starts again only once the worker's lease has expired. Runs without checkpoints stay, since their worker
// may leave later than announced and a restart would only take room from other work.
func (c *Core) evacuate() {
	for _, w := range c.sortedWorkers {
		if w.leavesAt == 0 || len(w.runs) == 0 || !w.reachable {
			continue
		}
		if c.now < w.leavesAt-c.options.StopTimeout-evacuationMargin {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.evacuateRun(p)
		}
	}
}

// evacuateRun stops the run of the placement's unit unless it will probably end before the worker leaves.
func (c *Core) evacuateRun(p *placement) {
	if !p.live() || p.unit.state.Status != workload.UnitActive || p.unit.aborting || !p.unit.step.spec.Checkpointing {
		return
	}
	if c.expectedRemaining(p) <= p.worker.leavesAt-c.now {
		return
	}
	c.event(Event{Name: "run moved off a leaving worker", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.abortRun(p.unit, "worker is leaving")
}

// expectedRemaining estimates how long the run still takes on its worker, from its measured rate if there is one, else from
// the progress that its worker listed last, else from the caller's estimate.
func (c *Core) expectedRemaining(p *placement) time.Duration {
	sinceListing := c.now - p.worker.listedAt
	left := float64(100 - p.percent)
	ranUntilListing := p.worker.listedAt - p.unit.startedAt
	switch {
	case p.rate > 0:
		return seconds(left/p.rate) - sinceListing
	case p.percent > 0 && ranUntilListing > 0:
		return time.Duration(float64(ranUntilListing)*left/float64(p.percent)) - sinceListing
	}
	return p.unit.step.spec.Estimate - (c.now - p.unit.startedAt)
}
