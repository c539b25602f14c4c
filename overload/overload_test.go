package overload

import (
	"cmp"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwingthread/redwingthread/workload"
)

var start = time.Unix(1_700_000_000, 0)

func step(estimate time.Duration, after ...int) workload.Step {
	return workload.Step{Tasks: 1, Estimate: estimate, After: after}
}

// TestObjectiveFollowsTheLongestChain guards against objectives that count parallel steps twice, or overflow with the values that callers
// and operators can send.
func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	policy := workload.QueuePolicy{SlackFactor: 3, Target: time.Second}
	cases := []struct {
		name   string
		steps  []workload.Step
		policy workload.QueuePolicy
		want   time.Duration
	}{
		{"one step", []workload.Step{step(2 * time.Second)}, policy, 7 * time.Second},
		{"parallel", []workload.Step{step(2 * time.Second), step(4 * time.Second)}, policy, 13 * time.Second},
		{
			"diamond", []workload.Step{step(time.Second), step(2*time.Second, 0), step(3*time.Second, 0), step(time.Second, 1, 2)},
			policy, 16 * time.Second,
		},
		{"endless", []workload.Step{{Tasks: 1, LongRunning: true, Estimate: time.Second}}, policy, 0},
		{"no terms", []workload.Step{step(time.Second)}, workload.QueuePolicy{}, 0},
		{"negative estimate", []workload.Step{step(-time.Hour)}, policy, time.Second},
		{"no number", []workload.Step{step(time.Second)}, workload.QueuePolicy{SlackFactor: math.NaN(), Target: time.Second}, time.Second},
		{
			"out of range", []workload.Step{step(math.MaxInt64), step(math.MaxInt64, 0)},
			workload.QueuePolicy{SlackFactor: math.Inf(1), Target: math.MaxInt64}, maxObjective,
		},
	}
	for _, c := range cases {
		chains := NewChains(c.steps)
		if got := chains.Objective(c.policy); got != c.want {
			t.Errorf("%s: the objective is %v, want %v", c.name, got, c.want)
		}
	}
}

// TestClassesDoNotFlip guards against steps that change places from plan to plan, because each run that ends changes the correction of the
// estimates a little: while time passes, a class may only become worse.
func TestClassesDoNotFlip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := time.Duration(rapid.IntRange(1, 60).Draw(t, "objective")) * time.Second
		need := time.Duration(rapid.IntRange(1, 60).Draw(t, "need")) * time.Second
		class := OnTime
		for age := time.Duration(0); age < 4*objective; age += 250 * time.Millisecond {
			correction := rapid.Float64Range(0.95, 1.05).Draw(t, "correction")
			o := Outlook{Objective: objective, Age: age, Need: need}.Corrected(correction, time.Second)
			next := o.Class(class)
			if next < class {
				t.Fatalf("the class changed from %d to %d at the age of %v", class, next, age)
			}
			class = next
		}
		if class != Hopeless {
			t.Fatalf("the class is %d after four objectives", class)
		}
	})
}

// TestOutlookOutOfRange guards against sums that overflow: a job without a time of acceptance counted as on time, and one with a target
// beyond all bounds as hopeless.
func TestOutlookOutOfRange(t *testing.T) {
	aged := Outlook{Objective: time.Minute, Age: math.MaxInt64, Need: time.Second}
	if class, left := aged.Class(OnTime), aged.TimeLeft(OnTime); class != Hopeless || left > 0 {
		t.Errorf("the longest age gives the class %d with %v left, want %d and none", class, left, Hopeless)
	}
	ahead := Outlook{Objective: time.Minute, Age: math.MinInt64, Need: time.Second}
	if class, left := ahead.Class(Hopeless), ahead.TimeLeft(OnTime); class != OnTime || left < 0 {
		t.Errorf("the lowest age gives the class %d with %v left, want %d and some", class, left, OnTime)
	}
	for _, target := range []time.Duration{math.MaxInt64, -time.Hour} {
		chains := NewChains([]workload.Step{step(time.Second)})
		objective := chains.Objective(workload.QueuePolicy{SlackFactor: 3, Target: target})
		for _, correction := range []float64{minCorrection, maxCorrection} {
			got := Outlook{Objective: objective}.Corrected(correction, target).Objective
			if got <= 0 || got > maxObjective {
				t.Errorf("with a target of %v, the corrected objective is %v", target, got)
			}
		}
	}
	if got := Correction(math.NaN()); got != 1 {
		t.Errorf("without a known rate, estimates are multiplied by %v, want 1", got)
	}
}

// TestLongerObjectiveImprovesTheClass guards against jobs that stay hopeless after an operator has given their queue more time.
func TestLongerObjectiveImprovesTheClass(t *testing.T) {
	o := Outlook{Objective: time.Minute, Age: 20 * time.Second, Need: 10 * time.Second}
	if class := o.Class(Hopeless); class != OnTime {
		t.Errorf("the class is %d, want %d", class, OnTime)
	}
}

func drawRank(t *rapid.T, calm bool) *Rank {
	r := &Rank{
		Guaranteed: rapid.Bool().Draw(t, "guaranteed"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		SortTime: start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "time")) * time.Second),
	}
	if calm {
		return r
	}
	r.Class = Class(rapid.IntRange(0, 2).Draw(t, "class"))
	r.Turn = r.Class == Hopeless && rapid.Bool().Draw(t, "turn")
	r.Reserving = rapid.Bool().Draw(t, "reserving")
	r.Due = start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "due")) * time.Second)
	r.WorkPerValue = float64(rapid.IntRange(0, 3).Draw(t, "work"))
	return r
}

// TestOrder guards against an order that is not transitive, with which the sorted order of steps would depend on their number, and
// against an order that differs from that of acceptance in calm times or puts anything before guaranteed work.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRank(t, true), drawRank(t, true)
		rank := func(r *Rank) int {
			if r.Guaranteed {
				return 0
			}
			return 1 + r.Priority
		}
		if got, want := Compare(a, b), cmp.Or(cmp.Compare(rank(a), rank(b)), a.SortTime.Compare(b.SortTime)); got != want {
			t.Fatalf("in calm times, %+v and %+v compare as %d, want %d", a, b, got, want)
		}
		x, y, z := drawRank(t, false), drawRank(t, false), drawRank(t, false)
		if Compare(x, y) != -Compare(y, x) || Compare(x, y) <= 0 && Compare(y, z) <= 0 && Compare(x, z) > 0 {
			t.Fatalf("the order of %+v, %+v and %+v is not consistent", x, y, z)
		}
		if x.Guaranteed && !y.Guaranteed && Compare(x, y) >= 0 {
			t.Fatalf("%+v goes before the guaranteed %+v", y, x)
		}
	})
}

// TestHopelessWorkGetsItsShare guards against hopeless work that never starts while other work keeps arriving, or that takes more than its
// share.
func TestHopelessWorkGetsItsShare(t *testing.T) {
	var turns Turns
	hopeless, all := 0.0, 0.0
	for range 10_000 {
		class := OnTime
		if turns.Due() {
			class = Hopeless
			hopeless += 3
		}
		turns.Started(class, 3, 100)
		all += 3
	}
	if share := hopeless / all; math.Abs(share-hopelessShare) > 0.01 {
		t.Errorf("hopeless work has %.3f of the starts, want %.3f", share, hopelessShare)
	}
	turns = Turns{}
	turns.Started(Hopeless, 1e9, 100)
	turns.Started(OnTime, 900, 100)
	if !turns.Due() {
		t.Error("one large hopeless job has used up the turns of all others for good")
	}
}

// TestLateWorkGoesWithAmpleWork guards against late work that waits behind work on time that is in no hurry, and against late work that
// makes other work late.
func TestLateWorkGoesWithAmpleWork(t *testing.T) {
	var m Margins
	expect := func(what string, priority int, want Class) {
		t.Helper()
		if got := m.Place(Late, priority); got != want {
			t.Errorf("%s: late work of priority %d goes with class %d, want %d", what, priority, got, want)
		}
	}
	observe := func(priority int, left time.Duration) {
		m.Observe(priority, left)
		m.Update()
	}
	observe(1, ampleTimeLeft)
	expect("ample", 1, OnTime)
	observe(1, scarceTimeLeft)
	expect("still ample", 1, OnTime)
	observe(1, scarceTimeLeft-1)
	expect("scarce", 1, Late)
	expect("scarce", 2, OnTime)
	observe(1, ampleTimeLeft-1)
	expect("still scarce", 0, Late)
	m.Update()
	expect("nothing on time", 1, OnTime)
}
