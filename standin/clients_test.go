package standin

import (
	"context"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// TestPlatformClientsMatchStandIns guards against stand-ins whose HTTP contract differs from that of the clients in
// package infra, so that tests with stand-ins would show nothing about the platform.
func TestPlatformClientsMatchStandIns(t *testing.T) {
	set := startSet(t)
	ctx := context.Background()
	log, err := infra.NewLogClient("http://" + set.Address("log"))
	if err != nil {
		t.Fatal(err)
	}
	first, err := log.Append(ctx, infra.ConfigStream, [][]byte{[]byte("a"), []byte("b")})
	if err != nil || first != 0 {
		t.Fatalf("append to an empty stream: got offset %d, error %v, want offset 0", first, err)
	}
	read, err := log.Read(ctx, infra.ConfigStream, 1, 10, 0)
	if err != nil || read.Next != 2 || len(read.Records) != 1 || string(read.Records[0].Data) != "b" {
		t.Fatalf("read from offset 1: got %+v, error %v, want record b and next offset 2", read, err)
	}
	if _, err := log.Append(ctx, "No/Name", [][]byte{nil}); !errkind.Is(err, errkind.BadInput) {
		t.Errorf("append with an invalid stream name: got error %v, want bad_input", err)
	}
	set.Log.SetFaults(LogFaults{LoseResponses: 1})
	if _, err := log.Append(ctx, infra.ConfigStream, [][]byte{[]byte("c")}); err == nil {
		t.Error("append succeeded although its response was lost")
	}
	if read, err := log.Read(ctx, infra.ConfigStream, 0, 10, 0); err != nil || read.Next != 3 {
		t.Errorf("read after the lost response: got %+v, error %v, want next offset 3", read, err)
	}
	list, err := infra.NewVMListClient("http://" + set.Address("vm_list"))
	if err != nil {
		t.Fatal(err)
	}
	if vms, err := list.VMs(ctx); err != nil || len(vms) != 4 || vms[1].ID != "vm-1" || vms[1].Role != infra.RoleEntry {
		t.Errorf("got VMs %+v, error %v, want 4 with the entry VM vm-1 second", vms, err)
	}
}
