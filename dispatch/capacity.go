package dispatch

import (
	"cmp"
	"slices"
)

// withdrawExcess abandons starts without response on a worker whose capacity has shrunk below what it runs, latest first, until
// the rest fits. Runs that have begun stay: their worker decides what becomes of them.
func (c *Core) withdrawExcess(w *worker) {
	left := w.used
	if left.Fits(w.info.Capacity) {
		return
	}
	pending := slices.DeleteFunc(w.sortedRuns(), func(p *placement) bool {
		return !p.live() || p.unverified || p.confirmedAt >= 0
	})
	slices.SortStableFunc(pending, func(a, b *placement) int { return cmp.Compare(b.unit.startedAt, a.unit.startedAt) })
	for _, p := range pending {
		if left.Fits(w.info.Capacity) {
			return
		}
		c.AbandonStart(w.id, p.ref, "the worker's capacity has shrunk")
		left = left.Sub(p.demand())
	}
}
