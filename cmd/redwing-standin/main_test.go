package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/standin"
)

// TestSampleLoads guards against an example file that does not load, or whose values are not read.
func TestSampleLoads(t *testing.T) {
	s, err := standin.LoadSettings("../../examples/standin.toml")
	if err != nil || s.Workers[0].Count != 8 || s.Endpoints[0].Slots != 8 {
		t.Fatalf("got error %v, settings %+v; want 8 workers and 8 slots", err, s)
	}
}

// TestRunEnds guards against a program that keeps running after its context has ended, and against one that starts with
// invalid settings.
func TestRunEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standin.toml")
	cases := map[string]struct {
		text string
		kind errkind.Kind
	}{
		"ends":          {`control = "127.0.0.1:0"`, ""},
		"outer address": {`control = "10.0.0.1:80"`, errkind.BadInput},
		"id used twice": {"control = \"127.0.0.1:0\"\n" + `workers = [{id = "w", address = "127.0.0.1:0"}, {id = "w", address = "127.0.0.1:0"}]`, errkind.BadInput},
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := run(ended, path); errkind.KindOf(err) != c.kind {
				t.Fatalf("got error %v, want the kind of the case", err)
			}
		})
	}
}
