package configlog

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/infra"
)

func (s *State) stop(reason StopReason, offset uint64, format string, args ...any) {
	s.Stopped = &Stop{Reason: reason, Offset: offset, Detail: fmt.Sprintf(format, args...)}
}

// foldSnapshot compares a snapshot with what this fold held at the snapshot's offset.
func (s *State) foldSnapshot(offset uint64, r Record) {
	snap := r.Snapshot
	if snap.Document == nil || snap.Document.Version != snap.Version || config.Digest(snap.Document) != snap.Digest {
		s.stop(StopDisagreement, offset, "snapshot of offset %d does not match its own digest", snap.Offset)
		return
	}
	version, digest, known := s.heldAt(snap.Offset)
	switch {
	case snap.Offset > offset:
		// No process can have folded records that are not written yet.
		s.stop(StopDisagreement, offset, "snapshot claims offset %d ahead of its own", snap.Offset)
	case s.Doc == nil && s.Skipped != nil:
		// Nobody that could be asked had a configuration; the writer has one.
		s.adopt(offset, r)
	case s.Doc == nil:
		s.stop(StopDisagreement, offset, "snapshot of version %d, but the records before it hold no configuration", snap.Version)
	case !known:
		// The history does not reach back to the snapshot; there is nothing to compare.
	case version == snap.Version && digest == snap.Digest:
		s.noteSnapshot(offset, r.At)
		s.confirmSkip(snap)
	case snap.Skipped != nil || s.Skipped != nil:
		s.foldAfterSkip(offset, r, version)
	default:
		s.stop(StopDisagreement, offset, "snapshot of offset %d has version %d digest %016x, the fold had version %d digest %016x",
			snap.Offset, snap.Version, snap.Digest, version, digest)
	}
}

// foldAfterSkip joins two states, one of which skipped records that it could not read. The higher version stays if the
// other process has accepted nothing since; anything else needs an operator.
func (s *State) foldAfterSkip(offset uint64, r Record, version uint64) {
	snap := r.Snapshot
	switch {
	case snap.Version < version:
		// The writer was behind; it adopts a snapshot of this version, which is due now.
		s.HasSnapshot = false
	case snap.Version > version && s.Skipped != nil && s.Doc.Version == s.Skipped.Version:
		s.adopt(offset, r)
	default:
		s.stop(StopDisagreement, offset, "snapshot of offset %d has version %d, this process went from version %d to %d without it",
			snap.Offset, snap.Version, version, s.Doc.Version)
	}
}

// confirmSkip forgets a skipped range that a snapshot has made known, once a patch was accepted behind it. Until then a
// process that read the missing records may still come with a higher version.
func (s *State) confirmSkip(snap *Snapshot) {
	if s.Skipped != nil && snap.Offset >= s.Skipped.To && s.Doc.Version > s.Skipped.Version {
		s.Skipped = nil
	}
}

// adopt takes over the state of a snapshot of a higher version. Next goes back to the snapshot's offset, since the records
// behind it must be decided again on that version.
func (s *State) adopt(offset uint64, r Record) {
	next, err := fromSnapshot(r)
	if err != nil {
		return
	}
	next.Malformed = s.Malformed
	next.noteSnapshot(offset, r.At)
	*s = *next
}

// heldAt returns version and digest of the document that this fold held in front of the record at offset. Known is false
// if the history does not reach back that far.
func (s *State) heldAt(offset uint64) (version, digest uint64, known bool) {
	if s.Doc == nil || offset < s.floor {
		return 0, 0, false
	}
	version, digest = s.Doc.Version, s.Digest
	for i := len(s.Decisions) - 1; i >= 0 && s.Decisions[i].Offset >= offset; i-- {
		d := s.Decisions[i]
		if d.Outcome != Accepted {
			continue
		}
		if d.Version == 0 {
			return 0, 0, false
		}
		version, digest = d.Version-1, d.BaseDigest
	}
	return version, digest, true
}

// Retention describes the log's retention and the rhythm of snapshots.
type Retention struct {
	// Period is the least time for which the log keeps a record.
	Period time.Duration
	// EveryRecords bounds the records that a new process folds behind the newest snapshot.
	EveryRecords uint64
}

// SnapshotDue reports whether the state must be appended again. Oldest is the oldest retained offset. It is due when a
// third of the retention period has passed, so that two appends may fail before the newest snapshot expires.
func (s *State) SnapshotDue(now time.Time, oldest uint64, r Retention) bool {
	if s.Doc == nil || s.Stopped != nil {
		return false
	}
	if !s.HasSnapshot || s.SnapshotOffset < oldest {
		return true
	}
	if s.Next-s.SnapshotOffset > r.EveryRecords {
		return true
	}
	return now.Sub(time.UnixMilli(s.SnapshotAt)) >= r.Period/3
}

// FromRecords starts a state from the retained records of a stream, of which oldest is the first. It returns nil if they
// begin neither at the first record nor hold a snapshot that reaches back to no expired record. Records behind the start
// must be folded by the caller.
func FromRecords(oldest uint64, records []infra.Record) *State {
	if oldest == 0 {
		return NewState()
	}
	for i := len(records) - 1; i >= 0; i-- {
		if s := fromRecord(oldest, records[i]); s != nil {
			return s
		}
	}
	return nil
}

// fromRecord returns the state of the snapshot in a record, nil if it holds none that can be started from.
func fromRecord(oldest uint64, record infra.Record) *State {
	number, err := ruleSetOf(record.Data)
	if err != nil || number > config.RuleSet {
		return nil
	}
	r, err := decode(record.Data)
	if err != nil || r.Snapshot == nil || r.Snapshot.Offset < oldest || r.Snapshot.Offset > record.Offset {
		return nil
	}
	s, err := fromSnapshot(r)
	if err != nil {
		return nil
	}
	s.noteSnapshot(record.Offset, r.At)
	return s
}
