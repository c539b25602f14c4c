package leader

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// testBound is the bound on evacuations in these tests.
const testBound = 2 * time.Second

// evacuations is what a VM knows of the evacuated domains. It is confirmed at all times unless confirmedAt is set.
type evacuations struct {
	mu          sync.Mutex
	set         evacuation.Set
	confirmedAt time.Duration
}

// use makes the leader follow e.
func (e *evacuations) use(l *Leader) {
	l.Evacuations, l.EvacuationBound = e.current, testBound
}

func (e *evacuations) current() (evacuation.Set, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt == 0 {
		return e.set, boottime.Now()
	}
	return e.set, e.confirmedAt
}

func (e *evacuations) evacuate(domains ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set = evacuation.NewSet(domains...)
}

// setAge sets how long ago the set was confirmed; 0 means at all times.
func (e *evacuations) setAge(age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = 0
	if age > 0 {
		e.confirmedAt = boottime.Now() - age
	}
}

// runEvacuationLeader runs a leader with a worker in each of the domains a and b, of which the former fits the test job better.
func runEvacuationLeader(t *testing.T, a, b WorkerConn) (*Leader, *evacuations) {
	e := &evacuations{}
	l := runTestLeader(t, testWorkers{"a": a, "b": b}, nil, e.use)
	l.enqueue(func(c *dispatch.Core) {
		for id, accelerators := range map[string]int{"a": 1, "b": 8} {
			info := workload.WorkerInfo{ID: id, Address: "127.0.0.1:1", Service: "svc", FailureDomain: id,
				Capacity: resource.Resources{Accelerators: accelerators, MilliCPU: 8000, MemoryMB: 8000}}
			c.SetWorker(info)
			l.ensureSession(t.Context(), info)
		}
	})
	time.Sleep(100 * time.Millisecond)
	return l, e
}

// lateConn is a worker that responds to no start until its process is asked to execute the held ones, unless they were stopped before.
type lateConn struct {
	idleConn
	mu       sync.Mutex
	held     []workload.RunRef
	attempts int
	stopped  map[workload.RunRef]bool
	running  map[workload.RunRef]bool
}

func (c *lateConn) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	c.held = append(c.held, r.Ref)
	return ErrNoResponse
}

func (c *lateConn) Stop(_ context.Context, r StopRequest, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[r.Ref] = true
	delete(c.running, r.Ref)
	return nil
}

func (c *lateConn) Watch(ctx context.Context, r WatchRequest, _ time.Duration) (*workload.Listing, error) {
	boottime.Sleep(ctx, min(r.Wait, 20*time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	listing := &workload.Listing{Incarnation: 1, ClockMS: boottime.Now().Milliseconds()}
	for ref := range c.running {
		listing.Running = append(listing.Running, workload.RunningRun{RunRef: ref})
	}
	return listing, ctx.Err()
}

// execute executes the held starts late.
func (c *lateConn) execute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range c.held {
		c.running[ref] = c.running[ref] || !c.stopped[ref]
	}
}

// counts returns the number of attempts of starts and of runs.
func (c *lateConn) counts() (attempts, runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, running := range c.running {
		if running {
			runs++
		}
	}
	return c.attempts, runs
}

// TestUnansweredStartIsAbandonedInAnEvacuatedDomain guards against a start that had no response and is sent again after its worker's
// domain was evacuated, and against a late execution of it that goes on beside the run elsewhere.
func TestUnansweredStartIsAbandonedInAnEvacuatedDomain(t *testing.T) {
	for _, executed := range []bool{false, true} {
		late, other := &lateConn{stopped: map[workload.RunRef]bool{}, running: map[workload.RunRef]bool{}}, &healthyConn{}
		l, e := runEvacuationLeader(t, late, other)
		l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
		for attempts := 0; attempts == 0; attempts, _ = late.counts() {
			time.Sleep(5 * time.Millisecond)
		}
		e.evacuate("a")
		before, _ := late.counts()
		if executed {
			late.execute()
		}
		l.EvacuationsChanged()
		if !awaitStart(other, startLimit) {
			t.Fatalf("executed late %v: the task was not started in the other domain within %s", executed, startLimit)
		}
		// One attempt may have been permitted just before the evacuation.
		if attempts, runs := late.counts(); attempts > before+1 || runs > 0 {
			t.Errorf("executed late %v: %d attempts after the evacuation, %d runs there; want none", executed, attempts-before, runs)
		}
	}
}

// TestNothingStartsInAnEvacuatedDomain guards against a holder that starts work in a domain that was evacuated before it took over, or
// in a second one, and against one that starts nothing there after the evacuation was cancelled.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	a, b := &healthyConn{}, &healthyConn{}
	l, e := runEvacuationLeader(t, a, b)
	e.evacuate("a", "b")
	l.EvacuationsChanged()
	time.Sleep(50 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	time.Sleep(2 * idleInterval)
	if n := a.startCount() + b.startCount(); n != 0 {
		t.Fatalf("%d starts while both domains are evacuated", n)
	}
	e.evacuate("a")
	l.EvacuationsChanged()
	if !awaitStart(b, startLimit) || a.startCount() != 0 {
		t.Errorf("%d starts in the evacuated domain, %d in the other one; want 0 and 1", a.startCount(), b.startCount())
	}
}

// TestQueuedStartIsNotSentToAnEvacuatedWorker guards against a start that waits behind other requests to its worker while the domain is
// evacuated, and is then sent: the check must follow the wait, and no event queue may be between.
func TestQueuedStartIsNotSentToAnEvacuatedWorker(t *testing.T) {
	l, start := leaderWithStart(t)
	var e evacuations
	e.use(l)
	conn := &recordingConn{}
	s, _ := newTestSession(t, l, conn)
	s.setFailureDomain("a")
	for range maxRequests {
		s.acquireRequestSlot()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.start(t.Context(), start)
	}()
	time.Sleep(50 * time.Millisecond)
	e.evacuate("a")
	<-s.requestSlots
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case f := <-l.events:
			// The core has not been told of the evacuation.
			l.apply(f)
		}
	}
	l.applyPending()
	if len(conn.starts) != 0 || l.core.WantsStart("w", start.Ref) {
		t.Errorf("the start was sent %d times, and is wanted: %v; want neither", len(conn.starts), l.core.WantsStart("w", start.Ref))
	}
	// A start that was never sent needs no stop.
	l.core.Advance(boottime.Now(), time.Now())
	if plan := l.core.Plan(); len(plan.Stops) != 0 {
		t.Errorf("got %+v, want no stop of a run that was never sent", plan.Stops)
	}
}

// TestUnconfirmedEvacuationsHoldStarts guards against a VM that starts work although it does not know the evacuations of the last
// seconds, because it has just started, was frozen or cannot reach the store, also for a start that it has already planned. Stops must
// pass meanwhile.
func TestUnconfirmedEvacuationsHoldStarts(t *testing.T) {
	l, start := leaderWithStart(t)
	var e evacuations
	e.use(l)
	e.setAge(testBound - evacuationMargin)
	conn := &recordingConn{}
	s, _ := newTestSession(t, l, conn)
	s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	stopLoop := make(chan struct{})
	defer close(stopLoop)
	go func() {
		for {
			select {
			case f := <-l.events:
				l.apply(f)
			case <-stopLoop:
				return
			}
		}
	}()
	for range maxRequests {
		go s.start(t.Context(), start)
	}
	time.Sleep(100 * time.Millisecond)
	other := testRun
	other.Run++
	s.stop(t.Context(), dispatch.Stop{Worker: "w", Ref: other})
	conn.mu.Lock()
	if len(conn.starts) != 0 || len(conn.stops) != 1 {
		t.Errorf("%d starts and %d stops were sent, want only the stop", len(conn.starts), len(conn.stops))
	}
	conn.mu.Unlock()
	e.setAge(0)
	for deadline := time.Now().Add(startLimit); ; time.Sleep(5 * time.Millisecond) {
		conn.mu.Lock()
		sent := len(conn.starts)
		if sent > 0 && !conn.starts[0].Withdraw {
			t.Error("the request may be sent again by the kernel after its timeout")
		}
		conn.mu.Unlock()
		if sent > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the start was not sent within %s after the evacuations were confirmed", startLimit)
		}
	}
}

// TestPlanNeedsConfirmedEvacuations guards against a new holder that plans before it knows the evacuations, and against a plan by the
// evacuations of an earlier one.
func TestPlanNeedsConfirmedEvacuations(t *testing.T) {
	l, setAge := unconfirmedLeader(t)
	var e evacuations
	e.use(l)
	e.evacuate("a")
	e.setAge(testBound)
	l.core = dispatch.New(l.DispatchOptions)
	l.core.Advance(boottime.Now(), time.Now())
	config := &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "svc", MaxFailedRuns: 1, SlackFactor: 3}}}
	config.Index()
	l.core.SetConfig(config)
	for _, id := range []string{"a", "b"} {
		capacity := resource.Resources{Accelerators: 1, MilliCPU: 8000, MemoryMB: 8000}
		l.core.SetWorker(workload.WorkerInfo{ID: id, Service: "svc", FailureDomain: id, Capacity: capacity})
		l.core.ApplyListing(id, boottime.Now(), &workload.Listing{Incarnation: 1})
	}
	l.core.AddJob(testJob(), nil)
	l.journal = &journal{log: l.Log, hedge: l.Hedge, epoch: l.Epoch, logger: l.logger}
	l.appendDone = make(chan error)
	setAge(0)
	l.plan(t.Context())
	if len(l.starts) != 0 {
		t.Fatalf("%d starts were planned before the evacuations were confirmed", len(l.starts))
	}
	e.setAge(0)
	l.plan(t.Context())
	if len(l.starts) != 1 || l.starts[0].Worker != "b" {
		t.Errorf("got starts %+v, want one outside the evacuated domain", l.starts)
	}
}

// TestColdEntriesAreNews guards against a worker that counts as cold or warm for good because the change of its entry is not passed on,
// and against an update of the core with each heartbeat of a cold worker.
func TestColdEntriesAreNews(t *testing.T) {
	for _, test := range []struct {
		before, after time.Duration
		news          bool
	}{{0, 0, false}, {0, 5, true}, {5, 4, false}, {5, 5, false}, {5, 6, true}, {5, 0, true}} {
		if equalInfo(workload.WorkerInfo{ColdRemaining: test.before}, workload.WorkerInfo{ColdRemaining: test.after}) == test.news {
			t.Errorf("an entry with %d after one with %d is passed on: %v", test.after, test.before, !test.news)
		}
	}
}
