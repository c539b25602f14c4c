package inner

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/redwingthread/redwingthread/errkind"
)

// defaultRequestTimeout bounds a request whose context has no deadline.
const defaultRequestTimeout = 5 * time.Second

// Client sends requests to peers over one connection per address. It is safe for concurrent use.
type Client struct {
	keys  *KeyStore
	meter *meter

	mu sync.Mutex
	// conns is guarded by mu.
	conns map[string]*peerConn
}

// peerConn is the connection to one address. Its lock is held during a dial, so that concurrent requests share it.
type peerConn struct {
	mu sync.Mutex
	// conn is guarded by mu; it is nil before the first dial, after a failure and after Close.
	conn *quic.Conn
}

// NewClient returns a client that authenticates with the keys of the store.
func NewClient(keys *KeyStore) *Client {
	return &Client{keys: keys, meter: newMeter("client"), conns: make(map[string]*peerConn)}
}

// Call sends req to the peer at address (host:port) and returns its response. An error that the peer's handler returned
// is returned as sent. Otherwise a kind of Unavailable means that the peer could not be reached and has not received
// the request; Unknown means that it may have received and handled it.
func (c *Client) Call(ctx context.Context, address string, req *Request) (*Response, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequestTimeout)
		defer cancel()
	}
	stream, conn, err := c.openStream(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check the peer's address and health", "reach peer %s", address)
	}
	// req may be sent to several peers at the same time, so the trace context is set in a copy.
	message := *req
	message.TraceContext = injectTrace(ctx)
	resp, err := c.exchange(ctx, stream, &message)
	if err != nil {
		c.peer(address).retire(conn)
		return nil, errkind.Wrap(err, errkind.Unknown, "read the state back before repeating the request",
			"exchange with peer %s", address)
	}
	if resp.Error != nil {
		return nil, resp.Error
	}
	return resp, nil
}

// Close closes all connections. A later Call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range c.conns {
		peer.mu.Lock()
		if peer.conn != nil {
			peer.conn.CloseWithError(0, "client closed")
			peer.conn = nil
		}
		peer.mu.Unlock()
	}
}

// peer returns the connection state of address and creates it if needed.
func (c *Client) peer(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer, ok := c.conns[address]
	if !ok {
		peer = &peerConn{}
		c.conns[address] = peer
	}
	return peer
}

// openStream opens a stream to address and dials if there is no open connection. A connection on which no stream can be
// opened is replaced once: no request has been sent on it, so none is repeated.
func (c *Client) openStream(ctx context.Context, address string) (*quic.Stream, *quic.Conn, error) {
	peer := c.peer(address)
	for attempt := 0; ; attempt++ {
		conn, err := peer.connect(ctx, address, c.keys)
		if err != nil {
			return nil, nil, err
		}
		stream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return stream, conn, nil
		}
		peer.discard(conn)
		if attempt > 0 || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// connect returns the open connection or dials a new one.
func (p *peerConn) connect(ctx context.Context, address string, keys *KeyStore) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, keys.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	connTraffic.add(conn)
	p.conn = conn
	return conn, nil
}

// discard closes conn and, unless it was replaced already, removes it, so that the next request dials.
func (p *peerConn) discard(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	conn.CloseWithError(0, "replaced")
}

// exchange writes the request and reads the response on a new stream, bounded by ctx.
func (c *Client) exchange(ctx context.Context, stream *quic.Stream, req *Request) (*Response, error) {
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	// A cancelled request must not wait for the deadline.
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	kind := req.kind()
	sent, err := writeFrame(stream, req)
	if err != nil {
		stream.CancelWrite(0)
		return nil, err
	}
	c.meter.sent(kind, sent)
	// The server takes the end of the stream as the acknowledgement of its response.
	defer stream.Close()
	var resp Response
	received, err := readFrame(stream, &resp)
	if err != nil {
		return nil, err
	}
	c.meter.received(kind, received)
	return &resp, nil
}

// retire makes the next request dial after a failed exchange: the connection may be permanently broken although new ones
// work.
// Other exchanges in progress on it have maxIdleTimeout to complete before it is closed.
func (p *peerConn) retire(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	time.AfterFunc(maxIdleTimeout, func() { conn.CloseWithError(0, "retired") })
}
