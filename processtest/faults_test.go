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
	// leavingBound is the bound from the first sign that an endpoint is leaving until it gets no new work.
	leavingBound = 3 * time.Second
	// callersPerGateway is the number of callers that send to each gateway at once.
	callersPerGateway = 2
)

func (s *system) checkViolations() {
	for _, line := range s.violations() {
		s.t.Error(line)
	}
}

// eachGateway sends through all gateways until ctx ends. The path names the gateway, the caller and the sequence number.
func (s *system) eachGateway(ctx context.Context, send func(v *vm, path string, i int)) *sync.WaitGroup {
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

// ranFrom returns the number of runs on an endpoint and the number of gateways that they came from.
func (s *system) ranFrom(endpoint string) (runs, gateways int) {
	from := make(map[string]bool)
	for _, run := range s.set.Endpoints[endpoint].Runs() {
		runs += run.Count
		from[strings.Split(run.Path, "/")[2]] = true
	}
	return runs, len(from)
}

// TestLeavingEndpointGetsNoWork guards against a gateway that goes on sending to an endpoint that is leaving, whether the
// endpoint's responses or the VM list say so, also when no other endpoint is left.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	failures := make(map[string]error)
	load := s.eachGateway(ctx, func(v *vm, path string, _ int) {
		_, err := s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: http.MethodPost,
			Target: "orders" + path, TimeoutMS: 2_000})
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failures[path] = err
		}
	})
	byHeader := func(id string) {
		s.set.Endpoints[id].SetFaults(standin.EndpointFaults{Leaving: true})
	}
	byList := func(id string) {
		s.set.VMList.Set(infra.VM{ID: id, FailureDomain: "fd-a", Role: infra.RoleEndpoint,
			State: infra.VMLeaving, Address: s.set.Address(id)}, time.Now())
	}
	// The endpoints of fd-b and fd-c leave first, so that all 6 gateways use those of fd-a.
	steps := []struct {
		ids      []string
		sign     func(string)
		gateways int
	}{
		{[]string{"e-fd-b-1", "e-fd-b-2", "e-fd-c-1", "e-fd-c-2"}, byHeader, 2},
		{[]string{"e-fd-a-1"}, byHeader, 6},
		{[]string{"e-fd-a-2"}, byList, 6},
	}
	for _, step := range steps {
		time.Sleep(time.Second)
		if len(step.ids) == 1 && step.ids[0] == "e-fd-a-2" {
			mu.Lock()
			for path, err := range failures {
				t.Errorf("%s failed although an endpoint was left: %v", path, err)
			}
			mu.Unlock()
		}
		for _, id := range step.ids {
			if _, gateways := s.ranFrom(id); gateways < step.gateways {
				t.Fatalf("%s had work from %d gateways before it left, want %d", id, gateways, step.gateways)
			}
			step.sign(id)
		}
		time.Sleep(leavingBound)
		before := make(map[string]int)
		for _, id := range step.ids {
			before[id], _ = s.ranFrom(id)
		}
		time.Sleep(time.Second)
		for _, id := range step.ids {
			if after, _ := s.ranFrom(id); after != before[id] {
				t.Errorf("%s got %d requests later than %v after the sign", id, after-before[id], leavingBound)
			}
			t.Logf("%s ran %d requests", id, before[id])
		}
	}
	cancel()
	load.Wait()
	runs := s.runsOf()
	for path, err := range failures {
		if !errkind.Is(err, errkind.Unknown) && runs[path] > 0 {
			t.Errorf("%s ran although the caller was told otherwise: %v", path, err)
		}
	}
	if len(failures) == 0 {
		t.Error("requests completed without an endpoint")
	}
	s.checkViolations()
}

// exchange is a request with what its caller was told.
type exchange struct {
	method, path, token string
	response            operatorclient.ServiceResponse
	err                 error
	// repeated is set for a request that was sent through two gateways at once.
	repeated bool
}

// check reports a response that is not that of the request, and runs that contradict the outcome.
func (e exchange) check(runs int) error {
	if e.method == http.MethodPost && runs > 1 {
		return fmt.Errorf("ran %d times", runs)
	}
	switch {
	case e.err != nil && !errkind.Is(e.err, errkind.Unknown) && runs > 0:
		return fmt.Errorf("ran %d times after the answer %w", runs, e.err)
	case e.err != nil:
		return nil
	case runs == 0:
		return fmt.Errorf("completed without a run")
	case e.response.Status == http.StatusInternalServerError:
		if e.response.Body != `{"error":"endpoint fails as asked"}` {
			return fmt.Errorf("failure with body %q", e.response.Body)
		}
		return nil
	}
	var reply standin.EndpointResponse
	if err := json.Unmarshal([]byte(e.response.Body), &reply); err != nil {
		return fmt.Errorf("short response %q: %w", e.response.Body, err)
	}
	if reply.Path != e.path || reply.Method != e.method || reply.Body != e.token {
		return fmt.Errorf("%s %s with token %s got the response %+v", e.method, e.path, e.token, reply)
	}
	return nil
}

// TestBadResponses guards against a short or foreign response that is passed on as complete, a non-idempotent request
// that runs twice, and a request that ran although its caller was told that it did not, while all endpoints cut off,
// delay, lose, mix up, refuse and fail.
func TestBadResponses(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	var mu sync.Mutex
	var exchanges []exchange
	send := func(v *vm, e exchange, key string) {
		e.response, e.err = s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: e.method,
			Target: "orders" + e.path, Body: []byte(e.token), Key: key})
		mu.Lock()
		defer mu.Unlock()
		exchanges = append(exchanges, e)
	}
	load := s.eachGateway(ctx, func(v *vm, path string, i int) {
		e := exchange{method: http.MethodPost, path: path, token: "token-of-" + path}
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
		e.repeated = true
		var both sync.WaitGroup
		both.Go(func() { send(v, e, key) })
		both.Go(func() { send(s.vms[i%len(s.vms)], e, key) })
		both.Wait()
	})
	for round := 0; ctx.Err() == nil; round++ {
		faults := standin.EndpointFaults{FailEvery: 20, Refuse: 1, Truncate: 1, WrongID: 1, Lose: 1}
		if round%8 == 0 {
			// Longer than the timeout of the service.
			faults.Late, faults.LateMS = 1, 5_500
		}
		for _, endpoint := range s.set.Endpoints {
			endpoint.SetFaults(faults)
		}
		time.Sleep(500 * time.Millisecond)
	}
	load.Wait()
	runs := s.runsOf()
	told := make(map[string]int)
	mayHaveRun := make(map[string]bool)
	for _, e := range exchanges {
		if e.err == nil || errkind.Is(e.err, errkind.Unknown) {
			mayHaveRun[e.path] = true
		}
	}
	for _, e := range exchanges {
		refused := e.err != nil && !errkind.Is(e.err, errkind.Unknown)
		if refused && e.repeated && mayHaveRun[e.path] {
			// The other copy may run after the refusal of this one. Its own check counts the runs.
			continue
		}
		if err := e.check(runs[e.path]); err != nil {
			t.Errorf("%s %s: %v", e.method, e.path, err)
		}
		told[kindOf(e.err)]++
	}
	if told["done"] < 100 || told[string(errkind.Unknown)] == 0 {
		t.Errorf("the faults did not do their work: outcomes %v", told)
	}
	t.Logf("%d requests, outcomes %v", len(exchanges), told)
	s.checkViolations()
}

// kindOf names the outcome of a call.
func kindOf(err error) string {
	if err == nil {
		return "done"
	}
	return string(errkind.As(err).Kind)
}
