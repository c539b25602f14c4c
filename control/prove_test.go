//go:build prove

package control

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestProve runs scenarios for 10 s of real time, with seeds that start at PROVE_SEED times 1,000,000. It guards against the
// same failures as TestScenario.
func TestProve(t *testing.T) {
	base, err := strconv.ParseUint(os.Getenv("PROVE_SEED"), 10, 64)
	if err != nil {
		t.Fatal("set PROVE_SEED to a number")
	}
	total, runs := 0, uint64(0)
	for start := time.Now(); time.Since(start) < 10*time.Second; runs++ {
		seed := base*1_000_000 + runs
		changes := []func(*scenario){retain(20)}[:runs%2]
		violations, events := runScenario(t, seed, changes...)
		if total == 0 && len(violations) > 0 {
			writeTrace(t, seed, events)
			t.Errorf("seed %d: %s", seed, violations[0])
			for _, event := range events[max(0, firstViolation(events)-40) : firstViolation(events)+1] {
				fmt.Println(event)
			}
		}
		total += len(violations)
	}
	fmt.Printf("control: runs: %d\n", runs)
	fmt.Printf("control: violations: %d\n", total)
}

// firstViolation returns the index of the first violation in a trace, or of the last event if there is none.
func firstViolation(events []string) int {
	for i, event := range events {
		if strings.Contains(event, "VIOLATION") {
			return i
		}
	}
	return len(events) - 1
}
