package control

import (
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/infra"
)

// instruments holds the metrics of a Control. infra.HTTPWorkers counts the bytes on the wire, since it handles the
// connections.
type instruments struct {
	// requests counts the requests to workers, failures those that ended with an error before the shutdown.
	requests metrics.Counter
	failures metrics.Counter
	// commands and renewals count the commands and the renewed attempts in the requests, repeats included.
	commands metrics.Counter
	renewals metrics.Counter
	// appends counts the confirmed appends to the log.
	appends metrics.Counter
	tenures metrics.Counter
	// starts records the time in milliseconds from the decision to start an attempt until all members run, or until the
	// start is abandoned.
	starts metrics.Histogram
	// cpu is the processor time of the whole process in milliseconds.
	cpu metrics.Gauge
	// cpuAt is the time of the last update of cpu.
	cpuAt time.Time
}

func newInstruments(registry metrics.Registry) *instruments {
	return &instruments{
		requests: metrics.GetOrRegisterCounter("control.worker.requests", registry),
		failures: metrics.GetOrRegisterCounter("control.worker.failures", registry),
		commands: metrics.GetOrRegisterCounter("control.worker.commands", registry),
		renewals: metrics.GetOrRegisterCounter("control.worker.task_renewals", registry),
		appends:  metrics.GetOrRegisterCounter("control.log.appends", registry),
		tenures:  metrics.GetOrRegisterCounter("control.tenures", registry),
		starts:   metrics.GetOrRegisterHistogram("control.start_ms", registry, metrics.NewUniformSample(1028)),
		cpu:      metrics.GetOrRegisterGauge("control.cpu_ms", registry),
	}
}

func (c *instruments) sent(request *infra.CommandsRequest) {
	c.requests.Inc(1)
	c.commands.Inc(int64(len(request.Commands)))
	c.renewals.Inc(int64(len(request.Renew)))
}

func (c *instruments) received(_ *infra.CommandsResponse, err error) {
	if err != nil {
		c.failures.Inc(1)
	}
}

// cpuInterval is the time between updates of the cpu gauge.
const cpuInterval = 5 * time.Second

func (c *instruments) updateCPU(now time.Time) {
	if now.Sub(c.cpuAt) < cpuInterval {
		return
	}
	c.cpuAt = now
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.cpu.Update((usage.Utime.Nano() + usage.Stime.Nano()) / int64(time.Millisecond))
	}
}
