package scheduler

import (
	"testing"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// TestFragmentationWeightRanksWorkers guards against a fragmentation weight that does not affect the ranking of
// workers.
func TestFragmentationWeightRanksWorkers(t *testing.T) {
	for weight, want := range map[float64]string{0: "w-00", 1: "w-01"} {
		f := newFixture(t, 2, func(d *config.Document) { d.Policy.FragmentationWeight = weight })
		f.adoptRunning("x", "w-01", 6)
		f.submit("j", "a", shape(1, 2, resource.AdjacencyNone), canCheckpoint)
		if p := f.planAndStart(); p.Starts[0].Placement[0] != want {
			t.Errorf("weight %v placed on %s, want %s", weight, p.Starts[0].Placement[0], want)
		}
	}
}
