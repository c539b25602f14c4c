package inner

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// wire sums the bytes of all QUIC connections of the process, keep-alive and acknowledgements included.
var wire = newTraffic()

// traffic counts the bytes of connections.
type traffic struct {
	mu sync.Mutex
	// live holds the open connections, sent and received sum the closed ones; all are guarded by mu.
	live           map[*quic.Conn]struct{}
	sent, received uint64
}

func newTraffic() *traffic {
	t := &traffic{live: make(map[*quic.Conn]struct{})}
	gauge := func(name string, read func() int64) {
		metrics.GetOrRegister(name, metrics.NewFunctionalGauge(read))
	}
	gauge("inner.wire_bytes_sent", func() int64 { sent, _ := t.totals(); return sent })
	gauge("inner.wire_bytes_received", func() int64 { _, received := t.totals(); return received })
	return t
}

// add counts conn until it closes, and what it had transferred from then on.
func (t *traffic) add(conn *quic.Conn) {
	t.mu.Lock()
	t.live[conn] = struct{}{}
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		stats := conn.ConnectionStats()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.live, conn)
		t.sent += stats.BytesSent
		t.received += stats.BytesReceived
	})
}

func (t *traffic) totals() (sent, received int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received = int64(t.sent), int64(t.received)
	for conn := range t.live {
		stats := conn.ConnectionStats()
		sent += int64(stats.BytesSent)
		received += int64(stats.BytesReceived)
	}
	return sent, received
}
