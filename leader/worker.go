// Package leader runs the schedule on the VM that holds it: it drives the dispatch core, stores the states that the core
// changes, and carries orders to the workers.
//
//   - leader.go: the loop around the core
//   - journal.go: the appends of job states
//   - session.go: the lease and the orders of one worker
package leader

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// How workers refuse orders.
var (
	// ErrNoAnswer marks an order without an answer; it may be carried out, now or seconds later.
	ErrNoAnswer = errors.New("leader: the worker did not answer")
	// ErrDeposed marks an order with a fencing token below the worker's.
	ErrDeposed = errors.New("leader: the worker obeys a newer holder of the schedule")
	// ErrRunIsOver marks a start of a run that the worker has ended, or for which it has refused a start.
	ErrRunIsOver = errors.New("leader: the worker has ended this run")
	// ErrLate marks a start whose lease had expired when it arrived.
	ErrLate = errors.New("leader: the lease in the order had expired")
	// ErrNoRoom marks a start that did not fit.
	ErrNoRoom = errors.New("leader: the worker has no room")
	// ErrUnhealthy marks a worker that refuses all orders for now.
	ErrUnhealthy = errors.New("leader: the worker is not healthy")
	// ErrOtherIncarnation marks an order for a process that is gone.
	ErrOtherIncarnation = errors.New("leader: the worker's process is another one")
	// ErrBadOrder marks an order that the worker does not understand.
	ErrBadOrder = errors.New("leader: the worker rejects the order")
)

// Watch is a request for a worker's list of runs.
type Watch struct {
	// LeaseUntilMS renews the lease until this time of the worker's clock; 0 renews nothing.
	LeaseUntilMS int64
	Fence        int64
	// Noted is the highest end that is stored, so that the worker may forget it.
	Noted int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// StartOrder is a start as it is sent.
type StartOrder struct {
	Ref           workload.RunRef
	Specification string
	Checkpoint    string
	LeaseUntilMS  int64
	Fence         int64
}

// StopOrder is a stop as it is sent.
type StopOrder struct {
	Ref   workload.RunRef
	Fence int64
}

// WorkerConn carries the calls to one worker. Watch must not be called concurrently; orders may.
type WorkerConn interface {
	Watch(ctx context.Context, watch Watch, timeout time.Duration) (*workload.Listing, error)
	// SameConnection reports whether the next Watch reaches the process that answered the last one.
	SameConnection() bool
	Start(ctx context.Context, order StartOrder, timeout time.Duration) error
	Stop(ctx context.Context, order StopOrder, timeout time.Duration) error
	Close()
}

// Workers opens connections to workers.
type Workers interface {
	Connect(id, address string) WorkerConn
}
