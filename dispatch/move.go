package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// slowHorizon is how much longer a slow worker is taken to stay slow.
	slowHorizon = 5 * time.Second
	// moveGain is the least time by which a move must bring the end of a run forward.
	moveGain = time.Second
)

// moveSlow stops checkpointing runs on slow workers that would be done earlier elsewhere, if there is room for them now.
// Runs without checkpoint stay: under load, starting them anew costs others more than it saves.
func (c *Core) moveSlow() {
	for _, w := range c.order {
		if !c.slow(w) {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.moveIfSlow(p)
		}
	}
}

func (c *Core) moveIfSlow(p *placement) {
	u := p.unit
	if p.slowRate == 0 || !p.live() || !u.step.spec.Checkpointing {
		return
	}
	if p.remaining() < p.elsewhere()+moveGain || !c.fitsElsewhere(u) {
		return
	}
	u.shun(p.worker.id)
	c.event(Event{Name: "run moved off a slow worker", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.collapse(u, "worker is slow")
}

// remaining returns how long a slow run still takes where it is.
func (p *placement) remaining() time.Duration {
	left := float64(100 - p.percent)
	meanwhile := p.slowRate * slowHorizon.Seconds()
	if meanwhile >= left {
		return seconds(left / p.slowRate)
	}
	return slowHorizon + seconds((left-meanwhile)/p.usualRate)
}

// elsewhere returns how long a new run takes, which goes on from where this one is stopped.
func (p *placement) elsewhere() time.Duration {
	return restartLoss + seconds(float64(100-p.percent)/p.usualRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fitsElsewhere reports whether there is room for another run of the unit, counting the room that its own run leaves.
func (c *Core) fitsElsewhere(u *unit) bool {
	own := map[*worker]int{}
	for _, p := range u.placements {
		own[p.worker]++
	}
	room := c.largestRoom(u, func(w *worker) resource.Resources {
		return c.freeFor(w, u.step).Add(charge(u.step.spec).Times(own[w]))
	})
	return room != nil && room.total >= u.size
}
