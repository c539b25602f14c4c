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
