package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// Weights that rank workers and waiting jobs.
const (
	// rackPackingWeight prefers racks with little free capacity, so that whole racks stay free for large gangs. It is
	// below 1 so that it never outweighs breaking up an empty worker.
	rackPackingWeight = 0.5
	// strandedWeight makes accelerators that are left without processors or memory (stranded accelerators) cost more
	// than any other capacity that becomes unusable.
	strandedWeight = 2.0
	// suspicionWeight ranks workers with unexplained failures behind others; it is multiplied by the number of
	// failures.
	suspicionWeight = 1.0
	// mixingWeight is the weight of keeping jobs that lose their progress when stopped apart from those that do not.
	mixingWeight = 0.3
	// maxOvertakeWaits limits, as a multiple of policy.max_wait_ms, how far the ranking may move a job ahead of its
	// submission time. It bounds how long a continuous sequence of jobs that the ranking prefers can delay other jobs.
	maxOvertakeWaits = 12
)

// score returns the cost of placing n members of the request on w; lower is better. The fragmentation weight applies to
// capacity that becomes unusable for large gangs, and the remainder up to 1 to the risk that the members are stopped
// and finish later.
func (c *Core) score(w *worker, r *placementRequest, n int) float64 {
	fragmentationWeight := c.fragmentationWeight()
	need := r.shape.PerMember.Times(n)
	score := 0.0
	if fragmentationWeight > 0 {
		score += fragmentationWeight * c.fragmentation(w, need)
	}
	if fragmentationWeight < 1 && r.cell == nil && !r.unstoppable {
		score += (1 - fragmentationWeight) * c.reclaimRisk(w, need)
	}
	if n := len(w.standing.suspicions); n > 0 {
		score += suspicionWeight * float64(min(n, minFailedJobs))
	}
	if r.job != nil && need.Accelerators > 0 {
		score += mixingWeight * c.mixingPenalty(w.rack, r.job)
	}
	return score
}

// mixingPenalty returns the cost of mixing j with the other jobs of a rack. It gathers jobs that lose their progress
// when stopped in few racks, so that the other racks are cheap to empty for large gangs.
func (c *Core) mixingPenalty(rk *rack, j *job) float64 {
	if rk.totalAccelerators == 0 {
		return 0
	}
	share := float64(rk.uncheckpointed) / float64(rk.totalAccelerators)
	if j.CanCheckpoint {
		return share
	}
	return 1 - share
}

// fragmentationWeight returns policy.fragmentation_weight, limited to 0..1.
func (c *Core) fragmentationWeight() float64 { return min(max(c.policy.FragmentationWeight, 0), 1) }

// fragmentation estimates the share of the worker and its rack that the placement makes unusable for large gangs.
func (c *Core) fragmentation(w *worker, need resource.Resources) float64 {
	free := w.free()
	after := free.Sub(need)
	score := 0.0
	if w.capacity.Accelerators > 0 {
		capacity := float64(w.capacity.Accelerators)
		score += strandedWeight * float64(c.stranded(after)-c.stranded(free)) / capacity
		if need.Accelerators > 0 {
			score += float64(after.Accelerators) / capacity
		}
	}
	if need.Accelerators == 0 {
		score += freeShare(after, w.capacity)
	}
	w.rack.refresh()
	if c.largestRack > 0 {
		score += rackPackingWeight * float64(w.rack.freeAccelerators) / float64(c.largestRack)
	}
	return score
}

// stranded returns how many free accelerators lack the processors or memory that the standard large shape needs with
// them.
func (c *Core) stranded(free resource.Resources) int {
	per := c.policy.StandardLargeShape.PerMember
	if per.Accelerators == 0 || free.Accelerators <= 0 {
		return 0
	}
	usable := free.Accelerators
	if per.MilliCPU > 0 {
		usable = min(usable, int(max(free.MilliCPU, 0)*int64(per.Accelerators)/per.MilliCPU))
	}
	if per.MemoryMB > 0 {
		usable = min(usable, int(max(free.MemoryMB, 0)*int64(per.Accelerators)/per.MemoryMB))
	}
	return free.Accelerators - usable
}

// freeShare returns the larger of the shares of processors and memory that are left of capacity.
func freeShare(left, capacity resource.Resources) float64 {
	share := 0.0
	if capacity.MilliCPU > 0 {
		share = max(share, float64(left.MilliCPU)/float64(capacity.MilliCPU))
	}
	if capacity.MemoryMB > 0 {
		share = max(share, float64(left.MemoryMB)/float64(capacity.MemoryMB))
	}
	return share
}

// reclaimRisk estimates the share of need that would use capacity bound to unclaimed cells or reserved, from which the
// members may be stopped.
func (c *Core) reclaimRisk(w *worker, need resource.Resources) float64 {
	safe := w.free().Sub(w.reserved).Sub(w.unclaimed)
	return max(0, excessShare(need, safe))
}

// excessShare returns the largest share of any resource of need that exceeds safe, 0 if need fits.
func excessShare(need, safe resource.Resources) float64 {
	share := 0.0
	if over := need.Accelerators - max(safe.Accelerators, 0); over > 0 {
		share = max(share, float64(over)/float64(need.Accelerators))
	}
	if over := need.MilliCPU - max(safe.MilliCPU, 0); over > 0 {
		share = max(share, float64(over)/float64(need.MilliCPU))
	}
	if over := need.MemoryMB - max(safe.MemoryMB, 0); over > 0 {
		share = max(share, float64(over)/float64(need.MemoryMB))
	}
	return share
}

// rackScore returns the cost of placing a gang in a rack; lower is better. It prefers a rack that the gang fills, so
// that others stay empty.
func (c *Core) rackScore(rk *rack, r *placementRequest, found []candidate) float64 {
	score := 0.0
	left := r.shape.Members
	for _, f := range found {
		n := min(f.fits, left)
		score += f.score * float64(n)
		left -= n
	}
	score /= float64(r.shape.Members)
	if rk.totalAccelerators > 0 {
		spare := rk.freeAccelerators - r.shape.Total().Accelerators
		score += c.fragmentationWeight() * float64(spare) / float64(c.largestRack)
	}
	return score
}

// computeQueueTime returns the time by which waiting jobs are ordered. At fragmentation weight 0, jobs with short
// estimated run times move ahead of their submission time; at 1, large gangs do; values between combine both.
// maxOvertakeWaits limits the move, so every job is overtaken for a bounded time only.
func (c *Core) computeQueueTime(j *job) time.Time {
	span := float64(c.maxWait()) * maxOvertakeWaits
	fragmentationWeight := c.fragmentationWeight()
	ahead := fragmentationWeight*c.relativeSize(j) + (1-fragmentationWeight)*c.shortness(j)
	return j.submittedAt.Add(-time.Duration(span * ahead))
}

// shortness returns how little work j is estimated to need: 1 for none, decreasing to 0 for the work that the standard
// large shape does in maxOvertakeWaits. It is 0 without an estimate.
func (c *Core) shortness(j *job) float64 {
	run, ok := c.estimatedRunTime(j)
	standard := float64(c.policy.StandardLargeShape.Total().Accelerators) * maxOvertakeWaits * c.maxWait().Seconds()
	if !ok || standard <= 0 {
		return 0
	}
	return 1 - min(1, c.acceleratorWeight(j)*run.Seconds()/standard)
}

// relativeSize returns the size of j relative to the standard large shape, at most 1. It is 0 if the policy has no
// standard large shape.
func (c *Core) relativeSize(j *job) float64 {
	standard := sizeOf(c.policy.StandardLargeShape)
	if standard <= 0 {
		return 0
	}
	return min(1, float64(j.size())/float64(standard))
}
