package joblog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// longPollWait is how long a read waits for new records while the reader has a subscriber.
	longPollWait = time.Second
	// followInterval is the pause between two reads without a subscriber; queries that need a newer view end it early.
	followInterval = 1500 * time.Millisecond
	// retryInterval is the pause after a failed read.
	retryInterval = 100 * time.Millisecond
	// peekTimeout bounds a read that looks for new records beside one that waits for them.
	peekTimeout = time.Second
)

// counterUnreadable counts the records of jobs that could not be decoded.
const counterUnreadable = "jobs.unreadable_records"

// counterVoided counts the submissions that an early cancellation has cancelled, as read by this VM.
const counterVoided = "jobs.voided_submissions"

// reader folds the records of one stream into a view.
type reader struct {
	log    store.Log
	stream store.Stream
	// cursor and loadedKeys, the keys of the present load, are used only by the goroutine of run.
	cursor     store.Cursor
	loadedKeys map[string]bool
	view       *View
	logger     zerolog.Logger
	// readStartedAt is the start of the last read or, for the page of a load, of the load; completeFrom that of the last read that has
	// reached the end of the stream: later reads return what was stored after it. Both are on the clock of the view, and used only by
	// the goroutine of run.
	readStartedAt, completeFrom time.Duration
	// wake ends the pause before the next read.
	wake chan struct{}
	// voided is called after a read in which an early cancellation has cancelled a job; nil for none.
	voided func()
	// subscriber is called with the ids of the jobs whose records were read; nil for none.
	subscriber atomic.Pointer[func([]workload.JobID)]
	dependency telemetry.Dependency

	mu sync.Mutex
	// complete is true once a read has reached the end of the stream; freshAt is the start of the last such read on the
	// boot clock.
	complete bool
	freshAt  time.Duration
	// next is the offset before which all records are in the view, once complete.
	next int64
	// updated is closed and replaced after each read.
	updated chan struct{}
	// polling is true while a read waits for the record at offset polledFrom; all earlier ones are in the view. peeking is true while
	// another read looks whether that record exists.
	polling, peeking bool
	polledFrom       int64
}

func newReader(log store.Log, stream store.Stream, view *View, logger zerolog.Logger) *reader {
	return &reader{
		log: log, stream: stream, cursor: store.Cursor{Stream: stream, Paged: true}, view: view,
		logger:       logger.With().Stringer("stream", stream).Logger(),
		completeFrom: unknownTime,
		wake:         make(chan struct{}, 1),
		updated:      make(chan struct{}),
	}
}

// awaitComplete returns once a read has reached the end of the stream, or when ctx ends.
func (r *reader) awaitComplete(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		complete, updated := r.complete, r.updated
		r.mu.Unlock()
		if complete {
			return
		}
		select {
		case <-ctx.Done():
		case <-updated:
		}
	}
}

// run reads the stream until ctx ends.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		r.dependency.Observe(r.logger, "store", err)
		switch {
		case err != nil:
			r.sleep(ctx, retryInterval)
		case r.cursor.Loading():
		case r.subscriber.Load() == nil:
			r.sleep(ctx, followInterval)
		}
	}
}

// sleep returns after d, or earlier when a read is triggered or ctx ends.
func (r *reader) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

// triggerRead makes the next read start without pause. It never blocks.
func (r *reader) triggerRead() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// read reads the next records of the stream, applies them to the view and publishes the result.
func (r *reader) read(ctx context.Context) error {
	wait := time.Duration(0)
	if r.subscriber.Load() != nil {
		wait = longPollWait
	}
	r.setPolling(wait > 0)
	if !r.cursor.Loading() {
		r.readStartedAt = r.view.now()
	}
	update, err := r.cursor.Read(ctx, r.log, wait)
	r.setPolling(false)
	if err != nil {
		return err
	}
	if update.Expired {
		r.logger.Warn().Msg("records expired before they were read; the newest record of each key was loaded instead")
	}
	ids := r.apply(update.Records, r.storedAfter(update))
	if update.Loaded {
		r.noteLoaded(update)
	}
	if update.Complete {
		r.completeFrom = r.readStartedAt
	}
	r.publish(update, ids)
	return nil
}

// storedAfter returns a time after which the records of the update were stored.
func (r *reader) storedAfter(update *store.Update) time.Duration {
	if update.Loaded {
		return unknownTime
	}
	return r.completeFrom
}

// noteLoaded notes the keys of a page of a load. After the last page it removes from the view what the stream has no more: the records that
// delete it may have expired before they were read.
func (r *reader) noteLoaded(update *store.Update) {
	if r.loadedKeys == nil {
		r.loadedKeys = map[string]bool{}
	}
	for _, record := range update.Records {
		r.loadedKeys[record.Key] = true
	}
	if !update.Complete {
		return
	}
	removed := 0
	if update.Reloaded {
		removed = r.view.RemoveMissing(r.stream, r.loadedKeys)
	}
	r.logger.Info().Int64("offset", update.Next).Int("records", len(r.loadedKeys)).Int("removed", removed).Msg("records loaded")
	r.loadedKeys = nil
}

// setPolling notes whether a read waits for new records. Those who wait for a fresh view peek then.
func (r *reader) setPolling(waits bool) {
	next, loaded := r.cursor.Position()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polling, r.polledFrom = waits && loaded, next
	if r.polling {
		r.wakeWaiters()
	}
}

// wakeWaiters makes the waiters of await look again. mu must be held.
func (r *reader) wakeWaiters() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// peek makes sure that the view becomes fresh while a read waits for new records, which may take longer than a caller waits: it asks for
// the end of the stream beside that read, in the background. If there is a new record, the waiting read returns it.
func (r *reader) peek() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.polling || r.peeking {
		return
	}
	r.peeking = true
	go r.peekFrom(r.polledFrom)
}

// peekFrom is the read of peek. All records before offset from are in the view.
func (r *reader) peekFrom(from int64) {
	startedAt := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), peekTimeout)
	defer cancel()
	batch, err := r.log.Read(ctx, r.stream, from, 0)
	if err != nil {
		time.Sleep(retryInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peeking = false
	newer := err == nil && batch.End > from
	if newer && !(r.polling && r.polledFrom > from) {
		// The read that waits, or has just returned, has the new record, and wakes the waiters.
		return
	}
	if err == nil && !newer {
		r.freshAt = max(r.freshAt, startedAt)
	}
	r.wakeWaiters()
}

// apply applies the records, which were stored after storedAfter, to the view and returns the ids of their jobs. A record that cannot be
// decoded is logged and has no effect.
func (r *reader) apply(records []store.Record, storedAfter time.Duration) []workload.JobID {
	ids := make([]workload.JobID, 0, len(records))
	for _, record := range records {
		id, err := r.applyOne(record, storedAfter)
		if err != nil {
			r.logger.Error().Err(err).Str("key", record.Key).Int64("offset", record.Offset).Msg("job record cannot be decoded")
			metrics.GetOrRegisterCounter(counterUnreadable, nil).Inc(1)
		}
		if id != "" {
			ids = append(ids, id)
		}
	}
	voids := r.view.takeVoids()
	for _, void := range voids {
		r.logger.Info().Str("job", string(void.job)).Str("queue", void.queue).Str("account", void.account).
			Int64("offset", void.offset).Msg("submission voided by an early cancellation")
		metrics.GetOrRegisterCounter(counterVoided, nil).Inc(1)
	}
	if len(voids) > 0 && r.voided != nil {
		r.voided()
	}
	return ids
}

// applyOne applies one record, which was stored after storedAfter, to the view.
func (r *reader) applyOne(record store.Record, storedAfter time.Duration) (id workload.JobID, err error) {
	returned := telemetry.Contain(r.logger, "apply a job record", func() { id, err = r.view.apply(record, storedAfter) })
	if !returned {
		return "", unreadable("the decoder has panicked")
	}
	return id, err
}

// publish wakes the waiters of await and calls the subscriber after a read, whose records concern the jobs of the given ids.
func (r *reader) publish(update *store.Update, ids []workload.JobID) {
	r.mu.Lock()
	if update.Complete {
		r.complete = true
		r.freshAt = max(r.freshAt, update.StartedAt)
		r.next = update.Next
	}
	r.wakeWaiters()
	r.mu.Unlock()
	if subscriber := r.subscriber.Load(); subscriber != nil && len(ids) > 0 {
		(*subscriber)(ids)
	}
}

// freshness returns the boot-clock time before which all records of the stream are in the view; false before the first
// complete read.
func (r *reader) freshness() (freshAt time.Duration, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshAt, r.complete
}

// position returns the offset before which all records are in the view; false before the first complete read.
func (r *reader) position() (next int64, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next, r.complete
}

// includes reports whether the view holds all records stored before the given boot-clock time.
func (r *reader) includes(at time.Duration) bool {
	freshAt, complete := r.freshness()
	return complete && freshAt >= at
}

// await returns once the view holds all records stored before the given boot-clock time, or with ctx's error.
func (r *reader) await(ctx context.Context, at time.Duration) error {
	for {
		r.mu.Lock()
		updated := r.updated
		r.mu.Unlock()
		if r.includes(at) {
			return nil
		}
		r.triggerRead()
		r.peek()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
		}
	}
}
