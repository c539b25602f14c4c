package configlog

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// Bounds of the history, which is part of every snapshot. They are part of the rule set, because all processes must keep
// the same decisions.
const (
	// HistoryLimit is the number of decisions kept.
	HistoryLimit = 2048
	// HistoryBytes bounds the ops kept for show, diff and replay, in bytes of their values.
	HistoryBytes = 512 << 10
)

// StopReason says why the fold goes no further.
type StopReason string

// The stop reasons.
const (
	// StopRuleSet marks a record that needs rules unknown to this program.
	StopRuleSet StopReason = "rule_set"
	// StopDisagreement marks two snapshots, or a snapshot and the fold, that disagree at one offset.
	StopDisagreement StopReason = "disagreement"
)

// Stop is the state of a fold that goes no further; the last version stays in force.
type Stop struct {
	Reason StopReason `json:"reason"`
	Offset uint64     `json:"offset"`
	Detail string     `json:"detail"`
}

// State is the fold of the configuration stream. It is not safe for concurrent use. Documents and decisions that it
// gives out are never changed afterwards.
type State struct {
	// Next is the offset of the next record to fold.
	Next uint64
	// Doc is the document in force, nil before version 0.
	Doc    *config.Document
	Digest uint64
	// RuleSet is the highest rule set of the records folded.
	RuleSet uint64
	// Decisions are the bounded history, in log order.
	Decisions []Decision
	// Stopped is set if the fold goes no further.
	Stopped *Stop
	// Skipped is set if the state skipped expired records, until a patch was accepted after them.
	Skipped *SkippedRange
	// Malformed counts records that hold nothing this program can read; they are skipped.
	Malformed uint64
	// SnapshotOffset and SnapshotAt are the offset and the writer's clock (Unix milliseconds) of the newest snapshot or
	// initialise record, and HasSnapshot tells whether there is one.
	HasSnapshot    bool
	SnapshotOffset uint64
	SnapshotAt     int64

	// byID finds decisions by patch id; the values are offsets, which are unique.
	byID         map[string]uint64
	historyBytes int
	// floor is the offset from which on the history tells which version was in force.
	floor uint64
}

// NewState returns the state in front of the first record of a stream.
func NewState() *State { return &State{byID: map[string]uint64{}} }

// fromSnapshot returns the state that a snapshot record holds.
func fromSnapshot(r Record) (*State, error) {
	snap := r.Snapshot
	if snap.Document == nil || snap.Document.Version != snap.Version || config.Digest(snap.Document) != snap.Digest {
		return nil, errkind.New(errkind.BadInput, "ask another source", "snapshot of offset %d does not match its digest", snap.Offset)
	}
	s := NewState()
	s.Next, s.Doc, s.Digest, s.RuleSet = snap.Offset, snap.Document, snap.Digest, r.RuleSet
	s.Skipped = snap.Skipped
	for _, d := range snap.Decisions {
		s.remember(d)
	}
	s.floor = snap.Offset
	if len(s.Decisions) > 0 {
		s.floor = s.Decisions[0].Offset
	}
	return s, nil
}

// Snapshot returns the state as a snapshot record holds it.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{
		Offset:    s.Next,
		Version:   s.Doc.Version,
		Digest:    s.Digest,
		Document:  s.Doc,
		Decisions: append([]Decision(nil), s.Decisions...),
		Skipped:   s.Skipped,
	}
}

// Fold applies the record at offset, which must be s.Next, and returns the decision that it made, if any. A record that
// this program cannot judge stops the fold and leaves Next in front of it. Next is the record that must be folded then;
// it goes back if the record held the state of a process that had read more.
func (s *State) Fold(offset uint64, raw []byte) *Decision {
	if s.Stopped != nil || offset != s.Next {
		return nil
	}
	number, err := ruleSetOf(raw)
	if err == nil && number > config.RuleSet {
		s.stop(StopRuleSet, offset, "record needs rule set %d, this process knows %d", number, config.RuleSet)
		return nil
	}
	r, err := decode(raw)
	if err != nil {
		s.Malformed++
		s.Next++
		return nil
	}
	s.RuleSet = max(s.RuleSet, number)
	decision := s.foldRecord(offset, r)
	if s.Stopped == nil && s.Next == offset {
		s.Next++
	}
	return decision
}

func (s *State) foldRecord(offset uint64, r Record) *Decision {
	switch {
	case r.Patch != nil:
		return s.foldPatch(offset, r.At, *r.Patch)
	case r.Withdraw != nil:
		return s.foldWithdraw(offset, r.At, *r.Withdraw)
	case r.Initialise != nil:
		return s.foldInitialise(offset, r.At, *r.Initialise)
	case r.Snapshot != nil:
		s.foldSnapshot(offset, r)
	default:
		s.Malformed++
	}
	return nil
}

// foldPatch decides a patch. Only the first record with an id decides it: a second copy changes nothing.
func (s *State) foldPatch(offset uint64, at int64, p config.Patch) *Decision {
	if _, known := s.byID[p.ID]; known {
		return nil
	}
	d := Decision{Offset: offset, ID: p.ID, Outcome: Refused, Base: p.Base, Author: p.Author, Reason: p.Reason, At: at}
	if s.Doc == nil {
		d.Error = errkind.As(errkind.New(errkind.Conflict, "run redwingctl config init first",
			"patch %q came before the configuration was initialised", p.ID))
		return s.remember(d)
	}
	next, err := config.Apply(s.Doc, p)
	if err != nil {
		d.Version = s.Doc.Version
		d.Error = plain(err)
		return s.remember(d)
	}
	d.Outcome, d.Version = Accepted, next.Version
	d.Ops, d.Undo, d.BaseDigest = p.Ops, config.Diff(next, s.Doc), s.Digest
	s.install(next)
	return s.remember(d)
}

// plain drops the cause, which does not travel.
func plain(err error) *errkind.Error {
	typed := errkind.As(err)
	return &errkind.Error{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy}
}

func (s *State) foldWithdraw(offset uint64, at int64, w Withdraw) *Decision {
	if _, known := s.byID[w.PatchID]; known {
		return nil
	}
	d := Decision{Offset: offset, ID: w.PatchID, Outcome: Refused, Withdrawn: true, Author: w.Author, Reason: w.Reason, At: at}
	if s.Doc != nil {
		d.Version = s.Doc.Version
	}
	d.Error = &errkind.Error{Kind: errkind.Conflict, Message: "patch " + w.PatchID + " was withdrawn before it took effect",
		Remedy: "submit the change again with a new id"}
	return s.remember(d)
}

func (s *State) foldInitialise(offset uint64, at int64, i Initialise) *Decision {
	if _, known := s.byID[i.ID]; known {
		return nil
	}
	d := Decision{Offset: offset, ID: i.ID, Outcome: Refused, Author: i.Author, Reason: i.Reason, At: at}
	switch {
	case s.Doc != nil:
		d.Version = s.Doc.Version
		d.Error = &errkind.Error{Kind: errkind.Conflict, Message: "the configuration is already initialised",
			Remedy: "submit a patch instead"}
		return s.remember(d)
	case i.Document == nil:
		d.Error = &errkind.Error{Kind: errkind.BadInput, Message: "initialise record has no document", Remedy: "give a document"}
		return s.remember(d)
	}
	doc := config.Normalise(i.Document)
	doc.Version = 0
	if err := config.Validate(doc); err != nil {
		d.Error = plain(err)
		return s.remember(d)
	}
	d.Outcome = Accepted
	s.install(doc)
	// The initialise record holds the whole state, as a snapshot does.
	s.noteSnapshot(offset, at)
	return s.remember(d)
}

// install puts a document in force. A lower version never replaces a higher one.
func (s *State) install(doc *config.Document) {
	held := s.Doc
	if held != nil && !invariant.Check(doc.Version > held.Version, invariant.ConfigurationMonotone,
		"fold at offset %d goes from version %d to %d", s.Next, held.Version, doc.Version) {
		return
	}
	s.Doc, s.Digest = doc, config.Digest(doc)
}

func (s *State) noteSnapshot(offset uint64, at int64) {
	s.HasSnapshot, s.SnapshotOffset, s.SnapshotAt = true, offset, at
}

// remember appends a decision and drops the oldest beyond the bounds.
func (s *State) remember(d Decision) *Decision {
	s.Decisions = append(s.Decisions, d)
	s.byID[d.ID] = d.Offset
	s.historyBytes += opsBytes(d)
	for len(s.Decisions) > 1 && (len(s.Decisions) > HistoryLimit || s.historyBytes > HistoryBytes) {
		oldest := s.Decisions[0]
		s.historyBytes -= opsBytes(oldest)
		delete(s.byID, oldest.ID)
		s.floor = oldest.Offset + 1
		s.Decisions = s.Decisions[1:]
	}
	return &s.Decisions[len(s.Decisions)-1]
}

func opsBytes(d Decision) int {
	n := 0
	for _, op := range d.Ops {
		n += len(op.Path) + len(op.Value)
	}
	for _, op := range d.Undo {
		n += len(op.Path) + len(op.Value)
	}
	return n
}

// SkipTo carries the state on over records that expired before any reachable process read them, up to oldest. The caller
// has made sure that neither the log nor a peer holds them or a later state.
func (s *State) SkipTo(oldest uint64) {
	s.Skipped = &SkippedRange{From: s.Next, To: oldest}
	s.Next, s.HasSnapshot = oldest, false
	if s.Doc != nil {
		s.Skipped.Version = s.Doc.Version
	}
}

// Supersedes reports whether s may replace held: it is further on in the log and its version is not lower.
func (s *State) Supersedes(held *State) bool {
	if s.Doc == nil {
		return false
	}
	if held == nil || held.Doc == nil {
		return true
	}
	return s.Next > held.Next && s.Doc.Version >= held.Doc.Version
}

// Clone returns a copy that can be folded on independently.
func (s *State) Clone() *State {
	next := *s
	next.Decisions = append([]Decision(nil), s.Decisions...)
	next.byID = make(map[string]uint64, len(s.byID))
	for id, offset := range s.byID {
		next.byID[id] = offset
	}
	return &next
}
