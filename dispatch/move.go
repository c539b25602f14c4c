package dispatch

import (
	"math"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// slowHorizon is how much longer a slow worker is assumed to stay slow; after that it is assumed to be as fast as usual.
	slowHorizon = 5 * time.Second
	// minMoveGain is the least time by which a run must end earlier for a move to be worthwhile.
	minMoveGain = time.Second
)

// moveSlow stops checkpointing runs on slow workers, to start them elsewhere, if they would end earlier there and there is
// room for them now.
// Runs without checkpoints stay: under load, restarting them from the beginning costs other work more than it saves.
func (c *Core) moveSlow() {
	fastest := 0.0
	for _, w := range c.sortedWorkers {
		fastest = max(fastest, w.speed)
	}
	for _, w := range c.sortedWorkers {
		if !c.excludedAsSlow(w) {
			continue
		}
		for _, p := range w.sortedRuns() {
			c.moveIfSlow(p, fastest)
		}
	}
}

// moveIfSlow stops the run of the placement's unit if it is slow and a move is worthwhile. fastest is the highest speed of any worker: the
// search for room is left out for runs that would gain too little even there.
func (c *Core) moveIfSlow(p *placement, fastest float64) {
	u := p.unit
	if p.slowRate == 0 || !p.live() || !u.step.spec.Checkpointing || !p.gainsFromMove(fastest) {
		return
	}
	if speed := c.speedElsewhere(u); speed == 0 || !p.gainsFromMove(speed) {
		return
	}
	u.avoidWorker(p.worker.id)
	c.event(Event{Name: EventSlowMove, Job: p.ref.Task.Job, Worker: p.worker.id, Detail: p.ref.Task.String()})
	c.abortRun(u, "worker is slow")
}

// timeRemaining estimates how long a slow run still takes on its worker.
func (p *placement) timeRemaining() time.Duration {
	left := float64(100 - p.percent)
	meanwhile := p.slowRate * slowHorizon.Seconds()
	if meanwhile >= left {
		return seconds(left / p.slowRate)
	}
	return slowHorizon + seconds((left-meanwhile)/p.usualRate)
}

// gainsFromMove reports whether a move to a worker of the given speed is worthwhile.
func (p *placement) gainsFromMove(speed float64) bool {
	return p.timeRemaining() >= p.timeElsewhere(speed)+minMoveGain
}

// timeElsewhere estimates how long the run takes on another worker of the given speed if it resumes from its present progress.
func (p *placement) timeElsewhere(speed float64) time.Duration {
	return restartLoss + seconds(float64(100-p.percent)/(p.usualRate*speed/p.worker.speed))
}

// seconds returns the duration of s seconds, but at most half the longest one: estimates of callers are not bounded, and sums must not
// overflow.
func seconds(s float64) time.Duration {
	const longest time.Duration = math.MaxInt64 / 2
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}

// speedElsewhere returns the speed of the slowest worker of a new run of the unit, once its present run has released its room; 0 if
// there is no room for one.
func (c *Core) speedElsewhere(u *unit) float64 {
	own := map[*worker]int{}
	for _, p := range u.placements {
		own[p.worker]++
	}
	room := c.largestRoom(u, func(w *worker) resource.Resources {
		return c.freeFor(w, u.step).Add(u.step.spec.EffectiveDemand().Times(own[w]))
	})
	if room == nil {
		return 0
	}
	slowest := 0.0
	for _, w := range c.assignMembers(u, room) {
		if slowest == 0 || w.speed < slowest {
			slowest = w.speed
		}
	}
	return slowest
}
