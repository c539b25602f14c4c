package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stopTime is the time between a stop request and the end of the run.
const stopTime = 200 * time.Millisecond

// maxEnds is how many ends a worker returns at a time.
const maxEnds = 500

// Worker is a stand-in of one minion. The specification of a job tells how its work items behave: "ms=N" is the time of
// work, "spread=N" adds N ms for each item before it in its step, "fail=N" makes the first N runs end failed, after "failms=N".
type Worker struct {
	id, address string
	capacity    map[string]int
	labels      []string
	store       *Store
	record      *Record
	born        time.Time
	phase       time.Duration

	mu       sync.Mutex
	fence    int64
	until    int64
	sequence int64
	ends     int64
	running  map[string]*run
	ended    [][]any
	endKeys  []string
	highest  map[string]int64
	changed  chan struct{}
	state    string
	gone     bool
	server   *http.Server
	// cutUntil is the end of the time in which the worker is cut off from the nodes: no request and no response arrives.
	cutUntil time.Time
}

// run is one run of a work item on a worker.
type run struct {
	task     string
	run      int64
	spec     string
	length   time.Duration
	result   string
	begunAt  time.Time
	gpu      int
	stopping bool
	history  *History
}

// History is what the stand-ins have seen of one run.
type History struct {
	Task     string
	Run      int64
	Worker   string
	Begun    time.Time
	Ended    time.Time
	How      string
	AckedEnd bool
	sequence int64
}

func newWorker(id string, store *Store, record *Record, gpus int, phase time.Duration) *Worker {
	w := &Worker{
		id: id, store: store, record: record, born: time.Now(), phase: phase, state: "ready",
		capacity: map[string]int{"cpu": 32000, "memory_request_mb": 64000, "gpu": gpus},
		labels:   []string{"a", "r1-1"}, running: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	w.listen()
	go w.beat()
	go w.watchLease()
	return w
}

// listen opens a new address and serves it.
func (w *Worker) listen() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	server := &http.Server{Handler: w.link(mux)}
	w.server = server
	go func() { _ = server.Serve(listener) }()
}

// link loses the requests that arrive while the worker is cut off, and the responses that are due then.
func (w *Worker) link(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.isCut() {
			w.lose(r)
		}
		next.ServeHTTP(rw, r)
	})
}

func (w *Worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cutUntil)
}

// lose keeps a request without response until its sender gives up or the cut ends, and ends the connection.
func (w *Worker) lose(r *http.Request) {
	for w.isCut() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// cut cuts the worker off from the nodes for a time. It runs on.
func (w *Worker) cut(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutUntil = time.Now().Add(d)
	w.record.log("worker %s is cut off from the nodes for %v", w.id, d)
}

// restart ends the worker's process with all its runs and starts it again under the same id at another address. It returns the entry that the
// ended process wrote last.
func (w *Worker) restart() map[string]any {
	w.mu.Lock()
	last := w.entry()
	_ = w.server.Close()
	for k, r := range w.running {
		r.history.Ended, r.history.How = time.Now(), "crashed"
		delete(w.running, k)
	}
	w.highest, w.ended, w.ends, w.fence, w.until, w.sequence = map[string]int64{}, nil, 0, 0, 0, 0
	w.born = time.Now()
	old := w.address
	w.listen()
	w.record.log("worker %s restarts, at %s instead of %s", w.id, w.address, old)
	w.mu.Unlock()
	w.report()
	return last
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// beat writes the worker's entry every heartbeatInterval; while the store is down, nothing is written.
func (w *Worker) beat() {
	time.Sleep(w.phase)
	w.report()
	for range time.Tick(heartbeatInterval) {
		w.report()
	}
}

func (w *Worker) report() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return false
	}
	w.sequence++
	return w.store.put("keyed.servers", w.id, w.entry())
}

// entry returns the worker's entry. mu must be held.
func (w *Worker) entry() map[string]any {
	entry := map[string]any{
		"service": "bladelab", "address": w.address, "zone": "tt-north-a", "version": "v1", "slots": 8, "state": w.state,
		"cold_remaining_ms": 0, "capacity": w.capacity, "labels": w.labels, "clock_ms": w.clock(), "sequence": w.sequence,
		"born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		entry["remaining_ms"] = 2000
	}
	return entry
}

// drain announces that the worker leaves. It stays for the given time and then exits.
func (w *Worker) drain(stay time.Duration) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.record.log("worker %s reports draining", w.id)
	w.report()
	time.AfterFunc(stay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.gone = true
		for key, r := range w.running {
			r.history.Ended, r.history.How = time.Now(), "left"
			delete(w.running, key)
		}
		go w.server.Close()
		w.record.log("worker %s has left", w.id)
		w.store.put("keyed.servers", w.id, nil)
	})
}

// awaitHeartbeat returns after the worker's next heartbeat.
func (w *Worker) awaitHeartbeat() {
	w.mu.Lock()
	last := w.sequence
	w.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		now := w.sequence
		w.mu.Unlock()
		if now > last {
			return
		}
	}
}

// watchLease ends all runs when the lease expires.
func (w *Worker) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.until > 0 && w.clock() > w.until {
			for key := range w.running {
				w.endLocked(key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func key(task string, run int64) string { return task + "#" + strconv.FormatInt(run, 10) }

// endLocked ends a run. mu must be held.
func (w *Worker) endLocked(k, how string) {
	r := w.running[k]
	if r == nil {
		return
	}
	delete(w.running, k)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.run, how, ""})
	r.history.Ended, r.history.How, r.history.sequence = time.Now(), how, w.ends
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.record.log("%s run %d ends %s on %s", r.task, r.run, how, w.id)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerRequest struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"specification"`
	Until    int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// admit checks the addressee and the fencing token and extends the lease; false if it has answered. mu must be held.
func (w *Worker) admit(rw http.ResponseWriter, r *http.Request, request *workerRequest) bool {
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	if json.NewDecoder(r.Body).Decode(request) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return false
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return false
	}
	if request.Fence < w.fence {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return false
	}
	w.fence = request.Fence
	if request.Until > 0 {
		w.until = max(w.until, min(request.Until, w.clock()+maxHoldMS))
	}
	return true
}

func (w *Worker) usedGPUs() int {
	used := 0
	for _, r := range w.running {
		used += r.gpu
	}
	return used
}

func (w *Worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var request workerRequest
	if !w.admit(rw, r, &request) {
		return
	}
	refuse := func(reason string) {
		w.record.log("%s run %d is refused on %s: %s", request.Task, request.Run, w.id, reason)
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
	}
	k := key(request.Task, request.Run)
	gpu := specNumber(request.Spec, "gpu")
	switch {
	case w.running[k] != nil:
	case request.Run <= w.highest[request.Task]:
		refuse("old")
		return
	case request.Until <= w.clock():
		refuse("late")
		return
	case w.usedGPUs()+gpu > w.capacity["gpu"]:
		refuse("room")
		return
	default:
		w.begin(&request, gpu)
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// begin starts a run. mu must be held.
func (w *Worker) begin(request *workerRequest, gpu int) {
	result := "done"
	if request.Run <= int64(specNumber(request.Spec, "fail")) {
		result = "failed"
	}
	k := key(request.Task, request.Run)
	n := &run{
		task: request.Task, run: request.Run, spec: request.Spec, result: result, begunAt: time.Now(), gpu: gpu,
		length: time.Duration(specNumber(request.Spec, "ms")) * time.Millisecond,
	}
	if result == "failed" && specNumber(request.Spec, "failms") > 0 {
		n.length = time.Duration(specNumber(request.Spec, "failms")) * time.Millisecond
	}
	index, _ := strconv.Atoi(request.Task[strings.LastIndex(request.Task, ".")+1:])
	n.length += time.Duration(index*specNumber(request.Spec, "spread")) * time.Millisecond
	n.history = w.record.begin(request.Task, request.Run, w.id)
	w.running[k] = n
	w.record.log("%s run %d begins on %s, specification %q, token %d, answered 200", request.Task, request.Run, w.id, request.Spec, request.Fence)
	time.AfterFunc(n.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[k] == n {
			w.endLocked(k, n.result)
		}
	})
}

func (w *Worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var request workerRequest
	if !w.admit(rw, r, &request) {
		return
	}
	w.record.log("%s run %d is to stop on %s, answered 200", request.Task, request.Run, w.id)
	k := key(request.Task, request.Run)
	if n := w.running[k]; n != nil && !n.stopping {
		n.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[k] == n {
				w.endLocked(k, "stopped")
			}
		})
	}
	w.highest[request.Task] = max(w.highest[request.Task], request.Run)
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	var request workerRequest
	if !w.admit(rw, r, &request) {
		w.mu.Unlock()
		return
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= request.LastSeen {
		w.record.acknowledge(w.id, w.ended[0][0].(int64))
		w.ended = w.ended[1:]
	}
	deadline := time.After(time.Duration(request.WaitMS) * time.Millisecond)
	for len(w.ended) == 0 && request.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			request.WaitMS = 0
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, n := range w.running {
		percent := int(100 * time.Since(n.begunAt) / n.length)
		running = append(running, []any{n.task, n.run, "", min(percent, 99), 0})
	}
	ended := w.ended[:min(len(w.ended), maxEnds)]
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	if w.isCut() {
		w.lose(r)
	}
	reply(rw, http.StatusOK, body)
}

// specNumber returns the number after "name=" in a specification; 0 if there is none.
func specNumber(spec, name string) int {
	for _, field := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			n, err := strconv.Atoi(value)
			check(err)
			return n
		}
	}
	return 0
}

func taskName(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }
