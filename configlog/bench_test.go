package configlog

import (
	"fmt"
	"testing"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// BenchmarkFold measures the fold of one patch at the planned size: 840 workers and 150 accounts.
func BenchmarkFold(b *testing.B) {
	doc := testDocument()
	for i := range 840 {
		id := fmt.Sprintf("w-%03d", i)
		doc.Workers[id] = resource.Worker{ID: id, FailureDomain: "fd-a", Rack: fmt.Sprint("r", i/8), Address: fmt.Sprintf("10.1.%d.%d:90", i/200, i%200+1),
			Capacity: resource.Resources{Accelerators: 2, MilliCPU: 32000, MemoryMB: 64000}}
	}
	for i := range 150 {
		id := fmt.Sprintf("a-%03d", i)
		doc.Accounts[id] = config.Account{Name: id, Weight: 1, TokenDigest: config.TokenDigest(id), Guarantees: []config.Guarantee{
			{FailureDomain: "fd-a", Count: 2, Shape: resource.Shape{Members: 2, Adjacency: "rack", PerMember: resource.Resources{Accelerators: 1, MilliCPU: 1000, MemoryMB: 1000}}}}}
	}
	st := new(stream).add(Record{Initialise: &Initialise{ID: "init", Document: doc}})
	for i := range b.N {
		st.add(Record{Patch: &config.Patch{ID: fmt.Sprint("p", i), Base: uint64(i), Author: "a", Reason: "r", Ops: []config.Op{
			{Op: "set", Path: fmt.Sprint("drains/v", i%10), Value: []byte(fmt.Sprintf(`{"reason":"%d"}`, i))}}}})
	}
	s := NewState()
	s.Fold(0, st.records[0])
	raw, _ := EncodeState(s)
	b.Logf("state %d bytes", len(raw))
	b.ResetTimer()
	st.fold(s)
	if s.Stopped != nil || s.Doc.Version != uint64(b.N) {
		b.Fatal(s.Stopped, s.Decisions[0])
	}
}
