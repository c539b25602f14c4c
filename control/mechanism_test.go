package control

import (
	"strings"
	"testing"
)

// TestChecksNoticeMissingMechanisms guards against vacuous checks: without each mechanism some seed must give the
// violation that the mechanism prevents.
func TestChecksNoticeMissingMechanisms(t *testing.T) {
	option := func(set func(*Options)) func(*scenario) {
		return func(s *scenario) { s.options = set }
	}
	cases := map[string]struct {
		change    func(*scenario)
		violation string
	}{
		"intent of run-once jobs":    {option(func(o *Options) { o.withoutIntentCheck = true }), "run-once member"},
		"wait for leases to lapse":   {option(func(o *Options) { o.withoutLapseWait = true }), "at once"},
		"stop of gangs after a loss": {option(func(o *Options) { o.withoutLossReports = true }), "differ since"},
		"snapshots":                  {retain(1_000_000), "is not known any more"},
		"lease and fencing": {func(s *scenario) {
			s.options = func(o *Options) { o.withoutLeaseCheck = true }
			for _, w := range s.workers {
				w.unfenced = true
			}
		}, "had effect for"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				violations, _ := runScenario(t, seed, c.change)
				for _, violation := range violations {
					if strings.Contains(violation, c.violation) {
						t.Logf("seed %d: %s", seed, violation)
						return
					}
				}
			}
			t.Fatal("no violation without the mechanism")
		})
	}
}
