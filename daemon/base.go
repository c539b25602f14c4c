package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/settings"
	"github.com/redwingthread/redwingthread/telemetry"
)

// traceFlushTimeout bounds the export of the remaining spans when the process stops.
const traceFlushTimeout = 2 * time.Second

// base holds the components that the gateway and the scheduler daemon have in common.
type base struct {
	self      inner.Member
	logger    zerolog.Logger
	keys      *inner.KeyStore
	mux       *Mux
	members   *Membership
	logClient infra.Log
	follower  *configlog.Follower

	innerServer   *inner.Server
	metricsServer *HTTPServer
	flushSpans    func(context.Context) error
}

// hooks are the callbacks by which each daemon adapts base.
type hooks struct {
	// fillHeartbeat sets the daemon-specific fields of an outgoing heartbeat.
	fillHeartbeat func(*inner.Heartbeat)
	// onHeartbeat is called with each received heartbeat; it may be nil.
	onHeartbeat func(inner.Heartbeat)
	// observeVMs is called with each list of VMs read from the platform; it may be nil.
	observeVMs func([]infra.VM)
	// ready reports whether the daemon accepts work.
	ready func() bool
}

// newBase loads the keys and opens the listeners. It starts no goroutines; start does.
func newBase(common settings.Common, self inner.Member, metricsAddress string, logger zerolog.Logger,
	callbacks hooks) (*base, error) {
	b := &base{self: self, logger: logger, mux: &Mux{Logger: logger}}
	var err error
	b.keys, err = inner.NewKeyStore(inner.KeyFiles{Certificate: common.TLS.Certificate, Key: common.TLS.Key,
		CA: common.TLS.CA})
	if err != nil {
		return nil, err
	}
	if b.logClient, err = infra.NewLogClient(common.Platform.LogURL); err != nil {
		return nil, err
	}
	vms, err := infra.NewVMListClient(common.Platform.VMListURL)
	if err != nil {
		return nil, err
	}
	b.flushSpans, err = telemetry.SetupTracing(telemetry.TraceOptions{Exporter: common.Trace.Exporter,
		Path: common.Trace.Path, SampleRatio: common.Trace.SampleRatio}, self)
	if err != nil {
		return nil, err
	}
	b.members = NewMembership(MembershipOptions{
		Self:          self,
		Seeds:         seedMembers(common, self.Role),
		Keys:          b.keys,
		VMs:           vms,
		Logger:        logger,
		FillHeartbeat: func(heartbeat *inner.Heartbeat) { b.fillHeartbeat(heartbeat, callbacks.fillHeartbeat) },
		OnHeartbeat:   func(heartbeat inner.Heartbeat) { b.onHeartbeat(heartbeat, callbacks.onHeartbeat) },
		ObserveVMs:    callbacks.observeVMs,
	}, b.mux)
	b.follower = configlog.NewFollower(configlog.Options{
		Log:            b.logClient,
		Peers:          b.members.configPeers,
		Logger:         logger,
		Retention:      configlog.Retention{Period: milliseconds(common.Platform.RetentionMS)},
		RequestTimeout: milliseconds(common.Platform.TimeoutMS),
	})
	b.serveConfig()
	if b.innerServer, err = inner.Listen(self.Address, b.keys, b.mux); err != nil {
		return nil, err
	}
	b.metricsServer, err = ListenHTTP(metricsAddress, "listen.metrics", NewMetricsServer(callbacks.ready),
		metricsMaxConnections, logger)
	return b, err
}

// seedMembers converts the seed list of the settings, without this process, to members.
func seedMembers(common settings.Common, role string) []inner.Member {
	var members []inner.Member
	for _, peer := range common.OtherPeers(role) {
		members = append(members, inner.Member{FailureDomain: peer.FailureDomain, VM: peer.VM, Role: peer.Role,
			Address: peer.Inner})
	}
	return members
}

// serveConfig registers the handlers for peers that read the configuration from this daemon.
func (b *base) serveConfig() {
	b.mux.FetchRecords = func(_ context.Context, req *inner.FetchRecords) (*inner.FetchRecordsResponse, error) {
		resp := b.follower.FetchRecords(*req)
		return &resp, nil
	}
	b.mux.FetchState = func(context.Context, *inner.FetchState) (*inner.FetchStateResponse, error) {
		resp, err := b.follower.FetchState()
		return &resp, err
	}
}

// fillHeartbeat sets the configuration fields of an outgoing heartbeat, then calls fillSpecific for the fields that only
// this daemon sets.
func (b *base) fillHeartbeat(heartbeat *inner.Heartbeat, fillSpecific func(*inner.Heartbeat)) {
	status := b.follower.Status()
	heartbeat.HasConfig = status.HasConfig
	heartbeat.ConfigVersion = status.Version
	heartbeat.ConfigDigest = status.Digest
	heartbeat.ConfigNext = status.Next
	fillSpecific(heartbeat)
}

// onHeartbeat passes the configuration offset of a received heartbeat to the follower, then the heartbeat to next,
// if set.
func (b *base) onHeartbeat(heartbeat inner.Heartbeat, next func(inner.Heartbeat)) {
	b.follower.ObservePeerOffset(heartbeat.ConfigNext)
	if next != nil {
		next(heartbeat)
	}
}

// start runs the common components until ctx ends. The TLS keys are reloaded at the given interval.
func (b *base) start(ctx context.Context, keyReloadInterval time.Duration) {
	go b.innerServer.Serve(ctx)
	go b.metricsServer.Serve(b.logger)
	go b.keys.Watch(ctx, keyReloadInterval, func(err error) {
		b.logger.Error().Err(err).Msg("key reload failed, the previous keys stay in use")
	})
	go b.follower.Run(ctx)
	go b.logConfigVersions(ctx)
	go b.members.Run(ctx)
}

// logConfigVersions logs each configuration version that comes into force, until ctx ends.
func (b *base) logConfigVersions(ctx context.Context) {
	documents, stop := b.follower.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case doc := <-documents:
			b.logger.Info().Uint64("version", doc.Version).Msg("configuration in force")
		}
	}
}

// close stops the common components; the daemon's own work must have ended before the call. ctx bounds the wait for
// requests in progress of peers and of the metrics listener.
func (b *base) close(ctx context.Context) {
	b.innerServer.Close(ctx)
	b.metricsServer.Shutdown(ctx)
	b.members.Client().Close()
	flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := b.flushSpans(flushCtx); err != nil {
		b.logger.Warn().Err(err).Msg("remaining trace spans could not be exported")
	}
}

// drainRequested reports whether the configuration asks to drain this VM.
func (b *base) drainRequested() bool {
	doc := b.follower.Document()
	return doc != nil && drainConfigured(doc, b.self.VM)
}

func drainConfigured(doc *config.Document, vm string) bool {
	_, ok := doc.Drains[vm]
	return ok
}

// newOperatorServer returns the HTTP server of the operator API with the limits of the settings.
func newOperatorServer(handler http.Handler, limits settings.Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: milliseconds(limits.ReadHeaderTimeoutMS),
		ReadTimeout:       operatorRequestTimeout,
		WriteTimeout:      operatorRequestTimeout,
		IdleTimeout:       milliseconds(limits.IdleTimeoutMS),
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
