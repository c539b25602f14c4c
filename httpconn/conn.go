// Package httpconn carries HTTP/1.1 calls over connections whose reuse the caller can see.
//
// net/http's Transport repeats a request on a fresh connection by itself and hides which connection carried it. Orders
// to workers and appends to the store must be sent once per attempt, and the first call on a new connection has to be
// treated differently from a later one, so a Conn is one TCP connection with one call at a time.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/tcpopt"
)

const (
	// DialTimeout bounds the opening of a connection; an address behind a partition does not answer.
	DialTimeout = 700 * time.Millisecond
	// keepAlive is the interval of probes on idle connections.
	keepAlive = 2 * time.Second
	// unackedBound closes a connection whose sent bytes stay unacknowledged.
	unackedBound = 2500 * time.Millisecond
	// maxBody bounds a response body in bytes.
	maxBody = 8 << 20
	// readBuffer is the size in bytes of a connection's read buffer; most responses fit.
	readBuffer = 4 << 10
)

// ErrNotSent marks a call of which no byte can have reached the peer.
var ErrNotSent = errors.New("httpconn: call was not sent")

// Request is one call.
type Request struct {
	Method string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   []byte
	// ContentType of Body; empty for none.
	ContentType string
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dials counts the connections opened by this process.
var Dials atomic.Int64

// Conn is one connection to Address. It is not safe for concurrent use.
type Conn struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
	calls   int
}

// Open reports whether the connection has carried a complete call and can carry another one.
func (c *Conn) Open() bool { return c.conn != nil && c.calls > 0 }

// Close closes the connection; the next call opens a new one.
func (c *Conn) Close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close()
	c.conn = nil
	c.reader = nil
	c.calls = 0
}

// Do sends the request and reads the whole response within timeout. Any error closes the connection. An error that
// matches ErrNotSent means that the peer has not seen the request.
func (c *Conn) Do(ctx context.Context, r Request, timeout time.Duration) (*Response, error) {
	deadline := time.Now().Add(timeout)
	if err := c.connect(ctx, deadline); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, c.interrupt(c.conn))
	defer stop()
	_ = c.conn.SetDeadline(deadline)
	if _, err := c.conn.Write(c.encode(r)); err != nil {
		c.Close()
		return nil, err
	}
	response, err := c.read(r.Method)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.calls++
	return response, nil
}

// interrupt ends a pending read or write when the context of the call ends.
func (c *Conn) interrupt(conn net.Conn) func() {
	return func() { _ = conn.SetDeadline(time.Unix(1, 0)) }
}

func (c *Conn) connect(ctx context.Context, deadline time.Time) error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{
		Timeout:   min(DialTimeout, time.Until(deadline)),
		Control:   tcpopt.UserTimeout(unackedBound),
		KeepAlive: keepAlive,
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return err
	}
	Dials.Add(1)
	c.conn = conn
	c.reader = bufio.NewReaderSize(conn, readBuffer)
	c.calls = 0
	return nil
}

func (c *Conn) encode(r Request) []byte {
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

func (c *Conn) read(method string) (*Response, error) {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return nil, err
	}
	if answer.Close {
		defer c.Close()
	}
	return &Response{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

// maxIdle is how many idle connections a Pool keeps.
const maxIdle = 4

// Pool lends connections to one address. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	address string
	idle    []*Conn
}

// NewPool returns a pool of connections to address.
func NewPool(address string) *Pool { return &Pool{address: address} }

// SetAddress sends later calls to address.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.closeIdleLocked()
}

// Do carries one call on an idle or new connection. A call that fails, other than with its context, says that the other
// connections may be silent as well.
func (p *Pool) Do(ctx context.Context, r Request, timeout time.Duration) (*Response, error) {
	conn := p.take()
	response, err := conn.Do(ctx, r, timeout)
	p.give(conn)
	if err != nil && ctx.Err() == nil {
		p.closeIdle()
	}
	return response, err
}

func (p *Pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return conn
	}
	return &Conn{Address: p.address}
}

func (p *Pool) give(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.Open() || conn.Address != p.address || len(p.idle) >= maxIdle {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// closeIdle drops the idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *Pool) closeIdleLocked() {
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}
