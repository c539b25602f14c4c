package store_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/store"
)

// answer is what one attempt gets after a time; no answer if err is errNone.
type answer struct {
	after time.Duration
	err   error
}

var errNone = errors.New("no answer")

// callTimeout ends a call without answer.
const callTimeout = 1200 * time.Millisecond

// hedged makes one call whose attempts get the given answers, the last one again and again.
func hedged(t *testing.T, h *store.Hedge, answers ...answer) (took time.Duration, attempts int, err error) {
	startedAt := time.Now()
	var sent atomic.Int64
	_, attempts, err = store.Hedged(t.Context(), h, callTimeout, func(ctx context.Context) (struct{}, error) {
		a := answers[min(int(sent.Add(1)), len(answers))-1]
		if errors.Is(a.err, errNone) {
			a = answer{2 * callTimeout, store.ErrUnknown}
		}
		select {
		case <-time.After(a.after):
			return struct{}{}, a.err
		case <-ctx.Done():
			return struct{}{}, store.ErrUnknown
		}
	})
	return time.Since(startedAt), attempts, err
}

// TestHedge guards against calls that wait for the timeout of a lost answer, which outlasts a membership; against a
// slow store that gets each call several times; and against outcomes that claim more than is known.
func TestHedge(t *testing.T) {
	const usual = 4 * time.Millisecond
	cases := map[string]struct {
		answers  []answer
		within   time.Duration
		attempts int
		err      error
	}{
		"answer":                           {[]answer{{usual, nil}}, usual, 1, nil},
		"first answer lost":                {[]answer{{0, errNone}, {usual, nil}}, 150 * time.Millisecond, 2, nil},
		"three answers lost":               {[]answer{{0, errNone}, {0, errNone}, {0, errNone}, {usual, nil}}, 500 * time.Millisecond, 4, nil},
		"no answer":                        {[]answer{{0, errNone}}, callTimeout, 4, store.ErrUnknown},
		"refused at once":                  {[]answer{{usual, store.ErrNotDone}}, usual, 1, store.ErrNotDone},
		"fenced":                           {[]answer{{usual, store.ErrFenced}}, usual, 1, store.ErrFenced},
		"lost, then refused":               {[]answer{{0, errNone}, {usual, store.ErrNotDone}}, callTimeout, 4, store.ErrUnknown},
		"lost, then refused for its epoch": {[]answer{{0, errNone}, {usual, store.ErrFenced}}, 150 * time.Millisecond, 2, store.ErrFenced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var h store.Hedge
				_, _, _ = hedged(t, &h, answer{usual, nil})
				took, attempts, err := hedged(t, &h, c.answers...)
				if !errors.Is(err, c.err) || took > c.within || attempts != c.attempts {
					t.Errorf("took %v with %d attempts: %v; want at most %v, %d, %v", took, attempts, err, c.within, c.attempts, c.err)
				}
			})
		})
	}
}

// TestHedgeLearnsThatTheStoreIsSlow guards against a store that gets each call several times because it is slow already
// when a process starts, and against lost answers that are noticed late once it is fast again.
func TestHedgeLearnsThatTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h store.Hedge
		const slow = 330 * time.Millisecond
		total := 0
		for range 10 {
			_, attempts, err := hedged(t, &h, answer{slow, nil})
			if err != nil {
				t.Fatal(err)
			}
			total += attempts
		}
		if total > 10 {
			t.Errorf("10 slow calls were sent %d times", total)
		}
		for range 10 {
			if _, _, err := hedged(t, &h, answer{4 * time.Millisecond, nil}); err != nil {
				t.Fatal(err)
			}
		}
		if took, _, _ := hedged(t, &h, answer{0, errNone}, answer{4 * time.Millisecond, nil}); took > 200*time.Millisecond {
			t.Errorf("a lost answer held the call up for %v", took)
		}
	})
}
