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

// Limits of attempts.
const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 4
	// An attempt of an idempotent request times out after attemptTimeoutFactor times the mean exchange time, but not
	// before minAttemptTimeout. A connection that never responds then costs seconds instead of the whole deadline.
	minAttemptTimeout    = 2 * time.Second
	attemptTimeoutFactor = 8
	// defaultExchangeTimeout is the exchange timeout of a service that configures none.
	defaultExchangeTimeout = 30 * time.Second
	// retryBackoff is the delay before the second attempt; it doubles with each further one.
	retryBackoff = 2 * time.Millisecond
)

// run makes attempts until the request is completed or must not be retried. Only idempotent requests and requests that
// certainly did not run are retried.
func (g *Gateway) run(ctx context.Context, c *callerRequest, attempts *request.Attempts) callerResponse {
	if !g.seated.Load() {
		return errorResponse(request.NotRun, errNoSeat())
	}
	var tried []string
	var last endpoint.Result
	for n := 1; ; n++ {
		choice, err := g.dispatcher.acquire(ctx, c, tried)
		if err != nil {
			return errorResponse(g.outcomeOf(attempts), acquireError(err, last))
		}
		last = g.attempt(ctx, c, choice, attempts, n)
		if last.Response != nil && !last.NotRun {
			return g.completedResponse(choice, last)
		}
		g.dispatcher.release(choice, routingReport(last))
		if !g.mayRetry(c, attempts, last, n) {
			return errorResponse(g.outcomeOf(attempts), attemptError(last))
		}
		g.meters.retries.Inc(1)
		tried = append(tried, choice.Endpoint)
		if !waitBackoff(ctx, retryBackoff<<(n-1), c.deadline) {
			return errorResponse(g.outcomeOf(attempts), attemptError(last))
		}
	}
}

// waitBackoff waits for d and reports whether it did. It returns false at once if the deadline comes first, and as soon
// as ctx ends.
func waitBackoff(ctx context.Context, d time.Duration, deadline time.Time) bool {
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

// outcomeOf returns the outcome of a request that is not completed after the given attempts.
func (g *Gateway) outcomeOf(a *request.Attempts) request.Outcome {
	if a.MayHaveRun() && !g.unsafe.claimNotRun {
		return request.Unknown
	}
	return request.NotRun
}

// attempt makes one attempt at the chosen endpoint.
func (g *Gateway) attempt(ctx context.Context, c *callerRequest, choice routing.Choice, attempts *request.Attempts, n int) endpoint.Result {
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
		Timeout:     g.exchangeTimeout(c),
		BufferBytes: maxBody(c.config),
		BeforeWrite: func() error {
			if !time.Now().Before(c.deadline) {
				return errDeadline()
			}
			g.dispatcher.checkDispatch(choice)
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

// exchangeTimeout returns the timeout of one exchange: that of the service, or less for an idempotent request (see
// minAttemptTimeout).
func (g *Gateway) exchangeTimeout(c *callerRequest) time.Duration {
	timeout := time.Duration(c.config.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultExchangeTimeout
	}
	if c.idempotent {
		timeout = min(timeout, max(minAttemptTimeout, attemptTimeoutFactor*g.dispatcher.serviceTime(c.service)))
	}
	return timeout
}

// mayRetry reports whether another attempt is allowed after attempt number n. If so, it takes the attempt from the
// account's retry budget. An attempt after a failed dial costs no budget, since the endpoint did no work.
func (g *Gateway) mayRetry(c *callerRequest, attempts *request.Attempts, last endpoint.Result, n int) bool {
	if n >= maxAttempts || last.Failure == endpoint.NotSent {
		return false
	}
	if attempts.MayHaveRun() && !attempts.Idempotent && !g.unsafe.retryAlways {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return last.Failure == endpoint.NoConnection || g.dispatcher.takeRetry(c.account.Name)
}

// completedResponse returns the response of a successful attempt and releases the slot of the choice. The slot of a
// streamed response is released when its body is closed.
func (g *Gateway) completedResponse(choice routing.Choice, r endpoint.Result) callerResponse {
	response := &request.Response{Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body}
	resp := callerResponse{Result: request.Result{Outcome: request.Completed, Response: response}}
	if r.Response.Stream == nil {
		g.dispatcher.release(choice, routingReport(r))
		return resp
	}
	resp.length = r.Response.Length
	resp.stream = &slotStream{
		ReadCloser: r.Response.Stream,
		release:    func() { g.dispatcher.release(choice, routingReport(r)) },
	}
	return resp
}

// slotStream is a response body that releases the endpoint slot when it is closed.
type slotStream struct {
	io.ReadCloser
	release func()
	closed  bool
}

// Close ends the exchange and releases the slot. Further calls do not release it again.
func (s *slotStream) Close() error {
	err := s.ReadCloser.Close()
	if !s.closed {
		s.closed = true
		s.release()
	}
	return err
}

// routingReport converts the result of an attempt to a report for the endpoint table.
func routingReport(r endpoint.Result) routing.Report {
	report := routing.Report{Took: r.Took, Inflight: r.Inflight, Incarnation: r.Incarnation, Leaving: r.Leaving}
	switch {
	case r.Failure == endpoint.Busy || r.Failure == endpoint.NotSent:
		report.Kind = routing.Abandoned
	case r.Failure == endpoint.NoConnection:
		report.Kind = routing.NoConnection
	case r.Failure != endpoint.NoFailure && r.Reused:
		report.Kind = routing.FailedReused
	case r.Failure != endpoint.NoFailure:
		report.Kind = routing.Failed
	case r.NotRun:
		report.Kind = routing.Rejected
	case r.Response.Status >= http.StatusInternalServerError:
		report.Kind = routing.ServerError
	}
	return report
}

// attemptError returns the error that the caller gets for a failed attempt.
func attemptError(r endpoint.Result) error {
	switch {
	case r.NotRun:
		return errkind.New(errkind.Overloaded, "retry later with backoff", "endpoint rejected the request without running it")
	case r.Failure == endpoint.NotSent:
		return r.Err
	case !r.Written:
		return errkind.Wrap(r.Err, errkind.Unavailable, "retry later", "request could not be sent to an endpoint")
	case r.Failure == endpoint.Timeout:
		return errkind.Wrap(r.Err, errkind.DeadlineExceeded, "ask the service whether the request ran",
			"endpoint did not respond within the timeout")
	}
	return errkind.Wrap(r.Err, errkind.Unknown, "ask the service whether the request ran",
		"endpoint sent no valid response")
}

// acquireError returns the error of a request that got no slot: the error of its last attempt if there was one, else
// err.
func acquireError(err error, last endpoint.Result) error {
	if last.Err != nil || last.NotRun {
		return attemptError(last)
	}
	return err
}
