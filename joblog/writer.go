package joblog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// appendTimeout bounds the attempts of one append of callers' records.
	appendTimeout = 1100 * time.Millisecond
	// unknownPatience is how long after its first attempt a record whose outcome is unknown is tried again. Callers wait for 3 s;
	// another attempt that takes appendTimeout would end after them.
	unknownPatience = 1800 * time.Millisecond
	// appendRetryInterval is the pause before an append is tried again.
	appendRetryInterval = 60 * time.Millisecond
	// refusedAttempts is how often an append that the store refuses is tried before the caller is told.
	refusedAttempts = 4
	// maxFlights is how many appends may be under way at once, so that one without an answer does not hold up the rest.
	maxFlights = 3
	// maxFlightBytes bounds the records of one append.
	maxFlightBytes = 512 << 10
)

// Writer stores callers' records.
type Writer struct {
	parts [IntakeParts]partWriter
}

// NewWriter returns a writer to the log.
func NewWriter(log store.Log, hedge *store.Hedge) *Writer {
	w := &Writer{}
	for part := range w.parts {
		w.parts[part].log = log
		w.parts[part].hedge = hedge
		w.parts[part].stream = store.Stream{Topic: store.TopicIntake, Part: part}
	}
	return w
}

// Submit stores a submission. It returns nil once it is stored, an error that matches store.ErrNotDone if it is not
// stored and never will be, or one that matches store.ErrUnknown if the outcome was not known when ctx ended.
func (w *Writer) Submit(ctx context.Context, job *workload.Job) error {
	record, err := SubmissionRecord(job)
	if err != nil {
		return errors.Join(store.ErrNotDone, err)
	}
	return w.write(ctx, job.ID, record)
}

// Cancel stores a cancellation; see Submit for the outcomes.
func (w *Writer) Cancel(ctx context.Context, id workload.JobID) error {
	return w.write(ctx, id, CancelRecord(id))
}

func (w *Writer) write(ctx context.Context, id workload.JobID, record store.Record) error {
	return w.parts[IntakeOf(id).Part].write(ctx, record)
}

// partWriter writes to one part. Records that arrive while an append is under way go together in the next one.
type partWriter struct {
	log    store.Log
	stream store.Stream
	hedge  *store.Hedge

	mu      sync.Mutex
	pending []*write
	flights int
}

type write struct {
	record store.Record
	ctx    context.Context
	// uncertain writes were part of an append without an answer: they may be stored, now or later.
	uncertain bool
	refused   int
	startedAt time.Time
	done      chan error
}

// write stores the record. It returns nil once it is stored, an error that matches store.ErrNotDone if it is not stored
// and never will be, or one that matches store.ErrUnknown if the outcome was not known when ctx ended.
func (w *partWriter) write(ctx context.Context, record store.Record) error {
	item := &write{record: record, ctx: ctx, startedAt: time.Now(), done: make(chan error, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, item)
	w.dispatch()
	w.mu.Unlock()
	return <-item.done
}

// dispatch starts an append for what is pending. mu is held.
func (w *partWriter) dispatch() {
	if w.flights >= maxFlights || len(w.pending) == 0 {
		return
	}
	batch := w.takeBatch()
	w.flights++
	go w.fly(batch)
}

func (w *partWriter) takeBatch() []*write {
	size, n := 0, 0
	for n < len(w.pending) && (n == 0 || size < maxFlightBytes) {
		size += len(w.pending[n].record.Value)
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// fly appends the batch until every write of it has an outcome.
func (w *partWriter) fly(batch []*write) {
	for len(batch) > 0 {
		err := w.append(batch)
		batch = settle(batch, err)
		if len(batch) > 0 {
			time.Sleep(appendRetryInterval)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flights--
	w.dispatch()
}

func (w *partWriter) append(batch []*write) error {
	records := make([]store.Record, len(batch))
	for i, item := range batch {
		records[i] = item.record
	}
	_, err := w.hedge.Append(context.Background(), w.log, w.stream, records, nil, appendTimeout)
	return err
}

// settle gives the outcome to the writes that have one and returns the others.
func settle(batch []*write, err error) []*write {
	var open []*write
	for _, item := range batch {
		if outcome, ok := item.outcome(err); ok {
			item.done <- outcome
			continue
		}
		open = append(open, item)
	}
	return open
}

// outcome returns what the caller is told after an append; false to try again.
func (i *write) outcome(err error) (error, bool) {
	if err == nil {
		return nil, true
	}
	if errors.Is(err, store.ErrNotDone) {
		i.refused++
	} else {
		i.uncertain = true
	}
	if i.uncertain {
		return errors.Join(store.ErrUnknown, err), i.ctx.Err() != nil || time.Since(i.startedAt) > unknownPatience
	}
	return err, i.ctx.Err() != nil || i.refused >= refusedAttempts
}
