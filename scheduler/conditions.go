package scheduler

import "time"

// Conditions are the states of a failure domain that an operator should know of. They are as of the last Plan.
type Conditions struct {
	// Quarantined lists the workers on which several different jobs failed, in order of rack and id.
	Quarantined []QuarantinedWorker
	// Degraded lists the guarantees that the healthy capacity does not hold.
	Degraded []DegradedGuarantee
}

// QuarantinedWorker is a worker that gets no job until Until, when it gets one trial job.
type QuarantinedWorker struct {
	Worker string
	Until  time.Time
}

// Conditions implements Planner.
func (c *Core) Conditions() Conditions {
	conditions := Conditions{Degraded: c.Degraded()}
	if c.suspended == 0 {
		return conditions
	}
	for _, w := range c.ordered {
		if w.conduct.phase == phaseQuarantined {
			conditions.Quarantined = append(conditions.Quarantined, QuarantinedWorker{w.id, w.conduct.until})
		}
	}
	return conditions
}
