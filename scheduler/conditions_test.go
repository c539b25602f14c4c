package scheduler

import "testing"

// TestConditionsNameQuarantinedWorkers guards against a quarantined worker that is not reported to operators, and
// against one that is still reported after its quarantine.
func TestConditionsNameQuarantinedWorkers(t *testing.T) {
	f := newFixture(t, 2, nil)
	if c := f.core.Conditions(); len(c.Quarantined) != 0 {
		t.Fatalf("workers are quarantined before any failure: %+v", c)
	}
	f.core.quarantine(f.core.workers["w-01"])
	f.planAndStart()
	c := f.core.Conditions()
	if len(c.Quarantined) != 1 || c.Quarantined[0].Worker != "w-01" || !c.Quarantined[0].Until.Equal(f.now.Add(quarantineTime)) {
		t.Fatalf("got conditions %+v, want worker w-01 quarantined until quarantineTime from now", c)
	}
	f.advance(quarantineTime)
	f.planAndStart()
	if c := f.core.Conditions(); len(c.Quarantined) != 0 {
		t.Fatalf("workers are still quarantined after the quarantine time: %+v", c)
	}
}
