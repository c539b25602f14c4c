package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/admission"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/gateway"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/jobs/jobquery"
	"github.com/redwingthread/redwingthread/operatorapi"
	"github.com/redwingthread/redwingthread/request"
	"github.com/redwingthread/redwingthread/settings"
)

const (
	// operatorRequestTimeout bounds a request to the operator API. It is longer than operatorDecisionTimeout, so that an
	// undecided change is reported as unknown instead of by a closed connection.
	operatorRequestTimeout = 15 * time.Second
	// operatorDecisionTimeout bounds the wait until the log has decided whether a change is accepted.
	operatorDecisionTimeout = 10 * time.Second
)

// RunGateway runs the gateway daemon until ctx ends, then shuts it down gracefully: it reports not ready, keeps accepting
// requests for the load balancer's reaction time, completes the accepted ones and closes. It returns nil after a
// graceful shutdown and otherwise an error of package errkind.
func RunGateway(ctx context.Context, s settings.Gateway, logger zerolog.Logger, self inner.Member) error {
	d := &gatewayDaemon{settings: s, logger: logger}
	if err := d.open(self); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.start(runCtx)
	logger.Info().Str("callers", s.Listen.Callers).Str("operators", s.Listen.Operators).Msg("gateway started")
	<-ctx.Done()
	return d.stop()
}

// gatewayDaemon holds the components of a running gateway daemon.
type gatewayDaemon struct {
	settings       settings.Gateway
	logger         zerolog.Logger
	base           *base
	gateway        *gateway.Gateway
	callerListener net.Listener
	operatorServer *HTTPServer
	// stopping is true once the graceful shutdown has begun; heartbeats then report the gateway as leaving.
	stopping atomic.Bool
}

// open creates all components and opens the listeners.
func (d *gatewayDaemon) open(self inner.Member) error {
	var err error
	d.base, err = newBase(d.settings.Common, self, d.settings.Listen.Metrics, d.logger, hooks{
		fillHeartbeat: d.fillHeartbeat,
		onHeartbeat:   d.onHeartbeat,
		observeVMs:    func(vms []infra.VM) { d.gateway.ObserveVMs(vms) },
		ready:         d.ready,
	})
	if err != nil {
		return err
	}
	if d.gateway, err = gateway.New(d.gatewayOptions()); err != nil {
		return err
	}
	d.base.mux.Forward = d.forward
	d.callerListener, err = net.Listen("tcp", d.settings.Listen.Callers)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "check listen.callers in the settings", "listen on %s",
			d.settings.Listen.Callers)
	}
	return d.openOperatorAPI()
}

func (d *gatewayDaemon) gatewayOptions() gateway.Options {
	limits := d.settings.Limits
	queue := admission.DefaultLimits()
	queue.Queued = int(limits.QueueLength)
	queue.QueuedPerAccount = min(queue.QueuedPerAccount, queue.Queued)
	keys := request.DefaultLimits()
	keys.StoredBytes = int(limits.StoredResponseBytes)
	keys.StoredBytesPerAccount = min(keys.StoredBytesPerAccount, keys.StoredBytes)
	return gateway.Options{
		Self:           d.base.self,
		Config:         d.base.follower.Document,
		Gateways:       d.base.members.liveGateways,
		PeerRequester:  d.base.members.Client(),
		Logger:         d.logger,
		Keys:           keys,
		Queue:          queue,
		DrainRequested: d.base.drainRequested,
		ReactionTime:   milliseconds(d.settings.Shutdown.DrainMS),
		Listener: gateway.ListenerLimits{
			Connections:   int(limits.MaxConnections),
			BodyBytes:     limits.BodyMemoryBytes,
			HeaderBytes:   int(limits.MaxHeaderBytes),
			HeaderTimeout: milliseconds(limits.ReadHeaderTimeoutMS),
			IdleTimeout:   milliseconds(limits.IdleTimeoutMS),
		},
	}
}

// openOperatorAPI opens the operator listener.
func (d *gatewayDaemon) openOperatorAPI() error {
	querier := jobquery.New(d.base.members.Client(), d.base.members.schedulerAddresses)
	service, err := jobs.NewService(jobs.ServiceOptions{Log: d.base.logClient, Config: d.base.follower.Document,
		Querier: querier})
	if err != nil {
		return err
	}
	api := operatorapi.New(operatorapi.Options{
		Configuration:        d.base.follower,
		Jobs:                 jobsAdapter{service},
		Peers:                peerView{members: d.base.members, follower: d.base.follower},
		Logger:               d.logger,
		BootstrapTokenDigest: d.settings.Bootstrap.OperatorTokenDigest,
		MaxBodyBytes:         d.settings.Limits.MaxBodyBytes,
		Timeout:              operatorDecisionTimeout,
		Ready:                d.ready,
	})
	d.operatorServer, err = ListenHTTP(d.settings.Listen.Operators, "listen.operators",
		newOperatorServer(api, d.settings.Limits), int(d.settings.Limits.MaxConnections), d.logger)
	return err
}

func (d *gatewayDaemon) start(ctx context.Context) {
	d.base.start(ctx, milliseconds(d.settings.TLS.ReloadMS))
	go d.gateway.Run(ctx)
	go d.announceLeavingEndpoints(ctx)
	go d.operatorServer.Serve(d.logger)
	go func() {
		if err := d.gateway.Serve(d.callerListener); err != nil {
			d.logger.Error().Err(err).Msg("caller listener stopped unexpectedly")
		}
	}()
}

// stop shuts the gateway down gracefully. Heartbeats continue until the accepted requests are complete, so that peers
// learn that the gateway is leaving.
func (d *gatewayDaemon) stop() error {
	d.stopping.Store(true)
	d.logger.Info().Msg("graceful shutdown started")
	timeout := milliseconds(d.settings.Shutdown.DrainMS + d.settings.Shutdown.FinishMS)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := d.gateway.Shutdown(ctx)
	d.operatorServer.Shutdown(ctx)
	d.base.close(ctx)
	d.logger.Info().Err(err).Msg("graceful shutdown finished")
	return err
}

// announceLeavingEndpoints sends heartbeats to the gateways as soon as an endpoint is found to be leaving, until ctx ends.
// Gateways that have not contacted the endpoint since then learn it without waiting for the heartbeat interval.
func (d *gatewayDaemon) announceLeavingEndpoints(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	announced := make(map[inner.EndpointIncarnation]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		leaving := make(map[inner.EndpointIncarnation]bool)
		unannounced := false
		for _, endpoint := range d.gateway.LeavingEndpoints() {
			leaving[endpoint] = true
			unannounced = unannounced || !announced[endpoint]
		}
		announced = leaving
		if unannounced {
			d.base.members.ExpediteGateways()
		}
	}
}

func (d *gatewayDaemon) ready() bool {
	if d.gateway == nil {
		return false
	}
	ok, _ := d.gateway.Ready()
	return ok
}

func (d *gatewayDaemon) fillHeartbeat(heartbeat *inner.Heartbeat) {
	heartbeat.Ready = d.ready()
	heartbeat.Leaving = heartbeat.Leaving || d.stopping.Load() || d.base.drainRequested()
	heartbeat.LeavingEndpoints = d.gateway.LeavingEndpoints()
}

func (d *gatewayDaemon) onHeartbeat(heartbeat inner.Heartbeat) {
	d.gateway.LearnLeaving(heartbeat.LeavingEndpoints)
}

func (d *gatewayDaemon) forward(ctx context.Context, req *inner.Forward) (*inner.ForwardResponse, error) {
	resp, err := d.gateway.Handle(ctx, inner.Member{}, &inner.Request{Forward: req})
	if err != nil {
		return nil, err
	}
	return resp.Forward, nil
}

// jobsAdapter adapts jobs.Service to operatorapi.Jobs. It passes no account to Cancel and Get, because the operator API
// checks the account before it cancels or shows a job.
type jobsAdapter struct{ service *jobs.Service }

// Submit implements operatorapi.Jobs.
func (a jobsAdapter) Submit(ctx context.Context, job jobs.Job) (jobs.Status, error) {
	return a.service.Submit(ctx, job)
}

// Cancel implements operatorapi.Jobs.
func (a jobsAdapter) Cancel(ctx context.Context, id string) (jobs.Status, error) {
	return a.service.Cancel(ctx, id, "", "operator API")
}

// Get implements operatorapi.Jobs.
func (a jobsAdapter) Get(ctx context.Context, id string) (jobs.Status, error) {
	return a.service.Get(ctx, id, "")
}

// List implements operatorapi.Jobs.
func (a jobsAdapter) List(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error) {
	return a.service.List(ctx, jobs.Filter{Account: account, State: state})
}

var (
	_ operatorapi.Jobs  = jobsAdapter{}
	_ operatorapi.Peers = peerView{}
)
