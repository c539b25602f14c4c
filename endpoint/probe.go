package endpoint

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// probeTimeout bounds a probe.
const probeTimeout = time.Second

// ProbeResult is what a probe learned.
type ProbeResult struct {
	Connected   bool
	Incarnation string
	Leaving     bool
}

// Probe opens a new connection to address. With ask it sends "OPTIONS *", which is no work, to learn the incarnation.
func (p *Pools) Probe(ctx context.Context, address string, maxOpen int, ask bool) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if ask {
		return p.ask(ctx, address, maxOpen)
	}
	pool := p.pool(address)
	if pool == nil {
		return ProbeResult{}
	}
	c, err := pool.get(ctx, maxOpen, true)
	if err != nil {
		// All connections being in use says that the endpoint accepts some.
		return ProbeResult{Connected: errors.Is(err, errBusy)}
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dropLocked(c)
	return ProbeResult{Connected: true}
}

// ask asks the endpoint for its incarnation.
func (p *Pools) ask(ctx context.Context, address string, maxOpen int) ProbeResult {
	result := p.Attempt(ctx, address, maxOpen, &Request{
		ID:          uuid.NewString(),
		Method:      http.MethodOptions,
		Path:        "*",
		Deadline:    time.Now().Add(probeTimeout),
		Timeout:     probeTimeout,
		BufferBytes: 1 << 20,
		Fresh:       true,
		BeforeWrite: func() error { return nil },
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
