package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// checkpointShare is the share of the reclaim bound given to the checkpoint; the rest is for the stop and the start.
const checkpointShare = 0.5

// hold keeps capacity for a waiting job, either for a claim whose victims are being stopped or as a reservation.
type hold struct {
	// placement lists the worker of each member whose capacity is kept.
	placement []*worker
	// claim marks the hold of a claim; all others are reservations.
	claim bool
	// closed marks a reservation whose victims are being stopped and that no longer admits backfill.
	closed bool
	// createdAt is when the hold was made. An open reservation is reviewed at reviewAt. After deadline a review closes
	// it, unless its job must also wait for work that must not be stopped.
	createdAt, reviewAt, deadline time.Time
	// checkedSeq is the value of Core.freedSeq at the last search for other free capacity.
	checkedSeq uint64
}

// preemption is the search for a placement of one job that requires other jobs to be stopped.
type preemption struct {
	core *Core
	job  *job
	// cell is the cell to be claimed, nil for a reservation or a consolidation.
	cell *cell
	// waitForUnstoppable also allows capacity used by work that must not be stopped; the job then waits for that work
	// to end.
	waitForUnstoppable bool
	// moving restricts the victims to jobs that consolidation may move.
	moving bool
	// found and stoppable are reused between calls to avoid allocations.
	found     []candidate
	stoppable []*job
}

// unknownCost marks a candidate whose cost has not been computed yet.
const unknownCost = -1

// mayStop reports whether v may be stopped for the job. A job that the current plan started must not be stopped by the
// same plan; mayStop then requests another plan soon.
func (p *preemption) mayStop(v *job) bool {
	if v.unstoppable() && !p.core.options.stopUnstoppable || v.cell != nil || v.stopPlanned {
		return false
	}
	if v.startedPlan == p.core.planCount {
		p.core.recheck = true
		return false
	}
	if p.cell != nil {
		return true
	}
	if p.moving {
		return p.core.mayMove(v)
	}
	return v.size() < p.job.size() && v.reservationStops < maxReservationStops
}

// limit returns the most resources of w that the job may use once all its victims have stopped.
func (p *preemption) limit(w *worker) resource.Resources {
	if p.cell != nil {
		return w.bindable(p.cell)
	}
	room := w.capacity.Sub(w.heldForClaims).Sub(w.reserved)
	if !p.job.unstoppable() {
		return room
	}
	guaranteed := w.bindable(nil)
	if p.waitForUnstoppable {
		guaranteed = guaranteed.Add(w.unstoppable)
	}
	return minResources(room, guaranteed)
}

// available returns the resources of w that the job gets without further stops, including those of jobs that are being
// stopped.
func (p *preemption) available(w *worker) resource.Resources {
	room := w.free()
	if p.cell == nil {
		room = room.Sub(w.reserved)
	}
	for _, o := range w.occupants {
		if o.job.stopPlanned {
			room = room.Add(o.job.Shape.PerMember.Times(o.members))
		}
	}
	return room
}

// nowAndAfterStops returns the resources of w that the job gets without further stops, and those that it gets after all
// jobs have stopped that may be stopped. With waitForUnstoppable, the latter include the resources of work that must
// not be stopped.
func (p *preemption) nowAndAfterStops(w *worker) (now, afterStops resource.Resources) {
	now = w.free()
	if p.cell == nil {
		now = now.Sub(w.reserved)
	}
	afterStops = now
	for _, o := range w.occupants {
		use := o.job.Shape.PerMember.Times(o.members)
		switch {
		case o.job.stopPlanned:
			now = now.Add(use)
			afterStops = afterStops.Add(use)
		case p.waitForUnstoppable || p.mayStop(o.job):
			afterStops = afterStops.Add(use)
		}
	}
	return now, minResources(afterStops, p.limit(w))
}

// cost returns the work lost by making room for n members on w, in accelerator-seconds. With waitForUnstoppable it
// includes the cost of waiting for unstoppable work.
func (p *preemption) cost(w *worker, n int) float64 {
	need := p.job.Shape.PerMember.Times(n)
	room := p.available(w)
	cost := 0.0
	for _, v := range p.victimsOn(w, need) {
		cost += p.core.loss(v)
		room = room.Add(v.Shape.PerMember.Times(w.members(v)))
	}
	if p.waitForUnstoppable && !need.Fits(room) {
		cost += p.unstoppableWaitCost(w)
	}
	return cost
}

// unstoppableWaitCost returns the cost of the work on w that must not be stopped: the job would wait for the end of
// that work, which has no bound. Without this cost, a search with waitForUnstoppable would prefer workers full of such
// work, since no stops lose anything there.
func (p *preemption) unstoppableWaitCost(w *worker) float64 {
	accelerators := 0
	for _, o := range w.occupants {
		if !o.job.stopPlanned && !p.mayStop(o.job) {
			accelerators += max(1, o.members*o.job.Shape.PerMember.Accelerators)
		}
	}
	return float64(accelerators) * p.core.maxWaits(forceCloseWaits).Seconds()
}

// victimsOn returns the jobs to stop on w to make room for need, those with the least loss first. The slice is valid
// until the next call.
func (p *preemption) victimsOn(w *worker, need resource.Resources) []*job {
	room := p.available(w)
	if need.Fits(room) {
		return nil
	}
	found := p.stoppable[:0]
	for _, o := range w.occupants {
		if p.mayStop(o.job) {
			found = append(found, o.job)
		}
	}
	p.stoppable = found
	slices.SortFunc(found, func(a, b *job) int {
		return cmp.Or(cmp.Compare(p.core.loss(a), p.core.loss(b)), cmp.Compare(a.submission, b.submission))
	})
	victims := found[:0]
	for _, v := range found {
		if need.Fits(room) {
			break
		}
		gain := v.Shape.PerMember.Times(w.members(v))
		if reducesShortfall(gain, need, room) {
			room = room.Add(gain)
			victims = append(victims, v)
		}
	}
	return victims
}

// reducesShortfall reports whether gain contains some of what need lacks in room.
func reducesShortfall(gain, need, room resource.Resources) bool {
	return gain.Accelerators > 0 && need.Accelerators > room.Accelerators ||
		gain.MilliCPU > 0 && need.MilliCPU > room.MilliCPU ||
		gain.MemoryMB > 0 && need.MemoryMB > room.MemoryMB
}

// findPlacement returns the placement with the least loss, and that loss in accelerator-seconds. The placement is nil
// if there is none.
func (p *preemption) findPlacement() ([]*worker, float64) {
	s := p.job.Shape
	var best []*worker
	var bestCost float64
	try := func(workers []*worker, singleWorker bool) {
		placement, cost := p.placeWithin(workers, singleWorker)
		if placement != nil && (best == nil || cost < bestCost) {
			best, bestCost = placement, cost
		}
	}
	switch {
	case s.Members == 1 || s.Adjacency == resource.AdjacencyWorker:
		for i := range p.core.ordered {
			try(p.core.ordered[i:i+1], true)
		}
	case s.Adjacency == resource.AdjacencyRack:
		for _, rk := range p.core.racks {
			if rk.totalAccelerators >= s.Total().Accelerators {
				try(rk.workers, false)
			}
		}
	default:
		try(p.core.ordered, false)
	}
	return best, bestCost
}

// placeWithin places the job on the given workers, using those with the least loss per member first, and returns the
// placement and its loss. The placement is nil if the job does not fit.
func (p *preemption) placeWithin(workers []*worker, singleWorker bool) ([]*worker, float64) {
	s := p.job.Shape
	found := p.found[:0]
	for _, w := range workers {
		if !w.eligible() || p.job.mustAvoid(w) {
			continue
		}
		now, afterStops := p.nowAndAfterStops(w)
		n := min(fitCount(s.PerMember, afterStops), s.Members)
		if n == 0 || singleWorker && n < s.Members {
			continue
		}
		c := candidate{worker: w, fits: n}
		if !s.PerMember.Times(n).Fits(now) {
			c.score = unknownCost
		}
		found = append(found, c)
	}
	p.found = found
	if !enough(found, s.Members) {
		return nil, 0
	}
	for i, f := range found {
		if f.score == unknownCost {
			found[i].score = p.cost(f.worker, f.fits) / float64(f.fits)
		}
	}
	placement := fill(found, s.Members)
	total := 0.0
	forEachWorker(placement, func(w *worker, n int) { total += p.cost(w, n) })
	return placement, total
}

// stopVictims plans the stops that make room for the job on the placement.
func (p *preemption) stopVictims(placement []*worker, reason StopReason) {
	forEachWorker(placement, func(w *worker, n int) {
		for _, v := range p.victimsOn(w, p.job.Shape.PerMember.Times(n)) {
			if reason == StopReservation {
				v.reservationStops++
			}
			p.core.stop(v, reason)
		}
	})
}

// stop plans the stop of a placed job. It has no effect if the stop is already planned.
func (c *Core) stop(j *job, reason StopReason) {
	if j.stopPlanned {
		return
	}
	j.stopPlanned = true
	j.state = jobs.StateStopping
	j.reason = "stopping: " + string(reason)
	c.plan.Stops = append(c.plan.Stops, Stop{
		Job: j.ID, Attempt: j.attempt, Reason: reason,
		Checkpoint: j.CanCheckpoint && !j.cancelRequested, CheckpointBound: c.checkpointBound(),
	})
}

// checkpointBound returns the time that a job gets to save its progress before a stop.
func (c *Core) checkpointBound() time.Duration {
	return time.Duration(float64(c.policy.ReclaimBoundMS) * checkpointShare * float64(time.Millisecond))
}

// claim assigns an unclaimed cell to j, and either starts j on free capacity or stops borrowed work to make room. It
// reports whether j was started or its claim is in progress.
func (c *Core) claim(j *job, cl *cell) bool {
	if c.options.noReclaim || !c.quotaReclaimable(j) {
		return false
	}
	if workers := c.findFreePlacement(j, cl); workers != nil && c.claimWithinQuota(j) {
		c.moveBinding(cl, workers)
		c.setClaim(j, cl)
		c.start(j, workers)
		return true
	}
	p := &preemption{core: c, job: j, cell: cl}
	workers := cl.workers[:j.Shape.Members]
	if cl.matches(j.Shape) {
		workers, _ = p.findPlacement()
	}
	if workers == nil {
		return false
	}
	c.moveBinding(cl, workers)
	c.setClaim(j, cl)
	c.reclaimQuota(j)
	p.stopVictims(workers, StopReclaim)
	c.setHold(j, &hold{placement: workers, claim: true, createdAt: c.now})
	return true
}

// findFreePlacement returns a free placement for the claim that keeps all bindings disjoint, nil if there is none;
// claim then binds the cell to it. If only another unclaimed cell of the same shape has free capacity, the two cells
// swap their bindings.
func (c *Core) findFreePlacement(j *job, cl *cell) []*worker {
	if !cl.matches(j.Shape) {
		if workers := cl.workers[:j.Shape.Members]; fitsFree(workers, j.Shape.PerMember) {
			return workers
		}
		return nil
	}
	if workers := c.findPlacement(&placementRequest{job: j, shape: cl.shape, cell: cl}); workers != nil {
		return workers
	}
	for _, other := range c.cells {
		if other.claim == nil && other != cl && other.workers != nil && other.shape == cl.shape &&
			fitsFree(other.workers, cl.shape.PerMember) && !mustAvoidAny(j, other.workers) {
			c.swapBindings(cl, other)
			return cl.workers
		}
	}
	return nil
}

// mustAvoidAny reports whether the job must avoid any worker of the placement.
func mustAvoidAny(j *job, placement []*worker) bool {
	return slices.ContainsFunc(placement, j.mustAvoid)
}

// fitsFree reports whether the placement fits the free capacity of its workers.
func fitsFree(placement []*worker, per resource.Resources) bool {
	fits := true
	forEachWorker(placement, func(w *worker, n int) {
		fits = fits && per.Times(n).Fits(w.free())
	})
	return fits
}

// swapBindings exchanges the bindings of two unclaimed cells of the same shape.
func (c *Core) swapBindings(a, b *cell) {
	workersA, workersB := a.workers, b.workers
	c.unbind(a)
	c.unbind(b)
	c.bind(a, workersB)
	c.bind(b, workersA)
}

// moveBinding binds an unclaimed cell to the placement of its claim. If the placement has fewer members than the cell,
// the binding stays as it is.
func (c *Core) moveBinding(cl *cell, workers []*worker) {
	if len(workers) < len(cl.workers) || slices.Equal(cl.workers, workers) {
		return
	}
	c.unbind(cl)
	c.bind(cl, workers)
}

// claimWithinQuota reports whether the claim stays within the quota without stopping other work of the account.
func (c *Core) claimWithinQuota(j *job) bool {
	a := j.owner
	return a.quota == 0 || a.used+a.claiming+j.Shape.Total().Accelerators <= a.quota
}

// quotaReclaimable reports whether the claim is within the quota after ordinary work of the account has been stopped.
func (c *Core) quotaReclaimable(j *job) bool {
	_, ok := c.quotaVictims(j)
	return ok
}

// reclaimQuota stops ordinary work of the account itself until its claim is within the quota.
func (c *Core) reclaimQuota(j *job) {
	victims, _ := c.quotaVictims(j)
	for _, v := range victims {
		c.stop(v, StopReclaim)
	}
}

// quotaVictims returns the ordinary jobs of the account to stop, those with the least loss first, so that the claim is
// within the quota; ok is false if stopping all of them would not suffice.
func (c *Core) quotaVictims(j *job) (victims []*job, ok bool) {
	a := j.owner
	if a.quota == 0 {
		return nil, true
	}
	over := a.used + a.claiming + j.Shape.Total().Accelerators - a.quota
	if over <= 0 {
		return nil, true
	}
	for _, v := range a.placed {
		if v.stopPlanned {
			over -= v.Shape.Total().Accelerators
		} else if !v.unstoppable() && v.cell == nil && v.startedPlan != c.planCount && v.Shape.Total().Accelerators > 0 {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(x, y *job) int {
		return cmp.Or(cmp.Compare(c.loss(x), c.loss(y)), cmp.Compare(x.submission, y.submission))
	})
	n := 0
	for ; n < len(victims) && over > 0; n++ {
		over -= victims[n].Shape.Total().Accelerators
	}
	return victims[:n], over <= 0
}
