package leader

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// TestOldEarlyCancelsAreDeletedFromTheStore guards against early cancellations that stay in the store for good, where they use up the share
// of their account, and against the deletion of one that a submission may still follow.
func TestOldEarlyCancelsAreDeletedFromTheStore(t *testing.T) {
	const id = workload.JobID("0123456789abcdef")
	for _, retention := range []time.Duration{-CleanupMargin - time.Second, 0} {
		log := storetest.New()
		l := newTestLeader(t, log, &bytes.Buffer{})
		l.View = joblog.NewView()
		l.StatusRetention = retention
		record, err := joblog.EarlyCancelRecord(id, joblog.Caller{Queue: "q", Account: "acme"})
		if err != nil {
			t.Fatal(err)
		}
		stream := joblog.IntakeStream(id)
		if _, err := log.Append(t.Context(), stream, []store.Record{record}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
		l.Follower = joblog.NewFollower(log, l.View, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		go l.Follower.Run(ctx)
		if err := l.Follower.Refresh(t.Context(), 0, stream); err != nil {
			t.Fatal(err)
		}
		l.cleanUpEarlyCancels(t.Context())
		l.goroutines.Wait()
		stop()
		if kept := log.Value(stream, record.Key) != nil; kept != (retention == 0) {
			t.Errorf("with a retention of %v the early cancellation is kept: %v", retention+CleanupMargin, kept)
		}
	}
}
