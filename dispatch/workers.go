package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

type worker struct {
	id   string
	info workload.WorkerInfo
	// registered workers have a valid entry in the list of workers.
	registered bool
	// listed workers have returned a listing of their runs since this core took over.
	listed bool
	// listedAt is when the request for the latest listing was sent.
	listedAt time.Duration
	// reachable workers responded to the last request. unreachableAt is when a worker that is not reachable failed to respond first;
	// silent is true if a request to it has timed out since.
	reachable, silent bool
	unreachableAt     time.Duration
	runs              map[workload.RunRef]*placement
	// awaiting is the number of starts to which the worker has not responded.
	awaiting int
	// used is the capacity that the runs use.
	used resource.Resources
	// claimed is the capacity that is kept for waiting steps, reserved the part of it that is reserved for gangs.
	claimed, reserved resource.Resources
	// incarnation is the worker's incarnation as of its latest listing; info may be of another one until its entry is read.
	incarnation int64
	// lastAppliedEnd is the highest sequence number of the ends of this incarnation that were applied.
	lastAppliedEnd int64
	health         health
	// clock is the worker's clock at its latest listing.
	clock time.Duration
	// slowUntil is the end of the time in which a slow worker gets no work, probationUntil that of the probation after it.
	slowUntil, probationUntil time.Duration
	// evidence is what the listing that is being applied shows of the worker's present speed. normalAt is the worker's clock at the last
	// listing that showed it not to be slow.
	evidence slowEvidence
	normalAt time.Duration
	// speed is the worker's learned speed, logSpeed its logarithm, with speedUncertainty as its standard deviation; band is its class.
	speed, logSpeed, speedUncertainty float64
	band                              int
	// notable is -1 or 1 if the speed was last reported to be below or above the usual one, else 0.
	notable int
	// leavesAt is the earliest time at which a draining worker leaves; 0 if the worker does not drain or has not announced it.
	leavesAt time.Duration
	// drainingIncarnation is the incarnation of the last process whose entry has announced that it leaves; 0 if none has.
	drainingIncarnation int64
	// lastStartAt is when the last start on the worker was decided, or the last run is known to have begun; 0 if none was. Until
	// isolatedUntil, other units should not start there, so that a crash can be attributed.
	lastStartAt, isolatedUntil time.Duration
	// evacuated workers are registered in an evacuated failure domain.
	evacuated bool
	// coldUntil is the end of the time in which the worker is slow after its start.
	coldUntil time.Duration
	coldStart coldStart
	// urgentEndedAt is when work of priority 0 last ended on the worker; 0 if none has.
	urgentEndedAt time.Duration
}

// workerOf returns the record of the worker, which it creates if the worker is not known yet.
func (c *Core) workerOf(id string) *worker {
	if w := c.workers[id]; w != nil {
		return w
	}
	w := &worker{id: id, runs: map[workload.RunRef]*placement{}}
	c.updateSpeed(w)
	c.workers[id] = w
	at, _ := slices.BinarySearchFunc(c.sortedWorkers, id, func(o *worker, id string) int { return cmp.Compare(o.id, id) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	return w
}

// SetWorker adds a worker, or updates its registration. A new incarnation starts with a clean health record.
func (c *Core) SetWorker(info workload.WorkerInfo) {
	w := c.workerOf(info.ID)
	if w.info.Incarnation != info.Incarnation {
		w.resetHealth()
	}
	before := w.info
	w.info = info
	w.registered = true
	if info.Draining {
		w.drainingIncarnation = info.Incarnation
	}
	c.noteHardware(w)
	c.noteDraining(w)
	c.noteCold(w, &before)
	c.updateEvacuated(w)
	c.withdrawExcess(w)
}

// resetHealth clears the failures and slowness recorded for an earlier incarnation.
func (w *worker) resetHealth() {
	w.health = health{}
	w.slowUntil, w.probationUntil, w.normalAt = 0, 0, 0
}

// DropWorker records that the worker is no longer registered. Its runs are kept until they end or MarkWorkerGone is called.
func (c *Core) DropWorker(id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.registered = false
	c.updateEvacuated(w)
	c.removeIfUnused(w)
}

// SetUnreachable records that the worker has not responded to a request; silent is true if the request has timed out, and false if
// its connection was refused or has ended.
func (c *Core) SetUnreachable(id string, silent bool) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if w.reachable {
		w.unreachableAt, w.silent = c.now, false
	}
	w.silent = w.silent || silent
	w.reachable = false
}

// GoneReason is the evidence that no run started so far can still be running on a worker.
type GoneReason string

// The reasons for which a worker is gone.
const (
	// GoneLeaseExpired means that the worker did not respond until its lease had expired.
	GoneLeaseExpired GoneReason = "lease expired"
	// GoneReplaced means that another process responds at the worker's address.
	GoneReplaced GoneReason = "replaced by another process"
	// GoneUnlisted means that the worker has had no entry since this holder took over, and that all leases have expired.
	GoneUnlisted GoneReason = "not listed since the takeover"
	// GoneDeregistered means that the worker removed its entry after draining.
	GoneDeregistered GoneReason = "deregistered"
)

// MarkWorkerGone records that no run started so far can still be running on the worker, and gives up all of them.
func (c *Core) MarkWorkerGone(id string, reason GoneReason) {
	w := c.workers[id]
	if w == nil {
		return
	}
	lost := w.sortedRuns()
	var toGiveUp []*unit
	if reason == GoneReplaced || reason == GoneUnlisted || reason == GoneLeaseExpired && !w.silent {
		toGiveUp = c.recordCrash(w, lost, reason == GoneReplaced)
	}
	for _, p := range lost {
		c.runLost(p, "worker gone: "+string(reason))
	}
	for _, u := range toGiveUp {
		c.giveUp(u)
	}
	w.listed = false
	w.reachable = false
	c.removeIfUnused(w)
}

// UnverifiedWorkers returns the ids of workers that have runs but have not listed them since this core took over.
func (c *Core) UnverifiedWorkers() []string {
	var ids []string
	for _, w := range c.sortedWorkers {
		if !w.listed && len(w.runs) > 0 {
			ids = append(ids, w.id)
		}
	}
	return ids
}

func (c *Core) removeIfUnused(w *worker) {
	if w.registered || len(w.runs) > 0 {
		return
	}
	delete(c.workers, w.id)
	c.noteGone(w)
	if at := slices.Index(c.sortedWorkers, w); at >= 0 {
		c.sortedWorkers = slices.Delete(c.sortedWorkers, at, at+1)
	}
}

func (w *worker) sortedRuns() []*placement {
	runs := make([]*placement, 0, len(w.runs))
	for _, p := range w.runs {
		runs = append(runs, p)
	}
	slices.SortFunc(runs, func(a, b *placement) int { return compareRefs(a.ref, b.ref) })
	return runs
}

func compareRefs(a, b workload.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Repetition, b.Task.Repetition),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Run, b.Run),
	)
}

// ApplyListing applies a worker's listing of its runs. sentAt is when the request for it was sent, on the clock of Advance:
// a run whose start was confirmed before that must be in the listing, unless further ends follow. It returns the highest sequence number of the ends of
// the worker's incarnation that were applied; 0 if none was.
func (c *Core) ApplyListing(id string, sentAt time.Duration, listing *workload.Listing) int64 {
	w := c.workerOf(id)
	restarted := w.incarnation != 0 && w.incarnation != listing.Incarnation
	if w.incarnation != listing.Incarnation {
		w.incarnation = listing.Incarnation
		w.lastAppliedEnd = 0
		w.resetHealth()
	}
	clock := time.Duration(listing.ClockMS) * time.Millisecond
	for i := range listing.Ended {
		end := &listing.Ended[i]
		if end.Sequence <= w.lastAppliedEnd {
			continue
		}
		c.applyEnd(w, end, clock)
		w.lastAppliedEnd = end.Sequence
	}
	w.clock = clock
	for i := range listing.Running {
		c.applyRunning(w, &listing.Running[i])
	}
	c.judge(w)
	absent := w.absentRuns(listing)
	for _, p := range absent {
		p.processEnded = p.processEnded || restarted || p.restoredFromEndedProcess()
		p.restartUnhandled = p.restartUnhandled || restarted
	}
	if !listing.MoreEnds {
		c.handleAbsentRuns(w, absent, sentAt)
	}
	w.listed = true
	w.listedAt = sentAt
	w.reachable = true
	return w.lastAppliedEnd
}

// absentRuns returns the known runs that the listing does not list as running.
func (w *worker) absentRuns(listing *workload.Listing) []*placement {
	present := make(map[workload.RunRef]bool, len(listing.Running))
	for i := range listing.Running {
		present[listing.Running[i].RunRef] = true
	}
	return slices.DeleteFunc(w.sortedRuns(), func(p *placement) bool { return present[p.ref] })
}

// handleAbsentRuns handles the known runs that are missing from a listing of the worker that has all its ends.
func (c *Core) handleAbsentRuns(w *worker, absent []*placement, sentAt time.Duration) {
	var crashed []*placement
	for _, p := range absent {
		// A start that was confirmed after the listing was requested may have reached the new process; the next listing tells.
		if p.processEnded && p.confirmedAt < sentAt {
			crashed = append(crashed, p)
		}
	}
	toGiveUp := c.recordCrash(w, crashed, true)
	for _, p := range absent {
		if p.restartUnhandled {
			p.restartUnhandled = false
			c.handleRestart(p)
		}
		c.handleAbsent(p, sentAt)
	}
	for _, u := range toGiveUp {
		c.giveUp(u)
	}
}

// restoredFromEndedProcess reports whether an earlier holder meant the run for a process of the worker that has ended since.
func (p *placement) restoredFromEndedProcess() bool {
	return p.unverified && p.incarnation != 0 && p.incarnation != p.worker.incarnation
}

// applyRunning applies one listed running run.
func (c *Core) applyRunning(w *worker, r *workload.RunningRun) {
	p := w.runs[r.RunRef]
	c.noteRunBegun(p, w.id, r.RunRef, "run listed")
	if p == nil {
		c.stopOrphan(w, r.RunRef)
		return
	}
	p.processEnded, p.restartUnhandled = false, false
	if p.stopping && (p.unverified || c.now-p.stopSentAt > c.options.StopTimeout+stopRetryMargin) {
		c.resendStop(p)
	}
	if p.unverified {
		p.unverified = false
		p.confirmedAt = c.now
	}
	if p.unit == nil {
		return
	}
	if p.unit.state.Run == r.Run && r.Checkpoint != "" {
		p.unit.state.Checkpoint = r.Checkpoint
	}
	c.recordAtWork(p, r.Percent)
	c.recordProgress(p, r.Percent)
	c.measureRate(p)
}

// stopOrphan stops a listed run that has no placement: its job has ended, or the run was given up. The run's resources count
// as used until its end is listed, unless nothing is known of its job.
func (c *Core) stopOrphan(w *worker, ref workload.RunRef) {
	p := &placement{ref: ref, worker: w, confirmedAt: c.now, orphanDemand: c.orphanDemand(ref.Task)}
	c.attach(p)
	c.event(Event{Name: "unexpected run", Job: ref.Task.Job, Worker: w.id, Detail: ref.Task.String()})
	c.stop(p, "unexpected run")
}

// orphanDemand returns the demand of a task that belongs to no unit: that of its step, or the largest one of its job if that has ended;
// zero if the core does not know the job.
func (c *Core) orphanDemand(task workload.TaskID) resource.Resources {
	if j := c.jobs[task.Job]; j != nil && task.Step < len(j.spec.Steps) {
		return j.spec.Steps[task.Step].EffectiveDemand()
	}
	return c.ended[task.Job].maxDemand
}

// handleRestart handles a known run that is missing from the first listing of its worker's new process and whose start or stop
// had no response. The core does not know whether an attempt of the start can still reach the new process, so the run is stopped there
// before it is given up.
func (c *Core) handleRestart(p *placement) {
	switch {
	case p.unverified || p.confirmedAt >= 0:
	case p.stopping:
		c.resendStop(p)
	case p.live():
		c.AbandonStart(p.worker.id, p.ref, "the worker has restarted")
	default:
		c.stop(p, "the worker has restarted")
	}
}

// handleAbsent handles a known run that is missing from its worker's listing. The run is lost if its start was confirmed
// before the listing was requested.
func (c *Core) handleAbsent(p *placement, sentAt time.Duration) {
	if p.unverified {
		c.handleAbsentAfterTakeover(p)
		return
	}
	if p.confirmedAt < 0 || p.confirmedAt >= sentAt {
		return
	}
	if !p.processEnded {
		c.uncountStart(p)
	}
	c.runLost(p, "absent from the worker's listing")
}

// handleAbsentAfterTakeover handles a restored run that did not reach its worker. Commands of the previous holder carry a
// lower epoch, which the worker rejects from now on. The start of a single task is sent again with the same run number if the
// worker would still get it and is not known to have restarted; the states of several jobs are not stored at once. A gang is restarted
// with a new run, as its members would no longer arrive together.
func (c *Core) handleAbsentAfterTakeover(p *placement) {
	ended := p.restoredFromEndedProcess()
	if p.incarnation != 0 && p.incarnation == p.worker.incarnation {
		c.noteNeverBegan(p)
	} else {
		c.noteUnprovenRunLost(p)
	}
	p.unverified = false
	u := p.unit
	if u.size > 1 || u.aborting || u.step.job.phase.Final() || ended || !p.maySendAgain() || c.startsStale() {
		c.runLost(p, "did not reach the worker before the takeover")
		return
	}
	p.incarnation, p.restored = p.worker.incarnation, false
	c.issueStart(p, true)
}

// HasWorker reports whether the worker is registered or has runs.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }

// WantsStart reports whether the start of the run may still be sent to the worker. The start of a run that is being
// stopped, or whose gang is done, must not be sent again: it could arrive before the stop.
func (c *Core) WantsStart(workerID string, ref workload.RunRef) bool {
	p := c.placement(workerID, ref)
	return p != nil && !p.stopping && !p.gangDone
}

// WantsStop reports whether the stop of the run may still be sent to the worker: the run is not known to have ended there.
func (c *Core) WantsStop(workerID string, ref workload.RunRef) bool {
	return c.placement(workerID, ref) != nil
}
