package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// maxWorkerListAge is the age of the worker list above which nothing is started. Users expect that a capacity that has shrunk is
// respected within 3 s and one heartbeat.
const maxWorkerListAge = 3 * time.Second

// WorkersRead records that all changes of the worker list up to the given time, on the clock of Advance, have been passed to SetWorker
// and DropWorker.
func (c *Core) WorkersRead(at time.Duration) { c.workersReadAt = max(c.workersReadAt, at) }

// workerListStale reports whether the worker list is too old to start work by it. It is never stale before the first call of
// WorkersRead: workers are known only from the list then.
func (c *Core) workerListStale() bool {
	return c.workersReadAt > 0 && c.now-c.workersReadAt > maxWorkerListAge
}

// noteListAge reports whether the worker list is stale, and records when that changes.
func (c *Core) noteListAge() bool {
	stale := c.workerListStale()
	if stale != c.startsSuspended {
		c.startsSuspended = stale
		name := "starts resumed"
		if stale {
			name = "starts suspended"
		}
		c.event(Event{Name: name, Detail: "age of the worker list: " + (c.now - c.workersReadAt).String()})
	}
	return stale
}

// maySendAgain reports whether a restored start may be sent to its worker: the worker would get it as new work, and has room for all
// that was restored there. It is not asked whether the worker is quarantined or slow.
func (p *placement) maySendAgain() bool {
	w := p.worker
	return w.registered && !w.info.Draining && !w.entryOutdated() && w.used.Fits(w.info.Capacity)
}

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
