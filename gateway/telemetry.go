package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/request"
)

// meters holds the metrics of a gateway.
type meters struct {
	// completed, notRun and unknown count the responses to callers by outcome.
	completed metrics.Counter
	notRun    metrics.Counter
	unknown   metrics.Counter
	retries   metrics.Counter
	// forwarded counts the requests sent to the gateway that issued their key, replayed the responses from a stored
	// result, aborted the caller connections that were closed because a streamed body was incomplete.
	forwarded metrics.Counter
	replayed  metrics.Counter
	aborted   metrics.Counter
	// latency is the time to a completed response in microseconds.
	latency metrics.Histogram
	// active and queued are the numbers of accepted requests in progress and of requests that wait for a slot.
	active metrics.Gauge
	queued metrics.Gauge
	// connections is the number of open connections to endpoints.
	connections metrics.Gauge
	// keys, keyBytes and keyRanges are the results of request.Table.Size.
	keys      metrics.Gauge
	keyBytes  metrics.Gauge
	keyRanges metrics.Gauge
	// ejected is the number of ejected and unreachable endpoints, leaving that of leaving ones.
	ejected metrics.Gauge
	leaving metrics.Gauge
}

// newMeters registers the metrics.
func newMeters(r metrics.Registry) meters {
	return meters{
		completed:   metrics.GetOrRegisterCounter("gateway.completed", r),
		notRun:      metrics.GetOrRegisterCounter("gateway.not_run", r),
		unknown:     metrics.GetOrRegisterCounter("gateway.unknown", r),
		retries:     metrics.GetOrRegisterCounter("gateway.retries", r),
		forwarded:   metrics.GetOrRegisterCounter("gateway.forwarded", r),
		replayed:    metrics.GetOrRegisterCounter("gateway.replayed", r),
		aborted:     metrics.GetOrRegisterCounter("gateway.aborted", r),
		latency:     metrics.GetOrRegisterHistogram("gateway.latency_us", r, metrics.NewExpDecaySample(1028, 0.015)),
		active:      metrics.GetOrRegisterGauge("gateway.active", r),
		queued:      metrics.GetOrRegisterGauge("gateway.queued", r),
		connections: metrics.GetOrRegisterGauge("gateway.connections", r),
		keys:        metrics.GetOrRegisterGauge("gateway.keys", r),
		keyBytes:    metrics.GetOrRegisterGauge("gateway.key_bytes", r),
		keyRanges:   metrics.GetOrRegisterGauge("gateway.key_ranges", r),
		ejected:     metrics.GetOrRegisterGauge("gateway.endpoints_ejected", r),
		leaving:     metrics.GetOrRegisterGauge("gateway.endpoints_leaving", r),
	}
}

// countResponse counts the response to a request by its outcome and records the latency of a completed one.
func (m *meters) countResponse(outcome request.Outcome, took time.Duration) {
	switch outcome {
	case request.Completed:
		m.completed.Inc(1)
		m.latency.Update(took.Microseconds())
	case request.NotRun:
		m.notRun.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}

// observe updates the gauges.
func (m *meters) observe(g *Gateway) {
	_, active := g.lifecycle.state()
	m.active.Update(int64(active))
	m.connections.Update(int64(g.pools.OpenTotal()))
	g.keysMu.Lock()
	entries, bytes, ranges := g.keys.Size()
	g.keysMu.Unlock()
	m.keys.Update(int64(entries))
	m.keyBytes.Update(int64(bytes))
	m.keyRanges.Update(int64(ranges))
	m.queued.Update(int64(g.dispatcher.queued()))
	var ejected, leaving int64
	for _, e := range g.EndpointStatus() {
		if e.Ejected || e.Unreachable {
			ejected++
		}
		if e.Leaving {
			leaving++
		}
	}
	m.ejected.Update(ejected)
	m.leaving.Update(leaving)
}

// queued returns the number of queued requests of all services.
func (d *dispatcher) queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}

// logRequest logs a caller's request. Keys and tokens are never logged.
func (g *Gateway) logRequest(ctx context.Context, c *callerRequest, resp callerResponse, took time.Duration) {
	g.requestEvent(ctx, c, resp, took).Msg("request answered")
}

// logForwarded logs a forwarded request.
func (g *Gateway) logForwarded(ctx context.Context, c *callerRequest, from inner.Member, resp callerResponse, took time.Duration) {
	g.requestEvent(ctx, c, resp, took).Str("from", from.VM).Msg("forwarded request answered")
}

// requestEvent returns a log event with the ids and the outcome of a request, nil if the log level disables it.
func (g *Gateway) requestEvent(ctx context.Context, c *callerRequest, resp callerResponse, took time.Duration) *zerolog.Event {
	event := g.options.Logger.Info()
	if event == nil {
		return nil
	}
	event = event.Str("request", c.id).Str("account", c.account.Name).Str("failure_domain", g.owner.FailureDomain).
		Str("service", c.service).Str("outcome", string(resp.Outcome)).Dur("took_ms", took)
	if span := trace.SpanContextFromContext(ctx); span.HasTraceID() {
		event = event.Str("trace", span.TraceID().String())
	}
	if resp.Err != nil {
		typed := errkind.As(resp.Err)
		event = event.Str("kind", string(typed.Kind)).Str("error", typed.Error())
	}
	return event
}
