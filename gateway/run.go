package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/endpoint"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/request"
	"github.com/redwingthread/redwingthread/routing"
)

// Bounds of attempts.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// silentFloor is the least time after which an attempt of a repeatable request is given up to try another
	// connection; silentFactor is the multiple of the mean exchange time. A connection that went silent for good then
	// costs seconds instead of the whole deadline.
	silentFloor  = 2 * time.Second
	silentFactor = 8
	// defaultExchange bounds an exchange of a service without a bound of its own.
	defaultExchange = 30 * time.Second
	// retryPause is the pause before the second attempt; it doubles with each further one.
	retryPause = 2 * time.Millisecond
)

// run makes attempts until the request is completed or must not be tried again. Only repeatable requests and requests
// provably not written are tried again.
func (g *Gateway) run(ctx context.Context, c *call, attempts *request.Attempts) answer {
	if !g.seated.Load() {
		return refusal(request.NotRun, errNoSeat())
	}
	var tried []string
	var last endpoint.Result
	for n := 1; ; n++ {
		choice, err := g.dispatcher.acquire(ctx, c, tried)
		if err != nil {
			return refusal(g.outcomeOf(attempts), reason(err, last))
		}
		last = g.attempt(ctx, c, choice, attempts, n)
		if last.Response != nil && !last.NotRun {
			return g.completed(choice, last)
		}
		g.dispatcher.release(choice, report(last))
		if !g.mayRetry(c, attempts, last, n) {
			return refusal(g.outcomeOf(attempts), failure(last))
		}
		g.meters.retries.Inc(1)
		tried = append(tried, choice.Endpoint)
		if !pause(ctx, retryPause<<(n-1), c.deadline) {
			return refusal(g.outcomeOf(attempts), failure(last))
		}
	}
}

// pause waits and reports whether there is time left afterwards.
func pause(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// outcomeOf says what the attempts so far allow to tell the caller.
func (g *Gateway) outcomeOf(a *request.Attempts) request.Outcome {
	if a.MayHaveRun() && !g.unsafe.claimNotRun {
		return request.Unknown
	}
	return request.NotRun
}

// attempt makes one attempt at the chosen endpoint.
func (g *Gateway) attempt(ctx context.Context, c *call, choice routing.Choice, attempts *request.Attempts, n int) endpoint.Result {
	ctx, span := g.tracer.Start(ctx, "endpoint.attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	header := c.header.Clone()
	traceContext.Inject(ctx, propagation.HeaderCarrier(header))
	result := g.pools.Attempt(ctx, choice.Address, choice.MaxConnections, &endpoint.Request{
		ID:          c.id + "." + strconv.Itoa(n),
		Method:      c.method,
		Path:        c.path,
		Header:      header,
		Body:        c.body,
		Deadline:    c.deadline,
		Timeout:     g.exchangeTime(c),
		BufferBytes: maxBody(c.config),
		BeforeWrite: func() error {
			if !time.Now().Before(c.deadline) {
				return errDeadline()
			}
			g.dispatcher.dispatching(choice)
			attempts.Dispatch()
			return nil
		},
	})
	if !result.Written || result.NotRun {
		attempts.NotRun()
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("redwing.endpoint", choice.Endpoint), attribute.Int("redwing.attempt", n),
			attribute.Bool("redwing.written", result.Written))
	}
	return result
}

// exchangeTime bounds one exchange.
func (g *Gateway) exchangeTime(c *call) time.Duration {
	bound := time.Duration(c.config.TimeoutMS) * time.Millisecond
	if bound <= 0 {
		bound = defaultExchange
	}
	if c.repeatable {
		bound = min(bound, max(silentFloor, silentFactor*g.dispatcher.serviceTime(c.service)))
	}
	return bound
}

// mayRetry decides whether another attempt is allowed. A connection that could not be opened cost no endpoint any work,
// so the next attempt takes nothing from the retry budget.
func (g *Gateway) mayRetry(c *call, attempts *request.Attempts, last endpoint.Result, n int) bool {
	if n >= maxAttempts || last.Failure == endpoint.Withheld {
		return false
	}
	if attempts.MayHaveRun() && !attempts.Repeatable && !g.unsafe.replay {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return last.Failure == endpoint.NoConnection || g.dispatcher.retry(c.account.Name)
}

// completed returns the answer with a whole response. The slot of a large one is held until its body was read.
func (g *Gateway) completed(choice routing.Choice, r endpoint.Result) answer {
	response := &request.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}
	a := answer{Result: request.Result{Outcome: request.Completed, Response: response}}
	if r.Response.Stream == nil {
		g.dispatcher.release(choice, report(r))
		return a
	}
	a.length = r.Response.Length
	a.stream = &slotStream{ReadCloser: r.Response.Stream, release: func() { g.dispatcher.release(choice, report(r)) }}
	return a
}

// slotStream gives the slot back when the body was read.
type slotStream struct {
	io.ReadCloser
	release func()
	closed  bool
}

// Close ends the exchange and gives the slot back.
func (s *slotStream) Close() error {
	err := s.ReadCloser.Close()
	if !s.closed {
		s.closed = true
		s.release()
	}
	return err
}

// report translates what came of an attempt for the endpoint table.
func report(r endpoint.Result) routing.Report {
	out := routing.Report{Took: r.Took, Inflight: r.Inflight, Incarnation: r.Incarnation, Leaving: r.Leaving}
	switch {
	case r.Failure == endpoint.Busy || r.Failure == endpoint.Withheld:
		out.Kind = routing.Abandoned
	case r.Failure == endpoint.NoConnection:
		out.Kind = routing.NoConnection
	case r.Failure != endpoint.NoFailure && r.Reused:
		out.Kind = routing.FailedReused
	case r.Failure != endpoint.NoFailure:
		out.Kind = routing.Failed
	case r.NotRun:
		out.Kind = routing.Refused
	case r.Response.Status >= http.StatusInternalServerError:
		out.Kind = routing.ServerError
	}
	return out
}

// failure returns the error of a failed attempt for the caller.
func failure(r endpoint.Result) error {
	switch {
	case r.NotRun:
		return errkind.New(errkind.Overloaded, "retry later with backoff", "endpoint refused the request before it ran")
	case r.Failure == endpoint.Withheld:
		return r.Err
	case !r.Written:
		return errkind.Wrap(r.Err, errkind.Unavailable, "retry later", "no endpoint could be reached")
	case r.Failure == endpoint.Timeout:
		return errkind.Wrap(r.Err, errkind.DeadlineExceeded, "ask the service whether the request ran",
			"endpoint did not respond in time")
	}
	return errkind.Wrap(r.Err, errkind.Unknown, "ask the service whether the request ran",
		"endpoint gave no valid response")
}

// reason returns the error of a request that got no further slot: that of its last attempt if there was one.
func reason(err error, last endpoint.Result) error {
	if last.Err != nil || last.NotRun {
		return failure(last)
	}
	return err
}
