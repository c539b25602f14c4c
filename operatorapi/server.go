package operatorapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Limits of the listener.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// shutdownTimeout is longer than any request may last by default, so that a planned stop cuts off none.
	shutdownTimeout = 15 * time.Second
	// defaultMaxConnections bounds open connections, idle ones included.
	defaultMaxConnections = 256
)

// Serve serves the API on listener until ctx ends, then finishes the requests under way. It closes listener. It returns
// nil after a planned stop.
func (a *API) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           a,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       a.settings.Timeout + readHeaderTimeout,
		WriteTimeout:      2 * a.settings.Timeout,
		IdleTimeout:       idleTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(newBoundedListener(listener, defaultMaxConnections)) }()
	select {
	case err := <-failed:
		return errkind.Wrap(err, errkind.Unavailable, "check the operator address in the settings", "operator API stopped serving")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(shutdownTimeout, a.settings.Timeout))
	defer cancel()
	err := server.Shutdown(stopCtx)
	return errkind.Wrap(err, errkind.DeadlineExceeded, "look for requests that hang in the log", "operator API did not finish its requests")
}

// boundedListener accepts a connection only while fewer than its limit are open.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newBoundedListener(l net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// boundedConn gives its slot back when it is closed the first time.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
