package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
)

// fixture is a deployment of gateways and fake endpoints on an in-memory network.
type fixture struct {
	t         testing.TB
	net       *memNet
	doc       *config.Document
	runLog    *runLog
	endpoints map[string]*fakeEndpoint
	mu        sync.Mutex
	gateways  map[string]*testGateway
	collector *invariant.Collector
	// unsafe disables rules of each new gateway; nil for none.
	unsafe func(n *testGateway)
	cancel context.CancelFunc
	ctx    context.Context
}

// testGateway is one gateway of a fixture.
type testGateway struct {
	*Gateway
	fixture *fixture
	member  inner.Member
	cancel  context.CancelFunc
	// killed is closed when the gateway is killed.
	killed chan struct{}
}

func tokenOf(account string) string { return "token-" + account }

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newFixture returns a deployment without gateways and with endpoints e-0 and so on, spread over the failure domains
// fd-0 to fd-2.
func newFixture(t testing.TB, endpoints, slots int) *fixture {
	f := &fixture{t: t, net: newMemNet(time.Millisecond), runLog: &runLog{}, endpoints: map[string]*fakeEndpoint{},
		gateways: map[string]*testGateway{}, collector: &invariant.Collector{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	service := config.Service{Name: "scan", TimeoutMS: 4000, MaxBodyBytes: 1 << 16, Endpoints: map[string]config.Endpoint{}}
	for i := range endpoints {
		id := fmt.Sprintf("e-%d", i)
		service.Endpoints[id] = config.Endpoint{ID: id, FailureDomain: fmt.Sprintf("fd-%d", i%3), Address: id,
			Slots: slots, MaxConnections: 64}
		f.endpoints[id] = &fakeEndpoint{id: id, address: id, incarnation: id + "-1", slots: slots, runLog: f.runLog}
		go f.endpoints[id].serve(f.net.listen(id))
	}
	f.doc = &config.Document{Accounts: map[string]config.Account{}, Services: map[string]config.Service{"scan": service}}
	for _, name := range []string{"orders", "blades", "flood"} {
		f.doc.Accounts[name] = config.Account{Name: name, TokenDigest: digestOf(tokenOf(name)), Weight: 1}
	}
	t.Cleanup(invariant.SetRecorder(f.collector.Record))
	return f
}

// start starts a gateway. change modifies its options; nil keeps the defaults of the fixture.
func (f *fixture) start(vm, incarnation, failureDomain string, change func(*Options)) *testGateway {
	member := inner.Member{FailureDomain: failureDomain, VM: vm, Role: "gateway", Incarnation: incarnation, Address: vm}
	n := &testGateway{fixture: f, member: member, killed: make(chan struct{})}
	o := Options{
		Self:          member,
		Config:        func() *config.Document { return f.doc },
		Gateways:      f.members,
		PeerRequester: n,
		Dial:          func(ctx context.Context, address string) (net.Conn, error) { return f.net.dial(ctx, vm, address) },
		Seed:          7,
		Logger:        zerolog.Nop(),
		Metrics:       metrics.NewRegistry(),
	}
	if change != nil {
		change(&o)
	}
	g, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	n.Gateway = g
	if f.unsafe != nil {
		f.unsafe(n)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	f.mu.Lock()
	f.gateways[vm] = n
	f.mu.Unlock()
	go g.Run(ctx)
	return n
}

// members lists the members of the live gateways.
func (f *fixture) members() []inner.Member {
	var list []inner.Member
	for _, n := range f.liveGateways() {
		list = append(list, n.member)
	}
	return list
}

// liveGateways returns the live gateways.
func (f *fixture) liveGateways() []*testGateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.gateways))
}

// kill stops a gateway at once: its callers and peers get no more responses from it.
func (f *fixture) kill(n *testGateway) {
	f.mu.Lock()
	if f.gateways[n.member.VM] == n {
		delete(f.gateways, n.member.VM)
	}
	f.mu.Unlock()
	n.cancel()
	close(n.killed)
	f.net.kill(n.member.VM)
}

// Call implements inner.Requester over the in-memory network and its faults.
func (n *testGateway) Call(ctx context.Context, address string, req *inner.Request) (*inner.Response, error) {
	f := n.fixture
	if err := f.net.deliver(ctx, n.member.VM, address); err != nil {
		return nil, err
	}
	f.mu.Lock()
	peer := f.gateways[address]
	f.mu.Unlock()
	if peer == nil {
		return nil, errRefused
	}
	type reply struct {
		response *inner.Response
		err      error
	}
	replies := make(chan reply, 1)
	go func() {
		response, err := peer.Handle(ctx, n.member, req)
		replies <- reply{response, err}
	}()
	select {
	case r := <-replies:
		if err := f.net.deliver(ctx, address, n.member.VM); err != nil {
			return nil, err
		}
		return r.response, r.err
	case <-peer.killed:
		return nil, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testResponse is the response that a caller received. The outcome is empty if the gateway was killed before it
// responded.
type testResponse struct {
	status  int
	outcome string
	kind    errkind.Kind
	key     string
	body    string
	// aborted is true if the gateway aborted the connection to the caller.
	aborted bool
}

// testRequest is a request of a caller. An empty path stands for the path /work of the service scan.
type testRequest struct {
	account string
	method  string
	key     string
	body    string
	path    string
	timeout time.Duration
	header  http.Header
}

// send sends a request to the gateway and waits for the response. It returns an empty one if the gateway is killed.
func (n *testGateway) send(s testRequest) testResponse {
	if s.path == "" {
		s.path = "/v1/services/scan/work"
	}
	r := httptest.NewRequest(s.method, s.path, bytes.NewReader([]byte(s.body)))
	for name, values := range s.header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+tokenOf(s.account))
	if s.key != "" {
		r.Header.Set(headerKey, s.key)
	}
	if s.timeout > 0 {
		r.Header.Set(headerTimeout, strconv.FormatInt(s.timeout.Milliseconds(), 10))
	}
	done := make(chan testResponse, 1)
	go func() { done <- n.serveOnce(r) }()
	select {
	case response := <-done:
		return response
	case <-n.killed:
		return testResponse{}
	}
}

// serveOnce runs the HTTP handler and returns the recorded response. A panic of the handler counts as an aborted
// connection.
func (n *testGateway) serveOnce(r *http.Request) (response testResponse) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			response = testResponse{aborted: true}
		}
	}()
	n.ServeHTTP(w, r)
	response = testResponse{status: w.Code, outcome: w.Header().Get(headerOutcome), key: w.Header().Get(headerKey), body: w.Body.String()}
	var typed struct {
		Kind errkind.Kind `json:"kind"`
		Key  string       `json:"key"`
	}
	if json.Unmarshal(w.Body.Bytes(), &typed) == nil {
		response.kind = typed.Kind
		if typed.Key != "" {
			response.key = typed.Key
		}
	}
	return response
}

// newKey requests a key for the account.
func (n *testGateway) newKey(account string) string {
	return n.send(testRequest{account: account, method: http.MethodPost, path: "/v1/keys"}).key
}

// close stops all gateways and endpoints.
func (f *fixture) close() {
	f.cancel()
	for _, n := range f.liveGateways() {
		f.kill(n)
	}
	for id, e := range f.endpoints {
		f.net.kill(id)
		e.stopListening()
	}
}
