package leader

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// leavingConn is a worker that runs what it is given until its process ends.
type leavingConn struct {
	healthyConn
	ended atomic.Bool
}

func (c *leavingConn) Watch(ctx context.Context, r WatchRequest, timeout time.Duration) (*workload.Listing, error) {
	if c.ended.Load() {
		return nil, io.ErrUnexpectedEOF
	}
	return c.healthyConn.Watch(ctx, r, timeout)
}

// drainTest is a leader with a task on a draining worker and room on another one.
type drainTest struct {
	leader         *Leader
	list           *workerList
	leaving, other *healthyConn
	ended          *atomic.Bool
}

func newDrainTest(t *testing.T) *drainTest {
	leaving, other := &leavingConn{}, &healthyConn{}
	l := runTestLeader(t, testWorkers{"leaving": leaving, "other": other}, map[string]int{"leaving": 1, "other": 8})
	time.Sleep(100 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	if !awaitStart(&leaving.healthyConn, startLimit) {
		t.Fatal("the task was not started on the worker that fits best")
	}
	list := &workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	d := &drainTest{leader: l, list: list, leaving: &leaving.healthyConn, other: other, ended: &leaving.ended}
	d.put(t, "ready")
	d.put(t, "draining")
	d.put(t, "draining")
	return d
}

// put writes an entry of the worker that leaves and makes the leader read it; an empty state removes the entry.
func (d *drainTest) put(t *testing.T, state string) {
	putWorker(t, d.leader.Log, "leaving", state)
	readList(t, d.list)
}

// TestDrainingWorkerWithoutEntryKeepsItsRuns guards against a task that runs twice: the entry of a draining worker was removed, which
// was taken for the worker's own sign-off, while the worker still ran the task and answered requests.
func TestDrainingWorkerWithoutEntryKeepsItsRuns(t *testing.T) {
	d := newDrainTest(t)
	d.put(t, "")
	if awaitStart(d.other, 2*time.Second) {
		t.Error("the task was started elsewhere while its worker listed it")
	}
}

// TestTaskLeavesAWorkerThatHasLeft guards against a task that waits for the lease of a draining worker that has removed its entry and
// ended its process.
func TestTaskLeavesAWorkerThatHasLeft(t *testing.T) {
	d := newDrainTest(t)
	d.ended.Store(true)
	d.put(t, "")
	if !awaitStart(d.other, startLimit) {
		t.Errorf("the task was not started elsewhere within %s", startLimit)
	}
}

// TestLeavingProcessMayEndAfterItsEntry guards against a task that waits for a lease because the worker's entry is gone before its
// process is.
func TestLeavingProcessMayEndAfterItsEntry(t *testing.T) {
	d := newDrainTest(t)
	d.put(t, "")
	time.Sleep(500 * time.Millisecond)
	d.ended.Store(true)
	if !awaitStart(d.other, startLimit) {
		t.Errorf("the task was not started elsewhere within %s", startLimit)
	}
}
