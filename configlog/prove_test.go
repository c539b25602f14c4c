package configlog

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

func percentile(delays []time.Duration, p int) time.Duration {
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[min(len(delays)*p/100, len(delays)-1)].Round(time.Millisecond)
}

func (r *result) summary() string {
	return fmt.Sprintf("operations %d accepted %d unknown %d voided %d; in force at the planned rate p50 %v p99 %v of %d, in bursts p50 %v p99 %v of %d",
		len(r.operations), r.accepted, r.unknown, r.voided, percentile(r.delays, 50), percentile(r.delays, 99), len(r.delays),
		percentile(r.burstDelays, 50), percentile(r.burstDelays, 99), len(r.burstDelays))
}

// add adds what another run showed.
func (r *result) add(o *result) {
	r.violations, r.operations = append(r.violations, o.violations...), append(r.operations, o.operations...)
	r.accepted, r.unknown, r.voided = r.accepted+o.accepted, r.unknown+o.unknown, r.voided+o.voided
	r.delays, r.burstDelays = append(r.delays, o.delays...), append(r.burstDelays, o.burstDelays...)
}

// TestScenario guards against lost, doubled or reverted changes, divergence between followers, and changes that take
// longer than 8 s, under faults in combination.
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

// TestProve runs scenarios from PROVE_SEED on for at most 12 s and prints the number of violations.
func TestProve(t *testing.T) {
	text := os.Getenv("PROVE_SEED")
	if text == "" {
		t.Skip("PROVE_SEED is not set")
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("PROVE_SEED=%q is no number", text)
	}
	var all result
	var first string
	started, longest, runs := time.Now(), time.Duration(0), uint64(0)
	for ; time.Since(started)+2*longest < 12*time.Second; runs++ {
		began := time.Now()
		res := runScenario(t, seed*1000+runs)
		longest = max(longest, time.Since(began))
		if len(res.violations) > 0 && first == "" {
			first = fmt.Sprintf("scenario seed %d: %s", seed*1000+runs, res.violations[0])
		}
		all.add(res)
	}
	fmt.Printf("configlog: runs %d; %s\n", runs, all.summary())
	if first != "" {
		fmt.Println(first)
		t.Fail()
	}
	fmt.Printf("configlog: violations: %d\n", len(all.violations))
}
