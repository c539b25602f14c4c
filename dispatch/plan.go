package dispatch

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// dueMargin is added to due times, because a repetition must not start early by the clock of a worker that is behind.
	dueMargin = 20 * time.Millisecond
	// claimDuration is how long the capacity of stopped work is kept for the step for which the work was stopped.
	claimDuration = 2500 * time.Millisecond
	// deferralPerTask is how far each task of a step that is not urgent moves the step back in the queue, so that narrower
	// steps can pass it; maxDeferral is the limit.
	deferralPerTask = 400 * time.Millisecond
	maxDeferral     = 10 * time.Second
)

// claim is capacity that is kept for a waiting step: members is the number of tasks on each worker. A claim with expiresAt 0
// is a reservation, which lasts for one plan.
type claim struct {
	step      *step
	members   map[*worker]int
	expiresAt time.Duration
}

// reservation reports whether the claim is a reservation.
func (cl *claim) reservation() bool { return cl.expiresAt == 0 }

// Plan decides which runs to start and stop now. It also returns the commands that other methods issued since the last plan.
func (c *Core) Plan() Plan {
	clear(c.gangRemaining)
	c.updateExclusions()
	c.updateUtilization()
	c.updateColdRoom()
	stale := c.noteStartsStale()
	if !stale {
		c.moveRuns()
	}
	ready := c.readySteps()
	c.expireClaims(ready)
	c.updateFreeAccelerators()
	c.searchCache = failedSearches{}
	c.reservations.begin()
	if !stale {
		c.startReady(ready)
	}
	c.dropReservations(ready)
	c.reservations.end()
	plan := Plan{Starts: c.starts, Stops: c.stops}
	c.starts = nil
	c.stops = nil
	return plan
}

// moveRuns stops runs that are better off elsewhere.
func (c *Core) moveRuns() {
	if c.now-c.stallsCheckedAt >= stallInterval {
		c.stallsCheckedAt = c.now
		c.moveStalled()
		c.moveSlow()
		c.moveEvacuated()
	}
	c.moveLeaving()
}

// startReady starts what fits of the ready steps, in their order, and makes or reserves room for the others. A step that only a limit on
// starts keeps waiting needs no room.
func (c *Core) startReady(ready []*step) {
	for _, s := range ready {
		if c.tryStart(s) || c.startsLimited {
			continue
		}
		if c.mayReclaim(s) && c.reclaim(s) {
			continue
		}
		if c.mayReserve(s) {
			c.reserve(s)
		}
	}
}

// NextDue returns the due time of the next repetition of any scheduled job; the zero time if there is none. A repetition that
// waits for earlier ones to end has no due time.
func (c *Core) NextDue() time.Time {
	var next time.Time
	for _, j := range c.sortedJobs {
		k := j.repetitions.pending()
		if j.phase.Final() || k >= j.spec.RepetitionCount() || !c.mayBeginRepetition(j) {
			continue
		}
		due := j.spec.DueAt(k)
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// readySteps returns the steps that have waiting units and whose predecessors are done, in order of rank.
func (c *Core) readySteps() []*step {
	var ready []*step
	for _, j := range c.sortedJobs {
		if j.phase.Final() {
			continue
		}
		c.createDueRepetitions(j)
		for _, r := range j.repetitions.active {
			ready = c.appendReady(ready, r.steps)
		}
	}
	c.updateOverload(ready)
	for _, s := range ready {
		s.rank = c.rank(s)
	}
	slices.SortStableFunc(ready, func(a, b *step) int { return overload.Compare(&a.rank, &b.rank) })
	return ready
}

// appendReady appends to ready those of a repetition's steps that are ready, and records since when they are.
func (c *Core) appendReady(ready []*step, steps []*step) []*step {
	for _, s := range steps {
		if s.done || !predecessorsDone(steps, s) {
			continue
		}
		if s.readySince < 0 {
			s.readySince = c.now
		}
		if slices.ContainsFunc(s.units, waiting) {
			ready = append(ready, s)
		}
	}
	return ready
}

func predecessorsDone(steps []*step, s *step) bool {
	for _, predecessor := range s.spec.After {
		if !steps[predecessor].done {
			return false
		}
	}
	return true
}

func waiting(u *unit) bool { return u.state.Status == workload.UnitWaiting && !u.aborting }

// rank returns the place of the step in the order: work within its account's guarantee goes first, then priorities and times of
// acceptance count. See orderOverloaded for services that lack capacity.
func (c *Core) rank(s *step) overload.Rank {
	rank := overload.Rank{
		Guaranteed: c.withinGuarantee(s), Priority: s.job.policy.Priority, SortTime: s.job.spec.AcceptedAt.Add(s.deferral()),
	}
	if load := c.overload.services[s.job.policy.Service]; load != nil && load.overloaded {
		c.orderOverloaded(s, load, &rank)
		return rank
	}
	s.class = overload.OnTime
	return rank
}

// deferral returns by how much the step is ordered as if its job had been accepted later, so that narrower steps can pass wide ones
// for a while; 0 for urgent steps.
func (s *step) deferral() time.Duration {
	if s.job.policy.Priority == 0 {
		return 0
	}
	return min(time.Duration(s.spec.Tasks)*deferralPerTask, maxDeferral)
}

// withinGuarantee reports whether the step has priority 0 and its account's guarantee covers its waiting tasks in addition
// to the account's placed work of priority 0.
func (c *Core) withinGuarantee(s *step) bool {
	j := s.job
	if j.policy.Priority != 0 {
		return false
	}
	return c.accountUse[j.spec.Account]+c.waitingAccelerators(s) <= c.guarantee(j.spec.Account)
}

// waitingAccelerators returns the number of accelerators that the step's waiting tasks need.
func (c *Core) waitingAccelerators(s *step) int {
	n := 0
	for _, u := range s.units {
		if u.state.Status == workload.UnitWaiting {
			n += u.size * s.spec.Demand.Accelerators
		}
	}
	return n
}

// guarantee returns the account's number of guaranteed accelerators; 0 for an unknown account.
func (c *Core) guarantee(account string) int {
	for i := range c.config.Accounts {
		if c.config.Accounts[i].Name == account {
			return c.config.Accounts[i].GuaranteedAccelerators
		}
	}
	return 0
}

// tryStart starts the waiting units of the step that fit and reports whether all of them did.
func (c *Core) tryStart(s *step) bool {
	c.removeClaim(s.claim)
	complete := c.placeUnits(s)
	if complete {
		s.claim = nil
	}
	c.addClaim(s.claim)
	return complete
}

func (c *Core) placeUnits(s *step) bool {
	complete := true
	c.startsLimited = false
	for _, u := range s.units {
		if !waiting(u) {
			continue
		}
		if !c.mayPlace(u) {
			c.startsLimited = true
			return false
		}
		workers := c.findPlacement(u)
		if workers == nil {
			complete = false
			if u.avoid == nil {
				// The other units have the same demand and do not fit either.
				break
			}
			continue
		}
		c.start(u, workers)
	}
	return complete
}

// addClaim subtracts a claim from the free capacity of its workers; removeClaim reverts that. Neither has an effect if cl
// is nil.
func (c *Core) addClaim(cl *claim)    { c.adjustClaimed(cl, 1) }
func (c *Core) removeClaim(cl *claim) { c.adjustClaimed(cl, -1) }

func (c *Core) adjustClaimed(cl *claim, sign int) {
	if cl == nil {
		return
	}
	for w, members := range cl.members {
		demand := cl.step.spec.EffectiveDemand().Times(sign * members)
		w.claimed = w.claimed.Add(demand)
		if cl.reservation() {
			w.reserved = w.reserved.Add(demand)
		}
	}
}

// expireClaims drops claims that have expired or include evacuated workers, and recomputes the claimed capacity of each worker from the
// steps that still wait.
func (c *Core) expireClaims(ready []*step) {
	for _, w := range c.sortedWorkers {
		w.claimed, w.reserved = resource.Resources{}, resource.Resources{}
	}
	for _, s := range ready {
		if s.claim != nil && (s.claim.expiresAt <= c.now || s.claim.evacuatedMember()) {
			s.claim = nil
		}
		c.addClaim(s.claim)
	}
}
