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
	// listed workers have answered with a list of their runs since this core took over.
	listed bool
	// reachable workers answered the last call.
	reachable bool
	runs      map[workload.RunRef]*placement
	used      resource.Resources
	// claimed is what claims of waiting steps hold.
	claimed     resource.Resources
	incarnation int64
	// noted is the highest end of this incarnation that was taken into account.
	noted  int64
	health health
	// clock is the worker's clock at its newest list.
	clock time.Duration
	// slowUntil is when a worker that ran tasks slowly is tried again, trialUntil when it counts as any other.
	slowUntil, trialUntil time.Duration
	// urgentEndedAt is when urgent work last ended on the worker.
	urgentEndedAt time.Duration
}

// workerOf returns the record of the worker, which may not be registered yet.
func (c *Core) workerOf(id string) *worker {
	if w := c.workers[id]; w != nil {
		return w
	}
	w := &worker{id: id, runs: map[workload.RunRef]*placement{}}
	c.workers[id] = w
	at, _ := slices.BinarySearchFunc(c.order, id, func(o *worker, id string) int { return cmp.Compare(o.id, id) })
	c.order = slices.Insert(c.order, at, w)
	return w
}

// SetWorker takes in what a worker says of itself.
func (c *Core) SetWorker(info workload.WorkerInfo) {
	w := c.workerOf(info.ID)
	if w.info.Incarnation != info.Incarnation {
		w.forgetJudgement()
	}
	w.info = info
	w.registered = true
}

// forgetJudgement clears what was learnt of an earlier incarnation.
func (w *worker) forgetJudgement() {
	w.health = health{}
	w.slowUntil, w.trialUntil = 0, 0
}

// DropWorker notes that the worker's entry is gone. What runs there stays until its lease ends.
func (c *Core) DropWorker(id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.registered = false
	c.forgetIfUnused(w)
}

// SetReachable notes whether the worker answers calls.
func (c *Core) SetReachable(id string, reachable bool) {
	if w := c.workers[id]; w != nil {
		w.reachable = reachable
	}
}

// WorkerDead notes that nothing started so far can run on the worker any more.
func (c *Core) WorkerDead(id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if len(w.runs) > 0 {
		c.event(Event{Name: "runs lost with worker", Worker: id})
	}
	for _, p := range w.sortedRuns() {
		c.lose(p, "lost with worker")
	}
	w.listed = false
	w.reachable = false
	c.forgetIfUnused(w)
}

// Unverified returns the workers on which restored runs have not been looked for yet.
func (c *Core) Unverified() []string {
	var ids []string
	for _, w := range c.order {
		if !w.listed && len(w.runs) > 0 {
			ids = append(ids, w.id)
		}
	}
	return ids
}

func (c *Core) forgetIfUnused(w *worker) {
	if w.registered || len(w.runs) > 0 {
		return
	}
	delete(c.workers, w.id)
	if at := slices.Index(c.order, w); at >= 0 {
		c.order = slices.Delete(c.order, at, at+1)
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

// Listing takes in a worker's list of runs. sentAt is when the call that returned it was sent: a run whose start was
// answered before that must be in the list. It returns the highest end that was taken into account.
func (c *Core) Listing(id string, sentAt time.Duration, listing *workload.Listing) int64 {
	w := c.workerOf(id)
	if w.incarnation != listing.Incarnation {
		w.incarnation = listing.Incarnation
		w.noted = 0
		w.forgetJudgement()
	}
	for i := range listing.Ended {
		end := &listing.Ended[i]
		if end.Sequence <= w.noted {
			continue
		}
		c.runEnded(w, end)
		w.noted = end.Sequence
	}
	w.clock = time.Duration(listing.ClockMS) * time.Millisecond
	present := make(map[workload.RunRef]bool, len(listing.Running))
	for i := range listing.Running {
		present[listing.Running[i].RunRef] = true
		c.running(w, &listing.Running[i])
	}
	for _, p := range w.sortedRuns() {
		if !present[p.ref] {
			c.absent(p, sentAt)
		}
	}
	w.listed = true
	w.reachable = true
	return w.noted
}

// running takes in one entry of a list of present runs.
func (c *Core) running(w *worker, r *workload.RunningRun) {
	p := w.runs[r.RunRef]
	if p == nil {
		c.adoptOrphan(w, r.RunRef)
		return
	}
	if p.stopping && (p.unverified || c.now-p.stoppedAt > c.params.StopTimeout+stopPatience) {
		c.repeatStop(p)
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
	c.progress(p, r.Percent)
	c.measureRate(p)
}

// adoptOrphan stops a run that belongs to no unit here: its job has ended, or the run was given up.
func (c *Core) adoptOrphan(w *worker, ref workload.RunRef) {
	p := &placement{ref: ref, worker: w, confirmedAt: c.now}
	if j := c.jobs[ref.Task.Job]; j != nil && ref.Task.Step < len(j.spec.Steps) {
		p.orphan = charge(&j.spec.Steps[ref.Task.Step])
	}
	c.attach(p)
	c.event(Event{Name: "unexpected run", Job: ref.Task.Job, Worker: w.id, Detail: ref.Task.String()})
	c.stop(p, "unexpected run")
}

// absent handles a known run that a worker's list lacks.
func (c *Core) absent(p *placement, sentAt time.Duration) {
	if p.unverified {
		c.absentAfterTakeover(p)
		return
	}
	if p.confirmedAt < 0 || p.confirmedAt >= sentAt {
		return
	}
	c.lose(p, "absent from the worker's list")
}

// absentAfterTakeover handles a restored run that did not reach its worker. Orders of the previous holder carry a lower
// fencing token, which the worker refuses from now on. A single task is sent again under the same number; a gang starts
// anew, as its members would no longer arrive together.
func (c *Core) absentAfterTakeover(p *placement) {
	p.unverified = false
	u := p.unit
	if u.size > 1 || u.collapsing || u.step.job.phase.Final() {
		c.lose(p, "did not reach the worker before the takeover")
		return
	}
	c.starts = append(c.starts, c.startOf(p))
}

// HasWorker reports whether the worker is in the list, or has runs.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }

// WantsStart reports whether the run should begin on the worker. A start of a run that is being stopped, or whose gang is
// done, must not be sent again: it could arrive before the stop.
func (c *Core) WantsStart(workerID string, ref workload.RunRef) bool {
	p := c.placement(workerID, ref)
	return p != nil && !p.stopping && !p.finished
}

// WantsStop reports whether the run is not known to have ended on the worker.
func (c *Core) WantsStop(workerID string, ref workload.RunRef) bool {
	return c.placement(workerID, ref) != nil
}
