package infra

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// countedDial returns a dial function whose connections count their bytes in registry as PREFIX.bytes_sent and
// PREFIX.bytes_received.
func countedDial(prefix string, timeout time.Duration, registry metrics.Registry) func(context.Context, string, string) (net.Conn, error) {
	sent := metrics.GetOrRegisterCounter(prefix+".bytes_sent", registry)
	received := metrics.GetOrRegisterCounter(prefix+".bytes_received", registry)
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent     metrics.Counter
	received metrics.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}
