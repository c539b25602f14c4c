package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

const testDomain = "fd-a"

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture drives a core step by step, in virtual time.
type fixture struct {
	t    *testing.T
	core *Core
	doc  *config.Document
	now  time.Time
}

// newFixture returns a core with n healthy workers of 8 accelerators, 4 to a rack, and accounts a and b. change, if not
// nil, modifies the configuration before use. The test fails at its end if an invariant was violated.
func newFixture(t *testing.T, n int, change func(*config.Document)) *fixture {
	t.Helper()
	doc := &config.Document{
		Workers:  map[string]resource.Worker{},
		Accounts: map[string]config.Account{"a": {Name: "a"}, "b": {Name: "b"}},
		Policy: config.Policy{
			FragmentationWeight: 0.5, ReclaimBoundMS: 10_000, MaxWaitMS: 60_000, QuarantinePercent: 25,
			StandardLargeShape: shape(4, 8, resource.AdjacencyRack),
		},
	}
	for i := range n {
		id := fmt.Sprintf("w-%02d", i)
		doc.Workers[id] = resource.Worker{
			ID: id, FailureDomain: testDomain, Rack: fmt.Sprintf("r-%d", i/4),
			Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 64_000},
		}
	}
	if change != nil {
		change(doc)
	}
	f := &fixture{t: t, core: New(testDomain), doc: doc, now: testStart}
	f.core.SetConfig(doc, f.now)
	for id := range doc.Workers {
		f.core.SetWorkerHealth(id, HealthUp, f.now)
	}
	log := &invariant.Collector{}
	restore := invariant.SetRecorder(log.Record)
	t.Cleanup(func() {
		restore()
		for _, v := range log.Violations() {
			t.Errorf("violation: %s", v)
		}
	})
	return f
}

// shape returns a shape whose members have the given number of accelerators, and 1 core and 1 GB for each of them.
func shape(members, accelerators int, adjacency resource.Adjacency) resource.Shape {
	n := int64(max(accelerators, 1))
	return resource.Shape{
		Members: members, Adjacency: adjacency,
		PerMember: resource.Resources{Accelerators: accelerators, MilliCPU: 1000 * n, MemoryMB: 1024 * n},
	}
}

// withGuarantee gives an account n copies of a shape.
func withGuarantee(account string, n int, s resource.Shape) func(*config.Document) {
	return func(doc *config.Document) {
		a := doc.Accounts[account]
		a.Guarantees = append(a.Guarantees, config.Guarantee{FailureDomain: testDomain, Shape: s, Count: n})
		doc.Accounts[account] = a
	}
}

// jobOption modifies a job before its submission.
type jobOption func(*jobs.Job)

func canCheckpoint(j *jobs.Job) { j.CanCheckpoint = true }
func runOnce(j *jobs.Job)       { j.RunOnce = true }
func urgent(j *jobs.Job)        { j.Urgent = true }

// submit submits a job and fails the test on an error.
func (f *fixture) submit(id, account string, s resource.Shape, options ...jobOption) {
	f.t.Helper()
	j := jobs.Job{ID: id, Account: account, FailureDomain: testDomain, Shape: s}
	for _, option := range options {
		option(&j)
	}
	if err := f.core.Submit(j, f.now); err != nil {
		f.t.Fatalf("submit %s: %v", id, err)
	}
}

func (f *fixture) plan() Plan { return f.core.Plan(f.now) }

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// planAndStart asks for a plan and reports all its starts as running.
func (f *fixture) planAndStart() Plan {
	p := f.plan()
	for _, s := range p.Starts {
		f.core.Started(s.Job.ID, s.Attempt, f.now)
	}
	return p
}

// endAttempt reports the end of the current attempt.
func (f *fixture) endAttempt(id string, r Result) {
	s, _ := f.core.Status(id)
	f.core.Ended(id, s.Attempt, r, f.now)
}

// adoptRunning adopts a running job on one worker.
func (f *fixture) adoptRunning(id, worker string, accelerators int) {
	j := jobs.Job{ID: id, Account: "b", Shape: shape(1, accelerators, resource.AdjacencyNone), CanCheckpoint: true}
	f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
}

// wantState asserts the state of a job.
func (f *fixture) wantState(id string, want jobs.State) {
	f.t.Helper()
	if s, _ := f.core.Status(id); s.State != want {
		f.t.Errorf("job %s is %s (%s), want %s", id, s.State, f.core.Why(id, f.now), want)
	}
}

// stoppedJobs returns the ids of the jobs that a plan stops.
func stoppedJobs(p Plan) string {
	var ids []string
	for _, s := range p.Stops {
		ids = append(ids, s.Job)
	}
	return strings.Join(ids, " ")
}

// TestSubmitRejectsImpossibleJobs guards against accepting jobs that can never run and would wait forever.
func TestSubmitRejectsImpossibleJobs(t *testing.T) {
	cases := map[string]struct {
		account string
		shape   resource.Shape
		want    errkind.Kind
	}{
		"fits":                 {"a", shape(4, 8, resource.AdjacencyRack), ""},
		"no accelerator":       {"a", shape(64, 0, resource.AdjacencyNone), ""},
		"too large a member":   {"a", shape(1, 9, resource.AdjacencyNone), errkind.Infeasible},
		"too many for a rack":  {"a", shape(5, 8, resource.AdjacencyRack), errkind.Infeasible},
		"too many for workers": {"a", shape(9, 1, resource.AdjacencyWorker), errkind.Infeasible},
		"over quota":           {"b", shape(2, 8, resource.AdjacencyNone), errkind.Infeasible},
		"unknown account":      {"c", shape(1, 1, resource.AdjacencyNone), errkind.NotFound},
		"malformed":            {"a", shape(65, 1, resource.AdjacencyNone), errkind.BadInput},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 8, func(doc *config.Document) { doc.Accounts["b"] = config.Account{Name: "b", Quota: 8} })
			err := f.core.Submit(jobs.Job{ID: "j", Account: c.account, Shape: c.shape}, f.now)
			if got := errkind.KindOf(err); got != c.want {
				t.Errorf("got %q (%v), want %q", got, err, c.want)
			}
		})
	}
}

// TestReclaim guards against a guarantee whose capacity is borrowed and not given back, against lending it to
// unstoppable work, and against stopping borrowers without a checkpoint.
func TestReclaim(t *testing.T) {
	f := newFixture(t, 4, withGuarantee("a", 1, shape(4, 8, resource.AdjacencyRack)))
	for i := range 4 {
		f.submit(fmt.Sprint("lent-", i), "b", shape(1, 8, resource.AdjacencyNone), canCheckpoint)
	}
	f.submit("once", "b", shape(1, 8, resource.AdjacencyNone), runOnce)
	if p := f.planAndStart(); len(p.Starts) != 4 || !p.Starts[0].Borrowed {
		t.Fatalf("want 4 borrowed starts, got %+v", p.Starts)
	}
	f.wantState("once", jobs.StateWaiting)
	f.submit("claim", "a", shape(4, 8, resource.AdjacencyRack))
	p := f.planAndStart()
	if len(p.Stops) != 4 || !p.Stops[0].Checkpoint || p.Stops[0].Reason != StopReclaim {
		t.Fatalf("want 4 stops with checkpoint for the claim, got %+v", p.Stops)
	}
	for i := range 4 {
		f.endAttempt(fmt.Sprint("lent-", i), Result{Kind: ResultStopped, Checkpointed: true})
	}
	f.planAndStart()
	f.wantState("claim", jobs.StateRunning)
	f.wantState("lent-0", jobs.StateWaiting)
}

// TestReclaimStopsLeastLostWork guards against a reclaim that stops another job than the one with the least work to
// lose.
func TestReclaimStopsLeastLostWork(t *testing.T) {
	f := newFixture(t, 2, withGuarantee("a", 1, shape(1, 8, resource.AdjacencyNone)))
	f.submit("old", "b", shape(1, 8, resource.AdjacencyNone))
	f.planAndStart()
	f.advance(time.Hour)
	f.submit("young", "b", shape(1, 8, resource.AdjacencyNone))
	f.planAndStart()
	f.submit("claim", "a", shape(1, 8, resource.AdjacencyNone))
	if got := stoppedJobs(f.planAndStart()); got != "young" {
		t.Errorf("reclaim stopped %q, want young", got)
	}
}

// TestBlockedGangGetsReservation guards against a gang that is starved by a continuous sequence of small jobs: against
// a reservation that comes late or that later jobs can use.
func TestBlockedGangGetsReservation(t *testing.T) {
	f := newFixture(t, 4, nil)
	for i := range 31 {
		f.submit(fmt.Sprint("small-", i), "b", shape(1, 1, resource.AdjacencyNone), canCheckpoint)
	}
	f.planAndStart()
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	p := f.planAndStart()
	if want := f.now.Add(time.Minute); !p.NextCheck.Equal(want) {
		t.Fatalf("next check at %v, want %v", p.NextCheck, want)
	}
	f.advance(time.Minute)
	p = f.planAndStart()
	if len(p.Stops) != 31 || p.Stops[0].Reason != StopReservation {
		t.Fatalf("want 31 stops for the reservation, got %d", len(p.Stops))
	}
	f.submit("late", "b", shape(1, 1, resource.AdjacencyNone), canCheckpoint)
	f.planAndStart()
	f.wantState("late", jobs.StateWaiting)
	if why := f.core.Why("late", f.now); !strings.Contains(why, "reserved for job gang") {
		t.Error(why)
	}
	for i := range 31 {
		f.endAttempt(fmt.Sprint("small-", i), Result{Kind: ResultStopped, Checkpointed: true})
	}
	f.planAndStart()
	f.wantState("gang", jobs.StateRunning)
}

// TestUrgentJobStartsFirst guards against an urgent job that waits behind an earlier submission.
func TestUrgentJobStartsFirst(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.submit("first", "a", shape(1, 8, resource.AdjacencyNone))
	f.submit("urgent", "b", shape(1, 8, resource.AdjacencyNone), urgent)
	f.planAndStart()
	f.wantState("urgent", jobs.StateRunning)
	f.wantState("first", jobs.StateWaiting)
}
