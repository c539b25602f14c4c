package dispatch

import (
	"math"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// coldStart tracks a worker that is slow for a while after its start. until is when that ends; it is in the past for a warm worker.
type coldStart struct {
	// starts is the number of tasks that were started on the worker since it has been cold, which it has been since the given time;
	// shareBefore is the share of a warm worker of the service before that.
	starts      int
	since       time.Duration
	shareBefore float64
	// room is the number of tasks that may still start on the worker in the current plan; unlimited for warm workers.
	room int
}

// unlimited is the room of a worker without a limit on its starts.
const unlimited = math.MaxInt32

// warmShare is what the warm workers of a service get: total is the sum over time of the number of tasks that started on the average
// warm worker, workers the number of warm workers that take part in the current plan.
type warmShare struct {
	total   float64
	workers int
}

// cold reports whether the worker is still slow after its start.
func (c *Core) cold(w *worker) bool { return w.coldUntil > c.now }

// noteCold updates until when the worker is cold, after its entry was read. The entry may be a second old, so that the worker counts as
// cold for somewhat too long. before is the worker's last entry.
func (c *Core) noteCold(w *worker, before *workload.WorkerInfo) {
	wasCold := c.cold(w) && before.Incarnation == w.info.Incarnation
	w.coldUntil = 0
	if w.info.ColdRemaining <= 0 {
		return
	}
	w.coldUntil = c.now + w.info.ColdRemaining
	if wasCold {
		return
	}
	w.coldStart = coldStart{since: c.now, shareBefore: c.warmShareOf(w.info.Service).total}
	if before.ID == "" {
		// An earlier holder has started these.
		w.coldStart.starts = len(w.runs)
	}
	c.event(Event{Name: "worker cold", Worker: w.id, Detail: w.info.ColdRemaining.String()})
}

// warmShareOf returns the record of the service, which it creates if necessary.
func (c *Core) warmShareOf(service string) *warmShare {
	if c.warmShares[service] == nil {
		c.warmShares[service] = &warmShare{}
	}
	return c.warmShares[service]
}

// updateColdRoom computes how many tasks may start on each worker in the current plan. A cold worker may get ColdOverage times the
// tasks that a warm worker has got meanwhile, plus ColdSlack; without any warm worker that may get
// work, it is not limited.
func (c *Core) updateColdRoom() {
	for _, share := range c.warmShares {
		share.workers = 0
	}
	for _, w := range c.sortedWorkers {
		w.coldStart.room = unlimited
		if w.acceptsWork() && !c.cold(w) && !c.excluded(w) {
			c.warmShareOf(w.info.Service).workers++
		}
	}
	if c.options.ColdOverage <= 0 {
		return
	}
	for _, w := range c.sortedWorkers {
		if !c.cold(w) {
			continue
		}
		share := c.warmShareOf(w.info.Service)
		if share.workers == 0 {
			continue
		}
		allowed := c.options.ColdOverage*(share.total-w.coldStart.shareBefore) + c.options.ColdSlack
		w.coldStart.room = max(0, int(allowed)-w.coldStart.starts)
	}
}

// countStart counts the start of a task for the limits of cold workers.
func (c *Core) countStart(p *placement) {
	w := p.worker
	if share := c.warmShareOf(w.info.Service); !c.cold(w) && share.workers > 0 {
		p.warmShare = 1 / float64(share.workers)
		share.total += p.warmShare
	}
	w.coldStart.starts++
	if w.coldStart.room < unlimited {
		w.coldStart.room--
	}
}

// uncountStart reverts countStart for a start that its worker has refused, so that the worker has got nothing.
func (c *Core) uncountStart(p *placement) {
	if p.unit == nil || p.beganAt >= 0 || p.restored {
		return
	}
	c.warmShareOf(p.worker.info.Service).total -= p.warmShare
	p.warmShare = 0
	if cold := &p.worker.coldStart; cold.starts > 0 && p.unit.startedAt >= cold.since {
		cold.starts--
	}
}

// limitOn returns how many more tasks of the step the worker may get apart from its free resources.
func (s *step) limitOn(w *worker) int {
	if s.spec.MaxPerWorker > 0 {
		return min(w.coldStart.room, s.spec.MaxPerWorker-s.countOn(w))
	}
	return w.coldStart.room
}
