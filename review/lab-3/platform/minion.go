package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	stopTimeout = 400 * time.Millisecond
	maxHold     = 10 * time.Second
	maxListed   = 500
	maxWait     = 2 * time.Second
	// failAfter is how long a run works that fails with its minion.
	failAfter = 300 * time.Millisecond
	// startupTime is how long a work item that lasts takes until it is at work.
	startupTime = 500 * time.Millisecond
)

// capacity is what a minion states, or what a work item takes.
type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memory_request_mb"`
	GPU    int64 `json:"gpu"`
}

// item is what the stand-ins know of the work items of a job.
type item struct {
	demand capacity
	work   time.Duration
	// lasts is true for work items that run until their job is cancelled.
	lasts bool
	// checkpointLength is the length of the checkpoints that the work item saves once a second; 0 for none.
	checkpointLength int
}

// minion is a machine that runs work items. One life of it is a process.
type minion struct {
	lab            *lab
	id, zone, rack string
	address        string
	labels         []string
	total          capacity
	mu             sync.Mutex
	life           *life
	draining       bool
	// silent is true once the machine has lost power: nothing answers, and its connections stay open without a word.
	silent atomic.Bool
	// busy is true while the minion rejects all starts with 503, its status check and its lists being good.
	busy atomic.Bool
	// failing is true while all work items that the minion starts fail.
	failing atomic.Bool
	// unanswered, if set, decides whether an order stays unanswered and is carried out late, and how late.
	unanswered func() (time.Duration, bool)
}

// life is one process of a minion.
type life struct {
	m        *minion
	born     int64
	started  time.Time
	sequence int64
	server   *http.Server
	stop     chan struct{}
	// mu guards the rest.
	mu       sync.Mutex
	dead     bool
	fence    int64
	until    int64
	runs     map[string]*run
	finished map[string]int64
	ended    []ended
	lastEnd  int64
	changed  chan struct{}
}

type run struct {
	number    int64
	startedAt time.Time
	work      time.Duration
	demand    capacity
	timer     *time.Timer
	stopping  bool
}

type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

func (m *minion) start() {
	l := &life{
		m: m, born: time.Now().UnixMilli(), started: time.Now().Add(-time.Duration(rand.Intn(100000)) * time.Millisecond),
		stop: make(chan struct{}), runs: map[string]*run{}, finished: map[string]int64{}, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		m.lab.cannotRun("minion " + m.id + ": " + err.Error())
		return
	}
	m.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.order(l.runStart))
	mux.HandleFunc("POST /run-stop", l.order(l.runStop))
	mux.HandleFunc("POST /hold", l.hold)
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.silent.Load() {
			select {}
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = l.server.Serve(listener) }()
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	m.lab.record("minion %s starts, born %d, at %s", m.id, l.born, m.address)
	go l.beat()
	go l.watchLease()
}

// crash ends the process of the minion: nothing is reported, and all connections end.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.dead = true
	lost := []string{}
	for task, r := range l.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d", task, r.number))
	}
	l.mu.Unlock()
	close(l.stop)
	_ = l.server.Close()
	m.lab.record("minion %s crashes; lost with it: %s", m.id, strings.Join(lost, ", "))
}

// losePower ends the machine without a sign: nothing is answered any more, connections hang, and the store removes its entry after
// three heartbeats.
func (m *minion) losePower() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	m.silent.Store(true)
	l.mu.Lock()
	l.dead = true
	lost := []string{}
	for task, r := range l.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d", task, r.number))
	}
	l.mu.Unlock()
	close(l.stop)
	m.lab.record("minion %s loses power for good; lost with it: %s", m.id, strings.Join(lost, ", "))
	time.AfterFunc(3*heartbeat, func() {
		m.lab.store.put("keyed.servers", m.id, nil)
		m.lab.record("the store removes the entry of minion %s, which is silent", m.id)
	})
}

// setDraining writes an entry that announces that the minion leaves.
func (m *minion) setDraining() {
	m.mu.Lock()
	m.draining = true
	l := m.life
	m.mu.Unlock()
	m.lab.record("minion %s says that it leaves", m.id)
	l.writeEntry()
	m.lab.record("the store has accepted that minion %s is draining", m.id)
}

// leave ends a draining minion: it removes its entry and exits.
func (m *minion) leave() {
	m.crash()
	m.lab.store.put("keyed.servers", m.id, nil)
	m.lab.record("minion %s has left", m.id)
}

func (l *life) beat() {
	l.writeEntry()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(heartbeat):
			l.writeEntry()
		}
	}
}

func (l *life) writeEntry() {
	m := l.m
	m.mu.Lock()
	state, remaining := "ready", 0
	if m.draining {
		state, remaining = "draining", 4000
	}
	m.mu.Unlock()
	l.mu.Lock()
	l.sequence++
	entry := map[string]any{
		"service": "lab", "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "born": l.born,
		"sequence": l.sequence, "labels": append([]string{m.rack}, m.labels...),
		"capacity": map[string]int64{"cpu": m.total.CPU, "memory_request_mb": m.total.Memory, "gpu": m.total.GPU},
	}
	if remaining > 0 {
		entry["remaining_ms"] = remaining
	}
	l.mu.Unlock()
	text, _ := json.Marshal(entry)
	m.lab.store.put("keyed.servers", m.id, text)
}

// clock returns the steady clock of the process in milliseconds.
func (l *life) clock() int64 { return time.Since(l.started).Milliseconds() }

// watchLease kills everything once the lease has expired.
func (l *life) watchLease() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		l.mu.Lock()
		if len(l.runs) > 0 && l.clock() >= l.until {
			for task := range l.runs {
				l.end(task, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// end ends a run. mu must be held.
func (l *life) end(task, how string) {
	r := l.runs[task]
	if r == nil || l.dead {
		return
	}
	r.timer.Stop()
	delete(l.runs, task)
	l.finished[task] = max(l.finished[task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, ended{l.lastEnd, task, r.number, how})
	close(l.changed)
	l.changed = make(chan struct{})
	l.m.lab.noteEnd(l.m, task, r.number, how)
}

func (l *life) used() (sum capacity) {
	for _, r := range l.runs {
		sum.CPU += r.demand.CPU
		sum.Memory += r.demand.Memory
		sum.GPU += r.demand.GPU
	}
	return sum
}

type orderBody struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	UntilMS       int64  `json:"until_ms"`
	Fence         int64  `json:"fencing_token"`
}

// order wraps a start or stop: some stay unanswered and are carried out late.
func (l *life) order(do func(orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		if r.Header.Get("X-Expected-Instance") != l.m.id {
			reply(w, 421, map[string]any{})
			return
		}
		l.m.mu.Lock()
		unanswered := l.m.unanswered
		l.m.mu.Unlock()
		if unanswered != nil {
			if late, yes := unanswered(); yes {
				l.m.lab.record("minion %s leaves %s %s run %d unanswered, carries it out in %v", l.m.id, r.URL.Path, body.Task, body.Run, late)
				time.AfterFunc(late, func() {
					l.m.lab.setLate(body.Task, body.Run, true)
					do(body)
					l.m.lab.setLate(body.Task, body.Run, false)
				})
				<-r.Context().Done()
				return
			}
		}
		if l.m.busy.Load() && r.URL.Path == "/run-start" {
			reply(w, 503, map[string]any{})
			return
		}
		status, answer := do(body)
		reply(w, status, answer)
	}
}

func (l *life) answer(status int, reason string) (int, map[string]any) {
	answer := map[string]any{"clock_ms": l.clock(), "born": l.born}
	if reason != "" {
		answer["reason"] = reason
	}
	return status, answer
}

func (l *life) runStart(b orderBody) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it, known := l.m.lab.item(b.Task)
	switch {
	case l.dead || b.Fence < l.fence:
		return l.answer(409, "fence")
	case !known:
		l.m.lab.record("UNASKED start of %s on %s", b.Task, l.m.id)
		return l.answer(400, "")
	}
	l.fence = b.Fence
	l.until = max(l.until, min(b.UntilMS, l.clock()+maxHold.Milliseconds()))
	if r := l.runs[b.Task]; r != nil && r.number == b.Run {
		return l.answer(200, "")
	}
	if b.Run <= l.finished[b.Task] || l.runs[b.Task] != nil {
		return l.answer(409, "old")
	}
	if b.UntilMS <= l.clock() {
		return l.answer(409, "late")
	}
	used := l.used()
	total := l.m.total
	if used.CPU+it.demand.CPU > total.CPU || used.Memory+it.demand.Memory > total.Memory || used.GPU+it.demand.GPU > total.GPU {
		return l.answer(409, "room")
	}
	r := &run{number: b.Run, startedAt: time.Now(), work: it.work, demand: it.demand}
	work, how := it.work, "done"
	if l.m.failing.Load() {
		work, how = failAfter, "failed"
	}
	r.timer = time.AfterFunc(work, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.runs[b.Task] == r && !r.stopping {
			l.end(b.Task, how)
		}
	})
	l.runs[b.Task] = r
	l.m.lab.noteStart(l.m, b.Task, b.Run)
	return l.answer(200, "")
}

func (l *life) runStop(b orderBody) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || b.Fence < l.fence {
		return l.answer(409, "fence")
	}
	l.fence = b.Fence
	r := l.runs[b.Task]
	if r == nil || r.number > b.Run {
		l.finished[b.Task] = max(l.finished[b.Task], b.Run)
		return l.answer(200, "")
	}
	if !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTimeout/2, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.runs[b.Task] == r {
				l.end(b.Task, "stopped")
			}
		})
	}
	return l.answer(200, "")
}

func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	var b struct {
		UntilMS  int64 `json:"until_ms"`
		Fence    int64 `json:"fencing_token"`
		LastSeen int64 `json:"last_seen"`
		WaitMS   int64 `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	if r.Header.Get("X-Expected-Instance") != l.m.id {
		reply(w, 421, map[string]any{})
		return
	}
	l.mu.Lock()
	if b.Fence < l.fence {
		status, answer := l.answer(409, "fence")
		l.mu.Unlock()
		reply(w, status, answer)
		return
	}
	l.fence = b.Fence
	l.until = max(l.until, min(b.UntilMS, l.clock()+maxHold.Milliseconds()))
	kept := l.ended[:0]
	for _, e := range l.ended {
		if e.n > b.LastSeen {
			kept = append(kept, e)
		}
	}
	l.ended = kept
	deadline := time.After(min(time.Duration(b.WaitMS)*time.Millisecond, maxWait))
	for waiting := b.WaitMS > 0; waiting && len(l.ended) == 0; {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		l.mu.Lock()
	}
	running, list := [][]any{}, [][]any{}
	for task, r := range l.runs {
		percent := min(99, int(100*time.Since(r.startedAt)/r.work))
		if it, _ := l.m.lab.item(task); it.lasts && time.Since(r.startedAt) > startupTime {
			percent = 100
		}
		running = append(running, []any{task, r.number, l.checkpoint(task, r), percent, r.demand.CPU})
	}
	for _, e := range l.ended[:min(len(l.ended), maxListed)] {
		list = append(list, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer := map[string]any{"clock_ms": l.clock(), "born": l.born, "running": running, "ended": list}
	l.mu.Unlock()
	if l.m.silent.Load() {
		select {}
	}
	reply(w, 200, answer)
}

// checkpoint returns the latest checkpoint of a run: hexadecimal digits that differ for each second of work.
func (l *life) checkpoint(task string, r *run) string {
	it, _ := l.m.lab.item(task)
	seconds := int(time.Since(r.startedAt).Seconds())
	if it.checkpointLength == 0 || seconds == 0 {
		return ""
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d/%d", task, r.number, seconds))
	return hex.EncodeToString(sum[:])[:it.checkpointLength]
}

// jobOf returns the job and the step of a work item's name.
func jobOf(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}
