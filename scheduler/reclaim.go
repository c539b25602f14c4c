package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// The cost of stops.
const (
	// restartLoss is the run time that a checkpoint, stop and restart cost even if no progress is lost.
	restartLoss = 30 * time.Second
	// plainTaskLoss is the weight of a member without accelerators relative to one accelerator.
	plainTaskLoss = 0.1
	// unreachableLoss is added for a job with a member on an unreachable worker: its stop takes a lease time.
	unreachableLoss = time.Hour
	// checkpointShare is the part of the reclaim bound given to the checkpoint; the rest is for the stop and the start.
	checkpointShare = 0.5
)

// hold keeps capacity for a waiting job: for a claim whose victims are being stopped, or as a reservation.
type hold struct {
	placement []*worker
	// claim marks the hold of a claim; others are reservations.
	claim bool
	// closed marks a reservation whose victims are being stopped; backfill does not enter any more.
	closed bool
	// since is when the hold was made; an open reservation is looked at again at review and closed at deadline.
	since, review, deadline time.Time
	// checked is the value of Core.seq at the last search for other free capacity.
	checked uint64
}

// loss returns the accelerator-seconds that a stop of j loses. It is computed once per plan.
func (c *Core) loss(j *job) float64 {
	if j.lostIn != c.plans {
		j.lost, j.lostIn = c.computeLoss(j), c.plans
	}
	return j.lost
}

func (c *Core) computeLoss(j *job) float64 {
	lost := restartLoss
	if !j.CanCheckpoint && !j.began.IsZero() {
		lost += c.now.Sub(j.began)
	}
	for _, w := range j.placement {
		if w.health == HealthUnreachable {
			lost += unreachableLoss
			break
		}
	}
	return c.weightOf(j) * lost.Seconds()
}

// weightOf returns the accelerators of a job, or the part of one that its plain tasks count for.
func (c *Core) weightOf(j *job) float64 {
	if n := j.Shape.Total().Accelerators; n > 0 {
		return float64(n)
	}
	return plainTaskLoss * float64(j.Shape.Members)
}

// eviction is the search for a place for one job by stops of others.
type eviction struct {
	core *Core
	job  *job
	// cell is the cell to be claimed, nil for a reservation.
	cell *cell
	// patient allows capacity of work that may not be stopped; the job then waits for its end.
	patient bool
	// moving looks for jobs to be moved by a consolidation.
	moving bool
	// found and stoppable are buffers.
	found     []candidate
	stoppable []*job
}

// unpriced marks a candidate whose cost is not known yet.
const unpriced = -1

// mayStop reports whether v may be stopped for the job.
func (e *eviction) mayStop(v *job) bool {
	if v.hard() && !e.core.options.stopUnstoppable || v.cell != nil || v.stopPlanned {
		return false
	}
	if v.startedIn == e.core.plans {
		e.core.recheck = true
		return false
	}
	if e.cell != nil {
		return true
	}
	if e.moving {
		return e.core.movable(v)
	}
	return v.size() < e.job.size() && v.stopsSuffered < maxReservationStops
}

// ceiling returns the most that the job may hold on w in the end.
func (e *eviction) ceiling(w *worker) resource.Resources {
	if e.cell != nil {
		return w.entitled(e.cell)
	}
	room := w.capacity.Sub(w.held).Sub(w.reserved)
	if !e.job.hard() {
		return room
	}
	guaranteed := w.entitled(nil)
	if e.patient {
		guaranteed = guaranteed.Add(w.hard)
	}
	return atMost(room, guaranteed)
}

// available returns what w has for the job without further stops, stops under way included.
func (e *eviction) available(w *worker) resource.Resources {
	room := w.free()
	if e.cell == nil {
		room = room.Sub(w.reserved)
	}
	for _, o := range w.occupants {
		if o.job.stopPlanned {
			room = room.Add(o.job.Shape.PerMember.Times(o.members))
		}
	}
	return room
}

// rooms returns what w has for the job without further stops, and what it has if all that may be stopped is stopped.
func (e *eviction) rooms(w *worker) (now, reachable resource.Resources) {
	now = w.free()
	if e.cell == nil {
		now = now.Sub(w.reserved)
	}
	reachable = now
	for _, o := range w.occupants {
		use := o.job.Shape.PerMember.Times(o.members)
		switch {
		case o.job.stopPlanned:
			now = now.Add(use)
			reachable = reachable.Add(use)
		case e.patient || e.mayStop(o.job):
			reachable = reachable.Add(use)
		}
	}
	return now, atMost(reachable, e.ceiling(w))
}

// cost returns the loss of making room for n members on w.
func (e *eviction) cost(w *worker, n int) float64 {
	need := e.job.Shape.PerMember.Times(n)
	room := e.available(w)
	cost := 0.0
	for _, v := range e.victimsOn(w, need) {
		cost += e.core.loss(v)
		room = room.Add(v.Shape.PerMember.Times(w.members(v)))
	}
	if e.patient && !need.Fits(room) {
		cost += e.patienceCost(w)
	}
	return cost
}

// patienceCost prices the work on w that may not be stopped: the job would wait for its end, which has no bound. Without
// a price a patient search would prefer workers full of such work, where nothing is lost by stops.
func (e *eviction) patienceCost(w *worker) float64 {
	accelerators := 0
	for _, o := range w.occupants {
		if !o.job.stopPlanned && !e.mayStop(o.job) {
			accelerators += max(1, o.members*o.job.Shape.PerMember.Accelerators)
		}
	}
	return float64(accelerators) * e.core.waits(closeAnyway).Seconds()
}

// victimsOn returns the jobs to stop on w for the need, those with the least loss first. The slice is valid until the
// next call.
func (e *eviction) victimsOn(w *worker, need resource.Resources) []*job {
	room := e.available(w)
	if need.Fits(room) {
		return nil
	}
	found := e.stoppable[:0]
	for _, o := range w.occupants {
		if e.mayStop(o.job) {
			found = append(found, o.job)
		}
	}
	e.stoppable = found
	slices.SortFunc(found, func(a, b *job) int {
		return cmp.Or(cmp.Compare(e.core.loss(a), e.core.loss(b)), cmp.Compare(a.seq, b.seq))
	})
	victims := found[:0]
	for _, v := range found {
		if need.Fits(room) {
			break
		}
		gain := v.Shape.PerMember.Times(w.members(v))
		if helps(gain, need, room) {
			room = room.Add(gain)
			victims = append(victims, v)
		}
	}
	return victims
}

// helps reports whether gain contains some of what the need lacks in room.
func helps(gain, need, room resource.Resources) bool {
	return gain.Accelerators > 0 && need.Accelerators > room.Accelerators ||
		gain.MilliCPU > 0 && need.MilliCPU > room.MilliCPU ||
		gain.MemoryMB > 0 && need.MemoryMB > room.MemoryMB
}

// find returns the placement with the least loss and that loss, nil if there is none.
func (e *eviction) find() ([]*worker, float64) {
	s := e.job.Shape
	var best []*worker
	var bestCost float64
	try := func(workers []*worker, single bool) {
		place, cost := e.within(workers, single)
		if place != nil && (best == nil || cost < bestCost) {
			best, bestCost = place, cost
		}
	}
	switch {
	case s.Members == 1 || s.Adjacency == resource.AdjacencyWorker:
		for i := range e.core.ordered {
			try(e.core.ordered[i:i+1], true)
		}
	case s.Adjacency == resource.AdjacencyRack:
		for _, k := range e.core.racks {
			if k.accelerators >= s.Total().Accelerators {
				try(k.workers, false)
			}
		}
	default:
		try(e.core.ordered, false)
	}
	return best, bestCost
}

// within places the job on the given workers, those with the least loss per member first.
func (e *eviction) within(workers []*worker, single bool) ([]*worker, float64) {
	s := e.job.Shape
	found := e.found[:0]
	for _, w := range workers {
		if !w.eligible() || e.job.failedOn(w) {
			continue
		}
		now, reachable := e.rooms(w)
		n := min(fitCount(s.PerMember, reachable), s.Members)
		if n == 0 || single && n < s.Members {
			continue
		}
		c := candidate{worker: w, fits: n}
		if !s.PerMember.Times(n).Fits(now) {
			c.score = unpriced
		}
		found = append(found, c)
	}
	e.found = found
	if !enough(found, s.Members) {
		return nil, 0
	}
	for i, f := range found {
		if f.score == unpriced {
			found[i].score = e.cost(f.worker, f.fits) / float64(f.fits)
		}
	}
	place := fill(found, s.Members)
	total := 0.0
	forEachWorker(place, func(w *worker, n int) { total += e.cost(w, n) })
	return place, total
}

// stopFor plans the stops that make room for the placement.
func (e *eviction) stopFor(placement []*worker, reason StopReason) {
	forEachWorker(placement, func(w *worker, n int) {
		for _, v := range e.victimsOn(w, e.job.Shape.PerMember.Times(n)) {
			if reason == StopReservation {
				v.stopsSuffered++
			}
			e.core.stop(v, reason)
		}
	})
}

// stop plans the stop of a placed job.
func (c *Core) stop(j *job, reason StopReason) {
	if j.stopPlanned {
		return
	}
	j.stopPlanned = true
	j.state = jobs.StateStopping
	j.reason = "stopping: " + string(reason)
	c.plan.Stops = append(c.plan.Stops, Stop{
		Job: j.ID, Attempt: j.attempt, Reason: reason,
		Checkpoint: j.CanCheckpoint && !j.cancelled, CheckpointBound: c.checkpointBound(),
	})
}

// checkpointBound is the time that a job gets to save its progress before a stop.
func (c *Core) checkpointBound() time.Duration {
	return time.Duration(float64(c.policy.ReclaimBoundMS) * checkpointShare * float64(time.Millisecond))
}

// claim takes an unclaimed cell for j, with free capacity or else by stops of borrowed work. It reports whether the
// job was started or its claim is under way.
func (c *Core) claim(j *job, cl *cell) bool {
	if c.options.noReclaim || !c.quotaReclaimable(j) {
		return false
	}
	if place := c.freePlace(j, cl); place != nil && c.claimWithinQuota(j) {
		c.moveCell(cl, place)
		c.take(j, cl)
		c.start(j, place)
		return true
	}
	e := &eviction{core: c, job: j, cell: cl}
	place := cl.place[:j.Shape.Members]
	if cl.matches(j.Shape) {
		place, _ = e.find()
	}
	if place == nil {
		return false
	}
	c.moveCell(cl, place)
	c.take(j, cl)
	c.reclaimQuota(j)
	e.stopFor(place, StopReclaim)
	c.setHold(j, &hold{placement: place, claim: true, since: c.now})
	return true
}

// freePlace returns a free placement for the claim that keeps all bindings disjoint. The cell moves there, or trades
// places with an unclaimed cell of the same shape that is free.
func (c *Core) freePlace(j *job, cl *cell) []*worker {
	if !cl.matches(j.Shape) {
		if place := cl.place[:j.Shape.Members]; fitsFree(place, j.Shape.PerMember) {
			return place
		}
		return nil
	}
	if place := c.find(&request{job: j, shape: cl.shape, cell: cl}); place != nil {
		return place
	}
	for _, other := range c.cells {
		if other.claim == nil && other != cl && other.place != nil && other.shape == cl.shape &&
			fitsFree(other.place, cl.shape.PerMember) && !failedOnAny(j, other.place) {
			c.trade(cl, other)
			return cl.place
		}
	}
	return nil
}

func failedOnAny(j *job, place []*worker) bool {
	return slices.ContainsFunc(place, j.failedOn)
}

// fitsFree reports whether every worker of the placement has room without a stop.
func fitsFree(place []*worker, per resource.Resources) bool {
	fits := true
	forEachWorker(place, func(w *worker, n int) {
		fits = fits && per.Times(n).Fits(w.free())
	})
	return fits
}

// trade exchanges the places of two unclaimed cells of one shape.
func (c *Core) trade(a, b *cell) {
	placeA, placeB := a.place, b.place
	c.unbind(a)
	c.unbind(b)
	c.bind(a, placeB)
	c.bind(b, placeA)
}

// moveCell binds an unclaimed cell to the placement of its claim.
func (c *Core) moveCell(cl *cell, place []*worker) {
	if len(place) < len(cl.place) || slices.Equal(cl.place, place) {
		return
	}
	c.unbind(cl)
	c.bind(cl, place)
}

// claimWithinQuota reports whether the claim needs no stop of the account's other work.
func (c *Core) claimWithinQuota(j *job) bool {
	a := j.owner
	return a.quota == 0 || a.used+a.claiming+j.Shape.Total().Accelerators <= a.quota
}

// quotaReclaimable reports whether the quota allows the claim once ordinary work of the account is stopped.
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

// quotaVictims returns the ordinary jobs of the account with the least loss whose stop keeps its claim within the
// quota; ok is false if none suffice.
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
		} else if !v.hard() && v.cell == nil && v.startedIn != c.plans && v.Shape.Total().Accelerators > 0 {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(x, y *job) int {
		return cmp.Or(cmp.Compare(c.loss(x), c.loss(y)), cmp.Compare(x.seq, y.seq))
	})
	n := 0
	for ; n < len(victims) && over > 0; n++ {
		over -= victims[n].Shape.Total().Accelerators
	}
	return victims[:n], over <= 0
}
