package lease_test

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/lease"
)

// workerLease simulates a worker that grants its lease to one holder at a time, with increasing epochs.
type workerLease struct {
	holder string
	epoch  uint64
	until  time.Time
}

func (g *workerLease) handle(holder string, s lease.Request, now time.Time) lease.Response {
	expired := !now.Before(g.until)
	granted := s.Epoch > 0 && (holder == g.holder && s.Epoch >= g.epoch || expired && s.Epoch > g.epoch)
	if granted {
		g.holder, g.epoch, g.until = holder, s.Epoch, now.Add(s.Length)
	}
	return lease.Response{Granted: granted, Epoch: g.epoch, Holder: g.holder, ExpiresIn: max(0, g.until.Sub(now))}
}

// The standby takes over after the active candidate has been frozen for longer than its leases.
func ExampleCore() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	workers := map[string]*workerLease{"w-1": {}, "w-2": {}, "w-3": {}}
	first, second := lease.New("vm-1"), lease.New("vm-2")
	first.SetWorkers([]string{"w-1", "w-2", "w-3"}, now)
	second.SetWorkers([]string{"w-1", "w-2", "w-3"}, now)

	step := func(name string, c *lease.Core) {
		requests, _ := c.Step(now, 0.5) // a real program passes a random number and steps again at the returned time
		for _, s := range requests {
			c.RequestSent(s.Worker, now)
			c.ApplyResponse(s.Worker, s.Kind, s.Epoch, now, workers[s.Worker].handle(name, s, now), now)
		}
	}
	report := func() {
		fmt.Println("vm-1 active:", first.Active(now), "vm-2 active:", second.Active(now))
	}
	for range 20 {
		step("vm-1", first)
		step("vm-2", second)
		now = now.Add(500 * time.Millisecond)
	}
	report()
	for range 20 { // vm-1 is frozen
		step("vm-2", second)
		now = now.Add(500 * time.Millisecond)
	}
	report()
	fmt.Println("confirmed:", second.Confirmed(now), "higher epoch:", second.Epoch() > first.Epoch())
	// Output:
	// vm-1 active: true vm-2 active: false
	// vm-1 active: false vm-2 active: true
	// confirmed: true higher epoch: true
}
