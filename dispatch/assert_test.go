package dispatch

import (
	"testing"

	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/workload"
)

// collectViolations returns a collector of the assertions that fail from now until the end of the test.
func collectViolations(t testing.TB) *invariant.Collector {
	log := &invariant.Collector{}
	t.Cleanup(invariant.SetRecorder(log.Record))
	return log
}

// TestAssertionsReportViolations guards against assertions that detect nothing: each case violates one of them.
func TestAssertionsReportViolations(t *testing.T) {
	cases := map[string]struct {
		want    invariant.ID
		violate func(c *Core, u *unit, w *worker)
	}{
		"start of a part of a gang": {invariant.GangAllOrNothing, func(c *Core, u *unit, w *worker) { c.start(u, []*worker{w}) }},
		"start beside a run": {invariant.AtMostOnce, func(c *Core, u *unit, w *worker) {
			c.start(u, []*worker{w, w})
			c.start(u, []*worker{w, w})
		}},
		"start after the end": {invariant.AtMostOnce, func(c *Core, u *unit, w *worker) {
			u.step.job.phase = workload.PhaseCancelled
			c.start(u, []*worker{w, w})
		}},
		"start on a leaving worker": {invariant.LeavingGetsNoWork, func(c *Core, u *unit, w *worker) {
			w.info.Draining = true
			c.start(u, []*worker{w, w})
		}},
		"start on an evacuated worker": {invariant.LeavingGetsNoWork, func(c *Core, u *unit, w *worker) {
			c.SetEvacuations(evacuation.NewSet(w.info.FailureDomain))
			c.start(u, []*worker{w, w})
		}},
		"placement twice": {invariant.AtMostOnce, func(c *Core, u *unit, w *worker) {
			c.attach(u.newPlacement(0, w))
			c.attach(u.newPlacement(0, w))
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			log := collectViolations(t)
			c.submit("a", "normal", "large", gangOf(2, 4))
			c.core.readySteps()
			test.violate(c.core, c.core.jobs["a"].repetitions.steps(0)[0].units[0], c.core.workers["w00"])
			found := false
			for _, v := range log.Violations() {
				found = found || v.ID == test.want
			}
			if !found {
				t.Errorf("no violation of %s among %v", test.want, log.Violations())
			}
		})
	}
}
