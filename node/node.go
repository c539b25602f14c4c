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

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// shutdownReserve is kept of the time between SIGTERM and SIGKILL.
	shutdownReserve = 1200 * time.Millisecond
	// balancerReaction is how long the balancer goes on sending connections to a VM that is not ready.
	balancerReaction = 3 * time.Second
	// readyViewAge is the age of the view above which the balancer is told to choose another VM.
	readyViewAge = 5 * time.Second
	// headerTimeout bounds the reading of a request's header, idleTimeout the pause between two requests.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// Node is one VM's process.
type Node struct {
	Options
	config   *configWatch
	view     *joblog.View
	follower *joblog.Follower
	writer   *joblog.Writer
	hedge    store.Hedge

	leaderMu sync.Mutex
	leader   *leader.Leader
	stopping atomic.Bool
}

// New returns a node.
func New(o Options) *Node {
	n := &Node{Options: o, view: joblog.NewView()}
	n.writer = joblog.NewWriter(o.Log, &n.hedge)
	n.follower = joblog.NewFollower(o.Log, n.view, o.Out)
	n.config = &configWatch{
		log: o.Log, cursor: store.Cursor{Stream: store.Config}, decoder: o.Decoder, changed: n.configChanged,
		out: o.Out.With().Stringer("stream", store.Config).Logger(),
	}
	return n
}

func (n *Node) configChanged(config *workload.Config) {
	n.leaderMu.Lock()
	l := n.leader
	n.leaderMu.Unlock()
	if l != nil {
		l.SetConfig(config)
	}
}

func (n *Node) setLeader(l *leader.Leader) {
	n.leaderMu.Lock()
	defer n.leaderMu.Unlock()
	n.leader = l
}

// Stopping reports whether the process is about to end, so that callers' connections are closed after their answers.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Run serves until ctx ends, then shuts down gracefully. callers handles the requests of callers, ready is the path of
// the balancer's health check.
func (n *Node) Run(ctx context.Context, callers http.Handler, readyPath string) error {
	callerServer := &http.Server{Handler: callers, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+readyPath, n.serveReady)
	readyServer := &http.Server{Handler: readyMux, ReadHeaderTimeout: headerTimeout}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", telemetry.MetricsHandler())
	metricsServer := &http.Server{Handler: metricsMux, ReadHeaderTimeout: headerTimeout}

	fail := make(chan error, 3)
	if err := serve(callerServer, n.Settings.CallerListen, fail); err != nil {
		return err
	}
	if err := serve(readyServer, n.Settings.ReadyListen, fail); err != nil {
		return err
	}
	if address := n.metricsAddress(); address != "" {
		if err := serve(metricsServer, address, fail); err != nil {
			return err
		}
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	go n.config.run(workCtx)
	go n.follower.Run(workCtx)
	memberCtx, stopMember := context.WithCancel(workCtx)
	defer stopMember()
	memberDone := make(chan struct{})
	go func() {
		defer close(memberDone)
		m := &membership{node: n, member: n.memberName()}
		m.run(memberCtx)
	}()
	select {
	case err := <-fail:
		return err
	case <-ctx.Done():
	}
	n.shutdown(callerServer, stopMember, memberDone)
	return nil
}

// memberName names this incarnation in the group, so that a restarted process is a new member.
func (n *Node) memberName() string {
	return n.Settings.VM + "-" + strconv.FormatInt(time.Now().UnixMilli(), 36)
}

func serve(server *http.Server, address string, fail chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check the listen addresses in the settings", "listen on %s", address)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			fail <- errkind.Wrap(err, errkind.Internal, "restart the process", "serve %s", address)
		}
	}()
	return nil
}

// metricsAddress returns where metrics are served: on the first internal port.
func (n *Node) metricsAddress() string {
	port := n.Settings.InternalPorts[0]
	if port == 0 || n.Settings.Address == "" {
		return ""
	}
	return net.JoinHostPort(n.Settings.Address, strconv.Itoa(port))
}

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	config, configAge := n.config.current()
	viewAge, loaded := n.follower.Age()
	return config != nil && loaded && !n.stopping.Load() && configAge < readyConfigAge && viewAge < readyViewAge
}

// shutdown gives the schedule back at once and serves callers until the balancer has chosen other VMs.
func (n *Node) shutdown(callers *http.Server, stopMember context.CancelFunc, memberDone <-chan struct{}) {
	grace := n.Settings.Bounds.ShutdownGrace - shutdownReserve
	n.stopping.Store(true)
	n.Out.Info().Dur("grace", grace).Msg("shutting down")
	end := time.Now().Add(grace)
	stopMember()
	time.Sleep(min(balancerReaction, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.Out.Warn().Err(err).Msg("callers' requests were still open at the end of the grace period")
	}
	select {
	case <-memberDone:
	case <-ctx.Done():
	}
}
