package inner

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/devcerts"
	"github.com/redwingthread/redwingthread/errkind"
)

// testCA is a CA that has issued certificates for the names that the tests use.
type testCA struct{ dir string }

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	dir := t.TempDir()
	if _, err := devcerts.Write(dir, []string{"server", "vm-1", "own", "foreign"}, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	return &testCA{dir: dir}
}

// files returns the key files issued for name.
func (ca *testCA) files(name string) KeyFiles {
	return KeyFiles{Certificate: filepath.Join(ca.dir, name+".pem"), Key: filepath.Join(ca.dir, name+".key"),
		CA: filepath.Join(ca.dir, "ca.pem")}
}

func mustKeys(t *testing.T, files KeyFiles) *KeyStore {
	t.Helper()
	keys, err := NewKeyStore(files)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

type handlerFunc func(ctx context.Context, from Member, req *Request) (*Response, error)

func (f handlerFunc) Handle(ctx context.Context, from Member, req *Request) (*Response, error) {
	return f(ctx, from, req)
}

func startServer(t *testing.T, keys *KeyStore, handler Handler) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", keys, handler)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(ctx)
	t.Cleanup(func() {
		cancel()
		server.Close(context.Background())
	})
	return server
}

func echoQuery(_ context.Context, from Member, req *Request) (*Response, error) {
	if req.JobQuery.ID == "missing" {
		return nil, errkind.New(errkind.NotFound, "list the jobs", "job is not known")
	}
	return &Response{FetchState: &FetchStateResponse{State: []byte(from.VM + req.JobQuery.ID)}}, nil
}

// TestCallReturnsResponseAndTypedError guards against fields that are lost in transit, a sender that is not named by its
// certificate, and errors that lose their kind.
func TestCallReturnsResponseAndTypedError(t *testing.T) {
	ca := newTestCA(t)
	server := startServer(t, mustKeys(t, ca.files("server")), handlerFunc(echoQuery))
	client := NewClient(mustKeys(t, ca.files("vm-1")))
	defer client.Close()
	resp, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "-j1"}})
	if err != nil || string(resp.FetchState.State) != "vm-1-j1" {
		t.Fatalf("got response %v, error %v, want state vm-1-j1", resp, err)
	}
	_, err = client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "missing"}})
	if !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("got error %v, want kind %q", err, errkind.NotFound)
	}
}

// TestCertificatesOfOtherCAAreRejected guards against a client or server that accepts a peer with a certificate of
// another CA.
func TestCertificatesOfOtherCAAreRejected(t *testing.T) {
	own := newTestCA(t).files("own")
	foreign := newTestCA(t).files("foreign")
	trusting := foreign
	trusting.CA = own.CA
	cases := map[string]struct{ server, client KeyFiles }{
		"client of another CA": {server: own, client: trusting},
		"server of another CA": {server: foreign, client: own},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, mustKeys(t, c.server), handlerFunc(echoQuery))
			client := NewClient(mustKeys(t, c.client))
			defer client.Close()
			if _, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "x"}}); err == nil {
				t.Fatal("request to or from a peer of another CA succeeded")
			}
		})
	}
}

// TestReloadReplacesKeys guards against a process that needs a restart to use new keys.
func TestReloadReplacesKeys(t *testing.T) {
	first, second := newTestCA(t), newTestCA(t)
	serverKeys := mustKeys(t, first.files("server"))
	client := NewClient(mustKeys(t, second.files("vm-1")))
	defer client.Close()
	server := startServer(t, serverKeys, handlerFunc(echoQuery))
	for _, name := range []string{"server.pem", "server.key", "ca.pem"} {
		if err := os.Rename(filepath.Join(second.dir, name), filepath.Join(first.dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	if err := serverKeys.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "x"}}); err != nil {
		t.Fatal(err)
	}
}

// TestRestartedPeerIsReachedAgain guards against a client that keeps using the connection to a dead process after
// another process has replaced it.
func TestRestartedPeerIsReachedAgain(t *testing.T) {
	ca := newTestCA(t)
	keys := mustKeys(t, ca.files("server"))
	server := startServer(t, keys, handlerFunc(echoQuery))
	address := server.Address()
	client := NewClient(mustKeys(t, ca.files("vm-1")))
	defer client.Close()
	query := &Request{JobQuery: &JobQuery{ID: "x"}}
	if _, err := client.Call(t.Context(), address, query); err != nil {
		t.Fatal(err)
	}
	// With its socket closed, the old connection gets no more packets and is not closed by the peer.
	server.packetConn.Close()
	restarted, err := Listen(address, keys, handlerFunc(echoQuery))
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close(context.Background())
	go restarted.Serve(t.Context())
	requestOnce := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, address, query)
		return err
	}
	if err := requestOnce(); err != nil && !errkind.Is(err, errkind.Unknown) && !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("got error kind %q, want unknown or unavailable", errkind.KindOf(err))
	}
	if err := requestOnce(); err != nil {
		t.Fatalf("second request after the restart: %v", err)
	}
}

// TestCloseWaitsForRequests guards against a Close that cuts a request which is still being handled, or that loses its
// response between the write and its delivery.
func TestCloseWaitsForRequests(t *testing.T) {
	ca := newTestCA(t)
	for range 20 {
		closeDuringRequest(t, ca)
	}
}

// closeDuringRequest closes a server while it handles a request. The request must complete.
func closeDuringRequest(t *testing.T, ca *testCA) {
	t.Helper()
	handling, finish := make(chan struct{}), make(chan struct{})
	server := startServer(t, mustKeys(t, ca.files("server")), handlerFunc(func(context.Context, Member, *Request) (*Response, error) {
		close(handling)
		<-finish
		return &Response{}, nil
	}))
	client := NewClient(mustKeys(t, ca.files("vm-1")))
	defer client.Close()
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "x"}})
		result <- err
	}()
	<-handling
	closed := make(chan struct{})
	go func() {
		server.Close(t.Context())
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("Close returned while a request was being handled")
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	if err := <-result; err != nil {
		t.Errorf("the request in progress was cut: %v", err)
	}
	<-closed
}

// TestOversizeFrameIsRejected guards against a peer that makes the receiver allocate without bound.
func TestOversizeFrameIsRejected(t *testing.T) {
	ca := newTestCA(t)
	server := startServer(t, mustKeys(t, ca.files("server")), handlerFunc(echoQuery))
	client := NewClient(mustKeys(t, ca.files("vm-1")))
	defer client.Close()
	_, err := client.Call(t.Context(), server.Address(), &Request{Forward: &Forward{Body: make([]byte, MaxFrameBytes+1)}})
	if err == nil {
		t.Fatal("oversize message was sent")
	}
}
