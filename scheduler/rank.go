package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// The ranking of workers and of waiting jobs.
const (
	// rackSpreadWeight ranks racks with little free capacity first, so that whole racks stay free for large gangs. It
	// is below 1 so that it never outweighs a whole worker broken up.
	rackSpreadWeight = 0.5
	// strandedWeight ranks accelerators left without processors or memory as worse than any other leftover.
	strandedWeight = 2.0
	// suspicionWeight ranks workers with unexplained failures behind others.
	suspicionWeight = 1.0
	// mixWeight is the weight of keeping jobs that lose their progress apart from those that do not.
	mixWeight = 0.3
	// overtakeWaits is the number of policy.max_wait_ms by which the ranking may move a job ahead of its submission
	// time. It bounds how long an endless stream of favoured jobs holds back another.
	overtakeWaits = 12
)

// score ranks w for n members of the request; lower is better. The weight of fragmentation counts capacity that becomes
// unusable for large gangs; the rest counts the risk that the members are stopped and finish later.
func (c *Core) score(w *worker, r *request, n int) float64 {
	weight := c.weight()
	need := r.shape.PerMember.Times(n)
	score := 0.0
	if weight > 0 {
		score += weight * c.fragmentation(w, need)
	}
	if weight < 1 && r.cell == nil && !r.hard {
		score += (1 - weight) * c.risk(w, need)
	}
	if n := len(w.conduct.suspicions); n > 0 {
		score += suspicionWeight * float64(min(n, suspectJobs))
	}
	if r.job != nil && need.Accelerators > 0 {
		score += mixWeight * c.mixing(w.rack, r.job)
	}
	return score
}

// mixing ranks racks so that jobs that lose their progress when stopped gather in few racks. The others are then cheap
// to empty for large gangs.
func (c *Core) mixing(k *rack, j *job) float64 {
	if k.accelerators == 0 {
		return 0
	}
	share := float64(k.settled) / float64(k.accelerators)
	if j.CanCheckpoint {
		return share
	}
	return 1 - share
}

// weight is policy.fragmentation_weight within 0..1.
func (c *Core) weight() float64 { return min(max(c.policy.FragmentationWeight, 0), 1) }

// fragmentation estimates the share of the worker and its rack that the placement leaves unusable for large gangs.
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
		score += fractionLeft(after, w.capacity)
	}
	w.rack.refresh()
	if c.largestRack > 0 {
		score += rackSpreadWeight * float64(w.rack.total) / float64(c.largestRack)
	}
	return score
}

// stranded returns how many free accelerators lack the processors and memory of the standard large shape.
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

// fractionLeft returns the larger free share of processors and memory.
func fractionLeft(left, capacity resource.Resources) float64 {
	share := 0.0
	if capacity.MilliCPU > 0 {
		share = max(share, float64(left.MilliCPU)/float64(capacity.MilliCPU))
	}
	if capacity.MemoryMB > 0 {
		share = max(share, float64(left.MemoryMB)/float64(capacity.MemoryMB))
	}
	return share
}

// risk estimates the share of the need that others may claim back: bound to cells or reserved.
func (c *Core) risk(w *worker, need resource.Resources) float64 {
	safe := w.free().Sub(w.reserved).Sub(w.unclaimed)
	return max(0, shareBeyond(need, safe))
}

// shareBeyond returns the largest share of need that exceeds safe, 0 if it fits.
func shareBeyond(need, safe resource.Resources) float64 {
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

// rackScore ranks a rack for a gang: a rack that the gang fills leaves other racks whole.
func (c *Core) rackScore(k *rack, r *request, found []candidate) float64 {
	score := 0.0
	left := r.shape.Members
	for _, f := range found {
		n := min(f.fits, left)
		score += f.score * float64(n)
		left -= n
	}
	score /= float64(r.shape.Members)
	if k.accelerators > 0 {
		spare := k.total - r.shape.Total().Accelerators
		score += c.weight() * float64(spare) / float64(c.largestRack)
	}
	return score
}

// queueKey orders the waiting jobs. Without weight on fragmentation, jobs that are learned to be short go ahead; with
// it, large gangs do. Both are bounded by overtakeWaits, so every job is overtaken for a bounded time only.
func (c *Core) queueKey(j *job) time.Time {
	span := float64(c.maxWait()) * overtakeWaits
	weight := c.weight()
	ahead := weight*c.largeness(j) + (1-weight)*c.brevity(j)
	return j.arrived.Add(-time.Duration(span * ahead))
}

// brevity returns how small the learned work of j is, from 0 for that of the standard large shape over
// overtakeWaits upwards to 1 for none.
func (c *Core) brevity(j *job) float64 {
	run, ok := c.learned(j)
	standard := float64(c.policy.StandardLargeShape.Total().Accelerators) * overtakeWaits * c.maxWait().Seconds()
	if !ok || standard <= 0 {
		return 0
	}
	return 1 - min(1, c.weightOf(j)*run.Seconds()/standard)
}

// largeness returns the size of j relative to the standard large shape, at most 1.
func (c *Core) largeness(j *job) float64 {
	standard := sizeOf(c.policy.StandardLargeShape)
	if standard <= 0 {
		return 0
	}
	return min(1, float64(j.size())/float64(standard))
}
