package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// The limits of reservations.
const (
	// maxReservations bounds the reservations at one time, so that they do not take the failure domain from small jobs.
	maxReservations = 8
	// reservedShare bounds the share of accelerators under reservations, except for a single one.
	reservedShare = 0.5
	// maxReservationStops caps how often one job is stopped for reservations; after that it runs to its end.
	maxReservationStops = 4
	// lossShare is the share of the accelerator time for which the gang has waited that stops for it may lose. The
	// allowance grows while the gang waits, so dear victims get time to end by themselves.
	lossShare = 0.5
	// reviewShare is the share of policy.max_wait_ms between two looks at the cost of an open reservation.
	reviewShare = 0.5
	// closeAfter is the number of policy.max_wait_ms after which a reservation is emptied whatever is lost.
	closeAfter = 4
	// closeAnyway is the number after which it is closed even if work remains there that may not be stopped. Until then
	// backfill uses the capacity; without an end, backfill that may not be stopped would follow on itself for ever.
	closeAnyway = 8
	// singleWaits is the number of policy.max_wait_ms after which a job of one member with several accelerators gets a
	// reservation. It needs one worker only, so the order of the queue serves it; at 12, most single jobs started through
	// reservations in an overloaded run and those of one accelerator waited longest.
	singleWaits = 48
	// overdueWaits is the number of policy.max_wait_ms after which gangs get reservations in the order of their waits, and
	// overdueRank a weight above that of any gang.
	overdueWaits = 8
	overdueRank  = 1e6
	// patientAfter is the number of policy.max_wait_ms after which a gang may reserve capacity of work that may not be
	// stopped, whose end has no bound.
	patientAfter = 2
	// reservationRetry is the share of policy.max_wait_ms after which a reservation that found no place is tried again.
	reservationRetry = 0.25
)

// setHold takes a waiting job out of its queue and keeps capacity for it.
func (c *Core) setHold(j *job, h *hold) {
	c.dequeue(j)
	j.hold = h
	c.holds = append(c.holds, j)
	c.countHold(j, 1)
}

// dropHold gives the capacity back. The caller enqueues, starts or ends the job.
func (c *Core) dropHold(j *job) {
	c.countHold(j, -1)
	for _, w := range j.hold.placement {
		c.touch(w, true)
	}
	j.hold = nil
	i := slices.Index(c.holds, j)
	c.holds = slices.Delete(c.holds, i, i+1)
}

// countHold adds the needs of a hold to its workers, or takes them away with sign -1.
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
		case h.claim && c.options.forgetHeld:
		case h.claim:
			w.held = w.held.Add(need)
		default:
			w.reserved = w.reserved.Add(need)
			if h.closed {
				w.closed = w.closed.Add(need)
			}
		}
		c.touch(w, false)
	})
}

// startHeld starts the held jobs whose capacity is there, claims first, and repairs holds that lost capacity.
func (c *Core) startHeld() {
	if len(c.holds) == 0 {
		return
	}
	held := slices.Clone(c.holds)
	slices.SortStableFunc(held, func(a, b *job) int {
		if a.hold.claim != b.hold.claim {
			if a.hold.claim {
				return -1
			}
			return 1
		}
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.seq, b.seq))
	})
	for _, j := range held {
		if j.hold == nil {
			continue
		}
		c.advanceHold(j)
	}
}

// advanceHold starts the job, closes its reservation at the deadline, or gives the hold up if its workers failed.
func (c *Core) advanceHold(j *job) {
	h := j.hold
	if !usableBy(j, h.placement) || c.overdue(h) {
		c.giveUpHold(j)
		return
	}
	c.countHold(j, -1)
	ready := c.ready(j)
	c.countHold(j, 1)
	if ready && c.quotaAllowsHeld(j) {
		placement := h.placement
		c.dropHold(j)
		c.start(j, placement)
		return
	}
	if h.claim {
		c.repairStops(j)
		return
	}
	if h.closed {
		c.repairStops(j)
	}
	if place := c.findElsewhere(j); place != nil {
		c.dropHold(j)
		c.start(j, place)
		return
	}
	if !h.closed && !c.now.Before(h.review) {
		c.reviewOnce(j)
	}
}

// overdue reports whether a closed reservation has waited so long that another place may be better.
func (c *Core) overdue(h *hold) bool {
	return !h.claim && h.closed && c.now.Sub(h.since) > c.waits(2*closeAnyway)
}

// giveUpHold lets the job wait in its queue again.
func (c *Core) giveUpHold(j *job) {
	c.dropHold(j)
	c.releaseCell(j)
	c.enqueue(j)
}

// usableBy reports whether all workers of the placement may still get the job.
func usableBy(j *job, placement []*worker) bool {
	for _, w := range placement {
		if !w.eligible() || j.failedOn(w) {
			return false
		}
	}
	return true
}

// ready reports whether the held placement is free. The hold itself must not be counted at the time.
func (c *Core) ready(j *job) bool {
	h := j.hold
	ok := true
	forEachWorker(h.placement, func(w *worker, n int) {
		room := w.free()
		if h.claim {
			room = w.capacity.Sub(w.used)
		}
		if !h.claim && j.hard() {
			room = atMost(room, w.entitled(nil))
		}
		ok = ok && j.Shape.PerMember.Times(n).Fits(room)
	})
	return ok
}

// quotaAllowsHeld reports whether the account stays within its quota when the held job starts.
func (c *Core) quotaAllowsHeld(j *job) bool {
	a := j.owner
	need := j.Shape.Total().Accelerators
	if a.quota == 0 || need == 0 || c.options.noQuota {
		return true
	}
	return a.used+need <= a.quota && (j.cell != nil || c.unstoppableWithinQuota(j))
}

// repairStops plans further stops if the ones under way do not make enough room any more.
func (c *Core) repairStops(j *job) {
	h := j.hold
	e := &eviction{core: c, job: j, cell: j.cell}
	c.countHold(j, -1)
	reason := StopReservation
	if h.claim {
		reason = StopReclaim
		c.reclaimQuota(j)
	}
	e.stopFor(h.placement, reason)
	c.countHold(j, 1)
}

// findElsewhere returns free capacity for a job with an open reservation.
func (c *Core) findElsewhere(j *job) []*worker {
	if !c.rackFreedSince(j.hold) || !c.quotaAllowsHeld(j) {
		return nil
	}
	c.countHold(j, -1)
	place := c.find(c.request(j))
	c.countHold(j, 1)
	j.hold.checked = c.seq
	return place
}

// rackFreedSince reports whether capacity was freed since the last search for the held job.
func (c *Core) rackFreedSince(h *hold) bool { return c.seq > h.checked }

// closeReservation stops what still runs on the reserved capacity.
func (c *Core) closeReservation(j *job) {
	c.countHold(j, -1)
	j.hold.closed = true
	e := &eviction{core: c, job: j}
	e.stopFor(j.hold.placement, StopReservation)
	c.countHold(j, 1)
}

// reserve makes a reservation for the gang that is blocked most. One plan makes at most one, which bounds its time; the
// next one follows soon.
func (c *Core) reserve() {
	if c.options.noReservations {
		return
	}
	if !c.reservationRoom() {
		return
	}
	if j := c.mostBlocked(); j != nil {
		c.reserveFor(j)
		c.recheck = true
	}
}

// reservationRoom reports whether another reservation is within the limits.
func (c *Core) reservationRoom() bool {
	n, accelerators, all := 0, 0, 0
	for _, j := range c.holds {
		if !j.hold.claim {
			n++
			accelerators += j.Shape.Total().Accelerators
		}
	}
	for _, k := range c.racks {
		all += k.accelerators
	}
	return n == 0 || n < maxReservations && float64(accelerators) < reservedShare*float64(all)
}

// gang reports whether a job can be starved by smaller ones.
func gang(j *job) bool {
	return j.Shape.Members > 1 || j.Shape.PerMember.Accelerators > 1
}

// mostBlocked returns the gang past the bound with the most accelerator time of waiting, nil if there is none. A small
// gang that waits goes ahead of larger ones in the end.
func (c *Core) mostBlocked() *job {
	var first *job
	var most float64
	for _, cl := range c.active {
		j := cl.longest()
		if !gang(j) || c.now.Before(c.reservationDue(cl)) || c.now.Before(j.notBefore) || !c.withinQuota(j) {
			continue
		}
		if urgency := c.blockedFor(j); first == nil || urgency > most {
			first, most = j, urgency
		}
	}
	return first
}

// blockedFor ranks blocked gangs by the accelerator time for which they waited. One that waited past overdueWaits goes
// ahead of all others, so that larger gangs cannot hold it back for ever.
func (c *Core) blockedFor(j *job) float64 {
	waited := c.now.Sub(j.waitingSince)
	rank := c.weightOf(j) * waited.Seconds()
	if waited >= c.waits(overdueWaits) {
		rank = overdueRank * waited.Seconds()
	}
	return rank
}

// longest returns the job of a class that has waited longest since its submission or its last stop. Jobs that were
// stopped come first in the queue with a new wait; the first one that never ran has waited longest among those.
func (cl *class) longest() *job {
	oldest := cl.head
	for j := cl.head; j != nil; j = j.next {
		if j.waitingSince.Before(oldest.waitingSince) {
			oldest = j
		}
		if j.attempt == 0 {
			break
		}
	}
	return oldest
}

// reservationDue returns when a job of a class may get a reservation.
func (c *Core) reservationDue(cl *class) time.Time {
	j := cl.longest()
	due := j.waitingSince.Add(c.maxWait())
	if j.Shape.Members == 1 {
		due = j.waitingSince.Add(c.waits(singleWaits))
	}
	if due.Before(cl.retryReserve) {
		return cl.retryReserve
	}
	return due
}

// reserveFor reserves the place with the least loss for a gang. Where the loss is within the allowance, its victims are
// stopped at once; otherwise they get time to end by themselves.
func (c *Core) reserveFor(j *job) {
	place, cost, strict := c.placeByStops(j)
	if place == nil {
		j.class.retryReserve = c.now.Add(c.waits(reservationRetry))
		return
	}
	h := &hold{placement: place, since: c.now, deadline: c.now.Add(c.waits(closeAfter))}
	c.setHold(j, h)
	c.settleReservation(j, cost, strict)
}

// placeByStops returns the place for a reservation with the least loss. Strict places need only stops; others wait for
// work that may not be stopped.
func (c *Core) placeByStops(j *job) (place []*worker, cost float64, strict bool) {
	e := &eviction{core: c, job: j}
	place, cost = e.find()
	if place != nil || c.now.Sub(j.waitingSince) < c.waits(patientAfter) {
		return place, cost, true
	}
	e.patient = true
	place, cost = e.find()
	return place, cost, false
}

// settleReservation closes a reservation whose cost is within the allowance or whose time is up, and otherwise sets the
// time of its next review.
func (c *Core) settleReservation(j *job, cost float64, strict bool) {
	h := j.hold
	allowance := lossShare * c.weightOf(j) * c.now.Sub(j.waitingSince).Seconds()
	last := h.since.Add(c.waits(closeAnyway))
	if strict && (cost <= allowance || !c.now.Before(h.deadline)) || !c.now.Before(last) {
		c.closeReservation(j)
		return
	}
	h.review = c.now.Add(c.waits(reviewShare))
}

// reviewOnce reviews at most one reservation per plan; the others follow soon.
func (c *Core) reviewOnce(j *job) {
	if c.reviewedIn == c.plans {
		c.recheck = true
		return
	}
	c.reviewedIn = c.plans
	c.reviewReservation(j)
}

// reviewReservation moves an open reservation to the place with the least loss now, and closes it if it is due.
func (c *Core) reviewReservation(j *job) {
	h := j.hold
	c.countHold(j, -1)
	place, cost, strict := c.placeByStops(j)
	if place != nil {
		for _, w := range h.placement {
			c.touch(w, true)
		}
		h.placement = place
	}
	c.countHold(j, 1)
	c.settleReservation(j, cost, strict && place != nil)
}

// waits returns a multiple of policy.max_wait_ms.
func (c *Core) waits(n float64) time.Duration { return time.Duration(n * float64(c.maxWait())) }

// untilClose returns the time until the first open reservation may close, as of the first call in a plan; ok is false if
// there is none.
func (c *Core) untilClose() (d time.Duration, ok bool) {
	if c.closeKnownIn == c.plans {
		return c.closeIn, c.closeOpen
	}
	d, ok = c.computeUntilClose()
	c.closeIn, c.closeOpen, c.closeKnownIn = d, ok, c.plans
	return d, ok
}

func (c *Core) computeUntilClose() (d time.Duration, ok bool) {
	for _, j := range c.holds {
		if j.hold.claim || j.hold.closed {
			continue
		}
		left := j.hold.review.Sub(c.now)
		if !ok || left < d {
			d, ok = left, true
		}
	}
	return d, ok
}

// backfills reports whether j may use reserved capacity: it can be stopped, and the stop either loses nothing or most
// jobs of its kind end before the next review of a reservation. Where that is wrong, the loss is capped by the
// allowance of the reservation and, past it, by its deadline.
func (c *Core) backfills(j *job) bool {
	if j.hard() || j.stopsSuffered >= maxReservationStops {
		return false
	}
	left, ok := c.untilClose()
	if !ok || j.CanCheckpoint {
		return ok
	}
	run, known := c.learned(j)
	return known && run <= left
}
