package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the stand-in of the platform's store.
const (
	heartbeatInterval = 1500 * time.Millisecond
	// maxSilence is how long a worker's entry stays without a heartbeat: three intervals.
	maxSilence = 3 * heartbeatInterval
	// sweepInterval is the time between two searches for silent workers, and between the end of an outage and the first one.
	sweepInterval = 700 * time.Millisecond
	appendTime    = 2 * time.Millisecond
	groupParts    = 12
)

// Store is a stand-in of the platform's metadata store: a log with keyed topics, fenced producers and groups.
type Store struct {
	record *Record

	mu       sync.Mutex
	down     bool
	topics   map[string]*topicPart
	groups   map[string]*group
	lastBeat map[string]time.Time
	// downSince is when the current outage began, nextSweep the time of the next search for silent workers.
	downSince, nextSweep time.Time
}

type topicPart struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

// producer is the state of a fenced writer: a higher epoch may start at any sequence number.
type producer struct {
	epoch  int64
	last   int64
	any    bool
	recent map[int64][2]int
}

type group struct {
	generation int64
	members    map[string]*member
	// owner holds the member of each part, target the one to which it is to go.
	owner, target [groupParts]string
}

type member struct {
	ttl      time.Duration
	joinedAt time.Time
	topic    string
}

func newStore(record *Record) *Store {
	s := &Store{record: record, topics: map[string]*topicPart{}, groups: map[string]*group{}, lastBeat: map[string]time.Time{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.sweep()
		}
	}()
	return s
}

// serve starts a listener and returns its address.
func (s *Store) serve() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	mux.HandleFunc("POST /log-join", s.handleJoin)
	mux.HandleFunc("POST /log-leave", s.handleLeave)
	mux.HandleFunc("GET /log-owners", s.handleOwners)
	go func() { _ = http.Serve(listener, s.gate(mux)) }()
	return listener.Addr().String()
}

// gate answers 503 while the store is down.
func (s *Store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// setDown begins or ends an outage of the whole store. The times of the group members pause meanwhile.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.downSince = time.Now()
		for _, p := range s.topics {
			p.wake()
		}
		s.record.log("the store is down")
		return
	}
	away := time.Since(s.downSince)
	s.nextSweep = time.Now().Add(sweepInterval)
	for _, g := range s.groups {
		for _, m := range g.members {
			m.joinedAt = m.joinedAt.Add(away)
		}
	}
	s.record.log("the store is back after %.2f s", away.Seconds())
}

func (s *Store) part(topic string, part int) *topicPart {
	key := topic + "/" + strconv.Itoa(part)
	p := s.topics[key]
	if p == nil {
		p = &topicPart{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[key] = p
	}
	return p
}

func (p *topicPart) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func encodeKeyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

func splitKeyed(record []byte) (string, []byte) {
	n := int(record[0])
	return string(record[1 : 1+n]), record[1+n:]
}

// add appends a record. mu must be held.
func (p *topicPart) add(record []byte) {
	key, value := splitKeyed(record)
	p.newest[key] = len(p.records)
	p.records = append(p.records, record)
	if len(value) == 0 {
		delete(p.newest, key)
	}
}

// put writes a record of the operator or a worker; false while the store is down.
func (s *Store) put(topic, key string, value any) bool {
	text, err := json.Marshal(value)
	check(err)
	if value == nil {
		text = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	if topic == "keyed.servers" {
		if value == nil {
			delete(s.lastBeat, key)
		} else {
			s.lastBeat[key] = time.Now()
		}
	}
	p := s.part(topic, 0)
	p.add(encodeKeyed(key, text))
	p.wake()
	return true
}

// sweep removes the entries of workers that were silent for three intervals.
func (s *Store) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || time.Now().Before(s.nextSweep) {
		return
	}
	s.nextSweep = time.Now().Add(sweepInterval)
	p := s.part("keyed.servers", 0)
	for id, at := range s.lastBeat {
		if silence := time.Since(at); silence > maxSilence {
			delete(s.lastBeat, id)
			p.add(encodeKeyed(id, nil))
			s.record.log("store: entry of %s removed after %.2f s of silence", id, silence.Seconds())
		}
	}
	p.wake()
	for _, g := range s.groups {
		g.expire()
	}
}

func query(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, query(r, "part"))
	var state *producer
	var sequence int64
	if name := r.URL.Query().Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(r.URL.Query().Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(r.URL.Query().Get("sequence"), 10, 64)
		if state = p.producers[name]; state == nil {
			state = &producer{epoch: -1}
			p.producers[name] = state
		}
		switch {
		case epoch < state.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > state.epoch:
			state.epoch, state.any, state.recent = epoch, true, map[int64][2]int{}
		}
		if len(body) == 0 {
			reply(w, http.StatusOK, map[string]any{"offset": len(p.records), "end": len(p.records)})
			return
		}
		if first, ok := state.recent[sequence]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": first[0], "end": first[1]})
			return
		}
		if !state.any && sequence != state.last+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.last + 1})
			return
		}
	}
	first := len(p.records)
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		p.add(bytes.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	if state != nil {
		state.any, state.last = false, sequence
		state.recent[sequence] = [2]int{first, len(p.records)}
		delete(state.recent, sequence-5)
	}
	p.wake()
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": len(p.records)})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from := query(r, "from")
	deadline := time.After(time.Duration(query(r, "wait_ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(r.URL.Query().Get("topic"), query(r, "part"))
		records, changed, down := p.records, p.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from < len(records) {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(w, records, from)
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(records) && len(body) < 512<<10; i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(records[i])))
		body = append(body, records[i]...)
	}
	_, _ = w.Write(body)
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), query(r, "part"))
	keys := []string{}
	for key := range p.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, key := range keys {
		_, value := splitKeyed(p.records[p.newest[key]])
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

type groupRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *Store) groupOf(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	g.expire()
	return g
}

// deal distributes the parts evenly over the members and begins a new generation.
func (g *group) deal() {
	g.generation++
	names := []string{}
	for name := range g.members {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool { return g.members[names[a]].joinedAt.Before(g.members[names[b]].joinedAt) })
	for i := range g.target {
		g.target[i] = ""
		if len(names) > 0 {
			g.target[i] = names[i*len(names)/groupParts]
		}
		if g.members[g.owner[i]] == nil {
			g.owner[i] = g.target[i]
		}
	}
}

func (g *group) expire() {
	gone := false
	for name, m := range g.members {
		if time.Since(m.joinedAt) > m.ttl {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var request groupRequest
	check(json.NewDecoder(r.Body).Decode(&request))
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(request.Group)
	m := g.members[request.Member]
	isNew := m == nil
	if isNew {
		m = &member{}
		g.members[request.Member] = m
	}
	m.ttl, m.joinedAt, m.topic = time.Duration(request.TTLMS)*time.Millisecond, time.Now(), strings.Join(request.Topics, ",")
	if isNew {
		g.deal()
	}
	rows := [][]any{}
	for i := range g.owner {
		if g.owner[i] == request.Member && g.target[i] != request.Member && request.Generation >= g.generation {
			g.owner[i] = g.target[i]
		}
		if g.owner[i] == request.Member && g.target[i] == request.Member {
			rows = append(rows, []any{m.topic, i, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var request groupRequest
	check(json.NewDecoder(r.Body).Decode(&request))
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(request.Group)
	if g.members[request.Member] != nil {
		delete(g.members, request.Member)
		g.deal()
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Store) handleOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(r.URL.Query().Get("group"))
	rows := [][]any{}
	for i, owner := range g.owner {
		if owner != "" {
			rows = append(rows, []any{g.members[owner].topic, i, owner, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// holder returns the member that holds part 0 of the only group; empty if none does.
func (s *Store) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.expire()
		return g.owner[0]
	}
	return ""
}
