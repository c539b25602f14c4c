package control

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/scheduler"
)

// conditions are the conditions that were last logged, by a text that names them.
type conditions struct {
	quarantined map[string]bool
	degraded    map[string]bool
}

// reportConditions logs which workers and guarantees changed their condition since the last plan.
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
