package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
)

// finalJobsKept is the number of ended jobs that remain readable after the oldest ones are removed. They are removed
// when twice as many have ended.
const finalJobsKept = 4096

// Core is the placement core of one failure domain. It implements Planner.
type Core struct {
	failureDomain string
	options       options
	policy        config.Policy
	// configured is set by the first SetConfig.
	configured bool
	// now is the latest time passed to any call.
	now time.Time
	// freedSeq counts the changes that free capacity, from 1, since 0 stands for no earlier search. submissions counts
	// the submitted and adopted jobs.
	freedSeq, submissions uint64

	workers map[string]*worker
	// ordered lists the configured workers of the failure domain by rack and id; racks groups them.
	ordered []*worker
	racks   []*rack
	// largestRack is the number of accelerators of the largest rack.
	largestRack int
	// noRack is the rack of workers that are not configured.
	noRack *rack

	accounts map[string]*account
	// cells lists all cells, by account and guarantee.
	cells []*cell
	// bindingStale is set if the bindings must be repaired, retryBinding if this is needed only while guarantees are
	// degraded; boundOnce is set by the first repair. unboundCells counts the cells that the last repair could not
	// bind.
	bindingStale, retryBinding, boundOnce bool
	unboundCells                          int

	jobs map[string]*job
	// bySubmission lists all known jobs in order of submission; finalCount counts those that ended.
	bySubmission []*job
	finalCount   int

	classes map[classKey]*class
	// active lists the classes that have waiting jobs. orderStale is set if it must be sorted again. waiting counts the
	// jobs in all classes.
	active     []*class
	orderStale bool
	waiting    int
	// failedSearches holds the value of freedSeq at the last search of each kind that found no placement.
	failedSearches map[searchKey]uint64
	// holds lists the jobs that have a hold, for a claim or as a reservation.
	holds []*job
	// nextConsolidation is the earliest time of the next consolidation.
	nextConsolidation time.Time

	// workersToReview lists the workers that changed and may be leaving, gone, removed or overcommitted.
	workersToReview []*worker
	// suspended counts the workers in quarantine or on trial.
	suspended int

	// plan collects the actions of the next plan; events between two plans add to it.
	plan Plan
	// planCount counts the calls of Plan; recheck requests another one after recheckDelay.
	planCount uint64
	recheck   bool
	// reviewedPlan is the number of the plan that last reviewed a reservation, so that a plan reviews at most one.
	reviewedPlan uint64
	// untilCloseValue and untilCloseFound cache the result of untilClose for the plan numbered untilClosePlan.
	untilCloseValue time.Duration
	untilCloseFound bool
	untilClosePlan  uint64
	// candidateBuffer and classBuffer are reused between calls to avoid allocations.
	candidateBuffer []candidate
	classBuffer     []*class
}

// options disables single mechanisms, so that tests can show that their checks fail without them.
type options struct {
	// lendToUnstoppable lets unstoppable work use capacity that is bound to guarantees.
	lendToUnstoppable bool
	// noRebinding repairs the bindings only once.
	noRebinding bool
	noReclaim   bool
	noQuota     bool
	// noReservations makes no reservations, so small jobs can starve a gang.
	noReservations bool
	noQuarantine   bool
	// noConsolidation leaves free capacity scattered.
	noConsolidation    bool
	noPermanentFailure bool
	// restartRunOnce restarts run-once jobs like other jobs.
	restartRunOnce bool
	// placeOnUnreachable treats unreachable workers as up.
	placeOnUnreachable bool
	// ignoreAdjacency places gangs without regard to adjacency.
	ignoreAdjacency bool
	// noFailureConfirmation quarantines a worker even if the jobs that failed there ran on no other worker;
	// noQuarantineBound ignores policy.quarantine_percent.
	noFailureConfirmation, noQuarantineBound bool
	// stopUnstoppable allows unstoppable work to be stopped for other jobs.
	stopUnstoppable bool
	// ignoreClaimHolds lets other jobs start on capacity that is held for claims.
	ignoreClaimHolds bool
}

var _ Planner = (*Core)(nil)

// New returns an empty core for one failure domain.
func New(failureDomain string) *Core {
	return &Core{
		failureDomain:  failureDomain,
		workers:        make(map[string]*worker),
		noRack:         &rack{},
		accounts:       make(map[string]*account),
		jobs:           make(map[string]*job),
		classes:        make(map[classKey]*class),
		failedSearches: make(map[searchKey]uint64),
		freedSeq:       1,
	}
}

// advance moves the core's time forward. A time before the latest one has no effect.
func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// minMaxWait is the lower bound of policy.max_wait_ms. With a smaller value, reviews of reservations would be due in
// every plan.
const minMaxWait = time.Second

// maxWait returns policy.max_wait_ms, at least minMaxWait: the wait after which a blocked gang gets a reservation.
func (c *Core) maxWait() time.Duration {
	return max(time.Duration(c.policy.MaxWaitMS)*time.Millisecond, minMaxWait)
}

// account returns the record of an account, creating it if necessary.
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
	c.updateQueueTimes()
	clear(c.failedSearches)
	c.bindingStale = true
}

// setWorkers updates the workers and racks to match the document.
func (c *Core) setWorkers(doc *config.Document) {
	for _, w := range c.ordered {
		if _, ok := doc.Workers[w.id]; !ok {
			w.removed = true
			w.rack = c.noRack
			c.workersToReview = append(c.workersToReview, w)
		}
	}
	c.ordered, c.racks, c.largestRack = nil, nil, 0
	for id, spec := range doc.Workers {
		if spec.FailureDomain != c.failureDomain {
			if w := c.workers[id]; w != nil {
				w.removed, w.rack = true, c.noRack
				c.workersToReview = append(c.workersToReview, w)
			}
			continue
		}
		w := c.worker(id)
		w.removed = false
		w.capacity = spec.Capacity
		w.rack = &rack{name: spec.Rack}
		_, w.drainRequested = doc.Drains[id]
		c.ordered = append(c.ordered, w)
	}
	slices.SortFunc(c.ordered, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.rack.name, b.rack.name), cmp.Compare(a.id, b.id))
	})
	slices.SortFunc(c.workersToReview, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	c.groupRacks()
	c.workersToReview = append(c.workersToReview, c.ordered...)
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
		rk := c.racks[last]
		w.rack = rk
		rk.workers = append(rk.workers, w)
		rk.totalAccelerators += w.capacity.Accelerators
		for _, o := range w.occupants {
			rk.uncheckpointed += o.job.uncheckpointedOn(o.members)
		}
		c.largestRack = max(c.largestRack, rk.totalAccelerators)
		c.markChanged(w, true)
	}
}

// worker returns the record of a worker, creating it if necessary. A worker that was never reported counts as
// unreachable.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, health: HealthUnreachable, removed: true, rack: c.noRack}
		c.workers[id] = w
	}
	return w
}

// setAccounts updates quotas and guarantees to match the document.
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
		a.inConfig = ok
		a.quota = spec.Quota
		c.setGuarantees(a, spec.Guarantees)
		c.cells = append(c.cells, a.cells...)
	}
}

// updateQueueTimes recomputes the queue times of the waiting jobs after a policy change.
func (c *Core) updateQueueTimes() {
	for _, q := range c.active {
		for j := q.head; j != nil; j = j.next {
			j.queueTime = c.computeQueueTime(j)
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
	c.markChanged(w, true)
	c.workersToReview = append(c.workersToReview, w)
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
	for _, j := range c.bySubmission {
		if c.jobs[j.ID] == j {
			list = append(list, c.status(j))
		}
	}
	return list
}

// Usage returns the resource usage of each account that uses any, sorted by account name.
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
				u.OutsideGuarantees = u.OutsideGuarantees.Add(j.Shape.Total())
			}
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(x, y Usage) int { return cmp.Compare(x.Account, y.Account) })
	return list
}
