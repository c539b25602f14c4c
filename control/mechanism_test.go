package control

import "testing"

// TestChecksNoticeMissingMechanisms guards against vacuous checks: without each mechanism some seed must violate one.
func TestChecksNoticeMissingMechanisms(t *testing.T) {
	option := func(set func(*Options)) func(*scenario) {
		return func(s *scenario) { s.options = set }
	}
	cases := map[string]func(*scenario){
		"intent of run-once jobs":    option(func(o *Options) { o.withoutIntentCheck = true }),
		"wait for leases to lapse":   option(func(o *Options) { o.withoutLapseWait = true }),
		"stop of gangs after a loss": option(func(o *Options) { o.withoutLossReports = true }),
		"fencing by workers and lease": func(s *scenario) {
			s.options = func(o *Options) { o.withoutLeaseCheck = true }
			for _, w := range s.workers {
				w.unfenced = true
			}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				if violations, _ := runScenario(t, seed, change); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatal("no violation without the mechanism")
		})
	}
}
