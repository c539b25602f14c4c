package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/resource"
)

// cell is one copy of a guaranteed shape. It is bound to specific healthy workers, which proves that the guarantee fits
// the healthy capacity, whatever borrowed work runs there (HiveD, OSDI 2020). Bindings are disjoint: on every healthy
// worker the bound members and the unstoppable work together stay within the capacity, so stopping all other work
// always makes room.
type cell struct {
	account *account
	shape   resource.Shape
	// workers lists the worker of each member, nil while the cell is unbound and its guarantee therefore degraded.
	workers []*worker
	// claim is the job that runs in the cell, or that waits until its victims have stopped.
	claim *job
}

// boundOn returns the resources of w that are bound to the cell.
func (cl *cell) boundOn(w *worker) resource.Resources {
	n := 0
	for _, o := range cl.workers {
		if o == w {
			n++
		}
	}
	return cl.shape.PerMember.Times(n)
}

// boundToHealthyWorkers reports whether the cell is bound and all its workers are healthy.
func (cl *cell) boundToHealthyWorkers() bool {
	for _, w := range cl.workers {
		if !w.eligible() {
			return false
		}
	}
	return len(cl.workers) > 0
}

// DegradedGuarantee is a guaranteed shape of which some copies do not fit the healthy capacity at present.
type DegradedGuarantee struct {
	Account string
	Shape   resource.Shape
	// Missing counts the copies that are not bound to workers.
	Missing int
}

// Degraded lists the guarantees that do not fit the healthy capacity, ordered by account, as of the last Plan.
func (c *Core) Degraded() []DegradedGuarantee {
	var list []DegradedGuarantee
	for _, cl := range c.cells {
		if cl.workers != nil {
			continue
		}
		last := len(list) - 1
		if last >= 0 && list[last].Account == cl.account.name && list[last].Shape == cl.shape {
			list[last].Missing++
			continue
		}
		list = append(list, DegradedGuarantee{cl.account.name, cl.shape, 1})
	}
	return list
}

// setGuarantees updates the cells of an account to match its guarantees in this failure domain. Cells of unchanged
// guarantees keep their binding and claim.
func (c *Core) setGuarantees(a *account, guarantees []config.Guarantee) {
	old := a.cells
	a.cells = nil
	a.guaranteed = 0
	for _, g := range guarantees {
		if g.FailureDomain != c.failureDomain {
			continue
		}
		for range g.Count {
			i := slices.IndexFunc(old, func(cl *cell) bool { return cl.shape == g.Shape })
			if i < 0 {
				a.cells = append(a.cells, &cell{account: a, shape: g.Shape})
			} else {
				a.cells = append(a.cells, old[i])
				old = slices.Delete(old, i, i+1)
			}
			a.guaranteed += g.Shape.Total().Accelerators
		}
	}
	for _, cl := range old {
		c.unbind(cl)
	}
}

// bind binds an unbound cell to the workers.
func (c *Core) bind(cl *cell, workers []*worker) {
	cl.workers = workers
	for _, w := range workers {
		w.bound = w.bound.Add(cl.shape.PerMember)
		if cl.claim == nil {
			w.unclaimed = w.unclaimed.Add(cl.shape.PerMember)
		}
		w.cells = append(w.cells, cl)
	}
}

// unbind removes the binding of a cell and ends its claim. A running claim becomes ordinary work. A claim that waits
// for its victims loses its hold and returns to its class.
func (c *Core) unbind(cl *cell) {
	c.endClaim(cl)
	for _, w := range cl.workers {
		w.bound = w.bound.Sub(cl.shape.PerMember)
		w.unclaimed = w.unclaimed.Sub(cl.shape.PerMember)
		i := slices.Index(w.cells, cl)
		w.cells = slices.Delete(w.cells, i, i+1)
		c.markChanged(w, true)
	}
	cl.workers = nil
}

// endClaim ends the claim of a cell, if it has one.
func (c *Core) endClaim(cl *cell) {
	switch j := cl.claim; {
	case j == nil:
	case j.hold != nil:
		c.abandonHold(j)
	default:
		c.detach(j)
	}
}

// setClaim makes j the claim of a bound cell.
func (c *Core) setClaim(j *job, cl *cell) {
	j.cell, cl.claim = cl, j
	for _, w := range cl.workers {
		w.unclaimed = w.unclaimed.Sub(cl.shape.PerMember)
	}
}

// releaseCell ends the claim of j. The cell stays bound.
func (c *Core) releaseCell(j *job) {
	cl := j.cell
	if cl == nil {
		return
	}
	j.cell, cl.claim = nil, nil
	for _, w := range cl.workers {
		w.unclaimed = w.unclaimed.Add(cl.shape.PerMember)
		c.markChanged(w, true)
	}
	c.retryBinding = true
}

// detach ends the claim of j. If j is placed, it continues as ordinary work.
func (c *Core) detach(j *job) {
	if j.cell == nil {
		return
	}
	c.releaseCell(j)
	if !j.unstoppable() || !j.placed() {
		return
	}
	j.owner.unstoppableUsed += j.Shape.Total().Accelerators
	forEachWorker(j.placement, func(w *worker, n int) {
		if n := w.members(j); n > 0 {
			w.unstoppable = w.unstoppable.Add(j.Shape.PerMember.Times(n))
		}
	})
}

// attach makes an ordinary running job the claim of an unclaimed cell and binds the cell to the workers of the job. It
// does nothing and returns false if the bindings would no longer be disjoint.
func (c *Core) attach(j *job, cl *cell) bool {
	fits := true
	forEachWorker(j.placement, func(w *worker, n int) {
		room := w.bindable(cl)
		if j.unstoppable() {
			room = room.Add(j.Shape.PerMember.Times(n))
		}
		if !w.eligible() || !cl.shape.PerMember.Times(n).Fits(room) {
			fits = false
		}
	})
	if !fits || len(j.placement) != cl.shape.Members {
		return false
	}
	c.unbind(cl)
	c.bind(cl, j.placement)
	c.setClaim(j, cl)
	if j.unstoppable() {
		j.owner.unstoppableUsed -= j.Shape.Total().Accelerators
		forEachWorker(j.placement, func(w *worker, n int) {
			w.unstoppable = w.unstoppable.Sub(j.Shape.PerMember.Times(n))
		})
	}
	return true
}

// matches reports whether a job of shape s counts as a claim of the guarantee: it has the members and accelerators of
// the guaranteed shape and needs no more processors, memory or adjacency.
func (cl *cell) matches(s resource.Shape) bool {
	g := cl.shape
	return s.Members == g.Members && s.PerMember.Accelerators == g.PerMember.Accelerators &&
		s.PerMember.Fits(g.PerMember) && adjacencySatisfied(s.Adjacency, g.Adjacency)
}

// covers reports whether a job of shape s fits into the cell. It may be smaller than the guaranteed shape.
func (cl *cell) covers(s resource.Shape) bool {
	g := cl.shape
	return s.Members <= g.Members && s.PerMember.Fits(g.PerMember) && adjacencySatisfied(s.Adjacency, g.Adjacency)
}

// adjacencySatisfied reports whether a placement with adjacency have also satisfies want.
func adjacencySatisfied(want, have resource.Adjacency) bool {
	return want == have || want == resource.AdjacencyNone || have == resource.AdjacencyWorker
}

// unclaimedCell returns a bound cell of the account without a claim, whose guarantee j matches; nil if there is none.
// If covering is true, it also accepts a cell that j fits into without matching its guarantee.
func (c *Core) unclaimedCell(j *job, covering bool) *cell {
	for _, cl := range j.owner.cells {
		if cl.claim != nil || cl.workers == nil {
			continue
		}
		if cl.matches(j.Shape) || covering && cl.covers(j.Shape) {
			return cl
		}
	}
	return nil
}

// rebind repairs the bindings after a change of workers, configuration or unstoppable work. It unbinds cells whose
// workers became unhealthy or overcommitted, and binds as many unbound cells as fit.
func (c *Core) rebind() {
	if !c.bindingStale && !(c.retryBinding && c.unboundCells > 0) {
		c.retryBinding = false
		return
	}
	c.bindingStale, c.retryBinding = false, false
	if c.options.noRebinding && c.boundOnce {
		return
	}
	c.boundOnce = true
	for _, cl := range c.cells {
		if cl.workers != nil && !cl.boundToHealthyWorkers() {
			c.unbind(cl)
		}
	}
	c.unbindOvercommitted()
	c.attachRunning()
	if c.bindUnbound() > 0 {
		c.repack()
	}
	c.attachRunning()
	c.unboundCells = 0
	for _, cl := range c.cells {
		if cl.workers == nil {
			c.unboundCells++
		}
	}
}

// unbindOvercommitted unbinds cells on workers whose capacity was reduced or that run adopted unstoppable work, until
// the rest fits; unclaimed cells first.
func (c *Core) unbindOvercommitted() {
	for _, w := range c.ordered {
		for len(w.cells) > 0 && !w.bound.Add(w.unstoppable).Fits(w.capacity) {
			i := slices.IndexFunc(w.cells, func(cl *cell) bool { return cl.claim == nil })
			c.unbind(w.cells[max(i, 0)])
		}
	}
}

// attachRunning assigns unclaimed cells to running jobs of their shape, so that these jobs are not stopped for others.
func (c *Core) attachRunning() {
	for _, cl := range c.cells {
		if cl.claim != nil {
			continue
		}
		for _, j := range c.account(cl.account.name).placed {
			if j.cell == nil && !j.stopPlanned && cl.matches(j.Shape) && c.attach(j, cl) {
				break
			}
		}
	}
}

// bindUnbound binds the unbound cells where they fit and returns how many remain unbound.
func (c *Core) bindUnbound() int {
	missing := 0
	for _, cl := range c.cellsByDifficulty() {
		if cl.workers != nil {
			continue
		}
		if workers := c.findBinding(cl); workers != nil {
			c.bind(cl, workers)
		} else {
			missing++
		}
	}
	return missing
}

// cellsByDifficulty returns all cells, starting with those that are hardest to place.
func (c *Core) cellsByDifficulty() []*cell {
	sorted := slices.Clone(c.cells)
	slices.SortStableFunc(sorted, func(a, b *cell) int {
		return cmp.Or(
			cmp.Compare(adjacencyDifficulty(b.shape), adjacencyDifficulty(a.shape)),
			cmp.Compare(b.shape.PerMember.Accelerators, a.shape.PerMember.Accelerators),
			cmp.Compare(sizeOf(b.shape), sizeOf(a.shape)),
			cmp.Compare(b.shape.PerMember.MilliCPU, a.shape.PerMember.MilliCPU),
			cmp.Compare(b.shape.PerMember.MemoryMB, a.shape.PerMember.MemoryMB))
	})
	return sorted
}

// adjacencyDifficulty ranks the adjacency of a shape by how hard it is to satisfy, from 0 (any workers) to 2 (one
// rack).
func adjacencyDifficulty(s resource.Shape) int {
	switch {
	case s.Members == 1, s.Adjacency == resource.AdjacencyNone:
		return 0
	case s.Adjacency == resource.AdjacencyWorker:
		return 1
	}
	return 2
}

// assertReclaimable checks invariant.GuaranteeReclaimable: every bound cell is on healthy workers whose other bindings
// and unstoppable work leave room for it. Unbound cells are not checked; Degraded lists their guarantees.
func (c *Core) assertReclaimable() {
	for _, w := range c.ordered {
		if len(w.cells) == 0 {
			continue
		}
		if w.eligible() && w.bound.Add(w.unstoppable).Fits(w.capacity) {
			continue
		}
		invariant.Check(false, invariant.GuaranteeReclaimable,
			"worker %s: guaranteed %v and unstoppable %v exceed capacity %v, or the worker is %s",
			w.id, w.bound, w.unstoppable, w.capacity, w.health)
	}
}
