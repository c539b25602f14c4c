package lease

import "time"

// Step advances the candidate. It returns the requests to send now and the time at which it must be called again if there
// is no event before. jitter is a random number in 0..1 that spreads the retries of candidates that claimed at the same
// time.
func (c *Core) Step(now time.Time, jitter float64) (requests []Request, next time.Time) {
	c.expireSets(now)
	switch c.phase {
	case PhaseStandby:
		requests = c.stepStandby(now)
	case PhaseSurvey:
		requests = c.stepSurvey(now, jitter)
	case PhaseClaim:
		requests = c.stepClaim(now, jitter)
	case PhaseActive:
		requests = c.stepActive(now)
	}
	return requests, c.nextStep(now)
}

// nextStep returns the time at which Step must be called again if there is no event before.
func (c *Core) nextStep(now time.Time) time.Time {
	switch c.phase {
	case PhaseStandby:
		return c.nextProbe
	case PhaseSurvey, PhaseClaim:
		return c.phaseStart.Add(claimTimeout)
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

func (c *Core) renewInterval(worker string) time.Duration {
	if c.quorum[worker] {
		return RenewInterval
	}
	return SpareRenewInterval
}

// due returns the time of the next renewal of a lease. If another holder had the lease at the time of the claim, it is
// requested again as soon as it expires, since the worker's inventory is needed before planning.
func (c *Core) due(worker string, g *grant) time.Time {
	due := g.lastSent.Add(c.renewInterval(worker))
	if g.expiresAt.IsZero() && g.freeAt.After(g.lastSent) && g.freeAt.Before(due) {
		return g.freeAt
	}
	return due
}

// stepStandby probes one worker after the other. It starts a survey if the last probed worker did not respond or its lease
// is free, or if nextSample is 0.
func (c *Core) stepStandby(now time.Time) []Request {
	if now.Before(c.nextProbe) || len(c.workers) == 0 {
		if len(c.workers) == 0 {
			c.nextProbe = now.Add(ProbeInterval)
		}
		return nil
	}
	ids := c.sortedWorkers()
	if c.nextSample > 0 {
		last := c.workers[ids[(c.nextSample-1)%len(ids)]]
		if last.responded && last.freeAt.After(now) {
			return c.probeNext(ids, now)
		}
	}
	return c.survey(ids, now)
}

// probeNext returns the probe of the next worker in ids.
func (c *Core) probeNext(ids []string, now time.Time) []Request {
	id := ids[c.nextSample%len(ids)]
	c.nextSample++
	*c.workers[id] = grant{requested: true, lastSent: now}
	c.nextProbe = now.Add(ProbeInterval)
	return []Request{{Worker: id, Kind: KindProbe}}
}

// survey starts PhaseSurvey and returns the probes of all workers.
func (c *Core) survey(ids []string, now time.Time) []Request {
	c.phase = PhaseSurvey
	c.phaseStart = now
	requests := make([]Request, 0, len(ids))
	for _, id := range ids {
		*c.workers[id] = grant{requested: true, lastSent: now}
		requests = append(requests, Request{Worker: id, Kind: KindProbe})
	}
	return requests
}

// stepSurvey starts a claim as soon as the leases of a majority are known to be free. Once all workers have responded or
// claimTimeout has passed without that, it returns to standby.
func (c *Core) stepSurvey(now time.Time, jitter float64) []Request {
	free := func(g *grant) bool { return g.responded && !g.freeAt.After(now) }
	if c.majority(free) {
		return c.claim(now)
	}
	if now.Sub(c.phaseStart) < claimTimeout && !c.allResponded() {
		return nil
	}
	wait := c.untilMajorityFree(now)
	spread := time.Duration(jitter * float64(200*time.Millisecond))
	c.phase = PhaseStandby
	c.phaseStart = now
	c.nextProbe = now.Add(wait + spread)
	c.nextSample = 0
	if wait >= ProbeInterval {
		c.nextProbe = now.Add(ProbeInterval)
		c.nextSample = c.sampleAfterHeldWorker(now)
	}
	return nil
}

// sampleAfterHeldWorker returns the position after the first worker that responded and has an unexpired lease; 0 if there is
// none. With a position above 0, the next step probes a single worker. If it always surveyed all workers, a worker that is
// down would cause a survey in each probe interval.
func (c *Core) sampleAfterHeldWorker(now time.Time) int {
	for i, id := range c.sortedWorkers() {
		if g := c.workers[id]; g.responded && g.freeAt.After(now) {
			return i + 1
		}
	}
	return 0
}

// untilMajorityFree returns the time until the leases of a majority may be free, in steps of 100 ms and at most
// ProbeInterval.
func (c *Core) untilMajorityFree(now time.Time) time.Duration {
	for wait := 100 * time.Millisecond; wait < ProbeInterval; wait += 100 * time.Millisecond {
		at := now.Add(wait)
		if c.majority(func(g *grant) bool { return g.responded && !g.freeAt.After(at) }) {
			return wait
		}
	}
	return ProbeInterval
}

// allResponded reports whether all workers have responded in the current survey or claim.
func (c *Core) allResponded() bool {
	for _, g := range c.workers {
		if !g.responded {
			return false
		}
	}
	return true
}

// claim starts PhaseClaim with an epoch above all known ones and returns the claims for all workers.
func (c *Core) claim(now time.Time) []Request {
	c.phase = PhaseClaim
	c.phaseStart = now
	c.epochCollision = false
	c.maxEpoch++
	c.epoch = c.maxEpoch
	var requests []Request
	for _, id := range c.sortedWorkers() {
		*c.workers[id] = grant{}
		requests = append(requests, Request{Worker: id, Kind: KindClaim, Epoch: c.epoch, Length: Length})
	}
	return requests
}

// stepClaim makes the candidate active once it holds a majority. After a failed claim it relinquishes the granted leases
// and waits for a random time, so that one of two candidates that split the workers claims before the other.
func (c *Core) stepClaim(now time.Time, jitter float64) []Request {
	if c.majority(func(g *grant) bool { return now.Before(g.expiresAt) }) {
		c.phase = PhaseActive
		c.phaseStart = now
		c.chooseQuorum()
		return nil
	}
	if now.Sub(c.phaseStart) < claimTimeout && !c.allResponded() {
		return nil
	}
	requests := c.relinquishRequests()
	c.becomeStandby(now, 100*time.Millisecond+time.Duration(jitter*float64(2*time.Second)))
	c.nextSample = 0
	return requests
}

// stepActive renews the leases that are due; the user of the Core may renew earlier, together with commands. It returns to
// standby once the majority is lost. It raises the epoch if a worker has granted a higher epoch, or the same one to another
// holder, as happens after a failed claim of another candidate.
func (c *Core) stepActive(now time.Time) []Request {
	if !c.Active(now) {
		requests := c.relinquishRequests()
		c.becomeStandby(now, 0)
		c.nextSample = 0
		return requests
	}
	if c.maxEpoch > c.epoch || c.epochCollision {
		c.epoch = c.maxEpoch + 1
		c.maxEpoch = c.epoch
		c.epochCollision = false
		for _, g := range c.workers {
			g.lastSent = time.Time{}
		}
	}
	var requests []Request
	for _, id := range c.sortedWorkers() {
		g := c.workers[id]
		if now.Before(c.due(id, g)) {
			continue
		}
		requests = append(requests, Request{Worker: id, Kind: KindRenew, Epoch: c.epoch, Length: Length})
	}
	return requests
}
