// Package daemon holds what the gateway and the scheduler daemon have in common: the inner protocol listener, heartbeats
// and membership, the metrics listener and the order of a graceful stop.
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
	// tick is the resolution of heartbeats.
	tick = 100 * time.Millisecond
	// heartbeatTimeout is below the shortest heartbeat interval, so that beats to a silent peer do not pile up.
	heartbeatTimeout = 900 * time.Millisecond
	// vmListInterval is the time between reads of the platform's list of VMs.
	vmListInterval = 2 * time.Second
)

// Options configure a Node.
type Options struct {
	// Self is the daemon's member; Node chooses its incarnation.
	Self  inner.Member
	Seeds []inner.Member
	Keys  *inner.KeyStore
	// VMs is the platform's list of VMs.
	VMs infra.VMList
	Log zerolog.Logger
	// Describe fills the state of the daemon into an outgoing heartbeat.
	Describe func(*inner.Heartbeat)
	// Observe takes every received heartbeat and may be nil.
	Observe func(inner.Heartbeat)
	// ObserveVMs takes every list of VMs read from the platform and may be nil.
	ObserveVMs func([]infra.VM)
}

// NewIncarnation returns a member with a new incarnation id. It must be called once for each start of a process.
func NewIncarnation(member inner.Member) inner.Member {
	member.Incarnation = uuid.NewString()
	return member
}

// Node is the membership and inner protocol end of one daemon. It is safe for concurrent use.
type Node struct {
	options Options
	client  *inner.Client
	mux     *Mux

	mu sync.Mutex
	// table is guarded by mu.
	table *membership.Table

	// expedite wakes the heartbeat loop before its next tick.
	expedite chan struct{}
}

// NewNode returns a node that answers heartbeats through mux once that is served.
func NewNode(options Options, mux *Mux) *Node {
	n := &Node{
		options:  options,
		client:   inner.NewClient(options.Keys),
		mux:      mux,
		table:    membership.New(options.Self, membership.DefaultOptions()),
		expedite: make(chan struct{}, 1),
	}
	now := time.Now()
	for _, seed := range options.Seeds {
		n.table.AddSeed(seed, now)
	}
	mux.Heartbeat = n.handleHeartbeat
	return n
}

// Client returns the caller for requests to peers.
func (n *Node) Client() *inner.Client { return n.client }

// Self returns the daemon's own member.
func (n *Node) Self() inner.Member { return n.options.Self }

// Run sends heartbeats and reads the list of VMs until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.followVMs(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		n.sendDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.expedite:
		}
	}
}

// Live returns the live members of a role, self not included.
func (n *Node) Live(role string) []membership.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live(role, time.Now())
}

// PeerState is a known member and whether it is live.
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
	case n.expedite <- struct{}{}:
	default:
	}
}

// beat returns the daemon's present heartbeat.
func (n *Node) beat() *inner.Heartbeat {
	beat := &inner.Heartbeat{Member: n.options.Self}
	n.mu.Lock()
	beat.Leaving = n.table.SelfLeaving()
	if n.options.Self.Role == membership.RoleGateway {
		beat.Relayed = n.table.Relay(time.Now())
	}
	n.mu.Unlock()
	n.options.Describe(beat)
	return beat
}

func (n *Node) sendDue(ctx context.Context) {
	n.mu.Lock()
	due := n.table.Due(time.Now())
	n.mu.Unlock()
	if len(due) == 0 {
		return
	}
	request := &inner.Request{Heartbeat: n.beat()}
	for _, member := range due {
		go n.send(ctx, member, request)
	}
}

func (n *Node) send(ctx context.Context, member inner.Member, request *inner.Request) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := n.client.Call(ctx, member.Address, request)
	if err != nil || resp.Heartbeat == nil {
		metrics.GetOrRegisterCounter("membership.heartbeats_failed", nil).Inc(1)
		return
	}
	n.observe(*resp.Heartbeat)
}

func (n *Node) handleHeartbeat(_ context.Context, _ inner.Member, beat *inner.Heartbeat) (*inner.Heartbeat, error) {
	if beat.Member.Address == "" {
		return nil, errkind.New(errkind.BadInput, "set the member's address", "heartbeat names no address")
	}
	n.observe(*beat)
	return n.beat(), nil
}

func (n *Node) observe(beat inner.Heartbeat) {
	now := time.Now()
	n.mu.Lock()
	change := n.table.ObserveHeartbeat(beat, now)
	for _, relayed := range beat.Relayed {
		n.table.ObserveRelayed(relayed.Heartbeat, milliseconds(relayed.AgeMS), now)
	}
	n.mu.Unlock()
	if change.Activity && n.options.Self.Role == membership.RoleGateway {
		// Gateways of other failure domains send their jobs' callers to the active scheduler.
		n.ExpediteGateways()
	}
	if change.Joined {
		n.options.Log.Info().Str("peer", beat.Member.VM).Str("peer_role", beat.Member.Role).
			Str("peer_incarnation", beat.Member.Incarnation).Msg("peer joined or restarted")
	}
	if n.options.Observe != nil {
		n.options.Observe(beat)
	}
}

// followVMs reads the platform's list of VMs until ctx ends. A failed read keeps the last list.
func (n *Node) followVMs(ctx context.Context) {
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
