package request

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// TestIntervalSet guards against an IntervalSet that loses a used sequence number, which would let a key run twice.
func TestIntervalSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set IntervalSet
		model := map[uint64]bool{}
		for _, n := range rapid.SliceOf(rapid.Uint64Range(0, 60)).Draw(t, "numbers") {
			if set.Add(n) == model[n] {
				t.Fatalf("Add(%d) returned the wrong result", n)
			}
			model[n] = true
		}
		ranges := 0
		for n := uint64(0); n <= 61; n++ {
			if set.Contains(n) != model[n] {
				t.Fatalf("Contains(%d) returned %v, want the opposite", n, set.Contains(n))
			}
			if model[n] && (n == 0 || !model[n-1]) {
				ranges++
			}
		}
		if set.Len() != ranges {
			t.Fatalf("set has %d ranges, want %d", set.Len(), ranges)
		}
		set.CloseOldestGap()
		for n := range model {
			if !set.Contains(n) {
				t.Fatalf("%d is not in the set after CloseOldestGap", n)
			}
		}
	})
}

var testOwner = Owner{FailureDomain: "fd/a", VM: "vm-1", Incarnation: "i-1"}

// TestKeyText guards against keys that change when they are formatted and parsed, and against malformed keys that are
// accepted.
func TestKeyText(t *testing.T) {
	key := NewTable(testOwner, []byte("secret"), DefaultLimits()).Issue("orders")
	parsed, err := Parse(key.String())
	if err != nil || parsed.Owner != testOwner || parsed.Sequence != key.Sequence {
		t.Fatalf("got key %+v, error %v, want the owner and sequence number of the formatted key", parsed, err)
	}
	for name, text := range map[string]string{
		"empty": "", "few parts": "a/b/c/1", "no owner": "/b/c/1/AAAAAAAAAAAAAAAAAAAAAA",
		"no number": "a/b/c/x/AAAAAAAAAAAAAAAAAAAAAA", "short MAC": "a/b/c/1/AAAA",
	} {
		if _, err := Parse(text); !errkind.Is(err, errkind.BadInput) {
			t.Errorf("%s: got error %v, want a BadInput error", name, err)
		}
	}
}

// TestBegin guards against a key that runs twice, for another account, or with other content, against a wrong outcome,
// and against a table that grows above its limits.
func TestBegin(t *testing.T) {
	content := Fingerprint{Method: "POST", Path: "scan/x"}
	other := Fingerprint{Method: "POST", Path: "scan/y"}
	completed := Result{Outcome: Completed, Response: &Response{Status: 200, Body: make([]byte, 100)}}
	notRun := Result{Outcome: NotRun, Err: errkind.New(errkind.Overloaded, "retry", "full")}
	finish := func(result Result) func(*Table, Key) {
		return func(table *Table, key Key) {
			table.Begin("orders", key, content)
			table.Finish(key.Sequence, result)
		}
	}
	begin := func(table *Table, key Key) { table.Begin("orders", key, content) }
	none := func(*Table, Key) {}
	flood := func(skip int) func(*Table, Key) {
		return func(table *Table, _ Key) {
			for range 20 {
				for range skip {
					table.Issue("orders")
				}
				finish(completed)(table, table.Issue("orders"))
			}
		}
	}
	cases := map[string]struct {
		account string
		content Fingerprint
		before  []func(*Table, Key)
		action  Action
		outcome Outcome
		kind    errkind.Kind
	}{
		"issued":              {"orders", content, []func(*Table, Key){none}, Run, "", ""},
		"running":             {"orders", content, []func(*Table, Key){begin}, Join, "", ""},
		"running, conflict":   {"orders", other, []func(*Table, Key){begin}, 0, Unknown, errkind.Conflict},
		"other account":       {"blades", content, []func(*Table, Key){none}, 0, NotRun, errkind.Forbidden},
		"completed":           {"orders", content, []func(*Table, Key){finish(completed)}, Replay, Completed, ""},
		"completed, conflict": {"orders", other, []func(*Table, Key){finish(completed)}, 0, Unknown, errkind.Conflict},
		"not run":             {"orders", content, []func(*Table, Key){finish(notRun)}, Replay, NotRun, ""},
		"not run, conflict":   {"orders", other, []func(*Table, Key){finish(notRun)}, 0, NotRun, errkind.Conflict},
		"evicted":             {"orders", content, []func(*Table, Key){finish(completed), flood(0)}, Replay, Unknown, ""},
		"gap closed":          {"orders", content, []func(*Table, Key){flood(1)}, Replay, Unknown, ""},
	}
	for name, c := range cases {
		table := NewTable(testOwner, []byte("secret"), Limits{StoredBytes: 5000, StoredBytesPerAccount: 4000, Gaps: 4})
		finish(completed)(table, table.Issue("orders"))
		key := table.Issue("orders")
		for _, step := range c.before {
			step(table, key)
		}
		d, outcome, err := table.Begin(c.account, key, c.content)
		if d.Action == Replay {
			outcome = d.Result.Outcome
		}
		if d.Action != c.action || outcome != c.outcome || errkind.KindOf(err) != c.kind {
			t.Errorf("%s: got action %d outcome %q error %v", name, d.Action, outcome, err)
		}
		if _, bytes, ranges := table.Size(); bytes > 5000 || ranges > 4 {
			t.Errorf("%s: table holds %d bytes and %d ranges, want at most 5000 and 4", name, bytes, ranges)
		}
	}
}

// TestForeignKey guards against a gateway that runs a key of another incarnation, although it cannot know whether the
// key was used.
func TestForeignKey(t *testing.T) {
	table := NewTable(testOwner, []byte("secret"), DefaultLimits())
	foreign := NewTable(Owner{"fd/a", "vm-1", "i-0"}, []byte("secret"), DefaultLimits()).Issue("orders")
	if _, outcome, err := table.Begin("orders", foreign, Fingerprint{}); err == nil || outcome != Unknown {
		t.Fatalf("got outcome %q, error %v, want unknown and an error", outcome, err)
	}
}

// TestAttempts guards against assertions that do not detect a second run or a false not_run.
func TestAttempts(t *testing.T) {
	cases := map[string]struct {
		act  func(a *Attempts)
		want invariant.ID
	}{
		"one run":               {func(a *Attempts) { a.Dispatch(); a.CheckOutcome(Unknown) }, ""},
		"retry after not run":   {func(a *Attempts) { a.Dispatch(); a.NotRun(); a.Dispatch() }, ""},
		"not run":               {func(a *Attempts) { a.Dispatch(); a.NotRun(); a.CheckOutcome(NotRun) }, ""},
		"second run":            {func(a *Attempts) { a.Dispatch(); a.Dispatch() }, invariant.AtMostOnce},
		"false not_run":         {func(a *Attempts) { a.Dispatch(); a.CheckOutcome(NotRun) }, invariant.NotRunIsTrue},
		"idempotent second run": {func(a *Attempts) { a.Idempotent = true; a.Dispatch(); a.Dispatch() }, ""},
		"earlier attempt may have run": {func(a *Attempts) {
			a.Idempotent = true
			a.Dispatch()
			a.Dispatch()
			a.NotRun()
			a.CheckOutcome(NotRun)
		}, invariant.NotRunIsTrue},
	}
	for name, c := range cases {
		var collector invariant.Collector
		restore := invariant.SetRecorder(collector.Record)
		c.act(&Attempts{})
		restore()
		got := collector.Violations()
		if len(got) > 1 || (len(got) == 1) != (c.want != "") || len(got) == 1 && got[0].ID != c.want {
			t.Errorf("%s: got violations %v, want %q", name, got, c.want)
		}
	}
}
