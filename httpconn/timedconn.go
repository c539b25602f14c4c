package httpconn

import (
	"net"
	"sync"
	"time"
)

// timedConn is a connection whose deadline moves on while data arrives, so that a large response over a slow link is read
// to its end, and a connection that has gone silent is not waited for.
type timedConn struct {
	net.Conn

	// received is the number of bytes that were read in the current exchange. It is used only by the goroutine of the exchange.
	received int

	mu sync.Mutex
	// deadline is that of the current exchange, limit the latest value that it can take; both are guarded by mu.
	deadline, limit time.Time
	// interrupted is true once the current exchange was interrupted; guarded by mu.
	interrupted bool
}

// begin starts an exchange whose response must begin before deadline.
func (c *timedConn) begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
	c.received = 0
	c.deadline = deadline
	c.limit = deadline.Add(maxTransferTime)
	_ = c.SetDeadline(deadline)
}

// interrupt makes reads and writes of the current exchange fail.
func (c *timedConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	if n > 0 {
		c.extend(time.Now())
	}
	return n, err
}

// extend moves the deadline so that the next part of the response may arrive within stallTimeout.
func (c *timedConn) extend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := now.Add(stallTimeout)
	if next.After(c.limit) {
		next = c.limit
	}
	if c.interrupted || !next.After(c.deadline) {
		return
	}
	c.deadline = next
	_ = c.SetDeadline(next)
}
