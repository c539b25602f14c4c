package scheduler

import "time"

// Conditions describes the states of a failure domain that operators should know of, as of the last Plan.
type Conditions struct {
	// Quarantined lists the workers that were quarantined because several different jobs failed there, ordered by rack
	// and id.
	Quarantined []QuarantinedWorker
	// Degraded lists the guarantees that do not fit the healthy capacity.
	Degraded []DegradedGuarantee
}

// QuarantinedWorker is a worker on which no job is placed before Until. After that it gets a trial job.
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
		if w.standing.phase == phaseQuarantined {
			conditions.Quarantined = append(conditions.Quarantined, QuarantinedWorker{w.id, w.standing.until})
		}
	}
	return conditions
}
