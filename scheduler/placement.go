package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/resource"
)

// placementRequest describes one search for a placement.
type placementRequest struct {
	job   *job
	shape resource.Shape
	// unstoppable marks work that cannot be stopped; it may use only capacity to which no guarantee is bound.
	unstoppable bool
	// backfill allows the use of capacity under open reservations.
	backfill bool
	// cell is the cell that the job claims and that will be bound to the placement, nil for ordinary work.
	cell *cell
	// since restricts the search to racks in which capacity was freed after this value of Core.freedSeq; 0 searches all
	// racks. If any rack qualifies, a search for workers of several racks covers all racks.
	since uint64
}

// candidate is a worker with the number of members that fit there and its score; a lower score is better.
type candidate struct {
	worker *worker
	fits   int
	score  float64
}

// fitCount returns how many times need fits into room, at most resource.MaxMembers.
func fitCount(need, room resource.Resources) int {
	n := resource.MaxMembers
	if need.Accelerators > 0 {
		n = min(n, room.Accelerators/need.Accelerators)
	}
	if need.MilliCPU > 0 {
		n = min(n, int(room.MilliCPU/need.MilliCPU))
	}
	if need.MemoryMB > 0 {
		n = min(n, int(room.MemoryMB/need.MemoryMB))
	}
	return max(n, 0)
}

// minResources returns the componentwise minimum.
func minResources(a, b resource.Resources) resource.Resources {
	return resource.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}

// availableFor returns the resources of w that the request may use now, without stopping any job. Components may be
// negative.
func (c *Core) availableFor(w *worker, r *placementRequest) resource.Resources {
	free := w.free()
	switch {
	case r.cell != nil:
	case r.backfill:
		free = free.Sub(w.closedReserved)
	default:
		free = free.Sub(w.reserved)
	}
	switch {
	case r.cell != nil:
		return minResources(free, w.bindable(r.cell))
	case r.unstoppable && !c.options.lendToUnstoppable:
		return minResources(free, w.bindable(nil))
	}
	return free
}

// bindable returns the capacity of w that is neither bound to a cell, other than except, nor used by unstoppable work.
// except may be nil.
func (w *worker) bindable(except *cell) resource.Resources {
	e := w.capacity.Sub(w.bound).Sub(w.unstoppable)
	if except == nil {
		return e
	}
	return e.Add(except.boundOn(w))
}

// admits reports whether the health of w, its quarantine or trial, and earlier failures permit to place the request
// there.
func (c *Core) admits(w *worker, r *placementRequest) bool {
	if w.eligible() {
		// A run-once job that fails is not repeated, so it avoids workers under suspicion unless it claims a cell.
		risky := r.job != nil && r.job.RunOnce && r.cell == nil && c.underSuspicion(w)
		return !risky && (r.job == nil || !r.job.mustAvoid(w))
	}
	return r.cell == nil && r.job != nil && w.acceptsTrial(r.job)
}

// findPlacement returns the best placement that requires no stop, nil if there is none.
func (c *Core) findPlacement(r *placementRequest) []*worker {
	if r.since >= c.freedSeq {
		return nil
	}
	if r.shape.Members == 1 || r.shape.Adjacency == resource.AdjacencyWorker {
		return c.findOnWorker(r)
	}
	if r.shape.Adjacency == resource.AdjacencyRack {
		return c.findInRack(r)
	}
	return c.findAnywhere(r)
}

// mayFit reports whether n members may fit on one worker according to the aggregates of the rack. If it returns false,
// the members certainly do not fit.
func (r *rack) mayFit(need resource.Resources, n int) bool {
	r.refresh()
	return need.Times(n).Fits(r.maxFree)
}

// findOnWorker returns the best placement of all members on one worker.
func (c *Core) findOnWorker(r *placementRequest) []*worker {
	members := r.shape.Members
	var best *worker
	var bestScore float64
	for _, rk := range c.racks {
		if rk.lastFreedSeq <= r.since || !rk.mayFit(r.shape.PerMember, members) {
			continue
		}
		for _, w := range rk.workers {
			if !c.admits(w, r) || fitCount(r.shape.PerMember, c.availableFor(w, r)) < members {
				continue
			}
			score := c.score(w, r, members)
			if best == nil || score < bestScore {
				best, bestScore = w, score
			}
		}
	}
	if best == nil {
		return nil
	}
	return slices.Repeat([]*worker{best}, members)
}

// findInRack returns the best placement of all members within one rack.
func (c *Core) findInRack(r *placementRequest) []*worker {
	var best []candidate
	var bestScore float64
	total := r.shape.Total().Accelerators
	for _, rk := range c.racks {
		if rk.lastFreedSeq <= r.since || !rk.mayFit(r.shape.PerMember, 1) || rk.freeAccelerators < total {
			continue
		}
		found := c.candidates(rk, r, c.candidateBuffer[:0])
		c.candidateBuffer = found
		if !enough(found, r.shape.Members) {
			continue
		}
		score := c.rackScore(rk, r, found)
		if best == nil || score < bestScore {
			best, bestScore = append(best[:0], found...), score
		}
	}
	return fill(best, r.shape.Members)
}

// findAnywhere returns the best placement on any workers of the failure domain.
func (c *Core) findAnywhere(r *placementRequest) []*worker {
	found := c.candidateBuffer[:0]
	for _, rk := range c.racks {
		if rk.mayFit(r.shape.PerMember, 1) {
			found = c.candidates(rk, r, found)
		}
	}
	c.candidateBuffer = found
	if !enough(found, r.shape.Members) {
		return nil
	}
	return fill(found, r.shape.Members)
}

// candidates appends the workers of the rack that hold at least one member to found.
func (c *Core) candidates(rk *rack, r *placementRequest, found []candidate) []candidate {
	for _, w := range rk.workers {
		if !c.admits(w, r) {
			continue
		}
		fits := min(fitCount(r.shape.PerMember, c.availableFor(w, r)), r.shape.Members)
		if fits > 0 {
			found = append(found, candidate{w, fits, c.score(w, r, fits)})
		}
	}
	return found
}

// enough reports whether the candidates together hold n members.
func enough(found []candidate, n int) bool {
	for _, f := range found {
		n -= f.fits
	}
	return n <= 0
}

// fill places n members on the candidates with the lowest scores. It sorts found, and returns nil if the candidates do
// not suffice.
func fill(found []candidate, n int) []*worker {
	slices.SortFunc(found, func(a, b candidate) int {
		if d := cmp.Compare(a.score, b.score); d != 0 {
			return d
		}
		return cmp.Compare(a.worker.index, b.worker.index)
	})
	placement := make([]*worker, 0, n)
	for _, f := range found {
		for i := 0; i < f.fits && len(placement) < n; i++ {
			placement = append(placement, f.worker)
		}
	}
	if len(placement) < n {
		return nil
	}
	return placement
}

// fitsEmptyWorkers reports whether the shape would fit the configured workers if all of them were empty and healthy.
func (c *Core) fitsEmptyWorkers(s resource.Shape) bool {
	return c.fitsCapacities(s, func(w *worker) resource.Resources { return w.capacity })
}

// fitsOtherWorkers reports whether the workers that the job need not avoid could hold it if they were empty and
// healthy.
func (c *Core) fitsOtherWorkers(j *job) bool {
	return c.fitsCapacities(j.Shape, func(w *worker) resource.Resources {
		if j.mustAvoid(w) {
			return resource.Resources{}
		}
		return w.capacity
	})
}

// fitsUnboundCapacity reports whether the shape would fit the capacity of healthy workers that is not bound to cells if
// these workers were empty.
func (c *Core) fitsUnboundCapacity(s resource.Shape) bool {
	return c.fitsCapacities(s, func(w *worker) resource.Resources {
		if !w.eligible() {
			return resource.Resources{}
		}
		return w.capacity.Sub(w.bound)
	})
}

// fitsCapacities reports whether the shape fits the given capacities of the workers.
func (c *Core) fitsCapacities(s resource.Shape, capacity func(*worker) resource.Resources) bool {
	all := 0
	for _, rk := range c.racks {
		inRack := 0
		for _, w := range rk.workers {
			n := fitCount(s.PerMember, capacity(w))
			if n >= s.Members {
				return true
			}
			inRack += n
		}
		if s.Adjacency == resource.AdjacencyRack && inRack >= s.Members {
			return true
		}
		all += inRack
	}
	return s.Adjacency == resource.AdjacencyNone && all >= s.Members
}
