// Package configlog folds the configuration stream of the platform's log into the configuration in force.
//
// The core is pure: State folds records in offset order, and every process that folds the same records holds the same
// State. The adapter is Follower, which reads the log, falls back to peers, publishes each new document and appends
// patches, withdrawals and snapshots.
package configlog

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
)

// Record is one record of the configuration stream. Exactly one of the pointer fields is set.
type Record struct {
	// RuleSet is the number of the validation rules that the fold of this record needs.
	RuleSet uint64 `cbor:"rule_set"`
	// At is the writer's clock in Unix milliseconds. Only the age of snapshots is judged by it.
	At         int64         `cbor:"at"`
	Patch      *config.Patch `cbor:"patch,omitempty"`
	Withdraw   *Withdraw     `cbor:"withdraw,omitempty"`
	Snapshot   *Snapshot     `cbor:"snapshot,omitempty"`
	Initialise *Initialise   `cbor:"initialise,omitempty"`
}

// Withdraw settles a patch that is not in the log so far: it can take no effect behind this record.
type Withdraw struct {
	PatchID string `cbor:"patch_id"`
	Author  string `cbor:"author"`
	Reason  string `cbor:"reason"`
}

// Initialise makes version 0 if there is no configuration.
type Initialise struct {
	ID       string           `cbor:"id"`
	Author   string           `cbor:"author"`
	Reason   string           `cbor:"reason"`
	Document *config.Document `cbor:"document"`
}

// Snapshot is the folded state in front of the record at Offset.
type Snapshot struct {
	// Offset is the offset of the first record that is not folded in.
	Offset  uint64 `cbor:"offset"`
	Version uint64 `cbor:"version"`
	// Digest is that of Document.
	Digest   uint64           `cbor:"digest"`
	Document *config.Document `cbor:"document"`
	// Decisions are the bounded history, in log order.
	Decisions []Decision `cbor:"decisions"`
	// Skipped is set if the writer skipped expired records and no patch was accepted after them yet.
	Skipped *SkippedRange `cbor:"skipped,omitempty"`
}

// SkippedRange tells that the records from From on, up to but without To, expired before any process that could be asked had
// read them. They have no effect.
type SkippedRange struct {
	From uint64 `cbor:"from"`
	To   uint64 `cbor:"to"`
	// Version is the one held there.
	Version uint64 `cbor:"version"`
}

// Outcome is what became of a patch.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	// Unknown is never folded: the submitter could not read the decision back.
	Unknown Outcome = "unknown"
)

// Decision is what the fold decided about one patch, withdrawal or initialise record.
type Decision struct {
	// Offset is that of the deciding record.
	Offset  uint64  `cbor:"offset" json:"offset"`
	ID      string  `cbor:"id" json:"id"`
	Outcome Outcome `cbor:"outcome" json:"outcome"`
	// Version is the one that the patch made if it was accepted, else the one in force when it was refused.
	Version uint64 `cbor:"version" json:"version"`
	Base    uint64 `cbor:"base" json:"base"`
	Author  string `cbor:"author" json:"author"`
	Reason  string `cbor:"reason" json:"reason"`
	// At is the writer's clock in Unix milliseconds.
	At int64 `cbor:"at" json:"at_ms"`
	// Withdrawn marks a refusal by a withdraw record.
	Withdrawn bool `cbor:"withdrawn,omitempty" json:"withdrawn,omitempty"`
	// Ops are those of an accepted patch, Undo turns its version into the one before.
	Ops  []config.Op `cbor:"ops,omitempty" json:"ops,omitempty"`
	Undo []config.Op `cbor:"undo,omitempty" json:"-"`
	// BaseDigest is that of the document which an accepted patch replaced; 0 for an initialise record.
	BaseDigest uint64 `cbor:"base_digest,omitempty" json:"-"`
	// Error says why the patch was refused or is unknown.
	Error *errkind.Error `cbor:"error,omitempty" json:"error,omitempty"`
}

// Err returns the error of a decision that is not an acceptance, nil for an acceptance.
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

// decMode admits documents of the planned size several times over.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the deterministic encoding of r.
func Encode(r Record) ([]byte, error) {
	raw, err := encMode.Marshal(r)
	return raw, errkind.Wrap(err, errkind.Internal, "report this", "configuration record cannot be encoded")
}

// ruleSetOf reads only the rule-set number, which every later form of the record keeps.
func ruleSetOf(raw []byte) (uint64, error) {
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

// EncodeState returns the state as FetchState answers it.
func EncodeState(s *State) ([]byte, error) {
	if s == nil || s.Doc == nil {
		return nil, nil
	}
	return Encode(Record{RuleSet: s.RuleSet, At: s.SnapshotAt, Snapshot: s.Snapshot()})
}

// DecodeState reads what EncodeState made. It refuses a state whose digest is wrong or whose rule set is unknown.
func DecodeState(raw []byte) (*State, error) {
	number, err := ruleSetOf(raw)
	if err != nil || number > config.RuleSet {
		return nil, errkind.New(errkind.BadInput, "upgrade this process or ask another peer",
			"state needs rule set %d, this process knows %d", number, config.RuleSet)
	}
	r, err := decode(raw)
	if err != nil || r.Snapshot == nil {
		return nil, errkind.New(errkind.BadInput, "ask another peer", "state cannot be decoded")
	}
	return fromSnapshot(r)
}
