package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
)

// TestPeerEndsWithTheConnection guards against a connection that still counts as leading to a certain process after it was closed: the
// next request would open another one, perhaps to another process.
func TestPeerEndsWithTheConnection(t *testing.T) {
	const peer = 7
	release := make(chan struct{})
	defer close(release)
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/close":
			w.Header().Set("Connection", "close")
		case "/silent":
			select {
			case <-release:
			case <-r.Context().Done():
			}
		case "/stalled":
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			<-release
		case "/large":
			_, _ = w.Write(make([]byte, maxResponseBytes+1))
		case "/end", "/garbage":
			connection, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			if r.URL.Path == "/garbage" {
				_, _ = io.WriteString(connection, "no HTTP\r\n\r\n")
			}
			connection.Close()
		}
	})
	do := func(path string, timeout time.Duration) func(*Conn) {
		return func(c *Conn) { _, _ = c.Do(t.Context(), post(path), timeout) }
	}
	for name, use := range map[string]func(*Conn){
		"closed":                   (*Conn).Close,
		"closed after a response":  do("/close", time.Second),
		"no response":              do("/silent", 50*time.Millisecond),
		"stalled response":         do("/stalled", 50*time.Millisecond),
		"response too large":       do("/large", 5*time.Second),
		"ended without a response": do("/end", time.Second),
		"response is no HTTP":      do("/garbage", time.Second),
		"cancelled": func(c *Conn) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, _ = c.Do(ctx, post("/silent"), time.Second)
		},
		"late": func(c *Conn) {
			var now time.Duration
			bootNow = func() time.Duration {
				now += time.Second
				return now
			}
			defer func() { bootNow = boottime.Now }()
			do("/", time.Second)(c)
		},
		"withdrawn": func(c *Conn) {
			request := post("/silent")
			request.Withdraw = true
			_, _ = c.Do(t.Context(), request, 20*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &Conn{Address: address}
			defer conn.Close()
			for range 2 {
				if _, err := conn.Do(t.Context(), post("/"), time.Second); err != nil {
					t.Fatal(err)
				}
				conn.Peer = peer
			}
			if _, err := conn.Do(t.Context(), post("/"), time.Second); err != nil || conn.Peer != peer {
				t.Fatalf("error %v, peer %d on an open connection, want %d", err, conn.Peer, peer)
			}
			use(conn)
			if conn.Peer != 0 || conn.Reusable() {
				t.Errorf("peer %d, reusable %v, want a closed connection without peer", conn.Peer, conn.Reusable())
			}
			if _, err := conn.Do(t.Context(), post("/"), time.Second); err != nil || conn.Peer != 0 {
				t.Errorf("error %v, peer %d on a new connection, want 0", err, conn.Peer)
			}
		})
	}
}

// countingServer counts its open connections.
type countingServer struct {
	*httptest.Server
	open, most atomic.Int64
}

func newCountingServer(t *testing.T, handler http.HandlerFunc) *countingServer {
	s := &countingServer{Server: httptest.NewUnstartedServer(handler)}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			n := s.open.Add(1)
			for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
			}
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// awaitOpen waits until the number of open connections is at most n.
func (s *countingServer) awaitOpen(t *testing.T, n int64) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for s.open.Load() > n {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want at most %d", s.open.Load(), n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestWithLeaksNoConnection guards against connections that a use leaves open outside the pool, or that two uses share, on any way in
// which a use can end.
func TestWithLeaksNoConnection(t *testing.T) {
	const workers, uses = 16, 60
	server := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/close":
			w.Header().Set("Connection", "close")
		case "/silent":
			<-r.Context().Done()
		}
	})
	address := server.Listener.Addr().String()
	pool := NewPool(address)
	errUse := errors.New("use failed")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var inUse sync.Map
	use := func(kind int) (err error) {
		ctx := t.Context()
		if kind == 5 {
			ctx = ended
		}
		return pool.With(ctx, func(conn *Conn) error {
			if _, shared := inUse.LoadOrStore(conn, true); shared {
				t.Error("two uses share a connection")
			}
			defer inUse.Delete(conn)
			switch kind {
			case 0, 1, 2:
				_, err := conn.Do(ctx, post("/"), 5*time.Second)
				return err
			case 3:
				_, _ = conn.Do(ctx, post("/"), 5*time.Second)
				return errUse
			case 4:
				_, err := conn.Do(ctx, post("/silent"), 10*time.Millisecond)
				return err
			case 5:
				_, err := conn.Do(ctx, post("/"), time.Second)
				return err
			case 6:
				_, err := conn.Do(ctx, post("/close"), 5*time.Second)
				return err
			case 7:
				conn.Close()
				return nil
			case 8:
				return nil
			}
			// The listing and the start after it.
			for range 2 {
				if _, err := conn.Do(ctx, post("/"), 5*time.Second); err != nil {
					return err
				}
				conn.Peer = 1
			}
			return nil
		})
	}
	var pending sync.WaitGroup
	for worker := range workers {
		pending.Go(func() {
			for i := range uses {
				kind := (worker + i) % 10
				err := use(kind)
				if wantErr := kind >= 3 && kind <= 5; (err != nil) != wantErr {
					t.Errorf("use %d returned %v", kind, err)
				}
			}
		})
	}
	pending.Wait()
	server.awaitOpen(t, maxIdleConns)
	// The server may see the end of a connection after the use of the next one has begun.
	if most := server.most.Load(); most > 2*workers+maxIdleConns {
		t.Errorf("up to %d connections were open for %d uses at once", most, workers)
	}
	if n := len(pool.idleConns); n > maxIdleConns {
		t.Errorf("the pool holds %d idle connections, want at most %d", n, maxIdleConns)
	}
	pool.SetAddress("127.0.0.1:1")
	server.awaitOpen(t, 0)
}

// TestFailedUseClosesIdleConnections guards against a use that fails and leaves connections in the pool that were opened before the
// fault, and against a cancelled one that closes the connections of others.
func TestFailedUseClosesIdleConnections(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancelled=%v", cancelled), func(t *testing.T) {
			server := newCountingServer(t, func(http.ResponseWriter, *http.Request) {})
			pool := NewPool(server.Listener.Addr().String())
			var opened, release sync.WaitGroup
			opened.Add(3)
			release.Add(1)
			var pending sync.WaitGroup
			for range 3 {
				pending.Go(func() {
					_ = pool.With(t.Context(), func(conn *Conn) error {
						_, err := conn.Do(t.Context(), post("/"), time.Second)
						opened.Done()
						release.Wait()
						return err
					})
				})
			}
			opened.Wait()
			release.Done()
			pending.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			_ = pool.With(ctx, func(*Conn) error {
				if cancelled {
					cancel()
				}
				return errors.New("use failed")
			})
			if want := map[bool]int{false: 0, true: 3}[cancelled]; len(pool.idleConns) != want {
				t.Errorf("the pool keeps %d idle connections, want %d", len(pool.idleConns), want)
			}
			if !cancelled {
				server.awaitOpen(t, 0)
			}
		})
	}
}

// TestPanicInAUseLeavesThePoolUsable guards against a pool whose lock a use holds while it panics.
func TestPanicInAUseLeavesThePoolUsable(t *testing.T) {
	server := newCountingServer(t, func(http.ResponseWriter, *http.Request) {})
	pool := NewPool(server.Listener.Addr().String())
	func() {
		defer func() { _ = recover() }()
		_ = pool.With(t.Context(), func(conn *Conn) error {
			if _, err := conn.Do(t.Context(), post("/"), time.Second); err != nil {
				t.Error(err)
			}
			panic("use failed")
		})
	}()
	if _, err := pool.Do(t.Context(), post("/"), time.Second); err != nil {
		t.Fatal(err)
	}
	if len(pool.idleConns) != 1 {
		t.Errorf("the pool holds %d connections, want only that of the request after the panic", len(pool.idleConns))
	}
}
