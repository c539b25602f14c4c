package joblog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
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
	view   *View
	out    zerolog.Logger
	// wake asks for a read now.
	wake       chan struct{}
	subscriber subscriberPointer

	// failing, loaded and next belong to the goroutine of run; next is the offset of the next read.
	failing bool
	loaded  bool
	next    int64

	mu sync.Mutex
	// complete reports that a read has reached the end; freshAt is the start of the last such read on the boot clock.
	complete bool
	freshAt  time.Duration
	// updated is closed and replaced after each read.
	updated chan struct{}
}

func newReader(log store.Log, stream store.Stream, view *View, out zerolog.Logger) *reader {
	return &reader{
		log: log, stream: stream, view: view,
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
		r.noteDependency(err)
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
	if !r.loaded {
		return r.load(ctx)
	}
	wait := time.Duration(0)
	if r.subscriber.Load() != nil {
		wait = longPoll
	}
	startedAt := boottime.Now()
	batch, err := r.log.Read(ctx, r.stream, r.next, wait)
	if errors.Is(err, store.ErrExpired) {
		r.out.Warn().Int64("offset", r.next).Msg("records were dropped before they were read; reading the newest of each key")
		return r.load(ctx)
	}
	if err != nil {
		return err
	}
	ids := r.apply(batch.Records)
	r.next += int64(len(batch.Records))
	r.publish(startedAt, r.next >= batch.End, ids)
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

// load reads the newest record of every key.
func (r *reader) load(ctx context.Context) error {
	startedAt := boottime.Now()
	records, next, err := store.ReadNewest(ctx, r.log, r.stream)
	if err != nil {
		return err
	}
	ids := r.apply(records)
	r.next = next
	r.loaded = true
	r.out.Info().Int64("offset", next).Int("records", len(ids)).Msg("records loaded")
	r.publish(startedAt, true, ids)
	return nil
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

func (r *reader) noteDependency(err error) {
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	if r.failing {
		r.out.Warn().Err(err).Str("dependency", "store").Msg("dependency lost")
		return
	}
	r.out.Info().Str("dependency", "store").Msg("dependency regained")
}
