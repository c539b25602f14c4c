package leader

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// failuresAfterEnd is the number of failed requests in a row from which an ended connection counts as the end of the worker's process:
// the network may also end a connection, but then a new one reaches the worker.
const failuresAfterEnd = 2

// contact holds what the requests to a worker have shown since its last response.
type contact struct {
	// failures is the number of requests without response. connectionEnded is true if the connection of one of them was refused, or
	// closed by the peer.
	failures        int
	connectionEnded bool
}

// recordResponse records a response.
func (c *contact) recordResponse() { *c = contact{} }

// recordFailure records a request that failed with err.
func (c *contact) recordFailure(err error) {
	switch {
	case endedByPeer(err):
		c.connectionEnded = true
	case !timedOut(err):
		// The worker has responded, with an error.
		c.recordResponse()
		return
	}
	c.failures++
}

// processEnded reports whether the requests show that the worker's process has ended. A process that only cannot be reached leaves
// its connections open.
func (c *contact) processEnded() bool { return c.connectionEnded && c.failures >= failuresAfterEnd }

// endedByPeer reports whether a request failed because the peer has closed or refused its connection.
func endedByPeer(err error) bool {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, ended) {
			return true
		}
	}
	return false
}

// timedOut reports whether a request failed because nothing arrived in time, and not because its connection was refused or ended.
func timedOut(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}
