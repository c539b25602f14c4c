// Package leader runs the schedule on the VM that holds it: it drives the dispatch core, stores the job states that the
// core changes, and sends start and stop requests to the workers.
//
//   - leader.go: the loop around the core
//   - permission.go: what a holder may do that the store has not confirmed lately
//   - effects.go: what is sent once the states behind it are stored
//   - forecast.go: the forecast for the VMs that accept jobs
//   - cleanup.go: the deletion of the records of ended jobs
//   - journal.go: the appends of job states
//   - session.go: the lease and the listings of one worker
//   - evacuation.go: the evacuations before each plan and each attempt of a start
//   - requests.go: the start and stop requests to one worker
//   - requestqueue.go: the requests that wait for a request slot of their worker
//   - workers.go: the worker list
//   - presence.go: whether a worker has removed its own entry
//   - contact.go: whether a worker's process has ended
package leader

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// Errors of requests to workers.
var (
	// ErrNoResponse means that no usable response arrived; the request may be executed, now or seconds later.
	ErrNoResponse = errors.New("leader: no response from the worker")
	// ErrNotSent means that no part of the request can have reached the worker.
	ErrNotSent = errors.New("leader: no connection to the worker")
	// ErrStaleEpoch means that the worker has received a request with a higher epoch.
	ErrStaleEpoch = errors.New("leader: epoch rejected: the worker follows a newer holder of the schedule")
	// ErrRunEnded means that the worker has ended the run, or has received a stop of it, or of a later one of its task, before the start.
	ErrRunEnded = errors.New("leader: the worker has already ended this run")
	// ErrLeaseExpired means that the lease in a start request had expired on arrival.
	ErrLeaseExpired = errors.New("leader: the lease in the request expired before it arrived")
	// ErrInsufficientResources means that the worker has too few free resources for the run.
	ErrInsufficientResources = errors.New("leader: the worker has too few free resources")
	// ErrUnhealthy means that the worker rejects all requests for now.
	ErrUnhealthy = errors.New("leader: the worker is not healthy")
	// ErrOtherIncarnation means that the request was meant for a process that has ended.
	ErrOtherIncarnation = errors.New("leader: another process runs at the worker's address")
	// ErrProcessReplaced means that a start was not sent because the worker's process is not the one that it was meant for. The error
	// also matches ErrNotSent.
	ErrProcessReplaced = errors.New("leader: the worker's process has been replaced by another one under its id")
	// ErrInvalidRequest means that the worker cannot process the request.
	ErrInvalidRequest = errors.New("leader: the worker rejected the request as invalid")
)

// ListingTimeout bounds a request for a listing that does not wait for the end of a run.
const ListingTimeout = 700 * time.Millisecond

// WatchRequest is a request for a worker's listing of runs.
type WatchRequest struct {
	// LeaseUntilMS renews the lease until this time, in milliseconds of the worker's clock; 0 renews nothing.
	LeaseUntilMS int64
	// Epoch is the epoch of the holder of the schedule, which the worker uses as a fencing token.
	Epoch int64
	// StoredEnd is the sequence number up to which run ends are stored; the worker may discard those.
	StoredEnd int64
	// Wait is how long the worker may hold the request open until a run ends.
	Wait time.Duration
}

// StartRequest is a request to start a run. LeaseUntilMS is in milliseconds of the worker's clock.
type StartRequest struct {
	Ref workload.RunRef
	// Incarnation is the start time of the only process that may get the request.
	Incarnation   int64
	Specification string
	Checkpoint    string
	LeaseUntilMS  int64
	Epoch         int64
	// Withdraw is set if nothing of the request may be sent any more after its timeout: the domain may be evacuated by then.
	Withdraw bool
}

// StopRequest is a request to stop a run.
type StopRequest struct {
	Ref   workload.RunRef
	Epoch int64
}

// WorkerConn sends requests to one worker. Watch must not be called concurrently; Start and Stop may. If the worker rejects
// a request, the error matches one of the errors above. Start and Stop return an error that matches ErrNoResponse if no
// usable response arrived; Watch may return any other error then.
type WorkerConn interface {
	// Watch renews the lease of the worker's runs and returns its listing.
	Watch(ctx context.Context, request WatchRequest, timeout time.Duration) (*workload.Listing, error)
	// SameConnection reports whether the next Watch can only reach the process that has sent the last listing.
	SameConnection() bool
	// Start makes the worker's process with the request's incarnation start a run. No other process can execute the request, however
	// late it arrives. The error also matches ErrNotSent if the request was not sent.
	Start(ctx context.Context, request StartRequest, timeout time.Duration) error
	// Stop makes the worker end a run, and keeps it from starting the run later.
	Stop(ctx context.Context, request StopRequest, timeout time.Duration) error
	// Close closes the connection of Watch.
	Close()
}

// Workers opens connections to workers.
type Workers interface {
	// Connect returns a connection to the worker id at address (host:port).
	Connect(id, address string) WorkerConn
}
