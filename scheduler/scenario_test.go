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

// The scenario's sizes.
const (
	scenarioSpan    = 3 * time.Hour
	scenarioMaxWait = time.Minute
	// longestRun bounds the true run time of small jobs.
	longestRun = 5 * time.Minute
)

// scenario drives a core through faults and bursts drawn from a seed.
type scenario struct {
	*driver
	*checker
	core   *Core
	random *rand.Rand
	doc    *config.Document
	ids    []string
	broken map[string]bool
	number int
	// calm leaves out faults, so that waits are bounded by the core alone.
	calm bool
}

// runScenario runs one seeded scenario and returns its violations with their trace.
func runScenario(t testing.TB, seed uint64, o options) []string {
	t.Helper()
	log := &invariant.Log{}
	defer invariant.SetRecorder(log.Record)()
	s := newScenario(seed, o)
	s.driver.run(testStart.Add(scenarioSpan))
	for _, v := range log.Violations() {
		s.violate("%s", v)
	}
	return s.violations
}

func newScenario(seed uint64, o options) *scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	core := New(testDomain)
	core.options = o
	s := &scenario{core: core, random: r, broken: map[string]bool{}, calm: seed%3 == 0}
	s.driver = newDriver(core)
	s.checker = newChecker(core, s.driver)
	s.checker.calm = s.calm
	s.checker.broken = func(id string) bool { return s.broken[id] }
	s.driver.fails = s.fails
	s.doc = scenarioDocument(r, 0)
	for id := range s.doc.Workers {
		s.ids = append(s.ids, id)
	}
	slices.Sort(s.ids)
	s.configure()
	for _, id := range s.ids {
		s.health(id, HealthUp)
	}
	for at := time.Duration(0); at < scenarioSpan; at += time.Duration(1+r.IntN(16000)) * time.Millisecond {
		s.after(at, s.step)
	}
	s.after(20*time.Minute, s.burst)
	s.after(50*time.Minute, s.cancelWave)
	if !s.calm {
		s.after(30*time.Minute, s.badJobs)
		s.after(70*time.Minute, s.badWorkers)
	}
	return s
}

// scenarioDocument returns 16 workers in 4 racks and four accounts, with guarantees that change with the version.
func scenarioDocument(r *rand.Rand, version uint64) *config.Document {
	doc := document(16, 4, 4, func(int) resource.Resources { return member(8, 32, 64) })
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

func (s *scenario) configure() {
	s.call(func() { s.core.SetConfig(s.doc, s.now) })
	s.checker.configured(s.doc)
}

func (s *scenario) health(id string, h Health) {
	s.call(func() { s.core.SetWorkerHealth(id, h, s.now) })
	s.checker.reported(id, h)
}

// step makes one random event.
func (s *scenario) step() {
	switch x := s.random.IntN(100); {
	case x < 70:
		s.arrive(s.job())
	case x < 82:
		s.arrive(s.claim())
	case x < 88:
		s.cancelOne()
	case s.calm:
	case x < 94:
		s.fault()
	case x < 98:
		s.reconfigure()
	default:
		s.loseStart()
	}
}

// arrive submits a task that fails where it must.
func (s *scenario) arrive(t *task) {
	s.number++
	t.ID = fmt.Sprintf("job-%04d", s.number)
	if s.submit(t) && s.calm {
		s.watchClaim(t)
	}
}

// fails names the worker on which an attempt of t fails.
func (s *scenario) fails(t *task) (string, bool) {
	for _, id := range t.placement {
		if t.bad || s.broken[id] {
			return id, true
		}
	}
	return "", false
}

// job draws an ordinary job of any kind.
func (s *scenario) job() *task {
	r := s.random
	shapes := []resource.Shape{
		shape(1, 1, resource.AdjacencyNone), shape(1, 1, resource.AdjacencyNone), shape(1, 2, resource.AdjacencyNone),
		shape(1, 4, resource.AdjacencyNone), shape(1, 8, resource.AdjacencyNone), shape(1, 0, resource.AdjacencyNone),
		shape(20, 0, resource.AdjacencyNone), shape(4, 2, resource.AdjacencyWorker), shape(12, 1, resource.AdjacencyNone),
		shape(2, 8, resource.AdjacencyRack), shape(4, 8, resource.AdjacencyRack), shape(64, 0, resource.AdjacencyNone),
	}
	t := &task{length: time.Duration(1+r.IntN(int(longestRun/time.Second))) * time.Second}
	t.Account = fmt.Sprintf("account-%03d", r.IntN(4))
	t.Shape = shapes[r.IntN(len(shapes))]
	t.CanCheckpoint = r.IntN(2) == 0
	t.RunOnce = r.IntN(4) == 0
	t.Urgent = r.IntN(10) == 0
	return t
}

// claim draws a job of a guaranteed shape of its account.
func (s *scenario) claim() *task {
	t := s.job()
	t.Account = fmt.Sprintf("account-%03d", s.random.IntN(3))
	for _, g := range s.doc.Accounts[t.Account].Guarantees {
		t.Shape = g.Shape
	}
	return t
}

// burst submits many small and some large jobs at once.
func (s *scenario) burst() {
	for range 300 {
		t := s.job()
		if s.random.IntN(10) > 0 {
			t.Shape = shape(1, 1, resource.AdjacencyNone)
		}
		s.arrive(t)
	}
}

// cancelWave submits and cancels a thousand jobs.
func (s *scenario) cancelWave() {
	first := s.number
	for range 1000 {
		s.arrive(s.job())
	}
	s.plan()
	for i := first + 1; i <= s.number; i++ {
		s.cancel(fmt.Sprintf("job-%04d", i))
	}
}

func (s *scenario) cancelOne() {
	if s.number > 0 {
		s.cancel(fmt.Sprintf("job-%04d", 1+s.random.IntN(s.number)))
	}
}

func (s *scenario) cancel(id string) {
	t := s.tasks[id]
	if t == nil || t.ended {
		return
	}
	t.cancelled = true
	if t.placement == nil {
		t.ended = true
		delete(s.live, id)
	}
	s.call(func() { s.core.Cancel(id, s.now) })
}

// badJobs submits a burst of jobs that fail wherever they run.
func (s *scenario) badJobs() {
	for range 40 {
		t := s.job()
		t.Shape, t.bad = shape(1, 1, resource.AdjacencyNone), true
		s.arrive(t)
	}
	s.checker.badBurstUntil = s.now.Add(10 * time.Minute)
}

// badWorkers lets one to four workers fail all they start, which may be more than the quarantine may hold.
func (s *scenario) badWorkers() {
	for range 1 + s.random.IntN(4) {
		s.broken[s.ids[s.random.IntN(len(s.ids))]] = true
	}
}

// fault makes a worker unreachable, leaving or gone, and brings it back later.
func (s *scenario) fault() {
	id := s.ids[s.random.IntN(len(s.ids))]
	if s.checker.health[id] != HealthUp {
		return
	}
	back := time.Duration(20+s.random.IntN(200)) * time.Second
	switch s.random.IntN(3) {
	case 0:
		s.quiet[id] = true
		s.health(id, HealthUnreachable)
		s.after(back, func() { s.quiet[id] = false; s.health(id, HealthUp) })
	case 1:
		s.health(id, HealthLeaving)
		s.after(back, func() { s.health(id, HealthUp) })
	default:
		s.quiet[id] = true
		s.health(id, HealthUnreachable)
		s.after(30*time.Second, func() { s.die(id) })
		s.after(30*time.Second+back, func() { s.quiet[id] = false; s.health(id, HealthUp) })
	}
}

// die reports a worker gone. Gangs that lost a member end on their other workers as well; attempts that ran nowhere else
// end by the report of the worker alone, half of the time.
func (s *scenario) die(id string) {
	for _, t := range s.placedTasks() {
		lost := Result{Kind: ResultLost, Workers: []string{id}}
		elsewhere := slices.ContainsFunc(t.placement, func(o string) bool { return o != id })
		switch {
		case !slices.Contains(t.placement, id):
		case elsewhere || s.random.IntN(2) == 0:
			s.end(t, lost)
		default:
			s.settle(t, lost)
		}
	}
	s.health(id, HealthGone)
}

// placedTasks lists the tasks with an attempt, by id.
func (s *scenario) placedTasks() []*task {
	var list []*task
	for _, t := range s.live {
		if t.placement != nil {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// reconfigure changes guarantees and weight, and drains or undrains a worker.
func (s *scenario) reconfigure() {
	s.doc = scenarioDocument(s.random, s.doc.Version+1)
	s.doc.Drains = map[string]config.Drain{}
	if s.random.IntN(2) == 0 {
		id := s.ids[s.random.IntN(len(s.ids))]
		s.doc.Drains[id] = config.Drain{VM: id}
	}
	s.configure()
}

// loseStart ends a starting attempt as refused by its first worker.
func (s *scenario) loseStart() {
	for _, t := range s.placedTasks() {
		if t.ran.IsZero() && !t.stopping && s.present(t, t.attempt) {
			s.end(t, Result{Kind: ResultNotStarted, Workers: t.placement[:1]})
			return
		}
	}
}

// TestScenarios guards against violations under faults, bursts and cancellations.
func TestScenarios(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if v := runScenario(t, seed, options{}); len(v) > 0 {
				t.Errorf("%d violations, first: %s", len(v), v[0])
			}
		})
	}
}

// TestMechanismsMatter guards against vacuous checks: without a mechanism, the scenarios must report violations.
func TestMechanismsMatter(t *testing.T) {
	cases := map[string]struct {
		without options
		want    string
	}{
		"lending":       {options{lendToUnstoppable: true}, "P1"},
		"rebinding":     {options{noRebinding: true}, "P1"},
		"reclaim":       {options{noReclaim: true}, "claim"},
		"holding":       {options{ignoreHeld: true}, "claim"},
		"reservations":  {options{noReservations: true}, "waits"},
		"quota":         {options{noQuota: true}, "quota"},
		"run once":      {options{restartRunOnce: true}, "run once"},
		"unreachable":   {options{placeOnUnreachable: true}, "unreachable"},
		"adjacency":     {options{ignoreAdjacency: true}, "adjacency"},
		"quarantine":    {options{noQuarantine: true}, "bad worker"},
		"bursts":        {options{noFailureConfirmation: true}, "mistaken"},
		"condemnation":  {options{noPermanentFailure: true}, "condemned"},
		"unlimited":     {options{noQuarantineBound: true}, "quarantine bound"},
		"stop the rest": {options{stopUnstoppable: true}, "unstoppable"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				for _, v := range runScenario(t, seed, c.without) {
					if strings.Contains(v, c.want) {
						return
					}
				}
			}
			t.Errorf("no violation with %q in 12 scenarios", c.want)
		})
	}
}
