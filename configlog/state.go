package configlog

import (
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// Limits of the history, which is part of every snapshot. They belong to the rule set, because all processes must keep
// the same decisions.
const (
	// HistoryLimit is the largest number of decisions kept.
	HistoryLimit = 2048
	// HistoryBytes limits the size of the ops kept for show, diff and replay, in bytes of their paths and values.
	HistoryBytes = 512 << 10
)

// StopReason is the reason why the fold has stopped.
type StopReason string

// The stop reasons.
const (
	// StopRuleSet marks a record that requires a rule set unknown to this program.
	StopRuleSet StopReason = "rule_set"
	// StopDisagreement marks a snapshot that disagrees with another one or with the fold at the same offset.
	StopDisagreement StopReason = "disagreement"
)

// Stop describes why and where a fold has stopped. The last version stays in force.
type Stop struct {
	Reason StopReason `json:"reason"`
	// Offset is the offset of the record that stopped the fold.
	Offset uint64 `json:"offset"`
	Detail string `json:"detail"`
}

// State is the result of folding the configuration stream. It is not safe for concurrent use. It never modifies a
// document or decision after returning it.
type State struct {
	// Next is the offset of the next record to fold.
	Next uint64
	// Doc is the document in force, nil before version 0.
	Doc *config.Document
	// Digest is the digest of Doc.
	Digest uint64
	// RuleSet is the highest rule set of the folded records.
	RuleSet uint64
	// Decisions is the bounded history, in log order.
	Decisions []Decision
	// Stopped is set if the fold has stopped.
	Stopped *Stop
	// Skipped is the last range of expired records that were skipped. It is cleared when a patch has been accepted
	// after them and a snapshot covers them.
	Skipped *SkippedRange
	// Malformed counts the records that were ignored because this program could not decode them.
	Malformed uint64
	// SnapshotOffset and SnapshotAt are the offset and the writer's clock (Unix milliseconds) of the newest snapshot or
	// initialise record. HasSnapshot reports whether there is one.
	HasSnapshot    bool
	SnapshotOffset uint64
	SnapshotAt     int64

	// byID maps the id of each decision in the history to its offset, which is unique.
	byID map[string]uint64
	// historyBytes is the size of the ops in the history.
	historyBytes int
	// historyStart is the lowest offset for which the history determines the version in force.
	historyStart uint64
}

// NewState returns the state before the first record of a stream.
func NewState() *State { return &State{byID: map[string]uint64{}} }

// stateFromSnapshot returns the state in a snapshot record. The error has the kind BadInput if the snapshot does not
// match its digest.
func stateFromSnapshot(r Record) (*State, error) {
	snap := r.Snapshot
	if snap.Document == nil || snap.Document.Version != snap.Version || config.Digest(snap.Document) != snap.Digest {
		return nil, errkind.New(errkind.BadInput, "use another snapshot or peer",
			"snapshot of offset %d does not match its digest", snap.Offset)
	}
	s := NewState()
	s.Next, s.Doc, s.Digest, s.RuleSet = snap.Offset, snap.Document, snap.Digest, r.RuleSet
	s.Skipped = snap.Skipped
	for _, d := range snap.Decisions {
		s.appendDecision(d)
	}
	s.historyStart = snap.Offset
	if len(s.Decisions) > 0 {
		s.historyStart = s.Decisions[0].Offset
	}
	return s, nil
}

// Snapshot returns the state in the form of a snapshot record. Doc must not be nil.
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

// Fold applies the record at offset, which must be s.Next, and returns the resulting decision, or nil if there is none.
// Afterwards Next is the offset of the next record to fold. It decreases if the record contains the state of a process
// that had read more, which Fold adopts. A record that cannot be decoded has no effect. A record that requires an
// unknown rule set, or a snapshot that disagrees with the fold, stops the fold, and Next stays at that record.
func (s *State) Fold(offset uint64, raw []byte) *Decision {
	if s.Stopped != nil || offset != s.Next {
		return nil
	}
	ruleSet, err := decodeRuleSet(raw)
	if err == nil && ruleSet > config.RuleSet {
		s.stop(StopRuleSet, offset, "record requires rule set %d, but this process supports only %d", ruleSet, config.RuleSet)
		return nil
	}
	r, err := decode(raw)
	if err != nil {
		s.Malformed++
		s.Next++
		return nil
	}
	s.RuleSet = max(s.RuleSet, ruleSet)
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

// foldPatch decides about a patch. Only the first record with an id counts; a second copy has no effect.
func (s *State) foldPatch(offset uint64, at int64, p config.Patch) *Decision {
	if _, known := s.byID[p.ID]; known {
		return nil
	}
	d := Decision{Offset: offset, ID: p.ID, Outcome: Refused, Base: p.Base, Author: p.Author, Reason: p.Reason, At: at}
	if s.Doc == nil {
		d.Error = errkind.As(errkind.New(errkind.Conflict, "run redwingctl config init first",
			"patch %q came before the configuration was initialised", p.ID))
		return s.appendDecision(d)
	}
	next, err := config.Apply(s.Doc, p)
	if err != nil {
		d.Version = s.Doc.Version
		d.Error = withoutCause(err)
		return s.appendDecision(d)
	}
	d.Outcome, d.Version = Accepted, next.Version
	d.Ops, d.Undo, d.BaseDigest = p.Ops, config.Diff(next, s.Doc), s.Digest
	s.setDocument(next)
	return s.appendDecision(d)
}

// withoutCause returns the error without its cause, which is not encoded in records and responses.
func withoutCause(err error) *errkind.Error {
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
	return s.appendDecision(d)
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
		return s.appendDecision(d)
	case i.Document == nil:
		d.Error = &errkind.Error{Kind: errkind.BadInput, Message: "initialise record has no document", Remedy: "give a document"}
		return s.appendDecision(d)
	}
	doc := config.Normalise(i.Document)
	doc.Version = 0
	if err := config.Validate(doc); err != nil {
		d.Error = withoutCause(err)
		return s.appendDecision(d)
	}
	d.Outcome = Accepted
	s.setDocument(doc)
	// The initialise record contains the complete state, like a snapshot.
	s.setNewestSnapshot(offset, at)
	return s.appendDecision(d)
}

// setDocument puts a document in force. It keeps the current document and records an invariant violation if the version
// of doc is not higher.
func (s *State) setDocument(doc *config.Document) {
	current := s.Doc
	if current != nil && !invariant.Check(doc.Version > current.Version, invariant.ConfigurationMonotone,
		"fold at offset %d goes from version %d to %d", s.Next, current.Version, doc.Version) {
		return
	}
	s.Doc, s.Digest = doc, config.Digest(doc)
}

func (s *State) setNewestSnapshot(offset uint64, at int64) {
	s.HasSnapshot, s.SnapshotOffset, s.SnapshotAt = true, offset, at
}

// appendDecision appends a decision to the history, drops the oldest ones while the history exceeds its limits, and
// returns a pointer to the appended decision.
func (s *State) appendDecision(d Decision) *Decision {
	s.Decisions = append(s.Decisions, d)
	s.byID[d.ID] = d.Offset
	s.historyBytes += opsBytes(d)
	for len(s.Decisions) > 1 && (len(s.Decisions) > HistoryLimit || s.historyBytes > HistoryBytes) {
		oldest := s.Decisions[0]
		s.historyBytes -= opsBytes(oldest)
		delete(s.byID, oldest.ID)
		s.historyStart = oldest.Offset + 1
		s.Decisions = s.Decisions[1:]
	}
	return &s.Decisions[len(s.Decisions)-1]
}

// opsBytes returns the size of the ops of a decision, in bytes of their paths and values.
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

// SkipTo skips the records before oldest, which expired before any reachable process read them, and keeps the current
// document. It may only be used after neither the log nor a peer was found to hold the records or a later state.
func (s *State) SkipTo(oldest uint64) {
	s.Skipped = &SkippedRange{From: s.Next, To: oldest}
	s.Next, s.HasSnapshot = oldest, false
	if s.Doc != nil {
		s.Skipped.Version = s.Doc.Version
	}
}

// Supersedes reports whether s may replace current, which may be nil. A state with a configuration replaces one without.
// It replaces another one with a configuration if it has folded more of the log and its version is not lower.
func (s *State) Supersedes(current *State) bool {
	if s.Doc == nil {
		return false
	}
	if current == nil || current.Doc == nil {
		return true
	}
	return s.Next > current.Next && s.Doc.Version >= current.Doc.Version
}

// Clone returns a copy that can fold further records independently.
func (s *State) Clone() *State {
	next := *s
	next.Decisions = append([]Decision(nil), s.Decisions...)
	next.byID = make(map[string]uint64, len(s.byID))
	for id, offset := range s.byID {
		next.byID[id] = offset
	}
	return &next
}
