package lease

import "time"

// Step advances the candidate and returns the requests to make now and the time of the next step without an event.
// jitter is a random number in 0..1 that spreads the retries of candidates which claimed at the same time.
func (c *Core) Step(now time.Time, jitter float64) (sends []Send, next time.Time) {
	c.expireSets(now)
	switch c.phase {
	case PhaseStandby:
		sends = c.stepStandby(now)
	case PhaseSurvey:
		sends = c.stepSurvey(now, jitter)
	case PhaseClaim:
		sends = c.stepClaim(now, jitter)
	case PhaseActive:
		sends = c.stepActive(now)
	}
	return sends, c.nextStep(now)
}

func (c *Core) nextStep(now time.Time) time.Time {
	switch c.phase {
	case PhaseStandby:
		return c.nextProbe
	case PhaseSurvey, PhaseClaim:
		return c.phaseAt.Add(claimTimeout)
	}
	next := now.Add(RenewInterval)
	for id, g := range c.workers {
		due := c.due(id, g)
		if due.Before(next) {
			next = due
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (c *Core) interval(worker string) time.Duration {
	if c.quorum[worker] {
		return RenewInterval
	}
	return SpareRenewInterval
}

// due returns the time of the next renewal. A worker that was held by a previous holder at the claim is asked again as
// soon as that lease lapses, since its inventory is needed before planning.
func (c *Core) due(worker string, g *grant) time.Time {
	due := g.lastSent.Add(c.interval(worker))
	if g.until.IsZero() && g.freeAt.After(g.lastSent) && g.freeAt.Before(due) {
		return g.freeAt
	}
	return due
}

// stepStandby samples one worker in turn; the first one that is free, and every start, leads to a survey.
func (c *Core) stepStandby(now time.Time) []Send {
	if now.Before(c.nextProbe) || len(c.workers) == 0 {
		if len(c.workers) == 0 {
			c.nextProbe = now.Add(ProbeInterval)
		}
		return nil
	}
	ids := c.sorted()
	if c.sample > 0 {
		last := c.workers[ids[(c.sample-1)%len(ids)]]
		if last.answered && last.freeAt.After(now) {
			return c.probeNext(ids, now)
		}
	}
	return c.survey(ids, now)
}

func (c *Core) probeNext(ids []string, now time.Time) []Send {
	id := ids[c.sample%len(ids)]
	c.sample++
	*c.workers[id] = grant{asked: true, lastSent: now}
	c.nextProbe = now.Add(ProbeInterval)
	return []Send{{Worker: id, Kind: KindProbe}}
}

func (c *Core) survey(ids []string, now time.Time) []Send {
	c.phase = PhaseSurvey
	c.phaseAt = now
	sends := make([]Send, 0, len(ids))
	for _, id := range ids {
		*c.workers[id] = grant{asked: true, lastSent: now}
		sends = append(sends, Send{Worker: id, Kind: KindProbe})
	}
	return sends
}

// stepSurvey claims as soon as a majority is known to be free.
func (c *Core) stepSurvey(now time.Time, jitter float64) []Send {
	free := func(g *grant) bool { return g.answered && !g.freeAt.After(now) }
	if c.majority(free) {
		return c.claim(now)
	}
	if now.Sub(c.phaseAt) < claimTimeout && !c.allAnswered() {
		return nil
	}
	wait := c.untilMajorityFree(now)
	spread := time.Duration(jitter * float64(200*time.Millisecond))
	c.phase = PhaseStandby
	c.phaseAt = now
	c.nextProbe = now.Add(wait + spread)
	c.sample = 0
	if wait >= ProbeInterval {
		c.nextProbe = now.Add(ProbeInterval)
		c.sample = c.answeredSample(now)
	}
	return nil
}

// answeredSample returns the sample number after a worker that answered and is held. A survey must not follow from
// each probe interval because one worker is down.
func (c *Core) answeredSample(now time.Time) int {
	for i, id := range c.sorted() {
		if g := c.workers[id]; g.answered && g.freeAt.After(now) {
			return i + 1
		}
	}
	return 0
}

// untilMajorityFree returns the wait after which a majority may be free, at most ProbeInterval.
func (c *Core) untilMajorityFree(now time.Time) time.Duration {
	for wait := 100 * time.Millisecond; wait < ProbeInterval; wait += 100 * time.Millisecond {
		at := now.Add(wait)
		if c.majority(func(g *grant) bool { return g.answered && !g.freeAt.After(at) }) {
			return wait
		}
	}
	return ProbeInterval
}

func (c *Core) allAnswered() bool {
	for _, g := range c.workers {
		if !g.answered {
			return false
		}
	}
	return true
}

func (c *Core) claim(now time.Time) []Send {
	c.phase = PhaseClaim
	c.phaseAt = now
	c.collided = false
	c.maxEpoch++
	c.epoch = c.maxEpoch
	var sends []Send
	for _, id := range c.sorted() {
		*c.workers[id] = grant{}
		sends = append(sends, Send{Worker: id, Kind: KindClaim, Epoch: c.epoch, Length: Length})
	}
	return sends
}

// stepClaim becomes active with a majority. A failed claim gives its grants back and waits a random time, so that of
// two candidates that split the workers one gets ahead.
func (c *Core) stepClaim(now time.Time, jitter float64) []Send {
	if c.majority(func(g *grant) bool { return now.Before(g.until) }) {
		c.phase = PhaseActive
		c.phaseAt = now
		c.chooseQuorum()
		return nil
	}
	if now.Sub(c.phaseAt) < claimTimeout && !c.allAnswered() {
		return nil
	}
	sends := c.giveBack()
	c.standby(now, 100*time.Millisecond+time.Duration(jitter*float64(2*time.Second)))
	c.sample = 0
	return sends
}

// stepActive renews due leases. The owner may renew earlier, along with commands. It ends the tenure once the majority
// is lost, and raises the epoch if a worker has granted a higher one to a candidate that failed.
func (c *Core) stepActive(now time.Time) []Send {
	if !c.Active(now) {
		sends := c.giveBack()
		c.standby(now, 0)
		c.sample = 0
		return sends
	}
	if c.maxEpoch > c.epoch || c.collided {
		c.epoch = c.maxEpoch + 1
		c.maxEpoch = c.epoch
		c.collided = false
		for _, g := range c.workers {
			g.lastSent = time.Time{}
		}
	}
	var sends []Send
	for _, id := range c.sorted() {
		g := c.workers[id]
		if now.Before(c.due(id, g)) {
			continue
		}
		sends = append(sends, Send{Worker: id, Kind: KindRenew, Epoch: c.epoch, Length: Length})
	}
	return sends
}
