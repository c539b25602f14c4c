package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// Weights of the penalties that rank workers for a task; the worker with the lowest sum is chosen.
const (
	// fitUnit counts for each accelerator that is left free on the worker.
	fitUnit = 20
	// weightAvoided counts for each run of the unit that went wrong on the worker.
	weightAvoided = 10_000 * fitUnit
	// weightCold counts for a worker that is slow after its start: a warm worker in another rack is preferred.
	weightCold = 1_500 * fitUnit
	// weightRemote counts for a worker outside the preferred rack.
	weightRemote = 1_000 * fitUnit
	// weightAmbiguousCrash counts for a worker on which a start would make a crash hard to attribute.
	weightAmbiguousCrash = 500 * fitUnit
	// weightFailures counts for each failure on the worker since its last success.
	weightFailures = 100 * fitUnit
)

// Weights of the speed of a worker, for each class above or below the usual one and each task. They are bounded by maxSpeedBand
// classes: urgent work leaves up to 5 more accelerators of a worker unused to run there rather than on one of the usual speed, normal
// work up to 2. Work of lower priority leaves the fast workers to others where the fit is equal.
const (
	urgentSpeedWeight = 25
	normalSpeedWeight = 12
	batchSpeedWeight  = -2
	// mismatchWeight counts for each class by which a member of a gang is faster than the slowest one, for which it waits.
	mismatchWeight = 12
)

// speedPenalty rates workers of the class of speeds for a task of the step; lower is better.
func speedPenalty(s *step, band int) int {
	switch s.job.policy.Priority {
	case 0:
		return -urgentSpeedWeight * band
	case 1:
		return -normalSpeedWeight * band
	}
	return -batchSpeedWeight * band
}

// fitPenalty rates a worker for a task without its speed; lower is better. It prefers workers without failures, and among those the one
// that is left with the fewest free accelerators (best fit), so that whole workers stay free for large tasks.
func (c *Core) fitPenalty(u *unit, w *worker) int {
	left := w.free().Accelerators - u.step.spec.Demand.Accelerators
	sum := left*fitUnit + u.avoid[w.id]*weightAvoided + w.health.failures*weightFailures
	if c.crashWouldBeAmbiguous(u, w) {
		sum += weightAmbiguousCrash
	}
	if c.cold(w) {
		sum += weightCold
	}
	return sum
}

// penalty rates a worker for a single task; lower is better.
func (c *Core) penalty(u *unit, w *worker) int {
	return c.fitPenalty(u, w) + speedPenalty(u.step, w.band)
}

// fastestBand returns the class of the slowest of the fastest workers that have room for size members.
func (r *rackRoom) fastestBand(size int) int {
	var room [2*maxSpeedBand + 1]int
	for i, w := range r.workers {
		room[w.band+maxSpeedBand] += r.room[i]
	}
	for at := len(room) - 1; at > 0; at-- {
		if size -= room[at]; size <= 0 {
			return at - maxSpeedBand
		}
	}
	return -maxSpeedBand
}

// candidate is a worker with room for members of a gang.
type candidate struct {
	worker        *worker
	room, penalty int
}

// assignMembers returns one worker per member; nil if there is not enough room. Workers of like speed are chosen, since a gang takes as
// long as its slowest member, unless that leaves too many accelerators of other workers unused.
func (c *Core) assignMembers(u *unit, r *rackRoom) []*worker {
	if r.total < u.size {
		return nil
	}
	candidates := make([]candidate, len(r.workers))
	slowest, fastest := maxSpeedBand, -maxSpeedBand
	for i, w := range r.workers {
		candidates[i] = candidate{worker: w, room: r.room[i], penalty: c.fitPenalty(u, w)}
		slowest, fastest = min(slowest, w.band), max(fastest, w.band)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.penalty, b.penalty) })
	bestLow, bestHigh, bestCost := slowest, fastest, math.MaxInt
	for low := slowest; low <= fastest; low++ {
		// Two neighbouring classes hold workers of like speed: a speed near the border of two is learned as either.
		for _, high := range [...]int{min(low+1, fastest), fastest} {
			if cost, fits := gangCost(u, candidates, low, high); fits && cost < bestCost {
				bestLow, bestHigh, bestCost = low, high, cost
			}
		}
	}
	members := make([]*worker, 0, u.size)
	for _, cand := range candidates {
		if cand.worker.band < bestLow || cand.worker.band > bestHigh {
			continue
		}
		for range min(cand.room, u.size-len(members)) {
			members = append(members, cand.worker)
		}
	}
	return members
}

// gangCost returns the cost of running the unit on the first of the candidates whose classes of speed are between low and high; false
// if they do not have enough room.
func gangCost(u *unit, candidates []candidate, low, high int) (cost int, fits bool) {
	missing, slowest, bands := u.size, maxSpeedBand, 0
	for i := range candidates {
		cand := &candidates[i]
		band := cand.worker.band
		if band < low || band > high {
			continue
		}
		n := min(cand.room, missing)
		cost += n * cand.penalty
		bands += n * band
		slowest = min(slowest, band)
		if missing -= n; missing == 0 {
			return cost + u.size*speedPenalty(u.step, slowest) + mismatchWeight*(bands-u.size*slowest), true
		}
	}
	return 0, false
}
