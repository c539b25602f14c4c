// Package endpoint owns the connections to endpoints and carries out single attempts of requests.
//
// It does not use http.Transport, which replays requests on a new connection by itself and may read the previous
// exchange's response from a reused connection. Here one attempt is one write on one connection; any doubt about the
// response closes the connection, and the caller learns whether any byte was written.
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

// Bounds of connections.
const (
	// dialTimeout bounds the opening of a connection; endpoints are a few milliseconds away.
	dialTimeout = time.Second
	// idleTimeout is the age at which an unused connection is closed.
	idleTimeout = 30 * time.Second
	// unackedBound is the time after which sent but unacknowledged data closes a connection.
	unackedBound = 4 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// suspectTimeouts is the number of timeouts in a row after which all idle connections to an address are closed.
	suspectTimeouts = 2
)

// Dial opens a connection to address, a host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NetDial opens TCP connections whose silent death the kernel notices within seconds.
func NetDial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control:         tcpopt.UserTimeout(unackedBound),
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
	// trust and keepDoubtful are set by UnsafeTrust.
	trust        bool
	keepDoubtful bool
}

// NewPools returns an empty set of pools that opens connections with dial.
func NewPools(dial Dial) *Pools {
	return &Pools{dial: dial, pools: map[string]*pool{}}
}

// UnsafeTrust passes responses on without the checks of id, length and digest, and keeps connections after doubts. Only
// tests call it, before the first attempt, to show that their checks need both.
func (p *Pools) UnsafeTrust() { p.trust, p.keepDoubtful = true, true }

// pool holds the connections to one address.
type pool struct {
	owner   *Pools
	address string
	mu      sync.Mutex
	// idle lists unused connections, the most recently used last; guarded by mu.
	idle []*conn
	// open counts connections that are idle, in use or being opened; guarded by mu.
	open int
	// timeouts counts timeouts since the last whole response; guarded by mu.
	timeouts int
	// closed is set when the gateway stops; guarded by mu.
	closed bool
}

// conn is one connection with its buffers. It is used by one goroutine at a time.
type conn struct {
	net.Conn
	limit  io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// written counts the bytes given to the connection in the present exchange.
	written int64
	// used is true once an exchange was completed on the connection.
	used bool
	// lastGood is the time of the last whole response, or of the opening.
	lastGood time.Time
}

// newConn wraps an open connection.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, lastGood: time.Now()}
	c.limit.R = raw
	c.reader = bufio.NewReaderSize(&c.limit, 4096)
	c.writer = bufio.NewWriterSize(countingWriter{c}, 4096)
	return c
}

// countingWriter counts the bytes that a connection took.
type countingWriter struct{ c *conn }

// Write writes p to the connection.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.written += int64(n)
	return n, err
}

// pool returns the pool of an address, nil after Close.
func (p *Pools) pool(address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	one, ok := p.pools[address]
	if !ok {
		one = &pool{owner: p, address: address}
		p.pools[address] = one
	}
	return one
}

// errBusy says that all connections allowed to an address are in use.
var errBusy = errkind.New(errkind.Overloaded, "retry later with backoff", "all connections to the endpoint are in use")

// get returns an idle connection or opens one within the bound of maxOpen. With fresh it always opens one.
func (p *pool) get(ctx context.Context, maxOpen int, fresh bool) (*conn, error) {
	c, reserved := p.reserve(maxOpen, fresh)
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
		p.release()
		return nil, err
	}
	return newConn(raw), nil
}

// reserve returns an idle connection, or counts one that the caller is to open.
func (p *pool) reserve(maxOpen int, fresh bool) (c *conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	for !fresh && len(p.idle) > 0 {
		c := p.popLocked(len(p.idle) - 1)
		if time.Since(c.lastGood) < idleTimeout && quiet(c.Conn) {
			return c, false
		}
		p.dropLocked(c)
	}
	// The bound may have become lower since the connections were opened.
	for p.open >= maxOpen && len(p.idle) > 0 {
		p.dropLocked(p.popLocked(0))
	}
	if p.open >= maxOpen {
		return nil, false
	}
	p.open++
	return nil, true
}

// popLocked takes an idle connection out of the list. The caller holds mu.
func (p *pool) popLocked(i int) *conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

// dropLocked closes a connection and counts it out. The caller holds mu.
func (p *pool) dropLocked(c *conn) {
	c.Conn.Close()
	p.open--
}

// release counts out a connection that was not opened.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put gives a connection back after an exchange without doubt.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
	c.used = true
	c.lastGood = time.Now()
	p.putLocked(c)
}

// putUnused gives a connection back on which nothing was written.
func (p *pool) putUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

// putLocked lists a connection as idle, or closes it when the gateway stops. The caller holds mu.
func (p *pool) putLocked(c *conn) {
	if p.closed {
		p.dropLocked(c)
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection after any doubt.
func (p *pool) discard(c *conn) {
	if p.owner.keepDoubtful {
		p.put(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(c)
}

// timedOut takes in a timeout of an exchange that began at start. Connections that showed no life since then may have
// gone silent by the same cause; after repeated timeouts none of the old ones is trusted.
func (p *pool) timedOut(start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner.keepDoubtful {
		return
	}
	p.timeouts++
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.timeouts < suspectTimeouts && c.lastGood.After(start) {
			kept = append(kept, c)
			continue
		}
		p.dropLocked(c)
	}
	p.idle = kept
}

// Open returns the number of connections to address that are open or being opened.
func (p *Pools) Open(address string) int {
	p.mu.Lock()
	one := p.pools[address]
	p.mu.Unlock()
	if one == nil {
		return 0
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.open
}

// OpenTotal returns the number of connections that are open or being opened.
func (p *Pools) OpenTotal() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, one := range p.pools {
		one.mu.Lock()
		total += one.open
		one.mu.Unlock()
	}
	return total
}

// CloseIdle closes connections that were not used for a while, and forgets addresses without any.
func (p *Pools) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.pools {
		one.closeIdle(idleTimeout)
	}
}

// closeIdle closes connections that were not used for at least age.
func (p *pool) closeIdle(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastGood) < age {
			kept = append(kept, c)
			continue
		}
		p.dropLocked(c)
	}
	p.idle = kept
}

// Close closes all idle connections; those in use are closed at the end of their exchange. No further attempt is made.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, one := range p.pools {
		one.mu.Lock()
		one.closed = true
		one.mu.Unlock()
		one.closeIdle(0)
	}
}
