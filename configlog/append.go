package configlog

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// planSnapshot appends a snapshot when one is due, the log has been read to its end, and the jitter has passed. Another
// process's snapshot seen meanwhile makes it undue again.
func (f *Follower) planSnapshot(ctx context.Context, resp infra.ReadResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.state.Next != resp.Next || !f.state.SnapshotDue(now, resp.Oldest, f.settings.Retention) {
		if f.state.Next == resp.Next {
			f.snapshotAt = time.Time{}
		}
		return
	}
	if f.snapshotAt.IsZero() {
		f.snapshotAt = now.Add(f.random.duration(f.settings.SnapshotJitter))
		return
	}
	if f.appending || now.Before(f.snapshotAt) {
		return
	}
	// A lost response must not make this process append again before it has read its own record.
	f.snapshotAt = now.Add(f.settings.SnapshotJitter/2 + f.random.duration(f.settings.SnapshotJitter))
	f.appending = true
	record := Record{RuleSet: f.state.RuleSet, At: now.UnixMilli(), Snapshot: f.state.Snapshot()}
	go f.appendSnapshot(ctx, record)
}

func (f *Follower) appendSnapshot(ctx context.Context, record Record) {
	err := f.append(ctx, record, 2*f.settings.CallTimeout)
	f.settings.Logger.Info().Err(err).Uint64("version", record.Snapshot.Version).Uint64("offset", record.Snapshot.Offset).
		Msg("configuration snapshot appended")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appending, f.snapshotError = false, err
}

// append appends one record within limit. After an error the record may be in the log.
func (f *Follower) append(ctx context.Context, record Record, limit time.Duration) error {
	raw, err := Encode(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err = f.settings.Log.Append(ctx, infra.ConfigStream, [][]byte{raw})
	if err != nil {
		metricAppendErrors.Inc(1)
	} else if record.Snapshot != nil {
		metricSnapshots.Inc(1)
	}
	return err
}
