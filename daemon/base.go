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

// traceFlushTimeout bounds the write of the remaining spans at the end of the process.
const traceFlushTimeout = 2 * time.Second

// base holds the parts that both daemons start in the same way.
type base struct {
	self     inner.Member
	log      zerolog.Logger
	keys     *inner.KeyStore
	mux      *Mux
	node     *Node
	logs     infra.Log
	follower *configlog.Follower

	innerServer   *inner.Server
	metricsServer *HTTPServer
	flushSpans    func(context.Context) error
}

// hooks are what differs between the daemons in the common part.
type hooks struct {
	// describe adds the daemon's state to an outgoing heartbeat.
	describe func(*inner.Heartbeat)
	// observe takes received heartbeats and may be nil.
	observe func(inner.Heartbeat)
	// observeVMs takes the platform's list of VMs and may be nil.
	observeVMs func([]infra.VM)
	// ready reports whether the daemon takes work.
	ready func() bool
}

// newBase loads the keys and opens the listeners. Nothing runs before start.
func newBase(common settings.Common, self inner.Member, metricsAddress string, log zerolog.Logger, h hooks) (*base, error) {
	b := &base{self: self, log: log, mux: &Mux{}}
	var err error
	b.keys, err = inner.NewKeyStore(inner.KeyFiles{Certificate: common.TLS.Certificate, Key: common.TLS.Key,
		CA: common.TLS.CA})
	if err != nil {
		return nil, err
	}
	if b.logs, err = infra.NewLogClient(common.Platform.LogURL); err != nil {
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
	b.node = NewNode(Options{
		Self:       self,
		Seeds:      seedMembers(common, self.Role),
		Keys:       b.keys,
		VMs:        vms,
		Log:        log,
		Describe:   func(beat *inner.Heartbeat) { b.describe(beat, h.describe) },
		Observe:    func(beat inner.Heartbeat) { b.observe(beat, h.observe) },
		ObserveVMs: h.observeVMs,
	}, b.mux)
	b.follower = configlog.NewFollower(configlog.Settings{
		Log:         b.logs,
		Peers:       b.node.configPeers,
		Logger:      log,
		Retention:   configlog.Retention{Period: milliseconds(common.Platform.RetentionMS)},
		CallTimeout: milliseconds(common.Platform.TimeoutMS),
	})
	b.serveConfig()
	if b.innerServer, err = inner.Listen(self.Address, b.keys, b.mux); err != nil {
		return nil, err
	}
	b.metricsServer, err = ListenHTTP(metricsAddress, "listen.metrics", NewMetricsServer(h.ready), metricsMaxConnections)
	return b, err
}

// seedMembers returns the seed list of the settings as members.
func seedMembers(common settings.Common, role string) []inner.Member {
	var members []inner.Member
	for _, peer := range common.OtherPeers(role) {
		members = append(members, inner.Member{FailureDomain: peer.FailureDomain, VM: peer.VM, Role: peer.Role,
			Address: peer.Inner})
	}
	return members
}

// serveConfig answers peers that follow the configuration through this daemon.
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

func (b *base) describe(beat *inner.Heartbeat, more func(*inner.Heartbeat)) {
	status := b.follower.Status()
	beat.HasConfig = status.HasConfig
	beat.ConfigVersion = status.Version
	beat.ConfigDigest = status.Digest
	beat.ConfigNext = status.Next
	more(beat)
}

func (b *base) observe(beat inner.Heartbeat, more func(inner.Heartbeat)) {
	b.follower.Hint(beat.ConfigNext)
	if more != nil {
		more(beat)
	}
}

// start runs the common parts until ctx ends.
func (b *base) start(ctx context.Context, reload time.Duration) {
	go b.innerServer.Serve(ctx)
	go b.metricsServer.Serve(b.log)
	go b.keys.Watch(ctx, reload, func(err error) {
		b.log.Error().Err(err).Msg("key reload failed, the previous keys stay in use")
	})
	go b.follower.Run(ctx)
	go b.logVersions(ctx)
	go b.node.Run(ctx)
}

// logVersions writes a line for each configuration version that comes into force.
func (b *base) logVersions(ctx context.Context) {
	documents, stop := b.follower.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case doc := <-documents:
			b.log.Info().Uint64("version", doc.Version).Msg("configuration in force")
		}
	}
}

// close ends the common parts after the daemon's own work is done. ctx bounds the wait for peers' exchanges.
func (b *base) close(ctx context.Context) {
	b.innerServer.Close(ctx)
	b.metricsServer.Shutdown(ctx)
	b.node.Client().Close()
	flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := b.flushSpans(flush); err != nil {
		b.log.Warn().Err(err).Msg("spans were lost at the end of the process")
	}
}

// drained reports whether the configuration asks for this VM to be emptied.
func (b *base) drained() bool {
	doc := b.follower.Document()
	return doc != nil && isDrained(doc, b.self.VM)
}

func isDrained(doc *config.Document, vm string) bool {
	_, ok := doc.Drains[vm]
	return ok
}

// limitHTTP returns server with the limits of the settings.
func limitHTTP(handler http.Handler, limits settings.Limits) *http.Server {
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
