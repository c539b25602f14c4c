// Package membership keeps the table of the members of a deployment that a daemon knows: from the settings, the
// platform's list of VMs and heartbeats.
//
// A gateway exchanges heartbeats with every gateway and with the schedulers of its failure domain, a scheduler only
// with the members of its failure domain; gateways relay the heartbeats of their schedulers to gateways of other
// failure domains. One exchange informs both ends, so the member of a pair with the lower address starts it; the other
// member starts one only if it has received no heartbeat for longer.
//
// The package does no I/O and reads no clock: the daemon passes the time and sends the heartbeats that Due returns.
package membership

import (
	"sort"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

// Roles of daemons.
const (
	RoleGateway   = "gateway"
	RoleScheduler = "scheduler"
)

// Options configures the intervals of a Table.
type Options struct {
	// LocalInterval is the time between heartbeats to members of the same failure domain.
	LocalInterval time.Duration
	// RemoteInterval is the time between heartbeats to members of other failure domains. It is longer, so that the
	// load of a daemon hardly grows with the number of failure domains.
	RemoteInterval time.Duration
	// MissedHeartbeats is the number of intervals without a heartbeat after which a member is no longer live.
	MissedHeartbeats int
	// RemoveAfter is the time without a heartbeat after which a member that is not in the settings is removed.
	RemoveAfter time.Duration
}

// DefaultOptions returns intervals with which a failed gateway is detected after 3 s in its failure domain and after
// 9 s in the others. At the planned size (13 other gateways) the heartbeats of a gateway stay within its control budget.
func DefaultOptions() Options {
	return Options{
		LocalInterval:    time.Second,
		RemoteInterval:   3 * time.Second,
		MissedHeartbeats: 3,
		RemoveAfter:      10 * time.Minute,
	}
}

// Peer is the state of a member as the daemon knows it.
type Peer struct {
	Member    inner.Member
	Heartbeat inner.Heartbeat
	// LastSeen is the time of the last heartbeat; zero before the first.
	LastSeen time.Time
	// Leaving reports whether the member's heartbeat or the platform's list of VMs has said that it is leaving.
	Leaving bool
}

// entry is the row of the table for one inner protocol address.
type entry struct {
	peer Peer
	// seed marks an address of the settings, whose entry is never removed.
	seed bool
	// nextDue is the time at which the daemon sends the next heartbeat to the member.
	nextDue time.Time
	// added is the time at which the entry was added to the table.
	added time.Time
}

// Table is the membership of one daemon. It is not safe for concurrent use.
type Table struct {
	self    inner.Member
	options Options
	// members is keyed by inner protocol address: a replaced VM at the same address replaces its entry.
	members map[string]*entry
	// leavingVMs holds the ids of the VMs that the platform's list has shown as leaving. The list lags and may revert to an older
	// state, so a VM stays here until a heartbeat with a new incarnation arrives from it.
	leavingVMs map[string]bool
}

// New returns a table without any member except self.
func New(self inner.Member, options Options) *Table {
	return &Table{
		self:       self,
		options:    options,
		members:    make(map[string]*entry),
		leavingVMs: make(map[string]bool),
	}
}

// Self returns the daemon's own member.
func (t *Table) Self() inner.Member { return t.self }

// AddSeed adds a member of the settings. Its incarnation is unknown until its first heartbeat.
func (t *Table) AddSeed(member inner.Member, now time.Time) {
	if member.Address == t.self.Address {
		return
	}
	e := t.getOrAdd(member, now)
	e.seed = true
}

// Change is what a received heartbeat changed in the table.
type Change struct {
	// Joined reports that the member is new or has restarted.
	Joined bool
	// SchedulerChanged reports that a scheduler of the daemon's failure domain became active, stopped being active or
	// changed its epoch.
	SchedulerChanged bool
}

// ObserveHeartbeat applies a heartbeat that was received as a request or as a response. A heartbeat without an address or
// with the daemon's own is ignored.
func (t *Table) ObserveHeartbeat(heartbeat inner.Heartbeat, now time.Time) Change {
	if heartbeat.Member.Address == "" || heartbeat.Member.Address == t.self.Address {
		return Change{}
	}
	e := t.getOrAdd(heartbeat.Member, now)
	restarted := e.peer.Member.Incarnation != heartbeat.Member.Incarnation
	previous := e.peer.Heartbeat
	change := Change{
		Joined: restarted || e.peer.LastSeen.IsZero(),
		SchedulerChanged: heartbeat.Member.FailureDomain == t.self.FailureDomain &&
			(previous.Active != heartbeat.Active || previous.Epoch != heartbeat.Epoch),
	}
	if restarted && e.peer.Member.Incarnation != "" {
		delete(t.leavingVMs, heartbeat.Member.VM)
	}
	e.peer.Member = heartbeat.Member
	e.peer.Heartbeat = heartbeat
	e.peer.LastSeen = now
	e.nextDue = now.Add(t.sendDelay(heartbeat.Member))
	return change
}

// ObserveRelayed applies the heartbeat of another failure domain's scheduler, which a gateway of that domain received
// age ago. A heartbeat is ignored if it is older than the last known one, has no address or a negative age, or is of a
// member with which the daemon exchanges heartbeats itself.
func (t *Table) ObserveRelayed(heartbeat inner.Heartbeat, age time.Duration, now time.Time) {
	seen := now.Add(-age)
	if heartbeat.Member.Address == "" || age < 0 || t.exchangesWith(heartbeat.Member) {
		return
	}
	e := t.getOrAdd(heartbeat.Member, now)
	if seen.Before(e.peer.LastSeen) {
		return
	}
	e.peer.Member = heartbeat.Member
	e.peer.Heartbeat = heartbeat
	e.peer.LastSeen = seen
}

// Relay returns the heartbeats of the live schedulers of the daemon's failure domain, for gateways of other failure
// domains.
func (t *Table) Relay(now time.Time) []inner.RelayedHeartbeat {
	var relayed []inner.RelayedHeartbeat
	for _, peer := range t.Live(RoleScheduler, now) {
		if peer.Member.FailureDomain == t.self.FailureDomain {
			relayed = append(relayed, inner.RelayedHeartbeat{Heartbeat: peer.Heartbeat,
				AgeMS: now.Sub(peer.LastSeen).Milliseconds()})
		}
	}
	return relayed
}

// exchangesWith reports whether the daemon exchanges heartbeats with member.
func (t *Table) exchangesWith(member inner.Member) bool {
	if member.FailureDomain == t.self.FailureDomain {
		return true
	}
	return t.self.Role == RoleGateway && member.Role == RoleGateway
}

// sendDelay returns the delay from a received heartbeat until the daemon sends the next one itself. The member with the
// higher address waits longer, so that it sends only if the other member has failed or cannot reach it.
func (t *Table) sendDelay(member inner.Member) time.Duration {
	interval := t.interval(member)
	if t.self.Address < member.Address {
		return interval
	}
	return interval + interval/2
}

// ObserveVMs applies the platform's list of VMs. Entry VMs that it shows as leaving stay marked as such (see leavingVMs).
func (t *Table) ObserveVMs(vms []infra.VM) {
	for _, vm := range vms {
		if vm.Role == infra.RoleEntry && vm.State == infra.VMLeaving {
			t.leavingVMs[vm.ID] = true
		}
	}
}

// SelfLeaving reports whether the platform's list has shown the daemon's own VM as leaving.
func (t *Table) SelfLeaving() bool { return t.leavingVMs[t.self.VM] }

// Due returns the members to which a heartbeat is due, sorted by address, and schedules the next one to each. It also
// removes members that have expired (see Options.RemoveAfter).
func (t *Table) Due(now time.Time) []inner.Member {
	var due []inner.Member
	for address, e := range t.members {
		if t.expired(e, now) {
			delete(t.members, address)
			continue
		}
		if now.Before(e.nextDue) || !t.exchangesWith(e.peer.Member) {
			continue
		}
		e.nextDue = now.Add(t.interval(e.peer.Member))
		due = append(due, e.peer.Member)
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Address < due[j].Address })
	return due
}

// ExpediteGateways makes a heartbeat to every gateway due immediately, so that a change such as a leaving endpoint need
// not wait for the interval.
func (t *Table) ExpediteGateways() {
	for _, e := range t.members {
		if e.peer.Member.Role == RoleGateway {
			e.nextDue = time.Time{}
		}
	}
}

// Live returns the live members of a role, sorted by address; an empty role means all roles. Self is not included.
func (t *Table) Live(role string, now time.Time) []Peer {
	var live []Peer
	for _, e := range t.members {
		if role != "" && e.peer.Member.Role != role {
			continue
		}
		if !t.live(e, now) {
			continue
		}
		peer := e.peer
		peer.Leaving = t.leaving(peer)
		live = append(live, peer)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Member.Address < live[j].Member.Address })
	return live
}

// All returns every known member with its last heartbeat, sorted by address.
func (t *Table) All() []Peer {
	all := make([]Peer, 0, len(t.members))
	for _, e := range t.members {
		peer := e.peer
		peer.Leaving = t.leaving(peer)
		all = append(all, peer)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Member.Address < all[j].Member.Address })
	return all
}

// IsLive reports whether a peer returned by All is live: its last heartbeat is not older than the allowed number of
// missed intervals.
func (t *Table) IsLive(peer Peer, now time.Time) bool {
	e, ok := t.members[peer.Member.Address]
	return ok && t.live(e, now)
}

// getOrAdd returns the entry of a member and adds it to the table if it is missing.
func (t *Table) getOrAdd(member inner.Member, now time.Time) *entry {
	e, ok := t.members[member.Address]
	if !ok {
		e = &entry{peer: Peer{Member: member}, added: now}
		t.members[member.Address] = e
	}
	return e
}

func (t *Table) interval(member inner.Member) time.Duration {
	if member.FailureDomain == t.self.FailureDomain {
		return t.options.LocalInterval
	}
	return t.options.RemoteInterval
}

func (t *Table) live(e *entry, now time.Time) bool {
	limit := time.Duration(t.options.MissedHeartbeats) * t.interval(e.peer.Member)
	if !t.exchangesWith(e.peer.Member) {
		// A gateway relays a heartbeat until MissedHeartbeats local intervals have passed, so it may be that old.
		limit += time.Duration(t.options.MissedHeartbeats) * t.options.LocalInterval
	}
	return !e.peer.LastSeen.IsZero() && now.Sub(e.peer.LastSeen) <= limit
}

func (t *Table) leaving(peer Peer) bool {
	return peer.Heartbeat.Leaving || t.leavingVMs[peer.Member.VM]
}

// expired reports whether the entry is to be removed from the table.
func (t *Table) expired(e *entry, now time.Time) bool {
	last := e.peer.LastSeen
	if last.IsZero() {
		last = e.added
	}
	return !e.seed && now.Sub(last) > t.options.RemoveAfter
}
