package scheduler

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// Why implements Planner.
func (c *Core) Why(id string, now time.Time) string {
	c.advance(now)
	j := c.jobs[id]
	if j == nil {
		return fmt.Sprintf("job %s is not known", id)
	}
	if j.state != jobs.StateWaiting {
		return c.whyNotWaiting(j)
	}
	return fmt.Sprintf("job %s waits: %s", id, c.cause(j))
}

// whyNotWaiting returns the state of a job that is placed or has ended.
func (c *Core) whyNotWaiting(j *job) string {
	text := fmt.Sprintf("job %s is %s", j.ID, j.state)
	if j.reason != "" {
		text += ": " + j.reason
	}
	return text
}

// cause returns the first obstacle found that keeps a waiting job from starting.
func (c *Core) cause(j *job) string {
	a := j.owner
	switch {
	case !a.inConfig:
		return fmt.Sprintf("account %s is not in the configuration", j.Account)
	case j.hold != nil && j.hold.claim:
		return c.reclaimCause(j)
	case j.hold != nil:
		return c.reservationCause(j)
	case c.now.Before(j.notBefore):
		return fmt.Sprintf("retry in %s after %d failures", j.notBefore.Sub(c.now).Round(time.Second), j.failedAttempts)
	case !c.fitsEmptyWorkers(j.Shape):
		return "no configured workers can hold " + shapeText(j.Shape)
	case !c.withinQuota(j):
		return fmt.Sprintf("quota: account %s uses %d of %d accelerators and the job needs %d",
			a.name, a.used+a.holding, a.quota, j.Shape.Total().Accelerators)
	}
	if text := c.degradedCause(j); text != "" {
		return text
	}
	return c.capacityCause(j)
}

// reclaimCause describes a claim whose victims are being stopped.
func (c *Core) reclaimCause(j *job) string {
	n := 0
	forEachWorker(j.hold.placement, func(w *worker, _ int) {
		for _, o := range w.occupants {
			if o.job.stopPlanned {
				n++
			}
		}
	})
	return fmt.Sprintf("reclaim of its guarantee in progress for %s, %d jobs being stopped", c.ago(j.hold.createdAt), n)
}

// reservationCause describes the job's own reservation.
func (c *Core) reservationCause(j *job) string {
	if j.hold.closed {
		return fmt.Sprintf("the jobs on its reservation of %s, made %s ago, are being stopped", shapeText(j.Shape), c.ago(j.hold.createdAt))
	}
	return fmt.Sprintf("the jobs on its reservation of %s will be stopped within %s",
		shapeText(j.Shape), j.hold.deadline.Sub(c.now).Round(time.Second))
}

// degradedCause describes a degraded guarantee that the job matches. It is empty if there is none.
func (c *Core) degradedCause(j *job) string {
	for _, cl := range j.owner.cells {
		if cl.workers == nil && cl.matches(j.Shape) {
			return fmt.Sprintf("degraded guarantee: healthy workers do not hold %s of account %s",
				shapeText(cl.shape), j.Account)
		}
	}
	return ""
}

// capacityCause says whether adjacency, reservations, guarantees or plain lack of capacity keeps a job from starting.
func (c *Core) capacityCause(j *job) string {
	fits := func(change func(*placementRequest)) bool {
		r := c.ordinaryRequest(j)
		change(r)
		return c.findPlacement(r) != nil
	}
	switch {
	case fits(func(*placementRequest) {}):
		return "for the next plan, which can start it"
	case !j.unstoppable() && fits(func(r *placementRequest) { r.backfill = true }), c.fitsWithoutReservations(j):
		return c.blockingReservation()
	case j.unstoppable() && fits(func(r *placementRequest) { r.unstoppable = false }):
		return "free capacity is bound to guarantees and the job cannot be stopped"
	case fits(func(r *placementRequest) { r.shape.Adjacency = resource.AdjacencyNone }):
		return fmt.Sprintf("adjacency: the free capacity is not in one %s", j.Shape.Adjacency)
	}
	return c.missingCapacity(j)
}

// fitsWithoutReservations reports whether the job would fit if there were no reservations.
func (c *Core) fitsWithoutReservations(j *job) bool {
	r := c.ordinaryRequest(j)
	for _, h := range c.holds {
		if !h.hold.claim {
			c.countHold(h, -1)
		}
	}
	fits := c.findPlacement(r) != nil
	for _, h := range c.holds {
		if !h.hold.claim {
			c.countHold(h, 1)
		}
	}
	return fits
}

// blockingReservation names the job with the oldest reservation, or returns "capacity" if there is no reservation.
func (c *Core) blockingReservation() string {
	var first *job
	for _, h := range c.holds {
		if !h.hold.claim && (first == nil || h.hold.createdAt.Before(first.hold.createdAt)) {
			first = h
		}
	}
	if first == nil {
		return "capacity"
	}
	return fmt.Sprintf("free capacity is reserved for job %s", first.ID)
}

// missingCapacity compares the number of members that fit on all healthy workers now with the number that the job
// needs.
func (c *Core) missingCapacity(j *job) string {
	fits := 0
	for _, w := range c.ordered {
		if w.eligible() {
			fits += fitCount(j.Shape.PerMember, w.free())
		}
	}
	return fmt.Sprintf("capacity: %d of %d members of %s fit on free workers",
		min(fits, j.Shape.Members), j.Shape.Members, memberText(j.Shape.PerMember))
}

// ago formats the time since t.
func (c *Core) ago(t time.Time) string { return c.now.Sub(t).Round(time.Millisecond).String() }

// shapeText describes a shape in one line. Submit uses it in an error whose text is stored in job records, so its
// wording must stay stable.
func shapeText(s resource.Shape) string {
	return fmt.Sprintf("%d members of %s, adjacency %s", s.Members, memberText(s.PerMember), s.Adjacency)
}

// memberText describes the resources of one member.
func memberText(r resource.Resources) string {
	return fmt.Sprintf("%d accelerators, %d milli-CPU and %d MB", r.Accelerators, r.MilliCPU, r.MemoryMB)
}
