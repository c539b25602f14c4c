package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// memNet is an in-memory network with delay, partitions, frozen hosts, killed hosts and silent connections. It uses
// only timers and channels, so it works in virtual time.
type memNet struct {
	mu        sync.Mutex
	delay     time.Duration
	listeners map[string]*memListener
	// cut holds the host pairs that cannot reach each other, frozen the hosts whose traffic is delayed until they are
	// unfrozen, dead the killed hosts, conns the open connections; all are guarded by mu.
	cut    map[[2]string]bool
	frozen map[string]bool
	dead   map[string]bool
	conns  map[*memConn]bool
	// changed is closed and replaced whenever the faults change; guarded by mu.
	changed chan struct{}
}

func newMemNet(delay time.Duration) *memNet {
	return &memNet{
		delay: delay, listeners: map[string]*memListener{}, cut: map[[2]string]bool{}, frozen: map[string]bool{},
		dead: map[string]bool{}, conns: map[*memConn]bool{}, changed: make(chan struct{}),
	}
}

// change applies a change of the faults and wakes all waiting connections.
func (n *memNet) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *memNet) setCut(a, b string, cut bool) {
	n.change(func() { n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut })
}

func (n *memNet) setFrozen(host string, frozen bool) { n.change(func() { n.frozen[host] = frozen }) }

// kill closes all connections of the host and refuses new ones.
func (n *memNet) kill(host string) {
	var closing []*memConn
	n.change(func() {
		n.dead[host] = true
		for c := range n.conns {
			if c.local == host || c.remote == host {
				closing = append(closing, c)
			}
		}
	})
	for _, c := range closing {
		c.Close()
	}
}

// revive makes a killed host reachable again.
func (n *memNet) revive(host string) { n.change(func() { n.dead[host] = false }) }

// silence makes existing connections to a host stop delivering data without closing them. It calls selected once for
// each connection, which returns whether the connection is silenced.
func (n *memNet) silence(host string, selected func() bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.remote == host && selected() {
			c.in.setSilent()
			c.out.setSilent()
		}
	}
}

// blocked reports whether traffic from a to b is held back now. The returned channel is closed when a fault is injected
// or removed.
func (n *memNet) blocked(a, b string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}] || n.frozen[a] || n.frozen[b], n.changed
}

// deliver waits until a message from one host has reached another.
func (n *memNet) deliver(ctx context.Context, from, to string) error {
	for {
		held, changed := n.blocked(from, to)
		if !held {
			time.Sleep(n.delay)
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errRefused = errors.New("connection refused")

// dial opens a connection from a host to an address. An address is the name of the host.
func (n *memNet) dial(ctx context.Context, from, address string) (net.Conn, error) {
	if err := n.deliver(ctx, from, address); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	refused := l == nil || n.dead[address] || n.dead[from]
	n.mu.Unlock()
	if refused {
		return nil, errRefused
	}
	there, back := newMemPipe(), newMemPipe()
	client := &memConn{net: n, local: from, remote: address, in: back, out: there}
	server := &memConn{net: n, local: address, remote: from, in: there, out: back}
	select {
	case l.accept <- server:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[client], n.conns[server] = true, true
	n.mu.Unlock()
	return client, nil
}

// memListener accepts connections at one address.
type memListener struct {
	net     *memNet
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *memNet) listen(address string) *memListener {
	l := &memListener{net: n, address: address, accept: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

// memChunk is data in transit that arrives at the time at.
type memChunk struct {
	at   time.Time
	data []byte
}

// memPipe is one direction of a connection.
type memPipe struct {
	mu     sync.Mutex
	chunks []memChunk
	closed bool
	silent bool
	wake   chan struct{}
}

func newMemPipe() *memPipe { return &memPipe{wake: make(chan struct{})} }

func (p *memPipe) signalLocked() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *memPipe) setSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *memPipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		p.signalLocked()
	}
}

// memConn is one end of a connection.
type memConn struct {
	net           *memNet
	local, remote string
	in, out       *memPipe
	mu            sync.Mutex
	deadline      time.Time
	closed        bool
}

// readArrived copies data that has arrived to b. If there is none, it returns how long to wait for more, and a channel
// that is closed when the pipe changes.
func (p *memPipe) readArrived(b []byte) (n int, wait time.Duration, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return 0, time.Hour, p.wake, nil
	}
	if len(p.chunks) == 0 {
		if p.closed {
			return 0, 0, nil, io.EOF
		}
		return 0, time.Hour, p.wake, nil
	}
	head := &p.chunks[0]
	if left := time.Until(head.at); left > 0 {
		return 0, left, p.wake, nil
	}
	n = copy(b, head.data)
	head.data = head.data[n:]
	if len(head.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, 0, nil, nil
}

func (c *memConn) state() (deadline time.Time, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.closed
}

func (c *memConn) Read(b []byte) (int, error) {
	for {
		deadline, closed := c.state()
		if closed {
			return 0, net.ErrClosed
		}
		left := time.Hour
		if !deadline.IsZero() {
			if left = time.Until(deadline); left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
		}
		held, changed := c.net.blocked(c.remote, c.local)
		wait, wake := time.Hour, make(chan struct{})
		if !held {
			var n int
			var err error
			n, wait, wake, err = c.in.readArrived(b)
			if n > 0 || err != nil {
				return n, err
			}
		}
		timer := time.NewTimer(min(wait, left))
		select {
		case <-timer.C:
		case <-wake:
		case <-changed:
		}
		timer.Stop()
	}
}

func (c *memConn) Write(b []byte) (int, error) {
	if _, closed := c.state(); closed {
		return 0, net.ErrClosed
	}
	p := c.out
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, io.ErrClosedPipe
	}
	if !p.silent {
		p.chunks = append(p.chunks, memChunk{at: time.Now().Add(c.net.delay), data: append([]byte(nil), b...)})
		p.signalLocked()
	}
	return len(b), nil
}

func (c *memConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.in.close()
	c.out.close()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return nil
}

func (c *memConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *memConn) LocalAddr() net.Addr                { return &net.TCPAddr{} }
func (c *memConn) RemoteAddr() net.Addr               { return &net.TCPAddr{} }
func (c *memConn) SetReadDeadline(t time.Time) error  { return c.SetDeadline(t) }
func (c *memConn) SetWriteDeadline(t time.Time) error { return c.SetDeadline(t) }
