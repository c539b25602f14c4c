package dispatch

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// startWindow is the time after its start in which a run is suspected first if its worker crashes.
	startWindow = time.Second
	// soleSuspectCrashes is the number of crashes after which a task is given up that was the only suspect of the last one.
	soleSuspectCrashes = 2
	// suspectCrashes is the same for one of several suspects.
	suspectCrashes = 3
	// maxCrashes is the same for any task that ran on the worker. Users allow two starts after three crashes; one crash may stay
	// unnoticed, if the holder of the schedule changes before it learns of the crash.
	maxCrashes = 4
)

// recordCrash counts the crash of a worker's process against the tasks that ran there and returns the units to give up. lost
// holds the worker's runs. Runs that may not have begun, or may have ended, are not counted, except those that an earlier holder
// started: it stored them just before it sent their starts, and frequent takeovers would hide most crashes.
func (c *Core) recordCrash(w *worker, lost []*placement) []*unit {
	if w.info.Draining {
		// The process has ended as announced.
		return nil
	}
	suspects := c.suspects(w, lost)
	var guilty []*unit
	for _, p := range lost {
		if !p.ranUntilCrash() && !p.restoredUntilCrash() {
			continue
		}
		crashes := p.unit.state.AddCrash(p.member)
		c.markChanged(p.unit.step.job)
		c.event(Event{Name: "worker crashed", Job: p.ref.Task.Job, Worker: w.id, Detail: fmt.Sprintf(
			"%v run %d was there: crash %d of the task, %d suspects", p.ref.Task, p.ref.Run, crashes, len(suspects))})
		if crashes >= crashLimit(suspects, p) {
			guilty = append(guilty, p.unit)
		}
	}
	return guilty
}

// ranUntilCrash reports whether the run had begun and is not known to have ended, or to be about to end, when its worker crashed.
func (p *placement) ranUntilCrash() bool {
	return p.live() && !p.unverified && p.confirmedAt >= 0 && p.unit.state.Status == workload.UnitActive
}

// restoredUntilCrash reports whether an earlier holder started the run and its worker crashed before it listed its runs to this one.
func (p *placement) restoredUntilCrash() bool {
	return p.live() && p.unverified && p.unit.state.Status == workload.UnitActive
}

// suspects returns the units that may have crashed the worker: those of which a run began there shortly before, or may have; if
// there are none, all that ran there.
func (c *Core) suspects(w *worker, lost []*placement) map[*unit]bool {
	crashedAt := c.now
	if !w.reachable {
		crashedAt = w.unreachableAt
	}
	recent, all := map[*unit]bool{}, map[*unit]bool{}
	for _, p := range lost {
		if !p.live() {
			continue
		}
		all[p.unit] = true
		unconfirmed := p.confirmedAt < 0 && !p.unverified
		if unconfirmed || p.beganAt >= 0 && crashedAt-p.beganAt <= startWindow {
			recent[p.unit] = true
		}
	}
	if len(recent) == 0 {
		return all
	}
	return recent
}

// crashLimit returns the number of crashes at which the unit of the run is given up after a crash with these suspects.
func crashLimit(suspects map[*unit]bool, p *placement) int {
	switch {
	case p.unverified:
		// Its start may not have been sent, so that the run alone proves nothing.
		return suspectCrashes
	case !suspects[p.unit]:
		return maxCrashes
	case len(suspects) == 1:
		return soleSuspectCrashes
	}
	return suspectCrashes
}

// recordAtWork discards the crashes of a long-running task that has reached its working state: it does not crash the workers that
// start it, and over its long life workers crash for other reasons.
func (c *Core) recordAtWork(p *placement, percent int) {
	u := p.unit
	if u.step.spec.LongRunning && percent >= 100 && u.state.ClearCrashes(p.member) {
		c.markChanged(u.step.job)
	}
}

// giveUp ends the job of a unit under which too many workers have crashed.
func (c *Core) giveUp(u *unit) {
	j := u.step.job
	if j.phase.Final() {
		return
	}
	c.event(Event{Name: "job failed", Job: j.spec.ID, Detail: fmt.Sprintf("%v: workers crashed under it", u.task(0))})
	c.finishJob(j, workload.PhaseFailed)
}

// onTrial reports whether a worker has crashed under the unit before. Such a unit starts apart from others where possible, so
// that a further crash shows which of them is to blame.
func (u *unit) onTrial() bool { return len(u.state.Crashes) > 0 }

// recordStart records the start of a unit on the worker for the attribution of a crash.
func (w *worker) recordStart(u *unit, now time.Duration) {
	w.lastStartAt = now
	if u.onTrial() {
		w.trialUntil = now + startWindow
	}
}

// sharesTrial reports whether a start of the unit on the worker now would leave open which run is to blame for a crash.
func (c *Core) sharesTrial(u *unit, w *worker) bool {
	if w.trialUntil > c.now {
		return true
	}
	return u.onTrial() && w.lastStartAt > 0 && c.now-w.lastStartAt < startWindow
}
