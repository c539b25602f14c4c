package control

import (
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/infra"
)

// cost counts what control costs. Bytes on the wire are counted by infra.HTTPWorkers, which sees the connections.
type cost struct {
	requests metrics.Counter
	failures metrics.Counter
	commands metrics.Counter
	renewals metrics.Counter
	appends  metrics.Counter
	tenures  metrics.Counter
	// starts holds the time from the decision to start until all members run, in milliseconds.
	starts metrics.Histogram
	// cpu holds the processor time of the whole process in milliseconds.
	cpu   metrics.Gauge
	cpuAt time.Time
}

func newCost(registry metrics.Registry) *cost {
	return &cost{
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

func (c *cost) sent(request *infra.CommandsRequest) {
	c.requests.Inc(1)
	c.commands.Inc(int64(len(request.Commands)))
	c.renewals.Inc(int64(len(request.Renew)))
}

func (c *cost) received(_ *infra.CommandsResponse, err error) {
	if err != nil {
		c.failures.Inc(1)
	}
}

// cpuInterval is the time between updates of the processor time.
const cpuInterval = 5 * time.Second

func (c *cost) updateCPU(now time.Time) {
	if now.Sub(c.cpuAt) < cpuInterval {
		return
	}
	c.cpuAt = now
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.cpu.Update((usage.Utime.Nano() + usage.Stime.Nano()) / int64(time.Millisecond))
	}
}
