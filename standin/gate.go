package standin

import (
	"net/http"
	"sync"
)

// GateFaults holds the faults of a gate.
type GateFaults struct {
	connectionFaults
}

// Gate is one more address of a platform service. A failure domain whose processes use a gate of their own can be cut
// off from the service without a fault of the others.
type Gate struct {
	service http.Handler

	mu sync.Mutex
	// faults is guarded by mu.
	faults GateFaults
}

// NewGate returns a gate to the service.
func NewGate(service http.Handler) *Gate { return &Gate{service: service} }

// SetFaults replaces the faults.
func (g *Gate) SetFaults(f GateFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	faults := g.faults
	g.mu.Unlock()
	if faults.apply(w, r) {
		g.service.ServeHTTP(w, r)
	}
}
