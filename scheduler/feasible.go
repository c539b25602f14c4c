package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/resource"
)

// request is one search for a placement.
type request struct {
	job   *job
	shape resource.Shape
	// hard marks work that cannot be stopped; it may only use capacity that no guarantee is bound to.
	hard bool
	// backfill allows capacity reserved for another job.
	backfill bool
	// cell is the guarantee's cell that the placement would take along, nil for ordinary work.
	cell *cell
	// since restricts the search to racks freed after this sequence number, 0 for all.
	since uint64
}

// candidate is a worker with the number of members that fit and its rank; a lower score is better.
type candidate struct {
	worker *worker
	fits   int
	score  float64
}

// fitCount returns how many times need fits into room.
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

// atMost returns the componentwise minimum.
func atMost(a, b resource.Resources) resource.Resources {
	return resource.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}

// room returns what the request may take on w now, without a stop of anything.
func (c *Core) room(w *worker, r *request) resource.Resources {
	free := w.free()
	switch {
	case r.cell != nil:
	case r.backfill:
		free = free.Sub(w.closed)
	default:
		free = free.Sub(w.reserved)
	}
	switch {
	case r.cell != nil:
		return atMost(free, w.entitled(r.cell))
	case r.hard && !c.options.lendToUnstoppable:
		return atMost(free, w.entitled(nil))
	}
	return free
}

// entitled returns what is neither bound to a cell other than except nor used by unstoppable work.
func (w *worker) entitled(except *cell) resource.Resources {
	e := w.capacity.Sub(w.bound).Sub(w.hard)
	if except == nil {
		return e
	}
	return e.Add(except.on(w))
}

// admits reports whether the request may be placed on w at all.
func (c *Core) admits(w *worker, r *request) bool {
	if w.eligible() {
		// Run-once work that fails is lost, so it avoids workers under suspicion unless it claims its guarantee.
		risky := r.job != nil && r.job.RunOnce && r.cell == nil && c.underSuspicion(w)
		return !risky && (r.job == nil || !r.job.failedOn(w))
	}
	return r.cell == nil && r.job != nil && w.acceptsTrial(r.job)
}

// find returns the best placement that needs no stop, nil if there is none.
func (c *Core) find(r *request) []*worker {
	if r.since >= c.seq {
		return nil
	}
	if r.shape.Members == 1 || r.shape.Adjacency == resource.AdjacencyWorker {
		return c.findWorker(r)
	}
	if r.shape.Adjacency == resource.AdjacencyRack {
		return c.findRack(r)
	}
	return c.findAnywhere(r)
}

// mayFit reports whether the aggregates of the rack leave room for n members on one worker.
func (r *rack) mayFit(need resource.Resources, n int) bool {
	r.refresh()
	return need.Times(n).Fits(r.limit)
}

// findWorker places all members on the best worker.
func (c *Core) findWorker(r *request) []*worker {
	members := r.shape.Members
	var best *worker
	var bestScore float64
	for _, k := range c.racks {
		if k.freed <= r.since || !k.mayFit(r.shape.PerMember, members) {
			continue
		}
		for _, w := range k.workers {
			if !c.admits(w, r) || fitCount(r.shape.PerMember, c.room(w, r)) < members {
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

// findRack places the members within the best rack.
func (c *Core) findRack(r *request) []*worker {
	var best []candidate
	var bestScore float64
	total := r.shape.Total().Accelerators
	for _, k := range c.racks {
		if k.freed <= r.since || !k.mayFit(r.shape.PerMember, 1) || k.total < total {
			continue
		}
		found := c.candidates(k, r, c.scratch[:0])
		c.scratch = found
		if !enough(found, r.shape.Members) {
			continue
		}
		score := c.rackScore(k, r, found)
		if best == nil || score < bestScore {
			best, bestScore = append(best[:0], found...), score
		}
	}
	return fill(best, r.shape.Members)
}

// findAnywhere places the members on the best workers of the failure domain.
func (c *Core) findAnywhere(r *request) []*worker {
	found := c.scratch[:0]
	for _, k := range c.racks {
		if k.mayFit(r.shape.PerMember, 1) {
			found = c.candidates(k, r, found)
		}
	}
	c.scratch = found
	if !enough(found, r.shape.Members) {
		return nil
	}
	return fill(found, r.shape.Members)
}

// candidates appends the workers of k that hold at least one member.
func (c *Core) candidates(k *rack, r *request, found []candidate) []candidate {
	for _, w := range k.workers {
		if !c.admits(w, r) {
			continue
		}
		fits := min(fitCount(r.shape.PerMember, c.room(w, r)), r.shape.Members)
		if fits > 0 {
			found = append(found, candidate{w, fits, c.score(w, r, fits)})
		}
	}
	return found
}

// enough reports whether the candidates hold n members together.
func enough(found []candidate, n int) bool {
	for _, f := range found {
		n -= f.fits
	}
	return n <= 0
}

// fill takes the best candidates until n members are placed; it returns nil if they do not suffice.
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

// holdsEmpty reports whether the shape fits the configured workers if they were all empty and healthy.
func (c *Core) holdsEmpty(s resource.Shape) bool {
	return c.fitsRooms(s, func(w *worker) resource.Resources { return w.capacity })
}

// holdsElsewhere reports whether workers on which the job did not fail could hold it.
func (c *Core) holdsElsewhere(j *job) bool {
	return c.fitsRooms(j.Shape, func(w *worker) resource.Resources {
		if j.failedOn(w) {
			return resource.Resources{}
		}
		return w.capacity
	})
}

// holdsUnbound reports whether the shape fits the capacity of healthy workers that no guarantee is bound to.
func (c *Core) holdsUnbound(s resource.Shape) bool {
	return c.fitsRooms(s, func(w *worker) resource.Resources {
		if !w.eligible() {
			return resource.Resources{}
		}
		return w.capacity.Sub(w.bound)
	})
}

// fitsRooms reports whether the shape fits the rooms of the workers.
func (c *Core) fitsRooms(s resource.Shape, room func(*worker) resource.Resources) bool {
	all := 0
	for _, k := range c.racks {
		inRack := 0
		for _, w := range k.workers {
			n := fitCount(s.PerMember, room(w))
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
