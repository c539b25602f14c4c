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

// TestErrorWithoutResponse guards against a lost response that looks like a change that did not happen, and against a
// refused connection that looks like one that may have.
func TestErrorWithoutResponse(t *testing.T) {
	var calls atomic.Int32
	answers := map[string]http.HandlerFunc{
		"connection lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"response cut off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"outcome":`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			calls.Store(0)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				answer(w, r)
			}))
			defer server.Close()
			client := New(server.Listener.Addr().String(), "t", time.Second)
			if _, err := client.Submit(context.Background(), Patch{ID: "p-1"}); !errkind.Is(err, errkind.Unknown) ||
				errkind.As(err).Remedy != settleRemedy("p-1") {
				t.Errorf("change: got %v", err)
			}
			if _, err := client.Status(context.Background()); !errkind.Is(err, errkind.Unavailable) {
				t.Errorf("read: got %v", err)
			}
			if calls.Load() != 2 {
				t.Errorf("2 calls were sent %d times", calls.Load())
			}
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	if _, err := New(address, "t", time.Second).Submit(context.Background(), Patch{}); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("no listener: got %v", err)
	}
	if _, err := NewCaller(address, "t", time.Second).Send(context.Background(), ServiceRequest{Method: "POST"}); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("no caller listener: got %v", err)
	}
}

// TestGuaranteeEdits guards against a guarantee that is added twice or takes others with it.
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
				t.Fatalf("got error %v, ops %+v", err, ops)
			}
			if got := guarantees(t, ops[0]); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if got := guaranteeText(doc.Accounts["a"].Guarantees); got != "fd-a:1x1 fd-a:2x1 fd-b:1x1 " {
				t.Errorf("the document that was read changed: %s", got)
			}
		})
	}
}

// guarantees returns the guarantees that an op sets, in one line.
func guarantees(t *testing.T, op Op) string {
	t.Helper()
	var a config.Account
	if err := json.Unmarshal(op.Value, &a); err != nil {
		t.Fatal(err)
	}
	return guaranteeText(a.Guarantees)
}

func guaranteeText(list []config.Guarantee) string {
	text := ""
	for _, g := range list {
		text += fmt.Sprintf("%s:%dx%d ", g.FailureDomain, g.Shape.Members, g.Count)
	}
	return text
}
