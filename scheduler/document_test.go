package scheduler

import (
	"fmt"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/resource"
)

// memberResources returns the resources of one member.
func memberResources(accelerators int, cores, gigabytes int64) resource.Resources {
	return resource.Resources{Accelerators: accelerators, MilliCPU: cores * 1000, MemoryMB: gigabytes * 1024}
}

// newDocument returns a configuration with the given numbers of workers, workers per rack and accounts.
func newDocument(workers, perRack, accounts int, capacity func(int) resource.Resources) *config.Document {
	doc := &config.Document{Workers: map[string]resource.Worker{}, Accounts: map[string]config.Account{}}
	doc.Policy = config.Policy{ReclaimBoundMS: 10_000, QuarantinePercent: 10}
	for i := range workers {
		id := fmt.Sprintf("w-%04d", i)
		doc.Workers[id] = resource.Worker{
			ID: id, FailureDomain: testDomain, Rack: fmt.Sprintf("r-%03d", i/perRack), Capacity: capacity(i),
		}
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%03d", i)
		doc.Accounts[name] = config.Account{Name: name}
	}
	return doc
}
