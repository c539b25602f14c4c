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

// span of one scenario in virtual time.
const scenarioTime = 20 * time.Second

// event is one step in the history of a request: a sending of a caller, or the run at an endpoint.
type event struct {
	tag     string
	ran     bool
	outcome string
}

// keyModel is the register of one request: fresh, ran or refused. A run needs a fresh one, a completed response one that
// ran, and not_run one that did not run, which then never runs.
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

// world is a running scenario.
type world struct {
	*fixture
	mu sync.Mutex
	// history and faults are guarded by mu.
	history   []porcupine.Operation
	faults    []string
	trace     []string
	completed int
	birth     int
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = append(w.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// record adds one operation to the history.
func (w *world) record(e event, call, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.outcome == "completed" {
		w.completed++
	}
	w.history = append(w.history, porcupine.Operation{Input: e, Call: call.UnixNano(), Return: end.UnixNano() + 1})
}

func (w *world) chance(r *rand.Rand, percent int) bool { return r.IntN(100) < percent }

// pick returns a random live gateway, nil if there is none.
func (w *world) pick(r *rand.Rand) *node {
	w.fixture.mu.Lock()
	defer w.fixture.mu.Unlock()
	for range 20 {
		if n := w.gateways[fmt.Sprintf("vm-%d", r.IntN(6))]; n != nil {
			return n
		}
	}
	return nil
}

// up starts a new incarnation of a gateway.
func (w *world) up(i int) {
	vm := fmt.Sprintf("vm-%d", i)
	w.mu.Lock()
	w.birth++
	birth := w.birth
	w.mu.Unlock()
	w.net.revive(vm)
	w.start(vm, fmt.Sprintf("i-%d", birth), fmt.Sprintf("fd-%d", i%3), nil)
}

// sendOnce sends a request and records it.
func (w *world) sendOnce(n *node, s sending) reply {
	call := time.Now()
	out := n.send(s)
	if s.method == http.MethodPost {
		w.record(event{tag: s.body, outcome: out.outcome}, call, time.Now())
	}
	if out.outcome == "completed" && out.status == http.StatusOK && out.body != "done:"+s.body {
		w.violate("P3: request %s got response %q", s.body, out.body)
	}
	if out.outcome == "completed" && w.ledger.of(s.body) == 0 {
		w.violate("P3: request %s is completed and never ran", s.body)
	}
	return out
}

// caller sends requests until the end of the scenario.
func (w *world) caller(id int, r *rand.Rand, end time.Time) {
	for k := 0; time.Now().Before(end); k++ {
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		n := w.pick(r)
		if n == nil {
			continue
		}
		s := sending{account: []string{"orders", "blades"}[id%2], method: http.MethodPost,
			body: fmt.Sprintf("c%d-%d", id, k), timeout: time.Duration(200+r.IntN(4000)) * time.Millisecond}
		switch {
		case w.chance(r, 20):
			s.method = http.MethodPut
			w.sendOnce(n, s)
		case w.chance(r, 20):
			w.sendOnce(n, s)
		default:
			if s.key = n.newKey(s.account); s.key != "" {
				w.keyed(n, r, s)
			}
		}
	}
}

// keyed sends a request with a key until its outcome is known, at changing gateways and sometimes at two at once.
func (w *world) keyed(n *node, r *rand.Rand, s sending) {
	for range 4 {
		if w.chance(r, 50) {
			if other := w.pick(r); other != nil {
				n = other
			}
		}
		var second sync.WaitGroup
		if twin := w.pick(r); twin != nil && w.chance(r, 20) {
			second.Go(func() { w.sendOnce(twin, s) })
		}
		out := w.sendOnce(n, s)
		second.Wait()
		// Some callers repeat what they know, to read it again.
		if out.outcome == "completed" && !w.chance(r, 20) {
			return
		}
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
	}
}

// disturb commits faults until the end of the scenario.
func (w *world) disturb(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
		i, j := r.IntN(6), r.IntN(6)
		vm, other := fmt.Sprintf("vm-%d", i), fmt.Sprintf("vm-%d", j)
		e := w.endpoints[fmt.Sprintf("e-%d", r.IntN(len(w.endpoints)))]
		last := time.Duration(500+r.IntN(5000)) * time.Millisecond
		switch r.IntN(7) {
		case 0:
			w.killFor(i, last)
		case 1:
			w.note("freeze %s for %s", vm, last)
			w.net.setFrozen(vm, true)
			time.AfterFunc(last, func() { w.net.setFrozen(vm, false) })
		case 2:
			w.note("cut %s from %s for %s", vm, other, last)
			w.net.setCut(vm, other, true)
			time.AfterFunc(last, func() { w.net.setCut(vm, other, false) })
		case 3:
			w.note("cut %s from %s for %s", vm, e.id, last)
			w.net.setCut(vm, e.id, true)
			time.AfterFunc(last, func() { w.net.setCut(vm, e.id, false) })
		case 4:
			w.note("silence connections of %s", e.id)
			w.net.silence(e.id, func() bool { return r.IntN(2) == 0 })
		case 5:
			w.leave(e, last)
		case 6:
			w.note("freeze %s for %s", e.id, last)
			w.net.setFrozen(e.id, true)
			time.AfterFunc(last, func() { w.net.setFrozen(e.id, false) })
		}
	}
}

// killFor kills a gateway and starts a new incarnation later.
func (w *world) killFor(i int, last time.Duration) {
	vm := fmt.Sprintf("vm-%d", i)
	w.fixture.mu.Lock()
	n := w.gateways[vm]
	w.fixture.mu.Unlock()
	if n == nil {
		return
	}
	w.note("kill %s for %s", vm, last)
	w.kill(n)
	time.AfterFunc(last, func() { w.up(i) })
}

// leave lets an endpoint announce that it leaves, and later return as a new incarnation.
func (w *world) leave(e *fakeEndpoint, last time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return
	}
	e.leaving = true
	w.note("%s leaves", e.id)
	time.AfterFunc(last+5*time.Second, func() {
		w.note("%s restarts", e.id)
		e.stopListening()
		time.AfterFunc(3*time.Second, func() {
			e.mu.Lock()
			e.leaving, e.incarnation = false, e.incarnation+"+"
			e.mu.Unlock()
			go e.serve(w.net.listen(e.address))
		})
	})
}

// gossip passes leaving incarnations between gateways and shows them a VM list that lags.
func (w *world) gossip(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		var vms []infra.VM
		for _, e := range w.endpoints {
			vms = append(vms, infra.VM{ID: e.id, Role: infra.RoleEndpoint, State: infra.VMLive})
		}
		nodes := w.nodes()
		for _, from := range nodes {
			from.ObserveVMs(vms)
			for _, to := range nodes {
				if held, _ := w.net.blocked(from.member.VM, to.member.VM); !held {
					to.LearnLeaving(from.LeavingEndpoints())
				}
			}
		}
	}
}

// misbehave returns the faults of an endpoint's exchanges.
func misbehave(r *rand.Rand) func(*http.Request) fault {
	var mu sync.Mutex
	kinds := []fault{truncated, corrupted, crossed, duplicated, resetAfter, refusesRun, plain503, noAnswer}
	return func(*http.Request) fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(100) < 4 {
			return kinds[r.IntN(len(kinds))]
		}
		return healthy
	}
}

// slowness returns service times that are now and then long enough for a late response.
func slowness(r *rand.Rand) func() time.Duration {
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

// runScenario runs one seeded scenario in virtual time and returns its violations and the faults committed. unsafe
// switches rules of a gateway off, nil for none.
func runScenario(t *testing.T, seed uint64, unsafe func(n *node)) (violations, trace []string, completed int) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, 9, 4)
		w := &world{fixture: f}
		f.unsafe = unsafe
		for i := range len(f.endpoints) {
			e := f.endpoints[fmt.Sprintf("e-%d", i)]
			e.next = misbehave(rand.New(rand.NewPCG(seed, 100+uint64(i))))
			e.takes = slowness(rand.New(rand.NewPCG(seed, 200+uint64(i))))
		}
		time.Sleep(time.Millisecond)
		for i := range 6 {
			w.up(i)
		}
		end := time.Now().Add(scenarioTime)
		var callers sync.WaitGroup
		for id := range 32 {
			callers.Go(func() { w.caller(id, rand.New(rand.NewPCG(seed, 300+uint64(id))), end) })
		}
		callers.Go(func() { w.disturb(r, end) })
		callers.Go(func() { w.gossip(end) })
		callers.Wait()
		time.Sleep(30 * time.Second)
		violations = w.check()
		trace, completed = w.trace, w.completed
		f.close()
		time.Sleep(2 * time.Hour)
	})
	return violations, trace, completed
}

// check returns all violations of the scenario.
func (w *world) check() []string {
	runs := map[string]int{}
	for _, r := range w.ledger.all() {
		if r.method == http.MethodPost {
			runs[r.tag]++
			w.record(event{tag: r.tag, ran: true}, r.at, r.at)
		}
	}
	w.mu.Lock()
	list := append([]string(nil), w.faults...)
	w.mu.Unlock()
	for tag, n := range runs {
		if n > 1 {
			list = append(list, fmt.Sprintf("P5: request %s ran %d times", tag, n))
		}
	}
	for _, v := range w.log.Violations() {
		list = append(list, v.String())
	}
	for _, e := range w.endpoints {
		if e.mostConns() > 64 {
			list = append(list, fmt.Sprintf("endpoint %s had %d connections", e.id, e.mostConns()))
		}
	}
	if result := porcupine.CheckOperationsTimeout(keyModel, w.history, 5*time.Second); result == porcupine.Illegal {
		list = append(list, "history of request keys is not linearizable")
	}
	return list
}

// TestScenario guards the promises of section 1.2 under random faults, over a few seeds.
func TestScenario(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		violations, trace, completed := runScenario(t, seed, nil)
		if len(violations) > 0 {
			t.Errorf("seed %d: %d violations, first %s; faults: %q", seed, len(violations), violations[0], trace)
		}
		if completed < 500 {
			t.Errorf("seed %d: only %d requests completed; the scenario shows little", seed, completed)
		}
	}
}

// TestScenarioNeedsRules guards against vacuous checks: without each rule, the scenario must report a violation.
func TestScenarioNeedsRules(t *testing.T) {
	cases := map[string]func(n *node){
		"record of used keys":         func(n *node) { n.keys.UnsafeAllowReuse() },
		"no replay after a write":     func(n *node) { n.unsafe.replay = true },
		"not_run only when unwritten": func(n *node) { n.unsafe.claimNotRun = true },
		"keys run at their owner":     func(n *node) { n.unsafe.adopt = true },
		"leaving endpoints get no work": func(n *node) {
			n.dispatcher.routes.UnsafeIgnore(routing.Rules{Leaving: true})
		},
		"checks of responses": func(n *node) { n.pools.UnsafeTrust() },
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
