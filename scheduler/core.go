package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
)

// finalJobsKept is the number of ended jobs whose state stays readable.
const finalJobsKept = 4096

// Core is the placement core of one failure domain. It implements Planner.
type Core struct {
	failureDomain string
	options       options
	policy        config.Policy
	configured    bool
	// now is the latest time that a call gave.
	now time.Time
	// seq numbers changes that free capacity; submissions numbers jobs.
	seq, submissions uint64

	workers map[string]*worker
	// ordered lists the configured workers by rack and id; racks groups them.
	ordered []*worker
	racks   []*rack
	// largestRack is the number of accelerators of the largest rack.
	largestRack int
	// nowhere is the rack of workers that are not configured.
	nowhere *rack

	accounts map[string]*account
	// cells lists all cells, by account and guarantee.
	cells []*cell
	// bindingStale asks for a repair of the bindings; retryBinding only while guarantees are degraded.
	bindingStale, retryBinding, boundOnce bool
	missingCells                          int

	jobs map[string]*job
	// listed holds all jobs in order of submission; finals counts those that ended.
	listed []*job
	finals int

	classes map[classKey]*class
	// active lists the classes with waiting jobs.
	active     []*class
	orderStale bool
	waiting    int
	// blocked holds the value of seq at the last search that found nothing.
	blocked map[shapeKey]uint64
	// holds lists the jobs with a hold, claims and reservations.
	holds []*job
	// nextConsolidation is the earliest time of the next consolidation.
	nextConsolidation time.Time

	// unsettled lists workers whose occupants have to be looked at: leaving, gone or overcommitted.
	unsettled []*worker
	// suspended counts workers in quarantine or on trial.
	suspended int

	plan Plan
	// plans counts the calls of Plan; recheck asks for another one soon.
	plans   uint64
	recheck bool
	// reviewedIn is the plan of the last review of a reservation.
	reviewedIn uint64
	// closeIn and closeOpen are the result of untilClose in the plan numbered closeKnownIn.
	closeIn      time.Duration
	closeOpen    bool
	closeKnownIn uint64
	scratch      []candidate
	visit        []*class
}

// options switch off single mechanisms, so that tests can show that their checks fail without them.
type options struct {
	// lendToUnstoppable lets unstoppable work onto bound capacity.
	lendToUnstoppable bool
	// keepBindings never repairs bindings.
	keepBindings bool
	noReclaim    bool
	noQuota      bool
	// noReservations leaves blocked gangs to chance.
	noReservations bool
	noQuarantine   bool
	// noConsolidation leaves scattered free capacity as it is.
	noConsolidation bool
	noCondemnation  bool
	// restartRunOnce treats run-once jobs like others.
	restartRunOnce bool
	// placeOnUnreachable treats unreachable workers as up.
	placeOnUnreachable bool
	// ignoreAdjacency places gangs anywhere.
	ignoreAdjacency bool
	// blameEveryWorker quarantines without comparing with the other workers, and noQuarantineBound without a bound.
	blameEveryWorker, noQuarantineBound bool
	// stopUnstoppable takes unstoppable work for a victim.
	stopUnstoppable bool
	// forgetHeld lets others start on capacity whose victims are being stopped.
	forgetHeld bool
}

var _ Planner = (*Core)(nil)

// New returns an empty core for one failure domain.
func New(failureDomain string) *Core {
	return &Core{
		failureDomain: failureDomain,
		workers:       make(map[string]*worker),
		nowhere:       &rack{},
		accounts:      make(map[string]*account),
		jobs:          make(map[string]*job),
		classes:       make(map[classKey]*class),
		blocked:       make(map[shapeKey]uint64),
		seq:           1,
	}
}

// advance moves the core's time forward; an earlier time than before changes nothing.
func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// minMaxWait bounds policy.max_wait_ms from below. With less, reviews of reservations would be due in every plan.
const minMaxWait = time.Second

// maxWait is the wait after which a blocked gang gets a reservation.
func (c *Core) maxWait() time.Duration {
	return max(time.Duration(c.policy.MaxWaitMS)*time.Millisecond, minMaxWait)
}

// account returns the record of an account, made if there is none.
func (c *Core) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name, runs: make(map[int]*runTimes)}
		c.accounts[name] = a
	}
	return a
}

// SetConfig implements Planner.
func (c *Core) SetConfig(doc *config.Document, now time.Time) {
	c.advance(now)
	c.policy = doc.Policy
	c.configured = true
	c.setWorkers(doc)
	c.setAccounts(doc)
	c.rekey()
	clear(c.blocked)
	c.bindingStale = true
}

// setWorkers makes the workers and racks match the document.
func (c *Core) setWorkers(doc *config.Document) {
	for _, w := range c.ordered {
		if _, ok := doc.Workers[w.id]; !ok {
			w.removed = true
			w.rack = c.nowhere
			c.unsettled = append(c.unsettled, w)
		}
	}
	c.ordered, c.racks, c.largestRack = nil, nil, 0
	for id, spec := range doc.Workers {
		if spec.FailureDomain != c.failureDomain {
			if w := c.workers[id]; w != nil {
				w.removed, w.rack = true, c.nowhere
				c.unsettled = append(c.unsettled, w)
			}
			continue
		}
		w := c.worker(id)
		w.removed = false
		w.capacity = spec.Capacity
		w.rack = &rack{name: spec.Rack}
		_, w.drained = doc.Drains[id]
		c.ordered = append(c.ordered, w)
	}
	slices.SortFunc(c.ordered, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.rack.name, b.rack.name), cmp.Compare(a.id, b.id))
	})
	slices.SortFunc(c.unsettled, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	c.groupRacks()
	c.unsettled = append(c.unsettled, c.ordered...)
}

// groupRacks builds the racks from the ordered workers.
func (c *Core) groupRacks() {
	for i, w := range c.ordered {
		w.index = i
		last := len(c.racks) - 1
		if last < 0 || c.racks[last].name != w.rack.name {
			c.racks = append(c.racks, &rack{name: w.rack.name, index: last + 1})
			last++
		}
		k := c.racks[last]
		w.rack = k
		k.workers = append(k.workers, w)
		k.accelerators += w.capacity.Accelerators
		for _, o := range w.occupants {
			k.settled += o.job.settledOn(o.members)
		}
		c.largestRack = max(c.largestRack, k.accelerators)
		c.touch(w, true)
	}
}

// worker returns the record of a worker, made if there is none. A worker without a report counts as unreachable.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, health: HealthUnreachable, removed: true, rack: c.nowhere}
		c.workers[id] = w
	}
	return w
}

// setAccounts makes quotas and guarantees match the document.
func (c *Core) setAccounts(doc *config.Document) {
	for name := range doc.Accounts {
		c.account(name)
	}
	names := make([]string, 0, len(c.accounts))
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	c.cells = nil
	for _, name := range names {
		spec, ok := doc.Accounts[name]
		a := c.accounts[name]
		a.known = ok
		a.quota = spec.Quota
		c.setGuarantees(a, spec.Guarantees)
		c.cells = append(c.cells, a.cells...)
	}
}

// rekey recomputes the order of the waiting jobs after a change of the policy.
func (c *Core) rekey() {
	for _, cl := range c.active {
		for j := cl.head; j != nil; j = j.next {
			j.key = c.queueKey(j)
		}
	}
	c.orderStale = true
}

// SetWorkerHealth implements Planner.
func (c *Core) SetWorkerHealth(id string, health Health, now time.Time) {
	c.advance(now)
	if c.options.placeOnUnreachable && health == HealthUnreachable {
		health = HealthUp
	}
	w := c.worker(id)
	if w.health == health {
		return
	}
	w.health = health
	c.bindingStale = true
	c.touch(w, true)
	c.unsettled = append(c.unsettled, w)
}

// Status implements Planner.
func (c *Core) Status(id string) (jobs.Status, bool) {
	j := c.jobs[id]
	if j == nil {
		return jobs.Status{}, false
	}
	return c.status(j), true
}

func (c *Core) status(j *job) jobs.Status {
	s := jobs.Status{Job: j.Job, State: j.state, Attempt: j.attempt, Reason: j.reason}
	for _, w := range j.placement {
		s.Workers = append(s.Workers, w.id)
	}
	return s
}

// List implements Planner.
func (c *Core) List() []jobs.Status {
	list := make([]jobs.Status, 0, len(c.jobs))
	for _, j := range c.listed {
		if c.jobs[j.ID] == j {
			list = append(list, c.status(j))
		}
	}
	return list
}

// Usage returns the use of resources by each account that uses any, by account name.
func (c *Core) Usage() []Usage {
	var list []Usage
	for _, a := range c.accounts {
		if len(a.placed) == 0 {
			continue
		}
		u := Usage{Account: a.name}
		for _, j := range a.placed {
			u.Used = u.Used.Add(j.Shape.Total())
			if j.cell == nil {
				u.Borrowed = u.Borrowed.Add(j.Shape.Total())
			}
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y Usage) int { return cmp.Compare(x.Account, y.Account) })
	return list
}
