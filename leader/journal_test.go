package leader

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
)

func newJournal(log store.Log, epoch int64) *journal {
	return &journal{log: log, hedge: &store.Hedge{}, epoch: epoch, logger: zerolog.Nop()}
}

func record(key, value string) []store.Record {
	return []store.Record{{Key: key, Value: []byte(value)}}
}

// TestSecondHolderContinuesTheNumbers guards against a new holder that mistakes a sequence error on its first append for
// the sign that an earlier attempt was stored: states that were not stored counted as stored, and completed tasks ran again.
// It also guards against an earlier holder that can still write.
func TestSecondHolderContinuesTheNumbers(t *testing.T) {
	log := storetest.New()
	ctx := context.Background()
	first := newJournal(log, 1)
	if err := first.open(ctx); err != nil {
		t.Fatal(err)
	}
	for i := range 7 {
		if err := first.write(ctx, record("j/a", strconv.Itoa(i))); err != nil {
			t.Fatal(err)
		}
	}
	second := newJournal(log, 2)
	if err := second.open(ctx); err != nil {
		t.Fatal(err)
	}
	if err := second.write(ctx, record("j/a", "done")); err != nil {
		t.Fatal(err)
	}
	if got := string(log.Value(store.States, "j/a")); got != "done" {
		t.Fatalf("the store holds %q after the second holder wrote done", got)
	}
	if err := first.write(ctx, record("j/a", "stale")); !errors.Is(err, store.ErrFenced) {
		t.Fatalf("append by the first holder returned %v, want ErrFenced", err)
	}
}

// TestFirstAppendOfTheNextHolderIsNoRepeat guards against lost states: the store mistakes a holder's first append for a
// repeat if one of the previous holder's recent appends has the same sequence number.
func TestFirstAppendOfTheNextHolderIsNoRepeat(t *testing.T) {
	log := storetest.New()
	ctx := context.Background()
	for epoch := range int64(3) {
		j := newJournal(log, epoch+1)
		if err := j.open(ctx); err != nil {
			t.Fatal(err)
		}
		value := strconv.FormatInt(epoch, 10)
		if err := j.write(ctx, record("j/a", value)); err != nil {
			t.Fatal(err)
		}
		if got := string(log.Value(store.States, "j/a")); got != value {
			t.Fatalf("the store holds %q after holder %d wrote %q", got, epoch+1, value)
		}
	}
}

// TestSequenceErrorIsNoLostDependency guards against log lines that report the store as lost at each takeover: the
// sequence error on a holder's first append is a response of a working store. An append that is not executed is a failure.
func TestSequenceErrorIsNoLostDependency(t *testing.T) {
	cases := map[string]struct {
		fault error
		lost  bool
	}{
		"refused number": {nil, false},
		"not executed":   {store.ErrNotExecuted, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			log := storetest.New()
			j := newJournal(log, 1)
			j.logger = zerolog.New(&lines)
			if err := j.open(t.Context()); err != nil {
				t.Fatal(err)
			}
			failed := false
			log.SetFault(func(string) (error, bool) {
				if c.fault == nil || failed {
					return nil, true
				}
				failed = true
				return c.fault, false
			})
			if err := j.write(t.Context(), record("j/a", "1")); err != nil {
				t.Fatal(err)
			}
			if got := bytes.Contains(lines.Bytes(), []byte("dependency lost")); got != c.lost {
				t.Errorf("dependency reported as lost: %t, want %t; lines: %s", got, c.lost, lines.String())
			}
		})
	}
}

// TestJournalKeepsOrderUnderLostAnswers guards against a state that is lost, or overwritten by an older one, when responses
// of the store are lost or requests are not executed.
func TestJournalKeepsOrderUnderLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := storetest.New()
		ctx := context.Background()
		log.SetFault(func(request string) (error, bool) {
			switch rapid.IntRange(0, 5).Draw(t, request) {
			case 0:
				return store.ErrUnknown, true
			case 1:
				return store.ErrUnknown, false
			case 2:
				return store.ErrNotExecuted, false
			}
			return nil, true
		})
		value := 0
		for epoch := range int64(3) {
			j := newJournal(log, epoch+1)
			if err := j.open(ctx); err != nil {
				t.Fatal(err)
			}
			for range rapid.IntRange(0, 4).Draw(t, "appends") {
				value++
				if err := j.write(ctx, record("j/a", strconv.Itoa(value))); err != nil {
					t.Fatal(err)
				}
				if got := string(log.Value(store.States, "j/a")); got != strconv.Itoa(value) {
					t.Fatalf("the store holds %s after %d was stored", got, value)
				}
			}
		}
	})
}

// halfResponding is a store that executes every append and responds only to every second one.
type halfResponding struct {
	*storetest.Fake
	appends atomic.Int64
}

func (s *halfResponding) Append(ctx context.Context, stream store.Stream, records []store.Record, p *store.Producer, timeout time.Duration) (int64, error) {
	offset, err := s.Fake.Append(ctx, stream, records, p, timeout)
	if s.appends.Add(1)%2 == 0 {
		return offset, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return 0, store.ErrUnknown
}

// TestLostAnswersHoldUpTheJournalBriefly guards against a schedule that stalls for the whole timeout of each lost response,
// and against appends that count as rejected because an earlier attempt was executed.
func TestLostAnswersHoldUpTheJournalBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &halfResponding{Fake: storetest.New()}
		j := newJournal(log, 1)
		startedAt := time.Now()
		if err := j.open(t.Context()); err != nil {
			t.Fatal(err)
		}
		const appends = 10
		for i := range appends {
			if err := j.write(t.Context(), record("j/a", strconv.Itoa(i))); err != nil {
				t.Fatal(err)
			}
		}
		if got := string(log.Value(store.States, "j/a")); got != strconv.Itoa(appends-1) {
			t.Errorf("the store holds %q, want the last value appended", got)
		}
		if took := time.Since(startedAt); took > (appends+2)*150*time.Millisecond {
			t.Errorf("%d appends with lost responses took %v, want at most 150ms each for two more appends", appends, took)
		}
	})
}
