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
	return fmt.Sprintf("operations %d accepted %d unknown %d voided %d; in force p50 %v p99 %v max %v of %d",
		len(r.operations), r.accepted, r.unknown, r.voided, percentile(r.delays, 50), percentile(r.delays, 99),
		percentile(r.delays, 100), len(r.delays))
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
	started := time.Now()
	var violations, runs int
	var first, summary string
	longest := time.Duration(0)
	for time.Since(started)+2*longest < 12*time.Second {
		began := time.Now()
		runSeed := seed*1000 + uint64(runs)
		res := runScenario(t, runSeed)
		longest = max(longest, time.Since(began))
		runs++
		if len(res.violations) > 0 && first == "" {
			first = fmt.Sprintf("scenario seed %d: %s", runSeed, res.violations[0])
		}
		violations += len(res.violations)
		summary = res.summary()
	}
	fmt.Printf("configlog: runs: %d; last: %s\n", runs, summary)
	if first != "" {
		fmt.Println(first)
		t.Fail()
	}
	fmt.Printf("configlog: violations: %d\n", violations)
}
