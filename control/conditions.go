package control

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/scheduler"
)

// conditions holds the conditions of the last plan: quarantined workers by id, and degraded guarantees by a text of account,
// number of missing copies and shape.
type conditions struct {
	quarantined map[string]bool
	degraded    map[string]bool
}

// reportConditions logs the workers and guarantees that have become quarantined or degraded since the last plan, the workers
// whose quarantine has ended, and the end of the last degradation. It updates the metrics of both.
func (c *Control) reportConditions(current scheduler.Conditions) {
	next := conditions{quarantined: map[string]bool{}, degraded: map[string]bool{}}
	for _, q := range current.Quarantined {
		next.quarantined[q.Worker] = true
		if !c.conditions.quarantined[q.Worker] {
			c.logger.Warn().Str("worker", q.Worker).Time("until", q.Until).Msg("worker quarantined")
		}
	}
	for _, d := range current.Degraded {
		name := fmt.Sprintf("%s: %d x %+v", d.Account, d.Missing, d.Shape)
		next.degraded[name] = true
		if !c.conditions.degraded[name] {
			c.logger.Warn().Str("account", d.Account).Int("missing", d.Missing).Interface("shape", d.Shape).
				Msg("guarantee degraded")
		}
	}
	for worker := range c.conditions.quarantined {
		if !next.quarantined[worker] {
			c.logger.Info().Str("worker", worker).Msg("worker quarantine ended")
		}
	}
	if len(c.conditions.degraded) > 0 && len(next.degraded) == 0 {
		c.logger.Info().Msg("all guarantees restored")
	}
	c.conditions = next
	metrics.GetOrRegisterGauge("control.workers_quarantined", c.Metrics).Update(int64(len(next.quarantined)))
	metrics.GetOrRegisterGauge("control.guarantees_degraded", c.Metrics).Update(int64(len(next.degraded)))
}
