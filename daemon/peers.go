package daemon

import (
	"context"
	"sort"

	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/membership"
	"github.com/redwingthread/redwingthread/operatorapi"
)

// configPeers returns the members to read the configuration from: the live ones, or all known ones while no gateway is
// live, such as at process start. Only gateways receive configuration records from other failure domains.
func (m *Membership) configPeers() []configlog.Peer {
	var live, known []configlog.Peer
	gateways := 0
	for _, state := range m.Peers() {
		peer := configlog.NewPeer(state.Peer.Member.Address, state.Peer.Member.Address, m.client)
		known = append(known, peer)
		if !state.Live {
			continue
		}
		live = append(live, peer)
		if state.Peer.Member.Role == membership.RoleGateway {
			gateways++
		}
	}
	if gateways > 0 {
		return live
	}
	return known
}

// liveGateways returns the live gateways, without this process.
func (m *Membership) liveGateways() []inner.Member {
	var members []inner.Member
	for _, peer := range m.Live(membership.RoleGateway) {
		members = append(members, peer.Member)
	}
	return members
}

// schedulerAddresses returns the addresses of the live schedulers of a failure domain, the active one first.
func (m *Membership) schedulerAddresses(failureDomain string) []string {
	var schedulers []membership.Peer
	for _, peer := range m.Live(membership.RoleScheduler) {
		if peer.Member.FailureDomain == failureDomain {
			schedulers = append(schedulers, peer)
		}
	}
	sort.SliceStable(schedulers, func(i, j int) bool {
		return schedulers[i].Heartbeat.Active && !schedulers[j].Heartbeat.Active
	})
	addresses := make([]string, 0, len(schedulers))
	for _, peer := range schedulers {
		addresses = append(addresses, peer.Member.Address)
	}
	return addresses
}

// peerView gives the operator API the state of the other processes. It implements operatorapi.Peers.
type peerView struct {
	members  *Membership
	follower *configlog.Follower
}

// ConfigStatus implements operatorapi.Peers. The version of a VM is the lowest among its daemons: a change is in force
// on the VM only when every one has it.
func (v peerView) ConfigStatus(context.Context) []operatorapi.VMStatus {
	byVM := make(map[string]operatorapi.VMStatus)
	own := v.follower.Status()
	self := v.members.Self()
	byVM[self.VM] = operatorapi.VMStatus{VM: self.VM, FailureDomain: self.FailureDomain, Known: own.HasConfig,
		Version: own.Version, Digest: own.Digest}
	for _, state := range v.members.Peers() {
		mergeVMStatus(byVM, state)
	}
	statuses := make([]operatorapi.VMStatus, 0, len(byVM))
	for _, status := range byVM {
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].VM < statuses[j].VM })
	return statuses
}

// mergeVMStatus replaces the status of a VM by that of one of its daemons if the daemon has a lower version or none.
func mergeVMStatus(byVM map[string]operatorapi.VMStatus, state PeerState) {
	member, heartbeat := state.Peer.Member, state.Peer.Heartbeat
	status := operatorapi.VMStatus{VM: member.VM, FailureDomain: member.FailureDomain,
		Known: state.Live && heartbeat.HasConfig, Version: heartbeat.ConfigVersion, Digest: heartbeat.ConfigDigest}
	known, ok := byVM[member.VM]
	if ok && (!known.Known || status.Known && known.Version <= status.Version) {
		return
	}
	byVM[member.VM] = status
}

// Health implements operatorapi.Peers.
func (v peerView) Health(context.Context) []operatorapi.PeerHealth {
	var health []operatorapi.PeerHealth
	for _, state := range v.members.Peers() {
		health = append(health, operatorapi.PeerHealth{
			VM:            state.Peer.Member.VM,
			FailureDomain: state.Peer.Member.FailureDomain,
			Role:          state.Peer.Member.Role,
			Reachable:     state.Live,
			Ready:         state.Peer.Heartbeat.Ready,
			Leaving:       state.Peer.Leaving,
		})
	}
	return health
}

// ActiveSchedulers implements operatorapi.Peers. If several schedulers of a failure domain report that they are active,
// the one with the highest epoch holds the lease.
func (v peerView) ActiveSchedulers(context.Context) map[string]string {
	active := make(map[string]string)
	epochs := make(map[string]uint64)
	for _, peer := range v.members.Live(membership.RoleScheduler) {
		domain := peer.Member.FailureDomain
		if !peer.Heartbeat.Active || peer.Heartbeat.Epoch < epochs[domain] {
			continue
		}
		active[domain] = peer.Member.VM
		epochs[domain] = peer.Heartbeat.Epoch
	}
	return active
}
