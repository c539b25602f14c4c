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
	// schedulerStopTimeout bounds the closing of the listeners after the control loop has ended.
	schedulerStopTimeout = 5 * time.Second
	// drainPollInterval is the time between checks whether the scheduler has to suspend for a drain.
	drainPollInterval = time.Second
)

// RunScheduler runs the scheduler daemon until ctx ends, then relinquishes its leases, so that the standby on the other
// VM need not wait for them to expire. Running tasks continue under their task leases. It returns an error if the daemon
// cannot start or the control loop fails.
func RunScheduler(ctx context.Context, s settings.Scheduler, logger zerolog.Logger, self inner.Member) error {
	d := &schedulerDaemon{settings: s, logger: logger, workers: infra.NewHTTPWorkers(nil)}
	if err := d.open(self); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.base.start(runCtx, milliseconds(s.TLS.ReloadMS))
	go d.forwardConfigChanges(runCtx)
	go d.announceActiveEpoch(runCtx)
	logger.Info().Str("inner", s.Listen.Inner).Msg("scheduler started")
	err := d.runControlLoops(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), schedulerStopTimeout)
	defer cancelClose()
	d.base.close(closeCtx)
	logger.Info().Msg("scheduler stopped")
	return err
}

// schedulerDaemon holds the components of a running scheduler daemon.
type schedulerDaemon struct {
	settings settings.Scheduler
	logger   zerolog.Logger
	base     *base
	workers  *infra.HTTPWorkers
	// control is nil while the scheduler is suspended.
	control atomic.Pointer[control.Control]
	// configChanged wakes the control loop after each configuration change.
	configChanged chan struct{}
}

func (d *schedulerDaemon) open(self inner.Member) error {
	d.configChanged = make(chan struct{}, 1)
	var err error
	d.base, err = newBase(d.settings.Common, self, d.settings.Listen.Metrics, d.logger, hooks{
		fillHeartbeat: d.fillHeartbeat,
		ready:         d.ready,
	})
	if err != nil {
		return err
	}
	d.base.mux.JobQuery = d.jobQuery
	return nil
}

// runControlLoops runs the control loop until ctx ends, except while the scheduler has to be suspended.
func (d *schedulerDaemon) runControlLoops(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.mustSuspend() {
			d.waitDrainPoll(ctx)
			continue
		}
		if err := d.runUntilSuspended(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runUntilSuspended runs one control loop until ctx ends or the scheduler has to be suspended.
func (d *schedulerDaemon) runUntilSuspended(ctx context.Context) error {
	loop, err := d.newControl()
	if err != nil {
		return err
	}
	loopCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for loopCtx.Err() == nil && !d.mustSuspend() {
			d.waitDrainPoll(loopCtx)
		}
		stop()
	}()
	d.control.Store(loop)
	defer d.control.Store(nil)
	return loop.Run(loopCtx)
}

func (d *schedulerDaemon) newControl() (*control.Control, error) {
	self := d.base.self
	return control.New(control.Options{
		FailureDomain: self.FailureDomain,
		VM:            self.VM,
		Holder:        self.VM + "/" + self.Incarnation,
		Log:           d.base.logClient,
		Workers:       d.workers,
		Config:        d.base.follower.Document,
		ConfigChanged: d.configChanged,
		NewPlanner:    func(failureDomain string) scheduler.Planner { return scheduler.New(failureDomain) },
		Logger:        d.logger,
	})
}

// mustSuspend reports whether the configuration drains this VM and another scheduler of the failure domain can be active.
// The last scheduler keeps running: without any, the task leases of all gangs would expire.
func (d *schedulerDaemon) mustSuspend() bool {
	if !d.base.drainRequested() {
		return false
	}
	for _, peer := range d.base.members.Live(membership.RoleScheduler) {
		if peer.Member.FailureDomain == d.base.self.FailureDomain && !peer.Leaving {
			return true
		}
	}
	return false
}

// waitDrainPoll waits for drainPollInterval or until ctx ends.
func (d *schedulerDaemon) waitDrainPoll(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(drainPollInterval):
	}
}

// forwardConfigChanges wakes the control loop after each configuration change until ctx ends.
func (d *schedulerDaemon) forwardConfigChanges(ctx context.Context) {
	documents, stop := d.base.follower.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-documents:
			select {
			case d.configChanged <- struct{}{}:
			default:
			}
		}
	}
}

// announceActiveEpoch sends heartbeats to the gateways as soon as the scheduler becomes active, stops being active
// or changes its epoch, until ctx ends.
func (d *schedulerDaemon) announceActiveEpoch(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
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
			d.base.members.ExpediteGateways()
		}
	}
}

// activeEpoch returns the epoch under which the scheduler is active, 0 while it is not.
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

func (d *schedulerDaemon) fillHeartbeat(heartbeat *inner.Heartbeat) {
	heartbeat.Ready = d.ready()
	heartbeat.Leaving = heartbeat.Leaving || d.base.drainRequested()
	heartbeat.Epoch = d.activeEpoch()
	heartbeat.Active = heartbeat.Epoch > 0
}

func (d *schedulerDaemon) jobQuery(ctx context.Context, req *inner.JobQuery) (*inner.JobQueryResponse, error) {
	loop := d.control.Load()
	if loop == nil {
		return nil, errkind.New(errkind.Unavailable, "ask the other scheduler of the failure domain",
			"scheduler of VM %s is suspended: the configuration drains the VM", d.base.self.VM)
	}
	resp, err := loop.Handle(ctx, inner.Member{}, &inner.Request{JobQuery: req})
	if err != nil {
		return nil, err
	}
	return resp.JobQuery, nil
}
