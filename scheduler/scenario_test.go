package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/resource"
)

// Parameters of the scenarios.
const (
	// scenarioSpan is the virtual time that a scenario covers.
	scenarioSpan = 3 * time.Hour
	// scenarioMaxWait is policy.max_wait_ms, the wait after which a gang gets a reservation.
	scenarioMaxWait = time.Minute
	// maxRunTime is the longest true run time of a job.
	maxRunTime = 5 * time.Minute
)

// scenario drives a core through random faults and bursts drawn from a seed.
type scenario struct {
	*driver
	*checker
	core      *Core
	random    *rand.Rand
	doc       *config.Document
	workerIDs []string
	// faultyWorker holds the ids of the workers on which every attempt fails.
	faultyWorker map[string]bool
	// jobCount is the number of submitted jobs; their ids count from 1.
	jobCount int
	// faultFree leaves out faults and configuration changes. Only then can the checks demand bounds on waits.
	faultFree bool
}

// runScenario runs one seeded scenario and returns its violations with their trace.
func runScenario(t testing.TB, seed uint64, o options) []string {
	t.Helper()
	log := &invariant.Collector{}
	defer invariant.SetRecorder(log.Record)()
	s := newScenario(seed, o)
	s.driver.run(testStart.Add(scenarioSpan))
	for _, v := range log.Violations() {
		s.addViolation("%s", v)
	}
	return s.violations
}

// newScenario returns a scenario with all its events scheduled. Every third seed gives a scenario without faults.
func newScenario(seed uint64, o options) *scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	core := New(testDomain)
	core.options = o
	s := &scenario{core: core, random: r, faultyWorker: map[string]bool{}, faultFree: seed%3 == 0}
	s.driver = newDriver(core)
	s.checker = newChecker(core, s.driver)
	s.checker.faultFree = s.faultFree
	s.checker.isFaultyWorker = func(id string) bool { return s.faultyWorker[id] }
	s.driver.failsOn = s.failingWorker
	s.doc = scenarioDocument(r, 0)
	for id := range s.doc.Workers {
		s.workerIDs = append(s.workerIDs, id)
	}
	slices.Sort(s.workerIDs)
	s.configure()
	for _, id := range s.workerIDs {
		s.reportHealth(id, HealthUp)
	}
	for at := time.Duration(0); at < scenarioSpan; at += time.Duration(1+r.IntN(16000)) * time.Millisecond {
		s.after(at, s.randomEvent)
	}
	s.after(20*time.Minute, s.submitBurst)
	s.after(50*time.Minute, s.submitAndCancelMany)
	if !s.faultFree {
		s.after(30*time.Minute, s.submitFaultyJobs)
		s.after(70*time.Minute, s.breakWorkers)
	}
	return s
}

// scenarioDocument returns a configuration of 16 workers in 4 racks and four accounts with random guarantees.
func scenarioDocument(r *rand.Rand, version uint64) *config.Document {
	doc := newDocument(16, 4, 4, func(int) resource.Resources { return memberResources(8, 32, 64) })
	doc.Version = version
	doc.Policy.FragmentationWeight = float64(r.IntN(5)) / 4
	doc.Policy.MaxWaitMS = scenarioMaxWait.Milliseconds()
	doc.Policy.QuarantinePercent = 13
	doc.Policy.StandardLargeShape = shape(4, 8, resource.AdjacencyRack)
	guarantees := [][]config.Guarantee{
		{{FailureDomain: testDomain, Shape: shape(2, 8, resource.AdjacencyRack), Count: 1 + r.IntN(2)}},
		{{FailureDomain: testDomain, Shape: shape(1, 4, resource.AdjacencyNone), Count: 1 + r.IntN(4)}},
		{{FailureDomain: testDomain, Shape: shape(8, 1, resource.AdjacencyWorker), Count: r.IntN(2)}},
		nil,
	}
	for i, g := range guarantees {
		name := fmt.Sprintf("account-%03d", i)
		doc.Accounts[name] = config.Account{Name: name, Quota: []int{64, 48, 0, 80}[i], Guarantees: g}
	}
	return doc
}

// configure passes the current configuration to the core and the checker.
func (s *scenario) configure() {
	s.timeCall(func() { s.core.SetConfig(s.doc, s.now) })
	s.checker.setConfig(s.doc)
}

// reportHealth reports the health of a worker to the core and the checker.
func (s *scenario) reportHealth(id string, h Health) {
	s.timeCall(func() { s.core.SetWorkerHealth(id, h, s.now) })
	s.checker.setHealth(id, h)
}

// randomEvent submits a job, cancels one or causes a fault, chosen at random.
func (s *scenario) randomEvent() {
	switch x := s.random.IntN(100); {
	case x < 70:
		s.submitJob(s.randomJob())
	case x < 82:
		s.submitJob(s.randomClaim())
	case x < 88:
		s.cancelOne()
	case s.faultFree:
		// All further kinds of events are faults or configuration changes.
	case x < 94:
		s.workerFault()
	case x < 98:
		s.reconfigure()
	default:
		s.rejectStart()
	}
}

// submitJob assigns the next id to a job and submits it. In a scenario without faults it also checks that a claim
// starts within its bound.
func (s *scenario) submitJob(j *simJob) {
	s.jobCount++
	j.ID = fmt.Sprintf("job-%04d", s.jobCount)
	if s.submit(j) && s.faultFree {
		s.watchClaim(j)
	}
}

// failingWorker returns the worker on which an attempt of j fails, if any.
func (s *scenario) failingWorker(j *simJob) (string, bool) {
	for _, id := range j.placement {
		if j.faulty || s.faultyWorker[id] {
			return id, true
		}
	}
	return "", false
}

// randomJob draws a job of random account, shape and kind; it may match a guarantee of the account.
func (s *scenario) randomJob() *simJob {
	r := s.random
	shapes := []resource.Shape{
		shape(1, 1, resource.AdjacencyNone), shape(1, 1, resource.AdjacencyNone), shape(1, 2, resource.AdjacencyNone),
		shape(1, 4, resource.AdjacencyNone), shape(1, 8, resource.AdjacencyNone), shape(1, 0, resource.AdjacencyNone),
		shape(20, 0, resource.AdjacencyNone), shape(4, 2, resource.AdjacencyWorker), shape(12, 1, resource.AdjacencyNone),
		shape(2, 8, resource.AdjacencyRack), shape(4, 8, resource.AdjacencyRack), shape(64, 0, resource.AdjacencyNone),
	}
	j := &simJob{runTime: time.Duration(1+r.IntN(int(maxRunTime/time.Second))) * time.Second}
	j.Account = fmt.Sprintf("account-%03d", r.IntN(4))
	j.Shape = shapes[r.IntN(len(shapes))]
	j.CanCheckpoint = r.IntN(2) == 0
	j.RunOnce = r.IntN(4) == 0
	j.Urgent = r.IntN(10) == 0
	return j
}

// randomClaim draws a job of the guaranteed shape of a random account, or of any shape if the account has no
// guarantee.
func (s *scenario) randomClaim() *simJob {
	j := s.randomJob()
	j.Account = fmt.Sprintf("account-%03d", s.random.IntN(3))
	for _, g := range s.doc.Accounts[j.Account].Guarantees {
		j.Shape = g.Shape
	}
	return j
}

// submitBurst submits many small and some large jobs at once.
func (s *scenario) submitBurst() {
	for range 300 {
		j := s.randomJob()
		if s.random.IntN(10) > 0 {
			j.Shape = shape(1, 1, resource.AdjacencyNone)
		}
		s.submitJob(j)
	}
}

// submitAndCancelMany submits a thousand jobs at once and cancels them.
func (s *scenario) submitAndCancelMany() {
	first := s.jobCount
	for range 1000 {
		s.submitJob(s.randomJob())
	}
	s.plan()
	for i := first + 1; i <= s.jobCount; i++ {
		s.cancel(fmt.Sprintf("job-%04d", i))
	}
}

func (s *scenario) cancelOne() {
	if s.jobCount > 0 {
		s.cancel(fmt.Sprintf("job-%04d", 1+s.random.IntN(s.jobCount)))
	}
}

// cancel cancels a job that has not ended. A waiting job ends at once, a placed one when its attempt does.
func (s *scenario) cancel(id string) {
	j := s.jobs[id]
	if j == nil || j.ended {
		return
	}
	j.cancelRequested = true
	if j.placement == nil {
		j.ended = true
		delete(s.live, id)
	}
	s.timeCall(func() { s.core.Cancel(id, s.now) })
}

// submitFaultyJobs submits a burst of jobs that fail on every worker.
func (s *scenario) submitFaultyJobs() {
	for range 40 {
		j := s.randomJob()
		j.Shape, j.faulty = shape(1, 1, resource.AdjacencyNone), true
		s.submitJob(j)
	}
	// Until this time no healthy worker may be quarantined (checkFailures).
	s.checker.faultyBurstUntil = s.now.Add(10 * time.Minute)
}

// breakWorkers makes one to four workers fail all jobs, which may be more workers than may be quarantined.
func (s *scenario) breakWorkers() {
	for range 1 + s.random.IntN(4) {
		s.faultyWorker[s.workerIDs[s.random.IntN(len(s.workerIDs))]] = true
	}
}

// workerFault makes a worker unreachable or leaving, and restores it after restoreDelay; or it makes the worker
// unreachable, after 30 s gone, and restores it after a further restoreDelay.
func (s *scenario) workerFault() {
	id := s.workerIDs[s.random.IntN(len(s.workerIDs))]
	if s.checker.health[id] != HealthUp {
		return
	}
	restoreDelay := time.Duration(20+s.random.IntN(200)) * time.Second
	switch s.random.IntN(3) {
	case 0:
		s.silent[id] = true
		s.reportHealth(id, HealthUnreachable)
		s.after(restoreDelay, func() { s.silent[id] = false; s.reportHealth(id, HealthUp) })
	case 1:
		s.reportHealth(id, HealthLeaving)
		s.after(restoreDelay, func() { s.reportHealth(id, HealthUp) })
	default:
		s.silent[id] = true
		s.reportHealth(id, HealthUnreachable)
		s.after(30*time.Second, func() { s.loseWorker(id) })
		s.after(30*time.Second+restoreDelay, func() { s.silent[id] = false; s.reportHealth(id, HealthUp) })
	}
}

// loseWorker reports a worker gone. Attempts that also run on other workers are reported as lost first; attempts that
// ran only there are reported half of the time and are otherwise ended by the health report alone.
func (s *scenario) loseWorker(id string) {
	for _, j := range s.placedJobs() {
		lost := Result{Kind: ResultLost, Workers: []string{id}}
		elsewhere := slices.ContainsFunc(j.placement, func(o string) bool { return o != id })
		switch {
		case !slices.Contains(j.placement, id):
		case elsewhere || s.random.IntN(2) == 0:
			s.endAttempt(j, lost)
		default:
			s.recordEnd(j, lost)
		}
	}
	s.reportHealth(id, HealthGone)
}

// placedJobs returns the jobs with an attempt in progress, sorted by id.
func (s *scenario) placedJobs() []*simJob {
	var list []*simJob
	for _, j := range s.live {
		if j.placement != nil {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *simJob) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// reconfigure changes guarantees and weights at random, ends an earlier drain, and drains one worker half of the time.
func (s *scenario) reconfigure() {
	s.doc = scenarioDocument(s.random, s.doc.Version+1)
	s.doc.Drains = map[string]config.Drain{}
	if s.random.IntN(2) == 0 {
		id := s.workerIDs[s.random.IntN(len(s.workerIDs))]
		s.doc.Drains[id] = config.Drain{VM: id}
	}
	s.configure()
}

// rejectStart ends the first attempt that is still starting, as rejected by its first worker.
func (s *scenario) rejectStart() {
	for _, j := range s.placedJobs() {
		if j.runningSince.IsZero() && !j.stopping && s.responsive(j, j.attempt) {
			s.endAttempt(j, Result{Kind: ResultNotStarted, Workers: j.placement[:1]})
			return
		}
	}
}

// TestScenarios guards against violated invariants and broken scheduling rules (checker) under faults, bursts,
// cancellations and configuration changes.
func TestScenarios(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if v := runScenario(t, seed, options{}); len(v) > 0 {
				t.Errorf("%d violations, first: %s", len(v), v[0])
			}
		})
	}
}

// TestMechanismsMatter guards against checks that never fail: with one mechanism disabled, the scenarios must report a
// violation that contains want. A case is named after the mechanism, or after what happens without it.
func TestMechanismsMatter(t *testing.T) {
	cases := map[string]struct {
		// disabled sets the option that disables the mechanism.
		disabled options
		want     string
	}{
		"lending":       {options{lendToUnstoppable: true}, "P1"},
		"rebinding":     {options{noRebinding: true}, "P1"},
		"reclaim":       {options{noReclaim: true}, "not started within"},
		"holding":       {options{ignoreClaimHolds: true}, "not started within"},
		"reservations":  {options{noReservations: true}, "waits"},
		"quota":         {options{noQuota: true}, "quota"},
		"run once":      {options{restartRunOnce: true}, "run once"},
		"unreachable":   {options{placeOnUnreachable: true}, "unreachable"},
		"adjacency":     {options{ignoreAdjacency: true}, "adjacency"},
		"quarantine":    {options{noQuarantine: true}, "faulty worker"},
		"bursts":        {options{noFailureConfirmation: true}, "mistaken"},
		"condemnation":  {options{noPermanentFailure: true}, "condemned"},
		"unlimited":     {options{noQuarantineBound: true}, "quarantine bound"},
		"stop the rest": {options{stopUnstoppable: true}, "unstoppable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				for _, v := range runScenario(t, seed, c.disabled) {
					if strings.Contains(v, c.want) {
						return
					}
				}
			}
			t.Errorf("12 scenarios reported no violation that contains %q", c.want)
		})
	}
}
