// Package infra defines the wire types of the platform's services and the HTTP clients for them.
//
// The platform offers an append-only log with offsets, a list of VMs that may be stale, and workers that run tasks
// under leases. The contracts are in docs/design.md: sections 6 (log, VM list, worker) and 5 (endpoint).
package infra
