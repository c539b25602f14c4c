package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"github.com/redwingthread/redwingthread/evacuation"
)

// SetEvacuations sets the failure domains that are evacuated: from now on nothing starts on their workers. Starts there that had no
// response are abandoned, so that a late execution ends; runs that have begun stay.
func (c *Core) SetEvacuations(set evacuation.Set) {
	if set.Equal(c.evacuations) {
		return
	}
	c.evacuations = set
	workers, running, withdrawn := 0, 0, 0
	for _, w := range c.sortedWorkers {
		withdrawn += c.updateEvacuated(w)
		if w.evacuated {
			workers++
			running += len(w.runs)
		}
	}
	c.event(Event{Name: "evacuations changed", Detail: fmt.Sprintf("evacuated: [%s], %d workers with %d runs; %d starts withdrawn",
		strings.Join(set.Domains(), " "), workers, running, withdrawn)})
}

// SuspendStarts makes the core start nothing, and stop nothing to start it elsewhere, until it is called with false: the owner does
// not know the present evacuations.
func (c *Core) SuspendStarts(suspend bool) { c.evacuationsUnknown = suspend }

// updateEvacuated updates whether the worker is evacuated, after a change of the evacuations or of its entry, and returns the number
// of starts that were abandoned.
func (c *Core) updateEvacuated(w *worker) int {
	evacuated := w.registered && c.evacuations.Contains(w.info.FailureDomain)
	if evacuated == w.evacuated {
		return 0
	}
	w.evacuated = evacuated
	if !evacuated {
		return 0
	}
	abandoned := 0
	for _, p := range w.startsWithoutResponse() {
		if p.live() {
			c.AbandonStart(w.id, p.ref, "the failure domain is evacuated")
			abandoned++
		}
	}
	return abandoned
}

// evacuatedMember reports whether part of the claim is on an evacuated worker.
func (cl *claim) evacuatedMember() bool {
	for w := range cl.members {
		if w.evacuated {
			return true
		}
	}
	return false
}

// rackEvacuated reports whether the rack has workers and all of them are evacuated, as of the current plan.
func (c *Core) rackEvacuated(rack string) bool { return c.evacuatedRacks[rack] }

// dataRack returns the rack of the step's data; empty if there is none or the rack is evacuated, for which the step must not wait.
func (c *Core) dataRack(s *step) string {
	if c.rackEvacuated(s.spec.DataRack) {
		return ""
	}
	return s.spec.DataRack
}

// moveEvacuated moves long-running units off evacuated workers, as far as each step allows that its tasks are unavailable and there is
// room for them elsewhere. All other runs stay until they end.
func (c *Core) moveEvacuated() {
	for _, w := range c.sortedWorkers {
		if !w.evacuated || !w.reachable {
			continue
		}
		for _, p := range w.sortedRuns() {
			if p.live() && p.unit.mayBeMissing() && c.speedElsewhere(p.unit) > 0 {
				c.event(Event{Name: "run moved off an evacuated worker", Job: p.ref.Task.Job, Worker: w.id, Detail: p.ref.Task.String()})
				c.abortRun(p.unit, "the failure domain is evacuated")
			}
		}
	}
}

// mayBeMissing reports whether the long-running unit may be stopped for the sake of the scheduler: its step allows that many tasks to
// be unavailable, in addition to those that are already.
func (u *unit) mayBeMissing() bool {
	s := u.step
	if !s.spec.LongRunning || u.aborting || s.spec.MaxUnavailable < u.size {
		return false
	}
	missing := u.size
	for _, o := range s.units {
		if o != u && !o.atWork() {
			missing += o.size
		}
	}
	return missing <= s.spec.MaxUnavailable
}

// atWork reports whether all tasks of the long-running unit are listed in their working state.
func (u *unit) atWork() bool {
	return !u.aborting && len(u.placements) == u.size && !slices.ContainsFunc(u.placements, func(p *placement) bool {
		return !p.live() || p.percent < 100
	})
}
