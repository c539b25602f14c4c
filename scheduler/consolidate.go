package scheduler

import (
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// The limits of consolidation.
const (
	// consolidateWaits is the number of policy.max_wait_ms between two consolidations, and moveWaits that between two
	// moves of one job.
	consolidateWaits = 0.5
	moveWaits        = 4
	// consolidateLossShare is the share of the standard large shape's accelerator time over policy.max_wait_ms that one
	// consolidation may lose at full weight on fragmentation.
	consolidateLossShare = 1.0
)

// consolidate frees room for one more standard large shape by moving jobs that save their progress, or have little to
// lose, into scattered free capacity. It runs only with weight on fragmentation, and only if all moved jobs have room elsewhere at once.
func (c *Core) consolidate() {
	standard := c.policy.StandardLargeShape
	if c.weight() == 0 || standard.Members == 0 || c.options.noConsolidation || c.now.Before(c.nextConsolidation) {
		return
	}
	if c.recheck || c.reviewedIn == c.plans {
		// This plan has searched enough; the next one follows soon.
		return
	}
	c.nextConsolidation = c.now.Add(c.waits(consolidateWaits))
	phantom := &job{Job: jobs.Job{Shape: standard, CanCheckpoint: true}}
	var taken [][]*worker
	for c.scattered() >= standard.Total().Accelerators {
		place := c.find(&request{job: phantom, shape: standard})
		if place == nil {
			c.moveAway(phantom)
			break
		}
		taken = append(taken, place)
		setAside(place, standard.PerMember, 1)
	}
	for _, place := range taken {
		setAside(place, standard.PerMember, -1)
	}
}

// scattered counts the free accelerators of healthy workers.
func (c *Core) scattered() int {
	n := 0
	for _, k := range c.racks {
		k.refresh()
		n += k.total
	}
	return n
}

// setAside counts a placement as held, or gives it back with sign -1.
func setAside(place []*worker, per resource.Resources, sign int) {
	for _, w := range place {
		w.held = w.held.Add(per.Times(sign))
		w.rack.stale = true
	}
}

// moveAway stops the movable jobs in the place of least loss for the phantom, if they all fit elsewhere.
func (c *Core) moveAway(phantom *job) {
	e := &eviction{core: c, job: phantom, moving: true}
	place, cost := e.find()
	most := c.weight() * consolidateLossShare * c.weightOf(phantom) * c.maxWait().Seconds()
	if place == nil || cost > most {
		return
	}
	per := phantom.Shape.PerMember
	var victims []*job
	forEachWorker(place, func(w *worker, n int) {
		victims = append(victims, e.victimsOn(w, per.Times(n))...)
	})
	if !c.fitElsewhere(victims, place, per) {
		return
	}
	for _, v := range victims {
		v.movedAt = c.now
		c.stop(v, StopConsolidate)
	}
}

// fitElsewhere reports whether all jobs find free capacity at once outside the place.
func (c *Core) fitElsewhere(victims []*job, place []*worker, per resource.Resources) bool {
	type move struct {
		place []*worker
		per   resource.Resources
	}
	var moves []move
	forEachWorker(place, func(w *worker, n int) {
		moves = append(moves, move{[]*worker{w}, w.free().Sub(w.reserved)})
	})
	for _, m := range moves {
		setAside(m.place, m.per, 1)
	}
	ok := true
	for _, v := range victims {
		to := c.find(c.request(v))
		if to == nil {
			ok = false
			break
		}
		setAside(to, v.Shape.PerMember, 1)
		moves = append(moves, move{to, v.Shape.PerMember})
	}
	for _, m := range moves {
		setAside(m.place, m.per, -1)
	}
	return ok
}

// movable reports whether a consolidation may move v.
func (c *Core) movable(v *job) bool {
	return !v.hard() && v.cell == nil && !v.Urgent && v.state == jobs.StateRunning &&
		(v.movedAt.IsZero() || c.now.Sub(v.movedAt) >= c.waits(moveWaits))
}
