package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/resource"
)

// findBinding returns healthy workers to which an unbound cell can be bound, nil if there are none. Stoppable work that
// already runs there is ignored, since a claim can stop it; workers with free capacity are only preferred.
func (c *Core) findBinding(cl *cell) []*worker {
	s := cl.shape
	var best []*worker
	var bestCost float64
	try := func(workers []*worker, singleWorker bool) {
		binding, cost := bindWithin(s, workers, singleWorker)
		if binding != nil && (best == nil || cost < bestCost) {
			best, bestCost = binding, cost
		}
	}
	switch {
	case s.Members == 1 || s.Adjacency == resource.AdjacencyWorker:
		for i := range c.ordered {
			try(c.ordered[i:i+1], true)
		}
	case s.Adjacency == resource.AdjacencyRack:
		for _, rk := range c.racks {
			try(rk.workers, false)
		}
	default:
		try(c.ordered, false)
	}
	return best
}

// bindWithin places a shape on the given workers, starting with those that have the least bindable capacity left, and
// returns the workers and the cost. The workers are nil if the shape does not fit. The cost on a single worker is the
// bindable capacity left over, plus a small surcharge if a claim would have to stop work. The cost on several workers
// is the number of bindable accelerators on all given workers that could hold a member.
func bindWithin(s resource.Shape, workers []*worker, singleWorker bool) ([]*worker, float64) {
	var found []candidate
	left := 0
	for _, w := range workers {
		if !w.eligible() {
			continue
		}
		room := w.bindable(nil)
		n := fitCount(s.PerMember, room)
		if n == 0 || singleWorker && n < s.Members {
			continue
		}
		left += max(room.Accelerators, n)
		found = append(found, candidate{w, n, bindingCost(w, room, s.PerMember)})
	}
	if !enough(found, s.Members) {
		return nil, 0
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.worker.index, b.worker.index))
	})
	cost := float64(left)
	if singleWorker {
		cost = found[0].score
	}
	return fill(found, s.Members), cost
}

// bindingCost returns the cost of binding need to w, whose bindable capacity is room. It prefers workers that the
// binding fills and that have enough free capacity now.
func bindingCost(w *worker, room, need resource.Resources) float64 {
	cost := float64(room.Accelerators-need.Accelerators) + freeShare(room.Sub(need), w.capacity)
	if !need.Fits(w.free()) {
		cost += 0.1
	}
	return cost
}

// repackAttempts bounds the number of orders in which all unclaimed cells are bound again. Packing is NP-hard; moving
// the cells that found no workers to the front of the order finds a packing in the cases that validation accepts, at a
// bounded cost.
const repackAttempts = 16

// repack binds all unclaimed cells again after some could not be bound, and keeps the result with the fewest unbound
// cells.
func (c *Core) repack() {
	unclaimed := slices.DeleteFunc(c.cellsByDifficulty(), func(cl *cell) bool { return cl.claim != nil })
	best := bindings(unclaimed)
	fewestUnbound := countUnbound(unclaimed)
	for range repackAttempts {
		for _, cl := range unclaimed {
			c.unbind(cl)
		}
		var failed []*cell
		for _, cl := range unclaimed {
			binding := c.findBinding(cl)
			if binding == nil {
				failed = append(failed, cl)
				continue
			}
			c.bind(cl, binding)
		}
		if len(failed) < fewestUnbound {
			best, fewestUnbound = bindings(unclaimed), len(failed)
		}
		if len(failed) == 0 {
			return
		}
		unclaimed = moveToFront(unclaimed, failed)
	}
	for _, cl := range unclaimed {
		c.unbind(cl)
	}
	for _, cl := range unclaimed {
		if binding := best[cl]; binding != nil {
			c.bind(cl, binding)
		}
	}
}

// bindings returns the current workers of the cells.
func bindings(cells []*cell) map[*cell][]*worker {
	byCell := make(map[*cell][]*worker, len(cells))
	for _, cl := range cells {
		byCell[cl] = cl.workers
	}
	return byCell
}

// countUnbound returns how many of the cells are bound to no workers.
func countUnbound(cells []*cell) int {
	n := 0
	for _, cl := range cells {
		if cl.workers == nil {
			n++
		}
	}
	return n
}

// moveToFront returns the cells with those in front first.
func moveToFront(cells, front []*cell) []*cell {
	moved := slices.Clone(front)
	for _, cl := range cells {
		if !slices.Contains(front, cl) {
			moved = append(moved, cl)
		}
	}
	return moved
}

// startByDisplacing starts unstoppable work on free capacity that unclaimed cells are bound to, if these cells can be
// bound to other workers. Moving an unclaimed binding stops no work, since borrowed work is ignored when a cell is
// bound. It reports whether the job was started.
func (c *Core) startByDisplacing(j *job) bool {
	key := searchKey{shape: j.Shape, runOnce: j.RunOnce, displacing: true}
	if j.class.key.solo != "" || c.failedSearches[key] >= c.freedSeq {
		return false
	}
	placement := c.findPlacement(&placementRequest{job: j, shape: j.Shape})
	if placement == nil || !mayRunOn(j, placement) || !c.displace(j, placement) {
		c.failedSearches[key] = c.freedSeq
		return false
	}
	c.start(j, placement)
	return true
}

// displace moves the unclaimed cells whose bindings leave too little capacity for unstoppable work on the given
// workers. It reports whether all of them could be bound elsewhere; if not, it restores the previous bindings.
func (c *Core) displace(j *job, workers []*worker) bool {
	var moved []*cell
	var from [][]*worker
	addUnstoppable := func(sign int) {
		forEachWorker(workers, func(w *worker, n int) { w.unstoppable = w.unstoppable.Add(j.Shape.PerMember.Times(sign * n)) })
	}
	addUnstoppable(1)
	forEachWorker(workers, func(w *worker, _ int) {
		for !w.bound.Add(w.unstoppable).Fits(w.capacity) {
			i := slices.IndexFunc(w.cells, func(cl *cell) bool { return cl.claim == nil })
			if i < 0 {
				return
			}
			cl := w.cells[i]
			moved, from = append(moved, cl), append(from, cl.workers)
			c.unbind(cl)
		}
	})
	ok := true
	forEachWorker(workers, func(w *worker, _ int) { ok = ok && w.bound.Add(w.unstoppable).Fits(w.capacity) })
	for _, cl := range moved {
		if to := c.findBinding(cl); ok && to != nil {
			c.bind(cl, to)
		} else {
			ok = false
		}
	}
	addUnstoppable(-1)
	if ok {
		return true
	}
	for _, cl := range moved {
		c.unbind(cl)
	}
	for i, cl := range moved {
		c.bind(cl, from[i])
	}
	return false
}
