package jobs

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

func testJob(id string) Job {
	return Job{ID: id, Account: "orders", FailureDomain: "fd-a", Run: []string{"run"}, RunOnce: true,
		Shape: resource.Shape{Members: 1, PerMember: resource.Resources{MilliCPU: 1}, Adjacency: resource.AdjacencyNone}}
}

func submitted(id string) Record {
	job := testJob(id)
	return Record{Kind: RecordSubmit, Submit: &job}
}

func intended(id string, attempt uint64, holder string) Record {
	return Record{Kind: RecordIntent, Intent: &Intent{Job: id, Attempt: attempt, Holder: holder, Epoch: attempt}}
}

func ended(id string, attempt uint64, state State) Record {
	return Record{Kind: RecordEnded, Ended: &Ended{Job: id, Attempt: attempt, State: state}}
}

func cancelled(id string) Record { return Record{Kind: RecordCancel, Cancel: &Cancel{Job: id}} }

func encodedRecord(t interface{ Fatal(...any) }, offset uint64, r Record) infra.Record {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return infra.Record{Offset: offset, Data: data}
}

// TestFoldRules guards against a record that takes effect although an earlier record takes precedence or its job is unknown,
// and against a checkpointed stop that keeps the intent.
func TestFoldRules(t *testing.T) {
	other := testJob("a")
	other.Account = "scan"
	cases := map[string]struct {
		records []Record
		last    Change
		check   func(*Entry) bool
	}{
		"repeat": {[]Record{submitted("a"), submitted("a")}, ChangeNone, nil},
		"id in use for other content": {[]Record{submitted("a"), {Kind: RecordSubmit, Submit: &other}}, ChangeConflict,
			func(e *Entry) bool { return e.Job.Account == "orders" }},
		"second intent": {[]Record{submitted("a"), intended("a", 1, "s1"), intended("a", 2, "s2")}, ChangeNone,
			func(e *Entry) bool { return e.Intent.Holder == "s1" }},
		"intent after cancel": {[]Record{submitted("a"), cancelled("a"), intended("a", 1, "s1")}, ChangeNone,
			func(e *Entry) bool { return e.Intent == nil }},
		"second end": {[]Record{submitted("a"), ended("a", 1, StateCompleted), ended("a", 2, StateUnknown)}, ChangeNone,
			func(e *Entry) bool { return e.State() == StateCompleted }},
		"cancel after end": {[]Record{submitted("a"), ended("a", 1, StateCompleted), cancelled("a")}, ChangeNone,
			func(e *Entry) bool { return !e.Cancelled }},
		"checkpointed stop frees the intent": {[]Record{submitted("a"), intended("a", 1, "s1"), ended("a", 1, StateWaiting)},
			ChangeStopped, func(e *Entry) bool { return e.Intent == nil }},
		"late stop of an older attempt": {[]Record{submitted("a"), intended("a", 2, "s2"), ended("a", 1, StateWaiting)},
			ChangeNone, func(e *Entry) bool { return e.Intent != nil }},
		"unknown job": {[]Record{submitted("a"), cancelled("b")}, ChangeNone, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := NewFold()
			var last Change
			for i, r := range c.records {
				change, _, err := f.Apply(encodedRecord(t, uint64(i), r))
				if err != nil {
					t.Fatal(err)
				}
				last = change
			}
			e, _ := f.Get("a")
			if last != c.last || c.check != nil && !c.check(e) {
				t.Fatalf("got change %q, entry %+v", last, e)
			}
		})
	}
}

// TestFoldStopsAtNewerRuleSet guards against an older program that applies a record of a newer rule set by its own rules and
// so diverges from newer programs.
func TestFoldStopsAtNewerRuleSet(t *testing.T) {
	data, err := encMode.Marshal(Record{RuleSet: RuleSet + 1, Kind: RecordSubmit})
	if err != nil {
		t.Fatal(err)
	}
	f := NewFold()
	_, _, err = f.Apply(infra.Record{Data: data})
	if !errors.Is(err, ErrRuleSet) || f.Next() != 0 || !f.Stopped() {
		t.Fatalf("got error %v at offset %d, want ErrRuleSet at offset 0 and a stopped fold", err, f.Next())
	}
}

// TestFoldFromSnapshot guards against a reader that starts after expired records, loads a snapshot and reaches another state
// than a reader of all records.
func TestFoldFromSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []infra.Record
		all := NewFold()
		add := func(r Record) {
			record := encodedRecord(t, uint64(len(stream)), r)
			stream = append(stream, record)
			if _, _, err := all.Apply(record); err != nil {
				t.Fatal(err)
			}
		}
		random := func() Record {
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 5).Draw(t, "job"))
			attempt := uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				return submitted(id)
			case 2:
				return intended(id, attempt, "s")
			case 3:
				return cancelled(id)
			}
			states := []State{StateCompleted, StateFailed, StateWaiting}
			return ended(id, attempt, rapid.SampledFrom(states).Draw(t, "state"))
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			add(random())
		}
		snapshot := Record{Kind: RecordSnapshot, Snapshot: all.Snapshot()}
		oldest := rapid.IntRange(0, len(stream)).Draw(t, "oldest")
		// Other writers may append records between the creation of a snapshot and its append.
		for range rapid.IntRange(0, 5).Draw(t, "between") {
			add(random())
		}
		add(snapshot)
		for range rapid.IntRange(0, 10).Draw(t, "after") {
			add(random())
		}
		late := NewFold()
		late.Skip(uint64(oldest))
		for _, r := range stream[oldest:] {
			if _, _, err := late.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if !late.Complete() || !reflect.DeepEqual(late.Snapshot(), all.Snapshot()) {
			t.Fatalf("from %d: got %+v, want %+v", oldest, late.Snapshot(), all.Snapshot())
		}
	})
}
