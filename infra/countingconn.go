package infra

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// countingDial returns a dial function with the given timeout. Its connections count their bytes in registry, nil for
// the default one, as PREFIX.bytes_sent and PREFIX.bytes_received.
func countingDial(prefix string, timeout time.Duration, registry metrics.Registry) func(context.Context, string, string) (net.Conn, error) {
	sent := metrics.GetOrRegisterCounter(prefix+".bytes_sent", registry)
	received := metrics.GetOrRegisterCounter(prefix+".bytes_received", registry)
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// countingConn counts the bytes that are sent and received on a connection.
type countingConn struct {
	net.Conn
	sent     metrics.Counter
	received metrics.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Inc(int64(n))
	return n, err
}
