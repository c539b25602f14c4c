package membership

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/platform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func gatewayMember(vm, domain, incarnation string) inner.Member {
	return inner.Member{VM: vm, FailureDomain: domain, Role: RoleGateway, Incarnation: incarnation, Address: vm + ":1"}
}

func newTable() *Table {
	return New(gatewayMember("vm-1", "fd-a", "i1"), DefaultOptions())
}

// TestLiveEndsAfterMissedBeats guards against a killed gateway that stays in the count of live gateways.
func TestLiveEndsAfterMissedBeats(t *testing.T) {
	table := newTable()
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-2", "fd-a", "i1")}, start)
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-3", "fd-b", "i1")}, start)
	cases := map[time.Duration]int{0: 2, 3 * time.Second: 2, 4 * time.Second: 1, 6 * time.Second: 1, 7 * time.Second: 0}
	for after, want := range cases {
		if got := len(table.Live(RoleGateway, start.Add(after))); got != want {
			t.Errorf("after %v: %d live, want %d", after, got, want)
		}
	}
}

// TestLeavingIsStickyUntilNewIncarnation guards against a platform list that goes back from leaving to live.
func TestLeavingIsStickyUntilNewIncarnation(t *testing.T) {
	table := newTable()
	beat := inner.Heartbeat{Member: gatewayMember("vm-2", "fd-a", "i1")}
	table.ObserveHeartbeat(beat, start)
	vm := platform.VM{ID: "vm-2", Role: platform.RoleEntry, State: platform.VMLeaving}
	table.ObserveVMs([]platform.VM{vm})
	vm.State = platform.VMLive
	table.ObserveVMs([]platform.VM{vm})
	table.ObserveHeartbeat(beat, start)
	if !table.Live(RoleGateway, start)[0].Leaving {
		t.Fatal("leaving was taken back by the list")
	}
	beat.Member.Incarnation = "i2"
	if !table.ObserveHeartbeat(beat, start) {
		t.Fatal("restart was not reported")
	}
	if table.Live(RoleGateway, start)[0].Leaving {
		t.Fatal("new incarnation is leaving")
	}
}

// TestDueFollowsIntervals guards against heartbeats whose cost grows with the other failure domains.
func TestDueFollowsIntervals(t *testing.T) {
	table := newTable()
	table.AddSeed(gatewayMember("vm-2", "fd-a", ""), start)
	table.AddSeed(gatewayMember("vm-3", "fd-b", ""), start)
	sent := make(map[string]int)
	for i := range 40 {
		for _, member := range table.Due(start.Add(time.Duration(i) * 250 * time.Millisecond)) {
			sent[member.VM]++
		}
	}
	if sent["vm-2"] != 10 || sent["vm-3"] != 5 {
		t.Fatalf("sent %v in 10 s, want 10 to vm-2 and 5 to vm-3", sent)
	}
}

// TestOnlySeedsAreKeptForever guards against a table that grows with every replaced VM.
func TestOnlySeedsAreKeptForever(t *testing.T) {
	table := newTable()
	table.AddSeed(gatewayMember("vm-2", "fd-a", ""), start)
	table.ObserveHeartbeat(inner.Heartbeat{Member: gatewayMember("vm-3", "fd-b", "i1")}, start)
	table.Due(start.Add(DefaultOptions().ForgetAfter + time.Second))
	if all := table.All(); len(all) != 1 || all[0].Member.VM != "vm-2" {
		t.Fatalf("kept %v, want the seed only", all)
	}
}
