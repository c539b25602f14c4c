package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/endpoint"
)

// fault is a deliberate fault of a fake endpoint in one exchange.
type fault string

const (
	healthy    fault = ""
	truncated  fault = "truncated"
	corrupted  fault = "corrupted"
	crossed    fault = "crossed" // the response carries the id of another request
	duplicated fault = "duplicated"
	noResponse fault = "no answer"
	resetAfter fault = "reset after the request ran"
	fails      fault = "fails"
	notRun503  fault = "503 with not_run"
	plain503   fault = "503 without not_run"
	chunked    fault = "no length"
)

// run is one request that an endpoint ran.
type run struct {
	endpoint string
	method   string
	tag      string
	at       time.Time
}

// runLog records the requests that all endpoints ran.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns a copy of the recorded runs.
func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// count returns the number of runs with a tag.
func (l *runLog) count(tag string) int {
	n := 0
	for _, r := range l.all() {
		if r.tag == tag {
			n++
		}
	}
	return n
}

// fakeEndpoint is an endpoint that keeps the endpoint contract except for injected faults.
type fakeEndpoint struct {
	id, address, incarnation string
	// slots is the number of requests that run at the same time; 0 means no limit.
	slots int
	// reportsArrival makes the endpoint report its load as of the arrival of the request instead of the response.
	reportsArrival bool
	runLog         *runLog
	// serviceTime returns the service time of a request; nil for 0.
	serviceTime func() time.Duration
	// nextFault returns the fault of the next exchange; nil for no faults.
	nextFault func(r *http.Request) fault
	// responseDelay returns the delay of a response after the request ran; nil for 0.
	responseDelay func() time.Duration

	mu       sync.Mutex
	inflight int
	conns    int
	maxConns int
	waiting  []chan struct{}
	leaving  bool
	listener net.Listener
}

func (e *fakeEndpoint) serve(l net.Listener) {
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *fakeEndpoint) stopListening() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Close()
}

// mostConns returns the maximum number of connections that were open at the same time.
func (e *fakeEndpoint) mostConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxConns
}

func (e *fakeEndpoint) countConn(by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns += by
	e.maxConns = max(e.maxConns, e.conns)
}

func (e *fakeEndpoint) serveConn(c net.Conn) {
	e.countConn(1)
	defer e.countConn(-1)
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.exchange(c, r, body) {
			return
		}
	}
}

// slot waits for a free slot and returns the load at arrival.
func (e *fakeEndpoint) slot() int {
	e.mu.Lock()
	e.inflight++
	load := e.inflight
	if e.slots == 0 || load <= e.slots {
		e.mu.Unlock()
		return load
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	<-turn
	return load
}

func (e *fakeEndpoint) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inflight--
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// exchange runs a request, except with notRun503 or OPTIONS *, and writes the response. It reports whether the
// connection stays open.
func (e *fakeEndpoint) exchange(c net.Conn, r *http.Request, body []byte) bool {
	if r.Method == http.MethodOptions && r.URL.Path == "*" {
		return e.respond(c, r, http.StatusNoContent, nil, healthy)
	}
	f := healthy
	if e.nextFault != nil {
		f = e.nextFault(r)
	}
	if f == notRun503 {
		return e.respond(c, r, http.StatusServiceUnavailable, nil, f)
	}
	arrival := e.slot()
	if e.reportsArrival {
		r.Header.Set("Arrival-Load", strconv.Itoa(arrival))
	}
	defer e.freeSlot()
	e.runLog.add(run{endpoint: e.id, method: r.Method, tag: string(body), at: time.Now()})
	if e.serviceTime != nil {
		time.Sleep(e.serviceTime())
	}
	if e.responseDelay != nil {
		time.Sleep(e.responseDelay())
	}
	switch f {
	case noResponse:
		time.Sleep(time.Hour)
		return false
	case resetAfter:
		return false
	case fails, plain503:
		return e.respond(c, r, http.StatusServiceUnavailable, []byte("failed"), f)
	}
	return e.respond(c, r, http.StatusOK, append([]byte("done:"), body...), f)
}

func (e *fakeEndpoint) respond(c net.Conn, r *http.Request, status int, body []byte, f fault) bool {
	e.mu.Lock()
	leaving, incarnation, load := e.leaving, e.incarnation, e.inflight
	e.mu.Unlock()
	if at, err := strconv.Atoi(r.Header.Get("Arrival-Load")); err == nil {
		load = at
	}
	id := r.Header.Get(endpoint.HeaderRequestID)
	if f == crossed {
		id = "another"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\n%s: %s\r\n", status, endpoint.HeaderRequestID, id)
	fmt.Fprintf(&b, "Content-Digest: %s\r\n%s: %d\r\n", endpoint.FormatDigest(body), endpoint.HeaderInflight, load)
	fmt.Fprintf(&b, "%s: %s\r\n", endpoint.HeaderIncarnation, incarnation)
	if leaving {
		fmt.Fprintf(&b, "%s: leaving\r\n", endpoint.HeaderState)
	}
	if f == notRun503 {
		fmt.Fprintf(&b, "%s: not_run\r\n", endpoint.HeaderOutcome)
	}
	if f == corrupted && len(body) > 0 {
		body = append([]byte("x"), body[1:]...)
	}
	if f != chunked {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if r.Method != http.MethodHead {
		b.Write(body)
	}
	data := b.Bytes()
	switch f {
	case truncated:
		data = data[:len(data)-2]
	case duplicated:
		data = append(data, data...)
	}
	_, err := c.Write(data)
	return err == nil && f != truncated && f != chunked
}
