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

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	maxListedEnds     = 500
	tick              = 10 * time.Millisecond
	// startupTime is the time after which a work item that lasts is at work.
	startupTime = time.Second
	// failTime is the time after which a work item fails on a minion that fails all that it starts.
	failTime = 300 * time.Millisecond
)

// amount is what a work item requests, or the capacity of a minion.
type amount struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"memory_request_mb"`
	GPU      int `json:"gpu"`
}

func (a amount) fits(b amount) bool {
	return a.CPU <= b.CPU && a.MemoryMB <= b.MemoryMB && a.GPU <= b.GPU
}

func (a amount) plus(b amount) amount {
	return amount{a.CPU + b.CPU, a.MemoryMB + b.MemoryMB, a.GPU + b.GPU}
}

func (a amount) minus(b amount) amount {
	return amount{a.CPU - b.CPU, a.MemoryMB - b.MemoryMB, a.GPU - b.GPU}
}

// work is what a minion knows of the work items of a job. Jobs here have one step without gangs.
type work struct {
	demand   amount
	duration time.Duration
	lasts    bool
	// checkpointBytes is the length of the checkpoints that the work items save each second; 0 for none.
	checkpointBytes int
}

// fleet holds the minions. mu guards them, and the work of the jobs by their ids.
type fleet struct {
	store   *store
	record  *record
	mu      sync.Mutex
	changed chan struct{}
	works   map[string]work
	minions []*minion
	// roundTrip is the time that an order and its answer take on the links, beyond that of the loopback interface.
	roundTrip time.Duration
	// quiet leaves the lines of single runs out of the record; starts and dones count them.
	quiet         bool
	starts, dones int
	// onStart, onEnd are called with mu held.
	onStart func(m *minion, name string, run int64)
	onEnd   func(m *minion, name string, run int64, how string)
}

// minion is a stand-in for one minion. It guards its capacity (rejects_overload is true).
type minion struct {
	fleet          *fleet
	id, zone, rack string
	labels         []string
	capacity       amount
	address        string
	server         *http.Server
	up             bool
	// failing minions fail all that they start, busy ones reject all starts.
	failing, busy bool
	born          time.Time
	sequence      int
	beatAt        time.Time
	listed        bool
	used          amount
	leaseUntil    int64
	token         int64
	runs          map[string]*run
	closed        map[string]int64
	ended         []endedRun
	nextEnd       int64
	crashedAt     time.Time
}

type run struct {
	name      string
	number    int64
	startedAt time.Time
	stopAt    time.Time
	work      work
	fails     bool
}

type endedRun struct {
	number int64
	row    []any
}

func newFleet(s *store, r *record) *fleet {
	f := &fleet{store: s, record: r, changed: make(chan struct{}), works: map[string]work{}}
	go func() {
		for range time.Tick(tick) {
			f.mu.Lock()
			for _, m := range f.minions {
				m.step(time.Now())
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// add starts a minion.
func (f *fleet) add(id, zone, rack string, labels []string, capacity amount) (*minion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{fleet: f, id: id, zone: zone, rack: rack, labels: append(labels, rack), capacity: capacity, address: listener.Addr().String()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minions = append(f.minions, m)
	m.boot(listener)
	return m, nil
}

// boot begins a lifetime. mu must be held.
func (m *minion) boot(listener net.Listener) {
	m.up, m.born, m.sequence, m.beatAt = true, time.Now(), 0, time.Time{}
	m.leaseUntil, m.token, m.nextEnd = 0, 0, 1
	m.used = amount{}
	m.runs, m.closed, m.ended = map[string]*run{}, map[string]int64{}, nil
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", m.id) })
	server := &http.Server{Handler: mux}
	m.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash ends the process of the minion with all that it runs.
func (m *minion) crash() {
	m.fleet.mu.Lock()
	server := m.server
	m.up, m.crashedAt = false, time.Now()
	for _, r := range m.runs {
		m.fleet.record.line("minion %s crashed under %s run %d", m.id, r.name, r.number)
		if m.fleet.onEnd != nil {
			m.fleet.onEnd(m, r.name, r.number, "crash")
		}
	}
	m.runs = map[string]*run{}
	m.fleet.mu.Unlock()
	_ = server.Close()
}

// restart starts a minion that has crashed again, with the same id and address.
func (m *minion) restart() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.boot(listener)
	return nil
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() }

// step advances the minion. mu must be held.
func (m *minion) step(now time.Time) {
	if !m.up {
		if m.listed && now.Sub(m.beatAt) > 3*heartbeatInterval {
			m.listed = false
			m.fleet.store.put("keyed.servers", m.id, nil)
		}
		return
	}
	if now.Sub(m.beatAt) >= heartbeatInterval {
		m.beatAt, m.listed = now, true
		m.sequence++
		m.fleet.store.put("keyed.servers", m.id, map[string]any{
			"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": m.capacity, "labels": m.labels, "clock_ms": m.clock(now), "sequence": m.sequence,
			"born": m.born.UnixMilli(),
		})
	}
	for _, r := range m.runs {
		switch ran := now.Sub(r.startedAt); {
		case m.clock(now) > m.leaseUntil:
			m.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(r, "stopped")
		case r.fails && ran >= failTime:
			m.end(r, "failed")
		case !r.work.lasts && ran >= r.work.duration:
			m.end(r, "done")
		}
	}
}

// end ends a run and lists its end. mu must be held.
func (m *minion) end(r *run, how string) {
	delete(m.runs, r.name)
	m.used = m.used.minus(r.work.demand)
	m.closed[r.name] = max(m.closed[r.name], r.number)
	m.ended = append(m.ended, endedRun{m.nextEnd, []any{m.nextEnd, r.name, r.number, how, ""}})
	m.nextEnd++
	if how == "done" {
		m.fleet.dones++
	}
	if !m.fleet.quiet {
		m.fleet.record.line("minion %s ends %s run %d: %s", m.id, r.name, r.number, how)
	}
	if m.fleet.onEnd != nil {
		m.fleet.onEnd(m, r.name, r.number, how)
	}
	close(m.fleet.changed)
	m.fleet.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	UntilMS  int64  `json:"until_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// handle checks lifetime and fencing token of an order and carries it out.
func (m *minion) handle(execute func(order, <-chan struct{}) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		f := m.fleet
		time.Sleep(f.roundTrip)
		f.mu.Lock()
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != m.id {
			f.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		born := m.born
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Token >= m.token {
			m.token = o.Token
			status, body = execute(o, r.Context().Done())
		}
		alive := m.up && m.born.Equal(born)
		body["clock_ms"], body["born"] = m.clock(time.Now()), m.born.UnixMilli()
		f.mu.Unlock()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		answer(w, status, body)
	}
}

func (m *minion) renew(untilMS int64) {
	m.leaseUntil = max(m.leaseUntil, min(untilMS, m.clock(time.Now())+maxHold.Milliseconds()))
}

// start carries out an order to start. mu must be held.
func (m *minion) start(o order, _ <-chan struct{}) (int, map[string]any) {
	conflict := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		m.renew(o.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	if m.busy {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if max(o.UntilMS, m.leaseUntil) <= m.clock(time.Now()) {
		return conflict("late")
	}
	m.renew(o.UntilMS)
	if m.runs[o.Task] != nil || o.Run <= m.closed[o.Task] {
		return conflict("old")
	}
	id, _, _ := strings.Cut(o.Task, ".")
	w, known := m.fleet.works[id]
	if !known {
		return http.StatusBadRequest, map[string]any{}
	}
	if !m.used.plus(w.demand).fits(m.capacity) {
		return conflict("room")
	}
	m.used = m.used.plus(w.demand)
	m.runs[o.Task] = &run{name: o.Task, number: o.Run, startedAt: time.Now(), work: w, fails: m.failing}
	m.fleet.starts++
	if !m.fleet.quiet {
		m.fleet.record.line("minion %s starts %s run %d, token %d", m.id, o.Task, o.Run, o.Token)
	}
	if m.fleet.onStart != nil {
		m.fleet.onStart(m, o.Task, o.Run)
	}
	return http.StatusOK, map[string]any{}
}

// stop carries out an order to stop. mu must be held.
func (m *minion) stop(o order, _ <-chan struct{}) (int, map[string]any) {
	m.closed[o.Task] = max(m.closed[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(100 * time.Millisecond)
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease and lists the runs. mu must be held; it is released while hold waits.
func (m *minion) hold(o order, gone <-chan struct{}) (int, map[string]any) {
	if o.UntilMS > 0 {
		m.renew(o.UntilMS)
	}
	for len(m.ended) > 0 && m.ended[0].number <= o.LastSeen {
		m.ended = m.ended[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(m.ended) == 0 && m.up; {
		changed := m.fleet.changed
		m.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-gone:
			waiting = false
		}
		m.fleet.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range m.runs {
		whole := r.work.duration
		if r.work.lasts {
			whole = startupTime
		}
		running = append(running, []any{r.name, r.number, r.checkpoint(now), min(100, int(100*now.Sub(r.startedAt)/whole)), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, e.row)
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// checkpoint returns the latest checkpoint of the run, empty before the first one.
func (r *run) checkpoint(now time.Time) string {
	saved := int(now.Sub(r.startedAt) / time.Second)
	if r.work.checkpointBytes == 0 || saved == 0 {
		return ""
	}
	return fmt.Sprintf("%0*x", r.work.checkpointBytes, saved)
}

// taskName returns the name of a work item of the first step of a job without occurrences.
func taskName(job string, index int) string { return job + ".0.0." + strconv.Itoa(index) }
