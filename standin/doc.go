// Package standin simulates the platform's services and endpoints in tests and local deployments: an append-only log
// service, a lagging VM list, workers that grant fenced leases, and endpoints.
//
// Every stand-in serves the HTTP contract of docs/design.md (sections 5 and 6) through its Handler and keeps its state
// in memory. Faults are injected through SetFaults or, over HTTP, through the control service of a Set. Only the
// program redwing-standin and tests may import this package.
package standin
