package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
)

// TestExampleFilesLoad guards against example files that do not load or that show a wrong default.
func TestExampleFilesLoad(t *testing.T) {
	g, err := LoadGateway("../examples/gateway.toml")
	if err != nil {
		t.Fatal(err)
	}
	d := DefaultGateway()
	if g.Limits != d.Limits || g.Shutdown != d.Shutdown || g.Trace != d.Trace || g.Log != d.Log {
		t.Errorf("gateway example differs from the defaults that it documents: %+v", g)
	}
	if g.TLS.Key != "../examples/keys/vm-a1.key" || g.TLS.ReloadMS != d.TLS.ReloadMS {
		t.Errorf("got tls %+v, want a key path relative to the file and the default reload interval", g.TLS)
	}
	s, err := LoadScheduler("../examples/scheduler.toml")
	if err != nil {
		t.Fatal(err)
	}
	if want := DefaultScheduler(); s.Trace != want.Trace || s.Log != want.Log || s.Platform.TimeoutMS != want.Platform.TimeoutMS ||
		s.Platform.RetentionMS != want.Platform.RetentionMS {
		t.Errorf("scheduler example differs from the defaults that it documents: %+v", s)
	}
	if len(s.Peers) != 2 || len(s.OtherPeers(RoleScheduler)) != 2 || s.Peers[1].Inner != "10.0.1.11:7000" {
		t.Errorf("got peers %+v", s.Peers)
	}
}

// TestOtherPeersOmitsOwnProcess guards against a process that treats itself as a peer.
func TestOtherPeersOmitsOwnProcess(t *testing.T) {
	c := Common{VM: "vm-1", Peers: []Peer{{VM: "vm-1", Role: RoleGateway}, {VM: "vm-1", Role: RoleScheduler}}}
	others := c.OtherPeers(RoleGateway)
	if len(others) != 1 || others[0].Role != RoleScheduler {
		t.Fatalf("got %+v, want only the scheduler of the VM", others)
	}
}

// writeEdited writes a copy of an example file with replacements, which are pairs of old and new text, and returns its path.
func writeEdited(t *testing.T, example string, replacements ...string) string {
	t.Helper()
	text, err := os.ReadFile("../examples/" + example)
	if err != nil {
		t.Fatal(err)
	}
	edited := string(text)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(edited, replacements[i]) {
			t.Fatalf("example has no %q", replacements[i])
		}
		edited = strings.Replace(edited, replacements[i], replacements[i+1], 1)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(edited), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestFaultsNameKeyAndLine guards against a fault that is accepted, or reported without the key and line that the operator needs.
func TestFaultsNameKeyAndLine(t *testing.T) {
	cases := map[string]struct {
		replacements []string
		keys         []string
	}{
		"unknown key in table":  {[]string{"timeout_ms = 2000", "timeout = 2000"}, []string{"platform.timeout"}},
		"unknown table":         {[]string{"[log]", "[logs]"}, []string{"logs"}},
		"wrong type":            {[]string{"timeout_ms = 2000", `timeout_ms = "2s"`}, []string{"platform.timeout_ms"}},
		"missing required key":  {[]string{`inner = "10.0.1.11:7001"`, ""}, []string{"listen.inner"}},
		"host name as address":  {[]string{"10.0.1.11:7001", "vm-a1:7001"}, []string{"listen.inner"}},
		"any address as inner":  {[]string{"10.0.1.11:7001", "0.0.0.0:7001"}, []string{"listen.inner"}},
		"host name in URL":      {[]string{"http://10.0.0.5:8100", "http://log:8100"}, []string{"platform.log_url"}},
		"upper case in name":    {[]string{`vm = "vm-a1"`, `vm = "VM"`}, []string{"vm"}},
		"unknown peer role":     {[]string{`role = "gateway"`, `role = "entry"`}, []string{"peers[1].role"}},
		"peer named twice":      {[]string{"vm = \"vm-a1\"\nrole = \"gateway\"", "vm = \"vm-a2\"\nrole = \"scheduler\""}, []string{"peers[1]"}},
		"trace file no path":    {[]string{`exporter = "off"`, `exporter = "file"`}, []string{"trace.path"}},
		"sample ratio above 1":  {[]string{"sample_ratio = 0.01", "sample_ratio = 2"}, []string{"trace.sample_ratio"}},
		"lease length":          {[]string{"[log]\n", "[lease]\nholder_ms = 6000\n[log]\n"}, []string{"lease"}},
		"retention too short":   {[]string{"retention_ms = 86400000", "retention_ms = 60000"}, []string{"platform.retention_ms"}},
		"negative time":         {[]string{"timeout_ms = 2000", "timeout_ms = -1"}, []string{"platform.timeout_ms"}},
		"three faults together": {[]string{"vm = \"vm-a1\"", "vm = 7", "[log]\n", "[log]\ncolour = true\n", "reload_ms = 30000", "reload_ms = 0"}, []string{"vm", "log.colour", "tls.reload_ms"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := writeEdited(t, "scheduler.toml", c.replacements...)
			_, err := LoadScheduler(path)
			var list *FaultList
			if !errkind.Is(err, errkind.BadInput) || !errors.As(err, &list) {
				t.Fatalf("got error %v, want a BadInput error with a FaultList", err)
			}
			text, _ := os.ReadFile(path)
			lines := strings.Split(string(text), "\n")
			for _, key := range c.keys {
				checkFault(t, list, key, lines)
			}
			if len(list.Faults) < len(c.keys) || len(list.Faults) > len(c.keys)+1 {
				t.Errorf("got %d faults: %v", len(list.Faults), list)
			}
		})
	}
}

// checkFault checks that the list has a fault of key, with a remedy and with the line of the key or of its table.
func checkFault(t *testing.T, list *FaultList, key string, lines []string) {
	t.Helper()
	for _, f := range list.Faults {
		if f.Key != key {
			continue
		}
		parts := strings.Split(key, ".")
		last := parts[len(parts)-1]
		table, _, _ := strings.Cut(parts[0], "[")
		if f.Line < 1 || !strings.Contains(lines[f.Line-1], last) && !strings.Contains(lines[f.Line-1], table) {
			t.Errorf("fault of %s has line %d", key, f.Line)
		}
		if f.Remedy == "" {
			t.Errorf("fault of %s has no remedy", key)
		}
		return
	}
	t.Errorf("no fault of %s in %v", key, list)
}

// TestGatewayFaults guards against faults of gateway-only settings that are accepted, and against a token in an error text.
func TestGatewayFaults(t *testing.T) {
	cases := map[string]struct {
		old, new, key string
	}{
		"two listeners on one port": {"10.0.1.11:8081", "10.0.1.11:8080", "listen.operators"},
		"token in place of digest":  {`token_digest = ""`, `token_digest = "secret"`, "bootstrap.operator_token_digest"},
		"empty queue":               {"queue_length = 1024", "queue_length = 0", "limits.queue_length"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := LoadGateway(writeEdited(t, "gateway.toml", c.old, c.new))
			var list *FaultList
			if !errors.As(err, &list) || len(list.Faults) != 1 || list.Faults[0].Key != c.key {
				t.Fatalf("got error %v, want one fault of the edited key", err)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Error("the error shows the token")
			}
		})
	}
}

// TestSyntaxErrorNamesLine guards against a syntax error that is reported without its line, and against a missing file
// that is reported with a wrong kind.
func TestSyntaxErrorNamesLine(t *testing.T) {
	_, err := LoadScheduler(writeEdited(t, "scheduler.toml", `vm = "vm-a1"`, `vm = "vm-a1`))
	var list *FaultList
	if !errors.As(err, &list) || list.Faults[0].Line != 10 {
		t.Fatalf("got error %v, want a fault on line 10", err)
	}
	if _, err := LoadScheduler("no-such-file.toml"); !errkind.Is(err, errkind.BadInput) {
		t.Fatalf("missing file: got error %v, want a BadInput error", err)
	}
}
