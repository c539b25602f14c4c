// Package gateway serves the caller API: it receives requests over HTTP, queues them, dispatches them to endpoints, and
// forwards those whose key another gateway issued.
package gateway

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/admission"
	"github.com/redwingthread/redwingthread/callerconn"
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/endpoint"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/request"
	"github.com/redwingthread/redwingthread/routing"
)

// Options configures a Gateway. Self, Config and PeerRequester are required; other zero values select the defaults.
type Options struct {
	// Self names this gateway incarnation. Each restart must use a new incarnation.
	Self inner.Member
	// Config returns the configuration in force, nil while there is none. A returned document must not be modified.
	Config func() *config.Document
	// Gateways returns the live gateways of the deployment, with or without this one; nil means that there are no others.
	Gateways func() []inner.Member
	// PeerRequester sends requests to the gateways that issued keys.
	PeerRequester inner.Requester
	// Dial opens connections to endpoints.
	Dial endpoint.Dial
	// Seed makes the choice of endpoints reproducible; 0 selects a random seed.
	Seed    uint64
	Logger  zerolog.Logger
	Metrics metrics.Registry
	Keys    request.Limits
	Queue   admission.Limits
	// DrainRequested reports whether the configuration drains the gateway's VM; nil means never. The gateway then reports
	// not ready, but serves the requests that still arrive.
	DrainRequested func() bool
	// ReactionTime is how long the load balancer may go on sending requests to a gateway that reports not ready.
	ReactionTime time.Duration
	// Timeout is the timeout of requests without Request-Timeout-Ms; MaxTimeout is the maximum value of that header.
	Timeout    time.Duration
	MaxTimeout time.Duration
	Listener   ListenerLimits
}

// Defaults of Options.
const (
	defaultReactionTime = 3 * time.Second
	defaultTimeout      = 30 * time.Second
	defaultMaxTimeout   = 5 * time.Minute
)

// setDefaults replaces zero values by the defaults.
func (o *Options) setDefaults() {
	if o.Gateways == nil {
		o.Gateways = func() []inner.Member { return nil }
	}
	if o.Dial == nil {
		o.Dial = endpoint.NetDial
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.Keys == (request.Limits{}) {
		o.Keys = request.DefaultLimits()
	}
	if o.Queue == (admission.Limits{}) {
		o.Queue = admission.DefaultLimits()
	}
	if o.ReactionTime == 0 {
		o.ReactionTime = defaultReactionTime
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxTimeout == 0 {
		o.MaxTimeout = defaultMaxTimeout
	}
	o.Listener.setDefaults()
}

// Gateway serves requests of callers and requests that other gateways forward. Its methods are safe for concurrent use.
type Gateway struct {
	options Options
	owner   request.Owner
	// configMu serialises changes of snapshot and of the dispatcher's configuration.
	configMu   sync.Mutex
	snapshot   atomic.Pointer[snapshot]
	dispatcher *dispatcher
	pools      *endpoint.Pools
	lifecycle  lifecycle
	meters     meters
	tracer     trace.Tracer
	// seated is true once this gateway has a seat, so that it may open connections to endpoints. It is never reset.
	seated atomic.Bool
	keysMu sync.Mutex
	// keys is guarded by keysMu.
	keys *request.Table
	// executions holds the running requests by the sequence number of their key; guarded by keysMu.
	executions map[uint64]*execution
	// limiter bounds what the connections of server take.
	limiter *callerconn.Limiter
	server  http.Server
	// idPrefix and idCount form the request ids. A random id per request would cost a system call.
	idPrefix string
	idCount  atomic.Uint64
	unsafe   unsafeRules
}

// unsafeRules disables safety rules of a gateway. Only tests set it, to show that their checks detect the missing rule.
type unsafeRules struct {
	// retryAlways retries requests that may have run.
	retryAlways bool
	// claimNotRun reports not_run for every request without a response.
	claimNotRun bool
	// runForeignKeys runs requests whose key another gateway issued.
	runForeignKeys bool
	// skipShutdownWait makes Shutdown not wait for accepted requests.
	skipShutdownWait bool
}

// New returns a gateway that can serve requests at once. Run must be called for its periodic work. New returns an
// Internal error if a required option is missing or the system has no random source.
func New(o Options) (*Gateway, error) {
	if o.Config == nil || o.PeerRequester == nil || o.Self.VM == "" || o.Self.Incarnation == "" || o.Self.FailureDomain == "" {
		return nil, errkind.New(errkind.Internal, "set Self, Config and PeerRequester", "gateway options are incomplete")
	}
	o.setDefaults()
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "check the system's random source", "random secret could not be read")
	}
	seed := o.Seed
	for i := 0; seed == 0 && i < 8; i++ {
		seed = seed<<8 | uint64(secret[i]^secret[i+8])
	}
	owner := request.Owner{FailureDomain: o.Self.FailureDomain, VM: o.Self.VM, Incarnation: o.Self.Incarnation}
	g := &Gateway{
		options:    o,
		owner:      owner,
		pools:      endpoint.NewPools(o.Dial),
		tracer:     otel.Tracer("github.com/redwingthread/redwingthread/gateway"),
		keys:       request.NewTable(owner, secret, o.Keys),
		executions: map[uint64]*execution{},
		idPrefix:   uuid.NewString() + "-",
		meters:     newMeters(o.Metrics),
	}
	g.lifecycle.init()
	g.dispatcher = newDispatcher(routing.NewTable(o.Self.FailureDomain, seed), o.Queue)
	g.limiter = g.newLimiter()
	g.server.Handler = g
	g.limiter.Prepare(&g.server)
	g.refresh()
	return g, nil
}

// maintenanceInterval is the period of the work in Run.
const maintenanceInterval = 100 * time.Millisecond

// Run does the periodic work until ctx ends: it applies configuration changes, takes a seat once one is free, probes
// endpoints, closes idle connections and updates the metrics.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.refresh()
			g.probe(ctx)
			g.pools.CloseIdle()
			g.meters.observe(g)
		}
	}
}

// probe starts the endpoint probes that are due, each on its own goroutine.
func (g *Gateway) probe(ctx context.Context) {
	if !g.seated.Load() {
		return
	}
	for _, p := range g.dispatcher.dueProbes() {
		go func() {
			r := g.pools.Probe(ctx, p.Address, p.MaxConnections, p.QueryIncarnation)
			g.dispatcher.applyProbe(p, routing.ProbeResult(r))
		}()
	}
}
