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

// handler serves one path. It returns the status and body of the answer, or a typed error.
type handler func(ctx context.Context, r *http.Request, who principal) (status int, body any, err error)

// tracer makes the spans of this package; they are dropped unless the daemon installs an exporter.
var tracer = otel.Tracer("github.com/redwingthread/redwingthread/operatorapi")

// handle registers h with a span, authentication, limits of requests at once, body and time, and typed errors.
func (a *API) handle(pattern string, s scope, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if !a.slots.TryAcquire(1) {
			a.fail(w, r, principal{}, errkind.New(errkind.Overloaded, "try again in a moment",
				"%d operator requests are under way", a.settings.MaxConcurrent))
			return
		}
		defer a.slots.Release(1)
		r.Body = http.MaxBytesReader(w, r.Body, a.settings.MaxBodyBytes)
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, pattern, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
		defer cancel()
		r = r.WithContext(ctx)
		who, err := a.authenticate(r, s)
		if err != nil {
			a.fail(w, r, who, err)
			return
		}
		status, body, err := h(ctx, r, who)
		if err != nil {
			a.fail(w, r, who, err)
			return
		}
		a.settings.Logger.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", status).
			Str("operator", who.operator).Str("account", who.account).Str("trace", traceID(ctx)).Msg("operator request")
		respond(w, status, body)
	})
}

// traceID returns the id of the trace that ctx belongs to, empty if there is none.
func traceID(ctx context.Context) string {
	span := trace.SpanContextFromContext(ctx)
	if !span.HasTraceID() {
		return ""
	}
	return span.TraceID().String()
}

// errorBody is the JSON form of an error answer.
type errorBody struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
	Remedy  string       `json:"remedy"`
	// Outcome is "unknown" if the request may have taken effect, else "not_run".
	Outcome string `json:"outcome"`
}

// The outcomes of a request.
const (
	outcomeCompleted = "completed"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
)

func (a *API) fail(w http.ResponseWriter, r *http.Request, who principal, err error) {
	typed := errkind.As(err)
	a.settings.Logger.Warn().Str("method", r.Method).Str("path", r.URL.Path).Int("status", typed.Kind.Status()).
		Str("kind", string(typed.Kind)).Str("operator", who.operator).Str("account", who.account).
		Str("trace", traceID(r.Context())).Msg(typed.Message)
	body := errorBody{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy, Outcome: outcomeNotRun}
	if typed.Kind == errkind.Unknown || typed.Kind == errkind.Internal {
		body.Outcome = outcomeUnknown
	}
	if typed.Kind == errkind.Unauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	respond(w, typed.Kind.Status(), body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The status is sent; an error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	a.fail(w, r, principal{}, errkind.New(errkind.NotFound, "see the table of paths in docs/design.md, section 12",
		"there is no %s %s", r.Method, r.URL.Path))
}

// readJSON reads exactly one JSON value with known fields only.
func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("there is text after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "send a smaller body or split the change", "body is above %d bytes", tooLarge.Limit)
	}
	return errkind.New(errkind.BadInput, "send one JSON object with known fields", "body cannot be read: %v", err)
}
