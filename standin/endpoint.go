package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// Headers of the endpoint contract.
const (
	headerRequestID      = "Redwing-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Redwing-Outcome"
	headerInflight       = "Redwing-Endpoint-Inflight"
	headerIncarnation    = "Redwing-Endpoint-Incarnation"
	headerState          = "Redwing-Endpoint-State"
)

// EndpointOptions holds the limits and the speed of an endpoint.
type EndpointOptions struct {
	ID string
	// Slots is the maximum number of concurrent requests; 0 means 8. Further requests are refused as not run.
	Slots int
	// MaxConnections is the maximum number of open connections; 0 means 64. Further connections are closed at once.
	MaxConnections int
	// WorkTime is the processing time of a request. The query parameter work_ms overrides it.
	WorkTime time.Duration
}

// EndpointFaults holds the faults of an endpoint. The counts apply to the upcoming requests, at most one fault to each.
type EndpointFaults struct {
	connectionFaults
	// Leaving reports the endpoint as leaving in every response; it still runs requests.
	Leaving bool `json:"leaving,omitempty"`
	// FailEvery gives every n-th request status 500 after it ran; 0 for none.
	FailEvery int `json:"fail_every,omitempty"`
	// Refuse is the number of requests refused as not run.
	Refuse int `json:"refuse,omitempty"`
	// Truncate is the number of responses that are aborted after half of the body.
	Truncate int `json:"truncate,omitempty"`
	// Late is the number of responses that are sent LateMS milliseconds after the request ran.
	Late   int   `json:"late,omitempty"`
	LateMS int64 `json:"late_ms,omitempty"`
	// WrongID is the number of responses that carry the request id and the body of the previous request.
	WrongID int `json:"wrong_id,omitempty"`
	// Lose is the number of requests that run but whose connection is closed without a response.
	Lose int `json:"lose,omitempty"`
	// Restart simulates one restart: the incarnation changes.
	Restart bool `json:"restart,omitempty"`
}

// RequestRun is the number of times that one endpoint ran one request.
type RequestRun struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	// Path is the path with the query.
	Path string `json:"path"`
	// Key is the Idempotency-Key, or the request id of a request without one.
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// EndpointResponse is the JSON body of an endpoint's responses.
type EndpointResponse struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Run is the number of times that this endpoint has run this request, including this time.
	Run int `json:"run"`
	// Body is the request body.
	Body string `json:"body"`
}

// Endpoint is a stand-in for one instance of a service.
type Endpoint struct {
	options EndpointOptions

	mu sync.Mutex
	// mu guards the fields below.
	faults EndpointFaults
	// incarnation is the number of starts, from 1. inflight is the number of requests that occupy a slot, and requests
	// the number that have occupied one.
	incarnation int
	inflight    int
	requests    int
	// previousID and previousResponse are those of the last request that ran.
	previousID       string
	previousResponse EndpointResponse
	// runs counts the runs of each request. Count is 0 in its keys.
	runs        map[RequestRun]int
	connections map[net.Conn]bool
	stats       EndpointStats
	// leavingSince is when the endpoint began to report that it is leaving; zero if it does not.
	leavingSince time.Time
}

// NewEndpoint returns an endpoint without faults, whose counters are 0.
func NewEndpoint(options EndpointOptions) *Endpoint {
	if options.Slots == 0 {
		options.Slots = 8
	}
	if options.MaxConnections == 0 {
		options.MaxConnections = 64
	}
	return &Endpoint{
		options:     options,
		incarnation: 1,
		runs:        make(map[RequestRun]int),
		connections: make(map[net.Conn]bool),
		stats:       EndpointStats{Endpoint: options.ID},
	}
}

// SetFaults replaces the faults; Restart takes effect at once.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Restart {
		e.incarnation++
		f.Restart = false
	}
	if !f.Leaving {
		e.leavingSince = time.Time{}
	} else if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	e.faults = f
}

// Runs returns the run counters, sorted by path and key.
func (e *Endpoint) Runs() []RequestRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]RequestRun, 0, len(e.runs))
	for run, count := range e.runs {
		run.Count = count
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool {
		a, b := runs[i], runs[j]
		return a.Path < b.Path || a.Path == b.Path && a.Key < b.Key
	})
	return runs
}

// EndpointStats holds counters of an endpoint, with which tests check that gateways respect its limits.
type EndpointStats struct {
	Endpoint string `json:"endpoint"`
	// MaxConnections is the largest number of connections that were open at once, not counting refused ones.
	MaxConnections int `json:"max_connections"`
	// RefusedConnections counts the connections above the limit.
	RefusedConnections int `json:"refused_connections"`
	// MaxInflight is the largest number of requests that ran at once.
	MaxInflight int `json:"max_inflight"`
	// RefusedRequests counts the requests that were refused because no slot was free.
	RefusedRequests int `json:"refused_requests"`
	// LastWorkAfterLeavingMS is the time from the start of leaving to the last request that ran after it, in
	// milliseconds; 0 if none did.
	LastWorkAfterLeavingMS int64 `json:"last_work_after_leaving_ms"`
}

// Stats returns the counters.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// ConnState enforces the connection limit. It must be set as the ConnState hook of the http.Server.
func (e *Endpoint) ConnState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(e.connections) >= e.options.MaxConnections {
			e.stats.RefusedConnections++
			_ = c.Close()
			return
		}
		e.connections[c] = true
		e.stats.MaxConnections = max(e.stats.MaxConnections, len(e.connections))
	case http.StateClosed, http.StateHijacked:
		delete(e.connections, c)
	}
}

// Handler returns the HTTP handler of the endpoint.
func (e *Endpoint) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// requestPlan describes how one request is processed. It is determined when the request arrives.
type requestPlan struct {
	// EndpointFaults holds the faults that apply to this request.
	EndpointFaults
	refused     bool
	fail        bool
	responseID  string
	incarnation string
	response    EndpointResponse
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		// The request body is incomplete, so the request must not run.
		dropConnection()
	}
	e.mu.Lock()
	faults := e.faults.connectionFaults
	e.mu.Unlock()
	if !faults.apply(w, r) {
		return
	}
	p := e.admit(r, body)
	header := w.Header()
	header.Set(headerRequestID, p.responseID)
	header.Set(headerIncarnation, p.incarnation)
	if p.Leaving {
		header.Set(headerState, "leaving")
	}
	if p.refused {
		e.refuse(w)
		return
	}
	e.simulateWork(r)
	e.mu.Lock()
	e.inflight--
	inflight := e.inflight
	e.mu.Unlock()
	header.Set(headerInflight, strconv.Itoa(inflight))
	e.respond(w, p)
}

// admit occupies a slot, counts the run and assigns at most one fault to the request. If no slot is free or the fault
// Refuse applies, it only sets refused in the plan.
func (e *Endpoint) admit(r *http.Request, body []byte) requestPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(headerRequestID)
	p := requestPlan{responseID: id, incarnation: fmt.Sprintf("%s-%d", e.options.ID, e.incarnation)}
	p.Leaving = e.faults.Leaving
	full := e.inflight >= e.options.Slots
	if full {
		e.stats.RefusedRequests++
	}
	if full || consume(&e.faults.Refuse) {
		p.refused = true
		return p
	}
	e.inflight++
	e.stats.MaxInflight = max(e.stats.MaxInflight, e.inflight)
	if p.Leaving {
		e.stats.LastWorkAfterLeavingMS = time.Since(e.leavingSince).Milliseconds()
	}
	e.requests++
	response := EndpointResponse{
		Endpoint: e.options.ID, Method: r.Method, Path: r.URL.RequestURI(), Run: e.countRun(r), Body: string(body),
	}
	p.response = response
	p.fail = e.faults.FailEvery > 0 && e.requests%e.faults.FailEvery == 0
	switch {
	case consume(&e.faults.Lose):
		p.Lose = 1
	case consume(&e.faults.Truncate):
		p.Truncate = 1
	case consume(&e.faults.Late):
		p.LateMS = e.faults.LateMS
	case consume(&e.faults.WrongID):
		p.responseID, p.response = e.previousID, e.previousResponse
	}
	e.previousID, e.previousResponse = id, response
	return p
}

// consume decrements a positive count and reports whether it was positive.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// countRun counts a run of the request and returns its new count. mu must be held.
func (e *Endpoint) countRun(r *http.Request) int {
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = r.Header.Get(headerRequestID)
	}
	run := RequestRun{Endpoint: e.options.ID, Method: r.Method, Path: r.URL.RequestURI(), Key: key}
	e.runs[run]++
	return e.runs[run]
}

func (e *Endpoint) refuse(w http.ResponseWriter) {
	w.Header().Set(headerOutcome, "not_run")
	w.Header().Set(headerInflight, strconv.Itoa(e.options.Slots))
	body, _ := json.Marshal(errkind.As(errkind.New(errkind.Overloaded, "retry later", "endpoint has no free slot")))
	writeResponse(w, http.StatusServiceUnavailable, body)
}

// simulateWork waits for the processing time of the request. It continues if the client disconnects, as a real service
// may.
func (e *Endpoint) simulateWork(r *http.Request) {
	duration := e.options.WorkTime
	if ms, err := strconv.ParseInt(r.URL.Query().Get("work_ms"), 10, 64); err == nil && ms >= 0 {
		duration = milliseconds(min(ms, maxWaitMS))
	}
	time.Sleep(duration)
}

func (e *Endpoint) respond(w http.ResponseWriter, p requestPlan) {
	if p.Lose > 0 {
		dropConnection()
	}
	time.Sleep(milliseconds(p.LateMS))
	if p.fail {
		writeResponse(w, http.StatusInternalServerError, []byte(`{"error":"endpoint fails as asked"}`))
		return
	}
	body, _ := json.Marshal(p.response)
	if p.Truncate > 0 {
		writeHeaders(w, http.StatusOK, body)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		dropConnection()
	}
	writeResponse(w, http.StatusOK, body)
}

// writeHeaders writes the status and the headers that describe body.
func writeHeaders(w http.ResponseWriter, status int, body []byte) {
	digest := sha256.Sum256(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	w.WriteHeader(status)
}

func writeResponse(w http.ResponseWriter, status int, body []byte) {
	writeHeaders(w, status, body)
	_, _ = io.Copy(w, bytes.NewReader(body))
}
