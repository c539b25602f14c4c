package configlog

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// appendSnapshotIfDue starts the append of a snapshot if one is due, the log has been read to its end and the random
// delay has passed. A snapshot of another process that is read during the delay cancels the append, because no snapshot
// is due any longer.
func (f *Follower) appendSnapshotIfDue(ctx context.Context, resp infra.ReadResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.state.Next != resp.Next || !f.state.SnapshotDue(now, resp.Oldest, f.options.Retention) {
		if f.state.Next == resp.Next {
			f.nextSnapshotAt = time.Time{}
		}
		return
	}
	if f.nextSnapshotAt.IsZero() {
		f.nextSnapshotAt = now.Add(f.random.duration(f.options.SnapshotJitter))
		return
	}
	if f.appendingSnapshot || now.Before(f.nextSnapshotAt) {
		return
	}
	// If the response to the append is lost, the next attempt must wait until this process has read its own record.
	f.nextSnapshotAt = now.Add(f.options.SnapshotJitter/2 + f.random.duration(f.options.SnapshotJitter))
	f.appendingSnapshot = true
	record := Record{RuleSet: f.state.RuleSet, At: now.UnixMilli(), Snapshot: f.state.Snapshot()}
	go f.appendSnapshot(ctx, record)
}

// appendSnapshot appends a snapshot record, logs the result and keeps the error for Status.
func (f *Follower) appendSnapshot(ctx context.Context, record Record) {
	err := f.append(ctx, record, 2*f.options.RequestTimeout)
	f.options.Logger.Info().Err(err).Uint64("version", record.Snapshot.Version).Uint64("offset", record.Snapshot.Offset).
		Msg("append of configuration snapshot finished")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appendingSnapshot, f.snapshotError = false, err
}

// append appends one record to the log within timeout. After an error the record may still be in the log.
func (f *Follower) append(ctx context.Context, record Record, timeout time.Duration) error {
	raw, err := Encode(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err = f.options.Log.Append(ctx, infra.ConfigStream, [][]byte{raw})
	if err != nil {
		metricAppendErrors.Inc(1)
	} else if record.Snapshot != nil {
		metricSnapshots.Inc(1)
	}
	return err
}
