package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// failuresToQuarantine is the number of consecutive failed runs of different jobs after which a worker is quarantined.
	failuresToQuarantine = 2
	// quarantineDuration is how long a quarantined worker gets no new work; it doubles with each further failure.
	quarantineDuration = 4 * time.Second
	// maxQuarantineDuration limits the doubling.
	maxQuarantineDuration = 16 * time.Second
	// stallTimeout is how long a run may show no progress before it is stopped to be started elsewhere. It also covers the
	// time before the first percent, in which a run waits for its image, its checkpoint and the rest of its gang.
	stallTimeout = 3500 * time.Millisecond
	// stallInterval is the time between two searches for stalled and slow runs.
	stallInterval = 250 * time.Millisecond
	// maxQuarantinedShare is the largest fraction of all workers that may be quarantined at once.
	maxQuarantinedShare = 0.34
)

// health tracks the failures on a worker.
type health struct {
	// failedJob is the job of the last failed run. failures counts the failed runs of different jobs, and the stalled runs,
	// since the last success.
	failedJob workload.JobID
	failures  int
	// quarantinedUntil is the end of the last quarantine; 0 if there was none since the last success.
	quarantinedUntil time.Duration
}

// updateHealth updates the worker's health after the end of a run.
func (c *Core) updateHealth(p *placement, reason workload.EndReason) {
	h := &p.worker.health
	switch reason {
	case workload.EndDone:
		*h = health{}
	case workload.EndFailed:
		p.unit.avoidWorker(p.worker.id)
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

// quarantine excludes a worker from new work for a while.
func (c *Core) quarantine(w *worker, reason string) {
	excess := max(0, w.health.failures-failuresToQuarantine)
	length := min(quarantineDuration<<min(excess, 4), maxQuarantineDuration)
	w.health.quarantinedUntil = c.now + length
	c.event(Event{Name: "worker quarantined", Worker: w.id, Detail: reason})
}

// excluded reports whether the worker gets no new work, because it is quarantined or slow. Quarantine is not applied if too
// many workers are quarantined, since the jobs are then more likely to be the cause of the failures.
func (c *Core) excluded(w *worker) bool {
	return w.health.quarantinedUntil > c.now && !c.tooManyQuarantined || c.excludedAsSlow(w)
}

// updateExclusions decides whether quarantine and the exclusion of slow workers are applied.
func (c *Core) updateExclusions() {
	workers, quarantined, slow := 0, 0, 0
	for _, w := range c.sortedWorkers {
		if w.evacuated {
			continue
		}
		workers++
		if w.health.quarantinedUntil > c.now {
			quarantined++
		}
		if w.probationUntil > c.now {
			slow++
		}
	}
	c.tooManyQuarantined = float64(quarantined) > maxQuarantinedShare*float64(workers)
	c.tooManySlow = float64(slow) > maxSlowShare*float64(workers)
}

// recordProgress records the progress of a run in its worker's latest listing, in percent. A run on a cold worker counts as progressing:
// it may be slow, and stalls only once the worker is warm.
func (c *Core) recordProgress(p *placement, percent int) {
	if p.percentAt < 0 {
		p.firstPercent, p.firstPercentAt = percent, p.worker.clock
	}
	if p.percentAt < 0 || percent != p.percent || c.cold(p.worker) {
		p.percent = percent
		p.percentAt = p.worker.clock
	}
}

// stalled reports whether the listings have shown no progress of the run for stallTimeout on the worker's clock. The
// local clock is less reliable: listings may be late, and this VM may have been suspended.
func (p *placement) stalled() bool {
	return p.percentAt >= 0 && p.worker.clock-p.percentAt >= stallTimeout && p.percent < 100
}

// moveStalled stops runs that make no progress although their worker is reachable.
func (c *Core) moveStalled() {
	for _, w := range c.sortedWorkers {
		if !w.reachable || !w.listed {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.moveIfStalled(p)
		}
	}
}

func (c *Core) moveIfStalled(p *placement) {
	if !p.live() || p.unit.step.spec.LongRunning || !p.stalled() {
		return
	}
	if p.unit.size > 1 && p.unit.leastAdvancedMember() != p {
		return
	}
	p.unit.avoidWorker(p.worker.id)
	p.worker.health.failures++
	if p.worker.health.failures >= failuresToQuarantine {
		c.quarantine(p.worker, "stalled runs")
	}
	c.event(Event{Name: "run stalled", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.abortRun(p.unit, "run stalled")
}

// leastAdvancedMember returns the member of a gang with the least progress; nil while some member has not been listed.
// Members progress independently, so one that stalls behind the others is held back by its worker.
func (u *unit) leastAdvancedMember() *placement {
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
