package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/callerconn"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/telemetry"
)

// Limits of the metrics listener.
const (
	metricsHeaderTimeout  = 2 * time.Second
	metricsRequestTimeout = 5 * time.Second
	metricsMaxHeaderBytes = 8 << 10
	// metricsMaxConnections is enough for a few collectors and an operator.
	metricsMaxConnections = 16
)

// HTTPServer is an HTTP server with its open listener.
type HTTPServer struct {
	server   *http.Server
	listener net.Listener
}

// ListenHTTP opens address (host:port, TCP) for server. At most maxConnections are open at once; for a further one, a connection
// is closed that waits for its caller, or it waits in the accept backlog. It returns an Unavailable error that names the setting
// if the address cannot be opened.
func ListenHTTP(address, setting string, server *http.Server, maxConnections int, logger zerolog.Logger) (*HTTPServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Unavailable, "check "+setting+" in the settings", "listen on %s", address)
	}
	request := callerconn.RequestLimits{HeaderBytes: server.MaxHeaderBytes, HeaderTimeout: server.ReadHeaderTimeout,
		IdleTimeout: server.IdleTimeout, BodyTimeout: server.ReadTimeout}
	limiter := callerconn.New(callerconn.Options{
		Limits:  callerconn.SmallLimits(maxConnections),
		Request: func() callerconn.RequestLimits { return request },
		Name:    strings.TrimPrefix(setting, "listen."),
		Logger:  logger,
	})
	limiter.Prepare(server)
	return &HTTPServer{server: server, listener: limiter.Listener(listener)}, nil
}

// Serve accepts connections until Shutdown. It logs an error if accepting fails before that.
func (s *HTTPServer) Serve(logger zerolog.Logger) {
	if err := s.server.Serve(s.listener); err != nil && err != http.ErrServerClosed {
		logger.Error().Err(err).Str("address", s.listener.Addr().String()).Msg("HTTP server stopped unexpectedly")
	}
}

// Shutdown stops accepting connections and waits for requests in progress until ctx ends.
func (s *HTTPServer) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// NewMetricsServer returns a server of /metrics, /healthz (the process runs) and /readyz (the daemon accepts work).
func NewMetricsServer(ready func() bool) *http.Server {
	routes := http.NewServeMux()
	routes.Handle("GET /metrics", telemetry.MetricsHandler())
	routes.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: metricsHeaderTimeout,
		ReadTimeout:       metricsRequestTimeout,
		WriteTimeout:      metricsRequestTimeout,
		MaxHeaderBytes:    metricsMaxHeaderBytes,
	}
}
