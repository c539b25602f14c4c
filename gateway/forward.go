package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/request"
)

// Bounds of forwarding. The owner recognises a repeat by its key, so a call that failed may be made again.
const (
	forwardTries = 3
	forwardPause = 50 * time.Millisecond
)

// forward sends a request to the gateway that issued its key. Without a word of the owner the outcome is unknown.
func (g *Gateway) forward(ctx context.Context, c *call) answer {
	ctx, span := g.tracer.Start(ctx, "gateway.forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("redwing.owner", c.key.Owner.VM))
	g.meters.forwarded.Inc(1)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	err := errOwnerGone()
	for n := range forwardTries {
		if n > 0 && !pause(ctx, forwardPause<<(n-1), c.deadline) {
			break
		}
		owner, ok := g.findOwner(c.key.Owner)
		if !ok {
			break
		}
		response, callErr := g.options.Caller.Call(ctx, owner.Address, g.forwardMessage(ctx, c))
		if callErr == nil && response.Forward != nil {
			return fromForward(response.Forward)
		}
		if callErr != nil {
			err = errkind.Wrap(callErr, errkind.Unknown, "send the same request with the same key again",
				"gateway that issued the key cannot be reached")
		}
	}
	return refusal(request.Unknown, err)
}

// errOwnerGone is the error of a request whose key's owner is no live gateway.
func errOwnerGone() error {
	return errkind.New(errkind.Unknown, "ask the service whether the request ran, then use a new key",
		"gateway that issued the key is gone")
}

// findOwner returns the live gateway incarnation that issued a key.
func (g *Gateway) findOwner(owner request.Owner) (inner.Member, bool) {
	for _, m := range g.options.Gateways() {
		if m.FailureDomain == owner.FailureDomain && m.VM == owner.VM && m.Incarnation == owner.Incarnation {
			return m, true
		}
	}
	return inner.Member{}, false
}

// forwardMessage returns the message to the owner.
func (g *Gateway) forwardMessage(ctx context.Context, c *call) *inner.Request {
	carrier := propagation.MapCarrier{}
	traceContext.Inject(ctx, carrier)
	return &inner.Request{
		TraceContext: carrier,
		Forward: &inner.Forward{
			Account:   c.account.Name,
			Key:       c.keyText,
			Service:   c.service,
			Method:    c.method,
			Path:      c.path,
			Header:    toFields(c.header),
			Body:      c.body,
			TimeoutMS: max(1, time.Until(c.deadline).Milliseconds()),
			RequestID: c.id,
		},
	}
}

// toFields converts a header for a message, in order of the names.
func toFields(header http.Header) []inner.HeaderField {
	fields := make([]inner.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, inner.HeaderField{Name: name, Values: values})
	}
	slices.SortFunc(fields, func(a, b inner.HeaderField) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return fields
}

// fromFields converts a header of a message.
func fromFields(fields []inner.HeaderField) http.Header {
	header := make(http.Header, len(fields)+4)
	for _, f := range fields {
		header[http.CanonicalHeaderKey(f.Name)] = f.Values
	}
	return header
}

// fromForward converts the owner's response. An owner's word that makes no sense counts as unknown.
func fromForward(f *inner.ForwardResponse) answer {
	switch request.Outcome(f.Outcome) {
	case request.Completed:
		return answer{Result: request.Result{Outcome: request.Completed, Response: &request.Response{
			Status: f.Status, Header: fromFields(f.Header), Body: f.Body}}}
	case request.NotRun:
		if f.Error != nil {
			return refusal(request.NotRun, f.Error)
		}
	}
	if f.Error != nil {
		return refusal(request.Unknown, f.Error)
	}
	return refusal(request.Unknown, errkind.New(errkind.Unknown, "ask the service whether the request ran",
		"gateway that issued the key gave no outcome"))
}

// Handle serves a forwarded request of a peer; it is the part of inner.Handler for Forward messages.
func (g *Gateway) Handle(ctx context.Context, from inner.Member, req *inner.Request) (*inner.Response, error) {
	if req.Forward == nil {
		return nil, errkind.New(errkind.BadInput, "send a Forward message", "message is not for a gateway")
	}
	start := time.Now()
	ctx = traceContext.Extract(ctx, propagation.MapCarrier(req.TraceContext))
	ctx, span := g.tracer.Start(ctx, "gateway.forwarded", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c := &call{id: req.Forward.RequestID}
	a := g.handleForward(ctx, c, req.Forward)
	span.SetAttributes(attribute.String("redwing.outcome", string(a.Outcome)),
		attribute.String("redwing.request_id", c.id))
	response := &inner.Response{Forward: g.toForward(a, c)}
	g.logForwarded(ctx, c, from, a, time.Since(start))
	return response, nil
}

// handleForward carries out a forwarded request.
func (g *Gateway) handleForward(ctx context.Context, c *call, f *inner.Forward) answer {
	if g.lifecycle.enter() {
		defer g.lifecycle.leave()
	} else {
		return g.refuseForwarded(c, f)
	}
	if err := g.fillForwarded(c, f); err != nil {
		return refusal(request.Unknown, err)
	}
	if c.key.Owner != g.owner {
		return refusal(request.Unknown, errOwnerGone())
	}
	return g.runKeyed(ctx, c)
}

// refuseForwarded answers a forwarded request after the gateway stopped accepting.
func (g *Gateway) refuseForwarded(c *call, f *inner.Forward) answer {
	if err := g.fillForwarded(c, f); err != nil {
		return refusal(request.Unknown, err)
	}
	return g.refuseNew(c)
}

// fillForwarded reads a Forward message.
func (g *Gateway) fillForwarded(c *call, f *inner.Forward) error {
	key, err := request.Parse(f.Key)
	if err != nil {
		return err
	}
	s := g.current()
	if s == nil {
		return errNoConfig()
	}
	account, ok := s.doc.Accounts[f.Account]
	if !ok {
		return errkind.New(errkind.Forbidden, "retry later", "account %s is not in the owner's configuration", f.Account)
	}
	service, ok := s.doc.Services[f.Service]
	if !ok {
		return errNoService(f.Service)
	}
	account.Name = f.Account
	c.account = account
	c.service = f.Service
	c.config = service
	c.method = f.Method
	c.path = f.Path
	c.header = fromFields(f.Header)
	c.body = f.Body
	c.keyText = f.Key
	c.key = key
	c.deadline = time.Now().Add(min(g.options.MaxTimeout, time.Duration(f.TimeoutMS)*time.Millisecond))
	return nil
}

// toForward converts an answer for a message. A body that is not buffered cannot be forwarded.
func (g *Gateway) toForward(a answer, c *call) *inner.ForwardResponse {
	if a.stream != nil {
		a.stream.Close()
		a = refusal(request.Unknown, errkind.New(errkind.TooLarge, "ask the service whether the request ran",
			"response of %d bytes is too large to be forwarded", a.length))
	}
	out := &inner.ForwardResponse{Outcome: string(a.Outcome)}
	if a.Outcome != request.Completed {
		out.Error = errkind.As(a.Err)
		return out
	}
	out.Status = a.Response.Status
	out.Header = toFields(endToEnd(a.Response.Header))
	out.Body = a.Response.Body
	return out
}
