package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/control"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/membership"
	"github.com/redwingthread/redwingthread/scheduler"
	"github.com/redwingthread/redwingthread/settings"
)

const (
	// schedulerStopTimeout bounds the graceful stop of a scheduler: it gives its leases up and ends.
	schedulerStopTimeout = 5 * time.Second
	// drainPollInterval is the time between looks at whether the scheduler has to rest.
	drainPollInterval = time.Second
)

// RunScheduler runs the scheduler daemon until ctx ends, then gives its leases up, so that the other VM need not wait
// for them to lapse. Running tasks go on under their task leases.
func RunScheduler(ctx context.Context, s settings.Scheduler, log zerolog.Logger, self inner.Member) error {
	d := &schedulerDaemon{settings: s, log: log, workers: infra.NewHTTPWorkers(nil)}
	if err := d.open(self); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.base.start(running, milliseconds(s.TLS.ReloadMS))
	go d.forwardChanges(running)
	go d.announceActivity(running)
	log.Info().Str("inner", s.Listen.Inner).Msg("scheduler started")
	err := d.runTenures(ctx)
	closing, cancelClosing := context.WithTimeout(context.Background(), schedulerStopTimeout)
	defer cancelClosing()
	d.base.close(closing)
	log.Info().Msg("scheduler stopped")
	return err
}

// schedulerDaemon holds the parts of a running scheduler daemon.
type schedulerDaemon struct {
	settings settings.Scheduler
	log      zerolog.Logger
	base     *base
	workers  *infra.HTTPWorkers
	// control is nil while the daemon rests.
	control atomic.Pointer[control.Control]
	// changed wakes the control loop after each new configuration.
	changed chan struct{}
}

func (d *schedulerDaemon) open(self inner.Member) error {
	d.changed = make(chan struct{}, 1)
	var err error
	d.base, err = newBase(d.settings.Common, self, d.settings.Listen.Metrics, d.log, hooks{
		describe: d.describe,
		ready:    d.ready,
	})
	if err != nil {
		return err
	}
	d.base.mux.JobQuery = d.jobQuery
	return nil
}

// runTenures runs the control loop except while the scheduler has to rest, until ctx ends.
func (d *schedulerDaemon) runTenures(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.mustRest() {
			d.pause(ctx)
			continue
		}
		if err := d.runUntilRest(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runUntilRest runs one control loop until ctx ends or the scheduler has to rest.
func (d *schedulerDaemon) runUntilRest(ctx context.Context) error {
	loop, err := d.newControl()
	if err != nil {
		return err
	}
	working, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for working.Err() == nil && !d.mustRest() {
			d.pause(working)
		}
		stop()
	}()
	d.control.Store(loop)
	defer d.control.Store(nil)
	return loop.Run(working)
}

func (d *schedulerDaemon) newControl() (*control.Control, error) {
	self := d.base.self
	return control.New(control.Options{
		FailureDomain: self.FailureDomain,
		VM:            self.VM,
		Holder:        self.VM + "/" + self.Incarnation,
		Log:           d.base.logs,
		Workers:       d.workers,
		Config:        d.base.follower.Document,
		ConfigChanged: d.changed,
		NewPlanner:    func(failureDomain string) scheduler.Planner { return scheduler.New(failureDomain) },
		Logger:        d.log,
	})
}

// mustRest reports whether the configuration drains this VM and another scheduler of the failure domain can be active.
// The last one goes on: without any, the task leases of all gangs would lapse.
func (d *schedulerDaemon) mustRest() bool {
	if !d.base.drained() {
		return false
	}
	for _, peer := range d.base.node.Live(membership.RoleScheduler) {
		if peer.Member.FailureDomain == d.base.self.FailureDomain && !peer.Leaving {
			return true
		}
	}
	return false
}

func (d *schedulerDaemon) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(drainPollInterval):
	}
}

// forwardChanges wakes the control loop for each new configuration until ctx ends.
func (d *schedulerDaemon) forwardChanges(ctx context.Context) {
	documents, stop := d.base.follower.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-documents:
			select {
			case d.changed <- struct{}{}:
			default:
			}
		}
	}
}

// announceActivity sends a heartbeat at once when the scheduler becomes active or stops being so, until ctx ends.
func (d *schedulerDaemon) announceActivity(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var announced uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if epoch := d.activeEpoch(); epoch != announced {
			announced = epoch
			d.base.node.ExpediteGateways()
		}
	}
}

// activeEpoch returns the epoch of the present tenure, 0 while the scheduler is not active.
func (d *schedulerDaemon) activeEpoch() uint64 {
	loop := d.control.Load()
	if loop == nil {
		return 0
	}
	_, epoch := loop.Active()
	return epoch
}

func (d *schedulerDaemon) ready() bool {
	return d.control.Load() != nil && d.base.follower.Document() != nil
}

func (d *schedulerDaemon) describe(beat *inner.Heartbeat) {
	beat.Ready = d.ready()
	beat.Leaving = beat.Leaving || d.base.drained()
	beat.Epoch = d.activeEpoch()
	beat.Active = beat.Epoch > 0
}

func (d *schedulerDaemon) jobQuery(ctx context.Context, req *inner.JobQuery) (*inner.JobQueryResponse, error) {
	loop := d.control.Load()
	if loop == nil {
		return nil, errkind.New(errkind.Unavailable, "ask the other scheduler of the failure domain",
			"scheduler of VM %s rests: the configuration drains the VM", d.base.self.VM)
	}
	resp, err := loop.Handle(ctx, inner.Member{}, &inner.Request{JobQuery: req})
	if err != nil {
		return nil, err
	}
	return resp.JobQuery, nil
}
