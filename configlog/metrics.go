package configlog

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// The metrics of the followers of this process. The names are part of what operators watch.
var (
	metricVersion      = metrics.GetOrRegisterGauge("config.version", metrics.DefaultRegistry)
	metricRecords      = metrics.GetOrRegisterCounter("config.records_folded", metrics.DefaultRegistry)
	metricAccepted     = metrics.GetOrRegisterCounter("config.patches_accepted", metrics.DefaultRegistry)
	metricRefused      = metrics.GetOrRegisterCounter("config.patches_refused", metrics.DefaultRegistry)
	metricReadErrors   = metrics.GetOrRegisterCounter("config.log_read_errors", metrics.DefaultRegistry)
	metricAppendErrors = metrics.GetOrRegisterCounter("config.log_append_errors", metrics.DefaultRegistry)
	metricFromPeers    = metrics.GetOrRegisterCounter("config.states_from_peers", metrics.DefaultRegistry)
	metricUnknown      = metrics.GetOrRegisterCounter("config.outcomes_unknown", metrics.DefaultRegistry)
	metricSnapshots    = metrics.GetOrRegisterCounter("config.snapshots_appended", metrics.DefaultRegistry)
	metricSkipped      = metrics.GetOrRegisterCounter("config.gaps_skipped", metrics.DefaultRegistry)
	// metricStopped is 1 while the fold goes no further or the log broke its contract; it needs an operator.
	metricStopped = metrics.GetOrRegisterGauge("config.stopped", metrics.DefaultRegistry)
	metricFold    = metrics.GetOrRegisterTimer("config.fold", metrics.DefaultRegistry)
)

// countDecision counts what the fold decided.
func countDecision(d *Decision) {
	switch {
	case d == nil:
	case d.Outcome == Accepted:
		metricAccepted.Inc(1)
	default:
		metricRefused.Inc(1)
	}
}

// timeFold records the time of the fold of one record, which started at began.
func timeFold(began time.Time) {
	metricRecords.Inc(1)
	metricFold.UpdateSince(began)
}
