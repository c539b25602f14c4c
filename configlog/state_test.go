package configlog

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
)

// stream builds the records of a test.
type stream struct{ records [][]byte }

func (s *stream) add(r Record) *stream {
	if r.RuleSet == 0 {
		r.RuleSet = config.RuleSet
	}
	raw, err := Encode(r)
	if err != nil {
		panic(err)
	}
	s.records = append(s.records, raw)
	return s
}

func (s *stream) init() *stream {
	return s.add(Record{Initialise: &Initialise{ID: "init", Author: "ana", Reason: "start", Document: testDocument()}})
}

// patch appends a patch that drains the VM with the same name as the patch.
func (s *stream) patch(id string, base uint64) *stream {
	op := config.Op{Op: config.OpSet, Path: "drains/" + id, Value: []byte(`{}`)}
	return s.add(Record{Patch: &config.Patch{ID: id, Base: base, Author: "ana", Reason: "r", Ops: []config.Op{op}}})
}

func (s *stream) withdraw(id string) *stream {
	return s.add(Record{Withdraw: &Withdraw{PatchID: id, Author: "ana", Reason: "r"}})
}

// fold folds the records from state.Next on until the end of the stream or until the fold stops.
func (s *stream) fold(state *State) *State {
	for state.Next < uint64(len(s.records)) && state.Stopped == nil {
		state.Fold(state.Next, s.records[state.Next])
	}
	return state
}

// TestFoldDecidesByFirstValidRecord guards against a fold that accepts any patch or initialise record but the first
// valid one on the version in force, that lets a withdrawn patch take effect, or that stops at an undecodable record.
func TestFoldDecidesByFirstValidRecord(t *testing.T) {
	cases := map[string]struct {
		stream  *stream
		version uint64
		want    map[string]Outcome
	}{
		"first patch on a base wins":   {new(stream).init().patch("a", 0).patch("b", 0).patch("c", 1), 2, map[string]Outcome{"a": Accepted, "b": Refused, "c": Accepted}},
		"base of the future":           {new(stream).init().patch("a", 1).patch("b", 0).patch("c", 1), 2, map[string]Outcome{"a": Refused, "b": Accepted, "c": Accepted}},
		"second copy changes nothing":  {new(stream).init().patch("a", 0).patch("a", 0).patch("a", 1), 1, map[string]Outcome{"a": Accepted}},
		"withdrawn before":             {new(stream).init().withdraw("a").patch("a", 0), 0, map[string]Outcome{"a": Refused}},
		"withdrawn too late":           {new(stream).init().patch("a", 0).withdraw("a"), 1, map[string]Outcome{"a": Accepted}},
		"before initialise":            {new(stream).patch("a", 0).init().patch("b", 0), 1, map[string]Outcome{"a": Refused, "b": Accepted}},
		"second initialise":            {new(stream).init().patch("a", 0).add(Record{Initialise: &Initialise{ID: "again", Document: testDocument()}}), 1, map[string]Outcome{"again": Refused}},
		"faulty initialise":            {new(stream).add(Record{Initialise: &Initialise{ID: "bad", Document: &config.Document{}}}).init(), 0, map[string]Outcome{"bad": Refused, "init": Accepted}},
		"unreadable record is skipped": {&stream{append(new(stream).init().records, []byte{0xff, 1}, new(stream).patch("a", 0).records[0])}, 1, map[string]Outcome{"a": Accepted}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := c.stream.fold(NewState())
			if s.Stopped != nil || s.Doc == nil || s.Doc.Version != c.version || s.Next != uint64(len(c.stream.records)) {
				t.Fatalf("got state %+v, want the version of the case after all records", s)
			}
			for id, want := range c.want {
				d, ok := s.Decision(id)
				if !ok || d.Outcome != want || (want == Refused) != (d.Err() != nil) {
					t.Errorf("decision about %s: got %+v, want the outcome of the case and an error only if refused", id, d)
				}
			}
		})
	}
}

// TestUnknownRuleSet guards against a fold that continues after a record with an unknown rule set or loses its version,
// and against decoding a peer's state with such a rule set.
func TestUnknownRuleSet(t *testing.T) {
	st := new(stream).init().patch("a", 0).add(Record{RuleSet: config.RuleSet + 1}).patch("b", 1)
	s := st.fold(NewState())
	if s.Stopped == nil || s.Stopped.Reason != StopRuleSet || s.Next != 2 || s.Doc.Version != 1 {
		t.Fatalf("got state %+v, want version 1, stopped at offset 2 for the rule set", s)
	}
	if raw, _ := Encode(Record{RuleSet: config.RuleSet + 1, Snapshot: s.Snapshot()}); raw != nil {
		if _, err := DecodeState(raw); !errkind.Is(err, errkind.BadInput) {
			t.Errorf("state with an unknown rule set: got error %v, want bad_input", err)
		}
	}
}

// TestStateFromSnapshotFoldsAlike guards against a fold that starts from a snapshot and reaches another state than a
// fold of all records, against snapshots that are not deterministic, and against an encoding that changes the state.
func TestStateFromSnapshotFoldsAlike(t *testing.T) {
	st := new(stream).init()
	full := NewState()
	for i := range uint64(40) {
		st.patch(fmt.Sprintf("p%d", i), i-i%3%2).withdraw(fmt.Sprintf("q%d", i))
		st.fold(full)
		st.add(Record{Snapshot: full.Snapshot()})
	}
	st.fold(full)
	for i, raw := range st.records {
		started := FromRecords(1, []infra.Record{{Offset: uint64(i), Data: raw}})
		if started == nil {
			continue
		}
		st.fold(started)
		a, _ := EncodeState(full)
		b, _ := EncodeState(started)
		if started.Stopped != nil || !bytes.Equal(a, b) {
			t.Fatalf("state from the snapshot at %d differs: %v", i, started.Stopped)
		}
		back, err := DecodeState(b)
		if err != nil || back.Next != full.Next || back.Digest != full.Digest {
			t.Fatalf("encoding and decoding changed the state: %v", err)
		}
	}
}

// TestSnapshotDisagreementStopsFold guards against processes that diverge without being detected, and against a fold that
// stops although the snapshot agrees or its writer will adopt a later one.
func TestSnapshotDisagreementStopsFold(t *testing.T) {
	base := func() *stream { return new(stream).init().patch("a", 0).patch("b", 1) }
	snapshot := func(change func(*Snapshot)) *stream {
		st := base()
		s := st.fold(NewState()).Snapshot()
		change(s)
		return st.patch("c", 2).add(Record{Snapshot: s})
	}
	other := testDocument()
	other.Version = 2
	cases := map[string]struct {
		stream *stream
		stops  bool
	}{
		"agrees":          {snapshot(func(*Snapshot) {}), false},
		"other document":  {snapshot(func(s *Snapshot) { s.Document, s.Digest = other, config.Digest(other) }), true},
		"other digest":    {snapshot(func(s *Snapshot) { s.Digest++ }), true},
		"other version":   {snapshot(func(s *Snapshot) { s.Version++ }), true},
		"offset ahead":    {snapshot(func(s *Snapshot) { s.Offset = 9 }), true},
		"earlier offset":  {snapshot(func(s *Snapshot) { s.Offset = 2 }), true},
		"behind a skip":   {snapshot(func(s *Snapshot) { s.Offset, s.Skipped = 2, &SkippedRange{From: 1, To: 2} }), true},
		"lower with skip": {appendSkippingSnapshot(base(), 0), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := c.stream.fold(NewState())
			if (s.Stopped != nil) != c.stops || s.Doc.Version < 2 {
				t.Errorf("got stop %+v and version %d, want a stop as in the case and at least version 2", s.Stopped, s.Doc.Version)
			}
		})
	}
}

// appendSkippingSnapshot appends the snapshot of a process that had folded the records up to offset version when the
// others expired.
func appendSkippingSnapshot(st *stream, version uint64) *stream {
	behind := NewState()
	for o := range version + 1 {
		behind.Fold(o, st.records[o])
	}
	behind.SkipTo(uint64(len(st.records)))
	return st.add(Record{Snapshot: behind.Snapshot()})
}

// TestSkippedAdoptsHigherVersion guards against a permanent divergence after one process skipped records that another
// one had read, and against a process with the higher version that appends no snapshot of it.
func TestSkippedAdoptsHigherVersion(t *testing.T) {
	st := new(stream).init().patch("a", 0)
	ahead := st.fold(NewState())
	behind := NewState()
	behind.Fold(0, st.records[0])
	behind.SkipTo(2)
	// The base of the patch after the snapshot's offset is a version that only one of the two processes has.
	appendSkippingSnapshot(st, 0).patch("c", 1).add(Record{Snapshot: ahead.Snapshot()})
	st.fold(ahead)
	st.fold(behind)
	if ahead.Stopped != nil || behind.Stopped != nil || ahead.Digest != behind.Digest || behind.Doc.Version != 2 {
		t.Fatalf("got versions %d and %d, stopped %v and %v; want version 2 twice without a stop", ahead.Doc.Version, behind.Doc.Version, ahead.Stopped, behind.Stopped)
	}
	empty := NewState()
	empty.SkipTo(2)
	if st.fold(empty); empty.Stopped != nil || empty.Digest != ahead.Digest {
		t.Errorf("process without a configuration did not adopt the same document; stopped %+v", empty.Stopped)
	}
	if !ahead.SnapshotDue(time.Now(), 0, Retention{Period: time.Hour, EveryRecords: 100}) {
		t.Error("no snapshot is due for the process with the higher version")
	}
}

// TestHistoryIsExactAndBounded guards against a wrong document for an older version, a replay that ends with another
// document, and a history without a limit.
func TestHistoryIsExactAndBounded(t *testing.T) {
	st := new(stream).init()
	s := NewState()
	var digests []uint64
	for i := range uint64(HistoryLimit + 50) {
		st.fold(s)
		digests = append(digests, s.Digest)
		st.patch(fmt.Sprintf("p%d", i%10), i) // ids repeat, so that most records are second copies
		if i >= 10 {
			st.records[len(st.records)-1] = new(stream).patch(fmt.Sprintf("p%d", i), i).records[0]
		}
	}
	st.fold(s)
	if len(s.Decisions) != HistoryLimit || len(s.byID) != HistoryLimit {
		t.Fatalf("got %d decisions and %d ids, want HistoryLimit", len(s.Decisions), len(s.byID))
	}
	oldest := s.Decisions[0].Version - 1
	for _, version := range []uint64{oldest, oldest + 1, s.Doc.Version - 1} {
		doc, err := s.At(version)
		if err != nil || config.Digest(doc) != digests[version] {
			t.Errorf("version %d is not available or has another document: %v", version, err)
		}
	}
	for _, version := range []uint64{oldest - 1, s.Doc.Version + 1} {
		if _, err := s.At(version); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("version %d outside the history: got error %v, want not_found", version, err)
		}
	}
	steps, err := s.Replay(s.Doc.Version-5, s.Doc.Version)
	if err != nil || len(steps) != 5 || config.Digest(steps[4].Document) != s.Digest || steps[4].Decision.Author != "ana" {
		t.Errorf("replay has %d steps, want 5 that end with the document in force: %v", len(steps), err)
	}
	if log := s.Log(s.Doc.Version-1, s.Doc.Version); len(log) != 2 {
		t.Errorf("log of two versions has %d decisions, want 2", len(log))
	}
}

// TestSnapshotDue guards against losing the state because the newest snapshot expires before another one is appended, and
// against a snapshot that is due too early or without a configuration.
func TestSnapshotDue(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	retention := Retention{Period: 30 * time.Minute, EveryRecords: 3}
	st := new(stream)
	st.add(Record{At: now.UnixMilli(), Initialise: &Initialise{ID: "init", Document: testDocument()}})
	s := st.fold(NewState())
	due := func(after time.Duration, oldest uint64) bool { return s.SnapshotDue(now.Add(after), oldest, retention) }
	if due(9*time.Minute, 0) || !due(10*time.Minute, 0) || !due(0, 1) {
		t.Error("snapshot is due at the wrong age or offset")
	}
	st.patch("a", 0).patch("b", 0).patch("c", 0).fold(s)
	if !due(0, 0) {
		t.Error("snapshot is not due after EveryRecords records")
	}
	if NewState().SnapshotDue(now, 5, retention) {
		t.Error("snapshot is due without a configuration")
	}
}

// TestMonotoneAssertion verifies that the assertion of P8 reports a violation when a follower or a fold is given a
// lower version, and that neither of them uses it.
func TestMonotoneAssertion(t *testing.T) {
	var log invariant.Collector
	defer invariant.SetRecorder(log.Record)()
	st := new(stream).init().patch("a", 0).patch("b", 1)
	s := st.fold(NewState())
	lower, _ := s.At(1)
	f := NewFollower(Options{})
	f.setInitialState(s.Clone(), 0)
	f.state.Doc = lower
	f.publish()
	s.setDocument(lower)
	if f.Document().Version != 2 || s.Doc.Version != 2 || len(log.Violations()) != 2 {
		t.Fatalf("got versions %d and %d, violations %v; want version 2 twice and two violations", f.Document().Version, s.Doc.Version, log.Violations())
	}
	older := new(stream).init().fold(NewState())
	older.Next = 100
	if f.replaceState(older) {
		t.Error("state with a lower version replaced the current one")
	}
}
