package jobs

import (
	"errors"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// MaxEnded is the number of ended jobs that the fold keeps. The oldest ones are dropped in the order of their ended
// records, so that every reader drops the same. An id is recognised as a repeat only while its job is kept.
const MaxEnded = 1024

// ErrRuleSet is returned by Fold.Apply for a record of a newer rule set. The fold stays where it is.
var ErrRuleSet = errors.New("record has a newer rule set")

// Change says what a record did to the folded state.
type Change string

// The changes.
const (
	// ChangeNone marks a record without effect, such as a repeated submission.
	ChangeNone      Change = "none"
	ChangeSubmitted Change = "submitted"
	// ChangeConflict marks a submission whose id is in use for other content.
	ChangeConflict  Change = "conflict"
	ChangeCancelled Change = "cancelled"
	ChangeIntent    Change = "intent"
	// ChangeStopped marks a checkpointed stop after which the job waits again.
	ChangeStopped Change = "stopped"
	ChangeEnded   Change = "ended"
	// ChangeLoaded marks that the state was replaced by that of a snapshot.
	ChangeLoaded Change = "loaded"
)

// Fold is the state of a job stream. All readers that apply the same records have the same state. It is pure and not
// safe for concurrent use.
type Fold struct {
	next    uint64
	entries map[string]*Entry
	// endedOrder lists ended jobs in the order of their ended records.
	endedOrder []string
	// anchored is false while records before origin are missing and no snapshot has replaced them.
	anchored bool
	origin   uint64
	// pending holds the records since origin while the fold is not anchored.
	pending []infra.Record
	// lastSnapshot is the offset of the newest snapshot record seen; valid if hasSnapshot.
	lastSnapshot uint64
	hasSnapshot  bool
	stopped      bool
}

// NewFold returns the state before offset 0.
func NewFold() *Fold {
	return &Fold{entries: map[string]*Entry{}, anchored: true}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() uint64 { return f.next }

// Anchored reports whether the state covers all records from offset 0, directly or through a snapshot.
func (f *Fold) Anchored() bool { return f.anchored }

// Stopped reports whether a record of a newer rule set stopped the fold.
func (f *Fold) Stopped() bool { return f.stopped }

// SinceSnapshot returns the number of records after the newest snapshot.
func (f *Fold) SinceSnapshot() uint64 {
	if !f.hasSnapshot {
		return f.next
	}
	return f.next - f.lastSnapshot - 1
}

// HasSnapshot reports whether the fold has seen a snapshot record.
func (f *Fold) HasSnapshot() bool { return f.hasSnapshot }

// Skip moves the fold to oldest if records below it have expired before they were read. The fold keeps what it holds
// until a snapshot that covers the gap replaces it.
func (f *Fold) Skip(oldest uint64) {
	if oldest <= f.next {
		return
	}
	f.next = oldest
	f.origin = oldest
	f.anchored = false
	f.pending = nil
}

// Apply folds the record at offset Next. A record below Next changes nothing. The id is that of the job concerned.
func (f *Fold) Apply(r infra.Record) (change Change, id string, err error) {
	if r.Offset < f.next {
		return ChangeNone, "", nil
	}
	if r.Offset > f.next {
		return ChangeNone, "", errkind.New(errkind.Internal, "report this fault",
			"job stream record %d applied at %d", r.Offset, f.next)
	}
	record, err := Decode(r.Data)
	if err == nil && record.RuleSet > RuleSet {
		f.stopped = true
		return ChangeNone, "", errkind.Wrap(ErrRuleSet, errkind.Unavailable, "upgrade this program",
			"job stream record %d has rule set %d, this program knows %d", r.Offset, record.RuleSet, RuleSet)
	}
	f.next++
	if !f.anchored {
		f.pending = append(f.pending, r)
	}
	if err != nil {
		// Malformed records are skipped by all readers alike.
		return ChangeNone, "", nil
	}
	change, id = f.apply(record, r.Offset)
	return change, id, nil
}

func (f *Fold) apply(r Record, offset uint64) (Change, string) {
	switch {
	case r.Kind == RecordSubmit && r.Submit != nil:
		return f.submit(*r.Submit, offset), r.Submit.ID
	case r.Kind == RecordCancel && r.Cancel != nil:
		return f.cancel(r.Cancel.Job), r.Cancel.Job
	case r.Kind == RecordIntent && r.Intent != nil:
		return f.intent(r.Intent), r.Intent.Job
	case r.Kind == RecordEnded && r.Ended != nil:
		return f.ended(r.Ended), r.Ended.Job
	case r.Kind == RecordSnapshot && r.Snapshot != nil:
		return f.snapshot(r.Snapshot, offset), ""
	}
	return ChangeNone, ""
}

func (f *Fold) submit(job Job, offset uint64) Change {
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

func (f *Fold) cancel(id string) Change {
	e, ok := f.entries[id]
	if !ok || e.Ended != nil || e.Cancelled {
		return ChangeNone
	}
	e.Cancelled = true
	return ChangeCancelled
}

// intent lets the first intent win. A cancel before it wins over it, so that the job provably does not run.
func (f *Fold) intent(intent *Intent) Change {
	e, ok := f.entries[intent.Job]
	if !ok || e.Ended != nil || e.Cancelled || e.Intent != nil {
		return ChangeNone
	}
	e.Intent = intent
	e.Attempt = max(e.Attempt, intent.Attempt)
	return ChangeIntent
}

func (f *Fold) ended(ended *Ended) Change {
	e, ok := f.entries[ended.Job]
	if !ok || e.Ended != nil {
		return ChangeNone
	}
	if !ended.State.Final() {
		return e.stoppedAt(ended)
	}
	e.Ended = ended
	e.Attempt = max(e.Attempt, ended.Attempt)
	f.endedOrder = append(f.endedOrder, ended.Job)
	f.dropOldEnded()
	return ChangeEnded
}

// stoppedAt applies a checkpointed stop. A late record of an older attempt must not give a newer intent free.
func (e *Entry) stoppedAt(ended *Ended) Change {
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

func (f *Fold) dropOldEnded() {
	for len(f.endedOrder) > MaxEnded {
		delete(f.entries, f.endedOrder[0])
		f.endedOrder = f.endedOrder[1:]
	}
}

// snapshot anchors a fold that misses older records. An anchored fold ignores it: it has the same state already.
func (f *Fold) snapshot(s *Snapshot, offset uint64) Change {
	f.lastSnapshot = offset
	f.hasSnapshot = true
	if f.anchored || s.Next < f.origin {
		return ChangeNone
	}
	f.load(s)
	pending := f.pending
	f.pending = nil
	f.anchored = true
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

func (f *Fold) load(s *Snapshot) {
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

// Snapshot returns the state below Next. Ended jobs come first, in the order of their ends.
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

// Get returns the entry of a job. The caller must not change it.
func (f *Fold) Get(id string) (*Entry, bool) {
	e, ok := f.entries[id]
	return e, ok
}

// Open returns the jobs without a final state in order of submission. The caller must not change the entries.
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

// All returns all jobs in order of submission. The caller must not change the entries.
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

// ContentDigest returns a digest of the job without its submission time, which differs between retries.
func ContentDigest(job Job) uint64 {
	job.Submitted = time.Time{}
	data, err := encMode.Marshal(job)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
