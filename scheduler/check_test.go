package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// The bounds of the checks, from the rules and not from measurements.
const (
	// gangWaitBound is twice the sum of the wait for a reservation (1), its longest opening (4) and the longest run of
	// unstoppable work on it (5), in max_wait_ms: a gang may first wait for the room of earlier reservations.
	gangWaitBound = 20 * scenarioMaxWait
	// badAttempts is the number of failed attempts after which a job must be condemned.
	badAttempts = 8
	// quarantineWithin bounds the time from the first failure on a bad worker to its quarantine: a failed job waits up to
	// maxRetryDelay, finds a place elsewhere when others end (longestRun), and runs there for confirmTime. One more
	// minute is for the next failure, which is when the worker is judged.
	quarantineWithin = maxRetryDelay + longestRun + confirmTime + time.Minute
)

// checker verifies plans with its own account of workers, jobs and configuration.
type checker struct {
	core   *Core
	d      *driver
	doc    *config.Document
	health map[string]Health
	// blocked holds since when a gang waits although unbound capacity and quota would hold it.
	blocked map[string]time.Time
	// oldest is the gang that is blocked longest, oldestSince when it became that.
	oldest      *task
	oldestSince time.Time
	failed      map[string]int
	// failing holds since when a bad worker fails jobs without being in quarantine.
	failing       map[string]time.Time
	badBurstUntil time.Time
	broken        func(string) bool
	calm          bool
	trace         []string
	violations    []string
}

func newChecker(core *Core, d *driver) *checker {
	k := &checker{
		core: core, d: d, health: map[string]Health{}, blocked: map[string]time.Time{},
		failed: map[string]int{}, failing: map[string]time.Time{},
	}
	d.onStart, d.onStop, d.onPlan, d.onEnd = k.started, k.stopped, k.planned, k.finished
	return k
}

// violate records a violation with the latest events.
func (k *checker) violate(format string, args ...any) {
	text := fmt.Sprintf("%s: %s\n", k.d.now.Sub(testStart), fmt.Sprintf(format, args...))
	for _, line := range k.trace {
		text += "  " + line + "\n"
	}
	k.violations = append(k.violations, text)
}

func (k *checker) note(format string, args ...any) {
	k.trace = append(k.trace, fmt.Sprintf("%s ", k.d.now.Sub(testStart))+fmt.Sprintf(format, args...))
	if len(k.trace) > 30 {
		k.trace = k.trace[1:]
	}
}

func (k *checker) configured(doc *config.Document) {
	k.doc = doc
	k.note("configuration %d, drains %v", doc.Version, doc.Drains)
}

func (k *checker) reported(id string, h Health) {
	k.health[id] = h
	k.note("worker %s %s", id, h)
}

func (k *checker) usable(id string) bool {
	_, drained := k.doc.Drains[id]
	return k.health[id] == HealthUp && !drained
}

// started checks one start before it is carried out.
func (k *checker) started(t *task, s Start) {
	k.note("start %s attempt %d on %v", s.Job.ID, s.Attempt, s.Placement)
	if t.ended || t.placement != nil {
		k.violate("job %s started although it ended or runs", t.ID)
	}
	if len(s.Placement) != t.Shape.Members {
		k.violate("gang %s of %d started with %d members", t.ID, t.Shape.Members, len(s.Placement))
	}
	if t.RunOnce && !t.mayRunAgain {
		k.violate("run once job %s started again", t.ID)
	}
	after := map[string]resource.Resources{}
	for _, id := range s.Placement {
		if !k.usable(id) {
			k.violate("job %s started on %s worker %s", t.ID, k.health[id], id)
		}
		first := s.Placement[0]
		if t.Shape.Adjacency == resource.AdjacencyWorker && id != first ||
			t.Shape.Adjacency == resource.AdjacencyRack && k.doc.Workers[id].Rack != k.doc.Workers[first].Rack {
			k.violate("adjacency of %s is broken by %v", t.ID, s.Placement)
		}
		after[id] = after[id].Add(t.Shape.PerMember)
	}
	for id, need := range after {
		if used := k.d.used[id].Add(need); !used.Fits(k.doc.Workers[id].Capacity) {
			k.violate("worker %s over capacity with %v", id, used)
		}
	}
	k.checkQuota(t)
}

func (k *checker) accelerators(account string) int {
	n := 0
	for _, t := range k.d.live {
		if t.Account == account && t.placement != nil {
			n += t.Shape.Total().Accelerators
		}
	}
	return n
}

func (k *checker) checkQuota(t *task) {
	quota := k.doc.Accounts[t.Account].Quota
	n := t.Shape.Total().Accelerators
	if used := k.accelerators(t.Account); quota > 0 && n > 0 && used+n > quota {
		k.violate("quota of %s: %d of %d accelerators used, %d started", t.Account, used, quota, n)
	}
}

func (k *checker) stopped(t *task, s Stop) {
	k.note("stop %s: %s", t.ID, s.Reason)
	if !t.Stoppable() && s.Reason != StopCancelled && s.Reason != StopLost {
		k.violate("unstoppable job %s stopped for %s", t.ID, s.Reason)
	}
}

func (k *checker) finished(t *task, r Result) {
	k.note("end %s %s %v", t.ID, r.Kind, r.Workers)
	if r.Kind != ResultFailed {
		return
	}
	k.failed[t.ID]++
	for _, id := range r.Workers {
		if !k.broken(id) || (k.suspended()+1)*100 > k.doc.Policy.QuarantinePercent*len(k.doc.Workers) {
			delete(k.failing, id)
			continue
		}
		if _, ok := k.failing[id]; !ok {
			k.failing[id] = k.d.now
		}
		if k.d.now.Sub(k.failing[id]) > quarantineWithin {
			k.violate("bad worker %s fails since %s", id, k.failing[id].Sub(testStart))
			delete(k.failing, id)
		}
	}
}

// planned checks the state after every plan.
func (k *checker) planned(p Plan) {
	for _, s := range p.Condemned {
		if !k.d.tasks[s.Job].bad {
			k.violate("good job %s condemned: %s", s.Job, s.Detail)
		}
	}
	k.checkConduct()
	k.checkWitness()
	if k.calm {
		k.checkWaits()
	}
}

func (k *checker) checkConduct() {
	for id, n := range k.failed {
		if n == badAttempts+1 {
			k.violate("job %s not condemned after %d failures", id, n)
			k.failed[id]++
		}
	}
	for _, w := range k.core.ordered {
		if w.standing.phase != phaseTrusted {
			delete(k.failing, w.id)
		}
		if w.standing.phase != phaseTrusted && !k.broken(w.id) && k.d.now.Before(k.badBurstUntil) {
			k.violate("healthy worker %s mistaken for a bad one", w.id)
		}
	}
	if out := k.suspended(); out*100 > k.doc.Policy.QuarantinePercent*len(k.doc.Workers) {
		k.violate("quarantine bound: %d of %d workers out", out, len(k.doc.Workers))
	}
}

// suspended counts the workers in quarantine or on trial.
func (k *checker) suspended() int {
	n := 0
	for _, w := range k.core.ordered {
		if w.standing.phase != phaseTrusted {
			n++
		}
	}
	return n
}

// checkWitness verifies the bindings: complete or listed as degraded, adjacent, on healthy workers, and disjoint from
// each other and from unstoppable work.
func (k *checker) checkWitness() {
	promised := map[string]resource.Resources{}
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
		k.checkCell(cl, promised)
		if cl.claim != nil {
			claims[cl.claim.ID] = true
		}
	}
	for _, d := range k.core.Degraded() {
		missing -= d.Missing
	}
	if have != want || missing != 0 {
		k.violate("P1 witness: %d of %d guarantees have cells, %d are missing without being listed", have, want, missing)
	}
	for _, t := range k.d.live {
		if t.Stoppable() || claims[t.ID] {
			continue
		}
		for _, id := range t.placement {
			promised[id] = promised[id].Add(t.Shape.PerMember)
		}
	}
	for id, sum := range promised {
		if k.usable(id) && !sum.Fits(k.doc.Workers[id].Capacity) {
			k.violate("P1 witness: guarantees and unstoppable work on %s need %v", id, sum)
		}
	}
}

func (k *checker) checkCell(cl *cell, promised map[string]resource.Resources) {
	if len(cl.workers) != cl.shape.Members {
		k.violate("P1 witness: cell of %s has %d of %d members", cl.account.name, len(cl.workers), cl.shape.Members)
	}
	for _, w := range cl.workers {
		if !k.usable(w.id) {
			k.violate("P1 witness: cell of %s on worker %s that is %s", cl.account.name, w.id, k.health[w.id])
		}
		if cl.shape.Adjacency == resource.AdjacencyWorker && w != cl.workers[0] ||
			cl.shape.Adjacency == resource.AdjacencyRack && w.rack != cl.workers[0].rack {
			k.violate("P1 witness: cell of %s is not adjacent", cl.account.name)
		}
		promised[w.id] = promised[w.id].Add(cl.shape.PerMember)
	}
	if cl.claim == nil {
		return
	}
	if t := k.d.tasks[cl.claim.ID]; t.placement != nil && !slices.ContainsFunc(cl.workers, func(w *worker) bool {
		return w.id == t.placement[0]
	}) {
		k.violate("P1 witness: claim %s runs outside its cell", t.ID)
	}
}

// watchClaim checks that a claim starts within the reclaim bound if its account claims no more than it has.
func (k *checker) watchClaim(t *task) {
	for _, g := range k.doc.Accounts[t.Account].Guarantees {
		others := 0
		for _, o := range k.d.live {
			if o != t && o.Account == t.Account && o.Shape == g.Shape {
				others++
			}
		}
		if t.Shape != g.Shape || others >= g.Count {
			continue
		}
		bound := time.Duration(k.doc.Policy.ReclaimBoundMS) * time.Millisecond
		k.d.after(bound, func() {
			// Another claim that arrived meanwhile, such as an urgent one, may have taken the guarantee.
			if t.firstStart.IsZero() && !t.cancelled && k.placed(t.Account, g.Shape) < g.Count {
				k.violate("claim %s not started within %s: %s", t.ID, bound, k.core.Why(t.ID, k.d.now))
			}
		})
	}
}

// placed counts the placed tasks of one shape of an account.
func (k *checker) placed(account string, s resource.Shape) int {
	n := 0
	for _, t := range k.d.live {
		if t.Account == account && t.Shape == s && t.placement != nil {
			n++
		}
	}
	return n
}

// checkWaits checks that the gang that waits longest, while unbound capacity and its quota would hold it, gets its turn
// within the bound.
func (k *checker) checkWaits() {
	var oldest *task
	for _, t := range k.d.live {
		n := t.Shape.Total().Accelerators
		quota := k.doc.Accounts[t.Account].Quota
		if t.placement != nil || t.Shape.Members == 1 || n == 0 || !k.core.fitsUnboundCapacity(t.Shape) ||
			quota > 0 && k.accelerators(t.Account)+n > quota {
			delete(k.blocked, t.ID)
			continue
		}
		if _, ok := k.blocked[t.ID]; !ok {
			k.blocked[t.ID] = k.d.now
		}
		if oldest == nil || k.blocked[t.ID].Before(k.blocked[oldest.ID]) {
			oldest = t
		}
	}
	if oldest != k.oldest {
		k.oldest, k.oldestSince = oldest, k.d.now
	}
	if oldest != nil && k.d.now.Sub(k.oldestSince) > gangWaitBound {
		k.violate("gang %s waits first since %s: %s", oldest.ID, k.oldestSince.Sub(testStart), k.core.Why(oldest.ID, k.d.now))
		k.oldestSince = k.d.now
	}
}
