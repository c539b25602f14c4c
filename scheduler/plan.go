package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// maxFailedSearches limits the memory used by the record of failed searches.
const maxFailedSearches = 4096

// recheckDelay is the time to the next plan if work was deferred, for example because a victim could not be stopped in
// the plan that started it.
const recheckDelay = 10 * time.Millisecond

// Plan implements Planner.
func (c *Core) Plan(now time.Time) Plan {
	c.advance(now)
	c.planCount++
	c.recheck = false
	c.reviewQuarantines()
	c.reviewWorkers()
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

// reviewWorkers drains leaving workers, releases members on workers that are gone, and stops work on overcommitted
// ones.
func (c *Core) reviewWorkers() {
	for _, w := range c.workersToReview {
		switch {
		case w.health == HealthGone:
			c.releaseLostMembers(w)
		case w.leaving():
			c.drainWorker(w)
		default:
			c.stopExcess(w)
		}
		if w.removed && len(w.occupants) == 0 {
			c.forgetWorker(w)
		}
	}
	c.workersToReview = c.workersToReview[:0]
}

// forgetWorker removes the record of a worker that left the configuration and whose tasks no longer run.
func (c *Core) forgetWorker(w *worker) {
	if c.workers[w.id] != w || w.health != HealthGone {
		return
	}
	delete(c.workers, w.id)
}

// drainWorker stops all stoppable work on a leaving worker. Unstoppable work runs to its end.
func (c *Core) drainWorker(w *worker) {
	for _, o := range w.occupants {
		if !o.job.unstoppable() {
			c.stop(o.job, StopDrain)
		}
	}
}

// stopExcess stops the work with the least loss on a worker that runs more than its capacity, which happens when the
// configuration reduces the capacity.
func (c *Core) stopExcess(w *worker) {
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
		if !o.job.unstoppable() {
			left = left.Sub(o.job.Shape.PerMember.Times(o.members))
			c.stop(o.job, StopDrain)
		}
	}
}

// startWaiting starts the waiting jobs that can start: urgent jobs, then claims of guarantees, then the rest in queue
// order.
func (c *Core) startWaiting() {
	c.sortClasses()
	c.classBuffer = append(c.classBuffer[:0], c.active...)
	for _, q := range c.classBuffer {
		if q.key.urgent {
			c.startClass(q, c.tryStart)
		}
	}
	for _, q := range c.classBuffer {
		if !q.key.urgent && q.owner.guaranteed+len(q.owner.cells) > 0 {
			c.startClass(q, c.tryClaim)
		}
	}
	for _, q := range c.classBuffer {
		if !q.key.urgent {
			c.startClass(q, c.tryStart)
		}
	}
}

// startClass starts the jobs of a class in order until one cannot start.
func (c *Core) startClass(q *class, start func(*job) bool) {
	for q.head != nil {
		j := q.head
		if c.now.Before(j.notBefore) || !j.owner.known || !start(j) {
			return
		}
	}
}

// tryStart starts a job, as a claim if its account has an unclaimed guarantee that the job matches. It reports whether
// the job left its queue.
func (c *Core) tryStart(j *job) bool {
	if c.tryClaim(j) {
		return true
	}
	if c.withinQuota(j) {
		if placement := c.search(j); placement != nil {
			c.start(j, placement)
			return true
		}
	}
	if !j.unstoppable() {
		return false
	}
	if c.withinQuota(j) && c.startByDisplacing(j) {
		return true
	}
	// Unstoppable work gets no borrowed capacity. If only bound capacity could ever hold it, it uses a larger guarantee
	// of its own account.
	cl := c.unclaimedCell(j, true)
	return cl != nil && !c.fitsUnboundCapacity(j.Shape) && c.claim(j, cl)
}

// tryClaim starts a job that matches an unclaimed guarantee of its account, or begins to reclaim capacity for it.
func (c *Core) tryClaim(j *job) bool {
	cl := c.unclaimedCell(j, false)
	return cl != nil && c.claim(j, cl)
}

// withinQuota reports whether the quota allows j to start as ordinary work. Ordinary unstoppable work must leave enough
// quota for the account's guarantees, since it could not be stopped for a claim.
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

// unstoppableWithinQuota reports whether the quota of the account covers its guarantees and all its ordinary
// unstoppable work, including j. It is true for stoppable jobs.
func (c *Core) unstoppableWithinQuota(j *job) bool {
	a := j.owner
	return !j.unstoppable() || a.guaranteed == 0 || a.unstoppableUsed+j.Shape.Total().Accelerators <= a.quota-a.guaranteed
}

// placementRequest returns the search that places j as ordinary work.
func (c *Core) placementRequest(j *job) *placementRequest {
	return &placementRequest{job: j, shape: j.Shape, unstoppable: j.unstoppable(), backfill: c.backfills(j)}
}

// search finds free capacity for j as ordinary work. After a failed search it looks only at racks in which capacity has
// been freed since.
func (c *Core) search(j *job) []*worker {
	r := c.placementRequest(j)
	if c.options.ignoreAdjacency {
		r.shape.Adjacency = "none"
	}
	if j.class.key.solo != "" {
		placement := c.findPlacement(r)
		if placement == nil && c.clearNotStarted(j) {
			placement = c.findPlacement(r)
		}
		return placement
	}
	key := shapeKey{
		shape: r.shape, unstoppable: r.unstoppable, backfill: r.backfill, trial: suitsTrial(j), runOnce: j.RunOnce,
	}
	r.since = c.failedSearches[key]
	placement := c.findPlacement(r)
	if placement == nil {
		if len(c.failedSearches) >= maxFailedSearches {
			clear(c.failedSearches)
		}
		c.failedSearches[key] = c.seq
	}
	return placement
}

// start plans the start of a waiting job.
func (c *Core) start(j *job, placement []*worker) {
	c.dequeue(j)
	j.attempt++
	j.state = jobs.StateStarting
	j.reason = ""
	j.startedAt, j.runningSince = c.now, time.Time{}
	j.startedPlan = c.planCount
	c.occupy(j, placement)
	names := make(Placement, len(placement))
	for i, w := range placement {
		names[i] = w.id
		if w.standing.phase == phaseTrial {
			w.standing.trial = j
		}
	}
	c.plan.Starts = append(c.plan.Starts, Start{
		Job: j.Job, Attempt: j.attempt, Placement: names, Borrowed: j.cell == nil && c.borrows(placement),
	})
}

// borrows reports whether any worker of the placement now runs work on capacity that is bound to an unclaimed cell.
func (c *Core) borrows(placement []*worker) bool {
	for _, w := range placement {
		if !w.used.Add(w.unclaimed).Fits(w.capacity) {
			return true
		}
	}
	return false
}

// nextCheck returns the next time at which a plan may change something without an event, zero if there is none.
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
	for _, q := range c.active {
		soonest(q.head.notBefore)
		if canStarve(q.head) && !c.options.noReservations {
			soonest(c.reservationDue(q))
		}
	}
	for _, j := range c.holds {
		if !j.hold.claim {
			soonest(j.hold.reviewAt)
		}
	}
	if c.suspended > 0 {
		for _, w := range c.ordered {
			c.quarantineDue(w, soonest)
		}
	}
	return next
}

// quarantineDue passes the end of the worker's quarantine or trial to soonest.
func (c *Core) quarantineDue(w *worker, soonest func(time.Time)) {
	switch w.standing.phase {
	case phaseQuarantined:
		soonest(w.standing.until)
	case phaseTrial:
		if t := w.standing.trial; t != nil && !t.runningSince.IsZero() {
			soonest(t.runningSince.Add(trialTime))
		}
	}
}
