package scheduler

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/resource"
)

// benchSeed is the seed of the arrivals that the targets are asserted on.
const benchSeed = 1

// figures are the results of one scheduler on one profile.
type figures struct {
	name                          string
	all, large                    *hdrhistogram.Histogram
	unusable, free, busy, useful  float64
	violations, claims, unstarted int
	decision                      *hdrhistogram.Histogram
	tasks                         float64
	stops                         map[StopReason]int
	wasted                        float64
	floor                         *hdrhistogram.Histogram
}

func (f *figures) fragmentation() float64 { return f.unusable / max(f.free, 1) }

// meter integrates the state of the workers over the time in which jobs arrive.
type meter struct {
	d       *driver
	p       *profile
	f       *figures
	workers []resource.Worker
	until   time.Time
	total   int
}

func newMeter(d *driver, p *profile, f *figures) *meter {
	m := &meter{d: d, p: p, f: f, until: testStart.Add(p.span)}
	for _, w := range p.doc.Workers {
		m.workers = append(m.workers, w)
		m.total += w.Capacity.Accelerators
	}
	slices.SortFunc(m.workers, func(a, b resource.Worker) int {
		return compareText(a.Rack+a.ID, b.Rack+b.ID)
	})
	return m
}

// advance adds the state that held between two times.
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
	usable := m.usable(free)
	m.f.free += float64(freeCount) * seconds
	m.f.unusable += float64(freeCount-usable) * seconds
	m.f.busy += float64(m.total-freeCount) * seconds
	for _, t := range m.d.tasks {
		m.f.tasks += float64(len(t.placement)) * seconds
	}
}

// usable counts the free accelerators that a waiting gang within its account's quota or the standard large shape can use.
func (m *meter) usable(free []resource.Resources) int {
	best := make([]int, len(free))
	shapes := map[resource.Shape]bool{m.p.doc.Policy.StandardLargeShape: true}
	used := map[string]int{}
	for _, t := range m.d.tasks {
		if t.placement != nil {
			used[t.Account] += t.Shape.Total().Accelerators
		}
	}
	for _, t := range m.d.tasks {
		n := t.Shape.Total().Accelerators
		if t.placement == nil && !t.ended && n > 1 && used[t.Account]+n <= m.p.doc.Accounts[t.Account].Quota {
			shapes[t.Shape] = true
		}
	}
	for s := range shapes {
		m.mark(s, free, best)
	}
	sum := 0
	for _, n := range best {
		sum += n
	}
	return sum
}

// mark raises best to the accelerators of each worker that a placement of the shape can use.
func (m *meter) mark(s resource.Shape, free []resource.Resources, best []int) {
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

// measure runs one scheduler on the arrivals of a profile until all jobs have ended.
func measure(name string, p *profile, planner Planner) *figures {
	f := &figures{name: name}
	f.all, f.large = hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
	f.decision = hdrhistogram.New(1, 1e10, 3)
	d := newDriver(planner, benchSeed)
	m := newMeter(d, p, f)
	d.onAdvance = m.advance
	d.decided = func(spent time.Duration) { _ = f.decision.RecordValue(spent.Nanoseconds()) }
	watch := watchClaims(d, p, f)
	f.stops = map[StopReason]int{}
	f.floor = hdrhistogram.New(1, 1e9, 3)
	d.onStop = func(_ *task, s Stop) { f.stops[s.Reason]++ }
	horizon := testStart.Add(p.span)
	d.onEnd = func(t *task, r Result) { f.useful += usefulWithin(d, t, r, horizon) }
	for _, t := range p.arrivals(benchSeed) {
		d.after(t.arrived.Sub(testStart), func() {
			if d.submit(t) {
				watch(t)
			}
		})
	}
	d.run(testStart.Add(100 * p.span))
	for _, t := range d.tasks {
		if !t.ended {
			f.unstarted++
			continue
		}
		f.wasted += t.wasted.Seconds() * float64(t.Shape.Total().Accelerators)
		seconds := int64(t.endAt.Sub(t.arrived).Seconds())
		_ = f.all.RecordValue(seconds)
		if t.Shape.Total().Accelerators >= p.large {
			_ = f.large.RecordValue(seconds)
			_ = f.floor.RecordValue(int64(t.length.Seconds()))
		}
	}
	capacity := float64(m.total) * p.span.Seconds()
	f.busy, f.useful, f.tasks = f.busy/capacity, f.useful/capacity, f.tasks/p.span.Seconds()
	return f
}

// usefulWithin returns the accelerator time of an attempt before the horizon whose progress was kept.
func usefulWithin(d *driver, t *task, r Result, horizon time.Time) float64 {
	if t.ran.IsZero() || r.Kind != ResultCompleted && !r.Checkpointed {
		return 0
	}
	end := d.now
	if end.After(horizon) {
		end = horizon
	}
	return max(0, end.Sub(t.ran).Seconds()) * float64(t.Shape.Total().Accelerators)
}

// watchClaims counts claims that did not start within the reclaim bound. A job is a claim if it has the guaranteed
// shape and its account has fewer such jobs in the system than it has guarantees.
func watchClaims(d *driver, p *profile, f *figures) func(*task) {
	bound := time.Duration(p.doc.Policy.ReclaimBoundMS) * time.Millisecond
	return func(t *task) {
		for _, g := range p.doc.Accounts[t.Account].Guarantees {
			others := 0
			for _, o := range d.tasks {
				if o != t && o.Account == t.Account && o.Shape == g.Shape && !o.ended {
					others++
				}
			}
			if t.Shape != g.Shape || others >= g.Count {
				continue
			}
			f.claims++
			d.after(bound, func() {
				if t.firstStart.IsZero() {
					f.violations++
				}
			})
		}
	}
}

// newLoadedCore returns a core with the profile's configuration and all workers healthy.
func newLoadedCore(p *profile) *Core {
	c := New(testDomain)
	c.SetConfig(p.doc, testStart)
	for id := range p.doc.Workers {
		c.SetWorkerHealth(id, HealthUp, testStart)
	}
	return c
}

// TestBench compares the core with the baselines on the same arrivals and asserts the targets of docs/design.md.
func TestBench(t *testing.T) {
	if flag.Lookup("test.bench").Value.String() == "" {
		t.Skip("run by make bench")
	}
	log := &invariant.Log{}
	defer invariant.SetRecorder(log.Record)()
	profiles := []*profile{
		smallProfile("zariste", 32, 64, 0.25),
		smallProfile("caroni", 128, 512, 0.75),
		plannedProfile(840),
	}
	for _, p := range profiles {
		t.Run(p.name, func(t *testing.T) {
			core := measure("core", p, newLoadedCore(p))
			first := measure("first-fit", p, newBaseline(p.doc, false))
			count := measure("quota counting", p, newBaseline(p.doc, true))
			printFigures(p, core, first, count)
			assertTargets(t, core, first, count)
		})
	}
	if v := log.Violations(); len(v) > 0 {
		t.Errorf("%d violations, first: %s", len(v), v[0])
	}
}

// assertTargets asserts the targets as docs/design.md states them.
func assertTargets(t *testing.T, core, first, count *figures) {
	p95 := func(f *figures) float64 { return float64(f.large.ValueAtQuantile(95)) }
	if limit := min(p95(first), p95(count)) / 2; p95(core) > limit {
		t.Errorf("missed: p95 completion of the largest jobs %.0f s, target %.0f s", p95(core), limit)
	}
	if limit := min(first.fragmentation(), count.fragmentation()) / 2; core.fragmentation() > limit {
		t.Errorf("missed: fragmentation %.3f, target %.3f", core.fragmentation(), limit)
	}
	if core.violations > 0 || core.unstarted > 0 {
		t.Errorf("missed: %d guarantee violations, %d jobs without an end", core.violations, core.unstarted)
	}
	if limit := max(first.useful, count.useful); core.useful < limit {
		t.Errorf("missed: utilisation %.4f, target %.4f", core.useful, limit)
	}
	if p99 := core.decision.ValueAtQuantile(99); p99 > time.Millisecond.Nanoseconds() {
		t.Errorf("missed: decision p99 %v, target 1ms", time.Duration(p99))
	}
}

func printFigures(p *profile, all ...*figures) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tp50 s\tp95 s\tp99 s\tlargest p95 s\tfragmentation\tutilisation\tbusy\tviolations/claims\tdecision p99\tmax\ttasks\tjobs\t\n", p.name)
	for _, f := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.4f\t%.4f\t%d/%d\t%v\t%v\t%.0f\t%d\t\n", f.name,
			f.all.ValueAtQuantile(50), f.all.ValueAtQuantile(95), f.all.ValueAtQuantile(99), f.large.ValueAtQuantile(95),
			f.fragmentation(), f.useful, f.busy, f.violations, f.claims,
			time.Duration(f.decision.ValueAtQuantile(99)), time.Duration(f.decision.Max()), f.tasks, f.all.TotalCount())
	}
	_ = w.Flush()
	for _, f := range all {
		fmt.Printf("  %s: stops %v, lost %.0f accelerator-hours, largest jobs' own run time p95 %d s\n", f.name, f.stops, f.wasted/3600, f.floor.ValueAtQuantile(95))
	}
}
