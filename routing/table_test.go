package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/invariant"
)

var start = time.Unix(1000, 0)

// testTable returns the table of a gateway in fd-0 with n endpoints that alternate between fd-0 and fd-1.
func testTable(n, connections int) *Table {
	endpoints := map[string]config.Endpoint{}
	for i := range n {
		id := fmt.Sprintf("e-%d", i)
		endpoints[id] = config.Endpoint{FailureDomain: fmt.Sprintf("fd-%d", i%2), Address: id, Slots: 8,
			MaxConnections: connections}
	}
	t := NewTable("fd-0", 1)
	t.SetConfig(&config.Document{Services: map[string]config.Service{"s": {Endpoints: endpoints}}})
	return t
}

// TestConnectionBound guards against more concurrent exchanges than the gateway's share of an endpoint's connections.
func TestConnectionBound(t *testing.T) {
	for connections, want := range map[int]int{64: 8, 63: 7, 15: 1, 7: 0} {
		for _, ignore := range []bool{false, true} {
			table := testTable(1, connections)
			table.UnsafeIgnore(Rules{Bound: ignore})
			got := 0
			for got < 20 {
				if _, ok := table.Pick("s", nil, false, start); !ok {
					break
				}
				got++
			}
			if (got != want) != (ignore && want > 0) {
				t.Errorf("%d connections, bound ignored %v: got %d exchanges at once, want %d", connections, ignore, got, want)
			}
		}
	}
}

// TestEjection guards against endpoints that keep getting requests although they fail, are slow or are unreachable, and
// against a service without a usable endpoint because of a single bad one.
func TestEjection(t *testing.T) {
	bad := map[string]func(round int, id string) Report{
		"failing":      func(int, string) Report { return Report{Kind: Failed, Inflight: -1} },
		"server error": func(int, string) Report { return Report{Kind: ServerError, Took: time.Millisecond, Inflight: -1} },
		"slow":         func(int, string) Report { return Report{Took: time.Second, Inflight: -1} },
		"unreachable":  func(int, string) Report { return Report{Kind: NoConnection, Inflight: -1} },
	}
	for name, report := range bad {
		for _, ignore := range []bool{false, true} {
			table := testTable(20, 64)
			table.UnsafeIgnore(Rules{Health: ignore})
			now := start
			late := 0
			for round := range 3000 {
				now = now.Add(time.Millisecond)
				c, ok := table.Pick("s", nil, false, now)
				if !ok {
					t.Fatalf("%s: no endpoint in round %d", name, round)
				}
				r := Report{Took: 10 * time.Millisecond, Inflight: -1}
				if c.Endpoint == "e-0" {
					r = report(round, c.Endpoint)
					if round >= 2000 {
						late++
					}
				}
				table.Done(c, r, now)
			}
			if (late > 0) != ignore {
				t.Errorf("%s: endpoint got %d late requests, health ignored %v", name, late, ignore)
			}
		}
	}
}

// TestEjectionBound guards against the ejection of every endpoint when all exchanges fail, for example because of a
// fault of the gateway itself.
func TestEjectionBound(t *testing.T) {
	table := testTable(20, 64)
	now := start
	for range 2000 {
		now = now.Add(time.Millisecond)
		if c, ok := table.Pick("s", nil, false, now); ok {
			table.Done(c, Report{Kind: Failed, Inflight: -1}, now)
		}
	}
	n := 0
	for _, e := range table.Status() {
		if e.Ejected {
			n++
		}
	}
	if n == 0 || n > 6 {
		t.Errorf("%d of 20 endpoints are ejected, want 1 to 6 (30%%)", n)
	}
}

// TestProbing guards against a request that is not idempotent serving as a probe, against more than one probe of an
// endpoint at a time, and against a probe without an effect: a failed one must eject the endpoint for longer, and a
// successful one must make it usable.
func TestProbing(t *testing.T) {
	table := testTable(8, 64)
	eject := func(now time.Time) {
		for range failuresInRow {
			table.Done(Choice{Service: "s", Endpoint: "e-0", Address: "e-0"}, Report{Kind: Failed, Inflight: -1}, now)
		}
	}
	eject(start)
	now := start.Add(ejectBase)
	if c, _ := table.Pick("s", nil, false, now); c.Probe {
		t.Fatal("request without mayProbe is a probe")
	}
	probe, _ := table.Pick("s", nil, true, now)
	if second, _ := table.Pick("s", nil, true, now); !probe.Probe || second.Probe {
		t.Fatalf("got choices %v and %v, want only the first to be a probe", probe, second)
	}
	table.Done(probe, Report{Kind: Failed, Inflight: -1}, now)
	if c, _ := table.Pick("s", nil, true, now.Add(ejectBase)); c.Probe {
		t.Error("ejection after a failed probe is not longer")
	}
	probe, _ = table.Pick("s", nil, true, now.Add(2*ejectBase))
	table.Done(probe, Report{Took: time.Millisecond, Inflight: -1}, now.Add(2*ejectBase))
	if !probe.Probe || table.Status()[0].Ejected {
		t.Errorf("got choice %v and status %v, want a probe and an endpoint that is not ejected", probe, table.Status()[0])
	}
}

// TestIncarnationProbeEndsEjection guards against an endpoint that stays ejected because its service has no idempotent
// requests that could serve as a probe.
func TestIncarnationProbeEndsEjection(t *testing.T) {
	table := testTable(8, 64)
	for range failuresInRow {
		table.Done(Choice{Service: "s", Endpoint: "e-0", Address: "e-0"}, Report{Kind: Failed, Inflight: -1}, start)
	}
	now := start.Add(ejectBase + probeGrace)
	for i, r := range []ProbeResult{{Connected: true}, {Connected: true, Incarnation: "i"}} {
		due := table.Probes(now)
		if len(due) != 1 || !due[0].QueryIncarnation || len(table.Probes(now)) != 0 {
			t.Fatalf("round %d: got probes %v, want one that queries the incarnation", i, due)
		}
		table.ProbeDone(due[0], r, now)
		now = now.Add(2*ejectBase + probeGrace)
	}
	if table.Status()[0].Ejected {
		t.Error("endpoint is ejected after a successful probe")
	}
}

// TestFlapping guards against an endpoint that repeatedly becomes unreachable and fails requests each time.
func TestFlapping(t *testing.T) {
	table := testTable(8, 64)
	now := start
	for range flapCount {
		for range unreachableAfter {
			table.Done(Choice{Service: "s", Endpoint: "e-0", Address: "e-0"}, Report{Kind: NoConnection, Inflight: -1}, now)
		}
		now = now.Add(probeBase)
		for _, p := range table.Probes(now) {
			table.ProbeDone(p, ProbeResult{Connected: true}, now)
		}
	}
	if !table.Status()[0].Ejected {
		t.Error("flapping endpoint is not ejected")
	}
}

// TestLeavingAssertion guards against an assertion that does not detect a request to a leaving endpoint.
func TestLeavingAssertion(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		table := testTable(1, 64)
		table.UnsafeIgnore(Rules{Leaving: ignore})
		table.Done(Choice{Service: "s", Endpoint: "e-0", Address: "e-0"}, Report{Incarnation: "i", Leaving: true}, start)
		now := start.Add(LeavingBound + time.Millisecond)
		var collector invariant.Collector
		restore := invariant.SetRecorder(collector.Record)
		c, ok := table.Pick("s", nil, false, now)
		if ok {
			table.CheckDispatch(c, now)
		}
		restore()
		if ok != ignore || len(collector.Violations()) > 0 != ignore {
			t.Errorf("leaving ignored %v: picked %v, violations %v", ignore, ok, collector.Violations())
		}
	}
}

// TestLateResponseOfOldIncarnation guards against a late response of an old incarnation that marks the new one as
// leaving.
func TestLateResponseOfOldIncarnation(t *testing.T) {
	table := testTable(1, 64)
	c := Choice{Service: "s", Endpoint: "e-0", Address: "e-0"}
	for i, r := range []Report{{Incarnation: "old"}, {Incarnation: "new"}, {Incarnation: "old", Leaving: true}} {
		table.Done(c, r, start)
		if table.Status()[0].Leaving {
			t.Errorf("endpoint is leaving after report %d", i)
		}
	}
}

// TestFirstResponseOfAnOldIncarnation guards against a leaving endpoint that gets requests: the response of an incarnation that was not
// known before arrives after that of the next one, as the end of a long response does. It took the place of the next incarnation, whose
// own responses were then ignored as those of a replaced one.
func TestFirstResponseOfAnOldIncarnation(t *testing.T) {
	table := testTable(1, 64)
	pick := func(at time.Time) Choice {
		c, ok := table.Pick("s", nil, false, at)
		if !ok {
			t.Fatal("the endpoint gets no requests")
		}
		return c
	}
	long := pick(start)
	later := pick(start.Add(10 * time.Second))
	table.Done(later, Report{Incarnation: "new"}, start.Add(11*time.Second))
	table.Done(long, Report{Incarnation: "old", Leaving: true}, start.Add(12*time.Second))
	if table.Status()[0].Leaving {
		t.Error("the new incarnation is leaving after a report of the old one")
	}
	table.Done(pick(start.Add(13*time.Second)), Report{Incarnation: "new", Leaving: true}, start.Add(14*time.Second))
	if !table.Status()[0].Leaving {
		t.Error("the new incarnation is not leaving after its own report")
	}
}
