package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// stopRetryMargin is added to Options.StopTimeout before a stop is sent again.
const stopRetryMargin = 500 * time.Millisecond

// demand returns the resources that the run uses on its worker.
func (p *placement) demand() resource.Resources {
	if p.unit == nil {
		return p.orphanDemand
	}
	return p.unit.step.spec.EffectiveDemand()
}

// task returns the id of a member's task; member is 0 for a single task.
func (u *unit) task(member int) workload.TaskID {
	s := u.step
	index := u.index
	if s.spec.Gang {
		index = member
	}
	return workload.TaskID{Job: s.job.spec.ID, Repetition: s.repetition, Step: s.index, Index: index}
}

func (u *unit) newPlacement(member int, w *worker) *placement {
	return &placement{
		unit: u, member: member, worker: w, incarnation: w.incarnation, confirmedAt: never, beganAt: never, percentAt: never,
		ref: workload.RunRef{Task: u.task(member), Run: u.state.Run}, partial: u.state.Checkpoint != "",
	}
}

// live reports whether the placement belongs to a unit, is not being stopped, and is no member of a gang that is done.
func (p *placement) live() bool { return p.unit != nil && !p.stopping && !p.gangDone }

// attach counts the placement against its worker and account.
func (c *Core) attach(p *placement) {
	assertNotPlaced(p)
	p.worker.runs[p.ref] = p
	p.worker.used = p.worker.used.Add(p.demand())
	if p.unit == nil {
		return
	}
	c.placed++
	p.unit.placements = append(p.unit.placements, p)
	p.unit.step.job.placements++
	c.adjustAccountUse(p, 1)
}

// detach reverts attach, and removes the worker if nothing is known of it any more.
func (c *Core) detach(p *placement) {
	if p.unit != nil && p.unit.step.job.policy.Priority == 0 {
		p.worker.urgentEndedAt = c.now
	}
	p.setAwaiting(false)
	delete(p.worker.runs, p.ref)
	p.worker.used = p.worker.used.Sub(p.demand())
	if p.unit != nil {
		c.placed--
		p.unit.placements = slices.DeleteFunc(p.unit.placements, func(o *placement) bool { return o == p })
		p.unit.step.job.placements--
		c.adjustAccountUse(p, -1)
	}
	c.removeIfUnused(p.worker)
}

// adjustAccountUse adds sign times the accelerators of a placement of priority 0 to its account's use. Work that still runs on an
// evacuated worker counts: it uses what the account is owed.
func (c *Core) adjustAccountUse(p *placement, sign int) {
	j := p.unit.step.job
	if j.policy.Priority == 0 {
		c.accountUse[j.spec.Account] += sign * p.unit.step.spec.Demand.Accelerators
		c.placedUrgent += sign
	}
}

// start begins a new run of the unit on the given workers, one per member.
func (c *Core) start(u *unit, workers []*worker) {
	c.assertStart(u, workers)
	j := u.step.job
	u.state.Run++
	u.state.Status = workload.UnitActive
	u.startedAt, u.begun = c.now, false
	c.noteOverloadedStart(u)
	c.freeAccelerators += u.step.claimedAccelerators() - u.size*u.step.spec.Demand.Accelerators
	u.step.claim = nil
	for member, w := range workers {
		p := u.newPlacement(member, w)
		c.attach(p)
		w.recordStart(u, c.now)
		c.countStart(p)
		c.issueStart(p, false)
	}
	c.markChanged(j)
}

// issueStart issues the start of a placement. repeated is true if an earlier holder may have sent it.
func (c *Core) issueStart(p *placement, repeated bool) {
	p.setAwaiting(true)
	c.starts = append(c.starts, Start{
		Ref:           p.ref,
		Worker:        p.worker.id,
		Incarnation:   p.incarnation,
		Specification: p.unit.step.job.spec.Specification,
		Checkpoint:    p.unit.state.Checkpoint,
		Repeated:      repeated,
		Urgent:        p.unit.step.job.policy.Priority == 0,
	})
}

// stop issues a stop for a placement unless one was issued before. Its capacity stays in use until the worker lists the end.
func (c *Core) stop(p *placement, reason string) {
	if p.stopping {
		return
	}
	p.stopping = true
	p.stopReason = reason
	c.resendStop(p)
}

// resendStop issues a stop for a placement even if one was issued before, which the worker may not have received.
func (c *Core) resendStop(p *placement) {
	p.stopSentAt = c.now
	c.stops = append(c.stops, Stop{Ref: p.ref, Worker: p.worker.id, Reason: p.stopReason})
}

// StartAccepted records that the worker has accepted the start, so that the run has begun there.
func (c *Core) StartAccepted(workerID string, ref workload.RunRef) {
	c.noteRunBegun(c.placement(workerID, ref), workerID, ref, "start accepted")
	c.confirm(workerID, ref)
}

// StartClosed records that the worker will not start the run any more: it has ended the run, or has received a stop of it before. Whether
// the run had begun is told by its listed end alone.
func (c *Core) StartClosed(workerID string, ref workload.RunRef) { c.confirm(workerID, ref) }

// StopConfirmed records that the worker will not start the run any more.
func (c *Core) StopConfirmed(workerID string, ref workload.RunRef) { c.confirm(workerID, ref) }

func (c *Core) confirm(workerID string, ref workload.RunRef) {
	p := c.placement(workerID, ref)
	if p == nil || p.confirmedAt >= 0 {
		return
	}
	p.confirmedAt = c.now
	p.setAwaiting(false)
}

// StartRejected records that the worker did not and will not begin the run.
func (c *Core) StartRejected(workerID string, ref workload.RunRef, reason string) {
	p := c.placement(workerID, ref)
	if p == nil || p.confirmedAt >= 0 {
		return
	}
	if p.unit != nil {
		p.unit.avoidWorker(workerID)
	}
	c.event(Event{Name: "start refused", Job: ref.Task.Job, Worker: workerID, Detail: reason})
	c.uncountStart(p)
	c.placementLost(p, "start refused: "+reason)
}

// placement returns the placement of the run on the worker; nil if there is none.
func (c *Core) placement(workerID string, ref workload.RunRef) *placement {
	w := c.workers[workerID]
	if w == nil {
		return nil
	}
	return w.runs[ref]
}

// applyEnd applies the end of a run in a listing. clock is the worker's clock at the listing.
func (c *Core) applyEnd(w *worker, end *workload.EndedRun, clock time.Duration) {
	p := w.runs[end.RunRef]
	c.noteRunBegun(p, w.id, end.RunRef, "end listed")
	if p == nil {
		c.applyUnknownEnd(end)
		return
	}
	if p.live() && end.Reason == workload.EndDone {
		c.learnFromEnd(p, clock, p.unit.size == 1)
		c.noteDuration(p)
	}
	c.detach(p)
	if p.unit == nil {
		c.applyUnknownEnd(end)
		return
	}
	if end.Reason != workload.EndDone && end.Reason != workload.EndStopped {
		c.event(Event{Name: "run ended", Job: end.Task.Job, Worker: w.id, Detail: end.Task.String() + " " + string(end.Reason)})
	}
	c.updateHealth(p, end.Reason)
	c.recordEnd(p.unit, end)
	c.afterPlacementGone(p.unit, string(end.Reason))
}

// applyUnknownEnd applies the listed end of a run that has no placement in its unit: the run was given up, or its end was counted
// before. The end of an earlier run says nothing about the present one, unless the unit is done with it.
func (c *Core) applyUnknownEnd(end *workload.EndedRun) {
	u := c.unitOf(end.Task)
	if u == nil || end.Run > u.state.Run {
		return
	}
	c.recordEnd(u, end)
	if end.Run == u.state.Run {
		c.afterPlacementGone(u, string(end.Reason))
	}
}

// unitOf returns the unit of the task; nil if its job is not known or has ended, or its repetition has no steps.
func (c *Core) unitOf(t workload.TaskID) *unit {
	j := c.jobs[t.Job]
	if j == nil || j.phase.Final() {
		return nil
	}
	steps := j.repetitions.steps(t.Repetition)
	if t.Step >= len(steps) {
		return nil
	}
	s := steps[t.Step]
	if s.spec.Gang && t.Index < s.spec.Tasks {
		return s.units[0]
	}
	if t.Index >= len(s.units) {
		return nil
	}
	return s.units[t.Index]
}

// recordEnd updates the unit's state after the end of a run. The same end may be seen several times; a failure counts once
// per run.
func (c *Core) recordEnd(u *unit, end *workload.EndedRun) {
	j := u.step.job
	if j.phase.Final() || u.state.Status == workload.UnitDone {
		return
	}
	if end.Checkpoint != "" && end.Run == u.state.Run {
		u.state.Checkpoint = end.Checkpoint
	}
	c.markChanged(j)
	if end.Reason == workload.EndDone && !u.step.spec.LongRunning {
		c.complete(u, end.Run)
		return
	}
	if end.Reason != workload.EndFailed || end.Run <= u.state.LastCountedRun {
		return
	}
	u.state.LastCountedRun = end.Run
	u.state.Failures++
	if u.state.Failures >= j.policy.MaxFailedRuns && !u.step.spec.LongRunning {
		c.event(Event{Name: "job failed", Job: j.spec.ID, Detail: end.Task.String()})
		c.finishJob(j, workload.PhaseFailed)
	}
}

// complete marks the unit done by the given run. The other members of a gang's run will list their own ends; all other runs are
// stopped.
func (c *Core) complete(u *unit, run int64) {
	u.state.Status = workload.UnitDone
	u.aborting = false
	for _, p := range slices.Clone(u.placements) {
		if u.size > 1 && p.ref.Run == run {
			p.gangDone = true
			continue
		}
		c.stop(p, "task is done")
	}
	s := u.step
	if slices.ContainsFunc(s.units, func(o *unit) bool { return o.state.Status != workload.UnitDone }) {
		return
	}
	s.done = true
	c.endRepetition(s.job, s.repetition)
	c.completeJobIfDone(s.job)
}

func (c *Core) completeJobIfDone(j *job) {
	if !j.repetitions.allDone(j.spec.RepetitionCount()) {
		return
	}
	c.event(Event{Name: "job completed", Job: j.spec.ID})
	c.finishJob(j, workload.PhaseCompleted)
}

// runLost removes the placement of a run that ended with its worker's process, or never began, and records why.
func (c *Core) runLost(p *placement, reason string) {
	outcome := "it had begun"
	if p.beganAt < 0 {
		outcome = "not known to have begun"
	}
	detail := fmt.Sprintf("%v run %d: %s, %s", p.ref.Task, p.ref.Run, reason, outcome)
	c.event(Event{Name: "run lost", Job: p.ref.Task.Job, Worker: p.worker.id, Detail: detail})
	c.noteUnprovenRunLost(p)
	c.placementLost(p, reason)
}

// placementLost removes a placement whose end was not listed.
func (c *Core) placementLost(p *placement, reason string) {
	c.detach(p)
	if p.unit != nil {
		c.afterPlacementGone(p.unit, reason)
	}
}

// afterPlacementGone aborts the unit's run, or removes its ended job, after one of its placements has been removed.
func (c *Core) afterPlacementGone(u *unit, reason string) {
	j := u.step.job
	defer c.removeIfFinished(j)
	if u.step.done {
		c.endRepetition(j, u.step.repetition)
	}
	if u.state.Status != workload.UnitActive || j.phase.Final() {
		return
	}
	c.markChanged(j)
	c.abortRun(u, reason)
}

// abortRun stops all remaining members of the unit's run. The unit waits for a new run once all placements are gone.
func (c *Core) abortRun(u *unit, reason string) {
	u.aborting = true
	for _, p := range slices.Clone(u.placements) {
		c.stop(p, reason)
	}
	if len(u.placements) > 0 {
		return
	}
	u.aborting = false
	if !u.begun {
		c.returnTurn(u)
	}
	u.state.Status = workload.UnitWaiting
}

// avoidWorker makes later runs of the unit prefer other workers.
func (u *unit) avoidWorker(workerID string) {
	if u.avoid == nil {
		u.avoid = map[string]int{}
	}
	u.avoid[workerID]++
}

// AbandonStart gives up a start of which an earlier attempt may still be executed, because it had no response: the worker
// has rejected a later attempt, or its address or process has changed. It issues a stop, so that the run cannot begin later. It
// has no effect on a start whose outcome is known, nor on a run that the worker has listed: the next listings tell what becomes of it.
func (c *Core) AbandonStart(workerID string, ref workload.RunRef, reason string) {
	p := c.placement(workerID, ref)
	if p == nil || p.unit == nil || p.confirmedAt >= 0 || p.listedRunning() {
		return
	}
	p.unit.avoidWorker(workerID)
	c.event(Event{Name: "start abandoned", Job: ref.Task.Job, Worker: workerID, Detail: reason})
	c.abortRun(p.unit, "start abandoned")
}

// StopUnconfirmed records that the worker's address changed before it responded to a stop, and sends the stop again.
func (c *Core) StopUnconfirmed(workerID string, ref workload.RunRef) {
	if p := c.placement(workerID, ref); p != nil {
		c.resendStop(p)
	}
}
