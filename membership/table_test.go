package membership

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func gatewayMember(vm, domain, incarnation string) inner.Member {
	return inner.Member{VM: vm, FailureDomain: domain, Role: RoleGateway, Incarnation: incarnation, Address: vm + ":1"}
}

func newTable() *Table {
	return New(gatewayMember("vm-1", "fd-a", "i1"), DefaultOptions())
}

// TestLiveEndsAfterMissedBeats guards against a failed gateway that still counts as live.
func TestLiveEndsAfterMissedBeats(t *testing.T) {
	table := newTable()
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-2", "fd-a", "i1")}, startTime)
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-3", "fd-b", "i1")}, startTime)
	cases := map[time.Duration]int{0: 2, 3 * time.Second: 2, 4 * time.Second: 1, 9 * time.Second: 1, 10 * time.Second: 0}
	for after, want := range cases {
		if got := len(table.Live(RoleGateway, startTime.Add(after))); got != want {
			t.Errorf("after %v: %d live, want %d", after, got, want)
		}
	}
}

// TestLeavingIsStickyUntilNewIncarnation guards against a member that loses its leaving mark because the platform's list
// reverts from leaving to live, and against a restarted member that keeps the mark or is not reported as joined.
func TestLeavingIsStickyUntilNewIncarnation(t *testing.T) {
	table := newTable()
	heartbeat := inner.Heartbeat{Member: gatewayMember("vm-2", "fd-a", "i1")}
	table.ObserveHeartbeat(heartbeat, startTime)
	vm := infra.VM{ID: "vm-2", Role: infra.RoleEntry, State: infra.VMLeaving}
	table.ObserveVMs([]infra.VM{vm})
	vm.State = infra.VMLive
	table.ObserveVMs([]infra.VM{vm})
	table.ObserveHeartbeat(heartbeat, startTime)
	if !table.Live(RoleGateway, startTime)[0].Leaving {
		t.Fatal("member is no longer leaving after the list reverted to live")
	}
	heartbeat.Member.Incarnation = "i2"
	if !table.ObserveHeartbeat(heartbeat, startTime).Joined {
		t.Fatal("restart was not reported")
	}
	if table.Live(RoleGateway, startTime)[0].Leaving {
		t.Fatal("new incarnation is marked as leaving")
	}
}

// simulateHeartbeats simulates the heartbeats of members for 60 s. It returns how many exchanges each VM started with
// each other VM, and the tables by address. Exchanges for which drop, if not nil, returns true do not reach the
// receiver.
func simulateHeartbeats(members []inner.Member, drop func(from, to inner.Member) bool) (map[[2]string]int, map[string]*Table) {
	tables := make(map[string]*Table)
	for _, member := range members {
		table := New(member, DefaultOptions())
		for _, seed := range members {
			table.AddSeed(seed, startTime)
		}
		tables[member.Address] = table
	}
	sent := make(map[[2]string]int)
	for i := range 600 {
		now := startTime.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, from := range members {
			for _, to := range tables[from.Address].Due(now) {
				sent[[2]string{from.VM, to.VM}]++
				if drop != nil && drop(from, to) {
					continue
				}
				tables[to.Address].ObserveHeartbeat(inner.Heartbeat{Member: from}, now)
				tables[from.Address].ObserveHeartbeat(inner.Heartbeat{Member: to}, now)
			}
		}
	}
	return sent, tables
}

func schedulerMember(vm, domain string) inner.Member {
	return inner.Member{VM: vm, FailureDomain: domain, Role: RoleScheduler, Incarnation: "i1", Address: vm + ":1"}
}

// TestOneMemberOfEachPairStartsExchanges guards against two exchanges per interval and pair, and against schedulers
// that exchange heartbeats with other failure domains: their load would grow with the number of failure domains.
func TestOneMemberOfEachPairStartsExchanges(t *testing.T) {
	members := []inner.Member{gatewayMember("g-a1", "fd-a", "i1"), gatewayMember("g-a2", "fd-a", "i1"),
		gatewayMember("g-b1", "fd-b", "i1"), schedulerMember("s-a1", "fd-a"), schedulerMember("s-b1", "fd-b")}
	sent, _ := simulateHeartbeats(members, nil)
	want := map[[2]string]int{{"g-a1", "g-a2"}: 60, {"g-a1", "g-b1"}: 20, {"g-a2", "g-b1"}: 20, {"g-a1", "s-a1"}: 60,
		{"g-a2", "s-a1"}: 60, {"g-b1", "s-b1"}: 60, {"g-b1", "s-a1"}: 0, {"s-a1", "s-b1"}: 0}
	for pair, n := range want {
		both := sent[pair] + sent[[2]string{pair[1], pair[0]}]
		if both < n || both > n+1 {
			t.Errorf("pair %v made %d exchanges in 60 s, want %d", pair, both, n)
		}
	}
}

// TestOtherMemberStartsExchangesAfterOneWayFault guards against two members that consider each other failed when the
// member that starts the exchanges cannot reach the other one.
func TestOtherMemberStartsExchangesAfterOneWayFault(t *testing.T) {
	members := []inner.Member{gatewayMember("g-a1", "fd-a", "i1"), gatewayMember("g-b1", "fd-b", "i1")}
	_, tables := simulateHeartbeats(members, func(from, _ inner.Member) bool { return from.VM == "g-a1" })
	for address, table := range tables {
		if len(table.Live(RoleGateway, startTime.Add(time.Minute))) != 1 {
			t.Errorf("%s does not see the other gateway", address)
		}
	}
}

// TestRelayedSchedulerExpiresWithoutRelays guards against a gateway that knows no scheduler of another failure domain,
// that sends heartbeats to it, or that counts it as live after its heartbeats are no longer relayed.
func TestRelayedSchedulerExpiresWithoutRelays(t *testing.T) {
	remote := New(gatewayMember("g-b1", "fd-b", "i1"), DefaultOptions())
	remote.ObserveHeartbeat(inner.Heartbeat{Member: schedulerMember("s-b1", "fd-b"), Active: true, Epoch: 3}, startTime)
	local := newTable()
	for _, relayed := range remote.Relay(startTime.Add(500 * time.Millisecond)) {
		local.ObserveRelayed(relayed.Heartbeat, time.Duration(relayed.AgeMS)*time.Millisecond, startTime.Add(time.Second))
	}
	live := local.Live(RoleScheduler, startTime.Add(10*time.Second))
	if len(live) != 1 || !live[0].Heartbeat.Active || live[0].Heartbeat.Epoch != 3 {
		t.Fatalf("live schedulers are %+v, want one that is active with epoch 3", live)
	}
	if len(local.Due(startTime.Add(time.Second))) != 0 {
		t.Fatal("a heartbeat is due to a relayed scheduler")
	}
	if len(local.Live(RoleScheduler, startTime.Add(14*time.Second))) != 0 {
		t.Fatal("the scheduler is still live 13 s after its last relayed heartbeat")
	}
}

// TestOnlySeedsAreNeverRemoved guards against a table that grows with every replaced VM, and against seeds that are
// removed.
func TestOnlySeedsAreNeverRemoved(t *testing.T) {
	table := newTable()
	table.AddSeed(gatewayMember("vm-2", "fd-a", ""), startTime)
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-3", "fd-b", "i1")}, startTime)
	table.Due(startTime.Add(DefaultOptions().RemoveAfter + time.Second))
	if all := table.All(); len(all) != 1 || all[0].Member.VM != "vm-2" {
		t.Fatalf("kept %v, want the seed only", all)
	}
}

// TestActiveSchedulerChangeIsReportedOnce guards against a takeover that other failure domains learn of only after a
// heartbeat interval, and against heartbeats that expedite further ones without end.
func TestActiveSchedulerChangeIsReportedOnce(t *testing.T) {
	table := newTable()
	steps := []struct {
		domain string
		epoch  uint64
		want   bool
	}{{"fd-a", 0, false}, {"fd-a", 4, true}, {"fd-a", 4, false}, {"fd-a", 5, true}, {"fd-a", 0, true}, {"fd-b", 4, false}}
	for i, step := range steps {
		heartbeat := inner.Heartbeat{Member: schedulerMember("s-"+step.domain, step.domain), Active: step.epoch > 0,
			Epoch: step.epoch}
		if got := table.ObserveHeartbeat(heartbeat, startTime).SchedulerChanged; got != step.want {
			t.Errorf("step %d: change reported %v, want %v", i, got, step.want)
		}
	}
}

// TestFirstHeartbeatIsNoRestart guards against a leaving VM that counts as staying: the list of VMs shows a member of the settings as
// leaving before its first heartbeat arrives, which does not show that it has restarted.
func TestFirstHeartbeatIsNoRestart(t *testing.T) {
	table := newTable()
	member := gatewayMember("vm-2", "fd-a", "")
	table.AddSeed(member, startTime)
	vm := infra.VM{ID: "vm-2", Role: infra.RoleEntry, State: infra.VMLeaving}
	table.ObserveVMs([]infra.VM{vm})
	member.Incarnation = "i1"
	table.ObserveHeartbeat(inner.Heartbeat{Member: member}, startTime)
	if !table.Live(RoleGateway, startTime)[0].Leaving {
		t.Error("the member is not leaving after its first heartbeat")
	}
}
