// Package lease decides which scheduler of a failure domain is active.
//
// Each worker grants its lease to one holder at a time, with increasing epochs. A scheduler is active while it holds the
// leases of a majority of the failure domain's configured workers, by its own conservative reckoning: a grant counts
// from the time at which the request was sent. Workers refuse older epochs, so a holder whose clock or reckoning is
// wrong does no harm.
//
// The package is pure: it has no I/O, clock or goroutines. A Core is not safe for concurrent use.
package lease

import (
	"sort"
	"time"
)

// Lengths and intervals of the holder lease.
const (
	// Length is the length of a holder lease.
	Length = 6 * time.Second
	// RenewInterval is the time between renewals of the workers on which the majority rests.
	RenewInterval = 2 * time.Second
	// SpareRenewInterval is the time between renewals of the other workers, whose grants count for the majority as well.
	// At 120 workers a renewal of all of them every 2 s would use nearly the whole budget of 25 KB/s.
	SpareRenewInterval = 4 * time.Second
	// ProbeInterval is the time between a standby's samples of one worker.
	ProbeInterval = 2 * time.Second
	// SetChangeOverlap is the time for which a replaced worker set counts beside the new one: the bound of 8 s within
	// which a configuration is in force everywhere, and one holder lease.
	SetChangeOverlap = 8*time.Second + Length
	// GiveUpLength is the lease length of a request that gives the lease up. The worker contract has no release call.
	GiveUpLength = time.Millisecond
	// claimTimeout bounds the wait for the answers to a survey or a claim.
	claimTimeout = 1500 * time.Millisecond
)

// Phase is what a candidate is doing.
type Phase string

// The phases.
const (
	// PhaseStandby samples single workers until a lease looks free.
	PhaseStandby Phase = "standby"
	// PhaseSurvey asks all workers whether a majority is free. A claim without it would take workers away from a
	// holder that has lost touch with only a few of them.
	PhaseSurvey Phase = "survey"
	// PhaseClaim claims all workers with a new epoch.
	PhaseClaim  Phase = "claim"
	PhaseActive Phase = "active"
)

// Kind is the kind of a request to a worker.
type Kind string

// The request kinds.
const (
	// KindProbe asks for the lease in force without a claim: epoch 0 is never granted.
	KindProbe  Kind = "probe"
	KindClaim  Kind = "claim"
	KindRenew  Kind = "renew"
	KindGiveUp Kind = "give_up"
)

// Send is a request that the owner has to make.
type Send struct {
	Worker string
	Kind   Kind
	Epoch  uint64
	Length time.Duration
}

// Answer is what a worker said about its lease.
type Answer struct {
	Granted   bool
	Epoch     uint64
	Holder    string
	ExpiresIn time.Duration
}

// grant is the state of one worker's lease as far as it is known.
type grant struct {
	// until is the time up to which the own lease certainly lasts; zero if none is held.
	until time.Time
	// epoch is that of the last own grant.
	epoch uint64
	// lastSent is the time of the last request that renews the lease.
	lastSent time.Time
	// asked and answered belong to the current survey or claim.
	asked    bool
	answered bool
	// freeAt is the time at which another holder's lease lapses, as far as the last refusal or probe told.
	freeAt time.Time
}

type workerSet struct {
	ids []string
	// until is the time at which a replaced set stops counting; zero for the set in force.
	until time.Time
}

// Core is the state of one candidate.
type Core struct {
	self  string
	phase Phase
	epoch uint64
	// maxEpoch is the highest epoch seen anywhere.
	maxEpoch uint64
	sets     []workerSet
	workers  map[string]*grant
	// ids holds the keys of workers in order.
	ids []string
	// quorum lists the workers that are renewed at RenewInterval.
	quorum map[string]bool
	// phaseAt is the start of the present phase.
	phaseAt time.Time
	// nextProbe is the time of the next sample or survey of a standby.
	nextProbe time.Time
	sample    int
	// collided is set when a worker holds the own epoch for another holder whose lease has lapsed.
	collided bool
}

// New returns a standby with the holder name self, which must differ between incarnations.
func New(self string) *Core {
	return &Core{self: self, phase: PhaseStandby, workers: map[string]*grant{}, quorum: map[string]bool{}}
}

// Phase returns the present phase.
func (c *Core) Phase() Phase { return c.phase }

// Epoch returns the epoch of the own claim or lease.
func (c *Core) Epoch() uint64 { return c.epoch }

// Holds reports whether the lease of a worker is certainly held at now.
func (c *Core) Holds(worker string, now time.Time) bool {
	g, ok := c.workers[worker]
	return ok && now.Before(g.until)
}

// SetWorkers sets the configured workers. A replaced set counts beside the new one for SetChangeOverlap.
func (c *Core) SetWorkers(ids []string, now time.Time) {
	next := append([]string(nil), ids...)
	sort.Strings(next)
	if n := len(c.sets); n > 0 {
		if equal(c.sets[n-1].ids, next) {
			return
		}
		c.sets[n-1].until = now.Add(SetChangeOverlap)
	}
	c.sets = append(c.sets, workerSet{ids: next})
	c.syncWorkers()
}

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

// chooseQuorum picks the workers to renew at the short interval: those held now first, then by id.
func (c *Core) chooseQuorum() {
	c.quorum = map[string]bool{}
	for _, set := range c.sets {
		ids := append([]string(nil), set.ids...)
		sort.SliceStable(ids, func(i, k int) bool {
			return c.workers[ids[i]].until.After(c.workers[ids[k]].until.Add(RenewInterval))
		})
		need := len(ids)/2 + 1
		for i := 0; i < need && i < len(ids); i++ {
			c.quorum[ids[i]] = true
		}
	}
}

func (c *Core) expireSets(now time.Time) {
	kept := c.sets[:0]
	changed := false
	for _, set := range c.sets {
		if !set.until.IsZero() && !now.Before(set.until) {
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

// majority reports whether ok holds for more than half of the workers of every set that counts.
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

// Active reports whether the majority is certainly held at now. The owner must ask before every command, since it may
// have been paused.
func (c *Core) Active(now time.Time) bool {
	return c.phase == PhaseActive && c.majority(func(g *grant) bool { return now.Before(g.until) })
}

// Confirmed reports whether a majority was granted at the present epoch. Commands must wait for it: another candidate may
// claim with the epoch to which this holder has just raised its own, and only one of the two gets a majority for it.
func (c *Core) Confirmed(now time.Time) bool {
	return c.phase == PhaseActive && c.majority(func(g *grant) bool { return now.Before(g.until) && g.epoch == c.epoch })
}

// Sent reports that a request which renews or claims the lease of a worker is being sent.
func (c *Core) Sent(worker string, now time.Time) {
	if g := c.workers[worker]; g != nil {
		g.lastSent = now
		g.asked = true
	}
}

// Answered applies the answer to a request of the kind and epoch that was sent at sent.
func (c *Core) Answered(worker string, kind Kind, epoch uint64, sent time.Time, a Answer, now time.Time) {
	c.maxEpoch = max(c.maxEpoch, a.Epoch)
	g := c.workers[worker]
	if g == nil {
		return
	}
	g.answered = true
	if a.Granted {
		c.granted(g, kind, epoch, sent)
		return
	}
	g.freeAt = now.Add(a.ExpiresIn)
	if a.Holder == c.self {
		g.freeAt = now
	}
	if a.Holder != c.self && a.Epoch == c.epoch && a.ExpiresIn <= 0 {
		c.collided = true
	}
	if kind == KindProbe && c.phase == PhaseStandby && g.freeAt.Before(c.nextProbe) {
		c.nextProbe = g.freeAt
	}
	if kind != KindProbe && epoch == c.epoch {
		g.until = time.Time{}
	}
}

func (c *Core) granted(g *grant, kind Kind, epoch uint64, sent time.Time) {
	if epoch != c.epoch || kind == KindGiveUp || kind == KindProbe {
		return
	}
	if c.phase != PhaseClaim && c.phase != PhaseActive {
		return
	}
	g.epoch = epoch
	if until := sent.Add(Length); until.After(g.until) {
		g.until = until
	}
}

// Failed must be called for every request without an answer. A candidate then stops waiting for that worker; a lease that
// was granted before counts until it lapses.
func (c *Core) Failed(worker string) {
	if g := c.workers[worker]; g != nil && c.phase != PhaseActive {
		g.asked = true
	}
}

// GiveUp ends the tenure or candidacy and returns the requests that make the workers free at once.
func (c *Core) GiveUp(now time.Time) []Send {
	sends := c.giveBack()
	c.standby(now, Length)
	return sends
}

func (c *Core) giveBack() []Send {
	var sends []Send
	if c.phase != PhaseActive && c.phase != PhaseClaim {
		return nil
	}
	for _, id := range c.sorted() {
		if c.workers[id].asked {
			sends = append(sends, Send{Worker: id, Kind: KindGiveUp, Epoch: c.epoch, Length: GiveUpLength})
		}
	}
	return sends
}

func (c *Core) standby(now time.Time, wait time.Duration) {
	c.phase = PhaseStandby
	c.phaseAt = now
	c.nextProbe = now.Add(wait)
	for _, g := range c.workers {
		*g = grant{}
	}
}

func (c *Core) sorted() []string { return c.ids }

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
