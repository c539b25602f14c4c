// Package vmsettings holds the checked settings of a VM's process, whatever file they were read from.
package vmsettings

import "time"

// Settings of one process.
type Settings struct {
	// VM is the VM's name, FailureDomain where it stands.
	VM            string
	FailureDomain string
	// Address is the VM's IP address.
	Address string
	// CallerListen and ReadyListen are the host:port for callers and for the balancer's health check.
	CallerListen string
	ReadyListen  string
	// InternalPorts are the first and the last port that the process may use for other purposes; zero if unknown.
	InternalPorts [2]int
	// CPUShare is the part of a core that the process may use.
	CPUShare float64
	// MemoryMB is the memory above which the process is killed.
	MemoryMB int64
	// StoreAddress is the host:port of the metadata store.
	StoreAddress string
	Store        Store
	Bounds       Bounds
}

// Store are the limits of the metadata store.
type Store struct {
	MaxRecordBytes int
	// MinGroupTTL is the shortest time for which a group keeps a silent member.
	MinGroupTTL time.Duration
}

// Bounds are the time bounds of the deployment.
type Bounds struct {
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// KeyRevocation is how soon a key that was taken away must stop working.
	KeyRevocation time.Duration
	// StrictRevocation reports whether KeyRevocation holds for VMs without a path to the store, too.
	StrictRevocation bool
	// HeartbeatInterval is the time between two entries of a worker in the list.
	HeartbeatInterval time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// StopTimeout bounds the time between a stop and the end of the run.
	StopTimeout time.Duration
	// StatusRetention is how long the state of an ended job must be readable.
	StatusRetention time.Duration
}
