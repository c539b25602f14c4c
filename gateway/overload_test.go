package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// The capacity of the fixture in TestOverload, with 2 local endpoints of 4 slots at 50 ms, is 160 requests per second.
const (
	overloadSlots   = 4
	overloadService = 50 * time.Millisecond
	overloadRate    = 160
)

// loadResult counts the results of the requests of one account.
type loadResult struct {
	mu sync.Mutex
	// good is the number of requests completed by their deadline, lost that of all others.
	good int
	// latencies holds the latencies of completed requests.
	latencies []time.Duration
	lost      int
}

// p99 returns the 99th percentile of the latency of completed requests, an hour if there are none.
func (o *loadResult) p99() time.Duration {
	if len(o.latencies) == 0 {
		return time.Hour
	}
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

// offerLoad sends requests of an account at a mean rate per second for the given span, as an open loop: it does not
// wait for the responses.
func offerLoad(gateways []*testGateway, account string, rate int, span, deadline time.Duration, all *sync.WaitGroup) *loadResult {
	o := &loadResult{}
	r := rand.New(rand.NewPCG(uint64(rate), 5))
	all.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(rate)))
			g := gateways[r.IntN(len(gateways))]
			all.Go(func() {
				start := time.Now()
				response := g.send(testRequest{account: account, method: "POST", body: "x", timeout: deadline})
				o.mu.Lock()
				defer o.mu.Unlock()
				if response.outcome == "completed" && time.Since(start) <= deadline {
					o.good++
					o.latencies = append(o.latencies, time.Since(start))
				} else {
					o.lost++
				}
			})
		}
	})
	return o
}

// TestOverload guards against goodput that collapses when one account sends 3 times the capacity, against other
// accounts that miss their deadlines meanwhile, and against a gateway that does not recover by itself afterwards.
func TestOverload(t *testing.T) {
	const span = 10 * time.Second
	const deadline = 500 * time.Millisecond
	cases := map[string]struct {
		gateways       int
		unsafe         bool
		reportsArrival bool
	}{
		"one gateway":                 {1, false, false},
		"three gateways":              {3, false, false},
		"three gateways, old reports": {3, false, true},
		"without rules":               {1, true, false},
	}
	for name, c := range cases {
		unsafe := c.unsafe
		t.Run(name, func(t *testing.T) {
			inBubble(t, 6, overloadSlots, func(t *testing.T, f *fixture) {
				for _, e := range f.endpoints {
					e.serviceTime = func() time.Duration { return overloadService }
					e.reportsArrival = c.reportsArrival
				}
				f.unsafe = func(n *testGateway) {
					if unsafe {
						n.dispatcher.queueLocked("scan").UnsafeUnbounded()
					}
				}
				var g []*testGateway
				for i := range c.gateways {
					g = append(g, f.start(fmt.Sprintf("vm-%d", i), "i", "fd-0", nil))
				}
				var all sync.WaitGroup
				full := offerLoad(g, "orders", overloadRate, span, deadline, &all)
				all.Wait()
				flood := offerLoad(g, "flood", 3*overloadRate, span, deadline, &all)
				modest := offerLoad(g, "blades", overloadRate/4, span, deadline, &all)
				all.Wait()
				time.Sleep(time.Second)
				after := offerLoad(g, "orders", overloadRate*8/10, span, deadline, &all)
				all.Wait()
				ratio := float64(flood.good+modest.good) / float64(full.good)
				t.Logf("goodput at capacity %d, at 3 times %d (ratio %.2f), modest account lost %d of %d with p99 %s, after %d lost of %d",
					full.good, flood.good+modest.good, ratio, modest.lost, modest.good+modest.lost, modest.p99(), after.lost,
					after.good+after.lost)
				contained := ratio >= 0.9 && modest.p99() < deadline && modest.lost*100 <= modest.good
				recovered := after.lost*100 <= after.good
				if !unsafe && (!contained || !recovered) {
					t.Error("goodput fell below 90%, another account lost requests, or the gateway did not recover")
				}
				if unsafe && contained {
					t.Error("overload is contained without the rules, so the check does not detect their absence")
				}
			})
		})
	}
}
