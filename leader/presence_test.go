package leader

import (
	"testing"
	"time"
)

// TestOnlyDeregisteredWorkersAreGoneAtOnce guards against tasks that wait for the lease of a worker that has ended its runs
// and removed its entry, and against tasks that run twice because a worker that only stopped sending heartbeats counts as
// one that removed its entry.
func TestOnlyDeregisteredWorkersAreGoneAtOnce(t *testing.T) {
	heartbeat := 1500 * time.Millisecond
	cases := []struct {
		name         string
		seen, readAt time.Duration
		now          time.Duration
		want         bool
	}{
		{"removed soon after its last entry", 10 * time.Second, 10800 * time.Millisecond, 11200 * time.Millisecond, true},
		{"removed after three missed heartbeats", 10 * time.Second, 14200 * time.Millisecond, 14600 * time.Millisecond, false},
		{"entry and removal read together after a gap", 14 * time.Second, 10 * time.Second, 14 * time.Second, false},
	}
	for _, c := range cases {
		p := newPresence(heartbeat)
		p.seenAt["w"] = c.seen
		p.readAt = c.readAt
		if got := p.removedByWorker("w", c.now); got != c.want {
			t.Errorf("%s: removedByWorker returned %v", c.name, got)
		}
	}
	if p := newPresence(heartbeat); p.removedByWorker("unknown", time.Second) {
		t.Error("a worker without an entry counts as one that removed its entry")
	}
}
