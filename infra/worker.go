package infra

import (
	"context"

	"github.com/redwingthread/redwingthread/resource"
)

// Op is the operation of a worker command.
type Op string

// Worker operations.
const (
	// OpReserve reserves Resources for an attempt. The reservation expires after TTLMS unless its task is started.
	OpReserve Op = "reserve"
	// OpStart starts the task of a reserved attempt in state held: resident, but not yet running.
	OpStart Op = "start"
	// OpRelease makes a held task run.
	OpRelease Op = "release"
	// OpCheckpoint takes a checkpoint of a task without stopping it.
	OpCheckpoint Op = "checkpoint"
	// OpThrottle limits a task to ThrottlePercent of its processors.
	OpThrottle Op = "throttle"
	// OpStop stops a task or cancels a reservation; if Checkpoint is set, it takes a checkpoint first.
	OpStop Op = "stop"
	// OpForget removes an ended task from the inventory.
	OpForget Op = "forget"
)

// AttemptID identifies one attempt to run a gang.
type AttemptID struct {
	Job     string `json:"job" cbor:"job"`
	Attempt uint64 `json:"attempt" cbor:"attempt"`
}

// Command is one operation on a gang member that is placed on the worker.
type Command struct {
	Op      Op        `json:"op"`
	Attempt AttemptID `json:"attempt"`
	// Member is the index of the gang member, starting at 0.
	Member int `json:"member"`
	// Resources are the resources of the member; used by reserve.
	Resources resource.Resources `json:"resources"`
	// TTLMS is the lifetime of a reservation in milliseconds; used by reserve.
	TTLMS int64 `json:"ttl_ms,omitempty"`
	// Run is the command line of the task; used by start.
	Run []string `json:"run,omitempty"`
	// Checkpoint is the name of the checkpoint to start from (start); if not empty, it requests a checkpoint before the
	// stop (stop).
	Checkpoint string `json:"checkpoint,omitempty"`
	// CheckpointMS bounds the time for the checkpoint before a stop, in milliseconds.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// ThrottlePercent is the share of its processors that a task may use, 1 to 100; used by throttle.
	ThrottlePercent int `json:"throttle_percent,omitempty"`
}

// CommandsRequest is the body of POST /v1/commands. It renews the holder's lease and, for every attempt in Renew,
// the task lease, then applies Commands in order.
type CommandsRequest struct {
	Holder string `json:"holder"`
	// Epoch is the holder's fencing token. A worker rejects an epoch below the highest that it has granted.
	Epoch uint64 `json:"epoch"`
	// LeaseMS is the length of the holder lease in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// TaskLeaseMS is the length of task leases in milliseconds.
	TaskLeaseMS int64 `json:"task_lease_ms"`
	// KnownRevision is the revision of the inventory that the holder knows; 0 for none.
	KnownRevision uint64      `json:"known_revision"`
	Renew         []AttemptID `json:"renew,omitempty"`
	Commands      []Command   `json:"commands,omitempty"`
}

// CommandsResponse is the response to a CommandsRequest.
type CommandsResponse struct {
	// Granted reports whether the worker granted the lease and applied the commands.
	Granted bool `json:"granted"`
	// Epoch and Holder are those of the lease in force, whether or not it was granted to the sender.
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	// ExpiresInMS is the time until the lease in force expires, in milliseconds; 0 if no lease is in force.
	ExpiresInMS int64 `json:"expires_in_ms"`
	// Results has one entry for each command, in order; empty if the lease was not granted.
	Results []CommandResult `json:"results,omitempty"`
	// Inventory is set if its revision differs from KnownRevision.
	Inventory *Inventory `json:"inventory,omitempty"`
	// NewConnection is true if the request opened its connection. Only requests on the connection of an earlier one are certain to
	// reach the same process, so without an inventory the response does not show that the known one is current.
	NewConnection bool `json:"-"`
}

// CommandResult is the result of one command.
type CommandResult struct {
	OK bool `json:"ok"`
	// Reason says why the command was rejected; empty if OK.
	Reason string `json:"reason,omitempty"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// Task states.
const (
	TaskReserved      TaskState = "reserved"
	TaskHeld          TaskState = "held"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskDone          TaskState = "done"
	TaskFailed        TaskState = "failed"
	TaskStopped       TaskState = "stopped"
	// TaskLeaseExpired marks a task that the worker stopped because its task lease expired.
	TaskLeaseExpired TaskState = "lapsed"
)

// Ended reports whether the task no longer uses resources.
func (s TaskState) Ended() bool {
	switch s {
	case TaskDone, TaskFailed, TaskStopped, TaskLeaseExpired:
		return true
	}
	return false
}

// Task is one entry of a worker's inventory.
type Task struct {
	Attempt   AttemptID          `json:"attempt"`
	Member    int                `json:"member"`
	State     TaskState          `json:"state"`
	Resources resource.Resources `json:"resources"`
	// Epoch is the epoch of the holder that reserved the task.
	Epoch uint64 `json:"epoch"`
	// Checkpoint is the name of the last checkpoint; empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Detail is the reason of a failure.
	Detail string `json:"detail,omitempty"`
}

// Inventory is the state of a worker and its tasks.
type Inventory struct {
	Worker string `json:"worker"`
	// Incarnation changes when the worker restarts, which loses its tasks.
	Incarnation string `json:"incarnation"`
	// Revision increases with every change of the inventory.
	Revision uint64             `json:"revision"`
	Capacity resource.Resources `json:"capacity"`
	Leaving  bool               `json:"leaving"`
	Tasks    []Task             `json:"tasks"`
	// Usage is the resource usage that the worker reports; it lags behind the actual usage.
	Usage resource.Resources `json:"usage"`
}

// WorkerClient sends commands to workers by address.
type WorkerClient interface {
	// Commands sends req to the worker at address (host:port). After an error the commands may or may not have been
	// applied.
	Commands(ctx context.Context, address string, req CommandsRequest) (CommandsResponse, error)
	// Inventory reads the inventory of the worker at address (host:port). It needs no lease.
	Inventory(ctx context.Context, address string) (Inventory, error)
}
