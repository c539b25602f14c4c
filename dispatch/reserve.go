package dispatch

import (
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// racksPerReservation limits the blocked gangs that may reserve free capacity to one per so many racks;
	// minReservations is the limit in small deployments.
	racksPerReservation = 2
	minReservations     = 2
	// reservationDelay is how long a gang must have been ready before it may reserve capacity.
	reservationDelay = 700 * time.Millisecond
	// reservationHorizon is the time within which a gang must be expected to fit to reserve capacity.
	reservationHorizon = 15 * time.Second
	// maxReservationTime is how long a service may have reservations in every plan.
	maxReservationTime = 15 * time.Second
	// busyShare is the fraction of a service's capacity in use from which the service counts as busy. Where less is in use, users
	// expect that work starts wherever there is room.
	busyShare = 0.5
)

// reservations tracks the free capacity that blocked gangs keep from the steps behind them in the queue. A reservation lasts for one
// plan. A service may have reservations in every plan only for a limited time, so that none keeps other work waiting for good.
type reservations struct {
	// count is the number of reservations of the current plan, services the services that have one.
	count    int
	services map[string]bool
	// since maps each service to the time since which every plan has reserved capacity there.
	since map[string]time.Duration
	// searches caches the searches of the current plan for gangs that are not expected to fit.
	searches failedSearches
	// endingSoon caches, for the current plan, the resources of each worker's runs that are expected to end within reservationHorizon.
	endingSoon map[*worker]resource.Resources
}

// begin prepares for the next plan.
func (r *reservations) begin() {
	r.count = 0
	r.services = map[string]bool{}
	r.searches = failedSearches{}
	r.endingSoon = map[*worker]resource.Resources{}
}

// add counts a reservation in the service.
func (r *reservations) add(service string, now time.Duration) {
	r.count++
	r.services[service] = true
	if _, reserving := r.since[service]; !reserving {
		r.since[service] = now
	}
}

// end ends the plan. The time of a service without a reservation starts anew: whatever fitted there has started.
func (r *reservations) end() {
	for service := range r.since {
		if !r.services[service] {
			delete(r.since, service)
		}
	}
}

// mayReserve reports whether the blocked step may reserve capacity in the current plan. Single tasks start as soon as there is room
// for one and need no reservation.
func (c *Core) mayReserve(s *step) bool {
	if !s.spec.Gang || s.claim != nil || c.now-s.readySince < reservationDelay {
		return false
	}
	if c.reservations.count >= max(minReservations, c.racks/racksPerReservation) {
		return false
	}
	service := s.job.policy.Service
	since, reserving := c.reservations.since[service]
	return c.busy(service) && (!reserving || c.now-since < maxReservationTime)
}

// reserve reserves the free room of a blocked gang, so that later steps in the queue cannot use it. It reserves nothing for a gang
// that is not expected to fit within reservationHorizon: one that is wider than the eligible workers, or that waits for runs that
// last longer, would keep the room idle for nothing.
func (c *Core) reserve(s *step) {
	u := s.units[0]
	if c.reservations.searches.includes(c, u) {
		return
	}
	room := c.roomToReserve(u)
	if room == nil {
		c.reservations.searches.add(c, u)
		return
	}
	if room.total == 0 {
		return
	}
	s.claim = &claim{step: s, members: map[*worker]int{}}
	left := u.size
	for i, w := range room.workers {
		n := min(room.room[i], left)
		s.claim.members[w] = n
		left -= n
	}
	c.addClaim(s.claim)
	c.noteReservation(s)
	c.reservations.add(s.job.policy.Service, c.now)
}

// roomToReserve returns the present room in the area where the gang is expected to fit within reservationHorizon: the rack with the
// most room now if the members should share one, else all racks together. It returns nil if the gang is not expected to fit.
func (c *Core) roomToReserve(u *unit) *rackRoom {
	now := c.roomsNow(u)
	expected := c.roomsWith(u, func(w *worker) resource.Resources { return c.freeFor(w, u.step).Add(c.endingSoon(w)) })
	if u.step.spec.SameRack {
		var best *rackRoom
		for i, r := range expected {
			if r.total >= u.size && (best == nil || now[i].total > best.total) {
				best = now[i]
			}
		}
		if best != nil {
			return best
		}
	}
	if merge(expected).total < u.size {
		return nil
	}
	return merge(now)
}

// endingSoon returns the resources of the worker's runs that are expected to end within reservationHorizon.
func (c *Core) endingSoon(w *worker) resource.Resources {
	if sum, known := c.reservations.endingSoon[w]; known {
		return sum
	}
	var sum resource.Resources
	for _, p := range w.runs {
		if c.endsSoon(p) {
			sum = sum.Add(p.demand())
		}
	}
	c.reservations.endingSoon[w] = sum
	return sum
}

// endsSoon reports whether the run is expected to end within reservationHorizon.
func (c *Core) endsSoon(p *placement) bool {
	if !p.live() {
		return true
	}
	return !p.unit.step.spec.LongRunning && c.expectedRemaining(p) <= reservationHorizon
}

// dropReservations drops the claims that last for one plan only.
func (c *Core) dropReservations(ready []*step) {
	for _, s := range ready {
		if s.reserving() {
			c.removeClaim(s.claim)
			s.claim = nil
		}
	}
}

// reserving reports whether the step's claim is a reservation.
func (s *step) reserving() bool { return s.claim != nil && s.claim.reservation() }
