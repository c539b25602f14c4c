package dispatch

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// startWindow is the time after its start in which a run is suspected first if its worker crashes.
	startWindow = time.Second
	// minCertainCrashes is the number of crashes that must have happened during runs of a task before it is given up.
	minCertainCrashes = 2
	// The number of crashes, certain or not, after which a task is given up: soleSuspectCrashes if it was the only suspect of the
	// last one, suspectCrashes if it was one of several, maxCrashes if it ran on the worker and was none.
	soleSuspectCrashes = 2
	suspectCrashes     = 3
	maxCrashes         = 4
	// maxUncertainCrashes is the number of crashes after which a task is given up although fewer than minCertainCrashes are certain,
	// because its workers crash before they respond. Users allow two starts after three crashes, and the first crash may stay unnoticed,
	// if the holder of the schedule changes before it learns of it.
	maxUncertainCrashes = 4
)

// recordCrash counts the crash of a worker's process against the tasks that ran there, or may have, and returns the units to give
// up. lost holds the worker's runs. proven is true if another process was seen. Otherwise the worker was missing from the worker list
// since a takeover, or refused connections until its lease expired; a crash is the most frequent cause of both and counts as uncertain.
func (c *Core) recordCrash(w *worker, lost []*placement, proven bool) []*unit {
	if w.info.Draining {
		// The process has ended as announced.
		return nil
	}
	suspects := c.suspects(w, lost)
	var guilty []*unit
	for _, p := range lost {
		if p.unit == nil || p.gangDone || p.crashCounted || p.unit.state.Status != workload.UnitActive {
			continue
		}
		p.crashCounted = true
		crashes := p.unit.state.AddCrash(p.member, proven && p.ranUntilCrash())
		c.markChanged(p.unit.step.job)
		c.event(Event{Name: "worker crashed", Job: p.ref.Task.Job, Worker: w.id, Detail: fmt.Sprintf(
			"%v run %d was there: crash %d of the task, %d certain, %d suspects", p.ref.Task, p.ref.Run, crashes.Count, crashes.Certain, len(suspects))})
		if exceedsCrashLimit(crashes, suspects, p.unit) {
			guilty = append(guilty, p.unit)
		}
	}
	return guilty
}

// ranUntilCrash reports whether the run is certain to have been under way when its worker crashed. It is not if the start had no
// response, if an earlier holder has sent the start, if the run was being stopped, or if the worker had been silent before, as the run
// may have ended meanwhile. An end that the worker would have listed in the moment of the crash is missed.
func (p *placement) ranUntilCrash() bool {
	return p.live() && p.confirmedAt >= 0 && !p.unverified && (p.worker.reachable || !p.worker.silent)
}

// exceedsCrashLimit reports whether the unit is to be given up with these crashes of one of its tasks, after a crash with these
// suspects.
func exceedsCrashLimit(crashes workload.MemberCrashes, suspects map[*unit]bool, u *unit) bool {
	limit := maxCrashes
	switch {
	case suspects[u] && len(suspects) == 1:
		limit = soleSuspectCrashes
	case suspects[u]:
		limit = suspectCrashes
	}
	return crashes.Certain >= minCertainCrashes && crashes.Count >= limit || crashes.Count >= maxUncertainCrashes
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
