package configlog

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics of all followers in this process. Operators monitor these names.
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
	// metricStopped is 1 after the fold has stopped or the log has violated its contract. An operator must intervene.
	metricStopped = metrics.GetOrRegisterGauge("config.stopped", metrics.DefaultRegistry)
	metricFold    = metrics.GetOrRegisterTimer("config.fold", metrics.DefaultRegistry)
)

// countDecision counts a decision of the fold by its outcome. It does nothing if d is nil.
func countDecision(d *Decision) {
	switch {
	case d == nil:
	case d.Outcome == Accepted:
		metricAccepted.Inc(1)
	default:
		metricRefused.Inc(1)
	}
}

// recordFoldDuration records the duration of the fold of one record that started at start.
func recordFoldDuration(start time.Time) {
	metricRecords.Inc(1)
	metricFold.UpdateSince(start)
}
