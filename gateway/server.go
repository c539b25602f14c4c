package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/redwingthread/redwingthread/callerconn"
	"github.com/redwingthread/redwingthread/errkind"
)

// ListenerLimits limits the resources that callers can occupy. Zero values select the defaults.
type ListenerLimits struct {
	// Connections is the maximum number of open caller connections.
	Connections int
	// HeaderBytes is the maximum size of a request header, in bytes.
	HeaderBytes int
	// BodyBytes is the maximum total size of the bodies of all requests being served, in bytes.
	BodyBytes int64
	// HeaderTimeout is the maximum time to receive a request header.
	HeaderTimeout time.Duration
	// BodyTimeout is the maximum time to receive a request body.
	BodyTimeout time.Duration
	// WriteTimeout is the maximum time to send a response.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle caller connection is closed.
	IdleTimeout time.Duration
}

// setDefaults replaces zero values by the defaults.
func (l *ListenerLimits) setDefaults() {
	if l.Connections == 0 {
		l.Connections = 4096
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 32 << 10
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = 64 << 20
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = 5 * time.Second
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = 15 * time.Second
	}
	if l.WriteTimeout == 0 {
		l.WriteTimeout = 30 * time.Second
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = 60 * time.Second
	}
}

// newLimiter returns the limiter of the caller API.
func (g *Gateway) newLimiter() *callerconn.Limiter {
	l := &g.options.Listener
	limits := callerconn.RequestLimits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		BodyTimeout: l.BodyTimeout}
	return callerconn.New(callerconn.Options{
		Limits:  callerconn.BodyLimits(l.Connections, l.BodyBytes),
		Request: func() callerconn.RequestLimits { return limits },
		// Not all responses are sent by writeResponse, which sets a deadline for the whole response.
		WriteTimeout: l.WriteTimeout,
		Name:         "callers",
		Logger:       g.options.Logger,
		Metrics:      g.options.Metrics,
	})
}

// Serve serves callers on l until Shutdown and then returns nil. It returns an Unavailable error if the listener fails.
func (g *Gateway) Serve(l net.Listener) error {
	err := g.server.Serve(g.limiter.Listener(l))
	if err == http.ErrServerClosed {
		return nil
	}
	return errkind.Wrap(err, errkind.Unavailable, "check the listen address", "caller listener failed")
}
