package leader

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// cleanupInterval is the time between two searches for ended jobs whose records may be deleted.
	cleanupInterval = 10 * time.Second
	// CleanupMargin is added to the time for which the state of an ended job must be readable. Early cancellations are kept as long: no
	// submission is stored later than that after it was sent.
	CleanupMargin = 60 * time.Second
	// maxTombstones bounds the early cancellations of one stream that one search deletes.
	maxTombstones = 8192
)

// cleanUp deletes the records of ended jobs whose state no longer has to be readable, of queues that are not used, and of early
// cancellations that no submission can follow.
func (l *Leader) cleanUp(ctx context.Context) {
	l.core.DropUnusedPolicies()
	l.cleanUpEarlyCancels(ctx)
	l.cleanUpEndedJobs(ctx)
}

// cleanUpEarlyCancels deletes old early cancellations in the background, unless something was appended to their stream meanwhile: that may
// be a cancellation that was stored again. A failure is logged; the next search tries again.
func (l *Leader) cleanUpEarlyCancels(ctx context.Context) {
	for _, d := range l.Follower.DeleteEarlyCancels(boottime.Now() - l.StatusRetention - CleanupMargin) {
		records := d.Records[:min(len(d.Records), maxTombstones)]
		l.spawn(func() {
			if err := l.Log.AppendAt(ctx, d.Stream, records, d.End, journalTimeout); err != nil {
				l.logger.Warn().Err(err).Stringer("stream", d.Stream).Int64("end", d.End).Int("records", len(records)).
					Msg("early cancellations not deleted")
			}
		})
	}
}

// cleanUpEndedJobs deletes the records of ended jobs whose state no longer has to be readable.
func (l *Leader) cleanUpEndedJobs(ctx context.Context) {
	if l.appendDone != nil {
		return
	}
	ended := l.core.TakeEnded(boottime.Now() - l.StatusRetention - CleanupMargin)
	if len(ended) == 0 {
		return
	}
	done := make(chan error, 1)
	l.appendDone = done
	go func() { done <- l.deleteJobRecords(ctx, ended) }()
}

// deleteJobRecords deletes submissions and cancellations first and states last: a job whose submission is still stored but
// whose state is deleted would start again from the beginning. The error is that of the deletion of the states; if a
// submission cannot be deleted, it logs that and returns nil.
func (l *Leader) deleteJobRecords(ctx context.Context, ids []workload.JobID) error {
	states := make([]store.Record, len(ids))
	for i, id := range ids {
		states[i] = joblog.StateTombstone(id)
		_, err := l.Log.Append(ctx, joblog.IntakeStream(id), joblog.IntakeTombstones(id), nil, journalTimeout)
		if err != nil {
			l.logger.Warn().Err(err).Str("job", string(id)).Msg("records of an ended job not deleted; the next holder of the schedule retries")
			return nil
		}
	}
	return l.journal.write(ctx, states)
}
