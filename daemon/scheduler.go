package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/control"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/platform"
	"github.com/redwingthread/redwingthread/scheduler"
	"github.com/redwingthread/redwingthread/settings"
)

// schedulerStopTimeout bounds the graceful stop of a scheduler: it gives its leases up and ends.
const schedulerStopTimeout = 5 * time.Second

// RunScheduler runs the scheduler daemon until ctx ends, then gives its leases up, so that the other VM need not wait
// for them to lapse. Running tasks go on under their task leases.
func RunScheduler(ctx context.Context, s settings.Scheduler, log zerolog.Logger, self inner.Member) error {
	d := &schedulerDaemon{settings: s, log: log}
	if err := d.open(self); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.base.start(running, milliseconds(s.TLS.ReloadMS))
	go d.forwardChanges(running)
	log.Info().Str("inner", s.Listen.Inner).Msg("scheduler started")
	err := d.control.Run(ctx)
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
	control  *control.Control
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
	d.control, err = control.New(control.Options{
		FailureDomain: self.FailureDomain,
		VM:            self.VM,
		Holder:        self.VM + "/" + self.Incarnation,
		Log:           d.base.logs,
		Workers:       platform.NewHTTPWorkers(nil),
		Config:        d.base.follower.Document,
		ConfigChanged: d.changed,
		NewPlanner:    func(failureDomain string) scheduler.Planner { return scheduler.New(failureDomain) },
		Logger:        d.log,
	})
	if err != nil {
		return err
	}
	d.base.mux.JobQuery = d.jobQuery
	return nil
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

func (d *schedulerDaemon) ready() bool { return d.control != nil && d.base.follower.Document() != nil }

func (d *schedulerDaemon) describe(beat *inner.Heartbeat) {
	beat.Ready = d.ready()
	beat.Leaving = beat.Leaving || d.base.drained()
	beat.Active, beat.Epoch = d.control.Active()
}

func (d *schedulerDaemon) jobQuery(ctx context.Context, req *inner.JobQuery) (*inner.JobQueryResponse, error) {
	resp, err := d.control.Handle(ctx, inner.Member{}, &inner.Request{JobQuery: req})
	if err != nil {
		return nil, err
	}
	return resp.JobQuery, nil
}
