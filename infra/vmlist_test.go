package infra

import (
	"fmt"
	"net/http"
	"net/http/httptest"
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
