package inner

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/redwingthread/redwingthread/errkind"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Client sends requests to peers. It keeps one connection for each address. It is safe for concurrent use.
type Client struct {
	keys  *KeyStore
	meter *meter

	mu sync.Mutex
	// conns is guarded by mu.
	conns map[string]*clientConn
}

// clientConn is the connection to one address. Its lock is held while dialling, so that concurrent calls share one dial.
type clientConn struct {
	mu sync.Mutex
	// conn is guarded by mu; nil before the first dial and after a failure.
	conn *quic.Conn
}

// NewClient returns a client that uses the keys of the store.
func NewClient(keys *KeyStore) *Client {
	return &Client{keys: keys, meter: newMeter("client"), conns: make(map[string]*clientConn)}
}

// Call sends req to address and returns the peer's response. A typed error of the peer is returned as it was sent.
// Unavailable means that the peer could not be reached and has not seen the request; Unknown means that it may have.
func (c *Client) Call(ctx context.Context, address string, req *Request) (*Response, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	stream, conn, err := c.openStream(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check the peer's address and health", "reach peer %s", address)
	}
	// The message is a copy, since a caller may send one request to several peers at once.
	message := *req
	message.TraceContext = injectTrace(ctx)
	resp, err := c.exchange(ctx, stream, &message)
	if err != nil {
		c.entry(address).retire(conn)
		return nil, errkind.Wrap(err, errkind.Unknown, "read the state back before repeating the request",
			"exchange with peer %s", address)
	}
	if resp.Error != nil {
		return nil, resp.Error
	}
	return resp, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range c.conns {
		entry.mu.Lock()
		if entry.conn != nil {
			entry.conn.CloseWithError(0, "client closed")
			entry.conn = nil
		}
		entry.mu.Unlock()
	}
}

func (c *Client) entry(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.conns[address]
	if !ok {
		entry = &clientConn{}
		c.conns[address] = entry
	}
	return entry
}

// openStream opens a stream to address on a live connection, dialling if there is none. A connection that cannot open a
// stream is replaced once: nothing was sent on it, so this repeats no request.
func (c *Client) openStream(ctx context.Context, address string) (*quic.Stream, *quic.Conn, error) {
	entry := c.entry(address)
	for attempt := 0; ; attempt++ {
		conn, err := entry.get(ctx, address, c.keys)
		if err != nil {
			return nil, nil, err
		}
		stream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return stream, conn, nil
		}
		entry.discard(conn)
		if attempt > 0 || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

func (e *clientConn) get(ctx context.Context, address string, keys *KeyStore) (*quic.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && e.conn.Context().Err() == nil {
		return e.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, keys.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	wire.add(conn)
	e.conn = conn
	return conn, nil
}

// discard closes conn and forgets it, unless it was replaced already.
func (e *clientConn) discard(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
	}
	conn.CloseWithError(0, "replaced")
}

func (c *Client) exchange(ctx context.Context, stream *quic.Stream, req *Request) (*Response, error) {
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	// A cancelled call must not wait for the deadline.
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	kind := req.kind()
	sent, err := writeFrame(stream, req)
	if err != nil {
		stream.CancelWrite(0)
		return nil, err
	}
	c.meter.sent(kind, sent)
	if err := stream.Close(); err != nil {
		return nil, err
	}
	var resp Response
	received, err := readFrame(stream, &resp)
	if err != nil {
		return nil, err
	}
	c.meter.received(kind, received)
	return &resp, nil
}

// retire makes the next call dial anew after a failed exchange: the connection may have gone silent for good while new
// ones work. Exchanges under way on it may still finish before it is closed.
func (e *clientConn) retire(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != conn {
		return
	}
	e.conn = nil
	time.AfterFunc(maxIdle, func() { conn.CloseWithError(0, "retired") })
}
