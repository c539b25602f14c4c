package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minHedgeDelay is the least time after which a call without answer is sent again; answers usually take a few
	// milliseconds. firstHedgeDelay is that time before any call was answered.
	minHedgeDelay   = 100 * time.Millisecond
	firstHedgeDelay = 400 * time.Millisecond
	// hedgeFactor times the time of recent answers must pass before a call is sent again, so that a slow store does not get
	// each call twice.
	hedgeFactor = 3
	// maxAttempts bounds the attempts of one call that are under way at once.
	maxAttempts = 4
	// answerDecay is the weight of the newest answer in the time that answers take, when they become faster.
	answerDecay = 0.3
)

// Hedge sends idempotent calls again while an earlier attempt has no answer: the store may execute a call and lose the
// answer, and a wait for the call's timeout would outlast a membership. The callers of one store share a Hedge, which
// knows how fast the store answers. The zero value is ready. It is safe for concurrent use.
type Hedge struct {
	mu sync.Mutex
	// usual is how long recent answers took, once answers are known.
	usual time.Duration
	known bool
}

// attempt is the outcome of one attempt.
type attempt[T any] struct {
	value T
	err   error
}

// Hedged calls f, and calls it again in parallel while there is no answer. It returns the first answer and the number of
// attempts, or an error that matches ErrUnknown once no attempt is left. f must be idempotent and end with its context,
// which ends after timeout.
func Hedged[T any](ctx context.Context, h *Hedge, timeout time.Duration, f func(context.Context) (T, error)) (value T, attempts int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan attempt[T], maxAttempts)
	send := func() {
		attempts++
		go func() {
			startedAt := time.Now()
			value, err := f(ctx)
			if err == nil {
				h.learn(time.Since(startedAt))
			}
			answers <- attempt[T]{value, err}
		}()
	}
	send()
	open := 1
	delay := h.delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if attempts < maxAttempts {
				send()
				open++
				// The pauses grow, as the store may have become slow just now.
				delay += delay / 2
				timer.Reset(delay)
			}
		case a := <-answers:
			open--
			if Failure(a.err) == nil {
				return a.value, attempts, a.err
			}
			err = worse(err, a.err)
			if open == 0 {
				return value, attempts, err
			}
		}
	}
}

// Append appends the records as Hedged calls do; they need a key or a sequence number. It returns the number of attempts.
func (h *Hedge) Append(ctx context.Context, log Log, stream Stream, records []Record, producer *Producer, timeout time.Duration) (attempts int, err error) {
	_, attempts, err = Hedged(ctx, h, timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, log.Append(ctx, stream, records, producer, timeout)
	})
	return attempts, err
}

// worse returns the error that says less of the call: an attempt of unknown outcome makes the call's outcome unknown.
func worse(a, b error) error {
	if a == nil || errors.Is(b, ErrUnknown) {
		return b
	}
	return a
}

// learn takes in the time that an answer took.
func (h *Hedge) learn(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = true
	if took > h.usual {
		h.usual = took
		return
	}
	h.usual += time.Duration(answerDecay * float64(took-h.usual))
}

// delay returns how long an attempt may go without answer before the next one.
func (h *Hedge) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.known {
		return firstHedgeDelay
	}
	return max(minHedgeDelay, hedgeFactor*h.usual)
}
