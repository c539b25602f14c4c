package infra

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestVMListIsReadOnceWhileUnchanged guards against a list whose transfer grows with the platform at every read, and
// against a changed list that is not seen.
func TestVMListIsReadOnceWhileUnchanged(t *testing.T) {
	tag, whole := `"a"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		whole++
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"vms":[{"id":"vm-%d","state":"live"}]}`, whole)
	}))
	defer server.Close()
	client, err := NewVMListClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	read := func(want string) {
		t.Helper()
		vms, err := client.VMs(t.Context())
		if err != nil || len(vms) != 1 || vms[0].ID != want {
			t.Fatalf("got %v, error %v, want %s", vms, err, want)
		}
	}
	read("vm-1")
	read("vm-1")
	tag = `"b"`
	read("vm-2")
	read("vm-2")
	if whole != 2 {
		t.Fatalf("list was sent whole %d times, want 2", whole)
	}
}
