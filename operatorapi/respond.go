package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/errkind"
)

// handler serves one path. It returns the HTTP status and body of the response, or a typed error, in which case both are
// ignored.
type handler func(ctx context.Context, r *http.Request, p principal) (status int, body any, err error)

// tracer creates the spans of this package. They are discarded unless the daemon installs an exporter.
var tracer = otel.Tracer("github.com/redwingthread/redwingthread/operatorapi")

// handle registers h for pattern. It limits concurrency, body size and handling time, starts a trace span, authenticates
// the request and writes errors as typed error responses.
func (a *API) handle(pattern string, s scope, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !a.slots.TryAcquire(1) {
			a.writeError(w, r, principal{}, errkind.New(errkind.Overloaded, "try again in a moment",
				"the limit of %d concurrent operator requests is reached", a.options.MaxConcurrent))
			return
		}
		defer a.slots.Release(1)
		r.Body = http.MaxBytesReader(w, r.Body, a.options.MaxBodyBytes)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, pattern, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
		defer cancel()
		r = r.WithContext(ctx)
		p, err := a.authenticate(r, s)
		if err != nil {
			a.writeError(w, r, p, err)
			return
		}
		status, body, err := h(ctx, r, p)
		if err != nil {
			a.writeError(w, r, p, err)
			return
		}
		a.options.Logger.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", status).
			Str("operator", p.operator).Str("account", p.account).Str("trace", traceID(ctx)).Msg("operator request")
		writeJSON(w, status, body)
	})
}

// traceID returns the id of the trace that ctx belongs to, or an empty string if there is none.
func traceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Remedy  string       `json:"remedy"`
	// Outcome is "unknown" if the request may have taken effect (kinds Unknown and Internal), otherwise "not_run".
	Outcome string `json:"outcome"`
}

// Outcomes of a request.
const (
	outcomeCompleted = "completed"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
)

// writeError logs err and sends it as a typed error response.
func (a *API) writeError(w http.ResponseWriter, r *http.Request, p principal, err error) {
	typed := errkind.As(err)
	a.options.Logger.Warn().Str("method", r.Method).Str("path", r.URL.Path).Int("status", typed.Kind.Status()).
		Str("kind", string(typed.Kind)).Str("operator", p.operator).Str("account", p.account).
		Str("trace", traceID(r.Context())).Msg(typed.Message)
	body := errorBody{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy, Outcome: outcomeNotRun}
	if typed.Kind == errkind.Unknown || typed.Kind == errkind.Internal {
		body.Outcome = outcomeUnknown
	}
	if typed.Kind == errkind.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, typed.Kind.Status(), body)
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The status has been sent already. An error here means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	a.writeError(w, r, principal{}, errkind.New(errkind.NotFound, "see the table of paths in docs/design.md, section 12",
		"unknown path: %s %s", r.Method, r.URL.Path))
}

// readJSON decodes the request body, which must be exactly one JSON value without unknown fields, into v.
func readJSON(r *http.Request, v any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("unexpected data after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "send a smaller body or split the change", "request body exceeds %d bytes", tooLarge.Limit)
	}
	return errkind.New(errkind.BadInput, "send one JSON object with known fields", "cannot decode the request body: %v", err)
}
