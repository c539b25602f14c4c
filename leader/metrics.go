package leader

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/dispatch"
)

// Names of the counters and latency timers of the holder of the schedule.
const (
	counterStartsAccepted = "schedule.starts.accepted"
	counterStartsRefused  = "schedule.starts.refused"
	counterStops          = "schedule.stops"
	// counterStartsCancelled counts the starts that were answered after the cancellation of their job was read.
	counterStartsCancelled = "schedule.starts.cancelled"
	counterSlowMoves       = "schedule.stops.slow"
	counterSlowWorkers     = "schedule.workers.slow"
	counterSpeedsLearned   = "schedule.workers.speed"
	// counterWorkersRestarted counts the processes that respond under the id and address of a former one.
	counterWorkersRestarted = "schedule.workers.restarted"
	// counterStartsEvacuated counts the starts that were given up because the failure domain is evacuated, counterStartsHeld the
	// attempts that were put off because the evacuations were not known.
	counterStartsEvacuated = "schedule.starts.evacuated"
	counterStartsHeld      = "schedule.starts.held"
	timerStart             = "schedule.start.latency"
	timerAppend            = "schedule.append.latency"
	timerPlan              = "schedule.plan.latency"
)

// countedEvents maps the names of the decisions that are counted to their counters.
var countedEvents = map[string]string{
	dispatch.EventSlowMove:    counterSlowMoves,
	dispatch.EventWorkerSlow:  counterSlowWorkers,
	dispatch.EventWorkerSpeed: counterSpeedsLearned,
}

// count adds one to the counter.
func count(name string) { metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry).Inc(1) }

// observe records a latency in the timer.
func observe(name string, took time.Duration) {
	metrics.GetOrRegisterTimer(name, metrics.DefaultRegistry).Update(took)
}
