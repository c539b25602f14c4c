package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/resource"
)

// findBinding returns a place for an unbound cell among the healthy workers, nil if there is none. What runs there on
// loan does not matter; among equal places, one with free capacity is preferred.
func (c *Core) findBinding(cl *cell) []*worker {
	s := cl.shape
	var best []*worker
	var bestCost float64
	try := func(workers []*worker, perWorker bool) {
		place, cost := bindWithin(s, workers, perWorker)
		if place != nil && (best == nil || cost < bestCost) {
			best, bestCost = place, cost
		}
	}
	switch {
	case s.Members == 1 || s.Adjacency == resource.AdjacencyWorker:
		for i := range c.ordered {
			try(c.ordered[i:i+1], true)
		}
	case s.Adjacency == resource.AdjacencyRack:
		for _, k := range c.racks {
			try(k.workers, false)
		}
	default:
		try(c.ordered, false)
	}
	return best
}

// bindWithin places a shape on the given workers, fullest first. The cost is the entitled capacity left over, with a
// small part for work that a claim would stop.
func bindWithin(s resource.Shape, workers []*worker, single bool) ([]*worker, float64) {
	var found []candidate
	left := 0
	for _, w := range workers {
		if !w.eligible() {
			continue
		}
		room := w.entitled(nil)
		n := fitCount(s.PerMember, room)
		if n == 0 || single && n < s.Members {
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
	if single {
		cost = found[0].score
	}
	return fill(found, s.Members), cost
}

// bindingCost prefers workers that the binding fills and that are free now.
func bindingCost(w *worker, room, need resource.Resources) float64 {
	cost := float64(room.Accelerators-need.Accelerators) + fractionLeft(room.Sub(need), w.capacity)
	if !need.Fits(w.free()) {
		cost += 0.1
	}
	return cost
}

// repackAttempts bounds the orders in which all unclaimed cells are bound anew. Packing is NP-hard; rotating the cells
// that failed to the front finds a packing in the cases that validation accepts, at a bounded cost.
const repackAttempts = 16

// repack binds all unclaimed cells anew when some found no room, and keeps the best result.
func (c *Core) repack() {
	loose := slices.DeleteFunc(c.bySize(), func(cl *cell) bool { return cl.claim != nil })
	best := bindings(loose)
	bestMissing := countMissing(loose)
	for range repackAttempts {
		for _, cl := range loose {
			c.unbind(cl)
		}
		var failed []*cell
		for _, cl := range loose {
			place := c.findBinding(cl)
			if place == nil {
				failed = append(failed, cl)
				continue
			}
			c.bind(cl, place)
		}
		if len(failed) < bestMissing {
			best, bestMissing = bindings(loose), len(failed)
		}
		if len(failed) == 0 {
			return
		}
		loose = moveToFront(loose, failed)
	}
	for _, cl := range loose {
		c.unbind(cl)
	}
	for _, cl := range loose {
		if place := best[cl]; place != nil {
			c.bind(cl, place)
		}
	}
}

// bindings returns the present places of the cells.
func bindings(cells []*cell) map[*cell][]*worker {
	places := make(map[*cell][]*worker, len(cells))
	for _, cl := range cells {
		places[cl] = cl.place
	}
	return places
}

func countMissing(cells []*cell) int {
	n := 0
	for _, cl := range cells {
		if cl.place == nil {
			n++
		}
	}
	return n
}

// moveToFront returns the cells with those of front first.
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
// bound elsewhere. What runs there on loan does not matter, so the move loses nothing.
func (c *Core) startByDisplacing(j *job) bool {
	key := shapeKey{shape: j.Shape, runOnce: j.RunOnce, displacing: true}
	if j.class.key.solo != "" || c.blocked[key] >= c.seq {
		return false
	}
	place := c.find(&request{job: j, shape: j.Shape})
	if place == nil || !usableBy(j, place) || !c.displace(j, place) {
		c.blocked[key] = c.seq
		return false
	}
	c.start(j, place)
	return true
}

// displace binds the unclaimed cells elsewhere that leave no room for unstoppable work on the place. It reports whether
// all found room; if not, nothing is changed.
func (c *Core) displace(j *job, place []*worker) bool {
	var moved []*cell
	var from [][]*worker
	reserve := func(sign int) {
		forEachWorker(place, func(w *worker, n int) { w.hard = w.hard.Add(j.Shape.PerMember.Times(sign * n)) })
	}
	reserve(1)
	forEachWorker(place, func(w *worker, _ int) {
		for !w.bound.Add(w.hard).Fits(w.capacity) {
			i := slices.IndexFunc(w.cells, func(cl *cell) bool { return cl.claim == nil })
			if i < 0 {
				return
			}
			cl := w.cells[i]
			moved, from = append(moved, cl), append(from, cl.place)
			c.unbind(cl)
		}
	})
	ok := true
	forEachWorker(place, func(w *worker, _ int) { ok = ok && w.bound.Add(w.hard).Fits(w.capacity) })
	for _, cl := range moved {
		if to := c.findBinding(cl); ok && to != nil {
			c.bind(cl, to)
		} else {
			ok = false
		}
	}
	reserve(-1)
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
