package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestReservationAvoidsUnstoppableWork guards against reserving the rack with the most unstoppable work, which the gang
// would have to wait for. Such a rack looks cheapest if only the loss of stops is counted, since nothing can be stopped
// there.
func TestReservationAvoidsUnstoppableWork(t *testing.T) {
	f := newFixture(t, 8, nil)
	unstoppable := map[string]bool{"w-00": true, "w-01": true, "w-02": true, "w-03": true, "w-07": true}
	for i := range 8 {
		worker := fmt.Sprintf("w-%02d", i)
		j := jobs.Job{ID: "busy-" + worker, Account: "b", Shape: shape(1, 8, resource.AdjacencyNone),
			RunOnce: unstoppable[worker]}
		f.core.Adopt(j, 1, Placement{worker}, jobs.StateRunning, f.now)
	}
	f.submit("gang", "a", shape(4, 8, resource.AdjacencyRack))
	f.planAndStart()
	// The fixture sets policy.max_wait_ms to one minute.
	f.advance(reserveUnstoppableWaits * time.Minute)
	f.planAndStart()
	reservation := f.core.jobs["gang"].hold
	if reservation == nil || reservation.claim {
		t.Fatalf("the gang has no reservation: %s", f.core.Why("gang", f.now))
	}
	for _, w := range reservation.placement {
		if w.id < "w-04" {
			t.Fatalf("reserved worker %s in the rack with four workers of unstoppable work, not in the rack with one", w.id)
		}
	}
}
