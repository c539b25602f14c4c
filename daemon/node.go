// Package daemon runs the gateway and the scheduler daemon: the inner protocol listener, heartbeats and membership, the
// metrics listener and the order of a graceful shutdown.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/membership"
)

const (
	// pollInterval is the time between checks for due heartbeats and for state changes to announce to the gateways.
	pollInterval = 100 * time.Millisecond
	// heartbeatTimeout is below the shortest heartbeat interval, so that heartbeats to a peer that does not
	// respond do not pile up.
	heartbeatTimeout = 900 * time.Millisecond
	// vmListInterval is the time between reads of the platform's list of VMs.
	vmListInterval = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	// Self is the daemon's own member, with its incarnation.
	Self inner.Member
	// Seeds are the members named in the settings.
	Seeds []inner.Member
	Keys  *inner.KeyStore
	// VMs is the platform's list of VMs.
	VMs infra.VMList
	Log zerolog.Logger
	// FillHeartbeat sets the daemon's state in an outgoing heartbeat.
	FillHeartbeat func(*inner.Heartbeat)
	// OnHeartbeat is called with every received heartbeat; it may be nil.
	OnHeartbeat func(inner.Heartbeat)
	// ObserveVMs is called with every list of VMs read from the platform; it may be nil.
	ObserveVMs func([]infra.VM)
}

// NewIncarnation returns member with a new incarnation id. It must be called exactly once per process start.
func NewIncarnation(member inner.Member) inner.Member {
	member.Incarnation = uuid.NewString()
	return member
}

// Node keeps a daemon's membership table up to date by heartbeats with peers and the platform's list of VMs. It is safe
// for concurrent use.
type Node struct {
	options Options
	client  *inner.Client
	mux     *Mux

	mu sync.Mutex
	// table is guarded by mu.
	table *membership.Table

	// wake wakes the heartbeat loop without waiting for pollInterval.
	wake chan struct{}
}

// NewNode returns a node and registers its heartbeat handler with mux.
func NewNode(options Options, mux *Mux) *Node {
	n := &Node{
		options: options,
		client:  inner.NewClient(options.Keys),
		mux:     mux,
		table:   membership.New(options.Self, membership.DefaultOptions()),
		wake:    make(chan struct{}, 1),
	}
	now := time.Now()
	for _, seed := range options.Seeds {
		n.table.AddSeed(seed, now)
	}
	mux.Heartbeat = n.handleHeartbeat
	return n
}

// Client returns the client for requests to peers.
func (n *Node) Client() *inner.Client { return n.client }

// Self returns the daemon's own member.
func (n *Node) Self() inner.Member { return n.options.Self }

// Run sends heartbeats and reads the list of VMs until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.pollVMList(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		n.sendDueHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
		}
	}
}

// Live returns the live members of a role, without this process.
func (n *Node) Live(role string) []membership.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live(role, time.Now())
}

// PeerState is a known member with its liveness.
type PeerState struct {
	Peer membership.Peer
	Live bool
}

// Peers returns every known member.
func (n *Node) Peers() []PeerState {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var states []PeerState
	for _, peer := range n.table.All() {
		states = append(states, PeerState{Peer: peer, Live: n.table.IsLive(peer, now)})
	}
	return states
}

// ExpediteGateways sends a heartbeat to every gateway without waiting for its interval.
func (n *Node) ExpediteGateways() {
	n.mu.Lock()
	n.table.ExpediteGateways()
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// heartbeat returns the daemon's current state as a heartbeat.
func (n *Node) heartbeat() *inner.Heartbeat {
	heartbeat := &inner.Heartbeat{Member: n.options.Self}
	n.mu.Lock()
	heartbeat.Leaving = n.table.SelfLeaving()
	if n.options.Self.Role == membership.RoleGateway {
		heartbeat.Relayed = n.table.Relay(time.Now())
	}
	n.mu.Unlock()
	n.options.FillHeartbeat(heartbeat)
	return heartbeat
}

func (n *Node) sendDueHeartbeats(ctx context.Context) {
	n.mu.Lock()
	due := n.table.Due(time.Now())
	n.mu.Unlock()
	if len(due) == 0 {
		return
	}
	request := &inner.Request{Heartbeat: n.heartbeat()}
	for _, member := range due {
		go n.sendHeartbeat(ctx, member, request)
	}
}

func (n *Node) sendHeartbeat(ctx context.Context, member inner.Member, request *inner.Request) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := n.client.Call(ctx, member.Address, request)
	if err != nil || resp.Heartbeat == nil {
		metrics.GetOrRegisterCounter("membership.heartbeats_failed", nil).Inc(1)
		return
	}
	n.observeHeartbeat(*resp.Heartbeat)
}

func (n *Node) handleHeartbeat(_ context.Context, _ inner.Member, heartbeat *inner.Heartbeat) (*inner.Heartbeat, error) {
	if heartbeat.Member.Address == "" {
		return nil, errkind.New(errkind.BadInput, "set the member's address", "heartbeat has no member address")
	}
	n.observeHeartbeat(*heartbeat)
	return n.heartbeat(), nil
}

func (n *Node) observeHeartbeat(heartbeat inner.Heartbeat) {
	now := time.Now()
	n.mu.Lock()
	change := n.table.ObserveHeartbeat(heartbeat, now)
	for _, relayed := range heartbeat.Relayed {
		n.table.ObserveRelayed(relayed.Heartbeat, milliseconds(relayed.AgeMS), now)
	}
	n.mu.Unlock()
	if change.SchedulerChanged && n.options.Self.Role == membership.RoleGateway {
		// Gateways of other failure domains route job queries to the active scheduler.
		n.ExpediteGateways()
	}
	if change.Joined {
		n.options.Log.Info().Str("peer", heartbeat.Member.VM).Str("peer_role", heartbeat.Member.Role).
			Str("peer_incarnation", heartbeat.Member.Incarnation).Msg("peer joined or restarted")
	}
	if n.options.OnHeartbeat != nil {
		n.options.OnHeartbeat(heartbeat)
	}
}

// pollVMList reads the platform's list of VMs every vmListInterval until ctx ends. After a failed read the last list stays
// in use.
func (n *Node) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		if vms, err := n.options.VMs.VMs(ctx); err == nil {
			n.mu.Lock()
			n.table.ObserveVMs(vms)
			n.mu.Unlock()
			if n.options.ObserveVMs != nil {
				n.options.ObserveVMs(vms)
			}
		} else if ctx.Err() == nil {
			metrics.GetOrRegisterCounter("platform.vm_list_failed", nil).Inc(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
