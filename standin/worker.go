package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// Worker is a stand-in for a worker: a VM that runs tasks under leases.
type Worker struct {
	mu sync.Mutex
	// mu guards state.
	state *workerState
}

// NewWorker returns a worker that has no tasks and has granted no lease.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{state: newWorkerState(options)}
}

// SetFaults replaces the faults; Restart takes effect at once.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.state.advance(now)
	w.state.setFaults(f, now)
}

// Commands applies a request of POST /v1/commands at time now. A malformed request is rejected with an error of kind
// errkind.BadInput and changes nothing.
func (w *Worker) Commands(request infra.CommandsRequest, now time.Time) (infra.CommandsResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.advance(now)
	return w.state.commands(request, now)
}

// Inventory returns the inventory at time now.
func (w *Worker) Inventory(now time.Time) infra.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.advance(now)
	return w.state.inventory()
}

// TaskRuns returns how often each member of each job was released on this worker, sorted by job and member.
func (w *Worker) TaskRuns() []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.taskRuns()
}

// Handler returns the HTTP handler of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/commands", w.serveCommands)
	mux.HandleFunc("GET /v1/inventory", func(rw http.ResponseWriter, r *http.Request) {
		if w.currentFaults().apply(rw, r) {
			writeJSON(rw, http.StatusOK, w.Inventory(time.Now()))
		}
	})
	return mux
}

func (w *Worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	if !w.currentFaults().apply(rw, r) {
		return
	}
	var request infra.CommandsRequest
	if err := readJSON(r, &request); err != nil {
		writeError(rw, err)
		return
	}
	response, err := w.Commands(request, time.Now())
	if err != nil {
		writeError(rw, err)
		return
	}
	if w.consumeLostResponse() {
		dropConnection()
	}
	writeJSON(rw, http.StatusOK, response)
}

func (w *Worker) currentFaults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.faults
}

// consumeLostResponse reports whether the response to the current commands request must be lost. If so, it decrements the
// number of responses to lose.
func (w *Worker) consumeLostResponse() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.faults.LoseResponses == 0 {
		return false
	}
	w.state.faults.LoseResponses--
	return true
}
