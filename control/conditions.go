package control

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/scheduler"
)

// conditions holds the conditions that were last logged: quarantined workers by id, degraded guarantees by a text with
// account, number missing and shape.
type conditions struct {
	quarantined map[string]bool
	degraded    map[string]bool
}

// reportConditions logs quarantined workers and degraded guarantees that came or went since the last plan, and updates their
// metrics.
func (c *Control) reportConditions(now scheduler.Conditions) {
	next := conditions{quarantined: map[string]bool{}, degraded: map[string]bool{}}
	for _, q := range now.Quarantined {
		next.quarantined[q.Worker] = true
		if !c.conditions.quarantined[q.Worker] {
			c.log.Warn().Str("worker", q.Worker).Time("until", q.Until).Msg("worker quarantined")
		}
	}
	for _, d := range now.Degraded {
		name := fmt.Sprintf("%s: %d x %+v", d.Account, d.Missing, d.Shape)
		next.degraded[name] = true
		if !c.conditions.degraded[name] {
			c.log.Warn().Str("account", d.Account).Int("missing", d.Missing).Interface("shape", d.Shape).
				Msg("guarantee degraded")
		}
	}
	for worker := range c.conditions.quarantined {
		if !next.quarantined[worker] {
			c.log.Info().Str("worker", worker).Msg("worker quarantine ended")
		}
	}
	if len(c.conditions.degraded) > 0 && len(next.degraded) == 0 {
		c.log.Info().Msg("all guarantees restored")
	}
	c.conditions = next
	metrics.GetOrRegisterGauge("control.workers_quarantined", c.Metrics).Update(int64(len(next.quarantined)))
	metrics.GetOrRegisterGauge("control.guarantees_degraded", c.Metrics).Update(int64(len(next.degraded)))
}
