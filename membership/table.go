// Package membership keeps the members of a deployment that a daemon knows, from the settings, the platform's list of
// VMs and heartbeats.
//
// A gateway exchanges heartbeats with every gateway and with the schedulers of its failure domain, a scheduler with the
// members of its failure domain only; gateways relay what they know of their schedulers. One exchange informs both
// ends, so of each pair only the member with the lower address starts it, unless it falls silent.
//
// The package is pure: the caller gives the time and carries out the heartbeats that Due asks for.
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

// Options are the times of a Table.
type Options struct {
	// LocalInterval is the time between heartbeats to members of the same failure domain.
	LocalInterval time.Duration
	// RemoteInterval is the time between heartbeats to members of other failure domains. It is longer, so that the
	// cost of a daemon hardly grows with the number of failure domains.
	RemoteInterval time.Duration
	// MissedBeats is the number of intervals without a heartbeat after which a member is not live.
	MissedBeats int
	// ForgetAfter is the time after which a member that is not live and not in the settings is removed.
	ForgetAfter time.Duration
}

// DefaultOptions returns times with which a lost gateway is noticed after 3 s in its failure domain and after 9 s in the
// others, and which keep the cost of a gateway at the planned size (13 other gateways) within its control budget.
func DefaultOptions() Options {
	return Options{
		LocalInterval:  time.Second,
		RemoteInterval: 3 * time.Second,
		MissedBeats:    3,
		ForgetAfter:    10 * time.Minute,
	}
}

// Peer is what the daemon knows of a member.
type Peer struct {
	Member    inner.Member
	Heartbeat inner.Heartbeat
	// Seen is the time of the last heartbeat; zero before the first.
	Seen time.Time
	// Leaving reports whether any source said that the VM or the daemon is leaving.
	Leaving bool
}

// entry is the state of one inner protocol address.
type entry struct {
	peer Peer
	// seed marks an address of the settings, which is never forgotten.
	seed    bool
	nextDue time.Time
	added   time.Time
}

// Table is the membership of one daemon. It is not safe for concurrent use.
type Table struct {
	self    inner.Member
	options Options
	// members is keyed by inner protocol address: a replaced VM at the same address replaces its entry.
	members map[string]*entry
	// leavingVMs holds VMs that the platform's list has said to be leaving. The list lags and may go back, so a VM
	// stays here until a new incarnation of its daemon reports itself.
	leavingVMs map[string]bool
}

// New returns a table that knows only self.
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

// AddSeed adds a member of the settings. Its incarnation is not known before its first heartbeat.
func (t *Table) AddSeed(member inner.Member, now time.Time) {
	if member.Address == t.self.Address {
		return
	}
	e := t.add(member, now)
	e.seed = true
}

// Change is what a heartbeat told that was not known before.
type Change struct {
	// Joined reports that the member is new or has restarted.
	Joined bool
	// Activity reports that a scheduler of the own failure domain became active, or is not active any more.
	Activity bool
}

// ObserveHeartbeat takes a heartbeat, received as a request or as an answer.
func (t *Table) ObserveHeartbeat(beat inner.Heartbeat, now time.Time) Change {
	if beat.Member.Address == "" || beat.Member.Address == t.self.Address {
		return Change{}
	}
	e := t.add(beat.Member, now)
	restarted := e.peer.Member.Incarnation != beat.Member.Incarnation
	known := e.peer.Heartbeat
	change := Change{
		Joined: restarted || e.peer.Seen.IsZero(),
		Activity: beat.Member.FailureDomain == t.self.FailureDomain &&
			(known.Active != beat.Active || known.Epoch != beat.Epoch),
	}
	if restarted {
		delete(t.leavingVMs, beat.Member.VM)
	}
	e.peer.Member = beat.Member
	e.peer.Heartbeat = beat
	e.peer.Seen = now
	e.nextDue = now.Add(t.pause(beat.Member))
	return change
}

// ObserveRelayed takes the heartbeat of another failure domain's scheduler that a gateway received age ago. An older
// one than the last known changes nothing.
func (t *Table) ObserveRelayed(beat inner.Heartbeat, age time.Duration, now time.Time) {
	seen := now.Add(-age)
	if beat.Member.Address == "" || age < 0 || t.beatsWith(beat.Member) {
		return
	}
	e := t.add(beat.Member, now)
	if seen.Before(e.peer.Seen) {
		return
	}
	e.peer.Member = beat.Member
	e.peer.Heartbeat = beat
	e.peer.Seen = seen
}

// Relay returns the heartbeats of the live schedulers of the own failure domain for gateways of other ones.
func (t *Table) Relay(now time.Time) []inner.RelayedHeartbeat {
	var relayed []inner.RelayedHeartbeat
	for _, peer := range t.Live(RoleScheduler, now) {
		if peer.Member.FailureDomain == t.self.FailureDomain {
			relayed = append(relayed, inner.RelayedHeartbeat{Heartbeat: peer.Heartbeat,
				AgeMS: now.Sub(peer.Seen).Milliseconds()})
		}
	}
	return relayed
}

// beatsWith reports whether the daemon exchanges heartbeats with member.
func (t *Table) beatsWith(member inner.Member) bool {
	if member.FailureDomain == t.self.FailureDomain {
		return true
	}
	return t.self.Role == RoleGateway && member.Role == RoleGateway
}

// pause returns the time from a received heartbeat until the daemon sends the next one by itself. The member with the
// higher address waits longer, so that it sends only when the other one fell silent or cannot reach it.
func (t *Table) pause(member inner.Member) time.Duration {
	interval := t.interval(member)
	if t.self.Address < member.Address {
		return interval
	}
	return interval + interval/2
}

// ObserveVMs takes the platform's list of VMs. Entry VMs that it calls leaving stay so, see leavingVMs.
func (t *Table) ObserveVMs(vms []infra.VM) {
	for _, vm := range vms {
		if vm.Role == infra.RoleEntry && vm.State == infra.VMLeaving {
			t.leavingVMs[vm.ID] = true
		}
	}
}

// SelfLeaving reports whether the platform's list has said that the daemon's own VM is leaving.
func (t *Table) SelfLeaving() bool { return t.leavingVMs[t.self.VM] }

// Due returns the members that a heartbeat is due for and counts them as sent.
func (t *Table) Due(now time.Time) []inner.Member {
	var due []inner.Member
	for address, e := range t.members {
		if t.expired(e, now) {
			delete(t.members, address)
			continue
		}
		if now.Before(e.nextDue) || !t.beatsWith(e.peer.Member) {
			continue
		}
		e.nextDue = now.Add(t.interval(e.peer.Member))
		due = append(due, e.peer.Member)
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Address < due[j].Address })
	return due
}

// ExpediteGateways makes a heartbeat to every gateway due at once, so that news such as a leaving endpoint need not
// wait for the interval.
func (t *Table) ExpediteGateways() {
	for _, e := range t.members {
		if e.peer.Member.Role == RoleGateway {
			e.nextDue = time.Time{}
		}
	}
}

// Live returns the live members of a role, sorted by address; an empty role means all. Self is not included.
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

// IsLive reports whether a peer returned by All was seen recently enough.
func (t *Table) IsLive(peer Peer, now time.Time) bool {
	e, ok := t.members[peer.Member.Address]
	return ok && t.live(e, now)
}

func (t *Table) add(member inner.Member, now time.Time) *entry {
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
	limit := time.Duration(t.options.MissedBeats) * t.interval(e.peer.Member)
	if !t.beatsWith(e.peer.Member) {
		// A relayed heartbeat may be as old as its own interval when it is sent.
		limit += time.Duration(t.options.MissedBeats) * t.options.LocalInterval
	}
	return !e.peer.Seen.IsZero() && now.Sub(e.peer.Seen) <= limit
}

func (t *Table) leaving(peer Peer) bool {
	return peer.Heartbeat.Leaving || t.leavingVMs[peer.Member.VM]
}

func (t *Table) expired(e *entry, now time.Time) bool {
	last := e.peer.Seen
	if last.IsZero() {
		last = e.added
	}
	return !e.seed && now.Sub(last) > t.options.ForgetAfter
}
