// Package lease decides which scheduler of a failure domain is active.
//
// Each worker grants its lease to one holder at a time, with increasing epochs. A scheduler is active while it holds the
// leases of a majority of the workers that are configured in the failure domain. It computes the expiry of a lease
// conservatively, from the time at which it sent the request. Workers reject older epochs, so the commands of a holder whose
// clock is wrong have no effect after another holder has taken over.
//
// The package has no I/O, clock or goroutines. A Core is not safe for concurrent use.
package lease

import (
	"sort"
	"time"
)

// Durations of the holder lease.
const (
	// Length is the length of a holder lease.
	Length = 6 * time.Second
	// RenewInterval is the time between renewals of the leases of a minimal majority of workers.
	RenewInterval = 2 * time.Second
	// SpareRenewInterval is the time between renewals of the leases of all other workers, which count towards the majority
	// as well. Renewing the leases of 120 workers every 2 s would use nearly the whole budget of 25 KB/s.
	SpareRenewInterval = 4 * time.Second
	// ProbeInterval is the time between the probes of a standby, each of which goes to a single worker.
	ProbeInterval = 2 * time.Second
	// SetChangeOverlap is the time during which a majority of a replaced worker set is required in addition to one of the
	// new set: the bound of 8 s within which a configuration is in force everywhere, plus one holder lease.
	SetChangeOverlap = 8*time.Second + Length
	// RelinquishLength is the lease length of a request that relinquishes the lease. The worker contract has no request for
	// it, so the lease is renewed with a length after which it expires at once.
	RelinquishLength = time.Millisecond
	// claimTimeout limits the time for the responses to a survey or a claim.
	claimTimeout = 1500 * time.Millisecond
)

// Phase is the phase of a candidate for the active role.
type Phase string

// The phases of a candidate.
const (
	// PhaseStandby probes single workers until one does not respond or has no unexpired lease.
	PhaseStandby Phase = "standby"
	// PhaseSurvey probes all workers to find out whether the leases of a majority are free. A claim without a survey would
	// take workers from a holder that is cut off from only a few of them.
	PhaseSurvey Phase = "survey"
	// PhaseClaim claims the leases of all workers with a new epoch.
	PhaseClaim  Phase = "claim"
	PhaseActive Phase = "active"
)

// Kind is the kind of a request to a worker.
type Kind string

// The request kinds.
const (
	// KindProbe reads the state of the lease without claiming it. Its epoch is 0, which is never granted.
	KindProbe      Kind = "probe"
	KindClaim      Kind = "claim"
	KindRenew      Kind = "renew"
	KindRelinquish Kind = "give_up"
)

// Request is a request that the user of a Core must send to a worker. Epoch and Length are 0 for a probe.
type Request struct {
	Worker string
	Kind   Kind
	Epoch  uint64
	Length time.Duration
}

// Response is the state of a lease as reported by its worker. Holder and Epoch are those of the last grant. ExpiresIn is the
// time until the lease expires; 0 if it is free.
type Response struct {
	Granted   bool
	Epoch     uint64
	Holder    string
	ExpiresIn time.Duration
}

// grant is the known state of the lease of one worker.
type grant struct {
	// expiresAt is the time until which this candidate certainly holds the lease; zero if it does not hold it.
	expiresAt time.Time
	// epoch is the epoch of the last grant to this candidate.
	epoch uint64
	// lastSent is the time at which the last request was sent.
	lastSent time.Time
	// requested and responded are set once a request was sent and once a response arrived since the start of the current
	// probe, survey or claim.
	requested bool
	responded bool
	// freeAt is the time at which the lease expires for its last holder, according to the last response that granted nothing.
	// If this candidate was the last holder, it is the time of that response.
	freeAt time.Time
}

// workerSet is a set of configured workers of which a majority is required.
type workerSet struct {
	ids []string
	// expiresAt is the time from which a replaced set is ignored; zero for the current set.
	expiresAt time.Time
}

// Core is the state of one candidate.
type Core struct {
	// self is the holder name.
	self  string
	phase Phase
	epoch uint64
	// maxEpoch is the highest epoch that this candidate has used or any worker has reported.
	maxEpoch uint64
	// sets holds the replaced worker sets that are not ignored yet, followed by the current set.
	sets []workerSet
	// workers holds the state of the lease of each worker in sets by worker id.
	workers map[string]*grant
	// ids holds the keys of workers in sorted order.
	ids []string
	// quorum holds the workers whose leases are renewed at RenewInterval.
	quorum map[string]bool
	// phaseStart is the start of the current phase.
	phaseStart time.Time
	// nextProbe is the time of the next probe or survey of a standby.
	nextProbe time.Time
	// nextSample is the position in ids, modulo its length, of the next worker to probe; 0 makes the standby survey all
	// workers instead.
	nextSample int
	// epochCollision is set if the last grant of a worker, now expired, was to another holder at the epoch of this candidate.
	epochCollision bool
}

// New returns a standby with the holder name self. Each incarnation of a process must use another name.
func New(self string) *Core {
	return &Core{self: self, phase: PhaseStandby, workers: map[string]*grant{}, quorum: map[string]bool{}}
}

// Phase returns the current phase.
func (c *Core) Phase() Phase { return c.phase }

// Epoch returns the epoch of the last claim or of the lease of this candidate.
func (c *Core) Epoch() uint64 { return c.epoch }

// Holds reports whether this candidate certainly holds the lease of a worker at now.
func (c *Core) Holds(worker string, now time.Time) bool {
	g, ok := c.workers[worker]
	return ok && now.Before(g.expiresAt)
}

// SetWorkers sets the ids of the configured workers. For SetChangeOverlap, a majority of the replaced set is required as
// well.
func (c *Core) SetWorkers(ids []string, now time.Time) {
	next := append([]string(nil), ids...)
	sort.Strings(next)
	if n := len(c.sets); n > 0 {
		if equal(c.sets[n-1].ids, next) {
			return
		}
		c.sets[n-1].expiresAt = now.Add(SetChangeOverlap)
	}
	c.sets = append(c.sets, workerSet{ids: next})
	c.syncWorkers()
}

// syncWorkers adds and removes workers so that they match the sets.
func (c *Core) syncWorkers() {
	wanted := map[string]bool{}
	for _, set := range c.sets {
		for _, id := range set.ids {
			wanted[id] = true
		}
	}
	for id := range c.workers {
		if !wanted[id] {
			delete(c.workers, id)
		}
	}
	for id := range wanted {
		if c.workers[id] == nil {
			c.workers[id] = &grant{}
		}
	}
	c.ids = c.ids[:0]
	for id := range c.workers {
		c.ids = append(c.ids, id)
	}
	sort.Strings(c.ids)
	c.chooseQuorum()
}

// chooseQuorum picks a majority of each set for renewal at RenewInterval: the workers whose leases last longest, then
// those with the lowest ids. Expiry times that differ by up to RenewInterval count as equal.
func (c *Core) chooseQuorum() {
	c.quorum = map[string]bool{}
	for _, set := range c.sets {
		ids := append([]string(nil), set.ids...)
		sort.SliceStable(ids, func(i, k int) bool {
			return c.workers[ids[i]].expiresAt.After(c.workers[ids[k]].expiresAt.Add(RenewInterval))
		})
		need := len(ids)/2 + 1
		for i := 0; i < need && i < len(ids); i++ {
			c.quorum[ids[i]] = true
		}
	}
}

// expireSets removes the replaced sets that are no longer required.
func (c *Core) expireSets(now time.Time) {
	kept := c.sets[:0]
	changed := false
	for _, set := range c.sets {
		if !set.expiresAt.IsZero() && !now.Before(set.expiresAt) {
			changed = true
			continue
		}
		kept = append(kept, set)
	}
	c.sets = kept
	if changed {
		c.syncWorkers()
	}
}

// majority reports whether ok is true for more than half of the workers in each of the sets. It is false while there is no
// current set or the current set is empty.
func (c *Core) majority(ok func(*grant) bool) bool {
	if len(c.sets) == 0 || len(c.sets[len(c.sets)-1].ids) == 0 {
		return false
	}
	for _, set := range c.sets {
		count := 0
		for _, id := range set.ids {
			if ok(c.workers[id]) {
				count++
			}
		}
		if len(set.ids) > 0 && 2*count <= len(set.ids) {
			return false
		}
	}
	return true
}

// Active reports whether the candidate certainly holds the leases of a majority at now. It must be checked before each
// command with the current time, since the process may have been paused.
func (c *Core) Active(now time.Time) bool {
	return c.phase == PhaseActive && c.majority(func(g *grant) bool { return now.Before(g.expiresAt) })
}

// Confirmed reports whether the candidate certainly holds the leases of a majority at now and they were granted at the
// current epoch. Commands must not be sent before that: another candidate may claim with the epoch to which this holder has
// just raised its own, and only one of the two gets a majority for it.
func (c *Core) Confirmed(now time.Time) bool {
	return c.phase == PhaseActive && c.majority(func(g *grant) bool { return now.Before(g.expiresAt) && g.epoch == c.epoch })
}

// RequestSent records that a request to a worker is being sent.
func (c *Core) RequestSent(worker string, now time.Time) {
	if g := c.workers[worker]; g != nil {
		g.lastSent = now
		g.requested = true
	}
}

// ApplyResponse applies the response to a request of the given kind and epoch that was sent at the time sent.
func (c *Core) ApplyResponse(worker string, kind Kind, epoch uint64, sent time.Time, r Response, now time.Time) {
	c.maxEpoch = max(c.maxEpoch, r.Epoch)
	g := c.workers[worker]
	if g == nil {
		return
	}
	g.responded = true
	if r.Granted {
		c.applyGrant(g, kind, epoch, sent)
		return
	}
	g.freeAt = now.Add(r.ExpiresIn)
	if r.Holder == c.self {
		g.freeAt = now
	}
	if r.Holder != c.self && r.Epoch == c.epoch && r.ExpiresIn <= 0 {
		c.epochCollision = true
	}
	if kind == KindProbe && c.phase == PhaseStandby && g.freeAt.Before(c.nextProbe) {
		c.nextProbe = g.freeAt
	}
	if kind != KindProbe && epoch == c.epoch {
		g.expiresAt = time.Time{}
	}
}

// applyGrant records the grant of a claim or renewal with the current epoch. It ignores all other grants.
func (c *Core) applyGrant(g *grant, kind Kind, epoch uint64, sent time.Time) {
	if epoch != c.epoch || kind == KindRelinquish || kind == KindProbe {
		return
	}
	if c.phase != PhaseClaim && c.phase != PhaseActive {
		return
	}
	g.epoch = epoch
	if expiresAt := sent.Add(Length); expiresAt.After(g.expiresAt) {
		g.expiresAt = expiresAt
	}
}

// RequestFailed records that a request got no response. The worker may have granted the lease nonetheless, so a candidate
// whose claim fails relinquishes this lease as well. A lease that was granted earlier counts until it expires.
func (c *Core) RequestFailed(worker string) {
	if g := c.workers[worker]; g != nil && c.phase != PhaseActive {
		g.requested = true
	}
}

// Relinquish makes the candidate a standby and returns the requests that make its leases expire at once. The standby waits
// for Length before its next probe.
func (c *Core) Relinquish(now time.Time) []Request {
	requests := c.relinquishRequests()
	c.becomeStandby(now, Length)
	return requests
}

// relinquishRequests returns the requests that make the leases expire at once on all workers to which a request was sent since
// the claim. It returns none for a standby and in a survey.
func (c *Core) relinquishRequests() []Request {
	var requests []Request
	if c.phase != PhaseActive && c.phase != PhaseClaim {
		return nil
	}
	for _, id := range c.sortedWorkers() {
		if c.workers[id].requested {
			requests = append(requests, Request{Worker: id, Kind: KindRelinquish, Epoch: c.epoch, Length: RelinquishLength})
		}
	}
	return requests
}

// becomeStandby starts PhaseStandby with the first probe after wait.
func (c *Core) becomeStandby(now time.Time, wait time.Duration) {
	c.phase = PhaseStandby
	c.phaseStart = now
	c.nextProbe = now.Add(wait)
	for _, g := range c.workers {
		*g = grant{}
	}
}

func (c *Core) sortedWorkers() []string { return c.ids }

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
