package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// plannedSizeDomain returns workers and demands of one failure domain at the planned size: 840 workers with 970 accelerators.
// It divides each rack into gangs and makes the given percentage of them guarantees of 150 accounts, so that a packing exists
// by construction.
func plannedSizeDomain(seed uint64, percent int) ([]resource.Worker, []Demand) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var workers []resource.Worker
	for i := range 840 {
		accelerators := 1
		if i%64 < 1 {
			accelerators = 11
		}
		workers = append(workers, resource.Worker{ID: fmt.Sprintf("w-%03d", i), Rack: fmt.Sprintf("r-%03d", i/8),
			Capacity: resource.Resources{Accelerators: accelerators, MilliCPU: 32_000, MemoryMB: 64 << 10}})
	}
	var demands []Demand
	for rack := range 105 {
		// Each rack is divided into gangs with one member on each of their workers; no two gangs share a worker.
		for firstWorker := 0; firstWorker < 8; {
			members := 1 + rng.IntN(min(8-firstWorker, 4))
			shape := resource.Shape{Members: members, Adjacency: resource.AdjacencyRack,
				PerMember: resource.Resources{Accelerators: 1, MilliCPU: 16_000 + rng.Int64N(16_000), MemoryMB: 32<<10 + rng.Int64N(32<<10)}}
			if members == 1 {
				shape.Adjacency = resource.AdjacencyWorker
			}
			if rng.IntN(100) < percent {
				demands = append(demands, Demand{Account: fmt.Sprintf("a-%03d", (rack+firstWorker)%150), Copy: len(demands), Shape: shape})
			}
			firstWorker += members
		}
	}
	return workers, demands
}

// TestPackPlannedSize guards against a packing check that is too slow for the fold of the configuration log, and against one
// that finds no packing although there is ample capacity.
func TestPackPlannedSize(t *testing.T) {
	for _, percent := range []int{50, 90, 100} {
		for seed := range uint64(5) {
			workers, demands := plannedSizeDomain(seed, percent)
			started := time.Now()
			cells, err := Pack(workers, demands)
			took := time.Since(started)
			t.Logf("%d%% seed %d: %d demands, %v, err %v", percent, seed, len(demands), took, err)
			if took > time.Second {
				t.Errorf("Pack took %v, want at most 1 s", took)
			}
			if err == nil {
				err = CheckPacking(workers, cells)
			}
			if err != nil {
				t.Errorf("%d%% seed %d: no valid packing: %v", percent, seed, err)
			}
		}
	}
}

// TestPackIsValidAndDeterministic guards against a packing that exceeds the capacity of a worker or violates an adjacency,
// against a result that depends on anything but the arguments, and against an error of another kind than Infeasible.
func TestPackIsValidAndDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []resource.Worker
		for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
			workers = append(workers, resource.Worker{ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 4), Capacity: drawResources(t, 8)})
		}
		var demands []Demand
		for i := range rapid.IntRange(1, 10).Draw(t, "demands") {
			shape := resource.Shape{Members: rapid.IntRange(1, 4).Draw(t, "members"), PerMember: drawResources(t, 4),
				Adjacency: rapid.SampledFrom([]resource.Adjacency{"none", "rack", "worker"}).Draw(t, "adjacency")}
			demands = append(demands, Demand{Account: "a", Copy: i, Shape: shape})
		}
		cells, err := Pack(workers, demands)
		again, _ := Pack(workers, demands)
		if fmt.Sprint(cells) != fmt.Sprint(again) {
			t.Fatal("two calls with equal arguments returned different packings")
		}
		if err != nil {
			if !errkind.Is(err, errkind.Infeasible) {
				t.Fatalf("error has kind %s, want infeasible", errkind.KindOf(err))
			}
			return
		}
		if len(cells) != len(demands) {
			t.Fatalf("%d cells for %d demands", len(cells), len(demands))
		}
		if err := CheckPacking(workers, cells); err != nil {
			t.Fatal(err)
		}
	})
}

func drawResources(t *rapid.T, maxAmount int) resource.Resources {
	return resource.Resources{
		Accelerators: rapid.IntRange(0, maxAmount).Draw(t, "accelerators"),
		MilliCPU:     rapid.Int64Range(1, int64(maxAmount)).Draw(t, "cpu"),
		MemoryMB:     rapid.Int64Range(1, int64(maxAmount)).Draw(t, "memory"),
	}
}

// TestCheckPacking verifies that the check of a packing is effective: it rejects exceeded capacity, unknown workers, violated
// adjacency and missing members.
func TestCheckPacking(t *testing.T) {
	workers := []resource.Worker{
		{ID: "a", Rack: "1", Capacity: resource.Resources{Accelerators: 2}},
		{ID: "b", Rack: "2", Capacity: resource.Resources{Accelerators: 2}},
	}
	demand := func(adjacency resource.Adjacency) Demand {
		return Demand{Shape: resource.Shape{Members: 2, Adjacency: adjacency, PerMember: resource.Resources{Accelerators: 1}}}
	}
	cases := map[string][]Cell{
		"overfilled": {{demand("none"), []string{"a", "a"}}, {demand("none"), []string{"a", "b"}}},
		"unknown":    {{demand("none"), []string{"a", "c"}}},
		"two hosts":  {{demand("worker"), []string{"a", "b"}}},
		"two racks":  {{demand("rack"), []string{"a", "b"}}},
		"member":     {{demand("none"), []string{"a"}}},
	}
	for name, cells := range cases {
		if CheckPacking(workers, cells) == nil {
			t.Errorf("CheckPacking accepted an invalid packing: %s", name)
		}
	}
}
