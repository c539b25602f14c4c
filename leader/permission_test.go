package leader

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

// testTTL is the time for which the group keeps the holder in these tests.
const testTTL = 1300 * time.Millisecond

// recordingConn accepts and records all requests.
type recordingConn struct {
	idleConn
	mu     sync.Mutex
	starts []StartRequest
	stops  []StopRequest
}

func (c *recordingConn) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, r)
	return nil
}

func (c *recordingConn) Stop(_ context.Context, r StopRequest, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, r)
	return nil
}

// unconfirmedLeader returns a leader without a running loop, and a function that sets how long ago the store confirmed that
// it holds the schedule.
func unconfirmedLeader(t *testing.T) (l *Leader, setAge func(time.Duration)) {
	l = newTestLeader(t, storetest.New(), &bytes.Buffer{})
	confirmedAt := boottime.Now()
	l.MembershipTTL = testTTL
	l.ConfirmedAt = func() time.Duration { return confirmedAt }
	return l, func(age time.Duration) { confirmedAt = boottime.Now() - age }
}

// newTestSession returns a session that does not watch its worker, and whose lease was granted while the holder was confirmed.
func newTestSession(t *testing.T, l *Leader, conn WorkerConn) (s *session, grantedMS int64) {
	ctx, cancel := context.WithCancel(t.Context())
	s = &session{
		id: "w", conn: conn, leader: l, logger: l.logger, ctx: ctx, cancel: cancel,
		requestSlots: make(chan struct{}, maxRequests), storedEndChanged: make(chan struct{}),
		lease: workerlease.New(l.lease, l.MaxLease, 0),
	}
	t.Cleanup(cancel)
	s.recordResponse(&workload.Listing{ClockMS: 1000}, 0)
	return s, s.leaseUntil(boottime.Now(), s.currentIncarnation())
}

var testRun = workload.RunRef{Task: workload.TaskID{Job: "0123456789abcdef"}, Run: 1}

// TestUnconfirmedHolderExtendsNoLease guards against a task that runs twice: a holder that is cut off from the store, or was
// paused, extends the lease of a worker by a start request after its successor has waited until that lease had expired.
func TestUnconfirmedHolderExtendsNoLease(t *testing.T) {
	l, setAge := unconfirmedLeader(t)
	conn := &recordingConn{}
	s, granted := newTestSession(t, l, conn)
	time.Sleep(5 * time.Millisecond)
	s.start(t.Context(), dispatch.Start{Worker: "w", Ref: testRun})
	if got := conn.starts[0].LeaseUntilMS; got <= granted {
		t.Errorf("a confirmed holder sent a lease until %d, want more than the %d granted before", got, granted)
	}
	granted = conn.starts[0].LeaseUntilMS
	setAge(RenewalWithoutStore)
	time.Sleep(5 * time.Millisecond)
	s.start(t.Context(), dispatch.Start{Worker: "w", Ref: testRun})
	if got := conn.starts[1].LeaseUntilMS; got != granted {
		t.Errorf("an unconfirmed holder sent a lease until %d, want the %d granted before", got, granted)
	}
}

// TestPauseExtendsNoLease guards against a lease that is extended after a pause of the process between the check that leases
// may be extended and the computation of the extension: both must use the time before the pause.
func TestPauseExtendsNoLease(t *testing.T) {
	l, _ := unconfirmedLeader(t)
	s, granted := newTestSession(t, l, &recordingConn{})
	beforePause := boottime.Now()
	time.Sleep(50 * time.Millisecond)
	if got := s.leaseUntil(beforePause, s.currentIncarnation()); got-granted >= 50 {
		t.Errorf("the lease was extended by the %d ms of the pause", got-granted)
	}
}

// TestUnconfirmedHolderStopsNothing guards against a run that a new holder relies on and that the earlier one stops, because
// it was paused or cut off and does not know yet that it was replaced.
func TestUnconfirmedHolderStopsNothing(t *testing.T) {
	l, setAge := unconfirmedLeader(t)
	conn := &recordingConn{}
	s, _ := newTestSession(t, l, conn)
	setAge(testTTL)
	ctx, cancel := context.WithTimeout(t.Context(), 3*requestRetryInterval)
	defer cancel()
	s.stop(ctx, dispatch.Stop{Worker: "w", Ref: testRun})
	if len(conn.stops) != 0 {
		t.Errorf("an unconfirmed holder sent %d stops", len(conn.stops))
	}
	setAge(0)
	s.stop(t.Context(), dispatch.Stop{Worker: "w", Ref: testRun})
	if len(conn.stops) != 1 {
		t.Errorf("a confirmed holder sent %d stops, want 1", len(conn.stops))
	}
}

// TestUnconfirmedHolderDecidesNothing guards against work that is stopped or placed during an outage of the store, by a
// holder that may have been replaced and could not store the starts.
func TestUnconfirmedHolderDecidesNothing(t *testing.T) {
	l, setAge := unconfirmedLeader(t)
	config := &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "svc", MaxFailedRuns: 1, SlackFactor: 3}}}
	config.Index()
	l.core = dispatch.New(l.DispatchOptions)
	l.core.Advance(boottime.Now(), time.Now())
	l.core.SetConfig(config)
	room := resource.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000}
	l.core.SetWorker(workload.WorkerInfo{ID: "w", Address: "127.0.0.1:1", Service: "svc", Rack: "r1", Capacity: room})
	l.core.ApplyListing("w", boottime.Now(), &workload.Listing{Incarnation: 1})
	l.core.AddJob(&workload.Job{ID: testRun.Task.Job, Queue: "q", Service: "svc", MaxFailedRuns: 1, SlackFactor: 3, Steps: []workload.Step{{Tasks: 1, Demand: room, Estimate: time.Second}}}, nil)
	setAge(testTTL)
	l.plan(t.Context())
	if n := len(l.starts) + len(l.inFlight.starts); n != 0 {
		t.Errorf("an unconfirmed holder planned %d starts", n)
	}
	setAge(0)
	l.journal = &journal{log: l.Log, hedge: l.Hedge, epoch: l.Epoch, logger: l.logger}
	l.appendDone = make(chan error)
	l.plan(t.Context())
	if len(l.starts) != 1 {
		t.Errorf("a confirmed holder planned %d starts, want 1", len(l.starts))
	}
}

// deadlineConn records the latest time at which each start may still be sent.
type deadlineConn struct {
	recordingConn
	sendBy []time.Duration
}

func (c *deadlineConn) Start(ctx context.Context, r StartRequest, timeout time.Duration) error {
	c.sendBy = append(c.sendBy, boottime.Now()+timeout)
	return c.recordingConn.Start(ctx, r, timeout)
}

// TestPauseOutlivesNoStartPermission guards against a start in an evacuated domain: the VM is frozen between the permission for an
// attempt and the attempt, which then had its full time from the end of the pause, beyond the bound on evacuations.
func TestPauseOutlivesNoStartPermission(t *testing.T) {
	l, _ := unconfirmedLeader(t)
	conn := &deadlineConn{}
	s, _ := newTestSession(t, l, conn)
	confirmedAt := l.ConfirmedAt()
	pause := time.Duration(0)
	l.ConfirmedAt = func() time.Duration {
		time.Sleep(pause)
		return confirmedAt
	}
	pause = 400 * time.Millisecond
	permittedAt := boottime.Now()
	s.start(t.Context(), dispatch.Start{Worker: "w", Ref: testRun})
	if late := conn.sendBy[0] - permittedAt - requestTimeout; late > pause/2 {
		t.Errorf("a start may be sent %s after the end of its permission", late)
	}
}
