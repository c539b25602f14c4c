//go:build prove

package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// TestProve guards against violations of the invariants and scheduling rules in up to 40 random scenarios, whose seeds
// derive from PROVE_SEED. It starts no further scenario after 6 s. make prove calls it.
func TestProve(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("PROVE_SEED"), 10, 64)
	if err != nil {
		t.Fatal("PROVE_SEED is not set to an unsigned integer")
	}
	began := time.Now()
	total, first := 0, ""
	for i := uint64(0); i < 40 && time.Since(began) < 6*time.Second; i++ {
		v := runScenario(t, seed*1000+i, options{})
		if len(v) > 0 && first == "" {
			first = fmt.Sprintf("scenario %d: %s", seed*1000+i, v[0])
		}
		total += len(v)
	}
	if total > 0 {
		fmt.Println("scheduler: first violation:", first)
		t.Fail()
	}
	fmt.Printf("scheduler: violations: %d\n", total)
}
