package dispatch

import (
	"math"
	"time"
)

const (
	// headroomHalfLife is the time in which the memory of a past peak of guaranteed work halves.
	headroomHalfLife = 2 * time.Second
	// headroomPriority is the first priority that leaves the headroom free.
	headroomPriority = 2
)

// headroom holds back room for guaranteed work that comes and goes. Long tasks of low priority that fill each gap which
// guaranteed work leaves would be stopped for the next job, and their work lost.
type headroom struct {
	// use is how many accelerators work of priority 0 holds now, peak the decaying maximum of that.
	use    int
	peak   float64
	peakAt time.Duration
}

// update brings the peak up to date.
func (h *headroom) update(now time.Duration) {
	age := now - h.peakAt
	h.peak *= math.Exp2(-age.Seconds() / headroomHalfLife.Seconds())
	h.peak = max(h.peak, float64(h.use))
	h.peakAt = now
}

// held returns how many free accelerators low priorities leave alone.
func (h *headroom) held() int { return int(h.peak) - h.use }

// mayFill reports whether the unit may take free room now.
func (c *Core) mayFill(u *unit) bool {
	if u.step.job.queue.Priority < headroomPriority {
		return true
	}
	return c.freeAccelerators-u.size*u.step.spec.Demand.Accelerators >= c.headroom.held()
}

// countFree sums the accelerators that are free on workers that take work.
func (c *Core) countFree() {
	c.freeAccelerators = 0
	for _, w := range c.order {
		if w.registered && w.listed && w.reachable && !w.info.Draining && !c.quarantined(w) {
			c.freeAccelerators += max(0, w.free().Accelerators)
		}
	}
}
