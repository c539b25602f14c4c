package callerconn

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// reason is why a connection was closed or a request refused.
type reason string

const (
	// reasonLeastProgress and reasonIdle mark connections that were closed because a budget was short.
	reasonLeastProgress reason = "least_progress"
	reasonIdle          reason = "idle"
	// The next three mark connections that exceeded a time limit.
	reasonHeaderTimeout reason = "header_timeout"
	reasonBodyStalled   reason = "body_stalled"
	reasonIdleTimeout   reason = "idle_timeout"
	// reasonHeaderTooLarge and reasonNoMemory mark refused requests.
	reasonHeaderTooLarge reason = "header_too_large"
	reasonNoMemory       reason = "no_memory"
)

// logInterval is the shortest time between two log lines.
const logInterval = time.Second

// report counts what was refused and why.
type report struct {
	logger             zerolog.Logger
	registry           metrics.Registry
	prefix             string
	connections, bytes metrics.Gauge

	mu sync.Mutex
	// counts holds the events since the last log line; pending is true if a log line is scheduled.
	counts  map[reason]int
	pending bool
	// loggedAt is the time of the last log line.
	loggedAt time.Time
}

func newReport(o Options) *report {
	registry := o.Metrics
	if registry == nil {
		registry = metrics.DefaultRegistry
	}
	prefix := "connections." + o.Name + "."
	return &report{logger: o.Logger.With().Str("listener", o.Name).Logger(), registry: registry, prefix: prefix,
		connections: metrics.GetOrRegisterGauge(prefix+"open", registry), bytes: metrics.GetOrRegisterGauge(prefix+"bytes", registry),
		counts: map[reason]int{}}
}

// gauge updates the number of connections and what they are charged.
func (r *report) gauge(connections int, bytes int64) {
	r.connections.Update(int64(connections))
	r.bytes.Update(bytes)
}

// add counts an event.
func (r *report) add(why reason) {
	metrics.GetOrRegisterCounter(r.prefix+string(why), r.registry).Inc(1)
	if why == reasonIdleTimeout {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[why]++
	if r.pending {
		return
	}
	r.pending = true
	time.AfterFunc(max(0, logInterval-time.Since(r.loggedAt)), r.log)
}

// addTimeout counts the end of a read by the time limit of a phase.
func (r *report) addTimeout(p phase) {
	switch p {
	case phaseIdle:
		r.add(reasonIdleTimeout)
	case phaseHeader:
		r.add(reasonHeaderTimeout)
	case phaseBody:
		r.add(reasonBodyStalled)
	}
}

// log writes a line with the events since the last one.
func (r *report) log() {
	r.mu.Lock()
	counts := r.counts
	r.counts, r.pending, r.loggedAt = map[reason]int{}, false, time.Now()
	r.mu.Unlock()
	event := r.logger.Warn().Int64("open", r.connections.Value()).Int64("bytes", r.bytes.Value())
	for why, n := range counts {
		event = event.Int(string(why), n)
	}
	event.Msg("callers refused or closed")
}
