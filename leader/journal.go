package leader

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
)

const (
	// producerName is the producer of job states. The epoch of the newest holder of the schedule fences all earlier ones.
	producerName = "schedule"
	// journalTimeout bounds one hedged append, journalRetryInterval is the pause before it is retried.
	journalTimeout       = time.Second
	journalRetryInterval = 30 * time.Millisecond
	// maxBatchBytes bounds the size of the states of one append; one state may exceed it.
	maxBatchBytes = 1 << 20
	// unknownSequence is the sequence number of a holder's first attempt, which the store rejects with the number that it
	// expects. It is higher than any sequence number in use, because the store treats an append with the number of a recent
	// one as a repeat.
	unknownSequence = 1 << 40
)

// journal appends job states in order, one append at a time.
type journal struct {
	log   store.Log
	epoch int64
	// sequence is the number of the next append; unknownSequence until the store has returned the number that it expects.
	// A new epoch continues the numbers of the previous holder.
	sequence int64
	// retryInterval is the pause before the next attempt.
	retryInterval time.Duration
	logger        zerolog.Logger
	dependency    telemetry.Dependency
	hedge         *store.Hedge
}

// open registers the epoch with the store, which fences all earlier holders. It returns store.ErrFenced if a newer epoch
// exists, or ctx's error.
func (j *journal) open(ctx context.Context) error {
	j.sequence = unknownSequence
	for ctx.Err() == nil {
		_, err := j.send(ctx, nil, &store.Producer{Name: producerName, Epoch: j.epoch})
		if err == nil || errors.Is(err, store.ErrFenced) {
			return err
		}
		boottime.Sleep(ctx, j.retryInterval)
	}
	return ctx.Err()
}

// superseded reports whether another holder has registered a higher epoch.
func (j *journal) superseded(ctx context.Context) (bool, error) {
	_, err := j.send(ctx, nil, &store.Producer{Name: producerName, Epoch: j.epoch})
	if errors.Is(err, store.ErrFenced) {
		return true, nil
	}
	return false, store.IgnoreRejection(err)
}

// write appends the records. It retries until they are stored, and returns an error only if another holder has taken over
// or ctx has ended.
func (j *journal) write(ctx context.Context, records []store.Record) error {
	for len(records) > 0 {
		n := batchLength(records)
		if err := j.append(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// batchLength returns how many of the first records fit into one append; at least one.
func batchLength(records []store.Record) int {
	size, n := 0, 0
	for n < len(records) && (n == 0 || size+len(records[n].Value) < maxBatchBytes) {
		size += len(records[n].Value)
		n++
	}
	return n
}

// append appends the records and retries under the same sequence number until they are stored. It returns an error only if
// another holder has taken over or ctx has ended.
func (j *journal) append(ctx context.Context, records []store.Record) error {
	// uncertain is true if an attempt under the current number may have been executed although its response was lost.
	uncertain := false
	for ctx.Err() == nil {
		producer := &store.Producer{Name: producerName, Epoch: j.epoch, Sequence: j.sequence}
		startedAt := boottime.Now()
		attempts, err := j.send(ctx, records, producer)
		uncertain = uncertain || attempts > 1
		observe(timerAppend, boottime.Now()-startedAt)
		j.dependency.Observe(j.logger, "store", store.IgnoreRejection(err))
		var sequenceErr *store.SequenceError
		switch {
		case err == nil:
			j.sequence++
			return nil
		case errors.Is(err, store.ErrFenced):
			return err
		case errors.As(err, &sequenceErr) && j.sequence == unknownSequence:
			j.sequence = sequenceErr.Expected
			uncertain = false
			continue
		case errors.As(err, &sequenceErr):
			if !uncertain || sequenceErr.Expected != j.sequence+1 {
				return err
			}
			// The attempt whose response was lost was executed.
			j.sequence++
			return nil
		case errors.Is(err, store.ErrUnknown):
			uncertain = true
		}
		boottime.Sleep(ctx, j.retryInterval)
	}
	return ctx.Err()
}

// send makes one hedged append and returns the number of its attempts.
func (j *journal) send(ctx context.Context, records []store.Record, producer *store.Producer) (attempts int, err error) {
	_, attempts, err = j.hedge.Append(ctx, j.log, store.States, records, producer, journalTimeout)
	return attempts, err
}

// stateRecords returns the records of the changed job states.
func stateRecords(changes []dispatch.Change) []store.Record {
	records := make([]store.Record, len(changes))
	for i, change := range changes {
		records[i] = joblog.StateRecord(change.ID, change.State)
	}
	return records
}
