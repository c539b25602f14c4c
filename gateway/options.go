// Package gateway is the shell of the request path: it takes requests of callers over HTTP, queues them, dispatches them
// to endpoints, and forwards those whose key another gateway issued.
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
	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/endpoint"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/request"
	"github.com/redwingthread/redwingthread/routing"
)

// Options holds what a gateway needs from its daemon. Self, Config and Caller must be set; zero values elsewhere stand
// for the defaults.
type Options struct {
	// Self names this incarnation. A restart must have another incarnation.
	Self inner.Member
	// Config returns the configuration in force, nil while there is none. The document must not change afterwards.
	Config func() *config.Document
	// Gateways returns the live gateways of the deployment, with or without this one.
	Gateways func() []inner.Member
	// Caller reaches the owners of keys.
	Caller inner.Caller
	// Dial opens connections to endpoints.
	Dial endpoint.Dial
	// Seed makes the choice of endpoints repeatable; 0 takes a random one.
	Seed    uint64
	Log     zerolog.Logger
	Metrics metrics.Registry
	Keys    request.Limits
	Queue   admission.Limits
	// Drained reports whether the gateway's VM is to be emptied; nil for never. A drained gateway is not ready, but serves
	// what still comes.
	Drained func() bool
	// ReactionTime is how long the balancer may send requests to a gateway that turned unready.
	ReactionTime time.Duration
	// Timeout is the deadline of requests without Request-Timeout-Ms; MaxTimeout bounds that header.
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

// fill puts the defaults in place of zero values.
func (o *Options) fill() {
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
	o.Listener.fill()
}

// Gateway serves callers and forwarded requests. Its methods are safe for concurrent use.
type Gateway struct {
	options Options
	owner   request.Owner
	// configMu orders changes of snapshot and the dispatcher's configuration.
	configMu   sync.Mutex
	snapshot   atomic.Pointer[snapshot]
	dispatcher *dispatcher
	pools      *endpoint.Pools
	lifecycle  lifecycle
	meters     meters
	tracer     trace.Tracer
	// seated is true once this gateway may open connections to endpoints; it stays so.
	seated atomic.Bool
	keysMu sync.Mutex
	// keys is guarded by keysMu.
	keys *request.Table
	// flights holds the running keys by sequence number; guarded by keysMu.
	flights map[uint64]*flight
	server  http.Server
	// idPrefix and idCount make the request ids; a random id per request costs a system call.
	idPrefix string
	idCount  atomic.Uint64
	// bodyBytes is the memory reserved for bodies of accepted requests.
	bodyBytes atomic.Int64
	unsafe    unsafeRules
}

// unsafeRules switches rules of a gateway off. Only tests set them, to show that their checks need the rules.
type unsafeRules struct {
	// replay tries every failed request again.
	replay bool
	// claimNotRun reports not_run for every request without a response.
	claimNotRun bool
	// adopt runs requests with keys of other gateways.
	adopt bool
	// cut ends a shutdown without waiting for accepted requests.
	cut bool
}

// New returns a gateway that serves requests at once. Run must be called for its periodic work.
func New(o Options) (*Gateway, error) {
	if o.Config == nil || o.Caller == nil || o.Self.VM == "" || o.Self.Incarnation == "" || o.Self.FailureDomain == "" {
		return nil, errkind.New(errkind.Internal, "set Self, Config and Caller", "gateway options are incomplete")
	}
	o.fill()
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "check the system's random source", "no random secret")
	}
	seed := o.Seed
	for i := 0; seed == 0 && i < 8; i++ {
		seed = seed<<8 | uint64(secret[i]^secret[i+8])
	}
	owner := request.Owner{FailureDomain: o.Self.FailureDomain, VM: o.Self.VM, Incarnation: o.Self.Incarnation}
	g := &Gateway{
		options:  o,
		owner:    owner,
		pools:    endpoint.NewPools(o.Dial),
		tracer:   otel.Tracer("github.com/redwingthread/redwingthread/gateway"),
		keys:     request.NewTable(owner, secret, o.Keys),
		flights:  map[uint64]*flight{},
		idPrefix: uuid.NewString() + "-",
		meters:   newMeters(o.Metrics),
	}
	g.lifecycle.init()
	g.dispatcher = newDispatcher(routing.NewTable(o.Self.FailureDomain, seed), o.Queue)
	g.server = g.newServer()
	g.refresh()
	return g, nil
}

// maintenance is the time between rounds of periodic work.
const maintenance = 100 * time.Millisecond

// Run does the periodic work until ctx ends: it follows the configuration, takes a seat, probes endpoints and closes
// unused connections.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenance)
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

// probe starts the probes of endpoints that are due.
func (g *Gateway) probe(ctx context.Context) {
	if !g.seated.Load() {
		return
	}
	for _, p := range g.dispatcher.probes() {
		go func() {
			r := g.pools.Probe(ctx, p.Address, p.MaxConnections, p.Ask)
			g.dispatcher.probed(p, routing.ProbeResult(r))
		}()
	}
}
