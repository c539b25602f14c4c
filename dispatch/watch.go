package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// failuresToQuarantine failed runs of different jobs in a row make a worker suspect.
	failuresToQuarantine = 2
	// quarantineTime is how long a suspect worker gets no work; it doubles with each further failure.
	quarantineTime = 4 * time.Second
	// maxQuarantineTime bounds the doubling.
	maxQuarantineTime = 16 * time.Second
	// stallTime is how long a run's progress may stand still before it is moved. A run waits for its image, its
	// checkpoint and the rest of its gang before the first percent.
	stallTime = 3500 * time.Millisecond
	// stallInterval is the time between two searches for stalled runs.
	stallInterval = 250 * time.Millisecond
	// maxQuarantinedShare bounds the workers that may be left out at once, as a share of all.
	maxQuarantinedShare = 0.34
)

// health is what the ends of runs say of a worker.
type health struct {
	// failedJob is the job of the last failed run, failures the failed runs of different jobs since a success.
	failedJob workload.JobID
	failures  int
	// until is the end of the quarantine.
	until time.Duration
}

// judge takes in how a run ended on its worker.
func (c *Core) judge(p *placement, reason workload.EndReason) {
	h := &p.worker.health
	switch reason {
	case workload.EndDone:
		*h = health{}
	case workload.EndFailed:
		p.unit.shun(p.worker.id)
		job := p.ref.Task.Job
		if h.failures > 0 && h.failedJob == job {
			return
		}
		h.failedJob = job
		h.failures++
		if h.failures >= failuresToQuarantine {
			c.quarantine(p.worker, "failed runs")
		}
	}
}

// quarantine keeps new work away from a worker for a while.
func (c *Core) quarantine(w *worker, reason string) {
	over := max(0, w.health.failures-failuresToQuarantine)
	length := min(quarantineTime<<min(over, 4), maxQuarantineTime)
	w.health.until = c.now + length
	c.event(Event{Name: "worker quarantined", Worker: w.id, Detail: reason})
}

// quarantined reports whether the worker is left out now. Quarantine is lifted when too many workers are suspect, since
// then the jobs are more likely at fault.
func (c *Core) quarantined(w *worker) bool {
	return w.health.until > c.now && !c.manySuspects || c.slow(w)
}

// countSuspects decides whether workers are left out.
func (c *Core) countSuspects() {
	suspects, slow := 0, 0
	for _, w := range c.order {
		if w.health.until > c.now {
			suspects++
		}
		if w.trialUntil > c.now {
			slow++
		}
	}
	c.manySuspects = float64(suspects) > maxQuarantinedShare*float64(len(c.order))
	c.manySlow = float64(slow) > maxSlowShare*float64(len(c.order))
}

// progress notes how far a run has come by the time of its worker's newest list.
func (c *Core) progress(p *placement, percent int) {
	if p.percentAt < 0 || percent != p.percent {
		p.percent = percent
		p.percentAt = p.worker.clock
	}
}

// standsStill reports whether the lists have shown no progress of the run for stallTime of the worker's clock. The time
// here says less: lists may be late, and this VM may have been suspended.
func (p *placement) standsStill() bool {
	return p.percentAt >= 0 && p.worker.clock-p.percentAt >= stallTime && p.percent < 100
}

// moveStalled stops runs whose progress stands still while their worker answers.
func (c *Core) moveStalled() {
	for _, w := range c.order {
		if !w.reachable || !w.listed {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.moveIfStalled(p)
		}
	}
}

func (c *Core) moveIfStalled(p *placement) {
	if !p.live() || p.unit.step.spec.LongRunning || !p.standsStill() {
		return
	}
	if p.unit.size > 1 && p.unit.leastMember() != p {
		return
	}
	p.unit.shun(p.worker.id)
	p.worker.health.failures++
	if p.worker.health.failures >= failuresToQuarantine {
		c.quarantine(p.worker, "stalled runs")
	}
	c.event(Event{Name: "run stalled", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.collapse(p.unit, "run stalled")
}

// leastMember returns the member of a gang that has come least far, nil while one is not listed yet. Members progress
// independently, so that one that stands still behind the others is held back by its worker.
func (u *unit) leastMember() *placement {
	least := u.placements[0]
	for _, p := range u.placements {
		if p.percentAt < 0 {
			return nil
		}
		if p.percent < least.percent {
			least = p
		}
	}
	return least
}
