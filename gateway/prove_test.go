//go:build prove

package gateway

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// TestProve runs scenarios for 8 s of real time and prints the number of violations as its last line. The seeds follow
// from PROVE_SEED.
func TestProve(t *testing.T) {
	text := os.Getenv("PROVE_SEED")
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("PROVE_SEED is %q", text)
	}
	start := time.Now()
	var first string
	total, scenarios := 0, 0
	for time.Since(start) < 8*time.Second {
		violations, trace, _ := runScenario(t, seed+uint64(scenarios)*1_000_003, nil)
		scenarios++
		if total == 0 && len(violations) > 0 {
			first = fmt.Sprintf("%s; faults: %q", violations[0], trace)
		}
		total += len(violations)
	}
	if total > 0 {
		t.Errorf("first violation: %s", first)
		fmt.Printf("gateway: first violation: %s\n", first)
	}
	fmt.Printf("gateway: %d scenarios of %s\n", scenarios, scenarioTime)
	fmt.Printf("gateway: violations: %d\n", total)
}
