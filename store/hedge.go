package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minHedgeDelay is the minimum time after which a request without response is sent again; responses usually take a few
	// milliseconds. initialHedgeDelay is that time until the first response.
	minHedgeDelay     = 100 * time.Millisecond
	initialHedgeDelay = 400 * time.Millisecond
	// hedgeFactor is the delay before a request is sent again, in multiples of the typical latency. It is above 1 so that a
	// slow store does not get each request twice.
	hedgeFactor = 3
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// latencyDecay is the weight in the typical latency of a new response that is faster than it.
	latencyDecay = 0.3
)

// Hedge sends idempotent requests again while earlier attempts have no response: the response of an executed request may be
// lost, and waiting for the timeout would take longer than a group membership lasts. All users of one store share a Hedge,
// which tracks the latency of the store. The zero value is ready to use. It is safe for concurrent use.
type Hedge struct {
	mu sync.Mutex
	// typicalLatency rises at once to that of a slower response and decays with faster ones. It is valid once measured is set.
	typicalLatency time.Duration
	measured       bool
}

// attemptResult is the outcome of one attempt.
type attemptResult[T any] struct {
	value T
	err   error
}

// Hedged calls f, and calls it again in parallel while no attempt has succeeded. It returns the first success or rejection
// and the number of attempts. Once all attempts in flight have failed it returns their error, one that matches ErrUnknown
// if any attempt has an unknown outcome. f must be idempotent and return when its context ends, which is after timeout.
func Hedged[T any](ctx context.Context, h *Hedge, timeout time.Duration, f func(context.Context) (T, error)) (value T, attempts int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan attemptResult[T], maxAttempts)
	send := func() {
		attempts++
		go func() {
			startedAt := time.Now()
			value, err := f(ctx)
			if err == nil {
				h.recordLatency(time.Since(startedAt))
			}
			results <- attemptResult[T]{value, err}
		}()
	}
	send()
	inFlight := 1
	delay := h.delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if attempts < maxAttempts {
				send()
				inFlight++
				// The delay grows because the store may just have become slow.
				delay += delay / 2
				timer.Reset(delay)
			}
		case a := <-results:
			inFlight--
			if IgnoreRejection(a.err) == nil {
				return a.value, attempts, a.err
			}
			err = lessCertain(err, a.err)
			if inFlight == 0 {
				return value, attempts, err
			}
		}
	}
}

// Append makes a hedged append and returns the offset of its first record and the number of attempts. A repeat must have no effect, so
// the records need keys or the producer a sequence number.
func (h *Hedge) Append(ctx context.Context, log Log, stream Stream, records []Record, producer *Producer, timeout time.Duration) (offset int64, attempts int, err error) {
	return Hedged(ctx, h, timeout, func(ctx context.Context) (int64, error) {
		return log.Append(ctx, stream, records, producer, timeout)
	})
}

// lessCertain returns the error that leaves more outcomes of the request possible: one attempt of unknown outcome makes the
// outcome of the request unknown. a may be nil.
func lessCertain(a, b error) error {
	if a == nil || errors.Is(b, ErrUnknown) {
		return b
	}
	return a
}

// recordLatency updates the typical latency with the duration of a successful attempt.
func (h *Hedge) recordLatency(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.measured = true
	if took > h.typicalLatency {
		h.typicalLatency = took
		return
	}
	h.typicalLatency += time.Duration(latencyDecay * float64(took-h.typicalLatency))
}

// delay returns the time to wait for a response before the first repeat of a request.
func (h *Hedge) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.measured {
		return initialHedgeDelay
	}
	return max(minHedgeDelay, hedgeFactor*h.typicalLatency)
}
