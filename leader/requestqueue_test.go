package leader

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/workload"
)

// orderConn is a worker that records the order of the requests it gets.
type orderConn struct {
	idleConn
	mu       sync.Mutex
	requests []int64
}

func (c *orderConn) record(run int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, run)
}

func (c *orderConn) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	c.record(r.Ref.Run)
	return ErrInsufficientResources
}

func (c *orderConn) Stop(_ context.Context, r StopRequest, _ time.Duration) error {
	c.record(r.Ref.Run)
	return nil
}

// TestQueuedRequestsGoInOrderOfUrgency guards against urgent work that waits behind the queued starts of other work, or behind the stops
// that make room for it.
func TestQueuedRequestsGoInOrderOfUrgency(t *testing.T) {
	l := runTestLeader(t, nil, nil)
	conn := &orderConn{}
	s, _ := newTestSession(t, l, conn)
	for range maxRequests {
		s.acquireRequestSlot()
	}
	run := func(n int64) workload.RunRef {
		ref := testRun
		ref.Run = n
		return ref
	}
	start := func(n int64, urgent bool) {
		s.queueStart(t.Context(), dispatch.Start{Worker: "w", Ref: run(n), Urgent: urgent})
	}
	start(4, false)
	start(5, false)
	start(2, true)
	start(3, true)
	s.queueStop(t.Context(), dispatch.Stop{Worker: "w", Ref: run(1)})
	var order []int64
	for range 5 {
		stop, queued := s.queue.next(false, true)
		if stop != nil {
			order = append(order, stop.Ref.Run)
			continue
		}
		order = append(order, queued.Ref.Run)
	}
	if !slices.Equal(order, []int64{1, 2, 3, 4, 5}) {
		t.Errorf("the requests are sent in the order %v, want the stop, the urgent starts and the others", order)
	}
}

// TestQueuedStopsPassStartsThatWaitForPermission guards against stops that wait while the evacuations are not known, for which starts wait.
func TestQueuedStopsPassStartsThatWaitForPermission(t *testing.T) {
	var q requestQueue
	q.starts = []queuedStart{{Start: dispatch.Start{Ref: testRun}}}
	if stop, start := q.next(false, false); stop != nil || start != nil {
		t.Errorf("got %v, %v without permission for starts, want nothing", stop, start)
	}
	q.stops = []dispatch.Stop{{Ref: testRun}}
	if stop, _ := q.next(false, false); stop == nil {
		t.Error("a stop waits for the permission of starts")
	}
	if _, start := q.next(false, true); start == nil || !start.waited {
		t.Errorf("got the start %+v, want it marked as having waited", start)
	}
	if !q.finish() {
		t.Error("the queue is not empty")
	}
}

// TestQueuedRequestsAreAllSent guards against a request that stays in the queue because the goroutine that hands out requests has just ended.
func TestQueuedRequestsAreAllSent(t *testing.T) {
	l := runTestLeader(t, nil, nil)
	conn := &orderConn{}
	s, _ := newTestSession(t, l, conn)
	const requests = 500
	for i := range requests {
		ref := testRun
		ref.Run = int64(i + 1)
		s.queueStop(t.Context(), dispatch.Stop{Worker: "w", Ref: ref})
		if i%20 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for sent := 0; sent < requests; time.Sleep(time.Millisecond) {
		conn.mu.Lock()
		sent = len(conn.requests)
		conn.mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d requests were sent", sent, requests)
		}
	}
}
