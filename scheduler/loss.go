package scheduler

import "time"

// Costs of stopping a job.
const (
	// restartLoss is the run time that a checkpoint, stop and restart cost even if no progress is lost.
	restartLoss = 30 * time.Second
	// cpuMemberWeight is the weight of a member without accelerators, relative to one accelerator.
	cpuMemberWeight = 0.1
	// unreachableLoss is added for a job with a member on an unreachable worker, whose stop takes until its lease
	// expires.
	unreachableLoss = time.Hour
)

// loss returns the work lost by stopping j, in accelerator-seconds. It is computed once per plan.
func (c *Core) loss(j *job) float64 {
	if j.lossPlan != c.planCount {
		j.lossValue, j.lossPlan = c.computeLoss(j), c.planCount
	}
	return j.lossValue
}

// computeLoss computes the result of loss. A job has worked since all its members ran.
func (c *Core) computeLoss(j *job) float64 {
	lost := restartLoss
	if !j.CanCheckpoint && !j.runningSince.IsZero() {
		lost += c.now.Sub(j.runningSince)
	}
	for _, w := range j.placement {
		if w.health == HealthUnreachable {
			lost += unreachableLoss
			break
		}
	}
	return c.acceleratorWeight(j) * lost.Seconds()
}

// acceleratorWeight returns the number of accelerators of a job. For a job without accelerators it returns the weight
// of its members, a fraction of an accelerator each.
func (c *Core) acceleratorWeight(j *job) float64 {
	if n := j.Shape.Total().Accelerators; n > 0 {
		return float64(n)
	}
	return cpuMemberWeight * float64(j.Shape.Members)
}
