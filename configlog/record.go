// Package configlog derives the configuration in force from the configuration stream of the platform's log.
//
// State is pure: it folds records in offset order, and every process that folds the same records has the same State.
// Follower does the I/O: it reads the log, falls back to peers, publishes each new document and appends patches,
// withdrawals and snapshots.
package configlog

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// Record is one record of the configuration stream. Exactly one of the pointer fields is set.
type Record struct {
	// RuleSet is the version of the validation rules that the fold of this record requires.
	RuleSet uint64 `cbor:"rule_set"`
	// At is the writer's clock in Unix milliseconds. It is only used for the age of snapshots.
	At         int64         `cbor:"at"`
	Patch      *config.Patch `cbor:"patch,omitempty"`
	Withdraw   *Withdraw     `cbor:"withdraw,omitempty"`
	Snapshot   *Snapshot     `cbor:"snapshot,omitempty"`
	Initialise *Initialise   `cbor:"initialise,omitempty"`
}

// Withdraw refuses a patch that is not in the log yet: the patch has no effect if it is appended after this record.
type Withdraw struct {
	PatchID string `cbor:"patch_id"`
	Author  string `cbor:"author"`
	Reason  string `cbor:"reason"`
}

// Initialise creates version 0 if there is no configuration.
type Initialise struct {
	ID       string           `cbor:"id"`
	Author   string           `cbor:"author"`
	Reason   string           `cbor:"reason"`
	Document *config.Document `cbor:"document"`
}

// Snapshot is the state after all records before Offset have been folded.
type Snapshot struct {
	// Offset is the offset of the first record that the state does not include.
	Offset uint64 `cbor:"offset"`
	// Version and Digest are those of Document.
	Version  uint64           `cbor:"version"`
	Digest   uint64           `cbor:"digest"`
	Document *config.Document `cbor:"document"`
	// Decisions is the bounded history, in log order.
	Decisions []Decision `cbor:"decisions"`
	// Skipped is the range in State.Skipped of the writer, which has skipped expired records; nil if there is none.
	Skipped *SkippedRange `cbor:"skipped,omitempty"`
}

// SkippedRange describes skipped records: those from From, inclusive, to To, exclusive, expired before any reachable
// process had read them. They have no effect.
type SkippedRange struct {
	From uint64 `cbor:"from"`
	To   uint64 `cbor:"to"`
	// Version is the version in force when the records were skipped.
	Version uint64 `cbor:"version"`
}

// Outcome is the result of a submitted patch, withdrawal or initialise record.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	// Unknown means that the submitter could not read the decision from the log. A fold never yields it.
	Unknown Outcome = "unknown"
)

// Decision is the result of the fold of one patch, withdrawal or initialise record.
type Decision struct {
	// Offset is the offset of the record that led to the decision. It is 0 if the decision was not made by a fold.
	Offset  uint64  `cbor:"offset" json:"offset"`
	ID      string  `cbor:"id" json:"id"`
	Outcome Outcome `cbor:"outcome" json:"outcome"`
	// Version is the version that an accepted patch created, or the version in force when a patch was refused. It is 0
	// if there was none or the outcome is unknown.
	Version uint64 `cbor:"version" json:"version"`
	Base    uint64 `cbor:"base" json:"base"`
	Author  string `cbor:"author" json:"author"`
	Reason  string `cbor:"reason" json:"reason"`
	// At is the writer's clock in Unix milliseconds.
	At int64 `cbor:"at" json:"at_ms"`
	// Withdrawn marks a refusal by a withdraw record.
	Withdrawn bool `cbor:"withdrawn,omitempty" json:"withdrawn,omitempty"`
	// Ops are the ops of an accepted patch. Undo holds the ops that turn its version into the previous one.
	Ops  []config.Op `cbor:"ops,omitempty" json:"ops,omitempty"`
	Undo []config.Op `cbor:"undo,omitempty" json:"-"`
	// BaseDigest is the digest of the document that an accepted patch replaced; 0 for an initialise record.
	BaseDigest uint64 `cbor:"base_digest,omitempty" json:"-"`
	// Error is the reason why the patch was refused or its outcome is unknown.
	// The texts that a fold puts into it are stored in snapshots and sent to peers: all builds that run side by side must
	// produce the same texts for the same record.
	Error *errkind.Error `cbor:"error,omitempty" json:"error,omitempty"`
}

// Err returns nil for an accepted patch, otherwise the error of the decision.
func (d Decision) Err() error {
	if d.Outcome == Accepted || d.Error == nil {
		return nil
	}
	return d.Error
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode raises the limits of the decoder so that documents of several times the planned size can be decoded.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the deterministic CBOR encoding of r. An error has the kind Internal.
func Encode(r Record) ([]byte, error) {
	raw, err := encMode.Marshal(r)
	return raw, errkind.Wrap(err, errkind.Internal, "report this as a bug", "cannot encode configuration record")
}

// decodeRuleSet decodes only the rule set number, which all future formats of the record retain.
func decodeRuleSet(raw []byte) (uint64, error) {
	var head struct {
		RuleSet uint64 `cbor:"rule_set"`
	}
	err := decMode.Unmarshal(raw, &head)
	return head.RuleSet, err
}

func decode(raw []byte) (Record, error) {
	var r Record
	err := decMode.Unmarshal(raw, &r)
	return r, err
}

// EncodeState returns the encoding of s for FetchState, or nil if s is nil or has no configuration. An error has the
// kind Internal.
func EncodeState(s *State) ([]byte, error) {
	if s == nil || s.Doc == nil {
		return nil, nil
	}
	return Encode(Record{RuleSet: s.RuleSet, At: s.SnapshotAt, Snapshot: s.Snapshot()})
}

// DecodeState decodes a state encoded by EncodeState. It returns an error of kind BadInput if the state cannot be
// decoded, does not match its digest or requires an unknown rule set.
func DecodeState(raw []byte) (*State, error) {
	ruleSet, err := decodeRuleSet(raw)
	if err != nil || ruleSet > config.RuleSet {
		return nil, errkind.New(errkind.BadInput, "upgrade this process or query another peer",
			"state requires rule set %d, but this process supports only %d", ruleSet, config.RuleSet)
	}
	r, err := decode(raw)
	if err != nil || r.Snapshot == nil {
		return nil, errkind.New(errkind.BadInput, "query another peer", "cannot decode configuration state")
	}
	return stateFromSnapshot(r)
}
