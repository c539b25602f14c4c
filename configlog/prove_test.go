//go:build prove

package configlog

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// add adds the results of another run.
func (r *result) add(other *result) {
	r.violations, r.operations = append(r.violations, other.violations...), append(r.operations, other.operations...)
	r.accepted, r.unknown, r.skippedPatches = r.accepted+other.accepted, r.unknown+other.unknown, r.skippedPatches+other.skippedPatches
	r.delays, r.burstDelays = append(r.delays, other.delays...), append(r.burstDelays, other.burstDelays...)
}

// TestProve guards against violations of the checks in scenarios whose seeds derive from PROVE_SEED. It runs scenarios
// for at most 12 s and prints the number of violations.
func TestProve(t *testing.T) {
	seedText := os.Getenv("PROVE_SEED")
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		t.Fatalf("PROVE_SEED is %q, want an unsigned integer", seedText)
	}
	var all result
	var firstViolation string
	started, longestRun, runs := time.Now(), time.Duration(0), uint64(0)
	for ; time.Since(started)+2*longestRun < 12*time.Second; runs++ {
		runStarted := time.Now()
		res := runScenario(t, seed*1000+runs)
		longestRun = max(longestRun, time.Since(runStarted))
		if len(res.violations) > 0 && firstViolation == "" {
			firstViolation = fmt.Sprintf("scenario seed %d: %s", seed*1000+runs, res.violations[0])
		}
		all.add(res)
	}
	fmt.Printf("configlog: runs %d; %s\n", runs, all.summary())
	if firstViolation != "" {
		fmt.Println(firstViolation)
		t.Fail()
	}
	fmt.Printf("configlog: violations: %d\n", len(all.violations))
}
