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

// startsStale reports whether nothing may start because the worker list or the evacuations are not known as of now.
func (c *Core) startsStale() bool { return c.evacuationsUnknown || c.workerListStale() }

// noteStartsStale reports whether nothing may start, and records when that changes.
func (c *Core) noteStartsStale() bool {
	stale := c.startsStale()
	if stale != c.startsSuspended {
		c.startsSuspended = stale
		name, detail := "starts resumed", "age of the worker list: "+(c.now-c.workersReadAt).String()
		if stale {
			name = "starts suspended"
		}
		if c.evacuationsUnknown {
			detail = "the evacuations are not known"
		}
		c.event(Event{Name: name, Detail: detail})
	}
	return stale
}

// maySendAgain reports whether a restored start may be sent to its worker: the worker would get it as new work, and has room for all
// that was restored there. It is not asked whether the worker is quarantined or slow.
func (p *placement) maySendAgain() bool {
	w := p.worker
	return w.registered && !w.info.Draining && !w.evacuated && !w.entryOutdated() && w.used.Fits(w.info.Capacity)
}

// withdrawExcess abandons starts without response on a worker whose capacity has shrunk below what it runs, latest first, until
// the rest fits. Runs that have begun stay: their worker decides what becomes of them.
func (c *Core) withdrawExcess(w *worker) {
	left := w.used
	if left.Fits(w.info.Capacity) {
		return
	}
	pending := w.startsWithoutResponse()
	slices.SortStableFunc(pending, func(a, b *placement) int { return cmp.Compare(b.unit.startedAt, a.unit.startedAt) })
	for _, p := range pending {
		if left.Fits(w.info.Capacity) {
			return
		}
		c.AbandonStart(w.id, p.ref, "the worker's capacity has shrunk")
		left = left.Sub(p.demand())
	}
}

// startsWithoutResponse returns the placements whose starts this holder has decided, that had no response so far and that the worker has
// not listed.
func (w *worker) startsWithoutResponse() []*placement {
	return slices.DeleteFunc(w.sortedRuns(), func(p *placement) bool {
		return !p.live() || p.unverified || p.confirmedAt >= 0 || p.listedRunning()
	})
}
