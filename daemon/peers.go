package daemon

import (
	"context"
	"sort"

	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/membership"
	"github.com/redwingthread/redwingthread/operatorapi"
)

// configPeers returns the members to ask for the configuration: the live ones, or all known ones while no gateway is
// live, such as at the start of the process. Only gateways have news from other failure domains.
func (n *Node) configPeers() []configlog.Peer {
	var live, known []configlog.Peer
	gateways := 0
	for _, state := range n.Peers() {
		peer := configlog.NewPeer(state.Peer.Member.Address, state.Peer.Member.Address, n.client)
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

// liveGateways returns the live gateways, self not included.
func (n *Node) liveGateways() []inner.Member {
	var members []inner.Member
	for _, peer := range n.Live(membership.RoleGateway) {
		members = append(members, peer.Member)
	}
	return members
}

// schedulerAddresses returns the addresses of a failure domain's schedulers, the active one first.
func (n *Node) schedulerAddresses(failureDomain string) []string {
	var schedulers []membership.Peer
	for _, peer := range n.Live(membership.RoleScheduler) {
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

// peerView shows the other processes to the operator API. It implements operatorapi.Peers.
type peerView struct {
	node     *Node
	follower *configlog.Follower
}

// ConfigStatus implements operatorapi.Peers. The version of a VM is the lower one of its daemons: a change is in force
// on the VM only when both have it.
func (v peerView) ConfigStatus(context.Context) []operatorapi.VMStatus {
	byVM := make(map[string]operatorapi.VMStatus)
	own := v.follower.Status()
	self := v.node.Self()
	byVM[self.VM] = operatorapi.VMStatus{VM: self.VM, FailureDomain: self.FailureDomain, Known: own.HasConfig,
		Version: own.Version, Digest: own.Digest}
	for _, state := range v.node.Peers() {
		mergeVMStatus(byVM, state)
	}
	statuses := make([]operatorapi.VMStatus, 0, len(byVM))
	for _, status := range byVM {
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].VM < statuses[j].VM })
	return statuses
}

// mergeVMStatus lowers the status of a VM to that of one of its daemons.
func mergeVMStatus(byVM map[string]operatorapi.VMStatus, state PeerState) {
	member, beat := state.Peer.Member, state.Peer.Heartbeat
	status := operatorapi.VMStatus{VM: member.VM, FailureDomain: member.FailureDomain,
		Known: state.Live && beat.HasConfig, Version: beat.ConfigVersion, Digest: beat.ConfigDigest}
	known, ok := byVM[member.VM]
	if ok && (!known.Known || status.Known && known.Version <= status.Version) {
		return
	}
	byVM[member.VM] = status
}

// Health implements operatorapi.Peers.
func (v peerView) Health(context.Context) []operatorapi.PeerHealth {
	var health []operatorapi.PeerHealth
	for _, state := range v.node.Peers() {
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

// ActiveSchedulers implements operatorapi.Peers. Of two that believe to be active the higher epoch is in force.
func (v peerView) ActiveSchedulers(context.Context) map[string]string {
	active := make(map[string]string)
	epochs := make(map[string]uint64)
	for _, peer := range v.node.Live(membership.RoleScheduler) {
		domain := peer.Member.FailureDomain
		if !peer.Heartbeat.Active || peer.Heartbeat.Epoch < epochs[domain] {
			continue
		}
		active[domain] = peer.Member.VM
		epochs[domain] = peer.Heartbeat.Epoch
	}
	return active
}
