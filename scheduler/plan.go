package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// maxFailedSearches limits the memory used by Core.failedSearches.
const maxFailedSearches = 4096

// recheckDelay is the time until the next plan if this one left work undone, for example because a job to be stopped
// was started in the same plan.
const recheckDelay = 10 * time.Millisecond

// Plan implements Planner.
func (c *Core) Plan(now time.Time) Plan {
	c.advance(now)
	c.planCount++
	c.recheck = false
	c.reviewQuarantines()
	c.reviewWorkers()
	c.rebind()
	c.advanceHolds()
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
// workers.
func (c *Core) reviewWorkers() {
	for _, w := range c.workersToReview {
		switch {
		case w.health == HealthGone:
			c.releaseLostMembers(w)
		case w.mustDrain():
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

// forgetWorker removes the record of a worker that is not in the configuration, once the worker is reported gone and
// its tasks therefore no longer run.
func (c *Core) forgetWorker(w *worker) {
	if c.workers[w.id] != w || w.health != HealthGone {
		return
	}
	delete(c.workers, w.id)
}

// drainWorker stops all stoppable work on a worker that must be drained. Unstoppable work runs to its end.
func (c *Core) drainWorker(w *worker) {
	for _, o := range w.occupants {
		if !o.job.unstoppable() {
			c.stop(o.job, StopDrain)
		}
	}
}

// stopExcess stops stoppable jobs on an overcommitted worker, those with the least lost work first, until the rest
// fits. Unstoppable jobs stay. A worker becomes overcommitted when the configuration reduces its capacity or adopted
// jobs exceed it.
func (c *Core) stopExcess(w *worker) {
	if w.used.Fits(w.capacity) {
		return
	}
	victims := slices.Clone(w.occupants)
	slices.SortFunc(victims, func(a, b occupant) int {
		return cmp.Or(cmp.Compare(c.loss(a.job), c.loss(b.job)), cmp.Compare(a.job.submission, b.job.submission))
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

// startWaiting starts the waiting jobs that can start: urgent jobs, then claims of cells, then all others in queue
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

// startClass passes the jobs of a class to try in order, until one stays in the class or must not start yet.
func (c *Core) startClass(q *class, try func(*job) bool) {
	for q.head != nil {
		j := q.head
		if c.now.Before(j.notBefore) || !j.owner.inConfig || !try(j) {
			return
		}
	}
}

// tryStart starts a job: as a claim if its account has an unclaimed cell whose guarantee the job matches, and otherwise
// as ordinary work. It reports whether the job left its class, because it was started or its claim is in progress.
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
	// Unstoppable work must not borrow. If it would not fit the unbound capacity of healthy workers even if they were
	// empty, it claims a cell of its account that may be larger than the job.
	cl := c.unclaimedCell(j, true)
	return cl != nil && !c.fitsUnboundCapacity(j.Shape) && c.claim(j, cl)
}

// tryClaim starts a job in an unclaimed cell whose guarantee the job matches, or begins to reclaim capacity for it. It
// reports whether the job left its class, because it was started or its claim is in progress.
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

// ordinaryRequest returns the request for a placement of j as ordinary work.
func (c *Core) ordinaryRequest(j *job) *placementRequest {
	return &placementRequest{job: j, shape: j.Shape, unstoppable: j.unstoppable(), backfill: c.backfills(j)}
}

// search returns free capacity for j as ordinary work, nil if there is none. A search that failed before is skipped
// until capacity is freed; for one worker or rack it then covers only the racks with freed capacity. For a job with its
// own class all racks are searched, and if it still finds nothing, the workers that rejected its start are allowed
// again.
func (c *Core) search(j *job) []*worker {
	r := c.ordinaryRequest(j)
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
	key := searchKey{
		shape: r.shape, unstoppable: r.unstoppable, backfill: r.backfill, trial: suitsTrial(j), runOnce: j.RunOnce,
	}
	r.since = c.failedSearches[key]
	placement := c.findPlacement(r)
	if placement == nil {
		if len(c.failedSearches) >= maxFailedSearches {
			clear(c.failedSearches)
		}
		c.failedSearches[key] = c.freedSeq
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
	ids := make(Placement, len(placement))
	for i, w := range placement {
		ids[i] = w.id
		if w.standing.phase == phaseTrial {
			w.standing.trial = j
		}
	}
	c.plan.Starts = append(c.plan.Starts, Start{
		Job: j.Job, Attempt: j.attempt, Placement: ids, Borrowed: j.cell == nil && c.borrows(placement),
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
	consider := func(t time.Time) {
		if t.After(c.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if c.recheck {
		consider(c.now.Add(recheckDelay))
	}
	for _, q := range c.active {
		consider(q.head.notBefore)
		if canStarve(q.head) && !c.options.noReservations {
			consider(c.reservationDue(q))
		}
	}
	for _, j := range c.holds {
		if !j.hold.claim {
			consider(j.hold.reviewAt)
		}
	}
	if c.suspended > 0 {
		for _, w := range c.ordered {
			c.considerQuarantineEnd(w, consider)
		}
	}
	return next
}

// considerQuarantineEnd calls consider with the time at which the quarantine of the worker or its trial ends, if that
// time is known.
func (c *Core) considerQuarantineEnd(w *worker, consider func(time.Time)) {
	switch w.standing.phase {
	case phaseQuarantined:
		consider(w.standing.until)
	case phaseTrial:
		if t := w.standing.trial; t != nil && !t.runningSince.IsZero() {
			consider(t.runningSince.Add(trialTime))
		}
	}
}
