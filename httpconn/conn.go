// Package httpconn sends HTTP/1.1 requests over connections whose reuse is visible to the code that sends them.
//
// The Transport of net/http may resend a request on a new connection and does not show which connection was used.
// Commands to workers and appends to the store must be sent once per attempt, and the first request on a new connection
// is treated differently from later ones. A Conn is therefore one TCP connection that carries one request at a time.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/tcpopt"
)

const (
	// DialTimeout bounds the TCP connect: an address behind a network partition does not respond.
	DialTimeout = 700 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes on an idle connection.
	keepAliveInterval = 2 * time.Second
	// unackedTimeout is the time after which a connection with unacknowledged sent data is closed.
	unackedTimeout = 2500 * time.Millisecond
	// stallTimeout is the longest pause between two parts of a response. A response that keeps arriving over a slow link may
	// take longer than the timeout of its request, up to maxTransferTime in total.
	stallTimeout    = 800 * time.Millisecond
	maxTransferTime = 30 * time.Second
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 8 << 20
	// readBufferBytes is the size of a connection's read buffer; most responses fit in it.
	readBufferBytes = 4 << 10
)

// ErrNotSent marks a request of which no byte can have reached the peer.
var ErrNotSent = errors.New("httpconn: request was not sent")

// errLate means that the timeout of a request had passed on the boot clock before it could be sent.
var errLate = errors.New("httpconn: the VM was frozen, or busy, until the timeout had passed")

// bootNow is the boot clock; tests replace it.
var bootNow = boottime.Now

// ErrResponseTooLarge marks a response whose body exceeds maxResponseBytes.
var ErrResponseTooLarge = errors.New("httpconn: response body is too large")

// Request is an HTTP request.
type Request struct {
	Method string
	// Target is the path with the query.
	Target string
	Header http.Header
	Body   []byte
	// ContentType is the Content-Type of Body; if empty, the header is not sent.
	ContentType string
	// Withdraw makes a failed request reset the connection, so that the kernel does not send the rest, or again what is not
	// acknowledged, for up to unackedTimeout after the request has timed out.
	Withdraw bool
}

// Response is an HTTP response with its body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DialCount counts the connections that this process has opened.
var DialCount atomic.Int64

// Conn is a connection to Address, which Do opens as needed. It is not safe for concurrent use.
type Conn struct {
	// Address is the host:port of the peer.
	Address string
	// conn is nil while the connection is closed.
	conn   *timedConn
	reader *bufio.Reader
	// responses counts the complete responses on conn.
	responses int
	// Peer names the process at the other end of the open connection, if the owner has found out; 0 if not. A connection ends with the
	// process that has accepted it, so that no other process can receive what is sent on it.
	Peer int64
}

// Reusable reports whether the connection is open and has delivered at least one complete response, so that another
// request can reuse it.
func (c *Conn) Reusable() bool { return c.conn != nil && c.responses > 0 }

// Close closes the connection; the next Do opens a new one.
func (c *Conn) Close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close()
	c.conn = nil
	c.reader = nil
	c.responses = 0
	c.Peer = 0
}

// Do sends the request and reads the complete response. The response must begin within timeout; after that, it may take
// longer as long as parts of it keep arriving. Do returns early when ctx ends. Any error closes the connection. An error that
// matches ErrNotSent means that the peer has received no part of the request.
func (c *Conn) Do(ctx context.Context, r Request, timeout time.Duration) (*Response, error) {
	deadline, startedAt := time.Now().Add(timeout), bootNow()
	if err := c.connect(ctx, deadline); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	if bootNow()-startedAt >= timeout {
		// Deadlines are on the monotonic clock, which stands still while the VM is frozen.
		c.Close()
		return nil, errors.Join(ErrNotSent, errLate)
	}
	c.conn.begin(deadline)
	stop := context.AfterFunc(ctx, c.conn.interrupt)
	defer stop()
	if _, err := c.conn.Write(c.encodeRequest(r)); err != nil {
		c.closeFailed(r)
		return nil, err
	}
	response, err := c.readResponse(r.Method)
	if err != nil {
		err = fmt.Errorf("httpconn: %d bytes of the response were read: %w", c.conn.received, err)
		c.closeFailed(r)
		return nil, err
	}
	c.responses++
	return response, nil
}

// closeFailed closes the connection after a failed request.
func (c *Conn) closeFailed(r Request) {
	if c.conn == nil {
		return
	}
	if conn, ok := c.conn.Conn.(*net.TCPConn); ok && r.Withdraw {
		_ = conn.SetLinger(0)
	}
	c.Close()
}

// connect dials Address unless the connection is open.
func (c *Conn) connect(ctx context.Context, deadline time.Time) error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{
		Timeout:   min(DialTimeout, time.Until(deadline)),
		Control:   tcpopt.UserTimeout(unackedTimeout),
		KeepAlive: keepAliveInterval,
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return err
	}
	DialCount.Add(1)
	c.conn = &timedConn{Conn: conn}
	c.reader = bufio.NewReaderSize(c.conn, readBufferBytes)
	c.responses = 0
	return nil
}

// encodeRequest returns the bytes of the request on the wire.
func (c *Conn) encodeRequest(r Request) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + c.Address + "\r\n")
	if r.ContentType != "" {
		b.WriteString("Content-Type: " + r.ContentType + "\r\n")
	}
	if r.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readResponse reads one response. If the peer asks for it, the connection is closed afterwards.
func (c *Conn) readResponse(method string) (*Response, error) {
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	if httpResponse.Close {
		defer c.Close()
	}
	return &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}, nil
}

// maxIdleConns bounds the idle connections of a Pool.
const maxIdleConns = 4

// Pool reuses connections to one address. It is safe for concurrent use.
type Pool struct {
	mu sync.Mutex
	// address and idleConns are guarded by mu.
	address   string
	idleConns []*Conn
}

// NewPool returns a pool of connections to address.
func NewPool(address string) *Pool { return &Pool{address: address} }

// SetAddress makes later requests go to address. If it is a new one, the idle connections are closed.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.closeIdleConnsLocked()
}

// Do sends one request on a connection of With. Its errors are those of Conn.Do.
func (p *Pool) Do(ctx context.Context, r Request, timeout time.Duration) (*Response, error) {
	var response *Response
	err := p.With(ctx, func(conn *Conn) (err error) {
		response, err = conn.Do(ctx, r, timeout)
		return err
	})
	return response, err
}

// With calls use with an idle or a new connection, which use must not keep. If use fails before ctx ends, the idle connections are
// closed: they may no longer reach the peer either.
func (p *Pool) With(ctx context.Context, use func(*Conn) error) error {
	conn := p.acquire()
	err := use(conn)
	p.release(conn)
	if err != nil && ctx.Err() == nil {
		p.closeIdleConns()
	}
	return err
}

// acquire removes an idle connection from the pool or returns a new one.
func (p *Pool) acquire() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idleConns); n > 0 {
		conn := p.idleConns[n-1]
		p.idleConns = p.idleConns[:n-1]
		return conn
	}
	return &Conn{Address: p.address}
}

// release returns conn to the pool, or closes it if it cannot be reused or the pool is full.
func (p *Pool) release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.Reusable() || conn.Address != p.address || len(p.idleConns) >= maxIdleConns {
		conn.Close()
		return
	}
	p.idleConns = append(p.idleConns, conn)
}

// closeIdleConns closes the idle connections.
func (p *Pool) closeIdleConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleConnsLocked()
}

// closeIdleConnsLocked closes the idle connections. mu must be held.
func (p *Pool) closeIdleConnsLocked() {
	for _, conn := range p.idleConns {
		conn.Close()
	}
	p.idleConns = nil
}
