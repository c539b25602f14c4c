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

// Limits of forwarding. Forwarding is safe to retry, since the owner of the key detects a repeated request.
const (
	maxForwardAttempts = 3
	// forwardBackoff is the delay before the second attempt; it doubles with each further one.
	forwardBackoff = 50 * time.Millisecond
)

// forward sends a request to the gateway that issued its key. The outcome is unknown if that gateway is not live or
// sends no response.
func (g *Gateway) forward(ctx context.Context, c *callerRequest) callerResponse {
	ctx, span := g.tracer.Start(ctx, "gateway.forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("redwing.owner", c.key.Owner.VM))
	g.meters.forwarded.Inc(1)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	err := errOwnerGone()
	for n := range maxForwardAttempts {
		if n > 0 && !waitBackoff(ctx, forwardBackoff<<(n-1), c.deadline) {
			break
		}
		owner, ok := g.findOwner(c.key.Owner)
		if !ok {
			break
		}
		response, requestErr := g.options.PeerRequester.Call(ctx, owner.Address, g.forwardMessage(ctx, c))
		if requestErr == nil && response.Forward != nil {
			return fromForwardResponse(response.Forward)
		}
		if requestErr != nil {
			err = errkind.Wrap(requestErr, errkind.Unknown, "send the same request with the same key again",
				"gateway that issued the key cannot be reached")
		}
	}
	return errorResponse(request.Unknown, err)
}

// errOwnerGone returns the error of a request whose key was issued by a gateway incarnation that is not live.
func errOwnerGone() error {
	return errkind.New(errkind.Unknown, "ask the service whether the request ran, then use a new key",
		"gateway that issued the key is not live")
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

// forwardMessage returns the Forward message of a request.
func (g *Gateway) forwardMessage(ctx context.Context, c *callerRequest) *inner.Request {
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

// toFields converts an HTTP header to message fields, sorted by name.
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

// fromFields converts message fields to an HTTP header.
func fromFields(fields []inner.HeaderField) http.Header {
	header := make(http.Header, len(fields)+4)
	for _, f := range fields {
		header[http.CanonicalHeaderKey(f.Name)] = f.Values
	}
	return header
}

// fromForwardResponse converts the response of the gateway that issued the key. A response without a valid outcome
// counts as unknown.
func fromForwardResponse(f *inner.ForwardResponse) callerResponse {
	switch request.Outcome(f.Outcome) {
	case request.Completed:
		return callerResponse{Result: request.Result{Outcome: request.Completed, Response: &request.Response{
			Status: f.Status, Header: fromFields(f.Header), Body: f.Body}}}
	case request.NotRun:
		if f.Error != nil {
			return errorResponse(request.NotRun, f.Error)
		}
	}
	if f.Error != nil {
		return errorResponse(request.Unknown, f.Error)
	}
	return errorResponse(request.Unknown, errkind.New(errkind.Unknown, "ask the service whether the request ran",
		"gateway that issued the key returned no valid outcome"))
}

// Handle serves a request that a peer forwarded. It implements inner.Handler for Forward messages and returns a
// BadInput error for any other message.
func (g *Gateway) Handle(ctx context.Context, from inner.Member, req *inner.Request) (*inner.Response, error) {
	if req.Forward == nil {
		return nil, errkind.New(errkind.BadInput, "send a Forward message", "message has no Forward field")
	}
	start := time.Now()
	ctx = traceContext.Extract(ctx, propagation.MapCarrier(req.TraceContext))
	ctx, span := g.tracer.Start(ctx, "gateway.forwarded", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	c := &callerRequest{id: req.Forward.RequestID}
	resp := g.handleForward(ctx, c, req.Forward)
	span.SetAttributes(attribute.String("redwing.outcome", string(resp.Outcome)),
		attribute.String("redwing.request_id", c.id))
	response := &inner.Response{Forward: g.toForwardResponse(resp, c)}
	g.logForwarded(ctx, c, from, resp, time.Since(start))
	return response, nil
}

// handleForward runs a forwarded request. It does not run a request whose key another gateway incarnation issued.
func (g *Gateway) handleForward(ctx context.Context, c *callerRequest, f *inner.Forward) callerResponse {
	if g.lifecycle.enter() {
		defer g.lifecycle.leave()
	} else {
		return g.rejectForwarded(c, f)
	}
	if err := g.parseForward(c, f); err != nil {
		return errorResponse(request.Unknown, err)
	}
	if c.key.Owner != g.owner {
		return errorResponse(request.Unknown, errOwnerGone())
	}
	return g.runKeyed(ctx, c)
}

// rejectForwarded responds to a forwarded request that arrives after the gateway stopped accepting requests.
func (g *Gateway) rejectForwarded(c *callerRequest, f *inner.Forward) callerResponse {
	if err := g.parseForward(c, f); err != nil {
		return errorResponse(request.Unknown, err)
	}
	return g.rejectNew(c)
}

// parseForward sets the fields of c from a Forward message. It returns an error if the key is malformed or if the
// configuration in force lacks the account or the service.
func (g *Gateway) parseForward(c *callerRequest, f *inner.Forward) error {
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

// toForwardResponse converts a response to a message. A streamed body cannot be forwarded: the outcome is then unknown.
func (g *Gateway) toForwardResponse(resp callerResponse, c *callerRequest) *inner.ForwardResponse {
	if resp.stream != nil {
		resp.stream.Close()
		resp = errorResponse(request.Unknown, errkind.New(errkind.TooLarge, "ask the service whether the request ran",
			"response of %d bytes is too large to be forwarded", resp.length))
	}
	message := &inner.ForwardResponse{Outcome: string(resp.Outcome)}
	if resp.Outcome != request.Completed {
		message.Error = errkind.As(resp.Err)
		return message
	}
	message.Status = resp.Response.Status
	message.Header = toFields(endToEnd(resp.Response.Header))
	message.Body = resp.Response.Body
	return message
}
