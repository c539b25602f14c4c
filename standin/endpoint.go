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

// EndpointOptions holds the properties of an endpoint.
type EndpointOptions struct {
	ID string
	// Slots is the number of requests that run at once; 0 for 8. More are refused as not run.
	Slots int
	// MaxConnections is the number of open connections; 0 for 64. More are closed at once.
	MaxConnections int
	// Work is the time that a request runs. The query parameter work_ms overrides it.
	Work time.Duration
}

// EndpointFaults holds the faults of an endpoint. The counts apply to the next requests, one fault to each.
type EndpointFaults struct {
	connectionFaults
	// Leaving reports the endpoint as leaving in every response; it still runs requests.
	Leaving bool `json:"leaving,omitempty"`
	// FailEvery answers every n-th request with status 500 after it ran; 0 for none.
	FailEvery int `json:"fail_every,omitempty"`
	// Refuse is the number of requests refused as not run.
	Refuse int `json:"refuse,omitempty"`
	// Truncate is the number of responses cut off after half of the body.
	Truncate int `json:"truncate,omitempty"`
	// Late is the number of responses sent LateMS milliseconds after the work.
	Late   int   `json:"late,omitempty"`
	LateMS int64 `json:"late_ms,omitempty"`
	// WrongID is the number of responses that carry the id and the body of the response before.
	WrongID int `json:"wrong_id,omitempty"`
	// Lose is the number of requests that run and whose response is lost with the connection.
	Lose int `json:"lose,omitempty"`
	// Restart changes the incarnation once.
	Restart bool `json:"restart,omitempty"`
}

// RequestRun counts the runs of one request on one endpoint.
type RequestRun struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	// Path is the path with the query.
	Path string `json:"path"`
	// Key is the Idempotency-Key, or the request id of a request without one.
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// EndpointReply is the JSON body of an endpoint's responses.
type EndpointReply struct {
	Endpoint string `json:"endpoint"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Run is the count of the runs of this request on this endpoint.
	Run int `json:"run"`
	// Body is the request body.
	Body string `json:"body"`
}

// Endpoint is a stand-in for one instance of a service.
type Endpoint struct {
	options EndpointOptions

	mu sync.Mutex
	// The fields below are guarded by mu.
	faults      EndpointFaults
	incarnation int
	inflight    int
	requests    int
	previousID  string
	previous    EndpointReply
	runs        map[RequestRun]int
	connections map[net.Conn]bool
	stats       EndpointStats
	// leavingSince is when the endpoint turned leaving; zero if it is not.
	leavingSince time.Time
}

// NewEndpoint returns an endpoint that ran no request.
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

// SetFaults replaces the faults.
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

// Runs returns the run counters by path, then key.
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

// EndpointStats holds counters of an endpoint that trials check against the contract.
type EndpointStats struct {
	Endpoint string `json:"endpoint"`
	// MaxConnections is the largest number of connections open at once, refused ones left out.
	MaxConnections int `json:"max_connections"`
	// RefusedConnections counts the connections above the limit.
	RefusedConnections int `json:"refused_connections"`
	// MaxInflight is the largest number of requests that ran at once.
	MaxInflight int `json:"max_inflight"`
	// RefusedRequests counts the requests that found no slot.
	RefusedRequests int `json:"refused_requests"`
	// LastWorkAfterLeavingMS is the time from turning leaving to the last request that ran after it; 0 for none.
	LastWorkAfterLeavingMS int64 `json:"last_work_after_leaving_ms"`
}

// Stats returns the counters.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// ConnState enforces the connection limit; it is the hook of an http.Server.
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

// Handler returns the HTTP service.
func (e *Endpoint) Handler() http.Handler { return http.HandlerFunc(e.serve) }

// plan is what happens to one request, decided when it arrives.
type plan struct {
	EndpointFaults
	refused     bool
	fail        bool
	responseID  string
	incarnation string
	reply       EndpointReply
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		// The request did not arrive whole, so it must not run.
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
	e.work(r)
	e.mu.Lock()
	e.inflight--
	inflight := e.inflight
	e.mu.Unlock()
	header.Set(headerInflight, strconv.Itoa(inflight))
	e.respond(w, p)
}

// admit takes a slot, counts the run and takes the faults of this request.
func (e *Endpoint) admit(r *http.Request, body []byte) plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(headerRequestID)
	p := plan{responseID: id, incarnation: fmt.Sprintf("%s-%d", e.options.ID, e.incarnation)}
	p.Leaving = e.faults.Leaving
	full := e.inflight >= e.options.Slots
	if full {
		e.stats.RefusedRequests++
	}
	if full || take(&e.faults.Refuse) {
		p.refused = true
		return p
	}
	e.inflight++
	e.stats.MaxInflight = max(e.stats.MaxInflight, e.inflight)
	if p.Leaving {
		e.stats.LastWorkAfterLeavingMS = time.Since(e.leavingSince).Milliseconds()
	}
	e.requests++
	reply := EndpointReply{
		Endpoint: e.options.ID, Method: r.Method, Path: r.URL.RequestURI(), Run: e.count(r), Body: string(body),
	}
	p.reply = reply
	p.fail = e.faults.FailEvery > 0 && e.requests%e.faults.FailEvery == 0
	switch {
	case take(&e.faults.Lose):
		p.Lose = 1
	case take(&e.faults.Truncate):
		p.Truncate = 1
	case take(&e.faults.Late):
		p.LateMS = e.faults.LateMS
	case take(&e.faults.WrongID):
		p.responseID, p.reply = e.previousID, e.previous
	}
	e.previousID, e.previous = id, reply
	return p
}

// take reports whether count is above 0 and lowers it.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// count counts a run of the request. The caller holds mu.
func (e *Endpoint) count(r *http.Request) int {
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
	writeWhole(w, http.StatusServiceUnavailable, body)
}

// work runs the request. It goes on when the caller leaves, as a real service may.
func (e *Endpoint) work(r *http.Request) {
	length := e.options.Work
	if ms, err := strconv.ParseInt(r.URL.Query().Get("work_ms"), 10, 64); err == nil && ms >= 0 {
		length = milliseconds(min(ms, maxWaitMS))
	}
	time.Sleep(length)
}

func (e *Endpoint) respond(w http.ResponseWriter, p plan) {
	if p.Lose > 0 {
		dropConnection()
	}
	time.Sleep(milliseconds(p.LateMS))
	if p.fail {
		writeWhole(w, http.StatusInternalServerError, []byte(`{"error":"endpoint fails as asked"}`))
		return
	}
	body, _ := json.Marshal(p.reply)
	if p.Truncate > 0 {
		writeHead(w, http.StatusOK, body)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		dropConnection()
	}
	writeWhole(w, http.StatusOK, body)
}

// writeHead writes the headers that describe body.
func writeHead(w http.ResponseWriter, status int, body []byte) {
	digest := sha256.Sum256(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(digest[:])+":")
	w.WriteHeader(status)
}

func writeWhole(w http.ResponseWriter, status int, body []byte) {
	writeHead(w, status, body)
	_, _ = io.Copy(w, bytes.NewReader(body))
}
