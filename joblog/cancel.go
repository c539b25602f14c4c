package joblog

import (
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// CancelAction is what a VM does about a cancellation.
type CancelAction int

// The actions. After CancelStored and CancelOfOthers the answer is that there is no such job.
const (
	// CancelStore stores the cancellation of a known job.
	CancelStore CancelAction = iota
	// CancelStoreEarly stores the cancellation of a job that is not known; see EarlyCancelRecord.
	CancelStoreEarly
	// CancelStored stores nothing, because the same early cancellation was stored recently enough.
	CancelStored
	// CancelEnded stores nothing, because the job has ended or was cancelled before.
	CancelEnded
	// CancelOfOthers stores nothing, because the caller may not access the job, or learn that it exists.
	CancelOfOthers
	// CancelForbidden stores nothing, because the key with which the caller has submitted the job belongs to another account now.
	CancelForbidden
)

// DecideCancel returns what to do about the cancellation of the job by the caller. Early cancellations are kept for retention at least; one
// is stored again in the second half of that time, so that it outlives whatever is in flight.
func (v *View) DecideCancel(id workload.JobID, caller Caller, retention time.Duration) CancelAction {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	switch {
	case e == nil || e.job == nil:
		if found, known := v.earlyCancels.find(id, caller); known && v.now()-found.storedAfter < retention/2 {
			return CancelStored
		}
		return CancelStoreEarly
	case caller.MayAccess(e.job):
		if e.cancelled() || e.phase.Final() {
			return CancelEnded
		}
		return CancelStore
	case caller.HasSubmitted(e.job):
		return CancelForbidden
	}
	return CancelOfOthers
}

// String returns the name of the action for log lines.
func (a CancelAction) String() string {
	names := [...]string{"store", "store early", "stored before", "ended", "of others", "forbidden"}
	if a < 0 || int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}
