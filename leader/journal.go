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
	// producerName names the writer of job states; the epoch of the newest holder shuts out the others.
	producerName = "schedule"
	// journalTimeout bounds the attempts of an append, journalRetry is the pause before the next ones.
	journalTimeout = time.Second
	journalRetry   = 30 * time.Millisecond
	// maxBatchBytes bounds the states of one append.
	maxBatchBytes = 1 << 20
	// unnumbered is the sequence number of a holder's first attempt, which the store refuses with the number it expects. It
	// is beyond any real number: the store takes an append under the number of a recent one for a repeat.
	unnumbered = 1 << 40
)

// journal appends job states in order, one append at a time.
type journal struct {
	log   store.Log
	epoch int64
	// sequence is the number of the next append; unnumbered until the store has told the number that it expects. Raising the
	// epoch leaves the previous holder's numbers in force.
	sequence int64
	// retry is the pause before the next attempt.
	retry      time.Duration
	out        zerolog.Logger
	dependency telemetry.Dependency
	hedge      *store.Hedge
}

// open shuts out the holders before this one.
func (j *journal) open(ctx context.Context) error {
	j.sequence = unnumbered
	for ctx.Err() == nil {
		_, err := j.send(ctx, nil, &store.Producer{Name: producerName, Epoch: j.epoch})
		if err == nil || errors.Is(err, store.ErrFenced) {
			return err
		}
		boottime.Sleep(ctx, j.retry)
	}
	return ctx.Err()
}

// write appends the records; it returns an error only if another holder has taken over or ctx has ended.
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

func batchLength(records []store.Record) int {
	size, n := 0, 0
	for n < len(records) && (n == 0 || size+len(records[n].Value) < maxBatchBytes) {
		size += len(records[n].Value)
		n++
	}
	return n
}

// append repeats the append under its sequence number until its outcome is known.
func (j *journal) append(ctx context.Context, records []store.Record) error {
	// uncertain reports that an attempt under the current number may have been executed without answer.
	uncertain := false
	for ctx.Err() == nil {
		producer := &store.Producer{Name: producerName, Epoch: j.epoch, Sequence: j.sequence}
		startedAt := boottime.Now()
		attempts, err := j.send(ctx, records, producer)
		uncertain = uncertain || attempts > 1
		observe(timerAppend, boottime.Now()-startedAt)
		j.dependency.Note(j.out, "store", store.Failure(err))
		var wrong *store.SequenceError
		switch {
		case err == nil:
			j.sequence++
			return nil
		case errors.Is(err, store.ErrFenced):
			return err
		case errors.As(err, &wrong) && j.sequence == unnumbered:
			j.sequence = wrong.Expected
			uncertain = false
			continue
		case errors.As(err, &wrong):
			if !uncertain || wrong.Expected != j.sequence+1 {
				return err
			}
			// The attempt without an answer was executed.
			j.sequence++
			return nil
		case errors.Is(err, store.ErrUnknown):
			uncertain = true
		}
		boottime.Sleep(ctx, j.retry)
	}
	return ctx.Err()
}

// send makes the attempts of one append; their number is returned.
func (j *journal) send(ctx context.Context, records []store.Record, producer *store.Producer) (attempts int, err error) {
	return j.hedge.Append(ctx, j.log, store.States, records, producer, journalTimeout)
}

func stateRecords(changes []dispatch.Change) []store.Record {
	records := make([]store.Record, len(changes))
	for i, change := range changes {
		records[i] = joblog.StateRecord(change.ID, change.State)
	}
	return records
}
