package scheduler_test

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/scheduler"
)

// The caller reports events, asks for a plan, carries it out and reports the results.
func ExampleCore() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	core := scheduler.New("fd-a")
	eight := resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 64_000}
	core.SetConfig(&config.Document{
		Workers: map[string]resource.Worker{
			"w-1": {ID: "w-1", FailureDomain: "fd-a", Rack: "r-1", Capacity: eight},
			"w-2": {ID: "w-2", FailureDomain: "fd-a", Rack: "r-1", Capacity: eight},
		},
		Accounts: map[string]config.Account{"orders": {Name: "orders"}},
		Policy:   config.DefaultPolicy(),
	}, now)
	core.SetWorkerHealth("w-1", scheduler.HealthUp, now)
	core.SetWorkerHealth("w-2", scheduler.HealthUp, now)

	gang := resource.Shape{Members: 2, PerMember: eight, Adjacency: resource.AdjacencyRack}
	for _, id := range []string{"first", "second"} {
		if err := core.Submit(jobs.Job{ID: id, Account: "orders", FailureDomain: "fd-a", Shape: gang}, now); err != nil {
			fmt.Println(err)
		}
	}
	start := core.Plan(now).Starts[0]
	fmt.Println("start", start.Job.ID, "on", start.Placement)
	core.Started(start.Job.ID, start.Attempt, now.Add(time.Second))
	fmt.Println(core.Why("second", now.Add(time.Second)))

	now = now.Add(time.Minute)
	core.Ended(start.Job.ID, start.Attempt, scheduler.Result{Kind: scheduler.ResultCompleted}, now)
	fmt.Println("start", core.Plan(now).Starts[0].Job.ID)
	// Output:
	// start first on [w-1 w-2]
	// job second waits: capacity: 0 of 2 members of 8 accelerators, 32000 milli-CPU and 64000 MB fit on free workers
	// start second
}
