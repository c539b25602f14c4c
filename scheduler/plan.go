package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// blockedSearches bounds the memory of searches that found nothing.
const blockedSearches = 4096

// recheckDelay is the time to the next plan when a victim could not be stopped because the present plan started it.
const recheckDelay = 10 * time.Millisecond

// Plan implements Planner.
func (c *Core) Plan(now time.Time) Plan {
	c.advance(now)
	c.plans++
	c.recheck = false
	c.reviewQuarantine()
	c.settle()
	c.rebind()
	c.startHeld()
	c.startWaiting()
	c.reserve()
	c.consolidate()
	c.assertReclaimable()
	plan := c.plan
	plan.NextCheck = c.nextCheck()
	c.plan = Plan{}
	return plan
}

// settle empties leaving workers, gives back what was lost with gone ones and relieves overcommitted ones.
func (c *Core) settle() {
	for _, w := range c.unsettled {
		switch {
		case w.health == HealthGone:
			c.loseMembers(w)
		case w.leaving():
			c.drain(w)
		default:
			c.relieve(w)
		}
		if w.removed && len(w.occupants) == 0 {
			c.forget(w)
		}
	}
	c.unsettled = c.unsettled[:0]
}

// forget drops a worker that left the configuration.
func (c *Core) forget(w *worker) {
	if c.workers[w.id] != w || w.health != HealthGone {
		return
	}
	delete(c.workers, w.id)
}

// drain plans the stop of all stoppable work on a leaving worker; the rest runs to its end.
func (c *Core) drain(w *worker) {
	for _, o := range w.occupants {
		if !o.job.hard() {
			c.stop(o.job, StopDrain)
		}
	}
}

// relieve plans stops on a worker that runs more than its capacity, which happens when the configuration shrinks it.
func (c *Core) relieve(w *worker) {
	if w.used.Fits(w.capacity) {
		return
	}
	victims := slices.Clone(w.occupants)
	slices.SortFunc(victims, func(a, b occupant) int {
		return cmp.Or(cmp.Compare(c.loss(a.job), c.loss(b.job)), cmp.Compare(a.job.seq, b.job.seq))
	})
	left := w.used
	for _, o := range victims {
		if left.Fits(w.capacity) {
			return
		}
		if !o.job.hard() {
			left = left.Sub(o.job.Shape.PerMember.Times(o.members))
			c.stop(o.job, StopDrain)
		}
	}
}

// startWaiting starts what can start: urgent jobs, then claims of guarantees, then the rest in order.
func (c *Core) startWaiting() {
	c.order()
	c.visit = append(c.visit[:0], c.active...)
	for _, cl := range c.visit {
		if cl.key.urgent {
			c.drainClass(cl, c.try)
		}
	}
	for _, cl := range c.visit {
		if !cl.key.urgent && cl.owner.guaranteed+len(cl.owner.cells) > 0 {
			c.drainClass(cl, c.tryClaim)
		}
	}
	for _, cl := range c.visit {
		if !cl.key.urgent {
			c.drainClass(cl, c.try)
		}
	}
}

// drainClass tries the jobs of a class in order until one has to wait.
func (c *Core) drainClass(cl *class, try func(*job) bool) {
	for cl.head != nil {
		j := cl.head
		if c.now.Before(j.notBefore) || !j.owner.known || !try(j) {
			return
		}
	}
}

// try starts a job, as a claim if its account has a free guarantee of its shape. It reports whether the job left its
// queue.
func (c *Core) try(j *job) bool {
	if c.tryClaim(j) {
		return true
	}
	if c.withinQuota(j) {
		if place := c.search(j); place != nil {
			c.start(j, place)
			return true
		}
	}
	if !j.hard() {
		return false
	}
	if c.withinQuota(j) && c.startByDisplacing(j) {
		return true
	}
	// Unstoppable work gets no borrowed capacity. Where nothing but bound capacity would ever hold it, it uses up a
	// larger guarantee of its own account.
	cl := c.openCell(j, true)
	return cl != nil && !c.holdsUnbound(j.Shape) && c.claim(j, cl)
}

// tryClaim starts or reclaims for a job that matches an unclaimed guarantee of its account.
func (c *Core) tryClaim(j *job) bool {
	cl := c.openCell(j, false)
	return cl != nil && c.claim(j, cl)
}

// withinQuota reports whether the account may start j as ordinary work. Unstoppable work leaves room for the account's
// guarantees, since it could not be stopped for a claim.
func (c *Core) withinQuota(j *job) bool {
	a := j.owner
	need := j.Shape.Total().Accelerators
	if a.quota == 0 || need == 0 || c.options.noQuota {
		return true
	}
	if a.used+a.holding+need > a.quota {
		return false
	}
	return c.unstoppableWithinQuota(j)
}

// unstoppableWithinQuota reports whether ordinary unstoppable work leaves the account's guarantees within its quota.
func (c *Core) unstoppableWithinQuota(j *job) bool {
	a := j.owner
	return !j.hard() || a.guaranteed == 0 || a.hardUsed+j.Shape.Total().Accelerators <= a.quota-a.guaranteed
}

// request returns the search for j as ordinary work.
func (c *Core) request(j *job) *request {
	return &request{job: j, shape: j.Shape, hard: j.hard(), backfill: c.backfills(j)}
}

// search finds free capacity for j as ordinary work. A search that found nothing is repeated only in racks that had
// capacity freed since.
func (c *Core) search(j *job) []*worker {
	r := c.request(j)
	if c.options.ignoreAdjacency {
		r.shape.Adjacency = "none"
	}
	if j.class.key.solo != "" {
		place := c.find(r)
		if place == nil && c.forgetRefusals(j) {
			place = c.find(r)
		}
		return place
	}
	key := shapeKey{shape: r.shape, hard: r.hard, backfill: r.backfill, trial: mayTry(j), runOnce: j.RunOnce}
	r.since = c.blocked[key]
	place := c.find(r)
	if place == nil {
		if len(c.blocked) >= blockedSearches {
			clear(c.blocked)
		}
		c.blocked[key] = c.seq
	}
	return place
}

// start plans the start of a waiting job.
func (c *Core) start(j *job, placement []*worker) {
	c.dequeue(j)
	j.attempt++
	j.state = jobs.StateStarting
	j.reason = ""
	j.began, j.ranSince = c.now, time.Time{}
	j.startedIn = c.plans
	c.occupy(j, placement)
	names := make(Placement, len(placement))
	for i, w := range placement {
		names[i] = w.id
		if w.conduct.phase == phaseTrial {
			w.conduct.trial = j
		}
	}
	c.plan.Starts = append(c.plan.Starts, Start{
		Job: j.Job, Attempt: j.attempt, Placement: names, Borrowed: j.cell == nil && c.borrows(placement),
	})
}

// borrows reports whether any worker of the placement now runs work on bound capacity.
func (c *Core) borrows(placement []*worker) bool {
	for _, w := range placement {
		if !w.used.Add(w.unclaimed).Fits(w.capacity) {
			return true
		}
	}
	return false
}

// nextCheck returns when the core may have something to do without an event.
func (c *Core) nextCheck() time.Time {
	var next time.Time
	soonest := func(t time.Time) {
		if t.After(c.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if c.recheck {
		soonest(c.now.Add(recheckDelay))
	}
	for _, cl := range c.active {
		soonest(cl.head.notBefore)
		if gang(cl.head) && !c.options.noReservations {
			soonest(c.reservationDue(cl))
		}
	}
	for _, j := range c.holds {
		if !j.hold.claim {
			soonest(j.hold.review)
		}
	}
	if c.suspended > 0 {
		for _, w := range c.ordered {
			c.quarantineCheck(w, soonest)
		}
	}
	return next
}

// quarantineCheck reports the end of a quarantine and of a trial.
func (c *Core) quarantineCheck(w *worker, soonest func(time.Time)) {
	switch w.conduct.phase {
	case phaseQuarantined:
		soonest(w.conduct.until)
	case phaseTrial:
		if t := w.conduct.trial; t != nil && !t.ranSince.IsZero() {
			soonest(t.ranSince.Add(trialTime))
		}
	}
}
