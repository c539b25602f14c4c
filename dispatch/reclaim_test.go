package dispatch

import (
	"testing"
	"time"
)

// TestGangStartsInTheRoomItClaimed guards against an urgent gang that waits until its claim expires, with the claimed workers idle: the
// claim was taken from the free accelerators that decide whether a search for the gang is worthwhile. The bound is the shortest
// time within which users expect guaranteed work to begin, 2.7 s, less the time to stop a run.
func TestGangStartsInTheRoomItClaimed(t *testing.T) {
	c := newTimedCluster(t, 4)
	c.submitEstimated("batch", "batch", "small", tasks(32, 1))
	c.runFor(time.Second)
	c.submitEstimated("urgent", "urgent", "large", spread(gangOf(3, 8)))
	c.runFor(4 * time.Second)
	if waited := c.waitTime("urgent"); waited > 1800*time.Millisecond {
		t.Errorf("the urgent gang waited %v after other work was stopped for it, want at most 1.8s", waited)
	}
}
