package inner

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// kind returns the name of the message kind for metrics.
func (r *Request) kind() string {
	switch {
	case r.Heartbeat != nil:
		return "heartbeat"
	case r.Forward != nil:
		return "forward"
	case r.FetchRecords != nil:
		return "fetch_records"
	case r.FetchState != nil:
		return "fetch_state"
	case r.JobQuery != nil:
		return "job_query"
	}
	return "empty"
}

// meter counts the messages and bytes of a client or server by message kind.
type meter struct{ prefix string }

func newMeter(side string) *meter { return &meter{prefix: "inner." + side} }

func (m *meter) sent(kind string, bytes int) {
	metrics.GetOrRegisterCounter(m.prefix+".sent_messages."+kind, nil).Inc(1)
	metrics.GetOrRegisterCounter(m.prefix+".sent_bytes."+kind, nil).Inc(int64(bytes))
}

func (m *meter) received(kind string, bytes int) {
	metrics.GetOrRegisterCounter(m.prefix+".received_bytes."+kind, nil).Inc(int64(bytes))
}

// injectTrace returns the W3C trace context of ctx, or nil if there is none.
func injectTrace(ctx context.Context) map[string]string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	if len(carrier) == 0 {
		return nil
	}
	return carrier
}

// extractTrace returns ctx with the W3C trace context of a message.
func extractTrace(ctx context.Context, traceContext map[string]string) context.Context {
	if len(traceContext) == 0 {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier(traceContext))
}
