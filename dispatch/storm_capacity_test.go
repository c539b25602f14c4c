package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// stormShrinkBound is the time after which a shrunk capacity counts.
	stormShrinkBound = 4 * time.Second
	// maxCapacityTicks bounds the time until a shrunk capacity grows back, maxReportTicks that until the core is notified of
	// a change.
	maxCapacityTicks = 160
	maxReportTicks   = 30
	// capacityStream separates the random numbers of capacity changes from those of the other faults of a seed.
	capacityStream = 3
)

// capacityFaults shrinks and grows the capacity of workers.
type capacityFaults struct {
	rng *rand.Rand
	// enforced is true if workers reject starts that exceed their present capacity; otherwise they execute all starts.
	enforced bool
	changes  []capacityChange
	// earlier holds what each worker stated until a change.
	earlier map[string][]statedCapacity
}

// capacityChange is due at a time. A change without a capacity notifies the core of the present one.
type capacityChange struct {
	at       time.Duration
	worker   string
	capacity resource.Resources
}

type statedCapacity struct {
	resource.Resources
	until time.Duration
}

func newCapacityFaults(seed uint64) *capacityFaults {
	return &capacityFaults{
		rng: rand.New(rand.NewPCG(seed, capacityStream)), enforced: seed%2 == 0, earlier: map[string][]statedCapacity{},
	}
}

func (f *capacityFaults) delay(ticks int) time.Duration {
	return time.Duration(f.rng.IntN(ticks)) * stormTick
}

// shrunkCapacity returns 25 to 75 % of each part of workerSize.
func (f *capacityFaults) shrunkCapacity() resource.Resources {
	percent := func() int { return 25 + f.rng.IntN(51) }
	return resource.Resources{
		Accelerators: workerSize.Accelerators * percent() / 100,
		MilliCPU:     workerSize.MilliCPU * int64(percent()) / 100,
		MemoryMB:     workerSize.MemoryMB * int64(percent()) / 100,
	}
}

// changeCapacities shrinks the capacity of a random worker now and then, and applies the changes that are due.
func (s *storm) changeCapacities() {
	f := s.capacity
	if f == nil {
		return
	}
	if !s.faultsOver && f.rng.IntN(20) == 0 {
		id := s.workerIDs[f.rng.IntN(len(s.workerIDs))]
		f.changes = append(f.changes,
			capacityChange{at: s.now, worker: id, capacity: f.shrunkCapacity()},
			capacityChange{at: s.now + f.delay(maxCapacityTicks), worker: id, capacity: workerSize})
	}
	due := slices.Clone(f.changes)
	f.changes = slices.DeleteFunc(f.changes, func(c capacityChange) bool { return c.at <= s.now })
	for _, change := range due {
		if change.at <= s.now {
			s.applyCapacityChange(change)
		}
	}
}

func (s *storm) applyCapacityChange(change capacityChange) {
	w, f := s.workers[change.worker], s.capacity
	if change.capacity.IsZero() {
		s.core.SetWorker(w.info)
		return
	}
	f.earlier[change.worker] = append(f.earlier[change.worker], statedCapacity{Resources: w.info.Capacity, until: s.now})
	w.info.Capacity = change.capacity
	f.changes = append(f.changes, capacityChange{at: s.now + f.delay(maxReportTicks), worker: change.worker})
}

// checkRoom reports whether the worker executes a start, and fails the test if the start exceeds what the worker stated in
// the stormShrinkBound before it was sent and since then.
func (s *storm) checkRoom(id string, cmd *stormCommand) bool {
	used := s.usedWith(id, cmd.ref())
	w, f := s.workers[id], s.capacity
	if used.Fits(w.info.Capacity) {
		return true
	}
	if f == nil || f.enforced {
		return false
	}
	permitted := w.info.Capacity
	for _, earlier := range f.earlier[id] {
		if cmd.sentAt-earlier.until <= stormShrinkBound {
			permitted = resource.Resources{
				Accelerators: max(permitted.Accelerators, earlier.Accelerators),
				MilliCPU:     max(permitted.MilliCPU, earlier.MilliCPU),
				MemoryMB:     max(permitted.MemoryMB, earlier.MemoryMB),
			}
		}
	}
	if !used.Fits(permitted) {
		s.t.Fatalf("%v, attempt %d, sent at %s in epoch %d of %d, makes the runs on %s use %+v of %+v at %s", cmd.ref(), cmd.attempt, cmd.sentAt, cmd.epoch, s.epoch,
			id, used, permitted, s.now)
	}
	return true
}

var capacitySeeds = flag.Uint64("storm.capacityseeds", 100, "number of seeds of TestStormCapacity")

// capacityRegressions holds the seeds from 100 on that found a fault.
var capacityRegressions = []uint64{
	// A start without a response, sent again after the capacity of its worker had shrunk, as in seed 9.
	1289,
}

// TestStormCapacity guards against starts that exceed the capacity of a worker that has shrunk and executes whatever it is
// told to start (odd seeds), and against jobs that never end after starts were rejected (even seeds). The other faults of
// TestStorm are injected too.
func TestStormCapacity(t *testing.T) {
	seeds := slices.Clone(capacityRegressions)
	for seed := range *capacitySeeds {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newStorm(t, seed)
			s.capacity = newCapacityFaults(seed)
			s.run()
		})
	}
}
