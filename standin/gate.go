package standin

import (
	"net/http"
	"sync"
)

// GateFaults holds the faults of a gate.
type GateFaults struct {
	connectionFaults
}

// Gate serves a platform service at an additional address. A failure domain whose processes use their own gate can be
// cut off from the service while the other failure domains still reach it.
type Gate struct {
	service http.Handler

	mu sync.Mutex
	// mu guards faults.
	faults GateFaults
}

// NewGate returns a gate that forwards to service.
func NewGate(service http.Handler) *Gate { return &Gate{service: service} }

// SetFaults replaces the faults.
func (g *Gate) SetFaults(f GateFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// ServeHTTP implements http.Handler. It applies the faults of the gate and then forwards the request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	faults := g.faults
	g.mu.Unlock()
	if faults.apply(w, r) {
		g.service.ServeHTTP(w, r)
	}
}
