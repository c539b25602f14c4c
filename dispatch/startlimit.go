package dispatch

import "github.com/redwingthread/redwingthread/footprint"

// maxAwaiting limits the starts to which one worker has not responded. Work that is decided on later would wait behind them, however urgent
// it is; workers with fewer get it first.
const maxAwaiting = 128

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

// mayPlace reports whether the holder has memory for the placements of the unit. Urgent work has a part of it to itself, and so has the
// first unit of a job: no job waits for the end of another one's tasks only because they are many.
func (c *Core) mayPlace(u *unit) bool {
	j := u.step.job
	priority := j.policy.Priority
	if j.placements == 0 {
		priority = 0
	}
	return c.placed == 0 || c.placed+u.size <= footprint.Limit(footprint.MaxPlaced, priority)
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
