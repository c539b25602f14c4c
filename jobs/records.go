package jobs

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/errkind"
)

// RuleSet is the version of the fold rules that this program applies. A record with a higher version stops the fold, since
// programs that fold it by different rules would diverge permanently.
const RuleSet = 1

// RecordKind is the kind of a record on a job stream.
type RecordKind string

// The record kinds.
const (
	RecordSubmit   RecordKind = "submit"
	RecordCancel   RecordKind = "cancel"
	RecordIntent   RecordKind = "intent"
	RecordEnded    RecordKind = "ended"
	RecordSnapshot RecordKind = "snapshot"
)

// Record is one record of a job stream. Only the field that belongs to Kind is set.
type Record struct {
	RuleSet  int        `cbor:"rs"`
	Kind     RecordKind `cbor:"kind"`
	Submit   *Job       `cbor:"submit,omitempty"`
	Cancel   *Cancel    `cbor:"cancel,omitempty"`
	Intent   *Intent    `cbor:"intent,omitempty"`
	Ended    *Ended     `cbor:"ended,omitempty"`
	Snapshot *Snapshot  `cbor:"snapshot,omitempty"`
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Job    string    `cbor:"job"`
	Author string    `cbor:"author,omitempty"`
	At     time.Time `cbor:"at"`
}

// Intent announces the release of a run-once job. The first valid intent of a job in the log wins.
type Intent struct {
	Job     string `cbor:"job"`
	Attempt uint64 `cbor:"attempt"`
	// Holder and Epoch identify the tenure of the scheduler that wrote the record.
	Holder string `cbor:"holder"`
	Epoch  uint64 `cbor:"epoch"`
}

// Ended records the end of an attempt. A final state ends the job. StateWaiting records a stop after a checkpoint: the job
// continues from Checkpoints, for which a run-once job needs a new intent.
type Ended struct {
	Job     string `cbor:"job"`
	Attempt uint64 `cbor:"attempt"`
	State   State  `cbor:"state"`
	// Detail says why the attempt ended. It is stored in the job stream, so the wording of its texts stays stable.
	Detail string    `cbor:"detail,omitempty"`
	At     time.Time `cbor:"at"`
	// Checkpoints holds the checkpoint of each member; empty if the attempt was not checkpointed.
	Checkpoints []string `cbor:"checkpoints,omitempty"`
}

// Snapshot is the folded state of all records below Next.
type Snapshot struct {
	Next    uint64  `cbor:"next"`
	Entries []Entry `cbor:"entries"`
}

// Entry is the state of one job in a Fold.
type Entry struct {
	Job Job `cbor:"job"`
	// Offset is the offset of the submit record.
	Offset uint64 `cbor:"offset"`
	// Digest is the ContentDigest of the job.
	Digest uint64 `cbor:"digest"`
	// Cancelled is set once a cancellation was recorded. The job may still be running.
	Cancelled bool `cbor:"cancelled,omitempty"`
	// Intent is the winning intent since the last checkpointed stop; nil if there is none.
	Intent *Intent `cbor:"intent,omitempty"`
	// Ended is set once the job has a final state.
	Ended *Ended `cbor:"ended,omitempty"`
	// Checkpoints holds the checkpoint of each member from which the job continues.
	Checkpoints []string `cbor:"checkpoints,omitempty"`
	// CheckpointAttempt is the number of the attempt that wrote Checkpoints; 0 if there are none.
	CheckpointAttempt uint64 `cbor:"checkpoint_attempt,omitempty"`
	// Attempt is the highest attempt number in an intent or ended record that took effect; 0 if there was none.
	Attempt uint64 `cbor:"attempt,omitempty"`
}

// State returns the state of the job that the log shows: its final state, or StateWaiting if it has not ended.
func (e *Entry) State() State {
	if e.Ended != nil {
		return e.Ended.State
	}
	return StateWaiting
}

// Status returns the status that the log shows, without a placement.
func (e *Entry) Status() Status {
	status := Status{Job: e.Job, State: e.State(), Attempt: e.Attempt}
	if e.Ended != nil {
		status.Reason = e.Ended.Detail
	}
	return status
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of r with the rule set of this program. The error is of kind Internal if r cannot be
// encoded.
func Encode(r Record) ([]byte, error) {
	r.RuleSet = RuleSet
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this as a bug", "encode %s record", r.Kind)
	}
	return data, nil
}

// Decode decodes a record. The error is of kind BadInput for malformed data.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, errkind.Wrap(err, errkind.BadInput, "check which program writes to the job stream",
			"decode a record of the job stream")
	}
	return r, nil
}
