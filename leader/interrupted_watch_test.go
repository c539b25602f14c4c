package leader

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// silentlyReplacedConn is a worker whose process ends without closing its connections while a run is under way, and is replaced at once.
// Requests on the old connection of Watch get no response.
type silentlyReplacedConn struct {
	idleConn
	mu          sync.Mutex
	incarnation int64
	running     []workload.RunningRun
	// watched is the process to which the connection of Watch leads.
	watched int64
}

func (c *silentlyReplacedConn) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Incarnation != c.incarnation {
		return errors.Join(ErrNoResponse, ErrNotSent, ErrProcessReplaced)
	}
	c.running = append(c.running, workload.RunningRun{RunRef: r.Ref})
	return nil
}

func (c *silentlyReplacedConn) Watch(ctx context.Context, r WatchRequest, timeout time.Duration) (*workload.Listing, error) {
	boottime.Sleep(ctx, min(r.Wait, 20*time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched != 0 && c.watched != c.incarnation {
		c.watched = 0
		c.mu.Unlock()
		boottime.Sleep(ctx, timeout)
		c.mu.Lock()
		return nil, os.ErrDeadlineExceeded
	}
	c.watched = c.incarnation
	return &workload.Listing{Incarnation: c.incarnation, ClockMS: boottime.Now().Milliseconds(), Running: c.running}, ctx.Err()
}

func (c *silentlyReplacedConn) SameConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watched != 0
}

// replace ends the worker's process and starts another one.
func (c *silentlyReplacedConn) replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation++
	c.running = nil
}

// lockedBuffer is a buffer for log lines that can be read while they are written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// await waits up to limit until a line that contains text was written, and returns the line; empty if none was.
func (b *lockedBuffer) await(text string, limit time.Duration) string {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		b.mu.Lock()
		lines := strings.Split(b.buffer.String(), "\n")
		b.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, text) {
				return line
			}
		}
	}
	return ""
}

// TestInterruptedWatchIsNoSilence guards against the holder's own interruption of a watch request that counts as silence of the worker:
// the crash of a process that was proven by the response of the next one then counted as uncertain, and a task that crashes its workers
// got another one.
func TestInterruptedWatchIsNoSilence(t *testing.T) {
	conn, logged := &silentlyReplacedConn{incarnation: 1}, &lockedBuffer{}
	l := runTestLeader(t, testWorkers{"w": conn}, map[string]int{"w": 8}, func(l *Leader) { l.logger = zerolog.New(logged) })
	time.Sleep(100 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	if logged.await("start answered", startLimit) == "" {
		t.Fatal("the task was not started")
	}
	conn.replace()
	second := testJob()
	second.ID = "fedcba9876543210"
	l.enqueue(func(c *dispatch.Core) { c.AddJob(second, nil) })
	if logged.await("start not sent", startLimit) == "" {
		t.Fatal("no start found the other process")
	}
	line := logged.await("worker crashed", startLimit)
	if !strings.Contains(line, "crash 1 of the task, 1 certain") {
		t.Errorf("the crash was recorded as %q, want a certain one", line)
	}
}

// overtakenConn is a worker whose new process responds to a watch request while a start for the former one finds it.
type overtakenConn struct {
	idleConn
	session *session
}

func (c *overtakenConn) Start(context.Context, StartRequest, time.Duration) error {
	c.session.recordResponse(&workload.Listing{Incarnation: 2, ClockMS: 1000}, 0)
	return errors.Join(ErrNoResponse, ErrNotSent, ErrProcessReplaced)
}

func (c *overtakenConn) SameConnection() bool { return true }

// TestLateReportOfAReplacedProcessSparesTheNext guards against work that is withheld from a worker, and a watch request that is ended,
// because a start for its former process reports the replacement after the new process has already responded to the session.
func TestLateReportOfAReplacedProcessSparesTheNext(t *testing.T) {
	l, _ := unconfirmedLeader(t)
	conn := &overtakenConn{}
	s, _ := newTestSession(t, l, conn)
	conn.session = s
	s.recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	l.sessions["w"] = s
	watchCtx, cancel, _ := s.beginWatch(t.Context(), false)
	defer cancel()
	s.start(t.Context(), dispatch.Start{Worker: "w", Ref: testRun, Incarnation: 1})
	if watchCtx.Err() != nil {
		t.Error("the watch request to the new process was ended")
	}
	config := &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "svc", MaxFailedRuns: 1, SlackFactor: 3}}}
	config.Index()
	core := dispatch.New(l.DispatchOptions)
	core.Advance(boottime.Now(), time.Now())
	core.SetConfig(config)
	room := resource.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000}
	core.SetWorker(workload.WorkerInfo{ID: "w", Address: "127.0.0.1:1", Service: "svc", Rack: "r1", Capacity: room, Incarnation: 2})
	core.ApplyListing("w", boottime.Now(), &workload.Listing{Incarnation: 2})
	for len(l.events) > 0 {
		(<-l.events)(core)
	}
	core.AddJob(testJob(), nil)
	if starts := core.Plan().Starts; len(starts) != 1 {
		t.Errorf("%d starts on the new process, want 1", len(starts))
	}
}

// TestReplacedSessionRenewsNothing guards against a task that runs twice: a start that waits in a session whose worker has another
// address by now extended the lease at the old address, after the next session had taken over the account of the worker's leases.
func TestReplacedSessionRenewsNothing(t *testing.T) {
	l, _ := unconfirmedLeader(t)
	s, _ := newTestSession(t, l, &recordingConn{})
	s.address = "127.0.0.1:1"
	l.sessions["w"] = s
	l.cancel = func() {}
	ctx, cancel := context.WithCancel(t.Context())
	next := l.ensureSession(ctx, workload.WorkerInfo{ID: "w", Address: "127.0.0.1:2"})
	s.leaseUntil(boottime.Now()+RenewalWithoutStore/2, s.currentIncarnation())
	if s.leaseEnd() > next.leaseEnd() {
		t.Errorf("the worker keeps its runs at the old address %s longer than the holder waits", s.leaseEnd()-next.leaseEnd())
	}
	cancel()
	l.goroutines.Wait()
}
