package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// capacity of the fixture in TestOverload: 2 endpoints with 4 slots at 50 ms are 160 requests per second.
const (
	overloadSlots   = 4
	overloadService = 50 * time.Millisecond
	overloadRate    = 160
)

// offered is what became of the requests of one account.
type offered struct {
	mu   sync.Mutex
	good int
	// took holds the times of completed requests.
	took []time.Duration
	lost int
}

// p99 returns the time within which 99 of 100 requests were completed.
func (o *offered) p99() time.Duration {
	if len(o.took) == 0 {
		return time.Hour
	}
	slices.Sort(o.took)
	return o.took[len(o.took)*99/100]
}

// offer sends requests of an account at a rate per second for a time, without waiting for their responses.
func offer(gateways []*node, account string, rate int, span, deadline time.Duration, all *sync.WaitGroup) *offered {
	o := &offered{}
	r := rand.New(rand.NewPCG(uint64(rate), 5))
	all.Go(func() {
		for end := time.Now().Add(span); time.Now().Before(end); {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(rate)))
			g := gateways[r.IntN(len(gateways))]
			all.Go(func() {
				start := time.Now()
				answer := g.send(sending{account: account, method: "POST", body: "x", timeout: deadline})
				o.mu.Lock()
				defer o.mu.Unlock()
				if answer.outcome == "completed" && time.Since(start) <= deadline {
					o.good++
					o.took = append(o.took, time.Since(start))
				} else {
					o.lost++
				}
			})
		}
	})
	return o
}

// TestOverload guards against goodput that collapses when one account floods at 3 times the capacity, against
// well-behaved accounts that miss their deadline then, and against a gateway that does not recover by itself.
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
					e.takes = func() time.Duration { return overloadService }
					e.reportsArrival = c.reportsArrival
				}
				f.unsafe = func(n *node) {
					if unsafe {
						n.dispatcher.queueLocked("scan").UnsafeUnbounded()
					}
				}
				var g []*node
				for i := range c.gateways {
					g = append(g, f.start(fmt.Sprintf("vm-%d", i), "i", "fd-0", nil))
				}
				var all sync.WaitGroup
				full := offer(g, "orders", overloadRate, span, deadline, &all)
				all.Wait()
				flood := offer(g, "flood", 3*overloadRate, span, deadline, &all)
				modest := offer(g, "blades", overloadRate/4, span, deadline, &all)
				all.Wait()
				time.Sleep(time.Second)
				after := offer(g, "orders", overloadRate*8/10, span, deadline, &all)
				all.Wait()
				ratio := float64(flood.good+modest.good) / float64(full.good)
				t.Logf("goodput at capacity %d, at 3 times %d (ratio %.2f), modest account lost %d of %d with p99 %s, after %d lost of %d",
					full.good, flood.good+modest.good, ratio, modest.lost, modest.good+modest.lost, modest.p99(), after.lost,
					after.good+after.lost)
				kept := ratio >= 0.9 && modest.p99() < deadline && modest.lost*100 <= modest.good
				recovered := after.lost*100 <= after.good
				if !unsafe && (!kept || !recovered) {
					t.Error("overload is not contained")
				}
				if unsafe && kept {
					t.Error("overload is contained without the rules; the check shows nothing")
				}
			})
		})
	}
}
