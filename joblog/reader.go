package joblog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// longPoll is how long a read waits at the store while it has a subscriber.
	longPoll = time.Second
	// followInterval is the time between two reads without a subscriber; callers' questions cause earlier reads.
	followInterval = 1500 * time.Millisecond
	// retryInterval is the pause after a failed read.
	retryInterval = 100 * time.Millisecond
)

// reader folds one stream.
type reader struct {
	log    store.Log
	stream store.Stream
	// cursor belongs to the goroutine of run.
	cursor store.Cursor
	view   *View
	out    zerolog.Logger
	// wake asks for a read now.
	wake chan struct{}
	// subscriber gets the ids of changed jobs.
	subscriber atomic.Pointer[func([]workload.JobID)]
	dependency telemetry.Dependency

	mu sync.Mutex
	// complete reports that a read has reached the end; freshAt is the start of the last such read on the boot clock.
	complete bool
	freshAt  time.Duration
	// updated is closed and replaced after each read.
	updated chan struct{}
}

func newReader(log store.Log, stream store.Stream, view *View, out zerolog.Logger) *reader {
	return &reader{
		log: log, stream: stream, cursor: store.Cursor{Stream: stream}, view: view,
		out:     out.With().Stringer("stream", stream).Logger(),
		wake:    make(chan struct{}, 1),
		updated: make(chan struct{}),
	}
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.read(ctx)
		if ctx.Err() != nil {
			return
		}
		r.dependency.Note(r.out, "store", err)
		switch {
		case err != nil:
			r.sleep(ctx, retryInterval)
		case r.subscriber.Load() == nil:
			r.sleep(ctx, followInterval)
		}
	}
}

func (r *reader) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

func (r *reader) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reader) read(ctx context.Context) error {
	wait := time.Duration(0)
	if r.subscriber.Load() != nil {
		wait = longPoll
	}
	update, err := r.cursor.Read(ctx, r.log, wait)
	if err != nil {
		return err
	}
	if update.Expired {
		r.out.Warn().Msg("records were dropped before they were read; the newest of each key were read")
	}
	ids := r.apply(update.Records)
	if update.Loaded {
		r.out.Info().Int64("offset", update.Next).Int("records", len(ids)).Msg("records loaded")
	}
	r.publish(update.StartedAt, update.Complete, ids)
	return nil
}

func (r *reader) apply(records []store.Record) []workload.JobID {
	ids := make([]workload.JobID, 0, len(records))
	for _, record := range records {
		if id := r.view.Apply(record); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// publish makes a read visible. complete reports that it reached the end of the stream.
func (r *reader) publish(startedAt time.Duration, complete bool, ids []workload.JobID) {
	r.mu.Lock()
	if complete {
		r.complete = true
		r.freshAt = startedAt
	}
	close(r.updated)
	r.updated = make(chan struct{})
	r.mu.Unlock()
	if subscriber := r.subscriber.Load(); subscriber != nil && len(ids) > 0 {
		(*subscriber)(ids)
	}
}

func (r *reader) freshness() (freshAt time.Duration, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshAt, r.complete
}

// includes reports whether the view holds all records stored before the given time.
func (r *reader) includes(at time.Duration) bool {
	freshAt, complete := r.freshness()
	return complete && freshAt >= at
}

// await returns once the view holds all records stored before the given time.
func (r *reader) await(ctx context.Context, at time.Duration) error {
	for {
		r.mu.Lock()
		updated := r.updated
		r.mu.Unlock()
		if r.includes(at) {
			return nil
		}
		r.poke()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
		}
	}
}
