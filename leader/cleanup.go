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
	// cleanupMargin is added to the time for which the state of an ended job must be readable.
	cleanupMargin = 60 * time.Second
)

// cleanUpEndedJobs deletes the records of ended jobs whose state no longer has to be readable, and those of queues that are not used.
func (l *Leader) cleanUpEndedJobs(ctx context.Context) {
	l.core.DropUnusedPolicies()
	if l.appendDone != nil {
		return
	}
	ended := l.core.TakeEnded(boottime.Now() - l.StatusRetention - cleanupMargin)
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
		err := l.Log.Append(ctx, joblog.IntakeStream(id), joblog.IntakeTombstones(id), nil, journalTimeout)
		if err != nil {
			l.logger.Warn().Err(err).Str("job", string(id)).Msg("records of an ended job not deleted; the next holder of the schedule retries")
			return nil
		}
	}
	return l.journal.write(ctx, states)
}
