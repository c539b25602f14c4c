package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/routing"
)

// scenarioTime is the duration of the load and the faults of one scenario, in virtual time.
const scenarioTime = 20 * time.Second

// event is one operation in the history of a request: a caller's attempt to send it, or its run at an endpoint.
type event struct {
	tag     string
	ran     bool
	outcome string
}

// keyModel models one request with the states fresh, ran and refused. A run requires the state fresh. A completed
// response requires the state ran. The outcome not_run requires that the request has not run, and sets the state
// refused, after which it must never run.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byTag := map[string][]porcupine.Operation{}
		for _, op := range history {
			tag := op.Input.(event).tag
			byTag[tag] = append(byTag[tag], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byTag))
		for _, part := range byTag {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "fresh" },
	Step: func(state, input, _ any) (bool, any) {
		e := input.(event)
		switch {
		case e.ran:
			return state == "fresh", "ran"
		case e.outcome == "completed":
			return state == "ran", state
		case e.outcome == "not_run":
			return state != "ran", "refused"
		}
		return true, state
	},
}

// scenario is a fixture under load and random faults, with the history of its requests.
type scenario struct {
	*fixture
	mu sync.Mutex
	// history holds the operations of requests that are not idempotent, trace the injected faults, completed the number
	// of completed requests that are not idempotent. These and the other fields below are guarded by mu.
	history         []porcupine.Operation
	violations      []string
	trace           []string
	completed       int
	lastIncarnation int
}

func (sc *scenario) tracef(format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.trace = append(sc.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (sc *scenario) addViolation(format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.violations = append(sc.violations, fmt.Sprintf(format, args...))
}

// record adds an operation to the history.
func (sc *scenario) record(e event, call, end time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if e.outcome == "completed" {
		sc.completed++
	}
	sc.history = append(sc.history, porcupine.Operation{Input: e, Call: call.UnixNano(), Return: end.UnixNano() + 1})
}

func (sc *scenario) chance(r *rand.Rand, percent int) bool { return r.IntN(100) < percent }

// pick returns a random live gateway, nil if there is none.
func (sc *scenario) pick(r *rand.Rand) *testGateway {
	sc.fixture.mu.Lock()
	defer sc.fixture.mu.Unlock()
	for range 20 {
		if n := sc.gateways[fmt.Sprintf("vm-%d", r.IntN(6))]; n != nil {
			return n
		}
	}
	return nil
}

// startGateway starts a new incarnation of a gateway.
func (sc *scenario) startGateway(i int) {
	vm := fmt.Sprintf("vm-%d", i)
	sc.mu.Lock()
	sc.lastIncarnation++
	lastIncarnation := sc.lastIncarnation
	sc.mu.Unlock()
	sc.net.revive(vm)
	sc.start(vm, fmt.Sprintf("i-%d", lastIncarnation), fmt.Sprintf("fd-%d", i%3), nil)
}

// sendOnce sends a request, records it, and checks that a completed response is that of the request.
func (sc *scenario) sendOnce(n *testGateway, s testRequest) testResponse {
	call := time.Now()
	response := n.send(s)
	if s.method == http.MethodPost {
		sc.record(event{tag: s.body, outcome: response.outcome}, call, time.Now())
	}
	if response.outcome == "completed" && response.status == http.StatusOK && response.body != "done:"+s.body {
		sc.addViolation("P3: request %s got response %q", s.body, response.body)
	}
	if response.outcome == "completed" && sc.runLog.count(s.body) == 0 {
		sc.addViolation("P3: request %s is completed and never ran", s.body)
	}
	return response
}

// caller sends idempotent requests and others with and without a key until the end of the scenario.
func (sc *scenario) caller(id int, r *rand.Rand, end time.Time) {
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		n := sc.pick(r)
		if n == nil {
			continue
		}
		s := testRequest{account: []string{"orders", "blades"}[id%2], method: http.MethodPost,
			body: fmt.Sprintf("c%d-%d", id, k), timeout: time.Duration(200+r.IntN(4000)) * time.Millisecond}
		switch {
		case sc.chance(r, 20):
			s.method = http.MethodPut
			sc.sendOnce(n, s)
		case sc.chance(r, 20):
			sc.sendOnce(n, s)
		default:
			if s.key = n.newKey(s.account); s.key != "" {
				sc.sendKeyed(n, r, s)
			}
		}
	}
}

// sendKeyed sends a request with a key until it is completed, up to 4 times, at changing gateways and sometimes at two
// at once.
func (sc *scenario) sendKeyed(n *testGateway, r *rand.Rand, s testRequest) {
	for range 4 {
		if sc.chance(r, 50) {
			if other := sc.pick(r); other != nil {
				n = other
			}
		}
		var second sync.WaitGroup
		if twin := sc.pick(r); twin != nil && sc.chance(r, 20) {
			second.Go(func() { sc.sendOnce(twin, s) })
		}
		response := sc.sendOnce(n, s)
		second.Wait()
		// Some callers repeat a completed request to read the stored result.
		if response.outcome == "completed" && !sc.chance(r, 20) {
			return
		}
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
	}
}

// injectFaults injects random faults until the end of the scenario.
func (sc *scenario) injectFaults(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
		i, j := r.IntN(6), r.IntN(6)
		vm, other := fmt.Sprintf("vm-%d", i), fmt.Sprintf("vm-%d", j)
		e := sc.endpoints[fmt.Sprintf("e-%d", r.IntN(len(sc.endpoints)))]
		duration := time.Duration(500+r.IntN(5000)) * time.Millisecond
		switch r.IntN(7) {
		case 0:
			sc.killFor(i, duration)
		case 1:
			sc.tracef("freeze %s for %s", vm, duration)
			sc.net.setFrozen(vm, true)
			time.AfterFunc(duration, func() { sc.net.setFrozen(vm, false) })
		case 2:
			sc.tracef("cut %s from %s for %s", vm, other, duration)
			sc.net.setCut(vm, other, true)
			time.AfterFunc(duration, func() { sc.net.setCut(vm, other, false) })
		case 3:
			sc.tracef("cut %s from %s for %s", vm, e.id, duration)
			sc.net.setCut(vm, e.id, true)
			time.AfterFunc(duration, func() { sc.net.setCut(vm, e.id, false) })
		case 4:
			sc.tracef("silence connections of %s", e.id)
			sc.net.silence(e.id, func() bool { return r.IntN(2) == 0 })
		case 5:
			sc.leaveAndRestart(e, duration)
		case 6:
			sc.tracef("freeze %s for %s", e.id, duration)
			sc.net.setFrozen(e.id, true)
			time.AfterFunc(duration, func() { sc.net.setFrozen(e.id, false) })
		}
	}
}

// killFor kills a gateway and starts a new incarnation after the duration.
func (sc *scenario) killFor(i int, duration time.Duration) {
	vm := fmt.Sprintf("vm-%d", i)
	sc.fixture.mu.Lock()
	n := sc.gateways[vm]
	sc.fixture.mu.Unlock()
	if n == nil {
		return
	}
	sc.tracef("kill %s for %s", vm, duration)
	sc.kill(n)
	time.AfterFunc(duration, func() { sc.startGateway(i) })
}

// leaveAndRestart makes an endpoint announce that it is leaving, and later restarts it as a new incarnation.
func (sc *scenario) leaveAndRestart(e *fakeEndpoint, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return
	}
	e.leaving = true
	sc.tracef("%s leaves", e.id)
	time.AfterFunc(duration+5*time.Second, func() {
		sc.tracef("%s restarts", e.id)
		e.stopListening()
		time.AfterFunc(3*time.Second, func() {
			e.mu.Lock()
			e.leaving, e.incarnation = false, e.incarnation+"+"
			e.mu.Unlock()
			go e.serve(sc.net.listen(e.address))
		})
	})
}

// gossip exchanges leaving incarnations between gateways and gives them a VM list in which all endpoints are live, as a
// list that lags would.
func (sc *scenario) gossip(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		var vms []infra.VM
		for _, e := range sc.endpoints {
			vms = append(vms, infra.VM{ID: e.id, Role: infra.RoleEndpoint, State: infra.VMLive})
		}
		liveGateways := sc.liveGateways()
		for _, from := range liveGateways {
			from.ObserveVMs(vms)
			for _, to := range liveGateways {
				if held, _ := sc.net.blocked(from.member.VM, to.member.VM); !held {
					to.LearnLeaving(from.LeavingEndpoints())
				}
			}
		}
	}
}

// randomFaults returns a function that selects a random fault for about 4% of the exchanges of an endpoint.
func randomFaults(r *rand.Rand) func(*http.Request) fault {
	var mu sync.Mutex
	kinds := []fault{truncated, corrupted, crossed, duplicated, resetAfter, notRun503, plain503, noResponse}
	return func(*http.Request) fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(100) < 4 {
			return kinds[r.IntN(len(kinds))]
		}
		return healthy
	}
}

// randomServiceTimes returns a function that gives random service times. About 3% of them are long enough for a
// response after the deadline.
func randomServiceTimes(r *rand.Rand) func() time.Duration {
	var mu sync.Mutex
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(100) < 3 {
			return time.Duration(1000+r.IntN(5000)) * time.Millisecond
		}
		return time.Duration(5+r.IntN(30)) * time.Millisecond
	}
}

// runScenario runs one seeded scenario in virtual time. It returns the violations, a trace of the injected faults and
// the number of completed requests that are not idempotent. unsafe disables rules of each gateway; nil for none.
func runScenario(t *testing.T, seed uint64, unsafe func(n *testGateway)) (violations, trace []string, completed int) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, 9, 4)
		sc := &scenario{fixture: f}
		f.unsafe = unsafe
		for i := range len(f.endpoints) {
			e := f.endpoints[fmt.Sprintf("e-%d", i)]
			e.nextFault = randomFaults(rand.New(rand.NewPCG(seed, 100+uint64(i))))
			e.serviceTime = randomServiceTimes(rand.New(rand.NewPCG(seed, 200+uint64(i))))
		}
		time.Sleep(time.Millisecond)
		for i := range 6 {
			sc.startGateway(i)
		}
		end := time.Now().Add(scenarioTime)
		var callers sync.WaitGroup
		for id := range 32 {
			callers.Go(func() { sc.caller(id, rand.New(rand.NewPCG(seed, 300+uint64(id))), end) })
		}
		callers.Go(func() { sc.injectFaults(r, end) })
		callers.Go(func() { sc.gossip(end) })
		callers.Wait()
		time.Sleep(30 * time.Second)
		violations = sc.check()
		trace, completed = sc.trace, sc.completed
		f.close()
		time.Sleep(2 * time.Hour)
	})
	return violations, trace, completed
}

// check returns all violations of the scenario after its end.
func (sc *scenario) check() []string {
	runs := map[string]int{}
	for _, r := range sc.runLog.all() {
		if r.method == http.MethodPost {
			runs[r.tag]++
			sc.record(event{tag: r.tag, ran: true}, r.at, r.at)
		}
	}
	sc.mu.Lock()
	list := append([]string(nil), sc.violations...)
	sc.mu.Unlock()
	for tag, n := range runs {
		if n > 1 {
			list = append(list, fmt.Sprintf("P5: request %s ran %d times", tag, n))
		}
	}
	for _, v := range sc.collector.Violations() {
		list = append(list, v.String())
	}
	for _, e := range sc.endpoints {
		if e.mostConns() > 64 {
			list = append(list, fmt.Sprintf("endpoint %s had %d connections", e.id, e.mostConns()))
		}
	}
	if result := porcupine.CheckOperationsTimeout(keyModel, sc.history, 5*time.Second); result == porcupine.Illegal {
		list = append(list, "history of request keys is not linearizable")
	}
	return list
}

// TestScenario guards the invariants of section 1.2 of docs/design.md under random faults, with a few seeds.
func TestScenario(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		violations, trace, completed := runScenario(t, seed, nil)
		if len(violations) > 0 {
			t.Errorf("seed %d: %d violations, first %s; faults: %q", seed, len(violations), violations[0], trace)
		}
		if completed < 500 {
			t.Errorf("seed %d: only %d requests completed; the scenario is not representative", seed, completed)
		}
	}
}

// TestScenarioNeedsRules guards against vacuous checks: with any one of the rules disabled, the scenario must report a
// violation.
func TestScenarioNeedsRules(t *testing.T) {
	cases := map[string]func(n *testGateway){
		"record of used keys":         func(n *testGateway) { n.keys.UnsafeAllowReuse() },
		"no replay after a write":     func(n *testGateway) { n.unsafe.retryAlways = true },
		"not_run only when unwritten": func(n *testGateway) { n.unsafe.claimNotRun = true },
		"keys run at their owner":     func(n *testGateway) { n.unsafe.runForeignKeys = true },
		"leaving endpoints get no work": func(n *testGateway) {
			n.dispatcher.routes.UnsafeIgnore(routing.Rules{Leaving: true})
		},
		"checks of responses": func(n *testGateway) { n.pools.UnsafeSkipChecks() },
	}
	for name, unsafe := range cases {
		t.Run(name, func(t *testing.T) {
			violations, _, _ := runScenario(t, 1, unsafe)
			if len(violations) == 0 {
				t.Error("no violation was found without the rule")
			}
		})
	}
}
