package dispatch

import "github.com/redwingthread/redwingthread/footprint"

// maxAwaiting limits the starts to which one worker has not responded. Work that is decided on later would wait behind them, however urgent
// it is; workers with fewer get it first.
const maxAwaiting = 128

const (
	// urgentPart and firstUnitsPart are the parts of the tasks under way that only urgent work, and only the first units of jobs, may use,
	// as divisors.
	urgentPart     = 10
	firstUnitsPart = 20
)

// setAwaiting sets whether the placement has a start to which its worker has not responded.
func (p *placement) setAwaiting(awaiting bool) {
	if p.awaiting == awaiting {
		return
	}
	p.awaiting = awaiting
	if awaiting {
		p.worker.awaiting++
	} else {
		p.worker.awaiting--
	}
}

// mayPlace reports whether the holder has memory for the placements of the unit. Urgent work has a part of it to itself, and so have the
// first units of jobs: no job waits for the end of another one's tasks only because they are many. The work that an earlier holder has
// started may exceed all of it; urgent work still has its part then.
func (c *Core) mayPlace(u *unit) bool {
	j := u.step.job
	limit := footprint.Limit(footprint.MaxPlaced, j.policy.Priority)
	switch {
	case j.placements == 0:
		limit = footprint.MaxPlaced
	case j.policy.Priority == 0:
		limit -= footprint.MaxPlaced / firstUnitsPart
	}
	if c.placed == 0 || c.placed+u.size <= limit {
		return true
	}
	return j.policy.Priority == 0 && c.placedUrgent+u.size <= footprint.MaxPlaced/urgentPart
}

// mayAwait reports whether another start of the step may be issued to the worker, and notes if it may not. Urgent steps may exceed the limit
// of others.
func (c *Core) mayAwait(w *worker, s *step) bool {
	limit := maxAwaiting
	if s.job.policy.Priority == 0 {
		limit *= 2
	}
	if w.awaiting < limit {
		return true
	}
	c.startsLimited = true
	return false
}
