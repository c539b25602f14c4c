package telemetry

import (
	"fmt"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// counterPanics counts the panics that Contain has recovered from.
const counterPanics = "process.panics"

// Contain calls f and recovers from a panic in it, so that one malformed message or one error of the program does not take
// down the process. It logs the panic with its stack and counts it. It reports whether f returned; if not, the state that f
// was changing must not be used any more. task says what f does, for the log.
func Contain(logger zerolog.Logger, task string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		cause := recover()
		metrics.GetOrRegisterCounter(counterPanics, nil).Inc(1)
		logger.Error().Str("task", task).Str("panic", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("panic contained")
	}()
	f()
	return true
}
