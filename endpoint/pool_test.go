package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// serve starts an endpoint on loopback. respondTo writes the response to a request and reports whether the connection
// stays open.
func serve(t *testing.T, respondTo func(c net.Conn, r *http.Request) bool) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil || !respondTo(c, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// respond writes a complete, valid response.
func respond(c net.Conn, r *http.Request, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequestID, r.Header.Get(HeaderRequestID), FormatDigest([]byte(body)), len(body), body)
	return err == nil
}

func attempt(p *Pools, address, id string, bound int) Result {
	return p.Attempt(context.Background(), address, bound, &Request{
		ID: id, Method: "POST", Path: "/x?y=1", Body: []byte("b"), Deadline: time.Now().Add(5 * time.Second),
		Timeout: 2 * time.Second, BufferBytes: 1000, BeforeWrite: func() error { return nil },
	})
}

// TestWritten guards against an attempt that reports that nothing was written although something may have been, against a
// wrong kind of failure, and against connections that stay open after a failed exchange.
func TestWritten(t *testing.T) {
	pools := NewPools(NetDial)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if r := attempt(pools, l.Addr().String(), "1", 1); r.Failure != NoConnection || r.Written {
		t.Errorf("refused connection: got %+v, want NoConnection and nothing written", r)
	}
	silent := serve(t, func(net.Conn, *http.Request) bool { time.Sleep(5 * time.Second); return false })
	if r := attempt(pools, silent, "1", 1); r.Failure != Timeout || !r.Written || pools.Open(silent) != 0 {
		t.Errorf("silent endpoint: got %+v, want Timeout, a written request and no open connection", r)
	}
	closing := serve(t, func(net.Conn, *http.Request) bool { return false })
	if r := attempt(pools, closing, "1", 1); r.Failure != Broken || !r.Written || pools.Open(closing) != 0 {
		t.Errorf("closed connection: got %+v, want Broken, a written request and no open connection", r)
	}
}

// TestStaleConnection guards against writing to a connection that the endpoint closed, or on which it sent data, while
// the connection was idle. Such an attempt would end as unknown although a new connection works.
func TestStaleConnection(t *testing.T) {
	for _, extra := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		var exchanges atomic.Int32
		address := serve(t, func(c net.Conn, r *http.Request) bool {
			exchanges.Add(1)
			ok := respond(c, r, "b")
			if extra != "" {
				io.WriteString(c, extra)
				return ok
			}
			return false
		})
		pools := NewPools(NetDial)
		for i := range 3 {
			if r := attempt(pools, address, fmt.Sprint(i), 1); r.Failure != NoFailure || string(r.Response.Body) != "b" {
				t.Errorf("extra %q, attempt %d: got %+v, want a response with body b", extra, i, r)
			}
			// Waits until the close or the extra data arrives. The connection may already be closed by the exchange.
			for _, c := range pools.pools[address].idle {
				for range 2000 {
					if !isIntact(c.Conn) {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
		}
		if n := exchanges.Load(); n != 3 {
			t.Errorf("extra %q: endpoint got %d requests, want 3", extra, n)
		}
	}
}

// TestBound guards against more connections than allowed, including those being opened.
func TestBound(t *testing.T) {
	var open, most, busy atomic.Int32
	full := make(chan struct{})
	address := serve(t, func(c net.Conn, r *http.Request) bool {
		most.Store(max(most.Load(), open.Add(1)))
		<-full
		open.Add(-1)
		return respond(c, r, "b")
	})
	pools := NewPools(NetDial)
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			if r := attempt(pools, address, fmt.Sprint(i), 4); r.Failure == Busy && !r.Written && busy.Add(1) == 16 {
				close(full)
			}
		})
	}
	all.Wait()
	if most.Load() > 4 || busy.Load() != 16 || pools.Open(address) > 4 {
		t.Errorf("%d requests at once, %d busy, %d connections open, want at most 4, 16 and at most 4", most.Load(),
			busy.Load(), pools.Open(address))
	}
	pools.Close()
	if n := pools.OpenTotal(); n != 0 {
		t.Errorf("%d connections are open after Close", n)
	}
}

// TestLargeBody guards against a streamed body that is passed on as complete although it is truncated or altered.
func TestLargeBody(t *testing.T) {
	body := strings.Repeat("z", 100_000)
	for name, alter := range map[string]func(string) string{
		"whole":   func(s string) string { return s },
		"cut off": func(s string) string { return s[:99_000] },
		"altered": func(s string) string { return s[:99_999] + "y" },
	} {
		address := serve(t, func(c net.Conn, r *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Digest: %s\r\nContent-Length: %d\r\n\r\n%s",
				HeaderRequestID, r.Header.Get(HeaderRequestID), FormatDigest([]byte(body)), len(body), alter(body))
			return name == "whole"
		})
		pools := NewPools(NetDial)
		r := attempt(pools, address, "1", 1)
		if r.Failure != NoFailure || r.Response.Stream == nil {
			t.Fatalf("%s: got %+v, want a streamed response", name, r)
		}
		got, err := io.ReadAll(r.Response.Stream)
		r.Response.Stream.Close()
		whole := err == nil && string(got) == body
		if whole != (name == "whole") || !whole && len(got) == len(body) {
			t.Errorf("%s: read %d bytes, %v", name, len(got), err)
		}
		if kept := pools.Open(address) == 1; kept != whole {
			t.Errorf("%s: connection kept: %v, want it only after a whole body", name, kept)
		}
	}
}

// TestIdleAddressesAreForgotten guards against an entry for each address that an endpoint ever had, and against the loss of
// one whose connections are still counted.
func TestIdleAddressesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peers []net.Conn
		pools := NewPools(func(context.Context, string) (net.Conn, error) {
			own, peer := net.Pipe()
			peers = append(peers, peer)
			return own, nil
		})
		held := pools.acquire("held:1")
		for i := range 100 {
			address := fmt.Sprintf("host-%d:1", i)
			pool := pools.acquire(address)
			c, err := pool.get(t.Context(), 1, false)
			if err != nil {
				t.Fatal(err)
			}
			pool.putUnused(c)
			pools.release(pool)
		}
		if pools.CloseIdle(); len(pools.pools) != 101 {
			t.Errorf("%d addresses are known, want the 101 in use", len(pools.pools))
		}
		time.Sleep(idleTimeout)
		if pools.CloseIdle(); len(pools.pools) != 1 || pools.pools["held:1"] != held {
			t.Errorf("%d addresses are known, want only the held one", len(pools.pools))
		}
		pools.release(held)
		if pools.CloseIdle(); len(pools.pools) != 0 {
			t.Errorf("%d addresses are known after the last use", len(pools.pools))
		}
		for _, peer := range peers {
			peer.Close()
		}
	})
}
