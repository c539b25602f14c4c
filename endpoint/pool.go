// Package endpoint manages the connections to endpoints and makes single attempts to send requests to them.
//
// It does not use http.Transport, which can replay a request on a new connection without being asked to, and can read a
// response that belongs to the previous exchange on a reused connection. Here, an attempt writes a request once, on one
// connection. Any doubt about the response closes the connection, and the result says whether any byte was written.
package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/tcpopt"
)

// Limits of connections.
const (
	// dialTimeout is the maximum time to open a connection; endpoints are a few milliseconds away.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// unackedTimeout is the time after which the kernel closes a connection whose sent data is not acknowledged.
	unackedTimeout = 4 * time.Second
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
	// closeIdleAfterTimeouts is the number of consecutive timeouts after which all idle connections to an address are
	// closed.
	closeIdleAfterTimeouts = 2
)

// Dial opens a connection to an address of the form host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NetDial opens a TCP connection with keepalives and a user timeout, so that the kernel detects a dead peer within
// seconds.
func NetDial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         tcpopt.UserTimeout(unackedTimeout),
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Pools holds the connections of one gateway to all endpoints. It is safe for concurrent use.
type Pools struct {
	dial Dial
	mu   sync.Mutex
	// pools holds the pool of each address; guarded by mu.
	pools map[string]*pool
	// closed is set by Close; guarded by mu.
	closed bool
	// skipChecks and reuseDoubtful are set by UnsafeSkipChecks.
	skipChecks    bool
	reuseDoubtful bool
}

// NewPools returns an empty set of pools that opens connections with dial.
func NewPools(dial Dial) *Pools {
	return &Pools{dial: dial, pools: map[string]*pool{}}
}

// UnsafeSkipChecks disables the checks of id, length and digest of responses, and reuses connections after failed
// exchanges. It must be called before the first attempt. Only tests call it, to show that their checks detect the
// missing rules.
func (p *Pools) UnsafeSkipChecks() { p.skipChecks, p.reuseDoubtful = true, true }

// pool holds the connections to one address.
type pool struct {
	owner   *Pools
	address string
	mu      sync.Mutex
	// idle lists unused connections, the most recently used last; guarded by mu.
	idle []*conn
	// open is the number of connections that are idle, in use or being opened; guarded by mu.
	open int
	// timeouts is the number of timeouts since the last complete response; guarded by mu.
	timeouts int
	// closed is set by Pools.Close; guarded by mu.
	closed bool
	// users is the number of attempts and probes that hold this pool; guarded by Pools.mu. A pool with users stays in
	// Pools.pools, so that all connections to an address count against one limit.
	users int
}

// conn is one connection with its buffers. It is used by one goroutine at a time.
type conn struct {
	net.Conn
	limit  io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// written is the number of bytes written to the connection in the current exchange.
	written int64
	// used is true once the connection has completed an exchange.
	used bool
	// lastActive is the time of the last complete response, or of the opening of the connection.
	lastActive time.Time
}

// newConn wraps an open connection.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, lastActive: time.Now()}
	c.limit.R = raw
	c.reader = bufio.NewReaderSize(&c.limit, 4096)
	c.writer = bufio.NewWriterSize(countingWriter{c}, 4096)
	return c
}

// countingWriter counts the bytes written to a connection in conn.written.
type countingWriter struct{ c *conn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	return n, err
}

// acquire returns the pool of an address, nil after Close. The caller must release it.
func (p *Pools) acquire(address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	entry, ok := p.pools[address]
	if !ok {
		entry = &pool{owner: p, address: address}
		p.pools[address] = entry
	}
	entry.users++
	return entry
}

// release ends the use of a pool that acquire returned.
func (p *Pools) release(entry *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.users--
}

// errBusy is the error if all connections allowed to an address are in use or the pool is closed.
var errBusy = errkind.New(errkind.Overloaded, "retry later with backoff", "all connections to the endpoint are in use")

// get returns an idle connection, or opens one if fewer than maxOpen are open. With forceNew it always opens one.
func (p *pool) get(ctx context.Context, maxOpen int, forceNew bool) (*conn, error) {
	c, reserved := p.reserve(maxOpen, forceNew)
	if c != nil {
		return c, nil
	}
	if !reserved {
		return nil, errBusy
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.owner.dial(ctx, p.address)
	if err != nil {
		p.cancelReservation()
		return nil, err
	}
	return newConn(raw), nil
}

// reserve returns an idle connection, nil if there is none or forceNew is set. It then returns true for reserved if one
// more connection may be opened. That connection is counted as open already: get must open it or call cancelReservation.
func (p *pool) reserve(maxOpen int, forceNew bool) (c *conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	for !forceNew && len(p.idle) > 0 {
		c := p.takeIdleLocked(len(p.idle) - 1)
		if time.Since(c.lastActive) < idleTimeout && isIntact(c.Conn) {
			return c, false
		}
		p.closeConnLocked(c)
	}
	// maxOpen may have decreased since the connections were opened.
	for p.open >= maxOpen && len(p.idle) > 0 {
		p.closeConnLocked(p.takeIdleLocked(0))
	}
	if p.open >= maxOpen {
		return nil, false
	}
	p.open++
	return nil, true
}

// takeIdleLocked removes and returns the idle connection at index i. mu must be held.
func (p *pool) takeIdleLocked(i int) *conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

// closeConnLocked closes a connection and decrements the number of open ones. mu must be held.
func (p *pool) closeConnLocked(c *conn) {
	c.Conn.Close()
	p.open--
}

// cancelReservation undoes reserve for a connection that could not be opened.
func (p *pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put returns a connection to the pool after a successful exchange.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
	c.used = true
	c.lastActive = time.Now()
	p.putLocked(c)
}

// putUnused returns a connection on which nothing was written to the pool.
func (p *pool) putUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

// putLocked adds a connection to the idle ones, or closes it if the pool is closed. mu must be held.
func (p *pool) putLocked(c *conn) {
	if p.closed {
		p.closeConnLocked(c)
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection whose state is in doubt.
func (p *pool) discard(c *conn) {
	if p.owner.reuseDoubtful {
		p.put(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnLocked(c)
}

// recordTimeout records the timeout of an exchange that began at start. It closes the idle connections without a
// response since then, since they may be dead for the same reason. After closeIdleAfterTimeouts timeouts it closes all
// of them.
func (p *pool) recordTimeout(start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner.reuseDoubtful {
		return
	}
	p.timeouts++
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.timeouts < closeIdleAfterTimeouts && c.lastActive.After(start) {
			kept = append(kept, c)
			continue
		}
		p.closeConnLocked(c)
	}
	p.idle = kept
}

// Open returns the number of connections to address that are open or being opened.
func (p *Pools) Open(address string) int {
	p.mu.Lock()
	entry := p.pools[address]
	p.mu.Unlock()
	if entry == nil {
		return 0
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	return entry.open
}

// OpenTotal returns the number of connections that are open or being opened.
func (p *Pools) OpenTotal() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, entry := range p.pools {
		entry.mu.Lock()
		total += entry.open
		entry.mu.Unlock()
	}
	return total
}

// CloseIdle closes connections that were not used for idleTimeout, and forgets addresses without connections.
func (p *Pools) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, entry := range p.pools {
		open := entry.closeIdle(idleTimeout)
		if open == 0 && entry.users == 0 {
			delete(p.pools, address)
		}
	}
}

// closeIdle closes idle connections that were not used for at least age. It returns the number of connections that
// remain open.
func (p *pool) closeIdle(age time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastActive) < age {
			kept = append(kept, c)
			continue
		}
		p.closeConnLocked(c)
	}
	p.idle = kept
	return p.open
}

// Close closes all idle connections. Connections in use are closed at the end of their exchange. Further attempts fail
// with Busy.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, entry := range p.pools {
		entry.mu.Lock()
		entry.closed = true
		entry.mu.Unlock()
		entry.closeIdle(0)
	}
}
