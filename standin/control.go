package standin

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/redwingthread/redwingthread/errkind"
)

// FaultsRequest is the body of POST /v1/faults on the control service. It replaces the faults of one stand-in. The
// field for the kind of the target must be set; an empty object clears all its faults.
type FaultsRequest struct {
	// Target is "log", "vm_list", or the id of a gate, worker or endpoint.
	Target   string          `json:"target"`
	Log      *LogFaults      `json:"log,omitempty"`
	VMList   *VMListFaults   `json:"vm_list,omitempty"`
	Gate     *GateFaults     `json:"gate,omitempty"`
	Worker   *WorkerFaults   `json:"worker,omitempty"`
	Endpoint *EndpointFaults `json:"endpoint,omitempty"`
}

// RunsResponse is the body of the response to GET /v1/runs on the control service.
type RunsResponse struct {
	Requests []RequestRun `json:"requests"`
	Tasks    []TaskRun    `json:"tasks"`
}

// controlHandler returns the handler of the control service: POST /v1/faults, POST /v1/vms, GET /v1/runs, GET
// /v1/runs.txt, GET /v1/endpoints and GET /v1/addresses.
func (s *Set) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", s.serveFaults)
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.EndpointStats())
	})
	mux.HandleFunc("GET /v1/runs.txt", s.serveRunsText)
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.addresses)
	})
	if s.VMList != nil {
		mux.HandleFunc("POST /v1/vms", s.VMList.serveVMChange)
	}
	return mux
}

// serveRunsText writes one line for each counter, for scripts without a JSON parser: "request METHOD PATH COUNT" and
// "task JOB MEMBER COUNT".
func (s *Set) serveRunsText(w http.ResponseWriter, _ *http.Request) {
	runs := s.Runs()
	for _, r := range runs.Requests {
		fmt.Fprintln(w, "request", r.Method, r.Path, r.Count)
	}
	for _, t := range runs.Tasks {
		fmt.Fprintln(w, "task", t.Job, t.Member, t.Count)
	}
}

func (s *Set) serveFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultsRequest
	if err := readJSON(r, &request); err != nil {
		writeError(w, err)
		return
	}
	if err := s.SetFaults(request); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, request)
}

// SetFaults replaces the faults of one stand-in. It returns an error of kind errkind.BadInput if the target does not
// run or the field for its kind is not set.
func (s *Set) SetFaults(request FaultsRequest) error {
	gate, worker, endpoint := s.Gates[request.Target], s.Workers[request.Target], s.Endpoints[request.Target]
	switch {
	case request.Target == "log" && s.Log != nil && request.Log != nil:
		s.Log.SetFaults(*request.Log)
	case request.Target == "vm_list" && s.VMList != nil && request.VMList != nil:
		s.VMList.SetFaults(*request.VMList)
	case gate != nil && request.Gate != nil:
		gate.SetFaults(*request.Gate)
	case worker != nil && request.Worker != nil:
		worker.SetFaults(*request.Worker)
	case endpoint != nil && request.Endpoint != nil:
		endpoint.SetFaults(*request.Endpoint)
	default:
		return errkind.New(errkind.BadInput, "name a running stand-in and set the field of its kind",
			"fault target %q is not running, or the field of its kind is missing", request.Target)
	}
	return nil
}

// Runs returns the run counters of all endpoints and workers, sorted by the id of the endpoint or worker.
func (s *Set) Runs() RunsResponse {
	response := RunsResponse{Requests: []RequestRun{}, Tasks: []TaskRun{}}
	for _, id := range sortedKeys(s.Endpoints) {
		response.Requests = append(response.Requests, s.Endpoints[id].Runs()...)
	}
	for _, id := range sortedKeys(s.Workers) {
		response.Tasks = append(response.Tasks, s.Workers[id].TaskRuns()...)
	}
	return response
}

// EndpointStats returns the counters of all endpoints, sorted by id.
func (s *Set) EndpointStats() []EndpointStats {
	stats := []EndpointStats{}
	for _, id := range sortedKeys(s.Endpoints) {
		stats = append(stats, s.Endpoints[id].Stats())
	}
	return stats
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
