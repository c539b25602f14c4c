package standin

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// LogOptions holds the limits of a log service. Zero values mean no limit.
type LogOptions struct {
	// RetentionRecords bounds the records kept for each stream.
	RetentionRecords int
	// RetentionAge bounds the age of records.
	RetentionAge time.Duration
	// AppendsPerSecond bounds the rate of append requests; those above it get status 503.
	AppendsPerSecond float64
}

// LogFaults holds the faults of a log service.
type LogFaults struct {
	connectionFaults
	// LoseResponses is the number of upcoming appends that take effect but whose response is lost.
	LoseResponses int `json:"lose_responses,omitempty"`
}

// Limits of single requests: the size of one appended record, the records in one read, and the time of a long poll.
const (
	maxRecordBytes = 1 << 20
	maxReadRecords = 1000
	maxWaitMS      = 30_000
)

var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

// Log is a stand-in for the platform's log service.
type Log struct {
	options LogOptions
	limiter *rate.Limiter

	mu sync.Mutex
	// mu guards streams, by name, and faults.
	streams map[string]*stream
	faults  LogFaults
}

// stream holds the retained records of one stream. oldest is the offset of the first of them.
type stream struct {
	oldest  uint64
	records []storedRecord
	// changed is closed and replaced at every append.
	changed chan struct{}
}

type storedRecord struct {
	data []byte
	at   time.Time
}

// NewLog returns a log service without streams.
func NewLog(options LogOptions) *Log {
	limit := rate.Inf
	if options.AppendsPerSecond > 0 {
		limit = rate.Limit(options.AppendsPerSecond)
	}
	return &Log{
		options: options,
		limiter: rate.NewLimiter(limit, max(int(options.AppendsPerSecond), 1)),
		streams: make(map[string]*stream),
	}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append appends records to the stream called name and returns the offset of the first one. Invalid input appends
// nothing and gives an error of kind errkind.BadInput or errkind.TooLarge.
func (l *Log) Append(name string, records [][]byte, now time.Time) (uint64, error) {
	if err := checkAppend(name, records); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.nextOffset()
	for _, data := range records {
		s.records = append(s.records, storedRecord{data: data, at: now})
	}
	l.expire(s, now)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, nil
}

func checkAppend(name string, records [][]byte) error {
	if !streamName.MatchString(name) {
		return errkind.New(errkind.BadInput, "use lower-case letters, digits, - and _", "invalid stream name %q", name)
	}
	if len(records) == 0 {
		return errkind.New(errkind.BadInput, "send at least one record", "append without records")
	}
	for i, data := range records {
		if len(data) > maxRecordBytes {
			return errkind.New(errkind.TooLarge, "send records of at most "+strconv.Itoa(maxRecordBytes)+" bytes",
				"record %d has %d bytes", i, len(data))
		}
	}
	return nil
}

// Read returns up to limit retained records with offsets of at least from, without waiting.
func (l *Log) Read(name string, from uint64, limit int, now time.Time) infra.ReadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	response, _ := l.read(name, from, limit, now)
	return response
}

// read is Read without locking. It also returns a channel that is closed at the next append. mu must be held.
func (l *Log) read(name string, from uint64, limit int, now time.Time) (infra.ReadResponse, <-chan struct{}) {
	s := l.stream(name)
	l.expire(s, now)
	response := infra.ReadResponse{Oldest: s.oldest, Next: s.nextOffset(), Records: []infra.Record{}}
	for offset := max(from, s.oldest); offset < s.nextOffset() && len(response.Records) < limit; offset++ {
		data := s.records[offset-s.oldest].data
		response.Records = append(response.Records, infra.Record{Offset: offset, Data: data})
	}
	return response, s.changed
}

// stream returns the stream called name and creates it if it does not exist. mu must be held.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() uint64 { return s.oldest + uint64(len(s.records)) }

// expire removes the records that exceed the retention limits. mu must be held.
func (l *Log) expire(s *stream, now time.Time) {
	drop := 0
	if l.options.RetentionRecords > 0 {
		drop = max(len(s.records)-l.options.RetentionRecords, 0)
	}
	if l.options.RetentionAge > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].at) > l.options.RetentionAge {
			drop++
		}
	}
	if drop > 0 {
		s.records = append([]storedRecord(nil), s.records[drop:]...)
		s.oldest += uint64(drop)
	}
}

// Handler returns the HTTP handler of the log service.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	if !l.currentFaults().apply(w, r) {
		return
	}
	if !l.limiter.Allow() {
		writeError(w, errkind.New(errkind.Unavailable, "append fewer and larger batches", "append rate exceeded"))
		return
	}
	var request infra.AppendRequest
	if err := readJSON(r, &request); err != nil {
		writeError(w, err)
		return
	}
	first, err := l.Append(r.PathValue("stream"), request.Records, time.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	if l.consumeLostResponse() {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, infra.AppendResponse{FirstOffset: first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	if !l.currentFaults().apply(w, r) {
		return
	}
	query := r.URL.Query()
	from, err := parseNumber(query.Get("from"), 0)
	if err != nil {
		writeError(w, err)
		return
	}
	limit, err := parseNumber(query.Get("limit"), maxReadRecords)
	if err != nil {
		writeError(w, err)
		return
	}
	waitMS, err := parseNumber(query.Get("wait_ms"), 0)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(waitMS, maxWaitMS))*time.Millisecond)
	defer cancel()
	writeJSON(w, http.StatusOK, l.longPoll(ctx, r.PathValue("stream"), from, int(min(limit, maxReadRecords))))
}

// longPoll reads records and, if there are none, waits for an append until ctx ends.
func (l *Log) longPoll(ctx context.Context, name string, from uint64, limit int) infra.ReadResponse {
	for {
		l.mu.Lock()
		response, changed := l.read(name, from, limit, time.Now())
		l.mu.Unlock()
		if len(response.Records) > 0 {
			return response
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return response
		}
	}
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// consumeLostResponse reports whether the response to the current append must be lost. If so, it decrements the number of
// responses to lose.
func (l *Log) consumeLostResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseResponses == 0 {
		return false
	}
	l.faults.LoseResponses--
	return true
}

// parseNumber parses a query parameter; an empty one gives defaultValue.
func parseNumber(text string, defaultValue uint64) (uint64, error) {
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	return n, errkind.Wrap(err, errkind.BadInput, "send a whole number", "invalid query parameter %q", text)
}
