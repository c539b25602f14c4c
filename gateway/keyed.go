package gateway

import (
	"context"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/request"
)

// execution is a running request with a key. Requests that repeat the key wait for done.
type execution struct {
	done chan struct{}
	// result is set before done is closed.
	result request.Result
}

// runKeyed runs a request whose key this gateway issued. A request that repeats the key waits for the running one or gets
// the stored result.
func (g *Gateway) runKeyed(ctx context.Context, c *callerRequest) callerResponse {
	d, e, outcome, err := g.begin(c)
	if err != nil {
		return errorResponse(outcome, err)
	}
	switch d.Action {
	case request.Replay:
		g.meters.replayed.Inc(1)
		return callerResponse{Result: d.Result}
	case request.Join:
		return awaitExecution(ctx, c, e)
	}
	g.dispatcher.countFirstAttempt(c.account.Name)
	if !c.implicitKey {
		// The request continues if the caller disconnects: the caller may fetch the result through another gateway.
		ctx = context.WithoutCancel(ctx)
	}
	resp := g.run(ctx, c, d.Attempts)
	g.finish(c.key.Sequence, e, storable(resp))
	return resp
}

// begin looks up the key of c and registers an execution if the request may run. The execution is also set if the
// request must wait for the running one. The outcome is that of the request if begin returns an error, else empty.
func (g *Gateway) begin(c *callerRequest) (request.Decision, *execution, request.Outcome, error) {
	g.keysMu.Lock()
	defer g.keysMu.Unlock()
	d, outcome, err := g.keys.Begin(c.account.Name, c.key, c.fingerprint())
	if err != nil {
		return d, nil, outcome, err
	}
	e := g.executions[c.key.Sequence]
	if d.Action == request.Run {
		e = &execution{done: make(chan struct{})}
		g.executions[c.key.Sequence] = e
	}
	return d, e, "", nil
}

// finish stores the result of an execution and wakes the requests that wait for it.
func (g *Gateway) finish(sequence uint64, e *execution, result request.Result) {
	g.keysMu.Lock()
	g.keys.Finish(sequence, result)
	delete(g.executions, sequence)
	g.keysMu.Unlock()
	e.result = result
	close(e.done)
}

// storable returns the result to store for requests that repeat the key. A streamed body is not stored, so they get the
// outcome unknown.
func storable(resp callerResponse) request.Result {
	if resp.stream == nil {
		return resp.Result
	}
	return request.Result{Outcome: request.Unknown, Err: errkind.New(errkind.Unknown,
		"ask the service whether the request ran", "the response was too large to be stored")}
}

// awaitExecution waits for the result of a running request with the same key.
func awaitExecution(ctx context.Context, c *callerRequest, e *execution) callerResponse {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	select {
	case <-e.done:
		return callerResponse{Result: e.result}
	case <-ctx.Done():
		return errorResponse(request.Unknown, errkind.New(errkind.DeadlineExceeded,
			"send the same request with the same key again", "deadline passed while the request was still running"))
	}
}

// rejectNew responds to a request that arrives after the gateway stopped accepting requests. A key that has not run is
// marked as used, so that it never runs.
func (g *Gateway) rejectNew(c *callerRequest) callerResponse {
	if c.keyText == "" {
		return errorResponse(request.NotRun, errShuttingDown())
	}
	if c.key.Owner != g.owner {
		return errorResponse(request.Unknown, errShuttingDown())
	}
	d, e, outcome, err := g.begin(c)
	switch {
	case err != nil:
		return errorResponse(outcome, err)
	case d.Action == request.Replay:
		return callerResponse{Result: d.Result}
	case d.Action == request.Join:
		return errorResponse(request.Unknown, errShuttingDown())
	}
	result := request.Result{Outcome: request.NotRun, Err: errShuttingDown()}
	g.finish(c.key.Sequence, e, result)
	return callerResponse{Result: result}
}
