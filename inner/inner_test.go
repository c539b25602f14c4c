package inner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// authority issues certificates for one test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key}
}

// issue writes a key pair of the authority for name into dir and returns the files.
func (a *authority) issue(t *testing.T, dir, name string) KeyFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotAfter:    time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := KeyFiles{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"),
		CA: filepath.Join(dir, name+"-ca.pem")}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
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

// TestCallCarriesMessageAndTypedError guards against lost fields and against errors that lose their kind on the way.
func TestCallCarriesMessageAndTypedError(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	server := startServer(t, mustKeys(t, ca.issue(t, dir, "server")), handlerFunc(echoQuery))
	client := NewClient(mustKeys(t, ca.issue(t, dir, "vm-1")))
	defer client.Close()
	resp, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "-j1"}})
	if err != nil || string(resp.FetchState.State) != "vm-1-j1" {
		t.Fatalf("got %v, error %v", resp, err)
	}
	_, err = client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "missing"}})
	if !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("got error %v, want kind %q", err, errkind.NotFound)
	}
}

// TestForeignCertificatesAreRefused guards both ends against processes of another CA.
func TestForeignCertificatesAreRefused(t *testing.T) {
	ca, other, dir := newAuthority(t), newAuthority(t), t.TempDir()
	own := ca.issue(t, dir, "own")
	foreign := other.issue(t, dir, "foreign")
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
				t.Fatal("call succeeded")
			}
		})
	}
}

// TestReloadReplacesKeys guards against a process that needs a restart for new keys.
func TestReloadReplacesKeys(t *testing.T) {
	first, second, dir := newAuthority(t), newAuthority(t), t.TempDir()
	serverFiles, clientFiles := first.issue(t, dir, "server"), first.issue(t, dir, "client")
	serverKeys := mustKeys(t, serverFiles)
	server := startServer(t, serverKeys, handlerFunc(echoQuery))
	second.issue(t, dir, "server")
	second.issue(t, dir, "client")
	if err := serverKeys.Reload(); err != nil {
		t.Fatal(err)
	}
	client := NewClient(mustKeys(t, clientFiles))
	defer client.Close()
	if _, err := client.Call(t.Context(), server.Address(), &Request{JobQuery: &JobQuery{ID: "x"}}); err != nil {
		t.Fatal(err)
	}
}

// TestRestartedPeerIsReachedAgain guards against a connection to a dead process that outlives its replacement.
func TestRestartedPeerIsReachedAgain(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	keys := mustKeys(t, ca.issue(t, dir, "server"))
	server := startServer(t, keys, handlerFunc(echoQuery))
	address := server.Address()
	client := NewClient(mustKeys(t, ca.issue(t, dir, "client")))
	defer client.Close()
	query := &Request{JobQuery: &JobQuery{ID: "x"}}
	if _, err := client.Call(t.Context(), address, query); err != nil {
		t.Fatal(err)
	}
	// Closing the socket first makes the old connection silent.
	server.packets.Close()
	restarted, err := Listen(address, keys, handlerFunc(echoQuery))
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close(context.Background())
	go restarted.Serve(t.Context())
	callOnce := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, address, query)
		return err
	}
	if err := callOnce(); err != nil && !errkind.Is(err, errkind.Unknown) && !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("got error kind %q", errkind.KindOf(err))
	}
	if err := callOnce(); err != nil {
		t.Fatalf("second call after the restart: %v", err)
	}
}

// TestOversizeFrameIsRefused guards against a peer that makes the receiver allocate without bound.
func TestOversizeFrameIsRefused(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	server := startServer(t, mustKeys(t, ca.issue(t, dir, "server")), handlerFunc(echoQuery))
	client := NewClient(mustKeys(t, ca.issue(t, dir, "client")))
	defer client.Close()
	_, err := client.Call(t.Context(), server.Address(), &Request{Forward: &Forward{Body: make([]byte, MaxFrameBytes+1)}})
	if err == nil {
		t.Fatal("oversize message was sent")
	}
}
