// Package callerconn bounds what untrusted callers can take from a process: memory, descriptors and time. net/http serves the
// requests; this package wraps its listener, its connections and its handler.
//
//   - limits.go: the limits, and how they follow from the memory and the descriptors of a VM
//   - limiter.go: the budgets of bytes and of connections that all connections share, and which connection is closed if one
//     of them is short
//   - conn.go: one connection: in which part of a request it is, its deadlines and its progress
//   - handler.go: the begin and the end of a request in front of the handler
//   - body.go: bodies in buffers that are charged to the budget as they grow, and the memory of decoded bodies
//   - report.go: metrics and the log line
//
// A connection is closed only while the process waits for its caller: for a request, for the rest of a header or of a body,
// or for the rest of a request that was refused. A request that has arrived completely is not cut. A request whose header or
// body was cut has not reached the code that would execute it.
package callerconn
