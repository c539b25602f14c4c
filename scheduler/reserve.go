package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Limits of reservations. Those named Waits are multiples of policy.max_wait_ms.
const (
	// maxReservations is the maximum number of reservations at one time, so that small jobs can still use the failure
	// domain.
	maxReservations = 8
	// reservedShare is the maximum share of accelerators under reservations. A single reservation may exceed it.
	reservedShare = 0.5
	// maxReservationStops is how often one job may be stopped for reservations; after that it runs to its end.
	maxReservationStops = 4
	// allowedLossShare is the work that stops for a reservation may lose, as a share of the accelerators of its job
	// times the wait. This allowance grows while the job waits, so victims whose stop is expensive get time to end by
	// themselves.
	allowedLossShare = 0.5
	// reviewIntervalWaits is the time between two reviews of the cost of an open reservation.
	reviewIntervalWaits = 0.5
	// closeWaits is the age at which a reservation is closed and its victims are stopped, regardless of how much work
	// is lost.
	closeWaits = 4
	// forceCloseWaits is the age at which a reservation is closed even if it contains work that must not be stopped.
	// Until then backfill uses the capacity. Without this limit, backfill jobs that must not be stopped for the
	// reservation, for example because they are not smaller, could follow one another forever and keep the capacity
	// occupied.
	forceCloseWaits = 8
	// singleMemberWaits is the wait after which a job of one member with several accelerators gets a reservation. The
	// queue order serves such a job well, since it needs only one worker. With 12, most single-member jobs would start
	// through reservations under overload, at the expense of jobs of one accelerator, which get none.
	singleMemberWaits = 48
	// overdueWaits is the wait after which jobs get reservations in the order of their waits. overduePriority is the
	// factor of their priority per second, above that of any job.
	overdueWaits    = 8
	overduePriority = 1e6
	// reserveUnstoppableWaits is the wait after which a job may reserve capacity used by work that must not be stopped,
	// whose end has no bound.
	reserveUnstoppableWaits = 2
	// reservationRetryWaits is the time after which the search for a reservation is repeated if it found no placement.
	reservationRetryWaits = 0.25
)

// setHold removes a waiting job from its class and keeps capacity for it.
func (c *Core) setHold(j *job, h *hold) {
	c.dequeue(j)
	j.hold = h
	c.holds = append(c.holds, j)
	c.countHold(j, 1)
}

// removeHold releases the capacity of the hold of j. It does not return j to its class, start it or end it.
func (c *Core) removeHold(j *job) {
	c.countHold(j, -1)
	for _, w := range j.hold.placement {
		c.markChanged(w, true)
	}
	j.hold = nil
	i := slices.Index(c.holds, j)
	c.holds = slices.Delete(c.holds, i, i+1)
}

// countHold adds the resources of a hold to its workers and account, or subtracts them if sign is -1.
func (c *Core) countHold(j *job, sign int) {
	h := j.hold
	a := j.owner
	a.holding += sign * j.Shape.Total().Accelerators
	if h.claim {
		a.claiming += sign * j.Shape.Total().Accelerators
	}
	forEachWorker(h.placement, func(w *worker, n int) {
		need := j.Shape.PerMember.Times(sign * n)
		switch {
		case h.claim && c.options.ignoreClaimHolds:
		case h.claim:
			w.heldForClaims = w.heldForClaims.Add(need)
		default:
			w.reserved = w.reserved.Add(need)
			if h.closed {
				w.closedReserved = w.closedReserved.Add(need)
			}
		}
		c.markChanged(w, false)
	})
}

// advanceHolds processes all holds, claims first: it starts the jobs whose capacity is free, and repairs or abandons
// holds that lost capacity.
func (c *Core) advanceHolds() {
	if len(c.holds) == 0 {
		return
	}
	holders := slices.Clone(c.holds)
	slices.SortStableFunc(holders, func(a, b *job) int {
		if a.hold.claim != b.hold.claim {
			if a.hold.claim {
				return -1
			}
			return 1
		}
		return cmp.Or(a.submittedAt.Compare(b.submittedAt), cmp.Compare(a.submission, b.submission))
	})
	for _, j := range holders {
		if j.hold == nil {
			continue
		}
		c.advanceHold(j)
	}
}

// advanceHold starts the job if its placement is free, and otherwise plans further stops, moves the job to other free
// capacity or reviews its reservation. It abandons the hold if its workers became unusable or its reservation expired.
func (c *Core) advanceHold(j *job) {
	h := j.hold
	if !mayRunOn(j, h.placement) || c.reservationExpired(h) {
		c.abandonHold(j)
		return
	}
	c.countHold(j, -1)
	ready := c.ready(j)
	c.countHold(j, 1)
	if ready && c.quotaAllowsStart(j) {
		placement := h.placement
		c.removeHold(j)
		c.start(j, placement)
		return
	}
	if h.claim {
		c.stopFurtherVictims(j)
		return
	}
	if h.closed {
		c.stopFurtherVictims(j)
	}
	if workers := c.findElsewhere(j); workers != nil {
		c.removeHold(j)
		c.start(j, workers)
		return
	}
	if !h.closed && !c.now.Before(h.reviewAt) {
		c.reviewIfFirstInPlan(j)
	}
}

// reservationExpired reports whether a reservation is closed and so old that another placement may be better.
func (c *Core) reservationExpired(h *hold) bool {
	return !h.claim && h.closed && c.now.Sub(h.createdAt) > c.maxWaits(2*forceCloseWaits)
}

// abandonHold releases the hold and the claim of a job and returns it to its class.
func (c *Core) abandonHold(j *job) {
	c.removeHold(j)
	c.releaseCell(j)
	c.enqueue(j)
}

// mayRunOn reports whether all workers of the placement are healthy and need not be avoided by the job.
func mayRunOn(j *job, placement []*worker) bool {
	for _, w := range placement {
		if !w.eligible() || j.mustAvoid(w) {
			return false
		}
	}
	return true
}

// ready reports whether the placement of the hold is free. The hold itself must not be counted during the call.
func (c *Core) ready(j *job) bool {
	h := j.hold
	ok := true
	forEachWorker(h.placement, func(w *worker, n int) {
		room := w.free()
		if h.claim {
			room = w.capacity.Sub(w.used)
		}
		if !h.claim && j.unstoppable() {
			room = minResources(room, w.bindable(nil))
		}
		ok = ok && j.Shape.PerMember.Times(n).Fits(room)
	})
	return ok
}

// quotaAllowsStart reports whether the account stays within its quota if the job, which has a hold, starts.
func (c *Core) quotaAllowsStart(j *job) bool {
	a := j.owner
	need := j.Shape.Total().Accelerators
	if a.quota == 0 || need == 0 || c.options.noQuota {
		return true
	}
	return a.used+need <= a.quota && (j.cell != nil || c.unstoppableWithinQuota(j))
}

// stopFurtherVictims plans additional stops if those in progress no longer free enough capacity.
func (c *Core) stopFurtherVictims(j *job) {
	h := j.hold
	p := &preemption{core: c, job: j, cell: j.cell}
	c.countHold(j, -1)
	reason := StopReservation
	if h.claim {
		reason = StopReclaim
		c.reclaimQuota(j)
	}
	p.stopVictims(h.placement, reason)
	c.countHold(j, 1)
}

// findElsewhere returns other free capacity for a job with a reservation, nil if there is none or nothing was freed
// since the last search.
func (c *Core) findElsewhere(j *job) []*worker {
	if !c.capacityFreedSince(j.hold) || !c.quotaAllowsStart(j) {
		return nil
	}
	c.countHold(j, -1)
	placement := c.findPlacement(c.ordinaryRequest(j))
	c.countHold(j, 1)
	j.hold.checkedSeq = c.freedSeq
	return placement
}

// capacityFreedSince reports whether capacity was freed since the last search for other free capacity for the job of
// the hold.
func (c *Core) capacityFreedSince(h *hold) bool { return c.freedSeq > h.checkedSeq }

// closeReservation closes a reservation to backfill and stops the jobs on the reserved capacity.
func (c *Core) closeReservation(j *job) {
	c.countHold(j, -1)
	j.hold.closed = true
	p := &preemption{core: c, job: j}
	p.stopVictims(j.hold.placement, StopReservation)
	c.countHold(j, 1)
}

// reserve makes a reservation for the blocked job with the highest priority. It makes at most one per plan to bound the
// time of a plan, and requests the next plan soon.
func (c *Core) reserve() {
	if c.options.noReservations {
		return
	}
	if !c.mayReserve() {
		return
	}
	if j := c.mostBlocked(); j != nil {
		c.reserveFor(j)
		c.recheck = true
	}
}

// mayReserve reports whether maxReservations and reservedShare permit another reservation.
func (c *Core) mayReserve() bool {
	n, accelerators, all := 0, 0, 0
	for _, j := range c.holds {
		if !j.hold.claim {
			n++
			accelerators += j.Shape.Total().Accelerators
		}
	}
	for _, rk := range c.racks {
		all += rk.totalAccelerators
	}
	return n == 0 || n < maxReservations && float64(accelerators) < reservedShare*float64(all)
}

// canStarve reports whether smaller jobs can starve j: it has several members or several accelerators per member.
func canStarve(j *job) bool {
	return j.Shape.Members > 1 || j.Shape.PerMember.Accelerators > 1
}

// mostBlocked returns the job with the highest reservation priority among those that have waited long enough for a
// reservation and lack only capacity, nil if there is none. The priority grows with the wait, so a small gang
// eventually precedes larger ones.
func (c *Core) mostBlocked() *job {
	var first *job
	var highest float64
	for _, q := range c.active {
		j := q.longestWaiting()
		if !canStarve(j) || c.now.Before(c.reservationDue(q)) || c.now.Before(j.notBefore) || !c.withinQuota(j) {
			continue
		}
		if priority := c.reservationPriority(j); first == nil || priority > highest {
			first, highest = j, priority
		}
	}
	return first
}

// reservationPriority returns the accelerators of a blocked job times its wait in seconds. A job that has waited for
// overdueWaits precedes all that have not, so that larger gangs cannot delay it forever.
func (c *Core) reservationPriority(j *job) float64 {
	waited := c.now.Sub(j.waitingSince)
	priority := c.acceleratorWeight(j) * waited.Seconds()
	if waited >= c.maxWaits(overdueWaits) {
		priority = overduePriority * waited.Seconds()
	}
	return priority
}

// longestWaiting returns the job of a class that has waited longest since its submission or the end of its last
// attempt. Jobs that were stopped are first in the queue although their wait started again at the stop; of the jobs
// that never ran, the first has waited longest.
func (q *class) longestWaiting() *job {
	oldest := q.head
	for j := q.head; j != nil; j = j.next {
		if j.waitingSince.Before(oldest.waitingSince) {
			oldest = j
		}
		if j.attempt == 0 {
			break
		}
	}
	return oldest
}

// reservationDue returns the earliest time at which a job of the class may get a reservation. After a failed search for
// one, it is not before reservationRetryAt.
func (c *Core) reservationDue(q *class) time.Time {
	j := q.longestWaiting()
	due := j.waitingSince.Add(c.maxWait())
	if j.Shape.Members == 1 {
		due = j.waitingSince.Add(c.maxWaits(singleMemberWaits))
	}
	if due.Before(q.reservationRetryAt) {
		return q.reservationRetryAt
	}
	return due
}

// reserveFor reserves the placement with the least loss for j. If the loss is within the allowance, the victims are
// stopped at once; otherwise they get time to end by themselves.
func (c *Core) reserveFor(j *job) {
	workers, cost, stopsOnly := c.findByStopping(j)
	if workers == nil {
		j.class.reservationRetryAt = c.now.Add(c.maxWaits(reservationRetryWaits))
		return
	}
	h := &hold{placement: workers, createdAt: c.now, deadline: c.now.Add(c.maxWaits(closeWaits))}
	c.setHold(j, h)
	c.closeOrScheduleReview(j, cost, stopsOnly)
}

// findByStopping returns the placement for a reservation with the least loss, nil if there is none, and that loss in
// accelerator-seconds. If stopsOnly is true, stops alone free the placement; otherwise the job also has to wait for
// work that must not be stopped.
func (c *Core) findByStopping(j *job) (placement []*worker, cost float64, stopsOnly bool) {
	p := &preemption{core: c, job: j}
	placement, cost = p.findPlacement()
	if placement != nil || c.now.Sub(j.waitingSince) < c.maxWaits(reserveUnstoppableWaits) {
		return placement, cost, true
	}
	p.waitForUnstoppable = true
	placement, cost = p.findPlacement()
	return placement, cost, false
}

// closeOrScheduleReview closes a reservation or schedules its next review. It is closed at the age of forceCloseWaits,
// and before that if stops alone free its capacity and either the cost is within the allowance or its deadline has
// passed.
func (c *Core) closeOrScheduleReview(j *job, cost float64, stopsOnly bool) {
	h := j.hold
	allowance := allowedLossShare * c.acceleratorWeight(j) * c.now.Sub(j.waitingSince).Seconds()
	last := h.createdAt.Add(c.maxWaits(forceCloseWaits))
	if stopsOnly && (cost <= allowance || !c.now.Before(h.deadline)) || !c.now.Before(last) {
		c.closeReservation(j)
		return
	}
	h.reviewAt = c.now.Add(c.maxWaits(reviewIntervalWaits))
}

// reviewIfFirstInPlan reviews at most one reservation per plan; the others are reviewed in the plans that follow soon.
func (c *Core) reviewIfFirstInPlan(j *job) {
	if c.reviewedPlan == c.planCount {
		c.recheck = true
		return
	}
	c.reviewedPlan = c.planCount
	c.reviewReservation(j)
}

// reviewReservation moves an open reservation to the placement with the least loss now, and closes it if that is due.
func (c *Core) reviewReservation(j *job) {
	h := j.hold
	c.countHold(j, -1)
	workers, cost, stopsOnly := c.findByStopping(j)
	if workers != nil {
		for _, w := range h.placement {
			c.markChanged(w, true)
		}
		h.placement = workers
	}
	c.countHold(j, 1)
	c.closeOrScheduleReview(j, cost, stopsOnly && workers != nil)
}

// maxWaits returns n times policy.max_wait_ms.
func (c *Core) maxWaits(n float64) time.Duration { return time.Duration(n * float64(c.maxWait())) }

// untilClose returns the time until the next review of an open reservation, which may close it, computed once per plan;
// ok is false if none is open.
func (c *Core) untilClose() (d time.Duration, ok bool) {
	if c.untilClosePlan == c.planCount {
		return c.untilCloseValue, c.untilCloseFound
	}
	d, ok = c.computeUntilClose()
	c.untilCloseValue, c.untilCloseFound, c.untilClosePlan = d, ok, c.planCount
	return d, ok
}

// computeUntilClose computes the result of untilClose.
func (c *Core) computeUntilClose() (d time.Duration, ok bool) {
	for _, j := range c.holds {
		if j.hold.claim || j.hold.closed {
			continue
		}
		left := j.hold.reviewAt.Sub(c.now)
		if !ok || left < d {
			d, ok = left, true
		}
	}
	return d, ok
}

// backfills reports whether j may use reserved capacity. There must be an open reservation, and j must be stoppable and
// not have been stopped maxReservationStops times for reservations. It must either lose no progress when stopped or be
// estimated to end before the next review of a reservation. If the estimate is wrong, the loss is limited by the
// allowance of the reservation, and after that by its deadline.
func (c *Core) backfills(j *job) bool {
	if j.unstoppable() || j.reservationStops >= maxReservationStops {
		return false
	}
	left, ok := c.untilClose()
	if !ok || j.CanCheckpoint {
		return ok
	}
	run, known := c.estimatedRunTime(j)
	return known && run <= left
}
