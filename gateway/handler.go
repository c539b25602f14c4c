package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/request"
)

// callerResponse is the response to a caller. stream holds a body of length bytes that is copied while it arrives, nil
// if the body is buffered in the result.
type callerResponse struct {
	request.Result
	stream io.ReadCloser
	length int64
}

// errorResponse returns the response to a request that ended with an error.
func errorResponse(outcome request.Outcome, err error) callerResponse {
	return callerResponse{Result: request.Result{Outcome: outcome, Err: err}}
}

// traceContext reads and writes W3C trace context headers.
var traceContext = propagation.TraceContext{}

var _ inner.Handler = (*Gateway)(nil)

// ServeHTTP serves the caller API.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// A response that is sent before the whole body is read must close the connection: net/http would otherwise read
		// the rest of the body first, without a time limit. readBody removes the field.
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/readyz":
		g.serveReady(w)
	case r.URL.Path == "/v1/keys":
		g.serveKey(w, r)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		g.serveService(w, r)
	default:
		g.writeResponse(w, &callerRequest{id: g.newID()}, errorResponse(request.NotRun, errkind.New(errkind.NotFound,
			"use /v1/keys or /v1/services/{service}/{path}", "path %s does not exist", r.URL.Path)))
	}
}

// serveReady serves the readiness check of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter) {
	ok, reason := g.Ready()
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"reason,omitempty"`
	}{ok, reason})
}

// writeJSON writes body as a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// The error is ignored, since it means that the caller has disconnected.
	_, _ = w.Write(data)
}

// serveKey issues a request key.
func (g *Gateway) serveKey(w http.ResponseWriter, r *http.Request) {
	c := &callerRequest{id: g.newID()}
	key, err := g.issueFor(r, c)
	if err != nil {
		g.writeResponse(w, c, errorResponse(request.NotRun, err))
		return
	}
	w.Header().Set(headerOutcome, string(request.Completed))
	w.Header().Set(headerRequestID, c.id)
	writeJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
	}{key.String()})
}

// issueFor authenticates a request for a key and issues the key to its account.
func (g *Gateway) issueFor(r *http.Request, c *callerRequest) (request.Key, error) {
	if r.Method != http.MethodPost {
		return request.Key{}, errkind.New(errkind.BadInput, "use POST /v1/keys", "method is %s", r.Method)
	}
	if at, _ := g.lifecycle.state(); at == rejecting {
		return request.Key{}, errShuttingDown()
	}
	s := g.current()
	if s == nil {
		return request.Key{}, errNoConfig()
	}
	account, err := s.authenticate(r)
	if err != nil {
		return request.Key{}, err
	}
	c.account = account
	if !g.seated.Load() {
		return request.Key{}, errNoSeat()
	}
	return g.issue(account.Name), nil
}

// issue returns a new key for the account.
func (g *Gateway) issue(account string) request.Key {
	g.keysMu.Lock()
	defer g.keysMu.Unlock()
	return g.keys.Issue(account)
}

// errNoConfig returns the error of a gateway that has no configuration yet.
func errNoConfig() error {
	return errkind.New(errkind.Unavailable, "retry later or at another gateway", "gateway has no configuration yet")
}

// errNoSeat returns the error of a gateway that may not open connections to endpoints.
func errNoSeat() error {
	return errkind.New(errkind.Unavailable, "use another gateway", "more live gateways than seats")
}

// serveService serves a request to a service and records its metrics, span and log line.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c := &callerRequest{id: g.newID()}
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.tracer.Start(ctx, "gateway.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	accepted := g.lifecycle.enter()
	if accepted {
		defer g.lifecycle.leave()
	}
	resp := g.handle(ctx, w, r, c, accepted)
	g.writeResponse(w, c, resp)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("redwing.outcome", string(resp.Outcome)),
			attribute.String("redwing.request_id", c.id), attribute.String("redwing.account", c.account.Name))
	}
	g.meters.countResponse(resp.Outcome, time.Since(start))
	g.logRequest(ctx, c, resp, time.Since(start))
}

// handle validates a request and runs or forwards it. accepted is false if the gateway no longer accepts requests.
func (g *Gateway) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *callerRequest, accepted bool) callerResponse {
	err := g.receive(w, r, c)
	if err != nil {
		return errorResponse(g.rejectedOutcome(c), err)
	}
	if !accepted {
		return g.rejectNew(c)
	}
	if c.idempotent {
		g.dispatcher.countFirstAttempt(c.account.Name)
		attempts := &request.Attempts{Idempotent: true}
		resp := g.run(ctx, c, attempts)
		attempts.CheckOutcome(resp.Outcome)
		return resp
	}
	if c.keyText == "" {
		c.key = g.issue(c.account.Name)
		c.keyText = c.key.String()
		c.implicitKey = true
		w.Header().Set(headerKey, c.keyText)
	}
	if c.key.Owner != g.owner && g.unsafe.runForeignKeys {
		c.key = g.issue(c.account.Name)
	}
	if c.key.Owner != g.owner {
		return g.forward(ctx, c)
	}
	return g.runKeyed(ctx, c)
}

// receive authenticates a request, parses it and reads its body.
func (g *Gateway) receive(w http.ResponseWriter, r *http.Request, c *callerRequest) error {
	s := g.current()
	if s == nil {
		// rejectedOutcome needs the key.
		c.keyText = r.Header.Get(headerKey)
		return errNoConfig()
	}
	account, err := s.authenticate(r)
	if err != nil {
		c.keyText = r.Header.Get(headerKey)
		return err
	}
	if err := g.parseTarget(r, s, account, c); err != nil {
		return err
	}
	c.header = endToEnd(r.Header)
	return g.readBody(w, r, c)
}

// rejectedOutcome returns the outcome of a request that was rejected before its key was looked up. It is unknown for a
// well-formed key: an earlier request with the key may have run, which only the gateway that issued the key knows.
func (g *Gateway) rejectedOutcome(c *callerRequest) request.Outcome {
	if c.keyText == "" {
		return request.NotRun
	}
	if _, err := request.Parse(c.keyText); err != nil {
		return request.NotRun
	}
	return request.Unknown
}

// writeResponse sends the response to the caller. If a streamed body turns out to be incomplete, it aborts the
// connection by a panic (see streamBody).
func (g *Gateway) writeResponse(w http.ResponseWriter, c *callerRequest, resp callerResponse) {
	if resp.stream != nil {
		defer resp.stream.Close()
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.Listener.WriteTimeout))
	header := w.Header()
	header.Set(headerOutcome, string(resp.Outcome))
	header.Set(headerRequestID, c.id)
	if resp.Outcome != request.Completed {
		g.writeError(w, resp)
		return
	}
	for name, values := range endToEnd(resp.Response.Header) {
		header[name] = values
	}
	length := int64(len(resp.Response.Body))
	if resp.stream != nil {
		length = resp.length
	}
	setLength(header, c.method, resp, length)
	w.WriteHeader(resp.Response.Status)
	if resp.stream == nil {
		_, _ = w.Write(resp.Response.Body)
		return
	}
	g.streamBody(w, c, resp, length)
}

// setLength sets Content-Length if the response may have one. The response to a HEAD request keeps the value that the
// endpoint sent.
func setLength(header http.Header, method string, resp callerResponse, length int64) {
	switch {
	case resp.Response.Status == http.StatusNoContent || resp.Response.Status == http.StatusNotModified:
	case method == http.MethodHead:
		if text := resp.Response.Header.Get("Content-Length"); text != "" {
			header.Set("Content-Length", text)
		}
	default:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// streamBody copies a streamed body to the caller. If the body is incomplete, it panics with http.ErrAbortHandler,
// which makes net/http close the connection, so that the caller does not take a truncated body for a complete one.
func (g *Gateway) streamBody(w http.ResponseWriter, c *callerRequest, resp callerResponse, length int64) {
	n, err := io.Copy(w, resp.stream)
	if err != nil || n != length {
		g.meters.aborted.Inc(1)
		g.options.Logger.Warn().Str("request", c.id).Str("account", c.account.Name).Int64("sent", n).Int64("length", length).
			Str("failure_domain", g.owner.FailureDomain).AnErr("error", err).
			Msg("response body not sent completely, caller connection aborted")
		panic(http.ErrAbortHandler)
	}
	invariant.Check(n == length, invariant.ResponseComplete, "response body of %d bytes was streamed with %d bytes", length, n)
}

// writeError writes an error response of the caller API.
func (g *Gateway) writeError(w http.ResponseWriter, resp callerResponse) {
	typed := errkind.As(resp.Err)
	if typed == nil {
		typed = errkind.As(errkind.New(errkind.Internal, "report this as a bug, with the request id", "request has no result"))
	}
	if typed.Kind == errkind.Overloaded || typed.Kind == errkind.Unavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, typed.Kind.Status(), struct {
		Kind    errkind.Kind    `json:"kind"`
		Message string          `json:"message"`
		Remedy  string          `json:"remedy"`
		Outcome request.Outcome `json:"outcome"`
	}{typed.Kind, typed.Message, typed.Remedy, resp.Outcome})
}
