package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	appendTime   = 2 * time.Millisecond
	pageRecords  = 500
	pageBytes    = 1 << 20
	maxRead      = 1 << 20
	maxRecord    = 262144
	keepSequence = 5
)

// store is a stand-in of the platform's metadata store. It keeps everything in memory and loses nothing.
type store struct {
	mu      sync.Mutex
	streams map[string]*stream
	groups  map[string]*group
	// tooLarge counts the appends that were rejected for a record that is too large.
	tooLarge atomic.Int64
}

type stream struct {
	records   [][]byte
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, sequence int64
	responses       map[int64]int64
}

type group struct {
	generation int64
	// members maps each member to the end of its membership. owner holds the only part.
	members map[string]time.Time
	owner   string
}

func newStore() *store { return &store{streams: map[string]*stream{}, groups: map[string]*group{}} }

func (s *store) stream(topic, part string) *stream {
	key := topic + "/" + part
	if s.streams[key] == nil {
		s.streams[key] = &stream{producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.streams[key]
}

// put appends one record to a topic of one part, as the operator and the minions do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.stream(topic, "0").append([][]byte{append(content, value...)})
}

func (t *stream) append(records [][]byte) int64 {
	offset := int64(len(t.records))
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.logAppend)
	mux.HandleFunc("GET /log-read", s.logRead)
	mux.HandleFunc("GET /log-newest", s.logNewest)
	mux.HandleFunc("POST /log-join", s.logJoin)
	mux.HandleFunc("POST /log-leave", s.logLeave)
	mux.HandleFunc("GET /log-owners", s.logOwners)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) logAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			reply(w, 400, map[string]string{})
			return
		}
		if n > maxRecord {
			s.tooLarge.Add(1)
			reply(w, 400, map[string]string{"error": "the record exceeds record_bytes"})
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	time.Sleep(appendTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(q.Get("topic"), q.Get("part"))
	if q.Has("at") && number(r, "at") != int64(len(t.records)) {
		reply(w, 412, map[string]int{"end": len(t.records)})
		return
	}
	if q.Has("producer") {
		epoch, sequence := number(r, "epoch"), number(r, "sequence")
		p := t.producers[q.Get("producer")]
		if p == nil {
			p = &producer{responses: map[int64]int64{}}
			t.producers[q.Get("producer")] = p
		}
		if epoch < p.epoch {
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		}
		if len(records) == 0 {
			p.epoch = epoch
			reply(w, 200, map[string]int{"offset": len(t.records), "end": len(t.records)})
			return
		}
		if offset, repeated := p.responses[sequence]; repeated && epoch == p.epoch {
			reply(w, 200, map[string]int64{"offset": offset, "end": int64(len(t.records))})
			return
		}
		if epoch == p.epoch && sequence != p.sequence+1 {
			reply(w, 409, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
		p.epoch, p.sequence = epoch, sequence
		p.responses[sequence] = int64(len(t.records))
		delete(p.responses, sequence-keepSequence)
	}
	offset := int64(len(t.records))
	if len(records) > 0 {
		offset = t.append(records)
	}
	reply(w, 200, map[string]int64{"offset": offset, "end": int64(len(t.records))})
}

func (s *store) logRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(r, "from")
	deadline := time.After(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		t := s.stream(q.Get("topic"), q.Get("part"))
		end, changed := int64(len(t.records)), t.changed
		if from < end || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for at := from; at < end && len(out) < maxRead/2; at++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[at])))
				out = append(out, t.records[at]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) logNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(q.Get("topic"), q.Get("part"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	newest := map[string]item{}
	for at, content := range t.records {
		n := 1 + int(content[0])
		key := string(content[1:n])
		delete(newest, key)
		if len(content) > n {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(content[n:]), int64(at)}
		}
	}
	var keys []string
	for key := range newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) >= pageRecords || size > pageBytes {
			more = true
			break
		}
		items = append(items, newest[key])
		size += len(newest[key].Value)
	}
	reply(w, 200, map[string]any{"items": items, "more": more, "end": len(t.records)})
}

type groupRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *store) group(name string) *group {
	if s.groups[name] == nil {
		s.groups[name] = &group{members: map[string]time.Time{}}
	}
	g := s.groups[name]
	for member, until := range g.members {
		if time.Now().After(until) {
			g.remove(member)
		}
	}
	return g
}

func (g *group) remove(member string) {
	if _, known := g.members[member]; !known {
		return
	}
	delete(g.members, member)
	g.generation++
	if g.owner == member {
		g.owner = ""
		g.assign()
	}
}

// assign gives the part to the first of the members if nobody holds it.
func (g *group) assign() {
	if g.owner != "" {
		return
	}
	for member := range g.members {
		if g.owner == "" || member < g.owner {
			g.owner = member
		}
	}
}

func (s *store) logJoin(w http.ResponseWriter, r *http.Request) {
	var q groupRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(q.Group)
	if _, known := g.members[q.Member]; !known {
		g.generation++
	}
	g.members[q.Member] = time.Now().Add(time.Duration(q.TTLMS) * time.Millisecond)
	g.assign()
	parts := [][]any{}
	if g.owner == q.Member && len(q.Topics) > 0 {
		parts = append(parts, []any{q.Topics[0], 0, 0})
	}
	reply(w, 200, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *store) logLeave(w http.ResponseWriter, r *http.Request) {
	var q groupRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(q.Group).remove(q.Member)
	reply(w, 200, map[string]any{})
}

func (s *store) logOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	parts := [][]any{}
	if g.owner != "" {
		parts = append(parts, []any{"schedule", 0, g.owner, 0})
	}
	reply(w, 200, map[string]any{"parts": parts})
}
