package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

func startServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// TestLogClientSendsDocumentedRequests guards against requests that deviate from the HTTP contract of the log service.
func TestLogClientSendsDocumentedRequests(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.String() {
		case "POST /v1/streams/config/records":
			var body AppendRequest
			if err := json.NewDecoder(r.Body).Decode(&body); err != nil || string(body.Records[1]) != "two" {
				w.WriteHeader(400)
			}
			fmt.Fprint(w, `{"first_offset":7}`)
		case "GET /v1/streams/config/records?from=3&limit=2&wait_ms=50":
			fmt.Fprint(w, `{"oldest":1,"next":9,"records":[{"offset":3,"data":"b25l"},{"offset":4,"data":"dHdv"}]}`)
		default:
			t.Errorf("unexpected request %s %s", r.Method, r.URL)
		}
	})
	c := mustValue(NewLogClient(url + "/"))
	offset, err := c.Append(t.Context(), "config", [][]byte{[]byte("one"), []byte("two")})
	if err != nil || offset != 7 {
		t.Errorf("append: got offset %d, error %v, want offset 7", offset, err)
	}
	resp, err := c.Read(t.Context(), "config", 3, 2, 50)
	if err != nil || resp.Next != 9 || resp.Oldest != 1 || len(resp.Records) != 2 || string(resp.Records[1].Data) != "two" {
		t.Errorf("read: got %+v, error %v, want oldest 1, next 9 and two records", resp, err)
	}
}

// TestLogClientReportsErrorKinds guards against a faulty or truncated response that is accepted, and against an error
// kind that says that a request had no effect although it may have had one.
func TestLogClientReportsErrorKinds(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		kind   errkind.Kind
	}{
		"bad input":         {400, `{"message":"no such stream","remedy":"name one"}`, errkind.BadInput},
		"too large":         {413, `{}`, errkind.TooLarge},
		"not JSON":          {500, `oops`, errkind.Unavailable},
		"unavailable":       {503, `{}`, errkind.Unavailable},
		"cut off":           {200, `{"oldest":0,"next":9,"records":[{"off`, errkind.Unavailable},
		"records of others": {200, `{"oldest":0,"next":9,"records":[{"offset":5,"data":""}]}`, errkind.Unavailable},
		"gap":               {200, `{"oldest":0,"next":9,"records":[{"offset":0,"data":""},{"offset":2,"data":""}]}`, errkind.Unavailable},
		"beyond next":       {200, `{"oldest":0,"next":0,"records":[{"offset":0,"data":""}]}`, errkind.Unavailable},
		"oldest above next": {200, `{"oldest":5,"next":4,"records":[]}`, errkind.Unavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			client := mustValue(NewLogClient(url))
			if _, err := client.Read(t.Context(), "config", 0, 10, 0); errkind.KindOf(err) != c.kind || errkind.As(err).Remedy == "" {
				t.Errorf("got error %v, want the kind of the case and a remedy", err)
			}
		})
	}
}

// TestAppendEndsWithItsContext guards against a request that hangs because the server does not respond.
func TestAppendEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	url := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	client := mustValue(NewLogClient(url))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Append(ctx, "config", [][]byte{nil}); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("got error %v, want an Unavailable error", err)
	}
}

// TestVMListOmitsUnknownStates guards against VMs in an unknown state that count as live, and against an unusable URL
// that is accepted.
func TestVMListOmitsUnknownStates(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/vms" {
			t.Errorf("got path %s, want /v1/vms", r.URL.Path)
		}
		fmt.Fprint(w, `{"vms":[{"id":"a","role":"entry","state":"live"},{"id":"b","state":"leaving"},{"id":"c","state":"odd"}]}`)
	})
	c := mustValue(NewVMListClient(url))
	vms, err := c.VMs(t.Context())
	if err != nil || len(vms) != 2 || vms[0].Role != RoleEntry || vms[1].State != VMLeaving {
		t.Errorf("got VMs %+v, error %v, want a live entry VM and a leaving VM", vms, err)
	}
	for _, bad := range []string{"", "10.0.0.1:7000", "ftp://10.0.0.1", "http://"} {
		if _, err := NewVMListClient(bad); !errkind.Is(err, errkind.BadInput) {
			t.Errorf("URL %q: got error %v, want a BadInput error", bad, err)
		}
	}
}

// mustValue returns value and panics if err is not nil.
func mustValue[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
