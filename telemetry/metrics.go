package telemetry

import (
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the process gauges, which are updated at every read of the metrics.
const (
	gaugeCPUMillis   = "process.cpu_ms"
	gaugeHeapBytes   = "process.heap_bytes"
	gaugeMaxRSSBytes = "process.max_rss_bytes"
	gaugeGoroutines  = "process.goroutines"
	gaugeUptimeMS    = "process.uptime_ms"
)

// kibibyte is the unit of Rusage.Maxrss on Linux, in bytes.
const kibibyte = 1024

var processStart = time.Now()

// MetricsHandler returns a handler that serves all metrics of the default registry as one JSON object.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		updateProcessGauges()
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
	})
}

// updateProcessGauges sets the process gauges to the current resource usage.
func updateProcessGauges() {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		setGauge(gaugeCPUMillis, cpu.Milliseconds())
		setGauge(gaugeMaxRSSBytes, usage.Maxrss*kibibyte)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	setGauge(gaugeHeapBytes, int64(memory.HeapAlloc))
	setGauge(gaugeGoroutines, int64(runtime.NumGoroutine()))
	setGauge(gaugeUptimeMS, time.Since(processStart).Milliseconds())
}

func setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, metrics.DefaultRegistry).Update(value)
}
