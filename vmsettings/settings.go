// Package vmsettings holds the validated settings of a VM's process, independent of the format of the settings file.
package vmsettings

import "time"

// Settings holds the settings of one process.
type Settings struct {
	// VM is the name of the VM, FailureDomain the failure domain that it is in.
	VM            string
	FailureDomain string
	// Address is the VM's IP address.
	Address string
	// CallerListen and ReadyListen are the host:port to listen on for callers and for the balancer's health check.
	CallerListen string
	ReadyListen  string
	// InternalPorts holds the first and the last port that the process may use for other purposes; zero if unknown.
	InternalPorts [2]int
	// CPUShare is the share of a core that the process may use.
	CPUShare float64
	// MemoryMB is the memory in MB above which the process is killed.
	MemoryMB int64
	// FileDescriptors is the number of descriptors that the process may have open.
	FileDescriptors int
	// StoreAddress is the host:port of the metadata store.
	StoreAddress string
	Store        Store
	Bounds       Bounds
}

// Store holds the limits of the metadata store.
type Store struct {
	// MaxRecordBytes is the maximum size of a record.
	MaxRecordBytes int
	// MinGroupTTL is the shortest time for which a group keeps a member that does not renew its membership.
	MinGroupTTL time.Duration
}

// Bounds holds the time bounds of the deployment.
type Bounds struct {
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// KeyRevocation is the time within which a revoked key must stop working.
	KeyRevocation time.Duration
	// StrictRevocation is true if KeyRevocation also applies on VMs that cannot reach the store.
	StrictRevocation bool
	// HeartbeatInterval is the time between two updates of a worker's entry in the list.
	HeartbeatInterval time.Duration
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// StopTimeout bounds the time between a stop request and the end of the run.
	StopTimeout time.Duration
	// StatusRetention is how long the state of an ended job must be readable.
	StatusRetention time.Duration
	// Evacuation is the time after the request to evacuate a failure domain from which no task may start there; 0 if the
	// deployment has no evacuations.
	Evacuation time.Duration
	// A cold worker may get at most ColdOverage times the tasks of a warm worker, plus ColdSlack. ColdOverage is 0 if the
	// deployment sets no such limit.
	ColdOverage, ColdSlack float64
}
