package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// startWindow is the time after its start in which a run is suspected first if its worker crashes.
	startWindow = time.Second
	// A suspect of a crash is given up after suspectCrashes crashes, of which minCertainCrashes must be certain: a run that has just
	// ended may be lost with its worker before its end is listed, and then counts in error.
	suspectCrashes    = 3
	minCertainCrashes = 2
	// maxCrashes is the number of crashes, certain or not, after which any task is given up. Users allow two starts after three crashes,
	// and one crash may stay unnoticed, if the holder of the schedule changes before it learns of it.
	maxCrashes = 4
)

// recordCrash counts the crash of a worker's process against the tasks that ran there, or may have, and returns the units to give
// up. lost holds the worker's runs. proven is true if another process was seen. Otherwise the worker was missing from the worker list
// since a takeover, or refused connections until its lease expired; a crash is the most frequent cause of both and counts as uncertain.
func (c *Core) recordCrash(w *worker, lost []*placement, proven bool) []*unit {
	lost = slices.DeleteFunc(slices.Clone(lost), (*placement).leftAsAnnounced)
	suspects := c.suspects(w, lost)
	var toGiveUp []*unit
	for _, p := range lost {
		if p.unit == nil || p.gangDone || p.crashCounted || p.unit.state.Status != workload.UnitActive {
			continue
		}
		crashes := c.countCrash(p, proven, len(suspects))
		if exceedsCrashLimit(crashes, suspects[p.unit] && p.beganAt >= 0) {
			toGiveUp = append(toGiveUp, p.unit)
		}
	}
	return toGiveUp
}

// leftAsAnnounced reports whether the run's process has announced that it leaves. The worker's entry may be that of the next process by
// now.
func (p *placement) leftAsAnnounced() bool {
	w := p.worker
	if p.incarnation == 0 || w.info.Incarnation == 0 {
		return w.info.Draining
	}
	return p.incarnation == w.drainingIncarnation
}

// countCrash counts a crash against the task of the run and returns the task's counts. suspects is the number of units that may have
// caused the crash, for the log.
func (c *Core) countCrash(p *placement, proven bool, suspects int) workload.MemberCrashes {
	p.crashCounted = true
	crashes := p.unit.state.AddCrash(p.member, proven && p.ranUntilCrash())
	c.markChanged(p.unit.step.job)
	detail := fmt.Sprintf("%v run %d was there: crash %d of the task, %d certain, %d suspects",
		p.ref.Task, p.ref.Run, crashes.Count, crashes.Certain, suspects)
	c.event(Event{Name: "worker crashed", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: detail})
	return crashes
}

// exceedsCrashLimit reports whether a task with these crashes is given up; suspected is true if it has begun on the worker that crashed
// last and may have been the cause. A start of which nothing is known may as well have been lost on its way.
func exceedsCrashLimit(crashes workload.MemberCrashes, suspected bool) bool {
	if suspected && crashes.Certain >= minCertainCrashes && crashes.Count >= suspectCrashes {
		return true
	}
	return crashes.Count >= maxCrashes
}

// ranUntilCrash reports whether the run is certain to have been under way when its worker crashed. It is not if the start had no
// response, if an earlier holder has sent the start and the run was not listed since, if the run was being stopped, or if the worker was
// silent for some time, as the run may have ended meanwhile. An end that was not listed before the crash is not known here, so that such
// a run counts as certain.
func (p *placement) ranUntilCrash() bool {
	return p.liveUntilCrash() && p.beganAt >= 0 && p.confirmedAt >= 0 && (p.worker.reachable || !p.worker.silent)
}

// liveUntilCrash reports whether the run was live when its worker's connection ended. A stop that was issued after that does not
// matter: the other members of a gang end at once and stop the run, long before the crash is known.
func (p *placement) liveUntilCrash() bool {
	w := p.worker
	return p.live() || p.unit != nil && !p.gangDone && !w.reachable && p.stopSentAt >= w.unreachableAt
}

// suspects returns the units that may have caused the crash of the worker: those of which a run began there shortly before, or may
// have; if there are none, all that ran there.
func (c *Core) suspects(w *worker, lost []*placement) map[*unit]bool {
	crashedAt := c.now
	if !w.reachable {
		crashedAt = w.unreachableAt
	}
	recent, all := map[*unit]bool{}, map[*unit]bool{}
	for _, p := range lost {
		if !p.liveUntilCrash() {
			continue
		}
		all[p.unit] = true
		unconfirmed := p.confirmedAt < 0 && p.beganAt < 0 && !p.unverified
		if unconfirmed || p.beganAt >= 0 && !p.restored && crashedAt-p.beganAt <= startWindow {
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

// hasCrashes reports whether a worker has crashed under the unit before. Such a unit starts apart from others where possible, so
// that a further crash shows which of them is the cause.
func (u *unit) hasCrashes() bool { return len(u.state.Crashes) > 0 }

// recordStart updates the times by which a crash of the worker is attributed, after a start of the unit there was decided and again once it
// has begun: it may have been refused for a while.
func (w *worker) recordStart(u *unit, now time.Duration) {
	w.lastStartAt = now
	if u.hasCrashes() {
		w.isolatedUntil = now + startWindow
	}
}

// crashWouldBeAmbiguous reports whether a start of the unit on the worker now would leave open which run is the cause of a crash.
func (c *Core) crashWouldBeAmbiguous(u *unit, w *worker) bool {
	if w.isolatedUntil > c.now {
		return true
	}
	return u.hasCrashes() && w.lastStartAt > 0 && c.now-w.lastStartAt < startWindow
}
