package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/telemetry"
)

// Mux is an inner.Handler that dispatches each kind of request to its handler function. Each daemon sets the functions of
// the kinds that it handles before it serves the mux. A request of a kind without a function is rejected with a BadInput error.
type Mux struct {
	Heartbeat    func(ctx context.Context, from inner.Member, heartbeat *inner.Heartbeat) (*inner.Heartbeat, error)
	Forward      func(ctx context.Context, req *inner.Forward) (*inner.ForwardResponse, error)
	FetchRecords func(ctx context.Context, req *inner.FetchRecords) (*inner.FetchRecordsResponse, error)
	FetchState   func(ctx context.Context, req *inner.FetchState) (*inner.FetchStateResponse, error)
	JobQuery     func(ctx context.Context, req *inner.JobQuery) (*inner.JobQueryResponse, error)
	// Logger logs panics of the handler functions.
	Logger zerolog.Logger
}

// Handle implements inner.Handler. A handler function that panics returns an Internal error; the process continues.
func (m *Mux) Handle(ctx context.Context, from inner.Member, req *inner.Request) (resp *inner.Response, err error) {
	returned := telemetry.Contain(m.Logger, "handle a request of "+from.VM, func() { resp, err = m.dispatch(ctx, from, req) })
	if !returned {
		return nil, errkind.New(errkind.Internal, "read the log of the daemon and report the error",
			"the handler of the request has panicked")
	}
	return resp, err
}

// dispatch passes the request to the handler function of its kind.
func (m *Mux) dispatch(ctx context.Context, from inner.Member, req *inner.Request) (*inner.Response, error) {
	var resp inner.Response
	var err error
	switch {
	case req.Heartbeat != nil && m.Heartbeat != nil:
		resp.Heartbeat, err = m.Heartbeat(ctx, from, req.Heartbeat)
	case req.Forward != nil && m.Forward != nil:
		resp.Forward, err = m.Forward(ctx, req.Forward)
	case req.FetchRecords != nil && m.FetchRecords != nil:
		resp.FetchRecords, err = m.FetchRecords(ctx, req.FetchRecords)
	case req.FetchState != nil && m.FetchState != nil:
		resp.FetchState, err = m.FetchState(ctx, req.FetchState)
	case req.JobQuery != nil && m.JobQuery != nil:
		resp.JobQuery, err = m.JobQuery(ctx, req.JobQuery)
	default:
		return nil, errkind.New(errkind.BadInput, "send the request to a daemon of the right role and version",
			"this daemon has no handler for the kind of request")
	}
	if err != nil {
		return nil, err
	}
	return &resp, nil
}
