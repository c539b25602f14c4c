package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/operatorapi"
	"github.com/redwingthread/redwingthread/standin"
)

// singleVM implements the peers and jobs of the operator API for a deployment in which only vm-1 responds. It accepts
// jobs, but does not keep or run them.
type singleVM struct{ follower *configlog.Follower }

func (vm singleVM) ConfigStatus(context.Context) []operatorapi.VMStatus {
	s := vm.follower.Status()
	return []operatorapi.VMStatus{{VM: "vm-1", Known: true, Version: s.Version}, {VM: "vm-2"}}
}
func (singleVM) Health(context.Context) []operatorapi.PeerHealth { return nil }
func (singleVM) ActiveSchedulers(context.Context) map[string]string {
	return map[string]string{"fd-a": "vm-1"}
}
func (singleVM) Submit(_ context.Context, j jobs.Job) (jobs.Status, error) {
	return jobs.Status{Job: j, State: jobs.StateWaiting, Reason: "waits for test"}, nil
}
func (singleVM) Cancel(context.Context, string) (jobs.Status, error) {
	return jobs.Status{}, errkind.New(errkind.Unavailable, "retry", "no scheduler")
}
func (singleVM) Get(_ context.Context, id string) (jobs.Status, error) {
	return jobs.Status{Job: jobs.Job{ID: id, Account: "mill"}, State: jobs.StateWaiting, Reason: "waits for test"}, nil
}
func (singleVM) List(context.Context, string, jobs.State) ([]jobs.Status, error) { return nil, nil }

// deployment serves the operator API with a configuration follower that reads a stand-in log.
type deployment struct {
	t       *testing.T
	log     *standin.Log
	address string
	token   string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	log := standin.NewLog(standin.LogOptions{})
	logServer := httptest.NewServer(log.Handler())
	client, err := infra.NewLogClient(logServer.URL)
	if err != nil {
		t.Fatal(err)
	}
	follower := configlog.NewFollower(configlog.Options{Log: client, PollWait: 200 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = follower.Run(ctx) }()
	// The configuration can be initialised only after the follower has read the log to its end.
	for range 500 {
		if follower.Status().LogReachable {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	vm := singleVM{follower}
	api := httptest.NewServer(operatorapi.New(operatorapi.Options{
		Configuration: follower, Jobs: vm, Peers: vm, BootstrapTokenDigest: config.TokenDigest("first"),
		Timeout: 2 * time.Second,
	}))
	t.Cleanup(func() {
		api.Close()
		cancel()
		<-ended
		logServer.CloseClientConnections()
		logServer.Close()
	})
	return &deployment{t: t, log: log, address: api.Listener.Addr().String(), token: "first"}
}

// ctl runs redwingctl with a command line and returns its output, standard output before standard error. It fails the
// test unless the exit code is code.
func (d *deployment) ctl(code int, line string) string {
	d.t.Helper()
	env := map[string]string{addressVariable: d.address, tokenVariable: d.token}
	var stdout, stderr bytes.Buffer
	e := &environment{ctx: context.Background(), stdin: strings.NewReader(""), stdout: &stdout, stderr: &stderr,
		getenv: func(name string) string { return env[name] }}
	if got := e.run(commands(), splitWords(line)); got != code {
		d.t.Fatalf("%s: got code %d, want %d; %s%s", line, got, code, stdout.String(), stderr.String())
	}
	return stdout.String() + stderr.String()
}

// writeFile writes text to a temporary file and returns its path.
func (d *deployment) writeFile(text string) string {
	d.t.Helper()
	path := filepath.Join(d.t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// writeDocument writes an initial configuration document to a file and returns its path.
func (d *deployment) writeDocument() string {
	return d.writeFile(`{"failure_domains":{"fd-a":{"name":"fd-a","region":"north"}},
		"workers":{"w-1":{"id":"w-1","failure_domain":"fd-a","rack":"r","address":"127.0.0.1:1",
			"capacity":{"accelerators":8,"milli_cpu":8000,"memory_mb":8000}}},
		"accounts":{},"services":{},"drains":{},
		"operators":{"ana":{"name":"ana","token_digest":"` + config.TokenDigest("ana-token") + `"}},
		"policy":{"fragmentation_weight":0.3,"reclaim_bound_ms":10000,"max_wait_ms":30000,"gateway_seats":8,
			"quarantine_percent":25,"eject_percent":50,"standard_large_shape":{"members":1,
			"per_member":{"accelerators":8,"milli_cpu":8000,"memory_mb":8000},"adjacency":"none"}}}`)
}

// TestAgainstOperatorAPI guards against a mismatch between redwingctl and the operator API: a request that the API
// rejects, or a response that the command cannot interpret.
func TestAgainstOperatorAPI(t *testing.T) {
	d := newDeployment(t)
	file := d.writeDocument()
	d.ctl(0, "config status")
	d.ctl(0, "config init "+file)
	d.token = "ana-token"
	d.ctl(5, "config init "+file)
	steps := []struct {
		line string
		code int
		want string
	}{
		{"account create mill -author ana -reason trial", 0, "version: 1"},
		{"account create mill -author ana -reason trial", 5, "exists"},
		{"account create dam -author bo -reason trial", 3, "author"},
		{"guarantee set mill -failure-domain fd-a -members 1 -accelerators 8 -author ana -reason trial", 0, "version: 2"},
		{"guarantee set mill -failure-domain fd-a -members 2 -accelerators 8 -author ana -reason trial", 6, "mill"},
		{"guarantee remove mill -failure-domain fd-a -author ana -reason trial", 0, "version: 3"},
		{"drain start w-1 -author ana -reason fan", 0, "version: 4"},
		{"drain stop w-1 -author ana -reason fan", 0, "version: 5"},
		{"account list", 0, "mill"},
		{"config diff 3 4", 0, "drains/w-1: added"},
		{"config diff 4 5", 0, "drains/w-1: removed"},
		{"config show -version 9", 4, ""},
		{"config replay -from 4 -to 5", 0, "reason: fan\n  drains/w-1: added"},
		{"config log", 0, "ana"},
		{"config status", 0, "unknown"},
		{"config settle none", 8, "withdraw"},
		{"health", 0, "active scheduler of fd-a: vm-1"},
		{"job submit -id j -account mill -members 1 -accelerators 8 -- sleep 2", 0, "state: waiting"},
		{"job submit -id j -account dam -members 1 -accelerators 8 -- sleep 2", 2, "dam"},
		{"job show j", 0, "account: mill"},
		{"job why j", 0, "waits for test"},
		{"job list -state asleep", 2, ""},
		{"job cancel j", 7, "no scheduler"},
	}
	for _, s := range steps {
		if got := d.ctl(s.code, s.line); !strings.Contains(got, s.want) {
			t.Errorf("%s: got output %s, want the text of the step", s.line, got)
		}
	}
	d.token = "wrong"
	d.ctl(3, "config show")
}

// TestLogFaults guards against a lost response or an outage of the log that is reported as a refusal, and against a patch
// whose decision cannot be looked up afterwards.
func TestLogFaults(t *testing.T) {
	d := newDeployment(t)
	d.ctl(0, "config init "+d.writeDocument())
	d.token = "ana-token"
	d.log.SetFaults(standin.LogFaults{LoseResponses: 1})
	d.ctl(0, "account create mill -author ana -reason trial")
	patch := d.writeFile(`{"id":"late","base":1,"author":"ana","reason":"trial","ops":[{"op":"set","path":"drains/w-1","value":{"vm":"w-1"}}]}`)
	down := standin.LogFaults{}
	down.Down = true
	d.log.SetFaults(down)
	if got := d.ctl(8, "config submit "+patch); !strings.Contains(got, "config settle late") {
		t.Errorf("patch during the outage: got %s, want the remedy config settle", got)
	}
	d.log.SetFaults(standin.LogFaults{})
	got := d.ctl(0, "config withdraw late -author ana -reason outage")
	if !strings.Contains(got, "refused") {
		t.Errorf("withdrawn patch: got %s, want refused", got)
	}
	if got := d.ctl(0, "config settle late"); !strings.Contains(got, "refused") {
		t.Errorf("settled patch: got %s, want refused", got)
	}
	d.ctl(5, "config submit "+patch)
}
