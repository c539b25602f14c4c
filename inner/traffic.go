package inner

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// connTraffic counts the bytes of all QUIC connections of the process, including keep-alive packets and
// acknowledgements.
var connTraffic = newTrafficCounter()

// trafficCounter counts the bytes of QUIC connections and exports the totals as metrics.
type trafficCounter struct {
	mu sync.Mutex
	// open holds the open connections; sent and received are the byte totals of the closed ones. All are guarded by mu.
	open           map[*quic.Conn]struct{}
	sent, received uint64
}

func newTrafficCounter() *trafficCounter {
	t := &trafficCounter{open: make(map[*quic.Conn]struct{})}
	gauge := func(name string, read func() int64) {
		metrics.GetOrRegister(name, metrics.NewFunctionalGauge(read))
	}
	gauge("inner.wire_bytes_sent", func() int64 { sent, _ := t.totals(); return sent })
	gauge("inner.wire_bytes_received", func() int64 { _, received := t.totals(); return received })
	return t
}

// add includes conn in the totals. When conn closes, its final byte counts are added to sent and received.
func (t *trafficCounter) add(conn *quic.Conn) {
	t.mu.Lock()
	t.open[conn] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		stats := conn.ConnectionStats()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, conn)
		t.sent += stats.BytesSent
		t.received += stats.BytesReceived
	})
}

// totals returns the bytes of all connections, open and closed.
func (t *trafficCounter) totals() (sent, received int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received = int64(t.sent), int64(t.received)
	for conn := range t.open {
		stats := conn.ConnectionStats()
		sent += int64(stats.BytesSent)
		received += int64(stats.BytesReceived)
	}
	return sent, received
}
