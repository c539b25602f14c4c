package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/jobs"
)

// TestChecksNoticeMissingMechanisms guards against checks that can never fail: with each mechanism disabled, some seed must
// cause the violation that the mechanism prevents.
func TestChecksNoticeMissingMechanisms(t *testing.T) {
	option := func(set func(*Options)) func(*scenario) {
		return func(s *scenario) { s.options = set }
	}
	cases := map[string]struct {
		change    func(*scenario)
		violation string
	}{
		"intent of run-once jobs": {func(s *scenario) {
			// Crashes of schedulers and workers at the same time leave jobs that no inventory shows.
			s.faultKinds = []int{0, 4, 4}
			s.options = func(o *Options) { o.withoutIntentCheck = true }
		}, "run-once member"},
		"wait for leases to lapse": {option(func(o *Options) { o.withoutExpiryWait = true }), "at once"},
		"stop of gangs after a loss": {func(s *scenario) {
			// Tasks must run for longer than the time during which a gang may run partially.
			s.faultKinds = []int{4}
			for _, w := range s.workers {
				w.extraRunTime = 2 * gang.DivergenceBound
			}
			s.options = func(o *Options) { o.withoutLossReports = true }
		}, "differ since"},
		"snapshots": {retain(1_000_000), "is not known any more"},
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
			t.Fatal("no seed caused a violation although the mechanism was disabled")
		})
	}
}

// TestRunOnceWithoutTraceIsUnknown guards against a second run of a run-once job whose workers all restarted while no
// scheduler was running, so that no inventory shows the first run. With the intent check disabled the job must run twice;
// otherwise the test would prove nothing.
func TestRunOnceWithoutTraceIsUnknown(t *testing.T) {
	for name, without := range map[string]bool{"with intent check": false, "without intent check": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startScenario(t)
				s.options = func(o *Options) { o.withoutIntentCheck = without }
				s.submitJob("o5-job", 5, true)
				time.Sleep(2 * time.Second)
				s.stop(0, true)
				s.stop(1, true)
				for _, w := range s.workers {
					w.kill()
					w.revive()
				}
				s.launch(t, 0)
				s.launch(t, 1)
				time.Sleep(60 * time.Second)
				e, _ := s.foldLog().Get("o5-job")
				runs := s.onceRuns["o5-job/0"]
				if without != (runs == 2) || without != (e.State() != jobs.StateUnknown) {
					t.Errorf("member 0 ran %d times, state %s", runs, e.State())
				}
				s.shutDown()
			})
		})
	}
}
