package routing_test

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/routing"
)

// Each choice is passed to Done with the result of its exchange. An endpoint that reports that it is leaving gets no more
// requests.
func ExampleTable() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := routing.NewTable("fd-a", 1)
	endpoints := map[string]config.Endpoint{
		"e-1": {FailureDomain: "fd-a", Address: "10.0.0.1:80", Slots: 8, MaxConnections: 64},
		"e-2": {FailureDomain: "fd-a", Address: "10.0.0.2:80", Slots: 8, MaxConnections: 64},
	}
	table.SetConfig(&config.Document{Services: map[string]config.Service{"scan": {Endpoints: endpoints}}})

	choice, ok := table.Pick("scan", []string{"e-2"}, false, now) // e-2 failed this request before
	fmt.Println(choice.Endpoint, choice.Address, ok)
	table.CheckDispatch(choice, now)
	now = now.Add(20 * time.Millisecond)
	table.Done(choice, routing.Report{
		Kind: routing.Responded, Took: 20 * time.Millisecond, Inflight: 1, Incarnation: "a", Leaving: true,
	}, now)

	for range 3 {
		choice, _ = table.Pick("scan", nil, false, now)
		fmt.Println(choice.Endpoint)
		table.Done(choice, routing.Report{Kind: routing.Responded, Took: time.Millisecond, Inflight: -1}, now)
	}
	// Output:
	// e-1 10.0.0.1:80 true
	// e-2
	// e-2
	// e-2
}
