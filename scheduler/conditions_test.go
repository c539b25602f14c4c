package scheduler

import "testing"

// TestConditionsNameQuarantinedWorkers guards against a worker that is out of use without being reported to operators.
func TestConditionsNameQuarantinedWorkers(t *testing.T) {
	f := newFixture(t, 2, nil)
	if c := f.core.Conditions(); len(c.Quarantined) != 0 {
		t.Fatalf("quarantined before any failure: %+v", c)
	}
	f.core.quarantine(f.core.workers["w-01"])
	f.planAndStart()
	c := f.core.Conditions()
	if len(c.Quarantined) != 1 || c.Quarantined[0].Worker != "w-01" || !c.Quarantined[0].Until.Equal(f.now.Add(quarantineTime)) {
		t.Fatalf("got %+v", c)
	}
	f.advance(quarantineTime)
	f.planAndStart()
	if c := f.core.Conditions(); len(c.Quarantined) != 0 {
		t.Fatalf("still quarantined after the quarantine time: %+v", c)
	}
}
