//go:build bench

package scheduler

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/resource"
)

// benchSeeds is the number of seeds per profile; the results cover all of them.
const benchSeeds = 4

// benchResult holds the results of one scheduler on one profile.
type benchResult struct {
	name string
	// all, large and ownRunTime are in seconds; ownRunTime is the run time of the largest jobs without any wait.
	all, large *hdrhistogram.Histogram
	// unusable and free are in accelerator-seconds; busy and useful are shares of the capacity, summed over the seeds.
	unusable, free, busy, useful float64
	// scattered is like unusable, but counts only the standard large shape as a use and ignores waiting gangs.
	scattered float64
	// claims is the number of claims, violations that of claims that did not start within the reclaim bound, and
	// unfinished that of jobs that did not end.
	violations, claims, unfinished int
	// decision is the time of the planner's calls from one plan to the next, in nanoseconds.
	decision *hdrhistogram.Histogram
	// tasks is the mean number of placed members, summed over the seeds.
	tasks float64
	stops map[StopReason]int
	// lostTime is in accelerator-seconds.
	lostTime   float64
	ownRunTime *hdrhistogram.Histogram
	// seeds is the number of seeds that were measured.
	seeds float64
}

func newBenchResult(name string) *benchResult {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 1e10, 3) }
	return &benchResult{name: name, all: h(), large: h(), decision: h(), ownRunTime: h(), stops: map[StopReason]int{}}
}

// fragmentation returns the share of the free accelerator-seconds that were unusable.
func (f *benchResult) fragmentation() float64 { return f.unusable / max(f.free, 1) }

// meter integrates the use of the workers over the time in which jobs arrive, which ends at until. total is the number
// of accelerators of all workers.
type meter struct {
	d       *driver
	p       *profile
	f       *benchResult
	workers []resource.Worker
	until   time.Time
	total   int
}

func newMeter(d *driver, p *profile, f *benchResult) *meter {
	m := &meter{d: d, p: p, f: f, until: testStart.Add(p.span)}
	for _, w := range p.doc.Workers {
		m.workers = append(m.workers, w)
		m.total += w.Capacity.Accelerators
	}
	slices.SortFunc(m.workers, func(a, b resource.Worker) int {
		return strings.Compare(a.Rack+a.ID, b.Rack+b.ID)
	})
	return m
}

// capacity returns the accelerator-seconds of the profile.
func (m *meter) capacity() float64 { return float64(m.total) * m.p.span.Seconds() }

// advance adds the use of the workers between two times.
func (m *meter) advance(from, to time.Time) {
	if to.After(m.until) {
		to = m.until
	}
	seconds := to.Sub(from).Seconds()
	if seconds <= 0 {
		return
	}
	free := make([]resource.Resources, len(m.workers))
	freeCount := 0
	for i, w := range m.workers {
		free[i] = w.Capacity.Sub(m.d.used[w.ID])
		freeCount += free[i].Accelerators
	}
	usable, standard := m.usable(free)
	m.f.scattered += float64(freeCount-standard) * seconds
	m.f.free += float64(freeCount) * seconds
	m.f.unusable += float64(freeCount-usable) * seconds
	m.f.busy += float64(m.total-freeCount) * seconds / m.capacity()
	for _, j := range m.d.live {
		m.f.tasks += float64(len(j.placement)) * seconds / m.p.span.Seconds()
	}
}

// usable counts the free accelerators that the standard large shape or a waiting gang within its account's quota can
// use, and those that the standard large shape alone can use.
func (m *meter) usable(free []resource.Resources) (any, standard int) {
	best := make([]int, len(free))
	m.markUsable(m.p.doc.Policy.StandardLargeShape, free, best)
	standard = sum(best)
	shapes := map[resource.Shape]bool{}
	used := map[string]int{}
	for _, j := range m.d.live {
		if j.placement != nil {
			used[j.Account] += j.Shape.Total().Accelerators
		}
	}
	for _, j := range m.d.live {
		n := j.Shape.Total().Accelerators
		if j.placement == nil && !j.ended && n > 1 && used[j.Account]+n <= m.p.doc.Accounts[j.Account].Quota {
			shapes[j.Shape] = true
		}
	}
	for s := range shapes {
		m.markUsable(s, free, best)
	}
	return sum(best), standard
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// markUsable raises best to the number of accelerators of each worker that a placement of the shape can use.
func (m *meter) markUsable(s resource.Shape, free []resource.Resources, best []int) {
	for begin := 0; begin < len(free); {
		end := begin + 1
		for end < len(free) && (s.Adjacency == resource.AdjacencyNone ||
			s.Adjacency == resource.AdjacencyRack && m.workers[end].Rack == m.workers[begin].Rack) {
			end++
		}
		fits := 0
		for i := begin; i < end; i++ {
			fits += fitCount(s.PerMember, free[i])
		}
		for i := begin; i < end && fits >= s.Members; i++ {
			best[i] = max(best[i], fitCount(s.PerMember, free[i])*s.PerMember.Accelerators)
		}
		begin = end
	}
}

// measure runs one scheduler on the arrivals of a profile until all jobs have ended, and adds its results to f.
func measure(f *benchResult, p *profile, planner Planner, seed uint64) {
	f.seeds++
	d := newDriver(planner)
	m := newMeter(d, p, f)
	d.onAdvance = m.advance
	d.onDecision = func(spent time.Duration) { _ = f.decision.RecordValue(spent.Nanoseconds()) }
	watch := watchClaims(d, p, f)
	d.onStop = func(_ *simJob, s Stop) { f.stops[s.Reason]++ }
	horizon := testStart.Add(p.span)
	d.onEnd = func(j *simJob, r Result) { f.useful += usefulWithin(d, j, r, horizon) / m.capacity() }
	for _, j := range p.arrivals(seed) {
		d.after(j.arrivedAt.Sub(testStart), func() {
			if d.submit(j) {
				watch(j)
			}
		})
	}
	d.run(testStart.Add(100 * p.span))
	for _, j := range d.jobs {
		if !j.ended {
			f.unfinished++
			continue
		}
		f.lostTime += j.lostTime.Seconds() * float64(j.Shape.Total().Accelerators)
		seconds := int64(j.endedAt.Sub(j.arrivedAt).Seconds())
		_ = f.all.RecordValue(seconds)
		if j.Shape.Total().Accelerators >= p.large {
			_ = f.large.RecordValue(seconds)
			_ = f.ownRunTime.RecordValue(int64(j.runTime.Seconds()))
		}
	}
}

// usefulWithin returns the accelerator-seconds of an attempt before the horizon whose progress was kept.
func usefulWithin(d *driver, j *simJob, r Result, horizon time.Time) float64 {
	if j.runningSince.IsZero() || r.Kind != ResultCompleted && !r.Checkpointed {
		return 0
	}
	end := d.now
	if end.After(horizon) {
		end = horizon
	}
	return max(0, end.Sub(j.runningSince).Seconds()) * float64(j.Shape.Total().Accelerators)
}

// watchClaims counts claims that did not start within the reclaim bound. A job is a claim if it has the guaranteed
// shape and its account has fewer such jobs in the system than it has guarantees.
func watchClaims(d *driver, p *profile, f *benchResult) func(*simJob) {
	bound := time.Duration(p.doc.Policy.ReclaimBoundMS) * time.Millisecond
	return func(j *simJob) {
		for _, g := range p.doc.Accounts[j.Account].Guarantees {
			others := 0
			for _, o := range d.live {
				if o != j && o.Account == j.Account && o.Shape == g.Shape && !o.ended {
					others++
				}
			}
			if j.Shape != g.Shape || others >= g.Count {
				continue
			}
			f.claims++
			d.after(bound, func() {
				if j.firstStart.IsZero() {
					f.violations++
				}
			})
		}
	}
}

// newLoadedCore returns a core that has the profile's configuration, with all workers healthy.
func newLoadedCore(p *profile) *Core {
	c := New(testDomain)
	c.SetConfig(p.doc, testStart)
	for id := range p.doc.Workers {
		c.SetWorkerHealth(id, HealthUp, testStart)
	}
	return c
}

// plannerKind is a scheduler to measure; make creates it for a profile.
type plannerKind struct {
	name string
	make func(*profile) Planner
}

var plannerKinds = []plannerKind{
	{"core", func(p *profile) Planner { return newLoadedCore(p) }},
	{"first-fit", func(p *profile) Planner { return newBaseline(p.doc, false) }},
	{"quota counting", func(p *profile) Planner { return newBaseline(p.doc, true) }},
}

// measureAll measures all kinds of planners on the same arrivals of every seed.
func measureAll(p *profile, kinds []plannerKind) []*benchResult {
	all := make([]*benchResult, len(kinds))
	for i, k := range kinds {
		all[i] = newBenchResult(k.name)
		for seed := range uint64(benchSeeds) {
			measure(all[i], p, k.make(p), seed+1)
		}
	}
	return all
}

// failOnViolations fails the test on every violated invariant.
func failOnViolations(t *testing.T) {
	t.Helper()
	log := &invariant.Collector{}
	restore := invariant.SetRecorder(log.Record)
	t.Cleanup(func() {
		restore()
		if v := log.Violations(); len(v) > 0 {
			t.Errorf("%d invariant violations, first: %s", len(v), v[0])
		}
	})
}

// benchProfiles returns the deployments of docs/design.md.
func benchProfiles() []*profile {
	return []*profile{
		smallProfile("zariste", 32, 64, 0.25),
		smallProfile("caroni", 128, 512, 0.75),
		plannedProfile(840),
	}
}

// TestBench guards against a core that is worse than required in comparison with the baselines: it measures all on the
// same arrivals and asserts the targets of docs/design.md.
func TestBench(t *testing.T) {
	failOnViolations(t)
	for _, p := range benchProfiles() {
		t.Run(p.name, func(t *testing.T) {
			all := measureAll(p, plannerKinds)
			printResults(p.name, all...)
			assertTargets(t, all[0], all[1], all[2])
		})
	}
}

// TestBenchFragmentationWeight prints the results for several values of policy.fragmentation_weight.
func TestBenchFragmentationWeight(t *testing.T) {
	failOnViolations(t)
	var all []*benchResult
	p := smallProfile("weight", 32, 64, 0)
	for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
		p.doc.Policy.FragmentationWeight = weight
		f := measureAll(p, plannerKinds[:1])[0]
		f.name = fmt.Sprint(weight)
		all = append(all, f)
	}
	printResults("weight", all...)
}

// TestBenchWorkerCounts prints how the decision time grows with the number of workers.
func TestBenchWorkerCounts(t *testing.T) {
	failOnViolations(t)
	var all []*benchResult
	for _, workers := range []int{50, 210, 840, 1680, 3360} {
		p := plannedProfile(workers)
		p.span = 24 * time.Hour
		p.warmUpJobs = p.warmUpJobs * workers / 840
		f := newBenchResult(fmt.Sprint(workers))
		measure(f, p, newLoadedCore(p), 1)
		all = append(all, f)
	}
	printResults("workers", all...)
}

// assertTargets asserts the targets of docs/design.md.
func assertTargets(t *testing.T, core, firstFit, quotaCounting *benchResult) {
	p95 := func(f *benchResult) float64 { return float64(f.large.ValueAtQuantile(95)) }
	if limit := min(p95(firstFit), p95(quotaCounting)) / 2; p95(core) > limit {
		t.Errorf("missed: p95 completion of the largest jobs %.0f s, target %.0f s", p95(core), limit)
	}
	if limit := min(firstFit.fragmentation(), quotaCounting.fragmentation()) / 2; core.fragmentation() > limit {
		t.Errorf("missed: fragmentation %.3f, target %.3f", core.fragmentation(), limit)
	}
	if core.violations > 0 || core.unfinished > 0 {
		t.Errorf("missed: %d claims started late and %d jobs did not end, want none", core.violations, core.unfinished)
	}
	if limit := max(firstFit.useful, quotaCounting.useful); core.useful < limit {
		t.Errorf("missed: utilisation %.4f, target %.4f", core.useful/core.seeds, limit/core.seeds)
	}
	if p99 := core.decision.ValueAtQuantile(99); p99 > time.Millisecond.Nanoseconds() {
		t.Errorf("missed: decision p99 %v, target 1ms", time.Duration(p99))
	}
}

// printResults prints a table with one line for each result, and the stops and losses.
func printResults(title string, all ...*benchResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tp50 s\tp95 s\tp99 s\tlargest p95 s\tfragm.\tfragm. std\tutilis.\tbusy\tviolations/claims\t"+
		"decision p50\tp99\tmax\ttasks\tjobs\t\n", title)
	for _, f := range all {
		n := f.seeds
		ns := func(q float64) time.Duration {
			return time.Duration(f.decision.ValueAtQuantile(q)).Round(time.Microsecond)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.4f\t%.4f\t%d/%d\t%v\t%v\t%v\t%.0f\t%d\t\n", f.name,
			f.all.ValueAtQuantile(50), f.all.ValueAtQuantile(95), f.all.ValueAtQuantile(99), f.large.ValueAtQuantile(95),
			f.fragmentation(), f.scattered/max(f.free, 1), f.useful/n, f.busy/n, f.violations, f.claims,
			ns(50), ns(99), ns(100), f.tasks/n, f.all.TotalCount())
	}
	_ = w.Flush()
	for _, f := range all {
		fmt.Printf("  %s: stops %v, lost %.0f accelerator-hours, largest jobs' own run time p95 %d s\n",
			f.name, f.stops, f.lostTime/3600, f.ownRunTime.ValueAtQuantile(95))
	}
}
