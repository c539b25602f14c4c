package scheduler

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/resource"
)

// cell is one copy of a guaranteed shape. Its binding to concrete healthy workers is the witness that the guarantee can
// be packed, whatever runs there on loan (HiveD, OSDI 2020). Bindings are disjoint: on every healthy worker the bound
// members and the unstoppable work together stay within the capacity, so stopping the rest always makes room.
type cell struct {
	account *account
	shape   resource.Shape
	// place lists the worker of each member, nil while the guarantee is degraded.
	place []*worker
	// claim is the job that runs in the cell or waits for its victims to stop.
	claim *job
}

// on returns what the cell binds on w.
func (cl *cell) on(w *worker) resource.Resources {
	n := 0
	for _, o := range cl.place {
		if o == w {
			n++
		}
	}
	return cl.shape.PerMember.Times(n)
}

// sound reports whether every worker of the binding may get work.
func (cl *cell) sound() bool {
	for _, w := range cl.place {
		if !w.eligible() {
			return false
		}
	}
	return len(cl.place) > 0
}

// DegradedGuarantee is a guaranteed shape that the healthy capacity does not hold at present.
type DegradedGuarantee struct {
	Account string
	Shape   resource.Shape
	// Missing counts the copies without a binding.
	Missing int
}

// Degraded lists the guarantees that the healthy capacity does not hold, by account. It is as of the last Plan.
func (c *Core) Degraded() []DegradedGuarantee {
	var list []DegradedGuarantee
	for _, cl := range c.cells {
		if cl.place != nil {
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

// setGuarantees makes the cells of an account match its guarantees in this failure domain. Cells that stay keep their
// binding and claim.
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

// bind gives an unbound cell its place.
func (c *Core) bind(cl *cell, place []*worker) {
	cl.place = place
	for _, w := range place {
		w.bound = w.bound.Add(cl.shape.PerMember)
		if cl.claim == nil {
			w.unclaimed = w.unclaimed.Add(cl.shape.PerMember)
		}
		w.cells = append(w.cells, cl)
	}
}

// unbind takes the place from a cell. A job that claims it goes on as ordinary work; a claim that waits for its victims
// waits anew.
func (c *Core) unbind(cl *cell) {
	if j := cl.claim; j != nil {
		if j.hold != nil {
			c.dropHold(j)
		}
		c.detach(j)
	}
	for _, w := range cl.place {
		w.bound = w.bound.Sub(cl.shape.PerMember)
		w.unclaimed = w.unclaimed.Sub(cl.shape.PerMember)
		i := slices.Index(w.cells, cl)
		w.cells = slices.Delete(w.cells, i, i+1)
		c.touch(w, true)
	}
	cl.place = nil
}

// take makes j the claim of a bound cell.
func (c *Core) take(j *job, cl *cell) {
	j.cell, cl.claim = cl, j
	for _, w := range cl.place {
		w.unclaimed = w.unclaimed.Sub(cl.shape.PerMember)
	}
}

// releaseCell ends the claim of j; the binding stays.
func (c *Core) releaseCell(j *job) {
	cl := j.cell
	if cl == nil {
		return
	}
	j.cell, cl.claim = nil, nil
	for _, w := range cl.place {
		w.unclaimed = w.unclaimed.Add(cl.shape.PerMember)
		c.touch(w, true)
	}
	c.retryBinding = true
}

// detach turns a placed claim into ordinary work.
func (c *Core) detach(j *job) {
	if j.cell == nil {
		return
	}
	c.releaseCell(j)
	if !j.hard() || !j.placed() {
		return
	}
	j.owner.hardUsed += j.Shape.Total().Accelerators
	forEachWorker(j.placement, func(w *worker, n int) {
		if n := w.members(j); n > 0 {
			w.hard = w.hard.Add(j.Shape.PerMember.Times(n))
		}
	})
}

// attach makes an ordinary running job the claim of an unclaimed cell, which moves to where the job runs. It reports
// whether the move keeps all bindings disjoint.
func (c *Core) attach(j *job, cl *cell) bool {
	fits := true
	forEachWorker(j.placement, func(w *worker, n int) {
		room := w.entitled(cl)
		if j.hard() {
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
	c.take(j, cl)
	if j.hard() {
		j.owner.hardUsed -= j.Shape.Total().Accelerators
		forEachWorker(j.placement, func(w *worker, n int) {
			w.hard = w.hard.Sub(j.Shape.PerMember.Times(n))
		})
	}
	return true
}

// matches reports whether the job asks for the guaranteed shape, with no more processors or memory.
func (cl *cell) matches(s resource.Shape) bool {
	g := cl.shape
	return s.Members == g.Members && s.PerMember.Accelerators == g.PerMember.Accelerators &&
		s.PerMember.Fits(g.PerMember) && looser(s.Adjacency, g.Adjacency)
}

// covers reports whether the job fits into the cell.
func (cl *cell) covers(s resource.Shape) bool {
	g := cl.shape
	return s.Members <= g.Members && s.PerMember.Fits(g.PerMember) && looser(s.Adjacency, g.Adjacency)
}

// looser reports whether a placement with adjacency have also satisfies want.
func looser(want, have resource.Adjacency) bool {
	return want == have || want == resource.AdjacencyNone || have == resource.AdjacencyWorker
}

// openCell returns an unclaimed bound cell for j: one of its shape, or for unstoppable work, which gets no borrowed
// capacity, any that holds it. Nil if there is none.
func (c *Core) openCell(j *job, covering bool) *cell {
	for _, cl := range j.owner.cells {
		if cl.claim != nil || cl.place == nil {
			continue
		}
		if cl.matches(j.Shape) || covering && cl.covers(j.Shape) {
			return cl
		}
	}
	return nil
}

// rebind repairs the bindings after a change of workers, configuration or unstoppable work.
func (c *Core) rebind() {
	if !c.bindingStale && !(c.retryBinding && c.missingCells > 0) {
		c.retryBinding = false
		return
	}
	c.bindingStale, c.retryBinding = false, false
	if c.options.keepBindings && c.boundOnce {
		return
	}
	c.boundOnce = true
	for _, cl := range c.cells {
		if cl.place != nil && !cl.sound() {
			c.unbind(cl)
		}
	}
	c.unbindOvercommitted()
	c.attachRunning()
	if c.bindMissing() > 0 {
		c.repack()
	}
	c.attachRunning()
	c.missingCells = 0
	for _, cl := range c.cells {
		if cl.place == nil {
			c.missingCells++
		}
	}
}

// unbindOvercommitted takes the binding from cells on workers whose capacity shrank or that run adopted unstoppable
// work, unclaimed cells first.
func (c *Core) unbindOvercommitted() {
	for _, w := range c.ordered {
		for len(w.cells) > 0 && !w.bound.Add(w.hard).Fits(w.capacity) {
			i := slices.IndexFunc(w.cells, func(cl *cell) bool { return cl.claim == nil })
			c.unbind(w.cells[max(i, 0)])
		}
	}
}

// attachRunning gives cells back to the running jobs of their shape, so that they are not stopped for others.
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

// bindMissing binds the unbound cells where there is room and returns how many stay unbound.
func (c *Core) bindMissing() int {
	missing := 0
	for _, cl := range c.bySize() {
		if cl.place != nil {
			continue
		}
		if place := c.findBinding(cl); place != nil {
			c.bind(cl, place)
		} else {
			missing++
		}
	}
	return missing
}

// bySize returns the cells, those that are hardest to place first.
func (c *Core) bySize() []*cell {
	sorted := slices.Clone(c.cells)
	slices.SortStableFunc(sorted, func(a, b *cell) int {
		return cmp.Or(
			cmp.Compare(tightness(b.shape), tightness(a.shape)),
			cmp.Compare(b.shape.PerMember.Accelerators, a.shape.PerMember.Accelerators),
			cmp.Compare(sizeOf(b.shape), sizeOf(a.shape)),
			cmp.Compare(b.shape.PerMember.MilliCPU, a.shape.PerMember.MilliCPU),
			cmp.Compare(b.shape.PerMember.MemoryMB, a.shape.PerMember.MemoryMB))
	})
	return sorted
}

// tightness orders adjacency levels by how few placements satisfy them.
func tightness(s resource.Shape) int {
	switch {
	case s.Members == 1, s.Adjacency == resource.AdjacencyNone:
		return 0
	case s.Adjacency == resource.AdjacencyWorker:
		return 1
	}
	return 2
}

// assertReclaimable states promise P1: every bound cell is on healthy workers whose other bindings and unstoppable work
// leave room for it. Degraded guarantees are listed by Degraded instead.
func (c *Core) assertReclaimable() {
	for _, w := range c.ordered {
		if len(w.cells) == 0 {
			continue
		}
		if w.eligible() && w.bound.Add(w.hard).Fits(w.capacity) {
			continue
		}
		invariant.Check(false, invariant.GuaranteeReclaimable,
			"worker %s: guaranteed %v and unstoppable %v exceed capacity %v, or the worker is %s",
			w.id, w.bound, w.hard, w.capacity, w.health)
	}
}
