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
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/request"
)

// answer is what a caller gets: a result, and the rest of the body if it is passed on while it arrives.
type answer struct {
	request.Result
	stream io.ReadCloser
	length int64
}

// refusal returns the answer of a request that ended with an error.
func refusal(outcome request.Outcome, err error) answer {
	return answer{Result: request.Result{Outcome: outcome, Err: err}}
}

// traceContext is the W3C format of trace context.
var traceContext = propagation.TraceContext{}

// ServeHTTP serves the caller API.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Until the body is read, a refusal closes the connection: net/http would otherwise read the rest of the body
		// before it sends the refusal, without a time limit.
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
		g.write(w, &call{id: g.newID()}, refusal(request.NotRun, errkind.New(errkind.NotFound,
			"use /v1/keys or /v1/services/{service}/{path}", "path %s does not exist", r.URL.Path)))
	}
}

// serveReady answers the balancer.
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

// writeJSON writes a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A caller that went away cannot be told.
	_, _ = w.Write(data)
}

// serveKey issues a request key.
func (g *Gateway) serveKey(w http.ResponseWriter, r *http.Request) {
	c := &call{id: g.newID()}
	key, err := g.issueFor(r, c)
	if err != nil {
		g.write(w, c, refusal(request.NotRun, err))
		return
	}
	w.Header().Set(headerOutcome, string(request.Completed))
	w.Header().Set(headerRequestID, c.id)
	writeJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
	}{key.String()})
}

// issueFor issues a key to the account that asks for it.
func (g *Gateway) issueFor(r *http.Request, c *call) (request.Key, error) {
	if r.Method != http.MethodPost {
		return request.Key{}, errkind.New(errkind.BadInput, "use POST /v1/keys", "method is %s", r.Method)
	}
	if at, _ := g.lifecycle.state(); at == refusing {
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

// issue returns a new key for an account.
func (g *Gateway) issue(account string) request.Key {
	g.keysMu.Lock()
	defer g.keysMu.Unlock()
	return g.keys.Issue(account)
}

// errNoConfig is the refusal of a gateway that has no configuration yet.
func errNoConfig() error {
	return errkind.New(errkind.Unavailable, "retry later or at another gateway", "gateway has no configuration yet")
}

// errNoSeat is the refusal of a gateway that may not open connections to endpoints.
func errNoSeat() error {
	return errkind.New(errkind.Unavailable, "use another gateway", "more live gateways than seats")
}

// serveService handles a request to a service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c := &call{id: g.newID()}
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := g.tracer.Start(ctx, "gateway.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	accepted := g.lifecycle.enter()
	if accepted {
		defer g.lifecycle.leave()
	}
	a := g.handle(ctx, w, r, c, accepted)
	g.write(w, c, a)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("redwing.outcome", string(a.Outcome)),
			attribute.String("redwing.request_id", c.id), attribute.String("redwing.account", c.account.Name))
	}
	g.meters.answered(a.Outcome, time.Since(start))
	g.logCall(ctx, c, a, time.Since(start))
}

// handle checks a request and carries it out.
func (g *Gateway) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, accepted bool) answer {
	err := g.receive(w, r, c)
	if err != nil {
		return refusal(g.refusedOutcome(c), err)
	}
	if !accepted {
		return g.refuseNew(c)
	}
	if c.repeatable {
		g.dispatcher.first(c.account.Name)
		attempts := &request.Attempts{Repeatable: true}
		a := g.run(ctx, c, attempts)
		attempts.CheckOutcome(a.Outcome)
		return a
	}
	if c.keyText == "" {
		c.key = g.issue(c.account.Name)
		c.keyText = c.key.String()
		c.issued = true
		w.Header().Set(headerKey, c.keyText)
	}
	if c.key.Owner != g.owner && g.unsafe.adopt {
		c.key = g.issue(c.account.Name)
	}
	if c.key.Owner != g.owner {
		return g.forward(ctx, c)
	}
	return g.runKeyed(ctx, c)
}

// receive reads and checks everything of a request before it can run.
func (g *Gateway) receive(w http.ResponseWriter, r *http.Request, c *call) error {
	s := g.current()
	if s == nil {
		// The key, if any, decides what the caller can be told.
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

// refusedOutcome says what is known of a request that was refused before its key was looked up. A request with the same
// key may have run before, which only the key's owner knows.
func (g *Gateway) refusedOutcome(c *call) request.Outcome {
	if c.keyText == "" {
		return request.NotRun
	}
	if _, err := request.Parse(c.keyText); err != nil {
		return request.NotRun
	}
	return request.Unknown
}

// write sends the answer to the caller. A large body that turns out not to be whole ends in an aborted exchange.
func (g *Gateway) write(w http.ResponseWriter, c *call, a answer) {
	if a.stream != nil {
		defer a.stream.Close()
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.Listener.WriteTime))
	header := w.Header()
	header.Set(headerOutcome, string(a.Outcome))
	header.Set(headerRequestID, c.id)
	if a.Outcome != request.Completed {
		g.writeError(w, a)
		return
	}
	for name, values := range endToEnd(a.Response.Header) {
		header[name] = values
	}
	length := int64(len(a.Response.Body))
	if a.stream != nil {
		length = a.length
	}
	setLength(header, c.method, a, length)
	w.WriteHeader(a.Response.Status)
	if a.stream == nil {
		_, _ = w.Write(a.Response.Body)
		return
	}
	g.passOn(w, c, a, length)
}

// setLength sets Content-Length where a response may have one. The response to a HEAD request keeps the endpoint's.
func setLength(header http.Header, method string, a answer, length int64) {
	switch {
	case a.Response.Status == http.StatusNoContent || a.Response.Status == http.StatusNotModified:
	case method == http.MethodHead:
		if text := a.Response.Header.Get("Content-Length"); text != "" {
			header.Set("Content-Length", text)
		}
	default:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// passOn copies a large body. It panics with http.ErrAbortHandler if the body is not whole, which makes net/http close
// the caller's connection: the caller must not take the part for the whole.
func (g *Gateway) passOn(w http.ResponseWriter, c *call, a answer, length int64) {
	n, err := io.Copy(w, a.stream)
	if err != nil || n != length {
		g.meters.aborted.Inc(1)
		g.options.Log.Warn().Str("request", c.id).Str("account", c.account.Name).Int64("sent", n).Int64("length", length).
			Str("failure_domain", g.owner.FailureDomain).AnErr("error", err).Msg("large body aborted")
		panic(http.ErrAbortHandler)
	}
	invariant.Check(n == length, invariant.AnswerWhole, "large body of %d bytes was passed on with %d", length, n)
}

// writeError sends an error of the caller API.
func (g *Gateway) writeError(w http.ResponseWriter, a answer) {
	typed := errkind.As(a.Err)
	if typed == nil {
		typed = errkind.As(errkind.New(errkind.Internal, "report this with the request id", "request has no result"))
	}
	if typed.Kind == errkind.Overloaded || typed.Kind == errkind.Unavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, typed.Kind.Status(), struct {
		Kind    errkind.Kind    `json:"kind"`
		Message string          `json:"message"`
		Remedy  string          `json:"remedy"`
		Outcome request.Outcome `json:"outcome"`
	}{typed.Kind, typed.Message, typed.Remedy, a.Outcome})
}
