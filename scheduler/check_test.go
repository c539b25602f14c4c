package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// Bounds of the checks. They follow from the scheduling rules.
const (
	// gangWaitBound is twice the sum, in max_wait_ms, of the wait for a reservation (1), the longest time that it stays
	// open (4) and the longest run of unstoppable work on it (5). It is doubled because a gang may first have to wait
	// for earlier reservations.
	gangWaitBound = 20 * scenarioMaxWait
	// failedAttemptLimit is the number of failed attempts after which the core must have failed a job permanently
	// (maxFailedAttempts).
	failedAttemptLimit = 8
	// quarantineBound is the longest time from the first failure on a faulty worker to its quarantine: a failed job
	// waits up to maxRetryDelay, finds a placement elsewhere when others end (maxRunTime), and runs there for
	// confirmTime. One more minute allows for the next failure, which triggers the quarantine.
	quarantineBound = maxRetryDelay + maxRunTime + confirmTime + time.Minute
)

// checker verifies plans against its own record of workers, jobs and configuration.
type checker struct {
	core   *Core
	d      *driver
	doc    *config.Document
	health map[string]Health
	// blockedSince holds, by job id, the time since which a gang has waited although unbound capacity and its quota
	// would allow it.
	blockedSince map[string]time.Time
	// longestBlocked is the gang that has been blocked longest, nil if none is, and longestBlockedSince when it became
	// that.
	longestBlocked      *simJob
	longestBlockedSince time.Time
	// failureCounts holds the number of failed attempts by job id.
	failureCounts map[string]int
	// failingSince holds, by worker id, the time since which a faulty worker has failed jobs without being quarantined.
	failingSince map[string]time.Time
	// faultyBurstUntil is the end of the time in which no healthy worker may be quarantined, since faulty jobs run.
	faultyBurstUntil time.Time
	isFaultyWorker   func(string) bool
	// faultFree enables the checks of bounds on waits.
	faultFree bool
	// trace holds the latest events, at most 30.
	trace      []string
	violations []string
}

func newChecker(core *Core, d *driver) *checker {
	k := &checker{
		core: core, d: d, health: map[string]Health{}, blockedSince: map[string]time.Time{},
		failureCounts: map[string]int{}, failingSince: map[string]time.Time{},
	}
	d.onStart, d.onStop, d.onPlan, d.onEnd = k.checkStart, k.checkStop, k.checkPlan, k.observeEnd
	return k
}

// addViolation records a violation together with the latest events.
func (k *checker) addViolation(format string, args ...any) {
	text := fmt.Sprintf("%s: %s\n", k.d.now.Sub(testStart), fmt.Sprintf(format, args...))
	for _, line := range k.trace {
		text += "  " + line + "\n"
	}
	k.violations = append(k.violations, text)
}

func (k *checker) traceEvent(format string, args ...any) {
	k.trace = append(k.trace, fmt.Sprintf("%s ", k.d.now.Sub(testStart))+fmt.Sprintf(format, args...))
	if len(k.trace) > 30 {
		k.trace = k.trace[1:]
	}
}

func (k *checker) setConfig(doc *config.Document) {
	k.doc = doc
	k.traceEvent("configuration %d, drains %v", doc.Version, doc.Drains)
}

func (k *checker) setHealth(id string, h Health) {
	k.health[id] = h
	k.traceEvent("worker %s %s", id, h)
}

// usable reports whether the worker is up and not drained.
func (k *checker) usable(id string) bool {
	_, drained := k.doc.Drains[id]
	return k.health[id] == HealthUp && !drained
}

// checkStart checks a start before it is carried out.
func (k *checker) checkStart(j *simJob, s Start) {
	k.traceEvent("start %s attempt %d on %v", s.Job.ID, s.Attempt, s.Placement)
	if j.ended || j.placement != nil {
		k.addViolation("job %s started although it has ended or is running", j.ID)
	}
	if len(s.Placement) != j.Shape.Members {
		k.addViolation("gang %s of %d started with %d members", j.ID, j.Shape.Members, len(s.Placement))
	}
	if j.RunOnce && !j.mayRunAgain {
		k.addViolation("run once job %s started again although it may have run", j.ID)
	}
	after := map[string]resource.Resources{}
	for _, id := range s.Placement {
		if !k.usable(id) {
			k.addViolation("job %s started on %s worker %s", j.ID, k.health[id], id)
		}
		first := s.Placement[0]
		if j.Shape.Adjacency == resource.AdjacencyWorker && id != first ||
			j.Shape.Adjacency == resource.AdjacencyRack && k.doc.Workers[id].Rack != k.doc.Workers[first].Rack {
			k.addViolation("adjacency of job %s is not satisfied by workers %v", j.ID, s.Placement)
		}
		after[id] = after[id].Add(j.Shape.PerMember)
	}
	for id, need := range after {
		if used := k.d.used[id].Add(need); !used.Fits(k.doc.Workers[id].Capacity) {
			k.addViolation("worker %s is over its capacity with %v in use", id, used)
		}
	}
	k.checkQuota(j)
}

// acceleratorsUsed returns the number of accelerators that the placed jobs of the account use.
func (k *checker) acceleratorsUsed(account string) int {
	n := 0
	for _, j := range k.d.live {
		if j.Account == account && j.placement != nil {
			n += j.Shape.Total().Accelerators
		}
	}
	return n
}

// checkQuota checks that the start of j leaves its account within the quota.
func (k *checker) checkQuota(j *simJob) {
	quota := k.doc.Accounts[j.Account].Quota
	n := j.Shape.Total().Accelerators
	if used := k.acceleratorsUsed(j.Account); quota > 0 && n > 0 && used+n > quota {
		k.addViolation("quota of account %s: %d of %d accelerators in use, %d more started", j.Account, used, quota, n)
	}
}

// checkStop checks that unstoppable work is stopped only on cancellation or after losing a member.
func (k *checker) checkStop(j *simJob, s Stop) {
	k.traceEvent("stop %s: %s", j.ID, s.Reason)
	if !j.Stoppable() && s.Reason != StopCancelled && s.Reason != StopLost {
		k.addViolation("unstoppable job %s stopped for %s", j.ID, s.Reason)
	}
}

// observeEnd counts failed attempts, and checks that a faulty worker is quarantined within quarantineBound as far as
// policy.quarantine_percent permits.
func (k *checker) observeEnd(j *simJob, r Result) {
	k.traceEvent("end %s %s %v", j.ID, r.Kind, r.Workers)
	if r.Kind != ResultFailed {
		return
	}
	k.failureCounts[j.ID]++
	for _, id := range r.Workers {
		if !k.isFaultyWorker(id) || (k.suspended()+1)*100 > k.doc.Policy.QuarantinePercent*len(k.doc.Workers) {
			delete(k.failingSince, id)
			continue
		}
		if _, ok := k.failingSince[id]; !ok {
			k.failingSince[id] = k.d.now
		}
		if k.d.now.Sub(k.failingSince[id]) > quarantineBound {
			k.addViolation("faulty worker %s not quarantined, failing jobs since %s", id, k.failingSince[id].Sub(testStart))
			delete(k.failingSince, id)
		}
	}
}

// checkPlan checks the state of the core after every plan.
func (k *checker) checkPlan(p Plan) {
	for _, s := range p.PermanentFailures {
		if !k.d.jobs[s.Job].faulty {
			k.addViolation("good job %s condemned: %s", s.Job, s.Detail)
		}
	}
	k.checkFailures()
	k.checkBindings()
	if k.faultFree {
		k.checkGangWaits()
	}
}

// checkFailures checks that jobs are failed permanently after failedAttemptLimit attempts, that no healthy worker is
// quarantined because of faulty jobs, and that policy.quarantine_percent is kept.
func (k *checker) checkFailures() {
	for id, n := range k.failureCounts {
		if n == failedAttemptLimit+1 {
			k.addViolation("job %s not condemned after %d failures", id, n)
			k.failureCounts[id]++
		}
	}
	for _, w := range k.core.ordered {
		if w.standing.phase != phaseNormal {
			delete(k.failingSince, w.id)
		}
		if w.standing.phase != phaseNormal && !k.isFaultyWorker(w.id) && k.d.now.Before(k.faultyBurstUntil) {
			k.addViolation("healthy worker %s was mistaken for a faulty one and quarantined", w.id)
		}
	}
	if out := k.suspended(); out*100 > k.doc.Policy.QuarantinePercent*len(k.doc.Workers) {
		k.addViolation("quarantine bound: %d of %d workers are in quarantine or on trial", out, len(k.doc.Workers))
	}
}

// suspended counts the workers in quarantine or on trial.
func (k *checker) suspended() int {
	n := 0
	for _, w := range k.core.ordered {
		if w.standing.phase != phaseNormal {
			n++
		}
	}
	return n
}

// checkBindings checks that every cell is bound or listed as degraded, and that the bindings are adjacent, on usable
// workers, and disjoint from each other and from unstoppable work.
func (k *checker) checkBindings() {
	committed := map[string]resource.Resources{}
	claims := map[string]bool{}
	missing, want, have := 0, 0, 0
	for _, a := range k.doc.Accounts {
		for _, g := range a.Guarantees {
			want += g.Count
		}
	}
	for _, cl := range k.core.cells {
		have++
		if cl.workers == nil {
			missing++
			continue
		}
		k.checkCell(cl, committed)
		if cl.claim != nil {
			claims[cl.claim.ID] = true
		}
	}
	for _, d := range k.core.Degraded() {
		missing -= d.Missing
	}
	if have != want || missing != 0 {
		k.addViolation("P1 bindings: %d of %d guarantees have cells, %d cells are unbound without being listed as degraded",
			have, want, missing)
	}
	for _, j := range k.d.live {
		if j.Stoppable() || claims[j.ID] {
			continue
		}
		for _, id := range j.placement {
			committed[id] = committed[id].Add(j.Shape.PerMember)
		}
	}
	for id, sum := range committed {
		if k.usable(id) && !sum.Fits(k.doc.Workers[id].Capacity) {
			k.addViolation("P1 bindings: guarantees and unstoppable work on %s need %v", id, sum)
		}
	}
}

// checkCell checks the binding and claim of one bound cell, and adds its resources to committed, by worker id.
func (k *checker) checkCell(cl *cell, committed map[string]resource.Resources) {
	if len(cl.workers) != cl.shape.Members {
		k.addViolation("P1 bindings: cell of %s has %d of %d members", cl.account.name, len(cl.workers), cl.shape.Members)
	}
	for _, w := range cl.workers {
		if !k.usable(w.id) {
			k.addViolation("P1 bindings: cell of %s on worker %s that is %s", cl.account.name, w.id, k.health[w.id])
		}
		if cl.shape.Adjacency == resource.AdjacencyWorker && w != cl.workers[0] ||
			cl.shape.Adjacency == resource.AdjacencyRack && w.rack != cl.workers[0].rack {
			k.addViolation("P1 bindings: cell of %s is not adjacent", cl.account.name)
		}
		committed[w.id] = committed[w.id].Add(cl.shape.PerMember)
	}
	if cl.claim == nil {
		return
	}
	if j := k.d.jobs[cl.claim.ID]; j.placement != nil && !slices.ContainsFunc(cl.workers, func(w *worker) bool {
		return w.id == j.placement[0]
	}) {
		k.addViolation("P1 bindings: claim %s runs outside the workers of its cell", j.ID)
	}
}

// watchClaim checks that a claim starts within the reclaim bound, provided that its account has no more claims than
// guarantees.
func (k *checker) watchClaim(j *simJob) {
	for _, g := range k.doc.Accounts[j.Account].Guarantees {
		others := 0
		for _, o := range k.d.live {
			if o != j && o.Account == j.Account && o.Shape == g.Shape {
				others++
			}
		}
		if j.Shape != g.Shape || others >= g.Count {
			continue
		}
		bound := time.Duration(k.doc.Policy.ReclaimBoundMS) * time.Millisecond
		k.d.after(bound, func() {
			// A later claim, such as an urgent one, may have taken the guarantee.
			if j.firstStart.IsZero() && !j.cancelRequested && k.placedCount(j.Account, g.Shape) < g.Count {
				k.addViolation("claim %s not started within %s: %s", j.ID, bound, k.core.Why(j.ID, k.d.now))
			}
		})
	}
}

// placedCount returns the number of placed jobs of an account that have the shape.
func (k *checker) placedCount(account string, s resource.Shape) int {
	n := 0
	for _, j := range k.d.live {
		if j.Account == account && j.Shape == s && j.placement != nil {
			n++
		}
	}
	return n
}

// checkGangWaits checks that the gang that has been blocked longest, although unbound capacity and its quota would
// allow it, starts within the bound.
func (k *checker) checkGangWaits() {
	var longestBlocked *simJob
	for _, j := range k.d.live {
		n := j.Shape.Total().Accelerators
		quota := k.doc.Accounts[j.Account].Quota
		if j.placement != nil || j.Shape.Members == 1 || n == 0 || !k.core.fitsUnboundCapacity(j.Shape) ||
			quota > 0 && k.acceleratorsUsed(j.Account)+n > quota {
			delete(k.blockedSince, j.ID)
			continue
		}
		if _, ok := k.blockedSince[j.ID]; !ok {
			k.blockedSince[j.ID] = k.d.now
		}
		if longestBlocked == nil || k.blockedSince[j.ID].Before(k.blockedSince[longestBlocked.ID]) {
			longestBlocked = j
		}
	}
	if longestBlocked != k.longestBlocked {
		k.longestBlocked, k.longestBlockedSince = longestBlocked, k.d.now
	}
	if longestBlocked != nil && k.d.now.Sub(k.longestBlockedSince) > gangWaitBound {
		k.addViolation("gang %s waits longest, since %s: %s",
			longestBlocked.ID, k.longestBlockedSince.Sub(testStart), k.core.Why(longestBlocked.ID, k.d.now))
		k.longestBlockedSince = k.d.now
	}
}
