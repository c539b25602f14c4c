package operatorclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// TestErrorWithoutResponse guards against two wrong errors: a lost response reported as a change that did not happen,
// and a refused connection reported as a change that may have happened. It also guards against a request that is sent
// twice.
func TestErrorWithoutResponse(t *testing.T) {
	var requests atomic.Int32
	handlers := map[string]http.HandlerFunc{
		"connection lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"response cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"outcome":`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			requests.Store(0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				handler(w, r)
			}))
			defer server.Close()
			client := New(server.Listener.Addr().String(), "t", time.Second)
			if _, err := client.Submit(context.Background(), Patch{ID: "p-1"}); !errkind.Is(err, errkind.Unknown) ||
				errkind.As(err).Remedy != settleRemedy("p-1") {
				t.Errorf("change: got error %v, want unknown with the remedy config settle", err)
			}
			if _, err := client.Status(context.Background()); !errkind.Is(err, errkind.Unavailable) {
				t.Errorf("read: got error %v, want unavailable", err)
			}
			if requests.Load() != 2 {
				t.Errorf("the server got %d requests, want 2", requests.Load())
			}
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	if _, err := New(address, "t", time.Second).Submit(context.Background(), Patch{}); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("no listener: got error %v, want unavailable", err)
	}
	if _, err := NewCallerClient(address, "t", time.Second).Send(context.Background(), ServiceRequest{Method: "POST"}); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("no listener of the caller API: got error %v, want unavailable", err)
	}
}

// TestGuaranteeEdits guards against an edit that duplicates a guarantee, removes others than the matching ones, or
// modifies the document that it was computed from.
func TestGuaranteeEdits(t *testing.T) {
	shape := func(members int) resource.Shape {
		return resource.Shape{Members: members, Adjacency: resource.AdjacencyRack}
	}
	old := []config.Guarantee{
		{FailureDomain: "fd-a", Shape: shape(1), Count: 1},
		{FailureDomain: "fd-a", Shape: shape(2), Count: 1},
		{FailureDomain: "fd-b", Shape: shape(1), Count: 1},
	}
	two := shape(2)
	cases := map[string]struct {
		edit Edit
		want string
	}{
		"replace":         {SetGuarantee("a", config.Guarantee{FailureDomain: "fd-a", Shape: two, Count: 5}), "fd-a:1x1 fd-b:1x1 fd-a:2x5 "},
		"add":             {SetGuarantee("a", config.Guarantee{FailureDomain: "fd-b", Shape: two, Count: 5}), "fd-a:1x1 fd-a:2x1 fd-b:1x1 fd-b:2x5 "},
		"remove one":      {RemoveGuarantee("a", "fd-a", &two), "fd-a:1x1 fd-b:1x1 "},
		"remove a domain": {RemoveGuarantee("a", "fd-a", nil), "fd-b:1x1 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			doc := &Document{Accounts: map[string]config.Account{"a": {Name: "a", Guarantees: old}}}
			ops, err := c.edit(doc)
			if err != nil || len(ops) != 1 || ops[0].Path != "accounts/a" {
				t.Fatalf("got error %v, ops %+v; want one op on accounts/a", err, ops)
			}
			if got := guaranteesOf(t, ops[0]); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if got := formatGuarantees(doc.Accounts["a"].Guarantees); got != "fd-a:1x1 fd-a:2x1 fd-b:1x1 " {
				t.Errorf("the edit changed its input document: %s", got)
			}
		})
	}
}

// guaranteesOf returns the guarantees that an op sets, formatted by formatGuarantees.
func guaranteesOf(t *testing.T, op Op) string {
	t.Helper()
	var a config.Account
	if err := json.Unmarshal(op.Value, &a); err != nil {
		t.Fatal(err)
	}
	return formatGuarantees(a.Guarantees)
}

// formatGuarantees formats guarantees in one line, each as FAILURE-DOMAIN:MEMBERSxCOUNT.
func formatGuarantees(list []config.Guarantee) string {
	text := ""
	for _, g := range list {
		text += fmt.Sprintf("%s:%dx%d ", g.FailureDomain, g.Shape.Members, g.Count)
	}
	return text
}
