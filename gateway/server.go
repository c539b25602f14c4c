package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// ListenerLimits bounds what callers can occupy. Zero values stand for the defaults.
type ListenerLimits struct {
	// Connections bounds the open caller connections.
	Connections int
	HeaderBytes int
	// BodyBytes bounds the bodies of all requests that are being served together.
	BodyBytes  int64
	HeaderTime time.Duration
	// BodyTime bounds the time to receive a request body.
	BodyTime time.Duration
	// WriteTime bounds the time to send a response.
	WriteTime time.Duration
	IdleTime  time.Duration
}

// fill puts the defaults in place of zero values.
func (l *ListenerLimits) fill() {
	if l.Connections == 0 {
		l.Connections = 4096
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 32 << 10
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = 64 << 20
	}
	if l.HeaderTime == 0 {
		l.HeaderTime = 5 * time.Second
	}
	if l.BodyTime == 0 {
		l.BodyTime = 15 * time.Second
	}
	if l.WriteTime == 0 {
		l.WriteTime = 30 * time.Second
	}
	if l.IdleTime == 0 {
		l.IdleTime = 60 * time.Second
	}
}

// newServer returns the HTTP server of the caller API.
func (g *Gateway) newServer() http.Server {
	return http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.options.Listener.HeaderTime,
		IdleTimeout:       g.options.Listener.IdleTime,
		MaxHeaderBytes:    g.options.Listener.HeaderBytes,
	}
}

// Serve accepts callers on l until Shutdown. It returns nil after a shutdown.
func (g *Gateway) Serve(l net.Listener) error {
	err := g.server.Serve(newLimitedListener(l, g.options.Listener.Connections))
	if err == http.ErrServerClosed {
		return nil
	}
	return errkind.Wrap(err, errkind.Unavailable, "check the listen address", "caller listener failed")
}

// limitedListener accepts a bounded number of connections at a time; others wait in the accept queue.
type limitedListener struct {
	net.Listener
	seats  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// newLimitedListener bounds the open connections of l.
func newLimitedListener(l net.Listener, connections int) *limitedListener {
	return &limitedListener{Listener: l, seats: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept waits for a connection and for room to serve it.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.seats <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.seats
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.seats })}, nil
}

// Close closes the listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its room back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
