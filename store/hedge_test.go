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

// response is what one attempt gets after a delay; errNoResponse stands for no response.
type response struct {
	after time.Duration
	err   error
}

var errNoResponse = errors.New("no response")

// requestTimeout bounds a hedged request.
const requestTimeout = 1200 * time.Millisecond

// hedged sends one hedged request whose attempts get the given responses in order; further attempts get the last one.
func hedged(t *testing.T, h *store.Hedge, responses ...response) (took time.Duration, attempts int, err error) {
	startedAt := time.Now()
	var sent atomic.Int64
	_, attempts, err = store.Hedged(t.Context(), h, requestTimeout, func(ctx context.Context) (struct{}, error) {
		r := responses[min(int(sent.Add(1)), len(responses))-1]
		if errors.Is(r.err, errNoResponse) {
			r = response{2 * requestTimeout, store.ErrUnknown}
		}
		select {
		case <-time.After(r.after):
			return struct{}{}, r.err
		case <-ctx.Done():
			return struct{}{}, store.ErrUnknown
		}
	})
	return time.Since(startedAt), attempts, err
}

// TestHedge guards against requests that wait for the whole timeout after a lost response, which is longer than a membership
// lasts; against a slow store that gets each request several times; and against outcomes that claim more than is known.
func TestHedge(t *testing.T) {
	const usual = 4 * time.Millisecond
	cases := map[string]struct {
		responses []response
		within    time.Duration
		attempts  int
		err       error
	}{
		"answer":                           {[]response{{usual, nil}}, usual, 1, nil},
		"first answer lost":                {[]response{{0, errNoResponse}, {usual, nil}}, 150 * time.Millisecond, 2, nil},
		"three answers lost":               {[]response{{0, errNoResponse}, {0, errNoResponse}, {0, errNoResponse}, {usual, nil}}, 500 * time.Millisecond, 4, nil},
		"no answer":                        {[]response{{0, errNoResponse}}, requestTimeout, 4, store.ErrUnknown},
		"refused at once":                  {[]response{{usual, store.ErrNotExecuted}}, usual, 1, store.ErrNotExecuted},
		"fenced":                           {[]response{{usual, store.ErrFenced}}, usual, 1, store.ErrFenced},
		"lost, then refused":               {[]response{{0, errNoResponse}, {usual, store.ErrNotExecuted}}, requestTimeout, 4, store.ErrUnknown},
		"lost, then refused for its epoch": {[]response{{0, errNoResponse}, {usual, store.ErrFenced}}, 150 * time.Millisecond, 2, store.ErrFenced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var h store.Hedge
				_, _, _ = hedged(t, &h, response{usual, nil})
				took, attempts, err := hedged(t, &h, c.responses...)
				if !errors.Is(err, c.err) || took > c.within || attempts != c.attempts {
					t.Errorf("took %v with %d attempts: %v; want at most %v, %d, %v", took, attempts, err, c.within, c.attempts, c.err)
				}
			})
		})
	}
}

// TestHedgeLearnsThatTheStoreIsSlow guards against a store that gets each request several times because it was slow when the
// process started, and against lost responses that are detected late once it is fast again.
func TestHedgeLearnsThatTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h store.Hedge
		const slow = 330 * time.Millisecond
		total := 0
		for range 10 {
			_, attempts, err := hedged(t, &h, response{slow, nil})
			if err != nil {
				t.Fatal(err)
			}
			total += attempts
		}
		if total > 10 {
			t.Errorf("10 slow requests took %d attempts, want at most 10", total)
		}
		for range 10 {
			if _, _, err := hedged(t, &h, response{4 * time.Millisecond, nil}); err != nil {
				t.Fatal(err)
			}
		}
		if took, _, _ := hedged(t, &h, response{0, errNoResponse}, response{4 * time.Millisecond, nil}); took > 200*time.Millisecond {
			t.Errorf("a lost response delayed the request by %v, want at most 200ms", took)
		}
	})
}
