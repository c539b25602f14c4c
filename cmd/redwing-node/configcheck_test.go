package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/configcheck"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
)

// update makes the test of the worked example rewrite its expected output.
var update = flag.Bool("update", false, "rewrite the expected output of the worked example")

const exampleDirectory = "testdata/config-check"

// exampleCommand is the command of the worked example, as docs/config-check.md shows it.
const exampleCommand = "redwing-node config-check -in-force in-force -workers workers.json -jobs jobs new"

// fineRecord is a configuration without findings for fineWorker.
const (
	fineRecord = `{"version":2,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"s","priority":0,"slack_factor":2}],` +
		`"tenants":[{"name":"a","api_keys":["k"],"guaranteed_gpus":8}]}`
	fineWorker = `{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"gpu":8}}`
	settings   = "node_name=n\nzone=a\nlisten.frontend=127.0.0.1:1\nlisten.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\n"
)

// checkResult is what one invocation left.
type checkResult struct {
	exit           int
	stdout, stderr string
}

// runCheck runs the subcommand against the store.
func runCheck(t *testing.T, log store.Log, args ...string) checkResult {
	t.Helper()
	var stdout, stderr strings.Builder
	c := configCheck{stdout: &stdout, stderr: &stderr, openStore: func(string) store.Log { return log }}
	exit := c.run(t.Context(), args)
	return checkResult{exit, stdout.String(), stderr.String()}
}

// TestWorkedExample guards against output that differs from the page for operators, whose example it is.
func TestWorkedExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/config-check.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(exampleDirectory)
	got := runCheck(t, nil, strings.Fields(exampleCommand)[2:]...)
	if *update {
		if err := os.WriteFile("report.txt", []byte(got.stdout), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("report.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.exit != exitErrors || got.stdout != string(want) || got.stderr != "" {
		t.Errorf("exit code %d, stderr %q, output:\n%s\nwant:\n%s", got.exit, got.stderr, got.stdout, want)
	}
	block := "    $ " + exampleCommand + "\n    " + strings.ReplaceAll(strings.TrimSuffix(string(want), "\n"), "\n", "\n    ") + "\n"
	if !strings.Contains(string(page), block) {
		t.Errorf("docs/config-check.md does not contain the example:\n%s", block)
	}
	for _, name := range []string{"in-force/config", "new/config"} {
		input, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(page), "    "+strings.ReplaceAll(strings.TrimSpace(string(input)), "\n", "\n    ")) {
			t.Errorf("docs/config-check.md does not contain %s", name)
		}
	}
}

// TestJSONReport guards against a report for programs that lacks what the report for people has, or has null for a list.
func TestJSONReport(t *testing.T) {
	t.Chdir(exampleDirectory)
	text := runCheck(t, nil, "-in-force", "in-force", "-workers", "workers.json", "-jobs", "jobs", "new")
	got := runCheck(t, nil, "-json", "-in-force", "in-force", "-workers", "workers.json", "-jobs", "jobs", "new")
	var report struct {
		Errors, Warnings int
		configcheck.Report
	}
	if err := json.Unmarshal([]byte(got.stdout), &report); err != nil || got.exit != text.exit {
		t.Fatalf("exit code %d, %v", got.exit, err)
	}
	if report.Errors != report.Count(configcheck.Error) || report.Warnings != report.Count(configcheck.Warning) || len(report.Changes) == 0 {
		t.Errorf("got %+v", report)
	}
	for _, f := range report.Findings {
		if !strings.Contains(text.stdout, f.Entry+" ["+f.Rule+"]\n  "+f.Reason+"\n  remedy: "+f.Remedy) {
			t.Errorf("the text lacks %+v", f)
		}
	}
	t.Chdir(t.TempDir())
	writeFile(t, "config", fineRecord)
	if got := runCheck(t, nil, "-json", "config"); strings.Contains(got.stdout, "null") || got.exit != exitFine {
		t.Errorf("got exit code %d and %s", got.exit, got.stdout)
	}
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestExitCodes guards against a script that sends a faulty configuration, or holds back a good one, because of the exit code.
func TestExitCodes(t *testing.T) {
	t.Chdir(t.TempDir())
	warned := strings.Replace(fineRecord, `"priority":0,`, "", 1)
	for name, text := range map[string]string{
		"fine/config": fineRecord, "warned/config": warned, "broken/config": `{"version":}`, "none/notes": "", "evacuated/evacuate/b": "{}", "evacuated/conf": fineRecord, "large/config": strings.Repeat(" ", configcheck.Limits.MaxBytes+1),
		"w.json": `{"w":` + fineWorker + `}`, "broken.json": "{", "evacuate/a": "{}", "doc.toml": "[policy]\n", "broken.toml": "[policy", "jobs/q.json": `{"steps":[{"count":1}]}`,
	} {
		writeFile(t, name, text)
	}
	for _, c := range []struct {
		args string
		exit int
		// want is part of the output, on standard error if the exit code is exitUnreadable.
		want string
	}{
		{"fine", exitFine, "0 errors, 0 warnings"},
		{"-strict -workers w.json -in-force fine/config -jobs jobs fine", exitErrors, "version-not-newer"},
		{"warned", exitFine, "0 errors, 1 warnings"},
		{"-strict warned", exitWarnings, "priority-missing"},
		{"-workers w.json evacuate/a", exitErrors, "every-domain-evacuated"},
		{"-in-force broken fine", exitUnreadable, "broken/config: line 1, column 12"},
		{"broken", exitErrors, "broken/config:1:12: configuration [not-decodable]"},
		{"large", exitErrors, "at most 4194304 are read"},
		{"none", exitUnreadable, "holds no record"},
		{"absent", exitUnreadable, "cannot read absent"},
		{"-workers absent fine", exitUnreadable, "cannot read absent: no such file or directory; name a readable"},
		{"-in-force none fine", exitUnreadable, "none holds no record"},
		{"-in-force evacuated fine", exitFine, "evacuated/conf: conf [file-not-a-record]"},
		{"-json -other fine", exitUnreadable, `"message":"flag provided but not defined: -other"`},
		{"-workers broken.json fine", exitUnreadable, "broken.json: line 1, column 2"},
		{"-jobs absent fine", exitUnreadable, "cannot read absent"},
		{"-settings absent fine", exitUnreadable, "read settings file"},
		{"", exitUnreadable, "name the configuration"},
		{"-form other fine", exitUnreadable, "unknown form"},
		{"-other", exitUnreadable, "not defined"},
		{"-store doc.toml", exitUnreadable, "for the platform's form"},
		{"doc.toml", exitErrors, "doc.toml:1:1: policy [refused]"},
		{"broken.toml", exitErrors, "not-decodable"},
		{"-in-force broken.toml doc.toml", exitUnreadable, "broken.toml: line 1"},
		{"-form product broken.json", exitErrors, "not-decodable"},
		{"-json -in-force absent fine", exitUnreadable, `"kind":"bad_input"`},
		{"-h", exitFine, ""},
	} {
		got := runCheck(t, nil, strings.Fields(c.args)...)
		output := got.stdout
		if c.exit == exitUnreadable {
			output = got.stderr
		}
		if got.exit != c.exit || !strings.Contains(output, c.want) {
			t.Errorf("%s: exit code %d, want %d with %q; output:\n%s%s", c.args, got.exit, c.exit, c.want, got.stdout, got.stderr)
		}
	}
}

// putRecords appends records to a stream of the store.
func putRecords(t *testing.T, log store.Log, stream store.Stream, records ...store.Record) {
	t.Helper()
	if _, err := log.Append(t.Context(), stream, records, nil, 0); err != nil {
		t.Fatal(err)
	}
}

// TestStore guards against a comparison with another version than that in force in the store, and against workers or evacuations of
// the store that are left out.
func TestStore(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "settings", settings)
	writeFile(t, "new/config", strings.Replace(fineRecord, `"guaranteed_gpus":8`, `"guaranteed_gpus":16`, 1))
	writeFile(t, "new/evacuate/b", "{}")
	log := storetest.New()
	log.PageSize = 1
	old := strings.Replace(fineRecord, `"version":2`, `"version":1`, 1)
	putRecords(t, log, store.Config, store.Record{Key: "config", Value: []byte(`{"version":0}`)}, store.Record{Key: "config", Value: []byte(old)},
		store.Record{Key: "evacuate/a", Value: []byte("{}")}, store.Record{Key: "evacuate/b", Value: []byte("{}")},
		store.Record{Key: "evacuate/b"})
	putRecords(t, log, store.Workers, store.Record{Key: "w1", Value: []byte(fineWorker)}, store.Record{Key: "w3", Value: []byte("{}")},
		store.Record{Key: "w2", Value: []byte(strings.Replace(fineWorker, `"zone":"a"`, `"zone":"b"`, 1))})
	failures := 1
	log.SetFault(func(string) (error, bool) {
		if failures--; failures >= 0 {
			return store.ErrUnknown, false
		}
		return nil, true
	})
	got := runCheck(t, log, "-store", "-settings", "settings", "new")
	for _, want := range []string{"every-domain-evacuated", "every failure domain with workers (a, b)", "worker w3 [worker-unreadable]",
		`account "a": guaranteed accelerators: 8 -> 16`, `failure domain "b": evacuated`} {
		if !strings.Contains(got.stdout, want) {
			t.Errorf("the output lacks %q", want)
		}
	}
	if got.exit != exitErrors || strings.Contains(got.stdout, `failure domain "a":`) {
		t.Errorf("exit code %d, output:\n%s%s", got.exit, got.stdout, got.stderr)
	}
}

// TestStoreDown guards against a check that waits forever for a store that does not answer, or passes without it.
func TestStoreDown(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "settings", settings)
	writeFile(t, "config", fineRecord)
	log := storetest.New()
	log.SetFault(func(string) (error, bool) { return errors.Join(store.ErrUnknown, context.DeadlineExceeded), false })
	got := runCheck(t, log, "-store", "-settings", "settings", "-timeout", "50ms", "config")
	if got.exit != exitUnreadable || !strings.Contains(got.stderr, "the store has not answered the read of config/0") || got.stdout != "" {
		t.Errorf("got %+v", got)
	}
}

// TestSubcommandOfTheProgram guards against a program that takes the subcommand for a start of the process, or the reverse.
func TestSubcommandOfTheProgram(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "config", strings.Replace(fineRecord, `"h.example"`, `""`, 1))
	writeFile(t, "settings", "x=1\n")
	for _, c := range []struct {
		args []string
		exit int
		want string
	}{
		{[]string{configCheckCommand, "config"}, exitErrors, "route-never-matches"},
		{[]string{"-check"}, 2, "node_name is missing"},
		{nil, 2, "node_name is missing"},
	} {
		process := exec.Command(os.Args[0], c.args...)
		process.Env = append(os.Environ(), processVariable+"=1", "REDWINGTHREAD_BOOT=settings")
		output, _ := process.CombinedOutput()
		if process.ProcessState.ExitCode() != c.exit || !strings.Contains(string(output), c.want) {
			t.Errorf("%q: exit code %d, output:\n%s", c.args, process.ProcessState.ExitCode(), output)
		}
	}
}

// TestUnreadableVersionInStore guards against a remedy that asks for the correction of a text which is in the store already.
func TestUnreadableVersionInStore(t *testing.T) {
	t.Chdir(t.TempDir())
	writeFile(t, "settings", settings)
	writeFile(t, "config", fineRecord)
	log := storetest.New()
	putRecords(t, log, store.Config, store.Record{Key: "config", Value: []byte(`{"version":}`)})
	got := runCheck(t, log, "-store", "-settings", "settings", "config")
	if got.exit != exitUnreadable || !strings.Contains(got.stderr, "line 1, column 12") || !strings.Contains(got.stderr, "-in-force") {
		t.Errorf("got %+v", got)
	}
}
