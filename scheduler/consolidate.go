package scheduler

import (
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// Limits of consolidation. Those named Waits are multiples of policy.max_wait_ms.
const (
	// consolidationIntervalWaits is the time between two consolidations, and moveIntervalWaits that between two moves
	// of one job.
	consolidationIntervalWaits = 0.5
	moveIntervalWaits          = 4
	// consolidationLossShare limits the work that one consolidation may lose, at full fragmentation weight, as a share
	// of the accelerator time of the standard large shape over policy.max_wait_ms.
	consolidationLossShare = 1.0
)

// consolidate frees capacity for one more standard large shape by moving jobs that can save their progress, or that
// lose little by a stop, into scattered free capacity. It runs only if the policy weighs fragmentation, and moves jobs
// only if all of them fit elsewhere at once.
func (c *Core) consolidate() {
	standard := c.policy.StandardLargeShape
	if c.fragmentationWeight() == 0 || standard.Members == 0 || c.options.noConsolidation ||
		c.now.Before(c.nextConsolidation) {
		return
	}
	if c.recheck || c.reviewedPlan == c.planCount {
		// Another step of this plan was expensive, so consolidation waits for the next plan, which follows soon. This
		// bounds the time of one plan.
		return
	}
	c.nextConsolidation = c.now.Add(c.maxWaits(consolidationIntervalWaits))
	standardJob := &job{Job: jobs.Job{Shape: standard, CanCheckpoint: true}}
	var placements [][]*worker
	for c.countFreeAccelerators() >= standard.Total().Accelerators {
		placement := c.findPlacement(&placementRequest{job: standardJob, shape: standard})
		if placement == nil {
			c.stopForConsolidation(standardJob)
			break
		}
		placements = append(placements, placement)
		addHeldForClaims(placement, standard.PerMember, 1)
	}
	for _, placement := range placements {
		addHeldForClaims(placement, standard.PerMember, -1)
	}
}

// countFreeAccelerators returns the number of free accelerators of usable workers that are not in quarantine.
func (c *Core) countFreeAccelerators() int {
	n := 0
	for _, rk := range c.racks {
		rk.refresh()
		n += rk.freeAccelerators
	}
	return n
}

// addHeldForClaims adds the members of a placement to the capacity held for claims on their workers, or subtracts them
// if sign is -1. Consolidation uses it to mark capacity as taken during a search.
func addHeldForClaims(placement []*worker, per resource.Resources, sign int) {
	for _, w := range placement {
		w.heldForClaims = w.heldForClaims.Add(per.Times(sign))
		w.rack.stale = true
	}
}

// stopForConsolidation searches the placement for the standard large shape that loses the least work, and stops the
// jobs there if the loss is within the limit and they all fit elsewhere.
func (c *Core) stopForConsolidation(standardJob *job) {
	p := &preemption{core: c, job: standardJob, moving: true}
	placement, cost := p.findPlacement()
	maxLoss := c.fragmentationWeight() * consolidationLossShare * c.acceleratorWeight(standardJob) * c.maxWait().Seconds()
	if placement == nil || cost > maxLoss {
		return
	}
	per := standardJob.Shape.PerMember
	var victims []*job
	forEachWorker(placement, func(w *worker, n int) {
		victims = append(victims, p.victimsOn(w, per.Times(n))...)
	})
	if !c.canRelocate(victims, placement, per) {
		return
	}
	for _, v := range victims {
		v.movedAt = c.now
		c.stop(v, StopConsolidate)
	}
}

// canRelocate reports whether all victims fit at once into free capacity outside the placement.
func (c *Core) canRelocate(victims []*job, placement []*worker, per resource.Resources) bool {
	type move struct {
		placement []*worker
		per       resource.Resources
	}
	var moves []move
	forEachWorker(placement, func(w *worker, n int) {
		moves = append(moves, move{[]*worker{w}, w.free().Sub(w.reserved)})
	})
	for _, m := range moves {
		addHeldForClaims(m.placement, m.per, 1)
	}
	ok := true
	for _, v := range victims {
		to := c.findPlacement(c.ordinaryRequest(v))
		if to == nil {
			ok = false
			break
		}
		addHeldForClaims(to, v.Shape.PerMember, 1)
		moves = append(moves, move{to, v.Shape.PerMember})
	}
	for _, m := range moves {
		addHeldForClaims(m.placement, m.per, -1)
	}
	return ok
}

// mayMove reports whether consolidation may move v: it is running, stoppable, not urgent, in no cell, and was not moved
// within moveIntervalWaits.
func (c *Core) mayMove(v *job) bool {
	return !v.unstoppable() && v.cell == nil && !v.Urgent && v.state == jobs.StateRunning &&
		(v.movedAt.IsZero() || c.now.Sub(v.movedAt) >= c.maxWaits(moveIntervalWaits))
}
