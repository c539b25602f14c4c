package joblog

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// Follower keeps a View up to date with one reader for each stream.
type Follower struct {
	// readers holds the reader of the states first.
	readers []*reader
}

// NewFollower returns a follower that folds the records of log into view. Run starts it.
func NewFollower(log store.Log, view *View, logger zerolog.Logger) *Follower {
	f := &Follower{}
	streams := []store.Stream{store.States}
	for part := range IntakeParts {
		streams = append(streams, store.Stream{Topic: store.TopicIntake, Part: part})
	}
	for _, stream := range streams {
		f.readers = append(f.readers, newReader(log, stream, view, logger))
	}
	return f
}

// OnVoided makes the follower call a function after each read in which an early cancellation has cancelled a job. It must be called before
// Run; the calls may be concurrent.
func (f *Follower) OnVoided(call func()) {
	for _, r := range f.readers {
		r.voided = call
	}
}

// Streams returns the streams that the follower reads: the states and every part of the intake.
func (f *Follower) Streams() []store.Stream {
	streams := make([]store.Stream, len(f.readers))
	for i, r := range f.readers {
		streams[i] = r.stream
	}
	return streams
}

// Run reads the streams until ctx ends. It loads the states first: a submission whose job has ended takes little memory then.
func (f *Follower) Run(ctx context.Context) {
	var readers sync.WaitGroup
	states := f.readers[0]
	readers.Go(func() { states.run(ctx) })
	for _, r := range f.readers[1:] {
		readers.Go(func() {
			states.awaitComplete(ctx)
			r.run(ctx)
		})
	}
	readers.Wait()
}

// Subscribe makes the follower read the intake without pause and call subscriber with the ids of the jobs whose intake
// records were read. Calls for different parts of the intake may be concurrent. Subscribe replaces an earlier subscriber; a
// nil subscriber ends the subscription.
func (f *Follower) Subscribe(subscriber func([]workload.JobID)) {
	for _, r := range f.readers {
		if r.stream.Topic != store.TopicIntake {
			continue
		}
		if subscriber == nil {
			r.subscriber.Store(nil)
			continue
		}
		r.subscriber.Store(&subscriber)
		r.triggerRead()
	}
}

// Deletion holds the records that delete others of a stream. It must be appended at offset End only: these others may have been replaced
// by records that were not read.
type Deletion struct {
	Stream  store.Stream
	Records []store.Record
	End     int64
}

// DeleteEarlyCancels returns the deletions of the early cancellations that were read before the given boot-clock time.
func (f *Follower) DeleteEarlyCancels(before time.Duration) []Deletion {
	ends := map[store.Stream]int64{}
	for _, r := range f.readers {
		if end, complete := r.position(); complete {
			ends[r.stream] = end
		}
	}
	var deletions []Deletion
	for stream, tombstones := range f.readers[0].view.EarlyCancelTombstones(before) {
		if end, complete := ends[stream]; complete {
			deletions = append(deletions, Deletion{Stream: stream, Records: tombstones, End: end})
		}
	}
	return deletions
}

// Age returns the time since which the view may lack records; false before the first complete read of every stream.
func (f *Follower) Age() (time.Duration, bool) {
	oldest := boottime.Now()
	for _, r := range f.readers {
		freshAt, loaded := r.freshness()
		if !loaded {
			return 0, false
		}
		oldest = min(oldest, freshAt)
	}
	return boottime.Now() - oldest, true
}

// Refresh returns once the view includes all records of the streams that were stored more than maxAge ago, or with ctx's
// error.
func (f *Follower) Refresh(ctx context.Context, maxAge time.Duration, streams ...store.Stream) error {
	oldest := boottime.Now() - maxAge
	var needed []*reader
	for _, r := range f.readers {
		for _, stream := range streams {
			if r.stream == stream && !r.includes(oldest) {
				needed = append(needed, r)
				r.triggerRead()
			}
		}
	}
	for _, r := range needed {
		if err := r.await(ctx, oldest); err != nil {
			return err
		}
	}
	return nil
}
