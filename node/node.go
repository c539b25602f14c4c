package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingthread/redwingthread/callerconn"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// shutdownReserve is subtracted from the time between SIGTERM and SIGKILL, to exit before SIGKILL.
	shutdownReserve = 1200 * time.Millisecond
	// balancerReaction is how long the balancer keeps sending connections to a VM that is not ready.
	balancerReaction = 3 * time.Second
	// readyViewAge is the age of the view above which the VM reports itself as not ready to the balancer.
	readyViewAge = 5 * time.Second
	// writeTimeout bounds each write of a response. Responses are short and fit in the buffer of a new connection.
	writeTimeout = 10 * time.Second
	// otherConnections is enough for the health checks of a few balancers, or for a few collectors of metrics.
	otherConnections = 32
	otherHeaderBytes = 8 << 10
)

// Node is the process of one VM.
type Node struct {
	Options
	config   *configWatch
	view     *joblog.View
	follower *joblog.Follower
	writer   *joblog.Writer
	hedge    store.Hedge
	// earlyCancels are the cancellations of unknown jobs that this VM stores.
	earlyCancels  earlyCancelWrites
	voidedCancels *voidedCancels

	// leaderMu guards leader, which is nil while this VM does not hold the schedule.
	leaderMu sync.Mutex
	leader   *leader.Leader
	// stopping is set once the shutdown has begun.
	stopping atomic.Bool
}

// New returns a node. Run starts it.
func New(o Options) *Node {
	n := &Node{Options: o, view: joblog.NewView()}
	n.writer = joblog.NewWriter(o.Log, &n.hedge, o.Settings.Store.MaxRecordBytes)
	n.follower = joblog.NewFollower(o.Log, n.view, o.Logger)
	n.voidedCancels = newVoidedCancels(n)
	evacuations := newEvacuationWatch(&n.Options, n.evacuationsChanged)
	n.config = &configWatch{
		log: o.Log, cursor: store.Cursor{Stream: store.Config, NewestOnly: true}, decoder: o.Decoder, onChange: n.configChanged,
		evacuations: evacuations, wait: evacuations.readWait(o.Settings.Bounds.Evacuation),
		logger: o.Logger.With().Stringer("stream", store.Config).Logger(),
	}
	return n
}

// configChanged passes a new configuration to the leader, if one runs.
func (n *Node) configChanged(config *workload.Config) {
	n.leaderMu.Lock()
	l := n.leader
	n.leaderMu.Unlock()
	if l != nil {
		l.SetConfig(config)
	}
}

// evacuationsChanged wakes the leader, if one runs.
func (n *Node) evacuationsChanged() {
	n.leaderMu.Lock()
	defer n.leaderMu.Unlock()
	if n.leader != nil {
		n.leader.EvacuationsChanged()
	}
}

// setLeader makes configChanged pass new configurations to l; nil for no leader.
func (n *Node) setLeader(l *leader.Leader) {
	n.leaderMu.Lock()
	defer n.leaderMu.Unlock()
	n.leader = l
}

// Stopping reports whether the process is shutting down, so that callers' connections are closed after the next response.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Run serves until ctx ends, then shuts down gracefully and returns nil. callers handles the requests of callers, readyPath
// is the path of the balancer's health check. The error is BadInput if the process cannot listen on an address, or Internal
// if a server fails.
func (n *Node) Run(ctx context.Context, callers http.Handler, readyPath string) error {
	callerServer := &http.Server{Handler: callers}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+readyPath, n.serveReady)
	readyServer := &http.Server{Handler: readyMux}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", telemetry.MetricsHandler())
	metricsServer := &http.Server{Handler: metricsMux}

	failures := make(chan error, 3)
	limiter := n.limiter("callers", callerconn.LimitsFor(n.Settings.MemoryMB, n.Settings.FileDescriptors), n.requestLimits)
	if err := serve(limiter, callerServer, n.Settings.CallerListen, failures); err != nil {
		return err
	}
	if err := serve(n.smallLimiter("ready"), readyServer, n.Settings.ReadyListen, failures); err != nil {
		return err
	}
	if address := n.metricsAddress(); address != "" {
		if err := serve(n.smallLimiter("metrics"), metricsServer, address, failures); err != nil {
			return err
		}
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	go n.config.run(workCtx)
	go n.follower.Run(workCtx)
	go n.voidedCancels.run(workCtx)
	memberCtx, stopMember := context.WithCancel(workCtx)
	defer stopMember()
	memberDone := make(chan struct{})
	go func() {
		defer close(memberDone)
		m := &membership{node: n, member: n.memberName()}
		m.run(memberCtx)
	}()
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	n.shutdown(callerServer, stopMember, memberDone)
	return nil
}

// memberName returns the name of this incarnation in the group, so that a restarted process is a new member.
func (n *Node) memberName() string {
	return n.Settings.VM + "-" + strconv.FormatInt(time.Now().UnixMilli(), 36)
}

// limiter returns a limiter for the listener of the given name.
func (n *Node) limiter(name string, limits callerconn.Limits, request func() callerconn.RequestLimits) *callerconn.Limiter {
	return callerconn.New(callerconn.Options{Limits: limits, Request: request, WriteTimeout: writeTimeout, Name: name, Logger: n.Logger})
}

// smallLimiter returns a limiter for a listener that callers do not need. Its budget is its own, so that the listener is
// reachable when callers have taken theirs.
func (n *Node) smallLimiter(name string) *callerconn.Limiter {
	return n.limiter(name, callerconn.SmallLimits(otherConnections), func() callerconn.RequestLimits {
		return callerconn.RequestLimits{HeaderBytes: otherHeaderBytes}
	})
}

// requestLimits returns the limits of a caller's request according to the configuration in force. Limits that it does not
// set are the defaults.
func (n *Node) requestLimits() callerconn.RequestLimits {
	config, _ := n.config.current()
	if config == nil {
		return callerconn.RequestLimits{}
	}
	limits := &config.Limits
	return callerconn.RequestLimits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// serve starts the server at address. A later failure of the server is sent to failures.
func serve(limiter *callerconn.Limiter, server *http.Server, address string, failures chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check the listen addresses in the settings", "listen on %s", address)
	}
	limiter.Prepare(server)
	go func() {
		if err := server.Serve(limiter.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			failures <- errkind.Wrap(err, errkind.Internal, "restart the process", "serve %s", address)
		}
	}()
	return nil
}

// metricsAddress returns the host:port of the metrics server, which uses the first internal port; empty if that or the VM's
// address is unknown.
func (n *Node) metricsAddress() string {
	port := n.Settings.InternalPorts[0]
	if port == 0 || n.Settings.Address == "" {
		return ""
	}
	return net.JoinHostPort(n.Settings.Address, strconv.Itoa(port))
}

// serveReady responds to the balancer's health check.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the VM can serve callers: it is not shutting down, and its configuration and view are recent.
func (n *Node) ready() bool {
	config, configAge := n.config.current()
	viewAge, loaded := n.follower.Age()
	return config != nil && loaded && !n.stopping.Load() && configAge < readyConfigAge && viewAge < readyViewAge
}

// shutdown releases the schedule at once and serves callers until the balancer no longer sends connections.
func (n *Node) shutdown(callers *http.Server, stopMember context.CancelFunc, memberDone <-chan struct{}) {
	grace := n.Settings.Bounds.ShutdownGrace - shutdownReserve
	n.stopping.Store(true)
	n.Logger.Info().Dur("grace", grace).Msg("shutting down")
	end := time.Now().Add(grace)
	stopMember()
	time.Sleep(min(balancerReaction, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.Logger.Warn().Err(err).Msg("callers' requests were still open at the end of the grace period")
	}
	select {
	case <-memberDone:
	case <-ctx.Done():
	}
}
