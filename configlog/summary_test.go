package configlog

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// percentile sorts delays and returns their p-th percentile, rounded to milliseconds, 0 if there are none.
func percentile(delays []time.Duration, p int) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[min(len(delays)*p/100, len(delays)-1)].Round(time.Millisecond)
}

func (r *result) summary() string {
	return fmt.Sprintf("operations %d accepted %d unknown %d voided %d; in force at the planned rate p50 %v p99 %v of %d, in bursts p50 %v p99 %v of %d",
		len(r.operations), r.accepted, r.unknown, r.skippedPatches, percentile(r.delays, 50), percentile(r.delays, 99), len(r.delays),
		percentile(r.burstDelays, 50), percentile(r.burstDelays, 99), len(r.burstDelays))
}

// TestScenario guards against lost, duplicated or reverted changes, divergence between followers, and changes that take
// more than 8 s to be in force, under combinations of faults.
func TestScenario(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			started := time.Now()
			res := runScenario(t, seed+1)
			t.Logf("seed %d: %s; %v", seed+1, res.summary(), time.Since(started).Round(time.Millisecond))
			for _, v := range res.violations {
				t.Error(v)
			}
		})
	}
}
