package leader

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

// TestStartForAnEndedProcessIsNotTried guards against requests for a start whose process has ended, as the session knows, and against a
// start of an earlier holder that is started elsewhere before the worker has confirmed its stop.
func TestStartForAnEndedProcessIsNotTried(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		l, start := leaderWithStart(t)
		conn := &recordingConn{}
		s, _ := newTestSession(t, l, conn)
		s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
		s.recordResponse(&workload.Listing{Incarnation: 2, ClockMS: 10}, 0)
		start.Repeated = repeated
		startedAt := time.Now()
		s.start(t.Context(), start)
		if took := time.Since(startedAt); took > requestTimeout {
			t.Errorf("the start was given up after %s", took)
		}
		drain(l)
		if len(conn.starts) != 0 || l.core.WantsStart("w", start.Ref) {
			t.Errorf("repeated %v: the start was sent %d times, and is wanted: %v", repeated, len(conn.starts), l.core.WantsStart("w", start.Ref))
		}
		if stops := len(l.core.Plan().Stops); (stops == 1) != repeated {
			t.Errorf("repeated %v: %d stops", repeated, stops)
		}
	}
}

// TestStartThatMetANewProcessIsGivenUp guards against a start that is sent again and again to a process that is not the one that it is
// meant for, and against one that goes elsewhere without a stop although an earlier attempt may have been executed.
func TestStartThatMetANewProcessIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		name     string
		earlier  error
		repeated bool
		stopped  bool
	}{
		{name: "first attempt"},
		{name: "after an unsent attempt", earlier: errors.Join(ErrNoResponse, ErrNotSent)},
		{name: "after an attempt without response", earlier: ErrNoResponse, stopped: true},
		{name: "after an earlier holder's attempt", repeated: true, stopped: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, start := leaderWithStart(t)
			start.Repeated = test.repeated
			var attempts atomic.Int64
			conn := newReplaceableConn()
			conn.process = 2
			conn.responseTo = func(StartRequest) (error, bool) {
				return test.earlier, attempts.Add(1) == 1 && test.earlier != nil
			}
			s, _ := newTestSession(t, l, conn)
			s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
			applyWhile(l, func() { s.start(t.Context(), start) })
			if conn.rejected != 1 || l.core.WantsStart("w", start.Ref) {
				t.Errorf("%d rejected attempts, and the start is wanted: %v; want one and false", conn.rejected, l.core.WantsStart("w", start.Ref))
			}
			if stops := len(l.core.Plan().Stops); (stops == 1) != test.stopped {
				t.Errorf("%d stops, want one: %v", stops, test.stopped)
			}
		})
	}
}

// TestNewProcessIsListedSoon guards against a worker that gets no work after its restart until the watch request to the former process
// has timed out, and against a task that does not start on the new process.
func TestNewProcessIsListedSoon(t *testing.T) {
	conn, l := watchedConn(t, 8)
	conn.replace()
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	replacedAt := time.Now()
	if !await(listedSoon, func() bool { return conn.answeredBy(2) > 0 }) {
		t.Fatalf("the new process was not listed within %s", listedSoon)
	}
	t.Logf("listed after %s", time.Since(replacedAt))
	if !await(listedSoon, func() bool { return conn.runCount() == 1 }) {
		t.Error("the task was not started on the new process")
	}
	conn.with(func() {
		if conn.rejected != 1 {
			t.Errorf("%d starts were rejected, want 1", conn.rejected)
		}
	})
}

// runCount returns the number of runs of the present process.
func (c *replaceableConn) runCount() (n int) {
	c.with(func() { n = len(c.runs) })
	return n
}

// wideJob returns a job of n small tasks.
func wideJob(n int) *workload.Job {
	job := testJob()
	job.Steps[0].Tasks = n
	job.Steps[0].Demand.MilliCPU, job.Steps[0].Demand.MemoryMB = 1, 1
	return job
}

// TestManyStartsDoNotDelayTheListing guards against a new process that is not listed while one start after the other meets it: each of
// them interrupted the watch request that would have listed it.
func TestManyStartsDoNotDelayTheListing(t *testing.T) {
	const tasks = 200
	conn, l := watchedConn(t, tasks)
	conn.latency = 20 * time.Millisecond
	conn.replace()
	l.enqueue(func(c *dispatch.Core) { c.AddJob(wideJob(tasks), nil) })
	replacedAt := time.Now()
	if !await(listedSoon, func() bool { return conn.answeredBy(2) > 0 }) {
		t.Errorf("the new process was not listed within %s", listedSoon)
		await(10*time.Second, func() bool { return conn.answeredBy(2) > 0 })
	}
	conn.with(func() { t.Logf("listed after %s, %d starts rejected", time.Since(replacedAt), conn.rejected) })
	if !await(15*time.Second, func() bool { return conn.runCount() == tasks }) {
		t.Errorf("%d of %d tasks were started on the new process", conn.runCount(), tasks)
	}
}

// TestStartsDoNotSpinAtAnUnknownRestart guards against a loop of decisions, appends and rejected starts while the worker's restart is not
// yet known, because its watch requests are not answered.
func TestStartsDoNotSpinAtAnUnknownRestart(t *testing.T) {
	var appends atomic.Int64
	conn, l := watchedConn(t, 8, func(l *Leader) {
		l.Log.(*storetest.Fake).SetFault(func(request string) (error, bool) {
			if request == "append" {
				appends.Add(1)
			}
			return nil, true
		})
	})
	conn.with(func() { conn.cut = true })
	conn.replace()
	before := appends.Load()
	l.enqueue(func(c *dispatch.Core) { c.AddJob(wideJob(8), nil) })
	time.Sleep(time.Second)
	conn.with(func() {
		t.Logf("%d starts rejected, %d appends, %d watch requests within 1 s", conn.rejected, appends.Load()-before, conn.watches)
		if conn.rejected == 0 || conn.rejected > 8 || appends.Load()-before > 20 || conn.watches > 8 {
			t.Errorf("%d starts rejected, %d appends, %d watch requests within 1 s, want at most one rejection per task", conn.rejected, appends.Load()-before, conn.watches)
		}
		conn.cut = false
	})
	if !await(3*time.Second, func() bool { return conn.runCount() == 8 }) {
		t.Errorf("%d of 8 tasks were started once the worker responded", conn.runCount())
	}
}

// TestInterruptBetweenTwoWatchRequests guards against an interruption that is lost because no watch request is in flight, but a pause
// for the ends of the last listing: the next request would wait on the connection to the former process.
func TestInterruptBetweenTwoWatchRequests(t *testing.T) {
	l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
	l.ConfirmedAt = boottime.Now
	conn := newReplaceableConn()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &session{
		id: "w", conn: conn, leader: l, logger: l.logger, ctx: ctx, cancel: cancel,
		requestSlots: make(chan struct{}, maxRequests), storedEndChanged: make(chan struct{}), lease: workerlease.New(l.lease, l.MaxLease, 0),
	}
	for _, first := range []bool{true, false} {
		conn.with(func() { conn.ends = []workload.EndedRun{{Sequence: 1}} })
		if _, _, err := s.watchOnce(ctx, first); err != nil {
			t.Fatal(err)
		}
	}
	conn.replace()
	s.interruptWatch(1)
	startedAt := time.Now()
	listing, _, err := s.watchOnce(ctx, false)
	if err != nil || listing.Incarnation != 2 {
		t.Errorf("after an interruption between two requests: got %+v and error %v after %s, want the listing of the new process", listing, err, time.Since(startedAt))
	}
}

// TestInterruptedWatchChangesNothing guards against a watch request whose interruption, at whatever time, makes its worker count as gone,
// so that its tasks are started elsewhere, or ends the renewals of its lease.
func TestInterruptedWatchChangesNothing(t *testing.T) {
	conn := newReplaceableConn()
	healthy := &healthyConn{}
	l := runTestLeader(t, testWorkers{"w": conn, "healthy": healthy}, map[string]int{"w": 1, "healthy": 8})
	sessions := make(chan *session, 1)
	l.enqueue(func(*dispatch.Core) { sessions <- l.sessions["w"] })
	s := <-sessions
	s.interruptWatch(0)
	if !await(time.Second, func() bool { return conn.answeredBy(1) > 0 }) {
		t.Fatal("the worker was not listed after the first interruption")
	}
	time.Sleep(50 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	if !await(2*time.Second, func() bool { return conn.runCount() == 1 }) {
		t.Fatal("the task was not started on the worker that fits best")
	}
	leaseEnd := s.leaseEnd()
	var pending sync.WaitGroup
	stopAt := time.Now().Add(1500 * time.Millisecond)
	for i := range 3 {
		pending.Go(func() {
			for time.Now().Before(stopAt) {
				s.interruptWatch(1)
				time.Sleep(time.Duration(1+i*50) * time.Millisecond)
			}
		})
	}
	pending.Wait()
	if !await(3*time.Second, func() bool { return s.leaseEnd() > leaseEnd+time.Second }) {
		t.Error("the lease was not renewed after the interruptions")
	}
	if n := healthy.startCount(); n > 0 || conn.runCount() != 1 {
		t.Errorf("%d starts elsewhere, %d on the worker; want only one there", n, conn.runCount())
	}
	gone := make(chan []string, 1)
	l.enqueue(func(c *dispatch.Core) { gone <- c.UnverifiedWorkers() })
	if workers := <-gone; len(workers) > 0 {
		t.Errorf("workers %v count as gone", workers)
	}
}

// TestInterruptBeforeTheFirstWatch guards against an interruption that fails, or ends the session, before its first request.
func TestInterruptBeforeTheFirstWatch(t *testing.T) {
	l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
	l.ConfirmedAt = boottime.Now
	l.Hedge = &store.Hedge{}
	s, _ := newTestSession(t, l, newReplaceableConn())
	s.interruptWatch(0)
	s.interruptWatch(1)
	if _, _, err := s.watchOnce(t.Context(), true); err != nil {
		t.Errorf("the first request returned %v", err)
	}
}

// TestLateRejectionLeavesTheNewProcessReachable guards against a worker that gets no work until its next listing, and whose watch request
// is interrupted, because a start for the former process is rejected after the new one was listed.
func TestLateRejectionLeavesTheNewProcessReachable(t *testing.T) {
	l, start := leaderWithStart(t)
	conn := newReplaceableConn()
	s, _ := newTestSession(t, l, conn)
	s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	conn.replace()
	if _, _, err := s.watchOnce(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	drain(l)
	l.core.ApplyListing("w", boottime.Now(), &workload.Listing{Incarnation: 2})
	s.reportReplaced(&startAttempts{planned: start})
	drain(l)
	if starts := l.core.Plan().Starts; len(starts) != 1 || starts[0].Incarnation != 2 {
		t.Errorf("got starts %+v, want one for the new process", starts)
	}
	_, cancel, fresh := s.beginWatch(t.Context(), false)
	cancel()
	if fresh {
		t.Error("the connection to the new process was closed")
	}
}

// TestTakeoverFromAnEarlierVersion guards against a task that never starts, or starts twice, when a holder takes over from one of a former
// version: the state names no process, and the process that runs now may be the one to which the start was sent or the next one.
func TestTakeoverFromAnEarlierVersion(t *testing.T) {
	for _, process := range []int64{1, 2} {
		for _, executed := range []bool{false, true} {
			for _, incarnations := range [][]int64{nil, {0}} {
				conn := newReplaceableConn()
				conn.process = process
				if executed {
					conn.runs = []workload.RunRef{testRun}
				}
				var sent []int64
				conn.responseTo = func(r StartRequest) (error, bool) {
					sent = append(sent, r.Incarnation)
					return nil, false
				}
				l := runTestLeader(t, testWorkers{"w": conn}, map[string]int{"w": 8})
				unit := workload.UnitState{Status: workload.UnitActive, Run: testRun.Run, Workers: []string{"w"}, Incarnations: incarnations}
				state := &workload.JobState{Phase: workload.PhaseRunning, Repetitions: [][]workload.StepState{{{Units: []workload.UnitState{unit}}}}}
				l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), state) })
				if !await(2*time.Second, func() bool { return conn.runCount() > 0 && conn.answeredBy(process) > 0 }) {
					t.Fatalf("process %d, incarnations %v: the task was not started", process, incarnations)
				}
				time.Sleep(100 * time.Millisecond)
				conn.with(func() {
					if len(conn.runs) != 1 || conn.runs[0] != testRun {
						t.Errorf("process %d, executed %v, incarnations %v: the worker has runs %v, want the restored one", process, executed, incarnations, conn.runs)
					}
					for _, incarnation := range sent {
						if incarnation != process || executed {
							t.Errorf("process %d, executed %v, incarnations %v: a start was sent to process %d", process, executed, incarnations, incarnation)
						}
					}
				})
			}
		}
	}
}

// TestRejectedListingBeforeAStart guards against a rejection of the listing before a start that is ignored, tried again without an end, or
// taken for the outcome of the start, which was not sent.
func TestRejectedListingBeforeAStart(t *testing.T) {
	for _, test := range []struct {
		rejection        error
		attempts         int
		wanted, stepDown bool
	}{
		{rejection: ErrStaleEpoch, attempts: 1, wanted: true, stepDown: true},
		// The next watch request reports the worker as gone.
		{rejection: ErrOtherIncarnation, attempts: 1, wanted: true},
		{rejection: ErrUnhealthy, attempts: maxUnsentAttempts},
		{rejection: errors.New("no listing"), attempts: maxUnsentAttempts},
	} {
		t.Run(test.rejection.Error(), func(t *testing.T) {
			l, start := leaderWithStart(t)
			l.cancel = func() {}
			attempts := 0
			conn := newReplaceableConn()
			conn.responseTo = func(StartRequest) (error, bool) {
				attempts++
				return errors.Join(ErrNoResponse, ErrNotSent, test.rejection), true
			}
			s, _ := newTestSession(t, l, conn)
			s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
			applyWhile(l, func() { s.start(t.Context(), start) })
			if attempts != test.attempts || l.core.WantsStart("w", start.Ref) != test.wanted || l.ended.Load() != test.stepDown {
				t.Errorf("%d attempts, wanted %v, stepped down %v; want %+v", attempts, l.core.WantsStart("w", start.Ref), l.ended.Load(), test)
			}
			if stops := l.core.Plan().Stops; len(stops) > 0 {
				t.Errorf("got stops %+v of a start that was not sent", stops)
			}
		})
	}
}
