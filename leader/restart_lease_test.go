package leader

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

// restartingWorker is a worker whose processes follow each other under one id and address. It keeps leases as the workers of the users'
// platform do: an expiry is a time on the clock of the process, and is shortened to the longest lease.
type restartingWorker struct {
	longest time.Duration

	mu          sync.Mutex
	incarnation int64
	bootedAt    time.Duration
	// clockOrigin is the process's clock at bootedAt in milliseconds.
	clockOrigin int64
	leaseUntil  int64
	// watchedProcess is the process to which the connection of Watch leads; 0 while it is closed.
	watchedProcess int64
	started        []workload.RunRef
}

func newRestartingWorker(longest time.Duration) *restartingWorker {
	w := &restartingWorker{longest: longest}
	w.restart(8_400_000)
	return w
}

// restart replaces the process by one whose clock starts at clockOrigin.
func (w *restartingWorker) restart(clockOrigin int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.bootedAt, w.clockOrigin, w.leaseUntil, w.started = boottime.Now(), clockOrigin, 0, nil
}

// clock returns the process's clock, in milliseconds. mu must be held.
func (w *restartingWorker) clock() int64 {
	return w.clockOrigin + (boottime.Now() - w.bootedAt).Milliseconds()
}

// renew extends the lease as the worker does. mu must be held.
func (w *restartingWorker) renew(untilMS int64) {
	w.leaseUntil = max(w.leaseUntil, min(untilMS, w.clock()+w.longest.Milliseconds()))
}

// leaseEnd returns the end of the worker's lease on the boot clock.
func (w *restartingWorker) leaseEnd() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootedAt + time.Duration(w.leaseUntil-w.clockOrigin)*time.Millisecond
}

// Watch fails if the process on the open connection has ended, which closes the connection.
func (w *restartingWorker) Watch(_ context.Context, r WatchRequest, _ time.Duration) (*workload.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watchedProcess != 0 && w.watchedProcess != w.incarnation {
		w.watchedProcess = 0
		return nil, context.DeadlineExceeded
	}
	w.watchedProcess = w.incarnation
	if r.LeaseUntilMS > 0 {
		w.renew(r.LeaseUntilMS)
	}
	return &workload.Listing{Incarnation: w.incarnation, ClockMS: w.clock()}, nil
}

func (w *restartingWorker) SameConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watchedProcess != 0
}

func (w *restartingWorker) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Incarnation != w.incarnation {
		return errors.Join(ErrNoResponse, ErrNotSent, ErrProcessReplaced)
	}
	w.renew(r.LeaseUntilMS)
	w.started = append(w.started, r.Ref)
	return nil
}

func (w *restartingWorker) Stop(context.Context, StopRequest, time.Duration) error { return nil }
func (w *restartingWorker) Close()                                                 {}

// watchedSession returns a session that has watched the worker twice, so that it has renewed the lease of its process.
func watchedSession(t *testing.T, w *restartingWorker) *session {
	l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
	l.ConfirmedAt = boottime.Now
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	s := &session{
		id: "w", conn: w, leader: l, logger: l.logger, ctx: ctx, cancel: cancel,
		requestSlots: make(chan struct{}, maxRequests), storedEndChanged: make(chan struct{}), lease: workerlease.New(l.lease, l.MaxLease, 0),
	}
	for first := true; ; first = false {
		if _, _, err := s.watchOnce(ctx, first); err != nil {
			t.Fatal(err)
		}
		if !first {
			return s
		}
	}
}

// expectLeaseCovered fails the test if the worker may keep its runs longer than the holder of the schedule waits.
func expectLeaseCovered(t *testing.T, s *session, w *restartingWorker) {
	t.Helper()
	if held, known := w.leaseEnd(), s.leaseEnd(); held > known {
		t.Errorf("the worker keeps its runs %s longer than its holder waits", held-known)
	}
}

// TestLeaseOfAFormerProcessIsNotSentToTheNext guards against a task that runs twice: a worker that was restarted under its old id got
// an expiry on the clock of its former process, shortened it to the longest lease, and outlived the holder's count once it was cut off.
func TestLeaseOfAFormerProcessIsNotSentToTheNext(t *testing.T) {
	for _, clockOrigin := range []int64{2_900_000, 1, 8_400_500, 90_000_000} {
		w := newRestartingWorker(10 * time.Second)
		s := watchedSession(t, w)
		w.restart(clockOrigin)
		if _, _, err := s.watchOnce(t.Context(), false); err == nil {
			t.Fatal("the request on the connection to the former process succeeded")
		} else {
			s.recordNoResponse(err)
		}
		for range 2 {
			if _, _, err := s.watchOnce(t.Context(), false); err != nil {
				t.Fatal(err)
			}
			expectLeaseCovered(t, s, w)
		}
	}
}

// TestStartReachesOnlyItsProcess guards against the same with a start: it was sent after the restart and before a watch request had
// shown that.
func TestStartReachesOnlyItsProcess(t *testing.T) {
	w := newRestartingWorker(10 * time.Second)
	s := watchedSession(t, w)
	w.restart(2_900_000)
	s.start(t.Context(), dispatch.Start{Worker: "w", Ref: testRun, Incarnation: 1})
	expectLeaseCovered(t, s, w)
}
