package devcerts

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/inner"
)

// echoHandler responds to a heartbeat with that heartbeat, after it has set the authenticated sender in it.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, from inner.Member, r *inner.Request) (*inner.Response, error) {
	r.Heartbeat.Member = from
	return &inner.Response{Heartbeat: r.Heartbeat}, nil
}

// TestCertificatesIdentifyVMs guards against certificates that the inner protocol of the daemons rejects or attributes
// to another VM.
func TestCertificatesIdentifyVMs(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	files, err := Write(dir, []string{"vm-1", "vm-2"}, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	if err != nil || len(files) != 5 {
		t.Fatalf("got error %v, files %v; want 5 files", err, files)
	}
	var stores []*inner.KeyStore
	for _, name := range []string{"vm-1", "vm-2"} {
		base := filepath.Join(dir, name)
		store, err := inner.NewKeyStore(inner.KeyFiles{
			Certificate: base + ".pem", Key: base + ".key", CA: filepath.Join(dir, "ca.pem"),
		})
		if err != nil {
			t.Fatal(err)
		}
		stores = append(stores, store)
	}
	server, err := inner.Listen("127.0.0.1:0", stores[0], echoHandler{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	defer server.Close(ctx)
	client := inner.NewClient(stores[1])
	defer client.Close()
	response, err := client.Call(ctx, server.Address(), &inner.Request{Heartbeat: &inner.Heartbeat{}})
	if err != nil || response.Heartbeat == nil || response.Heartbeat.Member.VM != "vm-2" {
		t.Fatalf("got error %v, response %+v; want the sender vm-2", err, response)
	}
}
