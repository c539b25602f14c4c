package joblog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// appendTimeout bounds one hedged append of callers' records.
	appendTimeout = 1100 * time.Millisecond
	// unknownRetryWindow is the time after the start of a write within which it is retried while its outcome is unknown. An
	// attempt takes up to appendTimeout and callers wait for 3 s, so a later attempt could end too late.
	unknownRetryWindow = 1800 * time.Millisecond
	// appendRetryInterval is the pause before an append is retried.
	appendRetryInterval = 60 * time.Millisecond
	// maxRejections is the number of times that the store may reject a write without executing it; after that, the write
	// fails.
	maxRejections = 4
	// maxInFlight is how many appends to a part may be in flight at once, so that one without a response does not delay the
	// rest.
	maxInFlight = 3
	// maxAppendBytes bounds the size of the records of one append; it may be exceeded by one record.
	maxAppendBytes = 512 << 10
)

// Writer stores callers' submissions and cancellations. It is safe for concurrent use.
type Writer struct {
	parts [IntakeParts]partWriter
	// maxRecordBytes is the size of the largest record that the store accepts.
	maxRecordBytes int
}

// recordOverheadBytes bounds the bytes of a record beside its value.
const recordOverheadBytes = 256

// NewWriter returns a writer that appends to log, which accepts records of up to maxRecordBytes.
func NewWriter(log store.Log, hedge *store.Hedge, maxRecordBytes int) *Writer {
	w := &Writer{maxRecordBytes: maxRecordBytes}
	for part := range w.parts {
		w.parts[part].log = log
		w.parts[part].hedge = hedge
		w.parts[part].stream = store.Stream{Topic: store.TopicIntake, Part: part}
	}
	return w
}

// Submit stores a submission. It returns nil once the submission is stored, an error that matches store.ErrNotExecuted
// if it is not stored and never will be, or one that matches store.ErrUnknown if the outcome was still unknown when ctx
// ended or the retries were exhausted. A submission that exceeds the largest record returns a TooLarge error: in an append
// it would make the store reject the submissions of other callers as well.
func (w *Writer) Submit(ctx context.Context, job *workload.Job) error {
	record, err := SubmissionRecord(job)
	if err != nil {
		return errors.Join(store.ErrNotExecuted, err)
	}
	if size := len(record.Value) + recordOverheadBytes; size > w.maxRecordBytes {
		return errkind.New(errkind.TooLarge, "send a smaller submission", "the submission needs a record of %d bytes, at most %d can be stored",
			size, w.maxRecordBytes)
	}
	_, err = w.write(job.ID, &write{record: record, ctx: ctx, abandonable: true})
	return err
}

// Cancel stores a cancellation and returns its offset; see Submit for the outcomes.
func (w *Writer) Cancel(ctx context.Context, id workload.JobID) (offset int64, err error) {
	return w.write(id, &write{record: CancelRecord(id), ctx: ctx})
}

// CancelEarly stores a cancellation that also holds for a submission that is stored later, if the caller may cancel that, and returns its
// offset; see Submit for the outcomes.
func (w *Writer) CancelEarly(ctx context.Context, id workload.JobID, caller Caller) (offset int64, err error) {
	record, err := EarlyCancelRecord(id, caller)
	if err != nil {
		return 0, errors.Join(store.ErrNotExecuted, err)
	}
	return w.write(id, &write{record: record, ctx: ctx})
}

func (w *Writer) write(id workload.JobID, item *write) (offset int64, err error) {
	err = w.parts[IntakeStream(id).Part].write(item)
	return item.offset, err
}

// partWriter writes to one part. Records that arrive while appends are in flight are batched in the next one.
type partWriter struct {
	log    store.Log
	stream store.Stream
	hedge  *store.Hedge

	mu sync.Mutex
	// pending holds the writes that are in no append, inFlight is the number of appends in flight.
	pending  []*write
	inFlight int
}

// write is one caller's record that waits for its outcome.
type write struct {
	record store.Record
	// ctx is the context of the caller's request. Its end stops the retries, not an append in flight.
	ctx context.Context
	// abandonable is true if the write must not begin once its caller has left.
	abandonable bool
	// uncertain is true if the write was part of an append of unknown outcome: it may be stored, now or later.
	uncertain bool
	// rejections is the number of times that the store has rejected the write without executing it.
	rejections int
	// startedAt is the start of the write on the boot clock, which also counts the time for which the VM is suspended.
	startedAt time.Duration
	// offset is that of the record once it is stored, or store.UnknownOffset.
	offset int64
	done   chan error
}

// write stores the record and returns its outcome; see Writer.Submit.
func (w *partWriter) write(item *write) error {
	item.startedAt = boottime.Now()
	item.done = make(chan error, 1)
	w.mu.Lock()
	w.pending = append(w.pending, item)
	w.dispatch()
	w.mu.Unlock()
	return <-item.done
}

// dispatch starts an append of pending writes unless maxInFlight appends are in flight. mu must be held.
func (w *partWriter) dispatch() {
	if w.inFlight >= maxInFlight || len(w.pending) == 0 {
		return
	}
	batch := w.takeBatch()
	w.inFlight++
	go w.appendBatch(batch)
}

// takeBatch removes the writes of the next append from pending. mu must be held.
func (w *partWriter) takeBatch() []*write {
	size, n := 0, 0
	for n < len(w.pending) && (n == 0 || size < maxAppendBytes) {
		size += len(w.pending[n].record.Value)
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// appendBatch appends the batch and retries until every write of it has an outcome.
func (w *partWriter) appendBatch(batch []*write) {
	batch = dropAbandoned(batch)
	for len(batch) > 0 {
		offset, err := w.append(batch)
		batch = deliverOutcomes(batch, offset, err)
		if len(batch) > 0 {
			time.Sleep(appendRetryInterval)
			batch = dropAbandoned(batch)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.dispatch()
}

// dropAbandoned sends the outcomes of the writes that must not begin any more, and returns the other writes.
func dropAbandoned(batch []*write) []*write {
	return slices.DeleteFunc(batch, func(item *write) bool {
		if !item.abandoned() {
			return false
		}
		outcome := store.ErrNotExecuted
		if item.uncertain {
			outcome = store.ErrUnknown
		}
		item.done <- fmt.Errorf("%w: its caller has left", outcome)
		return true
	})
}

// abandoned reports whether the caller of the write has left, or must have left while the VM was suspended.
func (i *write) abandoned() bool {
	return i.abandonable && (i.ctx.Err() != nil || boottime.Now()-i.startedAt > unknownRetryWindow+appendTimeout)
}

// append makes one hedged append of the batch and returns the offset of its first record.
func (w *partWriter) append(batch []*write) (offset int64, err error) {
	records := make([]store.Record, len(batch))
	for i, item := range batch {
		records[i] = item.record
	}
	offset, _, err = w.hedge.Append(context.Background(), w.log, w.stream, records, nil, appendTimeout)
	return offset, err
}

// deliverOutcomes sends the outcomes of the writes that have one after an append that returned offset and err, and returns the other
// writes.
func deliverOutcomes(batch []*write, offset int64, err error) []*write {
	var unsettled []*write
	for n, item := range batch {
		item.offset = store.UnknownOffset
		if err == nil && offset != store.UnknownOffset {
			item.offset = offset + int64(n)
		}
		if outcome, ok := item.outcome(err); ok {
			item.done <- outcome
			continue
		}
		unsettled = append(unsettled, item)
	}
	return unsettled
}

// outcome returns the error of the write after an append that returned err, nil for a success; false if the write has to be
// retried.
func (i *write) outcome(err error) (error, bool) {
	if err == nil {
		return nil, true
	}
	if errors.Is(err, store.ErrNotExecuted) {
		i.rejections++
	} else {
		i.uncertain = true
	}
	if i.uncertain {
		return errors.Join(store.ErrUnknown, err), i.ctx.Err() != nil || boottime.Now()-i.startedAt > unknownRetryWindow
	}
	return err, i.ctx.Err() != nil || i.rejections >= maxRejections
}
