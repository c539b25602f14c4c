package gateway

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/redwingthread/redwingthread/errkind"
)

// ListenerLimits limits the resources that callers can occupy. Zero values select the defaults.
type ListenerLimits struct {
	// Connections is the maximum number of open caller connections.
	Connections int
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// BodyBytes is the maximum total size of the bodies of all requests being served.
	BodyBytes int64
	// HeaderTime is the maximum time to receive a request header.
	HeaderTime time.Duration
	// BodyTime is the maximum time to receive a request body.
	BodyTime time.Duration
	// WriteTime is the maximum time to send a response.
	WriteTime time.Duration
	// IdleTime is the time after which an idle caller connection is closed.
	IdleTime time.Duration
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

// Serve serves callers on l until Shutdown and then returns nil. It returns an Unavailable error if the listener fails.
func (g *Gateway) Serve(l net.Listener) error {
	err := g.server.Serve(netutil.LimitListener(l, g.options.Listener.Connections))
	if err == http.ErrServerClosed {
		return nil
	}
	return errkind.Wrap(err, errkind.Unavailable, "check the listen address", "caller listener failed")
}
