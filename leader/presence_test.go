package leader

import (
	"testing"
	"time"
)

// TestOnlyWorkersThatLeftAreDeadAtOnce guards against tasks that wait for a lease on a worker that has ended them, and
// against tasks that run twice because a silent worker counted as one that left.
func TestOnlyWorkersThatLeftAreDeadAtOnce(t *testing.T) {
	heartbeat := 1500 * time.Millisecond
	cases := []struct {
		name         string
		seen, readAt time.Duration
		now          time.Duration
		want         bool
	}{
		{"left soon after its last entry", 10 * time.Second, 10800 * time.Millisecond, 11200 * time.Millisecond, true},
		{"removed after three silent heartbeats", 10 * time.Second, 14200 * time.Millisecond, 14600 * time.Millisecond, false},
		{"entry and removal read together after a gap", 14 * time.Second, 10 * time.Second, 14 * time.Second, false},
	}
	for _, c := range cases {
		p := newPresence(heartbeat)
		p.seenAt["w"] = c.seen
		p.readAt = c.readAt
		if got := p.left("w", c.now); got != c.want {
			t.Errorf("%s: left is %v", c.name, got)
		}
	}
	if p := newPresence(heartbeat); p.left("unknown", time.Second) {
		t.Error("a worker of which no entry was read counts as one that left")
	}
}
