package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/standin"
)

const (
	// leavingBound bounds the time from the first report that an endpoint is leaving until it gets no new requests.
	leavingBound = 3 * time.Second
	// callersPerGateway is the number of concurrent callers of each gateway.
	callersPerGateway = 2
)

// checkViolations fails the test for each violated invariant that a daemon logged.
func (s *system) checkViolations() {
	for _, line := range s.violations() {
		s.t.Error(line)
	}
}

// loadEachGateway starts callersPerGateway callers for every gateway, which run send in a loop until ctx ends. The path
// contains the gateway, the caller and the sequence number i. The returned group is done when all callers have stopped.
func (s *system) loadEachGateway(ctx context.Context, send func(v *vm, path string, i int)) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, v := range s.vms {
		for c := range callersPerGateway {
			group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					send(v, fmt.Sprintf("/load/%s/%d/%d", v.name, c, i), i)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	return &group
}

// runsAndGateways returns the number of requests that ran on the endpoint and the number of gateways that sent them.
func (s *system) runsAndGateways(endpoint string) (runs, gateways int) {
	senders := make(map[string]bool)
	for _, run := range s.standins.Endpoints[endpoint].Runs() {
		runs += run.Count
		senders[strings.Split(run.Path, "/")[2]] = true
	}
	return runs, len(senders)
}

// TestLeavingEndpointGetsNoWork guards against a gateway that keeps sending requests to a leaving endpoint, whether the
// endpoint's responses or the VM list report that it is leaving, even if no other endpoint is available. It also guards
// against requests that fail while an endpoint is available, and against a request that ran although its caller got an
// error other than unknown.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	failures := make(map[string]error)
	load := s.loadEachGateway(ctx, func(v *vm, path string, _ int) {
		_, err := s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: http.MethodPost,
			Target: "orders" + path, TimeoutMS: 2_000})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures[path] = err
		}
	})
	leaveByHeader := func(id string) {
		s.standins.Endpoints[id].SetFaults(standin.EndpointFaults{Leaving: true})
	}
	leaveByList := func(id string) {
		s.standins.VMList.Set(infra.VM{ID: id, FailureDomain: "fd-a", Role: infra.RoleEndpoint,
			State: infra.VMLeaving, Address: s.standins.Address(id)}, time.Now())
	}
	// The endpoints of fd-b and fd-c leave first, so that all 6 gateways use those of fd-a.
	steps := []struct {
		ids      []string
		leave    func(string)
		gateways int
	}{
		{[]string{"e-fd-b-1", "e-fd-b-2", "e-fd-c-1", "e-fd-c-2"}, leaveByHeader, 2},
		{[]string{"e-fd-a-1"}, leaveByHeader, 6},
		{[]string{"e-fd-a-2"}, leaveByList, 6},
	}
	for _, step := range steps {
		time.Sleep(time.Second)
		if len(step.ids) == 1 && step.ids[0] == "e-fd-a-2" {
			mu.Lock()
			for path, err := range failures {
				t.Errorf("%s failed although an endpoint was available: %v", path, err)
			}
			mu.Unlock()
		}
		for _, id := range step.ids {
			if _, gateways := s.runsAndGateways(id); gateways < step.gateways {
				t.Fatalf("%s got requests from %d gateways before it was leaving, want %d", id, gateways, step.gateways)
			}
			step.leave(id)
		}
		time.Sleep(leavingBound)
		before := make(map[string]int)
		for _, id := range step.ids {
			before[id], _ = s.runsAndGateways(id)
		}
		time.Sleep(time.Second)
		for _, id := range step.ids {
			if after, _ := s.runsAndGateways(id); after != before[id] {
				t.Errorf("%s got %d requests later than %v after it was reported as leaving", id, after-before[id],
					leavingBound)
			}
			t.Logf("%s ran %d requests", id, before[id])
		}
	}
	cancel()
	load.Wait()
	runs := s.runsByPath()
	for path, err := range failures {
		if !errkind.Is(err, errkind.Unknown) && runs[path] > 0 {
			t.Errorf("%s ran although its caller got an error other than unknown: %v", path, err)
		}
	}
	if len(failures) == 0 {
		t.Error("no request failed although all endpoints were leaving")
	}
	s.checkViolations()
}

// exchange is a request and the result that its caller got.
type exchange struct {
	method, path, body string
	response           operatorclient.ServiceResponse
	err                error
	// duplicated reports whether the test sent the request through two gateways at once.
	duplicated bool
}

// check returns an error if the response belongs to another request or is incomplete, or if the number of runs
// contradicts the outcome.
func (e exchange) check(runs int) error {
	if e.method == http.MethodPost && runs > 1 {
		return fmt.Errorf("ran %d times", runs)
	}
	switch {
	case e.err != nil && !errkind.Is(e.err, errkind.Unknown) && runs > 0:
		return fmt.Errorf("ran %d times although the caller got the error %w", runs, e.err)
	case e.err != nil:
		return nil
	case runs == 0:
		return fmt.Errorf("completed without having run")
	case e.response.Status == http.StatusInternalServerError:
		if e.response.Body != `{"error":"endpoint fails as asked"}` {
			return fmt.Errorf("status 500 with unexpected body %q", e.response.Body)
		}
		return nil
	}
	var decoded standin.EndpointResponse
	if err := json.Unmarshal([]byte(e.response.Body), &decoded); err != nil {
		return fmt.Errorf("incomplete response %q: %w", e.response.Body, err)
	}
	if decoded.Path != e.path || decoded.Method != e.method || decoded.Body != e.body {
		return fmt.Errorf("%s %s with body %s got the response %+v", e.method, e.path, e.body, decoded)
	}
	return nil
}

// TestBadResponses guards against a truncated response or one of another request that is passed on as the complete
// response, against a non-idempotent request that runs twice, and against a request that ran although its caller got an
// error other than unknown, which says that it did not run. All endpoints truncate, delay, lose and mix up responses,
// and refuse and fail requests.
func TestBadResponses(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	var mu sync.Mutex
	var exchanges []exchange
	send := func(v *vm, e exchange, key string) {
		e.response, e.err = s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: e.method,
			Target: "orders" + e.path, Body: []byte(e.body), Key: key})
		mu.Lock()
		defer mu.Unlock()
		exchanges = append(exchanges, e)
	}
	load := s.loadEachGateway(ctx, func(v *vm, path string, i int) {
		e := exchange{method: http.MethodPost, path: path, body: "token-of-" + path}
		if i%3 == 0 {
			e.method = http.MethodPut
		}
		if i%3 < 2 {
			send(v, e, "")
			return
		}
		key, err := s.caller(v).NewKey(context.Background())
		if err != nil {
			t.Errorf("key of %s: %v", v.name, err)
			return
		}
		// The caller repeats its request at another gateway without waiting for the first response.
		e.duplicated = true
		var both sync.WaitGroup
		both.Go(func() { send(v, e, key) })
		both.Go(func() { send(s.vms[i%len(s.vms)], e, key) })
		both.Wait()
	})
	for round := 0; ctx.Err() == nil; round++ {
		faults := standin.EndpointFaults{FailEvery: 20, Refuse: 1, Truncate: 1, WrongID: 1, Lose: 1}
		if round%8 == 0 {
			// The delay is longer than the timeout of the service (5 s).
			faults.Late, faults.LateMS = 1, 5_500
		}
		for _, endpoint := range s.standins.Endpoints {
			endpoint.SetFaults(faults)
		}
		time.Sleep(500 * time.Millisecond)
	}
	load.Wait()
	runs := s.runsByPath()
	outcomes := make(map[string]int)
	mayHaveRun := make(map[string]bool)
	for _, e := range exchanges {
		if e.err == nil || errkind.Is(e.err, errkind.Unknown) {
			mayHaveRun[e.path] = true
		}
	}
	for _, e := range exchanges {
		notRun := e.err != nil && !errkind.Is(e.err, errkind.Unknown)
		if notRun && e.duplicated && mayHaveRun[e.path] {
			// The other copy may run after this one was rejected. The check of the other copy counts the runs.
			continue
		}
		if err := e.check(runs[e.path]); err != nil {
			t.Errorf("%s %s: %v", e.method, e.path, err)
		}
		outcomes[outcomeOf(e.err)]++
	}
	if outcomes["done"] < 100 || outcomes[string(errkind.Unknown)] == 0 {
		t.Errorf("too few requests completed, or no outcome is unknown despite the faults: outcomes %v", outcomes)
	}
	t.Logf("%d requests, outcomes %v", len(exchanges), outcomes)
	s.checkViolations()
}

// outcomeOf returns "done" for a nil error, else the error kind.
func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return string(errkind.As(err).Kind)
}
