package infra

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
)

// TestWorkerClientRejectsBadResponses guards against a faulty response that is accepted as the result of the commands.
func TestWorkerClientRejectsBadResponses(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		kind   errkind.Kind
	}{
		"granted":            {200, `{"granted":true,"epoch":3,"results":[{"ok":true}]}`, ""},
		"too few results":    {200, `{"granted":true}`, errkind.Unknown},
		"malformed":          {200, `{"granted":`, errkind.Unknown},
		"status of an error": {500, `{"granted":true,"results":[{"ok":true}]}`, errkind.Unavailable},
		"redirect":           {307, ``, errkind.Unavailable},
		"oversize":           {200, strings.Repeat(" ", maxWorkerResponseBytes+1), errkind.TooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := NewHTTPWorkers(metrics.NewRegistry())
			defer client.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			_, err := client.Commands(t.Context(), address, CommandsRequest{Commands: []Command{{Op: OpStop}}})
			if errkind.KindOf(err) != c.kind {
				t.Fatalf("got %v, want kind %q", err, c.kind)
			}
		})
	}
}

// TestWorkerClientDropsUnresponsiveConnection guards against the reuse of a connection on which a request got no
// response, and against bytes on connections that are not counted.
func TestWorkerClientDropsUnresponsiveConnection(t *testing.T) {
	var requests atomic.Int32
	unresponsive := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			<-unresponsive
		}
		_, _ = w.Write([]byte(`{"granted":true}`))
	}))
	defer server.Close()
	defer close(unresponsive)
	registry := metrics.NewRegistry()
	client := NewHTTPWorkers(registry)
	defer client.Close()
	for i, fails := range []bool{false, true, false} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		response, err := client.Commands(ctx, strings.TrimPrefix(server.URL, "http://"), CommandsRequest{})
		cancel()
		if err == nil && !response.NewConnection {
			t.Errorf("request %d is not marked as the first one on its connection", i)
		}
		if (err != nil) != fails {
			t.Fatalf("request %d: got error %v, want one only for request 1, which gets no response", i, err)
		}
	}
	if metrics.GetOrRegisterCounter("control.worker.bytes_sent", registry).Count() == 0 {
		t.Fatal("bytes are not counted")
	}
}

// TestWorkerClientMarksNewConnections guards against a restarted worker whose inventory is taken for that of its former process, because
// the request that reached the new process was not marked as the first one on its connection.
func TestWorkerClientMarksNewConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"granted":true}`))
	}))
	defer server.Close()
	client := NewHTTPWorkers(metrics.NewRegistry())
	defer client.Close()
	for i, opens := range []bool{true, false, true} {
		if i == 2 {
			server.CloseClientConnections()
			time.Sleep(50 * time.Millisecond)
		}
		response, err := client.Commands(t.Context(), strings.TrimPrefix(server.URL, "http://"), CommandsRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if response.NewConnection != opens {
			t.Errorf("request %d: got %v for a new connection, want %v", i, response.NewConnection, opens)
		}
	}
}
