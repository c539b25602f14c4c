package infra

import "context"

// VMState is the state of a VM in the platform's list.
type VMState string

// The VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Roles of VMs in the platform's list.
const (
	// RoleEntry marks an entry VM, which runs a gateway and a scheduler.
	RoleEntry = "entry"
	// RoleEndpoint marks a VM that runs an endpoint of a service.
	RoleEndpoint = "endpoint"
	// RoleWorker marks a VM that runs tasks.
	RoleWorker = "worker"
)

// VM is one entry of the platform's list. The list lags and may revert to an older state.
type VM struct {
	ID            string  `json:"id" cbor:"id"`
	FailureDomain string  `json:"failure_domain" cbor:"failure_domain"`
	Role          string  `json:"role" cbor:"role"`
	State         VMState `json:"state" cbor:"state"`
	// Address is the host:port of the VM's service.
	Address string `json:"address" cbor:"address"`
}

// VMListResponse is the response to GET /v1/vms.
type VMListResponse struct {
	VMs []VM `json:"vms"`
}

// VMList reads the platform's list of VMs.
type VMList interface {
	// VMs returns the current list.
	VMs(ctx context.Context) ([]VM, error)
}
