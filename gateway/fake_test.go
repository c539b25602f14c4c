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

// fault is what a fake endpoint does wrong in one exchange.
type fault string

const (
	healthy    fault = ""
	truncated  fault = "truncated"
	corrupted  fault = "corrupted"
	crossed    fault = "crossed"
	duplicated fault = "duplicated"
	noAnswer   fault = "no answer"
	resetAfter fault = "reset after the request ran"
	fails      fault = "fails"
	refusesRun fault = "503 with not_run"
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

// ledger records what all endpoints ran.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns a copy of the recorded runs.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// of counts the runs with a tag.
func (l *ledger) of(tag string) int {
	n := 0
	for _, r := range l.all() {
		if r.tag == tag {
			n++
		}
	}
	return n
}

// fakeEndpoint is an endpoint that keeps the contract except for the faults it is told to commit.
type fakeEndpoint struct {
	id, address, incarnation string
	slots                    int
	// reportsArrival makes the endpoint report its load at the arrival of a request, not at its response.
	reportsArrival bool
	ledger         *ledger
	// takes returns the service time of a request.
	takes func() time.Duration
	// next returns the fault of the next exchange, nil for none.
	next func(r *http.Request) fault
	// delayAnswer returns the delay of a response after the request ran, nil for none.
	delayAnswer func() time.Duration

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

// mostConns returns the most connections that were open at once.
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

// slot waits for one of the endpoint's slots and returns the load at arrival.
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

// exchange runs a request and responds. It reports whether the connection stays open.
func (e *fakeEndpoint) exchange(c net.Conn, r *http.Request, body []byte) bool {
	if r.Method == http.MethodOptions && r.URL.Path == "*" {
		return e.respond(c, r, http.StatusNoContent, nil, healthy)
	}
	f := healthy
	if e.next != nil {
		f = e.next(r)
	}
	if f == refusesRun {
		return e.respond(c, r, http.StatusServiceUnavailable, nil, f)
	}
	arrival := e.slot()
	if e.reportsArrival {
		r.Header.Set("Arrival-Load", strconv.Itoa(arrival))
	}
	defer e.freeSlot()
	e.ledger.add(run{endpoint: e.id, method: r.Method, tag: string(body), at: time.Now()})
	if e.takes != nil {
		time.Sleep(e.takes())
	}
	if e.delayAnswer != nil {
		time.Sleep(e.delayAnswer())
	}
	switch f {
	case noAnswer:
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
	if f == refusesRun {
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
