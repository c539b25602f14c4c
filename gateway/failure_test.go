package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
)

// TestKeys guards against a request that runs twice when a caller repeats its key at any gateway, before or after the
// gateway that issued the key fails, against a key that runs for another content or account, and against wrong outcomes.
func TestKeys(t *testing.T) {
	type step func(t *testing.T, f *fixture, a, b *testGateway, key string)
	expect := func(t *testing.T, r testResponse, outcome string, kind errkind.Kind) {
		t.Helper()
		if r.outcome != outcome || r.kind != kind {
			t.Errorf("got outcome %q kind %q, want %q %q", r.outcome, r.kind, outcome, kind)
		}
	}
	post := func(key string) testRequest {
		return testRequest{account: "orders", method: "POST", key: key, body: "x"}
	}
	cases := map[string]struct {
		runs int
		step step
	}{
		"repeat at the owner": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			expect(t, a.send(post(key)), "completed", "")
			expect(t, a.send(post(key)), "completed", "")
		}},
		"forward": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			r := b.send(post(key))
			expect(t, r, "completed", "")
			if r.body != "done:x" {
				t.Errorf("got body %q, want done:x", r.body)
			}
		}},
		"repeat at another gateway": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			expect(t, a.send(post(key)), "completed", "")
			expect(t, b.send(post(key)), "completed", "")
		}},
		"at two gateways at once": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			var both sync.WaitGroup
			both.Go(func() { expect(t, a.send(post(key)), "completed", "") })
			both.Go(func() { expect(t, b.send(post(key)), "completed", "") })
			both.Wait()
		}},
		"owner killed while it runs": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			for _, e := range f.endpoints {
				e.serviceTime = func() time.Duration { return time.Second }
			}
			time.AfterFunc(300*time.Millisecond, func() { f.kill(a) })
			expect(t, b.send(post(key)), "unknown", errkind.Unknown)
			expect(t, b.send(post(key)), "unknown", errkind.Unknown)
		}},
		"owner replaced by a new incarnation": {0, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			f.kill(a)
			f.net.revive("vm-0")
			a = f.start("vm-0", "i-9", "fd-0", nil)
			expect(t, a.send(post(key)), "unknown", errkind.Unknown)
			expect(t, b.send(post(key)), "unknown", errkind.Unknown)
		}},
		"owner cut off": {0, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			f.net.setCut("vm-0", "vm-1", true)
			s := post(key)
			s.timeout = time.Second
			expect(t, b.send(s), "unknown", errkind.Unknown)
		}},
		"owner frozen past the deadline starts nothing": {0, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			f.net.setFrozen("vm-0", true)
			s := post(key)
			s.timeout = time.Second
			expect(t, a.send(s), "not_run", errkind.Unavailable)
			f.net.setFrozen("vm-0", false)
			time.Sleep(10 * time.Second)
			expect(t, a.send(s), "not_run", errkind.Unavailable)
		}},
		"another content": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			expect(t, a.send(post(key)), "completed", "")
			for name, change := range map[string]func(s *testRequest){
				"method": func(s *testRequest) { s.method = "PATCH" },
				"path":   func(s *testRequest) { s.path = "/v1/services/scan/other" },
				"body":   func(s *testRequest) { s.body = "y" },
			} {
				s := post(key)
				change(&s)
				t.Log(name)
				expect(t, b.send(s), "unknown", errkind.Conflict)
			}
		}},
		"another account": {0, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			s := post(key)
			s.account = "blades"
			expect(t, a.send(s), "not_run", errkind.Forbidden)
			expect(t, b.send(s), "not_run", errkind.Forbidden)
		}},
		"caller gone while it runs": {1, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			for _, e := range f.endpoints {
				e.serviceTime = func() time.Duration { return 500 * time.Millisecond }
			}
			go a.send(post(key))
			time.Sleep(100 * time.Millisecond)
			expect(t, b.send(post(key)), "completed", "")
		}},
		"refused with not_run until the end": {0, func(t *testing.T, f *fixture, a, b *testGateway, key string) {
			for _, e := range f.endpoints {
				e.nextFault = func(*http.Request) fault { return notRun503 }
			}
			expect(t, a.send(post(key)), "not_run", errkind.Overloaded)
			for _, e := range f.endpoints {
				e.nextFault = nil
			}
			expect(t, b.send(post(key)), "not_run", errkind.Overloaded)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, 8, func(t *testing.T, f *fixture) {
				a := f.start("vm-0", "i-0", "fd-0", nil)
				b := f.start("vm-1", "i-1", "fd-1", nil)
				key := a.newKey("orders")
				c.step(t, f, a, b, key)
				time.Sleep(20 * time.Second)
				if n := f.runLog.count("x"); n != c.runs {
					t.Errorf("request ran %d times, want %d", n, c.runs)
				}
			})
		})
	}
}

// TestBadInput guards against invalid requests that reach an endpoint or get the wrong status, error kind or outcome.
func TestBadInput(t *testing.T) {
	cases := map[string]struct {
		change func(s *testRequest)
		status int
		kind   errkind.Kind
	}{
		"unknown account":  {func(s *testRequest) { s.account = "nobody" }, 401, errkind.Unauthenticated},
		"unknown service":  {func(s *testRequest) { s.path = "/v1/services/none/x" }, 404, errkind.NotFound},
		"unknown path":     {func(s *testRequest) { s.path = "/v2" }, 404, errkind.NotFound},
		"malformed key":    {func(s *testRequest) { s.key = "a/b" }, 400, errkind.BadInput},
		"body too large":   {func(s *testRequest) { s.body = string(make([]byte, 1<<17)) }, 413, errkind.TooLarge},
		"bad timeout":      {func(s *testRequest) { s.header = http.Header{headerTimeout: {"soon"}} }, 400, errkind.BadInput},
		"timeout too long": {func(s *testRequest) { s.timeout = time.Hour }, 400, errkind.BadInput},
		"method CONNECT":   {func(s *testRequest) { s.method = "CONNECT" }, 400, errkind.BadInput},
		"GET of a key":     {func(s *testRequest) { s.method, s.path = "GET", "/v1/keys" }, 400, errkind.BadInput},
	}
	inBubble(t, 3, 8, func(t *testing.T, f *fixture) {
		g := f.start("vm-0", "i-0", "fd-0", nil)
		for name, c := range cases {
			s := testRequest{account: "orders", method: "POST", body: "x"}
			c.change(&s)
			if r := g.send(s); r.status != c.status || r.kind != c.kind || r.outcome != "not_run" {
				t.Errorf("%s: got %+v, want the status and kind of the case and outcome not_run", name, r)
			}
		}
		if n := len(f.runLog.all()); n != 0 {
			t.Errorf("%d requests reached an endpoint, want none", n)
		}
	})
}

// TestSilentConnections guards against pooled connections that stop delivering data without being closed. They must
// delay requests by a few seconds at most, and their endpoints must not be ejected for them.
func TestSilentConnections(t *testing.T) {
	t.Run("with rules", func(t *testing.T) { checkSilentConnections(t, nil) })
	t.Run("without rules", func(t *testing.T) { checkSilentConnections(t, func(n *testGateway) { n.pools.UnsafeSkipChecks() }) })
}

// checkSilentConnections expects no faults if unsafe is nil. Otherwise unsafe disables rules, and at least one fault is
// expected.
func checkSilentConnections(t *testing.T, unsafe func(*testGateway)) {
	inBubble(t, 3, 8, func(t *testing.T, f *fixture) {
		f.unsafe = unsafe
		var faults []string
		g := f.start("vm-0", "i-0", "fd-0", nil)
		load := func(n int) (slowest time.Duration) {
			var all sync.WaitGroup
			var mu sync.Mutex
			for i := range n {
				all.Go(func() {
					start := time.Now()
					r := g.send(testRequest{account: "orders", method: "PUT", body: fmt.Sprint(i), timeout: 10 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					slowest = max(slowest, time.Since(start))
					if r.outcome != "completed" {
						faults = append(faults, fmt.Sprintf("request is not completed: %+v", r))
					}
				})
			}
			all.Wait()
			return slowest
		}
		load(20)
		for id := range f.endpoints {
			f.net.silence(id, func() bool { return true })
		}
		if took := load(6); took > 5*time.Second {
			faults = append(faults, fmt.Sprintf("requests on silent connections took up to %s, more than 5 s", took))
		}
		if took := load(6); took > 100*time.Millisecond {
			faults = append(faults, fmt.Sprintf("requests after the silence was detected took up to %s, more than 100 ms", took))
		}
		for _, e := range g.EndpointStatus() {
			if e.Ejected || e.Unreachable {
				faults = append(faults, fmt.Sprintf("endpoint %s is ejected or unreachable because of silent connections", e.Endpoint))
			}
		}
		if len(faults) > 0 != (unsafe != nil) {
			t.Errorf("got faults %q, want none with the rules and some without", faults)
		}
	})
}

// TestLeaving guards against requests to a leaving endpoint more than 3 s after the gateway learned from any source that
// it is leaving, and against a new incarnation of the endpoint that never gets requests.
func TestLeaving(t *testing.T) {
	sources := map[string]func(f *fixture, g *testGateway){
		"own response": func(f *fixture, g *testGateway) { f.endpoints["e-0"].leaving = true },
		"peer": func(f *fixture, g *testGateway) {
			g.LearnLeaving([]inner.EndpointIncarnation{{Service: "scan", Endpoint: "e-0", Incarnation: "e-0-1"}})
		},
		"VM list going back and forth": func(f *fixture, g *testGateway) {
			g.ObserveVMs([]infra.VM{{ID: "e-0", Role: infra.RoleEndpoint, State: infra.VMLeaving}})
			g.ObserveVMs([]infra.VM{{ID: "e-0", Role: infra.RoleEndpoint, State: infra.VMLive}})
		},
	}
	for name, announce := range sources {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 6, 8, func(t *testing.T, f *fixture) {
				g := f.start("vm-0", "i-0", "fd-0", nil)
				load := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						g.send(testRequest{account: "orders", method: "POST", body: "x"})
					}
				}
				gotWork := func() bool {
					return slices.ContainsFunc(f.runLog.all(), func(r run) bool { return r.endpoint == "e-0" })
				}
				load(time.Second)
				if !gotWork() {
					t.Fatal("endpoint got no requests before it was leaving")
				}
				announce(f, g)
				load(3 * time.Second)
				f.runLog.runs = nil
				load(5 * time.Second)
				if gotWork() {
					t.Error("leaving endpoint got requests")
				}
				e := f.endpoints["e-0"]
				e.stopListening()
				load(3 * time.Second)
				e.mu.Lock()
				e.leaving, e.incarnation = false, "e-0-2"
				e.mu.Unlock()
				go e.serve(f.net.listen("e-0"))
				load(5 * time.Second)
				if !gotWork() {
					t.Error("new incarnation got no requests")
				}
			})
		})
	}
}

// TestFailureDomainLost guards against requests that fail because all endpoints of the gateway's failure domain are
// down, while endpoints of other failure domains work, and against requests to other failure domains before that.
func TestFailureDomainLost(t *testing.T) {
	inBubble(t, 6, 8, func(t *testing.T, f *fixture) {
		g := f.start("vm-0", "i-0", "fd-0", nil)
		for i := range 100 {
			if i == 20 {
				f.net.kill("e-0")
				f.net.kill("e-3")
			}
			if r := g.send(testRequest{account: "orders", method: "POST", body: "x"}); i > 30 && r.outcome != "completed" {
				t.Errorf("request %d: got %+v, want outcome completed", i, r)
			}
		}
		for _, r := range f.runLog.all()[:20] {
			if r.endpoint != "e-0" && r.endpoint != "e-3" {
				t.Errorf("request ran at %s while local endpoints worked", r.endpoint)
			}
		}
	})
}

// TestSeats guards against a gateway that opens connections while there are more live gateways than seats, and so
// exceeds the connection limit of the endpoints. It also guards against a gateway without a seat that does not forward
// requests, or that does not take a seat that becomes free.
func TestSeats(t *testing.T) {
	inBubble(t, 3, 8, func(t *testing.T, f *fixture) {
		f.doc.Policy.GatewaySeats = 2
		a := f.start("vm-0", "i-0", "fd-0", nil)
		f.start("vm-1", "i-1", "fd-1", nil)
		c := f.start("vm-2", "i-2", "fd-2", nil)
		if ok, _ := a.Ready(); !ok {
			t.Error("first gateway reports not ready")
		}
		if ok, _ := c.Ready(); ok {
			t.Error("gateway without a seat reports ready")
		}
		r := c.send(testRequest{account: "orders", method: "POST", body: "x"})
		if r.outcome != "not_run" || r.kind != errkind.Unavailable || c.pools.OpenTotal() != 0 {
			t.Errorf("gateway without a seat: got %+v and %d connections, want not_run, unavailable and none", r,
				c.pools.OpenTotal())
		}
		// A request with a key of a seated gateway is forwarded and needs no endpoint connection of this one.
		if r := c.send(testRequest{account: "orders", method: "POST", key: a.newKey("orders")}); r.outcome != "completed" {
			t.Errorf("forwarded request: got %+v, want outcome completed", r)
		}
		f.kill(a)
		time.Sleep(time.Second)
		if ok, reason := c.Ready(); !ok {
			t.Errorf("gateway reports not ready after a seat became free: %s", reason)
		}
	})
}

// TestShutdown guards against requests that a graceful shutdown aborts and against a gateway that reports ready during
// its shutdown. Without the wait for accepted requests, the assertion in Shutdown must fail.
func TestShutdown(t *testing.T) {
	for _, skipShutdownWait := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", skipShutdownWait), func(t *testing.T) {
			inBubble(t, 3, 4, func(t *testing.T, f *fixture) {
				f.unsafe = func(n *testGateway) { n.unsafe.skipShutdownWait = skipShutdownWait }
				for _, e := range f.endpoints {
					e.serviceTime = func() time.Duration { return 200 * time.Millisecond }
				}
				g := f.start("vm-0", "i-0", "fd-0", nil)
				counts := map[string]int{}
				var mu sync.Mutex
				var callers sync.WaitGroup
				end := time.Now().Add(6 * time.Second)
				for range 8 {
					callers.Go(func() {
						for time.Now().Before(end) {
							r := g.send(testRequest{account: "orders", method: "POST", body: "x"})
							mu.Lock()
							counts[r.outcome+string(r.kind)]++
							mu.Unlock()
							time.Sleep(10 * time.Millisecond)
						}
					})
				}
				time.Sleep(time.Second)
				var err error
				callers.Go(func() { err = g.Shutdown(context.Background()) })
				time.Sleep(time.Second)
				if ok, _ := g.Ready(); ok {
					t.Error("gateway reports ready during its shutdown")
				}
				callers.Wait()
				violations := len(f.collector.Violations())
				if skipShutdownWait {
					if violations == 0 {
						t.Error("requests were aborted and no assertion failed")
					}
					f.collector = &invariant.Collector{}
					return
				}
				for got := range counts {
					if got != "completed" && got != "not_runshutting_down" {
						t.Errorf("%d requests got %s, want completed or not_run with shutting_down", counts[got], got)
					}
				}
				if err != nil || counts["completed"] < 50 || counts["not_runshutting_down"] == 0 {
					t.Errorf("got outcomes %v, error %v, want at least 50 completed, some shutting_down and no error", counts, err)
				}
			})
		})
	}
}
