package jobs

import (
	"errors"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// MaxEnded is the number of ended jobs that a fold keeps. Beyond it, the jobs whose ended records came first are dropped, so
// that every reader drops the same ones. A repeated submission is recognised only while its job is kept.
const MaxEnded = 1024

// ErrRuleSet is wrapped by the error of Fold.Apply for a record with a newer rule set. The fold does not advance past it.
var ErrRuleSet = errors.New("record has a newer rule set")

// Change is the effect of a record on the folded state.
type Change string

// The changes that a record can cause.
const (
	// ChangeNone marks a record without effect, such as a repeated submission.
	ChangeNone      Change = "none"
	ChangeSubmitted Change = "submitted"
	// ChangeConflict marks a submission whose id is in use for a job with different content.
	ChangeConflict  Change = "conflict"
	ChangeCancelled Change = "cancelled"
	ChangeIntent    Change = "intent"
	// ChangeStopped marks a checkpointed stop, after which the job is waiting again.
	ChangeStopped Change = "stopped"
	ChangeEnded   Change = "ended"
	// ChangeLoaded marks a snapshot that replaced the state.
	ChangeLoaded Change = "loaded"
)

// Fold is the state that results from applying the records of a job stream in order. All readers that apply the same records
// reach the same state. It does no I/O and is not safe for concurrent use.
type Fold struct {
	next uint64
	// entries holds the jobs by id.
	entries map[string]*Entry
	// endedOrder lists the ids of ended jobs in the order of their ended records.
	endedOrder []string
	// complete is false while some records below gapEnd are missing and no snapshot that covers them was loaded.
	complete bool
	gapEnd   uint64
	// pending holds the records from gapEnd on while the fold is not complete.
	pending []infra.Record
	// lastSnapshot is the offset of the newest snapshot record; valid if hasSnapshot is set.
	lastSnapshot uint64
	hasSnapshot  bool
	// stopped is set once Apply has received a record with a newer rule set.
	stopped bool
}

// NewFold returns the state before offset 0.
func NewFold() *Fold {
	return &Fold{entries: map[string]*Entry{}, complete: true}
}

// Next returns the offset of the next record to apply to the fold.
func (f *Fold) Next() uint64 { return f.next }

// Complete reports whether the state covers all records from offset 0, directly or through a snapshot.
func (f *Fold) Complete() bool { return f.complete }

// Stopped reports whether a record with a newer rule set stopped the fold.
func (f *Fold) Stopped() bool { return f.stopped }

// SinceSnapshot returns the number of records that were applied or skipped after the newest snapshot record, or since offset 0
// if there was none.
func (f *Fold) SinceSnapshot() uint64 {
	if !f.hasSnapshot {
		return f.next
	}
	return f.next - f.lastSnapshot - 1
}

// HasSnapshot reports whether a snapshot record was applied, even if the fold ignored its content.
func (f *Fold) HasSnapshot() bool { return f.hasSnapshot }

// Skip moves the fold to the offset oldest if records below it expired before they were read. The fold keeps its state until
// a snapshot that covers the gap replaces it.
func (f *Fold) Skip(oldest uint64) {
	if oldest <= f.next {
		return
	}
	f.next = oldest
	f.gapEnd = oldest
	f.complete = false
	f.pending = nil
}

// Apply applies the record at offset Next. A record below Next changes nothing. id is the id of the job that the record names;
// empty if it names none, as a snapshot or a malformed record. The error wraps ErrRuleSet for a record with a newer rule set
// and is of kind Internal for a record beyond Next.
func (f *Fold) Apply(r infra.Record) (change Change, id string, err error) {
	if r.Offset < f.next {
		return ChangeNone, "", nil
	}
	if r.Offset > f.next {
		return ChangeNone, "", errkind.New(errkind.Internal, "report this as a bug",
			"job stream record at offset %d applied at offset %d", r.Offset, f.next)
	}
	record, err := Decode(r.Data)
	if err == nil && record.RuleSet > RuleSet {
		f.stopped = true
		return ChangeNone, "", errkind.Wrap(ErrRuleSet, errkind.Unavailable, "upgrade this program",
			"job stream record %d has rule set %d, this program supports up to %d", r.Offset, record.RuleSet, RuleSet)
	}
	f.next++
	if !f.complete {
		f.pending = append(f.pending, r)
	}
	if err != nil {
		// All readers skip malformed records, so their states stay equal.
		return ChangeNone, "", nil
	}
	change, id = f.apply(record, r.Offset)
	return change, id, nil
}

// apply applies a decoded record. A record whose content does not match its kind has no effect.
func (f *Fold) apply(r Record, offset uint64) (Change, string) {
	switch {
	case r.Kind == RecordSubmit && r.Submit != nil:
		return f.applySubmit(*r.Submit, offset), r.Submit.ID
	case r.Kind == RecordCancel && r.Cancel != nil:
		return f.applyCancel(r.Cancel.Job), r.Cancel.Job
	case r.Kind == RecordIntent && r.Intent != nil:
		return f.applyIntent(r.Intent), r.Intent.Job
	case r.Kind == RecordEnded && r.Ended != nil:
		return f.applyEnded(r.Ended), r.Ended.Job
	case r.Kind == RecordSnapshot && r.Snapshot != nil:
		return f.applySnapshot(r.Snapshot, offset), ""
	}
	return ChangeNone, ""
}

// applySubmit adds a job unless its id is in use.
func (f *Fold) applySubmit(job Job, offset uint64) Change {
	digest := ContentDigest(job)
	if known, ok := f.entries[job.ID]; ok {
		if known.Digest != digest {
			return ChangeConflict
		}
		return ChangeNone
	}
	f.entries[job.ID] = &Entry{Job: job, Offset: offset, Digest: digest}
	return ChangeSubmitted
}

// applyCancel marks a job that has not ended as cancelled.
func (f *Fold) applyCancel(id string) Change {
	e, ok := f.entries[id]
	if !ok || e.Ended != nil || e.Cancelled {
		return ChangeNone
	}
	e.Cancelled = true
	return ChangeCancelled
}

// applyIntent applies an intent, of which the first one wins. A cancellation recorded before it takes precedence, so that the
// job is not released.
func (f *Fold) applyIntent(intent *Intent) Change {
	e, ok := f.entries[intent.Job]
	if !ok || e.Ended != nil || e.Cancelled || e.Intent != nil {
		return ChangeNone
	}
	e.Intent = intent
	e.Attempt = max(e.Attempt, intent.Attempt)
	return ChangeIntent
}

// applyEnded applies the end of an attempt. The first record with a final state ends the job.
func (f *Fold) applyEnded(ended *Ended) Change {
	e, ok := f.entries[ended.Job]
	if !ok || e.Ended != nil {
		return ChangeNone
	}
	if !ended.State.Final() {
		return e.applyCheckpointedStop(ended)
	}
	e.Ended = ended
	e.Attempt = max(e.Attempt, ended.Attempt)
	f.endedOrder = append(f.endedOrder, ended.Job)
	f.dropOldEnded()
	return ChangeEnded
}

// applyCheckpointedStop applies a checkpointed stop, which clears the intent of the attempt. A late record of an older attempt
// must not clear the intent of a newer one.
func (e *Entry) applyCheckpointedStop(ended *Ended) Change {
	if ended.State != StateWaiting || ended.Attempt < e.Attempt {
		return ChangeNone
	}
	if e.Intent != nil && e.Intent.Attempt != ended.Attempt {
		return ChangeNone
	}
	e.Intent = nil
	e.Checkpoints = ended.Checkpoints
	e.CheckpointAttempt = ended.Attempt
	e.Attempt = ended.Attempt
	return ChangeStopped
}

// dropOldEnded drops ended jobs beyond MaxEnded.
func (f *Fold) dropOldEnded() {
	for len(f.endedOrder) > MaxEnded {
		delete(f.entries, f.endedOrder[0])
		f.endedOrder = f.endedOrder[1:]
	}
}

// applySnapshot loads a snapshot that covers the records missing from the fold, which makes the fold complete. A complete fold
// ignores it, since it already has the same state.
func (f *Fold) applySnapshot(s *Snapshot, offset uint64) Change {
	f.lastSnapshot = offset
	f.hasSnapshot = true
	if f.complete || s.Next < f.gapEnd {
		return ChangeNone
	}
	f.loadSnapshot(s)
	pending := f.pending
	f.pending = nil
	f.complete = true
	for _, r := range pending {
		if r.Offset < s.Next || r.Offset >= offset {
			continue
		}
		if record, err := Decode(r.Data); err == nil && record.Kind != RecordSnapshot {
			f.apply(record, r.Offset)
		}
	}
	return ChangeLoaded
}

// loadSnapshot replaces the entries by those of a snapshot.
func (f *Fold) loadSnapshot(s *Snapshot) {
	f.entries = make(map[string]*Entry, len(s.Entries))
	f.endedOrder = nil
	for i := range s.Entries {
		e := s.Entries[i]
		f.entries[e.Job.ID] = &e
		if e.Ended != nil {
			f.endedOrder = append(f.endedOrder, e.Job.ID)
		}
	}
}

// Snapshot returns the state that covers all records below Next. Ended jobs come first, in the order of their ended records.
func (f *Fold) Snapshot() *Snapshot {
	s := &Snapshot{Next: f.next}
	for _, id := range f.endedOrder {
		s.Entries = append(s.Entries, *f.entries[id])
	}
	for _, e := range f.Open() {
		s.Entries = append(s.Entries, *e)
	}
	return s
}

// Get returns the entry of a job and whether it is known. The entry must not be modified.
func (f *Fold) Get(id string) (*Entry, bool) {
	e, ok := f.entries[id]
	return e, ok
}

// Open returns the entries of jobs without a final state in order of submission. They must not be modified.
func (f *Fold) Open() []*Entry {
	var open []*Entry
	for _, e := range f.entries {
		if e.Ended == nil {
			open = append(open, e)
		}
	}
	sortByOffset(open)
	return open
}

// All returns the entries of all jobs in order of submission. They must not be modified.
func (f *Fold) All() []*Entry {
	all := make([]*Entry, 0, len(f.entries))
	for _, e := range f.entries {
		all = append(all, e)
	}
	sortByOffset(all)
	return all
}

func sortByOffset(entries []*Entry) {
	sort.Slice(entries, func(i, k int) bool { return entries[i].Offset < entries[k].Offset })
}

// ContentDigest returns a digest of the job without its submission time, which differs between retries. It returns 0 if the
// job cannot be encoded.
func ContentDigest(job Job) uint64 {
	job.Submitted = time.Time{}
	data, err := encMode.Marshal(job)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
