package leader

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// rejectingConn rejects each start and confirms each stop.
type rejectingConn struct{ idleConn }

func (*rejectingConn) Start(context.Context, StartRequest, time.Duration) error {
	return ErrInsufficientResources
}

func (*rejectingConn) Stop(context.Context, StopRequest, time.Duration) error { return nil }

// leaderWithStart returns a leader without a running loop whose core has planned one start on worker w, and the start.
func leaderWithStart(t *testing.T) (*Leader, dispatch.Start) {
	l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
	l.logger = zerolog.Nop()
	l.MembershipTTL = testTTL
	l.ConfirmedAt = boottime.Now
	config := &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "svc", MaxFailedRuns: 1, SlackFactor: 3}}}
	config.Index()
	l.core = dispatch.New(l.DispatchOptions)
	l.core.Advance(boottime.Now(), time.Now())
	l.core.SetConfig(config)
	l.core.SetWorker(workload.WorkerInfo{ID: "w", Service: "svc", Rack: "r1", Capacity: resource.Resources{Accelerators: 1, MilliCPU: 8000, MemoryMB: 8000}})
	l.core.ApplyListing("w", boottime.Now(), &workload.Listing{Incarnation: 1})
	l.core.AddJob(testJob(), nil)
	starts := l.core.Plan().Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts planned, want 1", len(starts))
	}
	return l, starts[0]
}

// applyWhile applies the events of a leader whose loop does not run, until f has returned and none is left.
func applyWhile(l *Leader, f func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for running := true; running; {
		select {
		case e := <-l.events:
			l.apply(e)
		case <-done:
			running = false
		}
	}
	l.applyPending()
}

// fillQueue fills the event queue of a leader whose loop does not run.
func fillQueue(l *Leader) {
	for range eventQueueCapacity {
		l.enqueue(func(*dispatch.Core) {})
	}
}

// drainUntil waits until an event has waited for longer than fullQueueInterval, then applies events until done returns true. It fails
// the test after 5 s.
func drainUntil(t *testing.T, l *Leader, failure string, done func() bool) {
	t.Helper()
	time.Sleep(fullQueueInterval + 200*time.Millisecond)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		l.applyPending()
		if done() {
			return
		}
	}
	t.Error(failure)
}

// TestRejectionOutlastsAFullQueue guards against a task that stays bound to a worker that has rejected its start, because the event
// with the rejection was dropped.
func TestRejectionOutlastsAFullQueue(t *testing.T) {
	l, start := leaderWithStart(t)
	s, _ := newTestSession(t, l, &rejectingConn{})
	fillQueue(l)
	go s.start(t.Context(), start)
	drainUntil(t, l, "the core still waits for the outcome of a start that was rejected", func() bool { return !l.core.WantsStart("w", start.Ref) })
}

// TestStopOutlastsAFullQueue guards against a run that is being stopped for good, because the event that confirms the stop was
// dropped.
func TestStopOutlastsAFullQueue(t *testing.T) {
	l, start := leaderWithStart(t)
	s, _ := newTestSession(t, l, &rejectingConn{})
	l.core.AbandonStart("w", start.Ref, "test")
	stop := l.core.Plan().Stops[0]
	fillQueue(l)
	go s.stop(t.Context(), stop)
	drainUntil(t, l, "the core still waits for the end of a run whose stop was confirmed", func() bool {
		l.core.Advance(boottime.Now(), time.Now())
		l.core.ApplyListing("w", boottime.Now(), &workload.Listing{Incarnation: 1})
		return !l.core.WantsStop("w", start.Ref)
	})
}

// TestWorkerEntryOutlastsAFullQueue guards against a worker, or its changed capacity, that the core never learns of, because the event
// was dropped and the list holds no newer entry.
func TestWorkerEntryOutlastsAFullQueue(t *testing.T) {
	log := storetest.New()
	l := newTestLeader(t, log, &bytes.Buffer{})
	l.logger = zerolog.Nop()
	l.ConfirmedAt = boottime.Now
	l.core = dispatch.New(l.DispatchOptions)
	putWorker(t, log, "w", "ready")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l.cancel = cancel
	fillQueue(l)
	go l.followWorkers(ctx)
	drainUntil(t, l, "the core does not know the worker", func() bool { return l.core.HasWorker("w") })
}

// TestQueryOutlastsAFullQueue guards against a start that holds a request slot of its worker until the leader ends, and is never
// sent again, because the event that asks whether it is still wanted was dropped.
func TestQueryOutlastsAFullQueue(t *testing.T) {
	l, _ := leaderWithStart(t)
	fillQueue(l)
	answered := make(chan bool, 1)
	go func() { answered <- l.query(t.Context(), func(*dispatch.Core) bool { return true }) }()
	drainUntil(t, l, "the query has no result", func() bool {
		select {
		case ok := <-answered:
			if !ok {
				t.Error("the query returned false, want the result of its predicate")
			}
			return true
		default:
			return false
		}
	})
}

// TestNewProcessKeepsItsEnds guards against ends that a worker's new process discards before they are processed: those of the old
// process were processed late and acknowledged to the new one, which numbers its ends from 1 again.
func TestNewProcessKeepsItsEnds(t *testing.T) {
	l, _ := leaderWithStart(t)
	s, _ := newTestSession(t, l, &idleConn{})
	l.sessions = map[string]*session{s.id: s}
	old := &workload.Listing{Incarnation: 1, ClockMS: 1000, Ended: []workload.EndedRun{{Sequence: 57, RunRef: testRun, Reason: workload.EndStopped}}}
	s.recordResponse(old, 0)
	l.enqueue(func(c *dispatch.Core) { s.applyListing(c, boottime.Now(), old) })
	s.recordResponse(&workload.Listing{Incarnation: 2, ClockMS: 10}, 0)
	l.applyPending()
	l.inFlight = effects{processed: l.processedEnds}
	l.applyEffects(t.Context())
	if s.storedEnd != 0 {
		t.Errorf("%d ends of the new process are acknowledged, which has listed none", s.storedEnd)
	}
}

// unsentConn is a worker that cannot be reached, so that no start is ever sent. cancel is called with the first attempt.
type unsentConn struct {
	idleConn
	once   sync.Once
	cancel func()
}

func (c *unsentConn) Start(context.Context, StartRequest, time.Duration) error {
	c.once.Do(c.cancel)
	return errors.Join(ErrNoResponse, ErrNotSent)
}

// TestUnsentStartWaitsForNoStop guards against a run that was never sent and keeps its gang or job waiting until the lease of a worker
// that cannot be reached has expired: when another member is rejected, or the job is cancelled, before the start is given up.
func TestUnsentStartWaitsForNoStop(t *testing.T) {
	l, start := leaderWithStart(t)
	conn := &unsentConn{cancel: func() { l.enqueue(func(c *dispatch.Core) { c.CancelJob(start.Ref.Task.Job) }) }}
	s, _ := newTestSession(t, l, conn)
	s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	applyWhile(l, func() { s.start(t.Context(), start) })
	if l.core.WantsStop("w", start.Ref) {
		t.Error("the run of a start that was never sent still waits for its worker")
	}
}

// TestNoStartIsSentToASilentWorker guards against a start that is sent just after a watch request has failed: it carries the expiry of an
// earlier lease, and may be executed late, after its run was given up with that lease and started elsewhere.
func TestNoStartIsSentToASilentWorker(t *testing.T) {
	l, start := leaderWithStart(t)
	conn := &recordingConn{}
	s, _ := newTestSession(t, l, conn)
	s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	s.recordNoResponse(context.DeadlineExceeded)
	applyWhile(l, func() { s.start(t.Context(), start) })
	if len(conn.starts) > 0 || l.core.WantsStart("w", start.Ref) {
		t.Errorf("%d starts were sent, still wanted: %v; want neither", len(conn.starts), l.core.WantsStart("w", start.Ref))
	}
}
