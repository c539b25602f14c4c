//go:build prove

package configlog

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// add adds what another run showed.
func (r *result) add(o *result) {
	r.violations, r.operations = append(r.violations, o.violations...), append(r.operations, o.operations...)
	r.accepted, r.unknown, r.voided = r.accepted+o.accepted, r.unknown+o.unknown, r.voided+o.voided
	r.delays, r.burstDelays = append(r.delays, o.delays...), append(r.burstDelays, o.burstDelays...)
}

// TestProve runs scenarios from PROVE_SEED on for at most 12 s and prints the number of violations.
func TestProve(t *testing.T) {
	text := os.Getenv("PROVE_SEED")
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
