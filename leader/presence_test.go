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
		name string
		// readBefore is the start of the last read without the entry, failedAt the end of the last read that failed.
		readBefore, failedAt, now time.Duration
		want                      bool
	}{
		{"removed soon after its last entry", 10 * time.Second, 0, 11200 * time.Millisecond, true},
		{"removed soon after its last entry, long after an outage", 10 * time.Second, 9 * time.Second, 11200 * time.Millisecond, true},
		{"removed after three missed heartbeats", 10 * time.Second, 0, 14600 * time.Millisecond, false},
		{"entry and removal read together after a gap", 10 * time.Second, 0, 14 * time.Second, false},
		{"entry stored before an outage and read after it", 10 * time.Second, 14500 * time.Millisecond, 15200 * time.Millisecond, false},
		{"removed by the store right after its return from a short outage", 10 * time.Second, 10500 * time.Millisecond, 11 * time.Second, false},
	}
	for _, c := range cases {
		p := newPresence(heartbeat)
		p.readAt = c.readBefore
		p.entryRead("w")
		p.failedAt = c.failedAt
		if got := p.removedByWorker("w", c.now); got != c.want {
			t.Errorf("%s: removedByWorker returned %v", c.name, got)
		}
	}
	if p := newPresence(heartbeat); p.removedByWorker("unknown", time.Second) {
		t.Error("a worker without an entry counts as one that removed its entry")
	}
}
