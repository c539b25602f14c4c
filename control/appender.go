package control

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
)

// Parameters of the appender. The log accepts several hundred appends per second from all writers together, of which each of
// 7 failure domains uses at most 10.
const (
	appendsPerSecond = 10
	// appendBatch is the maximum number of records of one append.
	appendBatch      = 200
	appendTimeout    = 2 * time.Second
	appendBackoff    = 250 * time.Millisecond
	maxAppendBackoff = 4 * time.Second
)

// appender appends queued records to a stream in batches and in order. It repeats a batch until the log confirms it, which
// does no harm since the fold ignores repeated records.
type appender struct {
	log    infra.Log
	stream string
	wake   chan struct{}
	// results receives the error of each append, nil for a confirmed one.
	results chan error

	mu sync.Mutex
	// queue and generation are guarded by mu. generation counts the calls of drop.
	queue      []jobs.Record
	generation int
}

func newAppender(log infra.Log, stream string) *appender {
	return &appender{log: log, stream: stream, wake: make(chan struct{}, 1), results: make(chan error)}
}

// add queues a record.
func (a *appender) add(r jobs.Record) {
	a.mu.Lock()
	a.queue = append(a.queue, r)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// drop discards all queued records. A record that is being appended may still take effect.
func (a *appender) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = nil
	a.generation++
}

// nextBatch removes the next records from the queue and returns them with the current generation.
func (a *appender) nextBatch() (records []jobs.Record, generation int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), appendBatch)
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	return batch, a.generation
}

// requeue puts a batch whose append failed back at the front of the queue, unless the queue was dropped in the meantime.
func (a *appender) requeue(batch []jobs.Record, generation int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if generation != a.generation {
		return
	}
	a.queue = append(append([]jobs.Record(nil), batch...), a.queue...)
}

// run appends the queued records until ctx ends.
func (a *appender) run(ctx context.Context) {
	limiter := rate.NewLimiter(appendsPerSecond, appendsPerSecond)
	backoff := appendBackoff
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			if limiter.Wait(ctx) != nil {
				return
			}
			records, generation := a.nextBatch()
			if len(records) == 0 {
				break
			}
			err := a.append(ctx, records)
			if !a.sendResult(ctx, err) {
				return
			}
			if err == nil {
				backoff = appendBackoff
				continue
			}
			a.requeue(records, generation)
			if boottime.Sleep(ctx, backoff); ctx.Err() != nil {
				return
			}
			backoff = min(2*backoff, maxAppendBackoff)
		}
	}
}

// sendResult sends the result of an append to results. It returns false if ctx ended before the result was received.
func (a *appender) sendResult(ctx context.Context, err error) bool {
	select {
	case a.results <- err:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *appender) append(ctx context.Context, records []jobs.Record) error {
	data := make([][]byte, 0, len(records))
	for _, r := range records {
		encoded, err := jobs.Encode(r)
		if err != nil {
			return err
		}
		data = append(data, encoded)
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(appendCtx, a.stream, data)
	return err
}
