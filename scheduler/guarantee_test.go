package scheduler

import (
	"testing"

	"github.com/redwingthread/redwingthread/resource"
)

// TestDegraded guards against treating a guarantee without healthy capacity as a violated invariant instead of
// reporting it as degraded, and against reporting it after the capacity is back.
func TestDegraded(t *testing.T) {
	f := newFixture(t, 4, withGuarantee("a", 2, shape(2, 8, resource.AdjacencyRack)))
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Fatalf("guarantees are degraded although all workers are up: %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUnreachable, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 1 || d[0].Missing != 1 {
		t.Errorf("want one guarantee with one unbound cell, got %+v", d)
	}
	f.core.SetWorkerHealth("w-01", HealthUp, f.now)
	f.planAndStart()
	if d := f.core.Degraded(); len(d) != 0 {
		t.Errorf("guarantees are still degraded after the worker is up again: %+v", d)
	}
}
