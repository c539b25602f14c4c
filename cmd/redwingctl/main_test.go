package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
)

// fakeAPI responds to every request with status and response, and records the last one. If document is set, this does not
// apply to GET /v1/config. A status of 0 closes the connection without a response.
type fakeAPI struct {
	t        *testing.T
	status   int
	response string
	// document is the response to GET /v1/config, unless it is empty.
	document string

	method string
	path   string
	body   []byte
	token  string
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/config" && f.document != "" {
		fmt.Fprint(w, f.document)
		return
	}
	f.method, f.path, f.token = r.Method, r.URL.RequestURI(), r.Header.Get("Authorization")
	f.body, _ = io.ReadAll(r.Body)
	if f.status == 0 {
		// Close the connection after the request has arrived.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(f.status)
	fmt.Fprint(w, f.response)
}

const testDocument = `{"version":7,"accounts":{"scan":{"name":"scan","weight":1,"guarantees":[
	{"failure_domain":"fd-a","count":1,"shape":{"members":1,"per_member":{"accelerators":8},"adjacency":"none"}}]}},
	"drains":{"vm-9":{"vm":"vm-9"}}}`

// run runs redwingctl against the API and returns its exit code, standard output and standard error.
func run(t *testing.T, api *fakeAPI, input string, args ...string) (int, string, string) {
	t.Helper()
	api.t = t
	server := httptest.NewServer(api)
	defer server.Close()
	env := map[string]string{addressVariable: server.Listener.Addr().String(), tokenVariable: "secret-token"}
	var stdout, stderr bytes.Buffer
	e := &environment{
		ctx: context.Background(), stdin: strings.NewReader(input), stdout: &stdout, stderr: &stderr,
		getenv: func(name string) string { return env[name] },
	}
	code := e.run(commands(), args)
	return code, stdout.String(), stderr.String()
}

const changeArgs = " -author ana -reason test"

// TestExitCodes guards against a command that returns another exit code than the constant exitCodes documents, sends a
// request with the wrong method or path or without the token, prints the token, or reports an error without a remedy.
func TestExitCodes(t *testing.T) {
	// errorJSON returns the body of an error response. Clients do not read the outcome in it.
	errorJSON := func(kind errkind.Kind) string {
		return fmt.Sprintf(`{"kind":%q,"message":"m","remedy":"do this","outcome":"not_run"}`, kind)
	}
	const accepted = `{"id":"p","outcome":"accepted","version":8}`
	const jobStatus = `{"job":{"id":"j"},"state":"completed"}`
	cases := map[string]struct {
		args     string
		status   int // HTTP status; 0 for a request without a response
		response string
		code     int
		// wantRequest is the method and path of the last request. It is not checked if it is empty.
		wantRequest string
	}{
		"account create":              {"account create orders" + changeArgs, 200, accepted, 0, "POST /v1/config/patches"},
		"no author":                   {"account create orders -reason r", 200, accepted, 2, ""},
		"account exists":              {"account create scan" + changeArgs, 200, accepted, 5, ""},
		"unknown account":             {"account remove none" + changeArgs, 200, accepted, 4, ""},
		"patch without response":      {"account remove scan" + changeArgs, 0, "", 8, "POST /v1/config/patches"},
		"refused patch":               {"account remove scan" + changeArgs, 409, `{"outcome":"refused","error":` + errorJSON("conflict") + `}`, 5, ""},
		"infeasible":                  {"guarantee set scan -failure-domain fd-a -members 9 -accelerators 8" + changeArgs, 422, errorJSON("infeasible"), 6, ""},
		"bad shape":                   {"guarantee set scan -failure-domain fd-a -members 0" + changeArgs, 200, accepted, 2, ""},
		"no guarantee":                {"guarantee remove scan -failure-domain fd-b" + changeArgs, 200, accepted, 4, ""},
		"guarantee remove":            {"guarantee remove scan -failure-domain fd-a" + changeArgs, 200, accepted, 0, "POST /v1/config/patches"},
		"drain start":                 {"drain start vm-1" + changeArgs, 200, accepted, 0, "POST /v1/config/patches"},
		"not drained":                 {"drain stop vm-1" + changeArgs, 200, accepted, 4, ""},
		"drain stop":                  {"drain stop vm-9" + changeArgs, 200, accepted, 0, "POST /v1/config/patches"},
		"job submit":                  {"job submit -id j -members 1 -accelerators 1 -- sleep 2", 200, `{"outcome":"completed","job":` + jobStatus + `}`, 0, "POST /v1/jobs"},
		"submission without response": {"job submit -id j -members 1 -accelerators 1 -- sleep 2", 0, "", 8, "POST /v1/jobs"},
		"no command line":             {"job submit -members 1 -accelerators 1", 200, "", 2, ""},
		"job list":                    {"job list -account scan -state waiting", 200, `[` + jobStatus + `]`, 0, "GET /v1/jobs?account=scan&state=waiting"},
		"job show":                    {"job show j", 200, jobStatus, 0, "GET /v1/jobs/j"},
		"job wait":                    {"job show j -wait completed", 200, jobStatus, 0, ""},
		"job wait other":              {"job show j -wait running", 200, jobStatus, 5, ""},
		"job why":                     {"job why j", 200, `{"id":"j","why":"waits"}`, 0, "GET /v1/jobs/j/why"},
		"job cancel":                  {"job cancel j", 200, `{"outcome":"completed","job":` + jobStatus + `}`, 0, "DELETE /v1/jobs/j"},
		"job unknown":                 {"job show j", 404, errorJSON("not_found"), 4, ""},
		"read without response":       {"job show j", 0, "", 7, "GET /v1/jobs/j"},
		"config settle":               {"config settle p", 200, accepted, 0, "GET /v1/config/patches/p"},
		"unsettled":                   {"config settle p", 502, `{"outcome":"unknown","error":` + errorJSON("unknown") + `}`, 8, ""},
		"config withdraw":             {"config withdraw p" + changeArgs, 200, accepted, 0, "POST /v1/config/patches/p/withdraw"},
		"config log":                  {"config log -from 2 -to 3", 200, `[` + accepted + `]`, 0, "GET /v1/config/log?from=2&to=3"},
		"config replay":               {"config replay", 200, `[` + accepted + `]`, 0, "GET /v1/config/log?from=0"},
		"config status":               {"config status", 200, `{"self":{},"vms":[{"vm":"v","version":"unknown"}]}`, 0, "GET /v1/config/status"},
		"config diff":                 {"config diff 3 4", 200, "", 0, ""},
		"health":                      {"health", 200, `{"ready":true}`, 0, "GET /v1/health"},
		"not ready":                   {"health", 200, `{"ready":false}`, 7, "GET /v1/health"},
		"wrong token":                 {"health", 401, errorJSON("unauthenticated"), 3, ""},
		"no typed error":              {"health", 500, "<html>", 1, ""},
		"not JSON":                    {"health", 200, "<html>", 1, ""},
		"unknown command":             {"frobnicate", 200, "", 2, ""},
		"unknown flag":                {"health -colour", 200, "", 2, ""},
		"unknown format":              {"health -o xml", 200, "", 2, ""},
		"extra argument":              {"health now", 200, "", 2, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			api := &fakeAPI{status: c.status, response: c.response, document: testDocument}
			code, stdout, stderr := run(t, api, "", strings.Fields(c.args)...)
			if code != c.code {
				t.Fatalf("got code %d, want %d; %s%s", code, c.code, stdout, stderr)
			}
			if got := strings.TrimSpace(api.method + " " + api.path); c.wantRequest != "" && got != c.wantRequest {
				t.Errorf("got request %q, want %q", got, c.wantRequest)
			}
			if api.token != "" && api.token != "Bearer secret-token" || strings.Contains(stdout+stderr, "secret-token") {
				t.Errorf("got authorization %q, output %s%s; want the bearer token in the request only", api.token, stdout, stderr)
			}
			// A semicolon precedes the remedy in the text of an errkind.Error.
			if code != 0 && !strings.Contains(stderr, ";") {
				t.Errorf("error without remedy: %s", stderr)
			}
		})
	}
}

// TestPatchOfCommand guards against a command whose patch is not based on the version that the command read, lacks the
// author or reason, or sets another item than the command names, and against a printed token that does not match the
// digest in the patch.
func TestPatchOfCommand(t *testing.T) {
	api := &fakeAPI{status: 200, response: `{"outcome":"accepted","version":8}`, document: testDocument}
	code, stdout, _ := run(t, api, "", strings.Fields("account create orders -weight 3 -o json"+changeArgs)...)
	var created createdAccount
	if err := json.Unmarshal([]byte(stdout), &created); code != 0 || err != nil || created.Version != 8 {
		t.Fatalf("got code %d, error %v, output %s; want code 0 and version 8", code, err, stdout)
	}
	var patch operatorclient.Patch
	if err := json.Unmarshal(api.body, &patch); err != nil {
		t.Fatal(err)
	}
	want := `{"name":"orders","token_digest":"` + config.TokenDigest(created.Token) + `","weight":3}`
	if patch.ID == "" || patch.Base != 7 || patch.Author != "ana" || patch.Reason != "test" || len(patch.Ops) != 1 ||
		patch.Ops[0].Path != "accounts/orders" || string(patch.Ops[0].Value) != want {
		t.Errorf("got patch %s", api.body)
	}
}

// TestPatchFile guards against submitting a patch file that lacks the base or the author or has unknown keys, and
// against a submitted patch without an id.
func TestPatchFile(t *testing.T) {
	const op = `"ops":[{"op":"remove","path":"drains/vm-9"}]`
	cases := map[string]struct {
		patch string
		code  int
	}{
		"whole":       {`{"id":"p","base":7,"author":"ana","reason":"r",` + op + `}`, 0},
		"base 0":      {`{"base":0,"author":"ana","reason":"r",` + op + `}`, 0},
		"no base":     {`{"author":"ana","reason":"r",` + op + `}`, 2},
		"no author":   {`{"base":7,"reason":"r",` + op + `}`, 2},
		"unknown key": {`{"base":7,"author":"ana","reason":"r","force":true,` + op + `}`, 2},
		"not JSON":    {`base: 7`, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			api := &fakeAPI{status: 200, response: `{"outcome":"accepted","version":8}`}
			if code, _, stderr := run(t, api, c.patch, "config", "submit", "-"); code != c.code {
				t.Fatalf("got code %d, want that of the case: %s", code, stderr)
			}
			var sent operatorclient.Patch
			if c.code == 0 && (json.Unmarshal(api.body, &sent) != nil || sent.ID == "") {
				t.Errorf("got patch %s, want one with an id", api.body)
			}
		})
	}
}

// TestHelp guards against a command without help or examples, and against examples of another command or with flags that
// the program does not accept.
func TestHelp(t *testing.T) {
	for _, c := range commands() {
		args := append(strings.Fields(c.name), "-h")
		code, stdout, _ := run(t, &fakeAPI{}, "", args...)
		if code != 0 || !strings.Contains(stdout, "Exit codes:") || len(c.examples) == 0 {
			t.Errorf("help of %s: got code %d, output %s; want code 0, the exit codes and an example", c.name, code, stdout)
		}
		for _, example := range c.examples {
			args := splitWords(example)
			selected, rest := findCommand(commands(), args)
			if selected == nil || selected.name != c.name {
				t.Errorf("example %q is not of command %q", example, c.name)
				continue
			}
			var o options
			f := newFlagSet(c.name)
			o.declare(f, func(string) string { return "" })
			selected.setup(f)
			if _, err := parseArgs(f, rest); err != nil {
				t.Errorf("example %q: %v", example, err)
			}
		}
	}
}

// splitWords splits a command line roughly into words as a shell does. Quoted text is one word, but quotes inside quotes
// split a word. Input redirection is dropped.
func splitWords(line string) []string {
	line, _, _ = strings.Cut(line, " < ")
	var list []string
	for i, part := range strings.FieldsFunc(strings.ReplaceAll(line, "'", `"`), func(r rune) bool { return r == '"' }) {
		if i%2 == 1 || strings.HasPrefix(part, "{") {
			list = append(list, part)
			continue
		}
		list = append(list, strings.Fields(part)...)
	}
	return list
}

// TestFlagsAfterArguments guards against flags that are recognised only before the positional arguments; the examples in
// the help text have them after.
func TestFlagsAfterArguments(t *testing.T) {
	var o options
	f := newFlagSet("x")
	o.declare(f, func(string) string { return "" })
	args, err := parseArgs(f, []string{"a", "-o", "json", "b", "--", "-c", "--", "d"})
	if err != nil || o.output != "json" || strings.Join(args, " ") != "a b -c -- d" {
		t.Fatalf("got error %v, output %q, arguments %q", err, o.output, args)
	}
}

// TestCheckSettings guards against a report that lacks faults of a settings file (here a wrong type, an unknown key and
// missing keys), an exit code of 0 for a faulty file, and example files that fail the check.
func TestCheckSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte("vm = 3\ncolour = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, stdout, _ := run(t, &fakeAPI{}, "", "check-settings", "scheduler", path, "-o", "json")
	var report settingsReport
	if err := json.Unmarshal([]byte(stdout), &report); code != 2 || err != nil || report.OK || len(report.Faults) < 3 {
		t.Fatalf("got code %d, error %v, output %s; want code 2 and at least three faults", code, err, stdout)
	}
	for _, daemon := range []string{"gateway", "scheduler"} {
		code, stdout, stderr := run(t, &fakeAPI{}, "", "check-settings", daemon, "../../examples/"+daemon+".toml")
		if code != 0 {
			t.Errorf("example file of the %s: got code %d, want 0: %s%s", daemon, code, stdout, stderr)
		}
	}
}

// TestRequestOutcomes guards against wrong exit codes of redwingctl request: only a complete response with the outcome
// completed may give 0, and a request that may have run must not be reported as one that did not.
func TestRequestOutcomes(t *testing.T) {
	cases := map[string]struct {
		outcome string
		status  int
		kind    string
		code    int
	}{
		"completed":              {"completed", 200, "", 0},
		"completed with 500":     {"completed", 500, "", 0},
		"not run":                {"not_run", 503, "unavailable", 7},
		"unknown":                {"unknown", 504, "deadline_exceeded", 8},
		"no outcome header":      {"", 404, "", 8},
		"lost after it was sent": {"", 0, "", 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Redwing-Outcome", c.outcome)
				w.WriteHeader(c.status)
				fmt.Fprintf(w, `{"kind":%q,"message":"m","remedy":"r"}`, c.kind)
			}))
			defer server.Close()
			code, stdout, _ := run(t, &fakeAPI{}, "", "request", "POST", "s/p", "-key", "k", "-addr",
				server.Listener.Addr().String())
			if code != c.code || !strings.Contains(stdout, "outcome: ") && c.outcome != "" {
				t.Fatalf("got code %d, output %s; want the code of the case and the outcome", code, stdout)
			}
		})
	}
}
