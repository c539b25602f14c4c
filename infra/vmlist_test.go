package infra

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestUnchangedVMListIsNotTransferredAgain guards against reads that transfer the full list although it has not changed,
// and against reads that do not return a changed list.
func TestUnchangedVMListIsNotTransferredAgain(t *testing.T) {
	tag, fullResponses := `"a"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses++
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"vms":[{"id":"vm-%d","state":"live"}]}`, fullResponses)
	}))
	defer server.Close()
	client, err := NewVMListClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	expectVM := func(want string) {
		t.Helper()
		vms, err := client.VMs(t.Context())
		if err != nil || len(vms) != 1 || vms[0].ID != want {
			t.Fatalf("got %v, error %v, want %s", vms, err, want)
		}
	}
	expectVM("vm-1")
	expectVM("vm-1")
	tag = `"b"`
	expectVM("vm-2")
	expectVM("vm-2")
	if fullResponses != 2 {
		t.Fatalf("full list was sent %d times, want 2", fullResponses)
	}
}

// TestOddEntryDoesNotHideTheOtherVMs guards against daemons that stop following the list because another writer has left one entry that
// cannot be decoded or used.
func TestOddEntryDoesNotHideTheOtherVMs(t *testing.T) {
	const depth = 20_000
	odd := map[string]string{
		"nested too deeply":             `{"id":"odd","state":"live","address":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`,
		"nested too deeply, unknown":    `{"id":"odd","state":7,"x":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + `}`,
		"number too large":              `{"id":"odd","state":1e999}`,
		"number in place of a text":     `{"id":99999999999999999999,"state":"live"}`,
		"port out of range":             `{"id":"odd","state":"live","address":"10.0.0.1:99999"}`,
		"no object":                     `"odd"`,
		"nothing":                       `null`,
		"unknown state":                 `{"id":"odd","state":"gone"}`,
		"address without port":          `{"id":"odd","state":"live","address":"10.0.0.1"}`,
		"braces in a text, not a state": `{"id":"]}","state":"[{"}`,
	}
	for name, entry := range odd {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"x":[1,{"vms":[]}],"vms":[{"id":"a","state":"live","address":"10.0.0.1:80"}, %s ,{"id":"b","state":"leaving"}]}`, entry)
		}))
		client, err := NewVMListClient(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		vms, err := client.VMs(t.Context())
		if err != nil || len(vms) != 2 || vms[0].ID != "a" || vms[1].ID != "b" {
			t.Errorf("%s: got %v, error %v, want the two other VMs", name, vms, err)
		}
		server.Close()
	}
}
