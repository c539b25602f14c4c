package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's store, as in the settings of the users' small deployments.
const (
	appendTime      = 2 * time.Millisecond
	partBytesPerSec = 20e6
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	maxStoredBytes  = 400e6
	maxPageRecords  = 500
	maxPageBytes    = 1e6
	recentAppends   = 5
	// silentConnection is how long a connection stays open on which an answer was lost.
	silentConnection = 15 * time.Second
)

// store is a stand-in for the platform's store in its log form. It loses nothing, and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	parts   map[string]*part
	groups  map[string]*group
	changed chan struct{}
	stored  int
	address string
	// lose decides, for each write, whether it gets no answer, and after which time it is executed then; nil for no such disruption.
	lose func(kind string, records [][]byte) (delay time.Duration, lost bool)
}

type part struct {
	turn      sync.Mutex
	records   [][]byte
	newest    map[string]keyedRecord
	producers map[string]*producer
}

type keyedRecord struct {
	value  []byte
	offset int
}

type producer struct {
	epoch, next int64
	recent      map[int64][]byte
	order       []int64
}

type group struct {
	generation int64
	members    map[string]time.Time
	holder     string
}

func newStore() (*store, error) {
	s := &store{parts: map[string]*part{}, groups: map[string]*group{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.readNewest)
	mux.HandleFunc("POST /log-join", s.join)
	mux.HandleFunc("POST /log-leave", s.leave)
	mux.HandleFunc("GET /log-owners", s.owners)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// partOf returns a partition, which it creates on first use. mu must be held.
func (s *store) partOf(topic, number string) *part {
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &part{newest: map[string]keyedRecord{}, producers: map[string]*producer{}}
	}
	return s.parts[name]
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// decodeRecords splits the body of an append; nil and false if it is malformed or a record is too long.
func decodeRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > maxRecordBytes || size > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	query := r.URL.Query()
	records, ok := decodeRecords(body)
	if err != nil || !ok || len(body) > maxRequestBytes {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	w = s.loseAnswer(w, "append", records)
	s.mu.Lock()
	p := s.partOf(query.Get("topic"), query.Get("part"))
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/partBytesPerSec*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if query.Has("producer") {
		epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		if status, early := p.checkProducer(query.Get("producer"), epoch, sequence, len(records)); early != nil {
			answer(w, status, early)
			return
		}
	}
	if s.stored+len(body) > maxStoredBytes {
		answer(w, http.StatusInsufficientStorage, map[string]any{})
		return
	}
	result := map[string]any{"offset": len(p.records), "end": len(p.records) + len(records)}
	s.add(p, records)
	if query.Has("producer") && len(records) > 0 {
		sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
		text, _ := json.Marshal(result)
		p.producers[query.Get("producer")].note(sequence, text)
	}
	answer(w, http.StatusOK, result)
}

// loseAnswer applies the disruption "answers of the store are lost, done late" to a write. If the write is lost, the connection returns
// nothing further, and loseAnswer returns after the delay a writer that discards the answer.
func (s *store) loseAnswer(w http.ResponseWriter, kind string, records [][]byte) http.ResponseWriter {
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose == nil {
		return w
	}
	delay, lost := lose(kind, records)
	if !lost {
		return w
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return w
	}
	time.AfterFunc(silentConnection, func() { _ = conn.Close() })
	time.Sleep(delay)
	return discard{}
}

// discard is a writer whose answer nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// checkProducer checks epoch and sequence of an append. It returns a body if the append must not be executed.
func (p *part) checkProducer(name string, epoch, sequence int64, records int) (int, any) {
	state := p.producers[name]
	if state == nil {
		state = &producer{epoch: epoch, recent: map[int64][]byte{}}
		p.producers[name] = state
	}
	switch {
	case epoch < state.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > state.epoch:
		state.epoch = epoch
		if records > 0 {
			state.next = sequence
		}
	}
	if records == 0 {
		return http.StatusOK, map[string]any{"offset": len(p.records), "end": len(p.records)}
	}
	if first, repeated := state.recent[sequence]; repeated {
		return http.StatusOK, json.RawMessage(first)
	}
	if sequence != state.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.next}
	}
	return 0, nil
}

func (p *producer) note(sequence int64, result []byte) {
	p.next = sequence + 1
	p.recent[sequence] = result
	p.order = append(p.order, sequence)
	if len(p.order) > recentAppends {
		delete(p.recent, p.order[0])
		p.order = p.order[1:]
	}
}

// add appends records to a partition of a keyed topic. mu must be held.
func (s *store) add(p *part, records [][]byte) {
	for _, content := range records {
		s.stored += len(content) + 4
		offset := len(p.records)
		p.records = append(p.records, content)
		if len(content) == 0 || int(content[0]) > len(content)-1 {
			continue
		}
		key, value := string(content[1:1+int(content[0])]), content[1+int(content[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
			continue
		}
		p.newest[key] = keyedRecord{value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record of the operator or of a minion; a nil value removes the key.
func (s *store) put(topic, key string, value any) {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value)
	}
	content := append(append([]byte{byte(len(key))}, key...), text...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partOf(topic, "0"), [][]byte{content})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		p := s.partOf(query.Get("topic"), query.Get("part"))
		body := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		found := from < len(p.records)
		for i := from; i < len(p.records) && (i == from || len(body)+len(p.records[i]) < maxKB<<10); i++ {
			body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i])))
			body = append(body, p.records[i]...)
		}
		changed := s.changed
		s.mu.Unlock()
		if found || !waiting {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			waiting = false
		case <-changed:
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partOf(query.Get("topic"), query.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		record := p.newest[key]
		if len(items) == maxPageRecords || len(items) > 0 && size+len(record.value) > maxPageBytes {
			more = true
			break
		}
		size += len(record.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

type groupRequest struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	TTLMS  int64  `json:"ttl_ms"`
}

// groupOf returns the group without the members whose time has run out. The part stays with its holder while that is a member. mu
// must be held.
func (s *store) groupOf(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		s.groups[name] = g
	}
	for member, until := range g.members {
		if time.Now().After(until) {
			delete(g.members, member)
			g.generation++
		}
	}
	g.assign()
	return g
}

func (g *group) assign() {
	if _, alive := g.members[g.holder]; alive {
		return
	}
	g.holder = ""
	for member := range g.members {
		if g.holder == "" || member < g.holder {
			g.holder = member
		}
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var request groupRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	w = s.loseAnswer(w, "join", nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(request.Group)
	if _, known := g.members[request.Member]; !known {
		g.generation++
	}
	g.members[request.Member] = time.Now().Add(time.Duration(request.TTLMS) * time.Millisecond)
	g.assign()
	rows := [][]any{}
	if g.holder == request.Member {
		rows = append(rows, []any{"schedule", 0, 0})
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var request groupRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groupOf(request.Group)
	if _, known := g.members[request.Member]; known {
		delete(g.members, request.Member)
		g.generation++
		g.assign()
	}
	answer(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	rows := [][]any{}
	if holder := s.holder(r.URL.Query().Get("group")); holder != "" {
		rows = append(rows, []any{"schedule", 0, holder, 0})
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// holder returns the member that holds the part of the group; empty if none does.
func (s *store) holder(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groupOf(name).holder
}
