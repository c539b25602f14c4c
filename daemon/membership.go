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

// MembershipOptions configures a Membership.
type MembershipOptions struct {
	// Self is the daemon's own member, with its incarnation.
	Self inner.Member
	// Seeds are the members named in the settings.
	Seeds []inner.Member
	Keys  *inner.KeyStore
	// VMs is the platform's list of VMs.
	VMs    infra.VMList
	Logger zerolog.Logger
	// FillHeartbeat sets the daemon's state in an outgoing heartbeat.
	FillHeartbeat func(*inner.Heartbeat)
	// OnHeartbeat is called with every received heartbeat; it may be nil.
	OnHeartbeat func(inner.Heartbeat)
	// ObserveVMs is called with every list of VMs that was read from the platform; it may be nil.
	ObserveVMs func([]infra.VM)
}

// NewIncarnation returns member with a new incarnation id. It must be called exactly once per process start.
func NewIncarnation(member inner.Member) inner.Member {
	member.Incarnation = uuid.NewString()
	return member
}

// Membership keeps a daemon's membership table up to date by heartbeats with peers and by the platform's list of VMs. It
// is safe for concurrent use.
type Membership struct {
	options MembershipOptions
	client  *inner.Client
	mux     *Mux

	mu sync.Mutex
	// table is guarded by mu.
	table *membership.Table

	// wake wakes the heartbeat loop without waiting for pollInterval.
	wake chan struct{}
}

// NewMembership returns a Membership and registers its heartbeat handler with mux.
func NewMembership(options MembershipOptions, mux *Mux) *Membership {
	m := &Membership{
		options: options,
		client:  inner.NewClient(options.Keys),
		mux:     mux,
		table:   membership.New(options.Self, membership.DefaultOptions()),
		wake:    make(chan struct{}, 1),
	}
	now := time.Now()
	for _, seed := range options.Seeds {
		m.table.AddSeed(seed, now)
	}
	mux.Heartbeat = m.handleHeartbeat
	return m
}

// Client returns the client for requests to peers.
func (m *Membership) Client() *inner.Client { return m.client }

// Self returns the daemon's own member.
func (m *Membership) Self() inner.Member { return m.options.Self }

// Run sends heartbeats and reads the list of VMs until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	go m.pollVMList(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m.sendDueHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// Live returns the live members of a role, without this process.
func (m *Membership) Live(role string) []membership.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(role, time.Now())
}

// PeerState is a known member with its liveness.
type PeerState struct {
	Peer membership.Peer
	Live bool
}

// Peers returns every known member.
func (m *Membership) Peers() []PeerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var states []PeerState
	for _, peer := range m.table.All() {
		states = append(states, PeerState{Peer: peer, Live: m.table.IsLive(peer, now)})
	}
	return states
}

// ExpediteGateways sends a heartbeat to every gateway without waiting for its interval.
func (m *Membership) ExpediteGateways() {
	m.mu.Lock()
	m.table.ExpediteGateways()
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// heartbeat returns the daemon's current state as a heartbeat.
func (m *Membership) heartbeat() *inner.Heartbeat {
	heartbeat := &inner.Heartbeat{Member: m.options.Self}
	m.mu.Lock()
	heartbeat.Leaving = m.table.SelfLeaving()
	if m.options.Self.Role == membership.RoleGateway {
		heartbeat.Relayed = m.table.Relay(time.Now())
	}
	m.mu.Unlock()
	m.options.FillHeartbeat(heartbeat)
	return heartbeat
}

func (m *Membership) sendDueHeartbeats(ctx context.Context) {
	m.mu.Lock()
	due := m.table.Due(time.Now())
	m.mu.Unlock()
	if len(due) == 0 {
		return
	}
	request := &inner.Request{Heartbeat: m.heartbeat()}
	for _, member := range due {
		go m.sendHeartbeat(ctx, member, request)
	}
}

func (m *Membership) sendHeartbeat(ctx context.Context, member inner.Member, request *inner.Request) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	resp, err := m.client.Call(ctx, member.Address, request)
	if err != nil || resp.Heartbeat == nil {
		metrics.GetOrRegisterCounter("membership.heartbeats_failed", nil).Inc(1)
		return
	}
	m.observeHeartbeat(*resp.Heartbeat)
}

func (m *Membership) handleHeartbeat(_ context.Context, _ inner.Member, heartbeat *inner.Heartbeat) (*inner.Heartbeat, error) {
	if heartbeat.Member.Address == "" {
		return nil, errkind.New(errkind.BadInput, "set the member's address", "heartbeat has no member address")
	}
	m.observeHeartbeat(*heartbeat)
	return m.heartbeat(), nil
}

func (m *Membership) observeHeartbeat(heartbeat inner.Heartbeat) {
	now := time.Now()
	m.mu.Lock()
	change := m.table.ObserveHeartbeat(heartbeat, now)
	for _, relayed := range heartbeat.Relayed {
		m.table.ObserveRelayed(relayed.Heartbeat, milliseconds(relayed.AgeMS), now)
	}
	m.mu.Unlock()
	if change.SchedulerChanged && m.options.Self.Role == membership.RoleGateway {
		// Gateways of other failure domains route job queries to the active scheduler.
		m.ExpediteGateways()
	}
	if change.Joined {
		m.options.Logger.Info().Str("peer", heartbeat.Member.VM).Str("peer_role", heartbeat.Member.Role).
			Str("peer_incarnation", heartbeat.Member.Incarnation).Msg("peer joined or restarted")
	}
	if m.options.OnHeartbeat != nil {
		m.options.OnHeartbeat(heartbeat)
	}
}

// pollVMList reads the platform's list of VMs every vmListInterval until ctx ends. After a failed read, the last list
// stays in use.
func (m *Membership) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		if vms, err := m.options.VMs.VMs(ctx); err == nil {
			m.mu.Lock()
			m.table.ObserveVMs(vms)
			m.mu.Unlock()
			if m.options.ObserveVMs != nil {
				m.options.ObserveVMs(vms)
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
