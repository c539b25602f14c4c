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
	// longPoll is how long a read waits at the store while this VM holds the schedule.
	longPoll = time.Second
	// followInterval is the time between two reads of a VM that does not hold the schedule; callers' questions cause
	// earlier reads.
	followInterval = time.Second
	// retryInterval is the pause after a failed read.
	retryInterval = 100 * time.Millisecond
)

// Follower keeps a View up to date.
type Follower struct {
	log  store.Log
	view *View
	out  zerolog.Logger

	// wake asks for a read now.
	wake chan struct{}

	mu sync.Mutex
	// loaded reports that the newest records were read once; next is the offset of the next read.
	loaded bool
	next   int64
	// freshAt is the start of the last complete read on the boot clock.
	freshAt time.Duration
	// updated is closed and replaced after each read.
	updated chan struct{}
	// subscriber receives the ids of changed jobs while this VM holds the schedule.
	subscriber func([]workload.JobID)
	failing    bool
}

// NewFollower returns a follower that folds into view.
func NewFollower(log store.Log, view *View, out zerolog.Logger) *Follower {
	return &Follower{log: log, view: view, out: out, wake: make(chan struct{}, 1), updated: make(chan struct{})}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		f.noteDependency(err)
		if err != nil {
			f.sleep(ctx, retryInterval)
			continue
		}
		if !f.leading() {
			f.sleep(ctx, followInterval)
		}
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

func (f *Follower) leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.subscriber != nil
}

// Subscribe makes the follower read without pause and report changed jobs to subscriber; nil ends that.
func (f *Follower) Subscribe(subscriber func([]workload.JobID)) {
	f.mu.Lock()
	f.subscriber = subscriber
	f.mu.Unlock()
	f.poke()
}

func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Age returns how old the view is at most; false before the first complete read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return boottime.Now() - f.freshAt, f.loaded
}

// Refresh returns once the view includes all that was stored before maxAge ago, or with ctx's error.
func (f *Follower) Refresh(ctx context.Context, maxAge time.Duration) error {
	oldest := boottime.Now() - maxAge
	for {
		f.mu.Lock()
		fresh := f.loaded && f.freshAt >= oldest
		updated := f.updated
		f.mu.Unlock()
		if fresh {
			return nil
		}
		f.poke()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
		}
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	loaded, from, leading := f.loaded, f.next, f.subscriber != nil
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	wait := time.Duration(0)
	if leading {
		wait = longPoll
	}
	startedAt := boottime.Now()
	batch, err := f.log.Read(ctx, store.TopicJobs, from, wait)
	if errors.Is(err, store.ErrExpired) {
		f.out.Warn().Int64("offset", from).Msg("jobs topic dropped records before they were read; reading the newest of each key")
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	ids := f.apply(batch.Records)
	next := from + int64(len(batch.Records))
	f.publish(next, startedAt, next >= batch.End, ids)
	return nil
}

func (f *Follower) apply(records []store.Record) []workload.JobID {
	ids := make([]workload.JobID, 0, len(records))
	for _, r := range records {
		if id := f.view.Apply(r); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// load reads the newest record of every key. Pages are read at different times; reading on from the end that the first
// page states repeats what changed meanwhile, which changes nothing.
func (f *Follower) load(ctx context.Context) error {
	startedAt := boottime.Now()
	var ids []workload.JobID
	end := noOffset
	after := ""
	for {
		page, err := f.log.Newest(ctx, store.TopicJobs, after)
		if err != nil {
			return err
		}
		if end == noOffset {
			end = page.End
		}
		ids = append(ids, f.apply(page.Records)...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.mu.Lock()
	f.loaded = true
	f.mu.Unlock()
	f.out.Info().Int64("offset", end).Int("records", len(ids)).Msg("jobs loaded")
	f.publish(end, startedAt, true, ids)
	return nil
}

// publish makes a read visible. complete reports that it reached the end of the topic.
func (f *Follower) publish(next int64, startedAt time.Duration, complete bool, ids []workload.JobID) {
	f.mu.Lock()
	f.next = next
	if complete {
		f.freshAt = startedAt
	}
	close(f.updated)
	f.updated = make(chan struct{})
	subscriber := f.subscriber
	f.mu.Unlock()
	if subscriber != nil && len(ids) > 0 {
		subscriber(ids)
	}
}

func (f *Follower) noteDependency(err error) {
	if (err != nil) == f.failing {
		return
	}
	f.failing = err != nil
	if f.failing {
		f.out.Warn().Err(err).Str("dependency", "store").Str("topic", string(store.TopicJobs)).Msg("dependency lost")
		return
	}
	f.out.Info().Str("dependency", "store").Str("topic", string(store.TopicJobs)).Msg("dependency regained")
}
