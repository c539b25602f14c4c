package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func server(t *testing.T, handler http.HandlerFunc) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func post(path string) Request {
	return Request{Method: http.MethodPost, Target: path, Body: []byte("body"), ContentType: "text/plain"}
}

// TestCallIsSentOnce guards against a request that is sent again by itself after the peer has read it: net/http's Transport
// does that on reused connections.
func TestCallIsSentOnce(t *testing.T) {
	var calls atomic.Int64
	address := server(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			conn.Close()
		}
	})
	conn := &Conn{Address: address}
	defer conn.Close()
	if _, err := conn.Do(t.Context(), post("/a"), time.Second); err != nil || !conn.Open() {
		t.Fatalf("first call: %v", err)
	}
	if _, err := conn.Do(t.Context(), post("/b"), time.Second); err == nil || errors.Is(err, ErrNotSent) {
		t.Fatalf("a call whose answer was cut off gave %v", err)
	}
	if calls.Load() != 2 || conn.Open() {
		t.Fatalf("%d calls arrived, connection open: %v", calls.Load(), conn.Open())
	}
}

// TestNotSentIsCertain guards against a call that may have arrived and counts as not sent.
func TestNotSentIsCertain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	conn := &Conn{Address: address}
	if _, err := conn.Do(t.Context(), post("/"), 100*time.Millisecond); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("a silent peer gave %v", err)
	}
	listener.Close()
	if _, err := conn.Do(t.Context(), post("/"), 100*time.Millisecond); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener gave %v", err)
	}
}

// TestDeadlineAndContextEndACall guards against a caller that hangs on a connection that has gone silent.
func TestDeadlineAndContextEndACall(t *testing.T) {
	release := make(chan struct{})
	address := server(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	conn := &Conn{Address: address}
	startedAt := time.Now()
	if _, err := conn.Do(t.Context(), post("/"), 100*time.Millisecond); err == nil {
		t.Error("a call without an answer succeeded")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := conn.Do(ctx, post("/"), 10*time.Second); err == nil {
		t.Error("a call whose context has ended succeeded")
	}
	if took := time.Since(startedAt); took > 2*time.Second {
		t.Errorf("both calls took %v", took)
	}
}

// TestPoolDropsOldConnectionsAfterAFailure guards against calls that go to one silent connection after the other, all of
// them opened before the fault.
func TestPoolDropsOldConnectionsAfterAFailure(t *testing.T) {
	var silent atomic.Bool
	address := server(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		if silent.Load() && r.URL.Path == "/hang" {
			<-r.Context().Done()
		}
	})
	pool := NewPool(address)
	for range 3 {
		if _, err := pool.Do(t.Context(), post("/"), time.Second); err != nil {
			t.Fatal(err)
		}
	}
	silent.Store(true)
	if _, err := pool.Do(t.Context(), post("/hang"), 50*time.Millisecond); err == nil {
		t.Fatal("the hanging call succeeded")
	}
	before := Dials.Load()
	if _, err := pool.Do(t.Context(), post("/"), time.Second); err != nil {
		t.Fatal(err)
	}
	if Dials.Load() == before {
		t.Fatal("a connection from before the failure was used again")
	}
}
