package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// dueMargin keeps a scheduled repetition from starting before its due time on a worker whose clock is behind.
	dueMargin = 20 * time.Millisecond
	// claimTime is how long stopped work's capacity is kept for the step it was stopped for.
	claimTime = 2500 * time.Millisecond
	// racksPerReservation bounds the blocked steps that may hold free capacity back from the steps behind them, and
	// minReservations is that bound in small deployments.
	racksPerReservation = 2
	minReservations     = 2
	// yieldPerTask is how long a step of lower priority lets narrower ones pass for each of its tasks; maxYield bounds it.
	yieldPerTask = 400 * time.Millisecond
	maxYield     = 10 * time.Second
	// reserveAfter is how long a step must have been blocked before it holds capacity back.
	reserveAfter = 700 * time.Millisecond
)

// claim is capacity that is kept for a waiting step.
type claim struct {
	step    *step
	members map[*worker]int
	until   time.Duration
}

// Plan decides what to start and what to stop now.
func (c *Core) Plan() Plan {
	c.countSuspects()
	c.countBusy()
	if c.now-c.stallsCheckedAt >= stallInterval {
		c.stallsCheckedAt = c.now
		c.moveStalled()
		c.moveSlow()
	}
	ready := c.readySteps()
	c.expireClaims(ready)
	c.countFree()
	c.failed = failedSearches{}
	reservations := 0
	for _, s := range ready {
		if c.try(s) {
			continue
		}
		if c.mayReclaim(s) && c.reclaim(s) {
			continue
		}
		if s.claim == nil && reservations < c.maxReservations() && c.now-s.readySince >= reserveAfter {
			reservations++
			c.reserve(s)
		}
	}
	c.dropReservations(ready)
	plan := Plan{Starts: c.starts, Stops: c.stops}
	c.starts = nil
	c.stops = nil
	return plan
}

// maxReservations returns how many blocked steps may hold capacity back.
func (c *Core) maxReservations() int { return max(minReservations, c.racks/racksPerReservation) }

// NextDue returns when the next repetition of a scheduled job is due, the zero time if none is known.
func (c *Core) NextDue() time.Time {
	var next time.Time
	for _, j := range c.queue {
		if j.phase.Final() || len(j.runs) >= j.spec.Runs() {
			continue
		}
		due := j.spec.DueAt(len(j.runs))
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// readySteps returns the steps that have waiting units and may start now, the most urgent first.
func (c *Core) readySteps() []*step {
	var ready []*step
	for _, j := range c.queue {
		if j.phase.Final() {
			continue
		}
		c.openRepetitions(j)
		for _, steps := range j.runs {
			ready = c.appendReady(ready, steps)
		}
	}
	for _, s := range ready {
		s.rank = c.rank(s)
		s.turn = s.job.spec.AcceptedAt.Add(s.yield())
	}
	slices.SortStableFunc(ready, func(a, b *step) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.turn.Compare(b.turn)) })
	return ready
}

// openRepetitions creates the records of the repetitions that are due.
func (c *Core) openRepetitions(j *job) {
	for k := len(j.runs); k < j.spec.Runs(); k++ {
		if j.spec.Scheduled() && c.wall.Before(j.spec.DueAt(k).Add(dueMargin)) {
			return
		}
		j.materialise(k)
	}
}

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
	for _, before := range s.spec.After {
		if !steps[before].done {
			return false
		}
	}
	return true
}

func waiting(u *unit) bool { return u.state.Status == workload.UnitWaiting && !u.collapsing }

// rank orders steps: guaranteed work first, then by priority, then by time of acceptance.
func (c *Core) rank(s *step) int {
	if c.entitled(s) {
		return 0
	}
	return 1 + s.job.queue.Priority
}

// yield is how much later than its acceptance a step takes its turn: wide steps let narrower ones pass for a while.
func (s *step) yield() time.Duration {
	if s.job.queue.Priority == 0 {
		return 0
	}
	return min(time.Duration(s.spec.Tasks)*yieldPerTask, maxYield)
}

// entitled reports whether the account's guarantee covers the step beside the account's running work.
func (c *Core) entitled(s *step) bool {
	j := s.job
	if j.queue.Priority != 0 {
		return false
	}
	return c.accountUse[j.spec.Account]+c.waitingAccelerators(s) <= c.guarantee(j.spec.Account)
}

func (c *Core) waitingAccelerators(s *step) int {
	n := 0
	for _, u := range s.units {
		if u.state.Status == workload.UnitWaiting {
			n += u.size * s.spec.Demand.Accelerators
		}
	}
	return n
}

func (c *Core) guarantee(account string) int {
	for i := range c.config.Accounts {
		if c.config.Accounts[i].Name == account {
			return c.config.Accounts[i].GuaranteedAccelerators
		}
	}
	return 0
}

// try starts what fits of the step and reports whether nothing of it waits any more.
func (c *Core) try(s *step) bool {
	c.release(s.claim)
	complete := c.place(s)
	if complete {
		s.claim = nil
	}
	c.hold(s.claim)
	return complete
}

func (c *Core) place(s *step) bool {
	complete := true
	for _, u := range s.units {
		if !waiting(u) {
			continue
		}
		workers := c.find(u)
		if workers == nil {
			complete = false
			if u.avoid == nil {
				// The other units have the same demand.
				break
			}
			continue
		}
		c.start(u, workers)
	}
	return complete
}

// hold counts a claim against its workers, release takes it back.
func (c *Core) hold(cl *claim)    { c.countClaim(cl, 1) }
func (c *Core) release(cl *claim) { c.countClaim(cl, -1) }

func (c *Core) countClaim(cl *claim, sign int) {
	if cl == nil {
		return
	}
	for w, members := range cl.members {
		w.claimed = w.claimed.Add(charge(cl.step.spec).Times(sign * members))
	}
}

// expireClaims rebuilds the sums of claims from the steps that still wait.
func (c *Core) expireClaims(ready []*step) {
	for _, w := range c.order {
		w.claimed = w.claimed.Sub(w.claimed)
	}
	for _, s := range ready {
		if s.claim != nil && s.claim.until <= c.now {
			s.claim = nil
		}
		c.hold(s.claim)
	}
}

// dropReservations ends the claims that last for one plan only.
func (c *Core) dropReservations(ready []*step) {
	for _, s := range ready {
		if s.claim != nil && s.claim.until == 0 {
			c.release(s.claim)
			s.claim = nil
		}
	}
}
