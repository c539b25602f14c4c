package leader

import (
	"bytes"
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// newEntryList returns a list of workers whose entries hold the address, the incarnation and the sequence number.
func newEntryList(t *testing.T) *workerList {
	l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
	l.DecodeWorker = func(id string, text []byte) (workload.WorkerInfo, error) {
		info := workload.WorkerInfo{ID: id}
		_, err := fmt.Sscanf(string(text), "%s %d %d", &info.Address, &info.Incarnation, &info.Sequence)
		return info, err
	}
	list := &workerList{leader: l, cursor: store.Cursor{Stream: store.Workers}, known: map[string]workload.WorkerInfo{}, presence: newPresence(l.HeartbeatInterval)}
	readList(t, list)
	return list
}

func (w *workerList) put(t *testing.T, address string, incarnation, sequence int64) {
	putWorker(t, w.leader.Log, "w", fmt.Sprintf("%s %d %d", address, incarnation, sequence))
	readList(t, w)
}

// TestLateEntryDoesNotCount guards against a holder that connects to the address of a process that has ended, or takes a worker for one that
// does not drain, because the store executes the write of an earlier entry late.
func TestLateEntryDoesNotCount(t *testing.T) {
	list := newEntryList(t)
	list.put(t, "old:1", 1, 7)
	list.put(t, "new:1", 2, 1)
	list.put(t, "old:1", 1, 8)
	if got := list.known["w"].Address; got != "new:1" {
		t.Errorf("the late entry of the earlier process gives the worker address %s", got)
	}
	list.put(t, "changed:1", 2, 3)
	list.put(t, "new:1", 2, 2)
	if got := list.known["w"].Address; got != "changed:1" {
		t.Errorf("the late entry of the same process gives the worker address %s", got)
	}
}

// TestWorkerWhoseClockWasSetBackCounts guards against a worker that is ignored for good because its process states an earlier start than
// its predecessor.
func TestWorkerWhoseClockWasSetBackCounts(t *testing.T) {
	list := newEntryList(t)
	list.put(t, "old:1", 9, 7)
	list.presence.heardAt["w"] -= maxMissedHeartbeats * list.presence.interval
	list.put(t, "new:1", 5, 1)
	if got := list.known["w"].Address; got != "new:1" {
		t.Errorf("the worker has address %s after its predecessor was silent, want that of its new process", got)
	}
}

// refusedConn is an address without a listener.
type refusedConn struct{ idleConn }

func (refusedConn) Watch(context.Context, WatchRequest, time.Duration) (*workload.Listing, error) {
	return nil, syscall.ECONNREFUSED
}

// TestAnotherAddressKeepsTheLease guards against a task that runs twice: the entry of its worker names another address for a while, at
// which nothing listens, and the lease that the worker was granted at the first one counted as expired.
func TestAnotherAddressKeepsTheLease(t *testing.T) {
	busy, other := &healthyConn{}, &healthyConn{}
	workers := testWorkers{"busy": busy, "other": other}
	l := runTestLeader(t, workers, map[string]int{"busy": 1, "other": 8})
	// The leases of earlier holders have expired.
	l.startedAt -= l.earlierLeaseBound()
	time.Sleep(100 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
	if !awaitStart(busy, startLimit) {
		t.Fatal("the task was not started on the worker that fits best")
	}
	time.Sleep(100 * time.Millisecond)
	l.enqueue(func(c *dispatch.Core) {
		workers["busy"] = refusedConn{}
		info := workload.WorkerInfo{ID: "busy", Address: "127.0.0.2:1", Service: "svc", Capacity: resource.Resources{Accelerators: 1, MilliCPU: 8000, MemoryMB: 8000}}
		c.SetWorker(info)
		l.ensureSession(t.Context(), info)
	})
	if before := boottime.Now(); awaitStart(other, 2*time.Second) {
		t.Errorf("the task was started elsewhere %v after its worker got another address, before the lease had expired", boottime.Now()-before)
	}
}
