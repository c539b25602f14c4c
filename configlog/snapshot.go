package configlog

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/infra"
)

// stop stops the fold at the record at offset.
func (s *State) stop(reason StopReason, offset uint64, format string, args ...any) {
	s.Stopped = &Stop{Reason: reason, Offset: offset, Detail: fmt.Sprintf(format, args...)}
}

// foldSnapshot compares a snapshot with the version and digest that this fold had at the snapshot's offset. If they
// disagree, it stops the fold, unless one of the two processes has skipped records: see reconcileSkip.
func (s *State) foldSnapshot(offset uint64, r Record) {
	snap := r.Snapshot
	if snap.Document == nil || snap.Document.Version != snap.Version || config.Digest(snap.Document) != snap.Digest {
		s.stop(StopDisagreement, offset, "snapshot of offset %d does not match its own digest", snap.Offset)
		return
	}
	version, digest, known := s.versionBefore(snap.Offset)
	switch {
	case snap.Offset > offset:
		// No process can have folded records that are not in the log yet.
		s.stop(StopDisagreement, offset, "snapshot claims offset %d, which is after its own record", snap.Offset)
	case s.Doc == nil && s.Skipped != nil:
		// No reachable process had a configuration, but the writer of the snapshot has one.
		s.adopt(offset, r)
	case s.Doc == nil:
		s.stop(StopDisagreement, offset,
			"snapshot has version %d, but the records before it contain no configuration", snap.Version)
	case !known:
		// The history does not reach back to the snapshot's offset, so there is nothing to compare.
	case version == snap.Version && digest == snap.Digest:
		s.setNewestSnapshot(offset, r.At)
		s.clearConfirmedSkip(snap)
	case snap.Skipped != nil || s.Skipped != nil:
		s.reconcileSkip(offset, r, version)
	default:
		s.stop(StopDisagreement, offset,
			"snapshot of offset %d has version %d digest %016x, but this process had version %d digest %016x", snap.Offset, snap.Version, snap.Digest, version, digest)
	}
}

// reconcileSkip reconciles this state with the snapshot of another process after one of the two processes skipped
// records that it could not read. The process with the lower version adopts the state of the other if it has skipped
// records and accepted no patch since. Otherwise its fold stops, and an operator must intervene.
func (s *State) reconcileSkip(offset uint64, r Record, version uint64) {
	snap := r.Snapshot
	switch {
	case snap.Version < version:
		// The writer is behind. It will adopt a snapshot of this version, which is due now.
		s.HasSnapshot = false
	case snap.Version > version && s.Skipped != nil && s.Doc.Version == s.Skipped.Version:
		s.adopt(offset, r)
	default:
		s.stop(StopDisagreement, offset,
			"snapshot of offset %d has version %d, but this process went from version %d to %d without it", snap.Offset, snap.Version, version, s.Doc.Version)
	}
}

// clearConfirmedSkip clears the skipped range once a snapshot covers it and a patch has been accepted after it. Until
// then a process that has read the missing records may still announce a higher version.
func (s *State) clearConfirmedSkip(snap *Snapshot) {
	if s.Skipped != nil && snap.Offset >= s.Skipped.To && s.Doc.Version > s.Skipped.Version {
		s.Skipped = nil
	}
}

// adopt replaces the state by that of a snapshot with a higher version. Next returns to the snapshot's offset, since
// the records from there on must be folded again on that version.
func (s *State) adopt(offset uint64, r Record) {
	next, err := stateFromSnapshot(r)
	if err != nil {
		return
	}
	next.Malformed = s.Malformed
	next.setNewestSnapshot(offset, r.At)
	*s = *next
}

// versionBefore returns the version and digest of the document that was in force before the record at offset was
// folded. known is false if the history does not reach back that far or no document was in force.
func (s *State) versionBefore(offset uint64) (version, digest uint64, known bool) {
	if s.Doc == nil || offset < s.historyStart {
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

// Retention holds the log's retention and the interval of snapshots.
type Retention struct {
	// Period is the minimum time for which the log retains a record.
	Period time.Duration
	// EveryRecords limits the number of records that a new process folds after the newest snapshot.
	EveryRecords uint64
}

// SnapshotDue reports whether a snapshot of the state must be appended. oldest is the oldest retained offset. A
// snapshot is due if the log retains none, if more than EveryRecords records follow the newest one, or if a third of
// the retention period has passed since, so that two appends may fail before the newest snapshot expires. None is due
// if there is no configuration or the fold has stopped.
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

// FromRecords returns the state from which the retained records of a stream can be folded. oldest is the offset of the
// oldest retained record. If it is not 0, the state is that of the newest snapshot in records whose offset is not below
// oldest, or nil if there is none. The records from the state's Next on are not folded yet.
func FromRecords(oldest uint64, records []infra.Record) *State {
	if oldest == 0 {
		return NewState()
	}
	for i := len(records) - 1; i >= 0; i-- {
		if s := stateFromRecord(oldest, records[i]); s != nil {
			return s
		}
	}
	return nil
}

// stateFromRecord returns the state of the snapshot in a record, or nil if the record holds no snapshot that a fold can
// start from.
func stateFromRecord(oldest uint64, record infra.Record) *State {
	ruleSet, err := decodeRuleSet(record.Data)
	if err != nil || ruleSet > config.RuleSet {
		return nil
	}
	r, err := decode(record.Data)
	if err != nil || r.Snapshot == nil || r.Snapshot.Offset < oldest || r.Snapshot.Offset > record.Offset {
		return nil
	}
	s, err := stateFromSnapshot(r)
	if err != nil {
		return nil
	}
	s.setNewestSnapshot(record.Offset, r.At)
	return s
}
