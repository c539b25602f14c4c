package endpoint

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// probeTimeout is the maximum duration of a probe.
const probeTimeout = time.Second

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// Connected reports whether the endpoint accepts connections.
	Connected bool
	// Incarnation and Leaving are what the endpoint reported about itself. Incarnation is empty if it was not queried or
	// not reported.
	Incarnation string
	Leaving     bool
}

// Probe opens a new connection to address, with at most maxOpen connections open to it. With queryIncarnation it sends
// "OPTIONS *", which is no work for the endpoint, to learn its incarnation.
func (p *Pools) Probe(ctx context.Context, address string, maxOpen int, queryIncarnation bool) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if queryIncarnation {
		return p.queryIncarnation(ctx, address, maxOpen)
	}
	pool := p.acquire(address)
	if pool == nil {
		return ProbeResult{}
	}
	defer p.release(pool)
	c, err := pool.get(ctx, maxOpen, true)
	if err != nil {
		// If all connections are in use, the endpoint does accept connections.
		return ProbeResult{Connected: errors.Is(err, errBusy)}
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closeConnLocked(c)
	return ProbeResult{Connected: true}
}

// queryIncarnation asks the endpoint for its incarnation.
func (p *Pools) queryIncarnation(ctx context.Context, address string, maxOpen int) ProbeResult {
	result := p.Attempt(ctx, address, maxOpen, &Request{
		ID:            uuid.NewString(),
		Method:        http.MethodOptions,
		Path:          "*",
		Deadline:      time.Now().Add(probeTimeout),
		Timeout:       probeTimeout,
		BufferBytes:   1 << 20,
		NewConnection: true,
		BeforeWrite:   func() error { return nil },
	})
	if result.Response != nil && result.Response.Stream != nil {
		result.Response.Stream.Close()
	}
	return ProbeResult{
		Connected:   result.Failure != NoConnection,
		Incarnation: result.Incarnation,
		Leaving:     result.Leaving,
	}
}
