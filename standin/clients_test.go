package standin

import (
	"context"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// TestPlatformClientsMatchStandIns guards against stand-ins whose HTTP contract differs from that of the clients in
// package infra, which would make trials meaningless.
func TestPlatformClientsMatchStandIns(t *testing.T) {
	set := startSet(t)
	ctx := context.Background()
	log, err := infra.NewLogClient("http://" + set.Address("log"))
	if err != nil {
		t.Fatal(err)
	}
	first, err := log.Append(ctx, infra.ConfigStream, [][]byte{[]byte("a"), []byte("b")})
	if err != nil || first != 0 {
		t.Fatalf("got offset %d, error %v", first, err)
	}
	read, err := log.Read(ctx, infra.ConfigStream, 1, 10, 0)
	if err != nil || read.Next != 2 || len(read.Records) != 1 || string(read.Records[0].Data) != "b" {
		t.Fatalf("got %+v, error %v", read, err)
	}
	if _, err := log.Append(ctx, "No/Name", [][]byte{nil}); !errkind.Is(err, errkind.BadInput) {
		t.Errorf("bad stream name: got error %v", err)
	}
	set.Log.SetFaults(LogFaults{LoseResponses: 1})
	if _, err := log.Append(ctx, infra.ConfigStream, [][]byte{[]byte("c")}); err == nil {
		t.Error("append succeeded although its response was lost")
	}
	if read, err := log.Read(ctx, infra.ConfigStream, 0, 10, 0); err != nil || read.Next != 3 {
		t.Errorf("after the lost response: %+v, error %v", read, err)
	}
	list, err := infra.NewVMListClient("http://" + set.Address("vm_list"))
	if err != nil {
		t.Fatal(err)
	}
	if vms, err := list.VMs(ctx); err != nil || len(vms) != 4 || vms[1].ID != "vm-1" || vms[1].Role != infra.RoleEntry {
		t.Errorf("got %+v, error %v", vms, err)
	}
}
