package gateway

import (
	"context"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/request"
)

// flight is a running key. Requests that repeat it wait for done.
type flight struct {
	done chan struct{}
	// result is set before done is closed.
	result request.Result
}

// runKeyed carries out a request whose key this gateway issued, or gives what is known of it.
func (g *Gateway) runKeyed(ctx context.Context, c *call) answer {
	d, f, outcome, err := g.begin(c)
	if err != nil {
		return refusal(outcome, err)
	}
	switch d.Action {
	case request.Replay:
		g.meters.replayed.Inc(1)
		return answer{Result: d.Result}
	case request.Join:
		return join(ctx, c, f)
	}
	g.dispatcher.first(c.account.Name)
	if !c.issued {
		// The caller may come back for the result at another gateway after its connection broke.
		ctx = context.WithoutCancel(ctx)
	}
	a := g.run(ctx, c, d.Attempts)
	g.finish(c.key.Sequence, f, storable(a))
	return a
}

// begin looks a key up and registers the flight of one that may run.
func (g *Gateway) begin(c *call) (request.Decision, *flight, request.Outcome, error) {
	g.keysMu.Lock()
	defer g.keysMu.Unlock()
	d, outcome, err := g.keys.Begin(c.account.Name, c.key, c.fingerprint())
	if err != nil {
		return d, nil, outcome, err
	}
	f := g.flights[c.key.Sequence]
	if d.Action == request.Run {
		f = &flight{done: make(chan struct{})}
		g.flights[c.key.Sequence] = f
	}
	return d, f, "", nil
}

// finish ends a flight and stores its result.
func (g *Gateway) finish(sequence uint64, f *flight, result request.Result) {
	g.keysMu.Lock()
	g.keys.Finish(sequence, result)
	delete(g.flights, sequence)
	g.keysMu.Unlock()
	f.result = result
	close(f.done)
}

// storable returns the result that repeats of the request get. A body that is passed on while it arrives is not kept.
func storable(a answer) request.Result {
	if a.stream == nil {
		return a.Result
	}
	return request.Result{Outcome: request.Unknown, Err: errkind.New(errkind.Unknown,
		"ask the service whether the request ran", "the response was too large to be stored")}
}

// join waits for the result of the same request.
func join(ctx context.Context, c *call, f *flight) answer {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	select {
	case <-f.done:
		return answer{Result: f.result}
	case <-ctx.Done():
		return refusal(request.Unknown, errkind.New(errkind.DeadlineExceeded,
			"send the same request with the same key again", "the request is still running"))
	}
}

// refuseNew answers a request that arrives after the gateway stopped accepting. A key that did not run before never
// will.
func (g *Gateway) refuseNew(c *call) answer {
	if c.keyText == "" {
		return refusal(request.NotRun, errShuttingDown())
	}
	if c.key.Owner != g.owner {
		return refusal(request.Unknown, errShuttingDown())
	}
	d, f, outcome, err := g.begin(c)
	switch {
	case err != nil:
		return refusal(outcome, err)
	case d.Action == request.Replay:
		return answer{Result: d.Result}
	case d.Action == request.Join:
		return refusal(request.Unknown, errShuttingDown())
	}
	result := request.Result{Outcome: request.NotRun, Err: errShuttingDown()}
	g.finish(c.key.Sequence, f, result)
	return answer{Result: result}
}
