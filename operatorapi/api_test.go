package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// fakeConfiguration applies records to its state directly, without a log. If outcome is Unknown, every change returns an
// unknown decision.
type fakeConfiguration struct {
	state   *configlog.State
	outcome configlog.Outcome
}

func (c *fakeConfiguration) Document() *config.Document { return c.state.Doc }
func (c *fakeConfiguration) State() *configlog.State    { return c.state.Clone() }
func (c *fakeConfiguration) Status() configlog.Status {
	return configlog.Status{HasConfig: c.state.Doc != nil}
}

func (c *fakeConfiguration) Plan(p config.Patch) (before, after *config.Document, err error) {
	after, err = config.Apply(c.state.Doc, p)
	return c.state.Doc, after, err
}

func (c *fakeConfiguration) fold(r configlog.Record) configlog.Decision {
	if c.outcome == configlog.Unknown {
		return configlog.Decision{ID: "p-1", Outcome: configlog.Unknown,
			Error: &errkind.Error{Kind: errkind.Unknown, Message: "lost", Remedy: "run redwingctl config settle p-1"}}
	}
	r.RuleSet = config.RuleSet
	raw := must(configlog.Encode(r))
	return *c.state.Fold(c.state.Next, raw)
}

func (c *fakeConfiguration) Submit(_ context.Context, p config.Patch) configlog.Decision {
	return c.fold(configlog.Record{Patch: &p})
}

func (c *fakeConfiguration) Initialise(_ context.Context, i configlog.Initialise) configlog.Decision {
	return c.fold(configlog.Record{Initialise: &i})
}

func (c *fakeConfiguration) Settle(_ context.Context, id string) configlog.Decision {
	d, ok := c.state.Decision(id)
	if !ok {
		d = configlog.Decision{ID: id, Outcome: configlog.Unknown, Error: &errkind.Error{Kind: errkind.Unknown, Message: "not found", Remedy: "withdraw"}}
	}
	return d
}

func (c *fakeConfiguration) Withdraw(_ context.Context, id, author, reason string) configlog.Decision {
	return c.fold(configlog.Record{Withdraw: &configlog.Withdraw{PatchID: id, Author: author, Reason: reason}})
}

// fakeJobs keeps jobs in memory, by id. Its methods, except Get, return err.
type fakeJobs struct {
	jobs map[string]jobs.Status
	err  error
}

func (f *fakeJobs) Submit(_ context.Context, job jobs.Job) (jobs.Status, error) {
	if _, ok := f.jobs[job.ID]; !ok && f.err == nil {
		f.jobs[job.ID] = jobs.Status{Job: job, State: jobs.StateWaiting, Reason: "waits for 4 workers"}
	}
	return f.jobs[job.ID], f.err
}

func (f *fakeJobs) Cancel(_ context.Context, id string) (jobs.Status, error) {
	status := f.jobs[id]
	status.State = jobs.StateCancelled
	f.jobs[id] = status
	return status, f.err
}

func (f *fakeJobs) Get(_ context.Context, id string) (jobs.Status, error) {
	status, ok := f.jobs[id]
	if !ok {
		return status, errkind.New(errkind.NotFound, "list jobs", "no job %s in stream", id)
	}
	return status, nil
}

func (f *fakeJobs) List(context.Context, string, jobs.State) ([]jobs.Status, error) {
	var all []jobs.Status
	for _, status := range f.jobs {
		all = append(all, status)
	}
	return all, f.err
}

type fakePeers struct{}

func (fakePeers) ConfigStatus(context.Context) []VMStatus {
	return []VMStatus{{VM: "vm-1", Known: true, Version: 3}, {VM: "vm-2"}}
}
func (fakePeers) Health(context.Context) []PeerHealth                { return []PeerHealth{{VM: "vm-2"}} }
func (fakePeers) ActiveSchedulers(context.Context) map[string]string { return nil }

type fixture struct {
	api           *API
	configuration *fakeConfiguration
	jobs          *fakeJobs
}

// newFixture returns an API over fakes. Unless empty is set, the configuration is initialised with operator ana and the
// accounts orders and blades, and blades has the running job j-blades.
func newFixture(t *testing.T, empty bool) *fixture {
	f := &fixture{configuration: &fakeConfiguration{state: configlog.NewState()}, jobs: &fakeJobs{jobs: map[string]jobs.Status{}}}
	f.api = New(Options{Configuration: f.configuration, Jobs: f.jobs, Peers: fakePeers{}, Logger: zerolog.Nop(),
		BootstrapTokenDigest: config.TokenDigest("boot"), MaxBodyBytes: 8 << 10})
	if !empty {
		if status, body := f.do(t, "POST", "/v1/config/init", "boot", initDocument); status != 200 {
			t.Fatalf("init: %d %v", status, body)
		}
		f.jobs.jobs["j-blades"] = jobs.Status{Job: jobs.Job{ID: "j-blades", Account: "blades"}, State: jobs.StateRunning}
	}
	return f
}

var initDocument = func() string {
	raw, err := json.Marshal(&config.Document{
		FailureDomains: map[string]config.FailureDomain{"fd-a": {Region: "north"}},
		Workers: map[string]resource.Worker{"w-1": {FailureDomain: "fd-a", Rack: "r", Address: "10.0.0.1:90",
			Capacity: resource.Resources{Accelerators: 8, MilliCPU: 1000, MemoryMB: 1000}}},
		Accounts: map[string]config.Account{"orders": {TokenDigest: config.TokenDigest("orders"), Weight: 1},
			"blades": {TokenDigest: config.TokenDigest("blades"), Weight: 1}},
		Operators: map[string]config.Operator{"ana": {TokenDigest: config.TokenDigest("ana")}},
		Policy:    config.DefaultPolicy(),
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}()

// do sends a request and returns the status and body of the response. It checks that the body is JSON, and that an error
// response has a kind, a remedy and an outcome.
func (f *fixture) do(t *testing.T, method, path, token, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	f.api.ServeHTTP(w, r)
	var decoded any
	if err := json.Unmarshal(w.Body.Bytes(), &decoded); err != nil {
		t.Errorf("%s %s: body %q is not JSON", method, path, w.Body)
	}
	object, _ := decoded.(map[string]any)
	if w.Code >= 400 && (object["kind"] == nil || object["remedy"] == "" || object["outcome"] == nil) {
		t.Errorf("%s %s: error response %v lacks kind, remedy or outcome", method, path, object)
	}
	return w.Code, w.Body.String()
}

const (
	goodPatch = `{"id":"p-1","base":0,"reason":"r","ops":[{"op":"set","path":"drains/vm-1","value":{"reason":"disk"}}]}`
	goodJob   = `{"id":"j-1","account":"orders","shape":{"members":1,"per_member":{"accelerators":1},"adjacency":"none"},"run":["true"]}`
)

// TestRequests guards against a path that accepts the wrong token, exposes another account's jobs, responds to bad input
// without a typed error, uses a status that does not match the kind of the error, or makes a change although it returns
// an error.
func TestRequests(t *testing.T) {
	cases := map[string]struct {
		method, path, token, body string
		status                    int
		inBody                    string
	}{
		"no token":               {"GET", "/v1/config", "", "", 401, "unauthenticated"},
		"unknown token":          {"GET", "/v1/config", "nobody", "", 401, "unauthenticated"},
		"bootstrap after init":   {"GET", "/v1/config/status", "boot", "", 401, "unauthenticated"},
		"account reads config":   {"GET", "/v1/config", "orders", "", 403, "forbidden"},
		"account submits patch":  {"POST", "/v1/config/patches", "orders", goodPatch, 403, "forbidden"},
		"second init":            {"POST", "/v1/config/init", "ana", initDocument, 409, "conflict"},
		"document":               {"GET", "/v1/config", "ana", "", 200, "policy"},
		"unknown version":        {"GET", "/v1/config?version=7", "ana", "", 404, "not_found"},
		"bad version":            {"GET", "/v1/config?version=x", "ana", "", 400, "bad_input"},
		"log":                    {"GET", "/v1/config/log", "ana", "", 200, ""},
		"log backwards":          {"GET", "/v1/config/log?from=2&to=1", "ana", "", 400, "bad_input"},
		"plan":                   {"POST", "/v1/config/plan", "ana", goodPatch, 200, "drains/vm-1"},
		"plan of a faulty patch": {"POST", "/v1/config/plan", "ana", strings.Replace(goodPatch, "drains", "teams", 1), 400, "teams"},
		"submit":                 {"POST", "/v1/config/patches", "ana", goodPatch, 200, "accepted"},
		"submit on other base":   {"POST", "/v1/config/patches", "ana", strings.Replace(goodPatch, `"base":0`, `"base":4`, 1), 409, "refused"},
		"submit as another":      {"POST", "/v1/config/patches", "ana", strings.Replace(goodPatch, `"base":0`, `"author":"bo"`, 1), 403, "forbidden"},
		"malformed patch":        {"POST", "/v1/config/patches", "ana", `{`, 400, "bad_input"},
		"unknown field":          {"POST", "/v1/config/patches", "ana", `{"bse":1}`, 400, "bse"},
		"two values":             {"POST", "/v1/config/patches", "ana", goodPatch + goodPatch, 400, "bad_input"},
		"oversize body":          {"POST", "/v1/config/patches", "ana", `{"id":"` + strings.Repeat("x", 9<<10) + `"}`, 413, "too_large"},
		"settle absent":          {"GET", "/v1/config/patches/p-9", "ana", "", 502, "unknown"},
		"path below a patch":     {"GET", "/v1/config/patches/p-9/x", "ana", "", 404, "not_found"},
		"withdraw":               {"POST", "/v1/config/patches/p-9/withdraw", "ana", `{"reason":"late"}`, 200, "withdrawn"},
		"withdraw, bad id":       {"POST", "/v1/config/patches/p%209/withdraw", "ana", `{"reason":"r"}`, 400, "id of a patch"},
		"withdraw, no reason":    {"POST", "/v1/config/patches/p-9/withdraw", "ana", `{}`, 400, "reason"},
		"status":                 {"GET", "/v1/config/status", "ana", "", 200, `"version":"unknown"`},
		"health":                 {"GET", "/v1/health", "ana", "", 200, "vm-2"},
		"unknown path":           {"GET", "/v1/teams", "ana", "", 404, "not_found"},
		"own job":                {"POST", "/v1/jobs", "orders", goodJob, 200, "completed"},
		"operator's job":         {"POST", "/v1/jobs", "ana", goodJob, 200, "completed"},
		"job of another":         {"POST", "/v1/jobs", "blades", goodJob, 403, "forbidden"},
		"id of another's job":    {"POST", "/v1/jobs", "orders", strings.Replace(goodJob, "j-1", "j-blades", 1), 409, "conflict"},
		"job without a shape":    {"POST", "/v1/jobs", "orders", `{"id":"j","run":["x"]}`, 400, "bad_input"},
		"job without a command":  {"POST", "/v1/jobs", "orders", strings.Replace(goodJob, `["true"]`, `[]`, 1), 400, "command"},
		"job in unknown domain":  {"POST", "/v1/jobs", "orders", strings.Replace(goodJob, `"id"`, `"failure_domain":"fd-x","id"`, 1), 400, "fd-x"},
		"job of unknown account": {"POST", "/v1/jobs", "ana", strings.Replace(goodJob, "orders", "x", 1), 400, "account"},
		"job id in a path":       {"POST", "/v1/jobs", "orders", strings.Replace(goodJob, "j-1", "../x", 1), 400, "bad_input"},
		"another's job":          {"GET", "/v1/jobs/j-blades", "orders", "", 404, "not_found"},
		"why another's job":      {"GET", "/v1/jobs/j-blades/why", "orders", "", 404, "not_found"},
		"cancel another's job":   {"DELETE", "/v1/jobs/j-blades", "orders", "", 404, "not_found"},
		"list another's jobs":    {"GET", "/v1/jobs?account=blades", "orders", "", 403, "forbidden"},
		"list own jobs":          {"GET", "/v1/jobs", "orders", "", 200, "[]"},
		"list all jobs":          {"GET", "/v1/jobs", "ana", "", 200, "j-blades"},
		"unknown state":          {"GET", "/v1/jobs?state=odd", "orders", "", 400, "odd"},
		"why":                    {"GET", "/v1/jobs/j-blades/why", "blades", "", 200, "running"},
		"cancel":                 {"DELETE", "/v1/jobs/j-blades", "blades", "", 200, "cancelled"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, false)
			before := f.configuration.state.Doc.Version
			status, body := f.do(t, c.method, c.path, c.token, c.body)
			if status != c.status || !strings.Contains(body, c.inBody) {
				t.Errorf("got status %d, body %s; want the status and text of the case", status, body)
			}
			if status != 200 && (f.configuration.state.Doc.Version != before || f.jobs.jobs["j-1"].Job.ID != "") {
				t.Error("a rejected request changed the configuration or submitted a job")
			}
		})
	}
}

// TestBootstrap guards against a bootstrap token that permits more than initialisation and status reads, or that stays
// valid after version 0 exists.
func TestBootstrap(t *testing.T) {
	f := newFixture(t, true)
	for path, want := range map[string]int{"/v1/config": 503, "/v1/jobs": 503, "/v1/config/status": 200, "/v1/health": 200} {
		if status, body := f.do(t, "GET", path, "boot", ""); status != want {
			t.Errorf("GET %s with the bootstrap token: got wrong status %d, body %v", path, status, body)
		}
	}
	if status, _ := f.do(t, "POST", "/v1/config/init", "ana", initDocument); status != 401 {
		t.Errorf("init with an unknown token: got status %d, want 401", status)
	}
	if status, _ := f.do(t, "POST", "/v1/config/init", "boot", `{"failure_domains":{}}`); status != 400 {
		t.Errorf("init with an invalid document: got status %d, want 400", status)
	}
	if status, body := f.do(t, "POST", "/v1/config/init", "boot", initDocument); status != 200 || !strings.Contains(body, `"outcome":"accepted"`) {
		t.Errorf("init: got status %d, body %v; want 200 and the outcome accepted", status, body)
	}
	if status, _ := f.do(t, "GET", "/v1/config", "boot", ""); status != 401 {
		t.Errorf("bootstrap token after version 0: got status %d, want 401", status)
	}
}

// TestUnknownOutcome guards against a lost response of the log that is reported as a plain failure: the change may have
// taken effect, so the outcome must be unknown and the remedy must name the command that looks it up.
func TestUnknownOutcome(t *testing.T) {
	f := newFixture(t, false)
	f.configuration.outcome = configlog.Unknown
	status, body := f.do(t, "POST", "/v1/config/patches", "ana", goodPatch)
	for _, want := range []string{`"outcome":"unknown"`, `"id":"p-1"`, `"remedy":"run redwingctl config settle p-1"`} {
		if status != http.StatusBadGateway || !strings.Contains(body, want) {
			t.Errorf("patch: got status %d, body %v; want 502, the outcome unknown, the id and the remedy", status, body)
		}
	}
	f.jobs.err = errkind.New(errkind.Unknown, "run redwingctl job show j-1", "the response was lost")
	if status, body := f.do(t, "POST", "/v1/jobs", "orders", goodJob); status != http.StatusBadGateway || !strings.Contains(body, `"outcome":"unknown"`) {
		t.Errorf("job: got status %d, body %v; want 502 and the outcome unknown", status, body)
	}
}

// must returns value, or panics if err is not nil. It is for calls that only fail if the test itself is wrong.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
