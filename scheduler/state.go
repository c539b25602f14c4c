package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// occupant is a job with members on a worker.
type occupant struct {
	job     *job
	members int
}

// worker is the core's record of one worker.
type worker struct {
	id       string
	index    int
	rack     *rack
	capacity resource.Resources
	health   Health
	// drainRequested reports whether the configuration asks to drain the worker.
	drainRequested bool
	// removed reports whether the worker is missing in the configuration of this failure domain. It may still run
	// tasks.
	removed bool
	// used is the sum of the resources of all members placed here, whatever the state of their jobs.
	used resource.Resources
	// unstoppable is the part of used by unstoppable jobs that claim no cell.
	unstoppable resource.Resources
	// bound is the sum of the resources of all cell members bound here, claimed or not.
	bound resource.Resources
	// unclaimed is the part of bound that no job claims.
	unclaimed resource.Resources
	// heldForClaims is the sum of the resources of claims whose victims are being stopped; no other job may start
	// there.
	heldForClaims resource.Resources
	// reserved is the sum of the resources of reservations; only backfill may start there.
	reserved resource.Resources
	// closedReserved is the part of reserved that belongs to closed reservations, whose victims are being stopped; not
	// even backfill may start there.
	closedReserved resource.Resources
	// occupants lists the jobs with members placed here. cells lists the cells bound here, once for each of their
	// members on this worker.
	occupants []occupant
	cells     []*cell
	// standing records the failures on the worker and its quarantine or trial.
	standing standing
}

// eligible reports whether the worker is healthy, so that any work may be placed there. A worker on trial is not
// eligible; it accepts only a trial job (acceptsTrial).
func (w *worker) eligible() bool {
	return w.usable() && w.standing.phase == phaseNormal
}

// usable reports whether the worker is up and neither drained nor removed. It may be suspended.
func (w *worker) usable() bool {
	return w.health == HealthUp && !w.drainRequested && !w.removed
}

// mustDrain reports whether the worker leaves, is removed, or is to be drained according to the configuration.
func (w *worker) mustDrain() bool {
	return w.health == HealthLeaving || w.drainRequested || w.removed
}

// free returns the capacity that no member uses and no claim in progress holds; its components may be negative.
func (w *worker) free() resource.Resources {
	return w.capacity.Sub(w.used).Sub(w.heldForClaims)
}

// addOccupant adds n members of j.
func (w *worker) addOccupant(j *job, n int) {
	for i := range w.occupants {
		if w.occupants[i].job == j {
			w.occupants[i].members += n
			return
		}
	}
	w.occupants = append(w.occupants, occupant{j, n})
}

// members returns how many members of j are placed on the worker.
func (w *worker) members(j *job) int {
	for i := range w.occupants {
		if w.occupants[i].job == j {
			return w.occupants[i].members
		}
	}
	return 0
}

// removeOccupant removes all members of j and returns their number.
func (w *worker) removeOccupant(j *job) int {
	for i := range w.occupants {
		if w.occupants[i].job != j {
			continue
		}
		n := w.occupants[i].members
		last := len(w.occupants) - 1
		w.occupants[i] = w.occupants[last]
		w.occupants[last] = occupant{}
		w.occupants = w.occupants[:last]
		return n
	}
	return 0
}

// rack is a group of workers that count as adjacent.
type rack struct {
	name    string
	index   int
	workers []*worker
	// lastFreedSeq is the value of Core.freedSeq at the last change that freed capacity here.
	lastFreedSeq uint64
	// stale marks maxFree and freeAccelerators as out of date.
	stale bool
	// maxFree is the componentwise maximum of the free resources of usable workers that are not in quarantine.
	maxFree resource.Resources
	// freeAccelerators is the number of free accelerators on usable workers that are not in quarantine;
	// totalAccelerators is the number of all accelerators of the rack.
	freeAccelerators, totalAccelerators int
	// uncheckpointed is the number of accelerators used by placed jobs that lose their progress when stopped.
	uncheckpointed int
}

// refresh recomputes maxFree and freeAccelerators if a worker of the rack changed.
func (r *rack) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	r.maxFree = resource.Resources{}
	r.freeAccelerators = 0
	for _, w := range r.workers {
		if !w.usable() || w.standing.phase == phaseQuarantined {
			continue
		}
		f := w.free()
		r.maxFree.Accelerators = max(r.maxFree.Accelerators, f.Accelerators)
		r.maxFree.MilliCPU = max(r.maxFree.MilliCPU, f.MilliCPU)
		r.maxFree.MemoryMB = max(r.maxFree.MemoryMB, f.MemoryMB)
		r.freeAccelerators += max(0, f.Accelerators)
	}
}

// job is the core's record of one job.
type job struct {
	jobs.Job
	owner *account
	// submission is the number of the job in the order of submission, from 1.
	submission uint64
	state      jobs.State
	attempt    uint64
	reason     string
	class      *class
	// submittedAt is when the job was submitted to the core or adopted. queueTime orders the waiting jobs; the earliest
	// goes first.
	submittedAt, queueTime time.Time
	prev, next             *job
	// placement lists the worker of each member while the job is placed.
	placement []*worker
	// cell is the guarantee's cell that the job claims, nil if it runs as ordinary work.
	cell *cell
	// hold is the capacity kept for the waiting job, nil if there is none. A job with a hold is in no class.
	hold *hold
	// startedAt is when the current attempt was started, and runningSince when all its members ran; zero before that.
	startedAt, runningSince time.Time
	// waitingSince is when the job last began to wait: its submission or the end of its last attempt.
	waitingSince time.Time
	// startedPlan is the number of the plan that started the current attempt. The same plan must not stop it, since the
	// caller carries out stops before starts.
	startedPlan uint64
	// cancelRequested reports whether Cancel was called for the job; the stop of a placed job may still be in progress.
	cancelRequested bool
	// stopPlanned reports whether the stop of the current attempt was planned.
	stopPlanned bool
	// placedIndex is the index in account.placed.
	placedIndex int
	// reservationStops counts stops for reservations, which are limited by maxReservationStops.
	reservationStops int
	// lossValue is the work lost by a stop, in accelerator-seconds, as computed in the plan numbered lossPlan.
	lossValue float64
	lossPlan  uint64
	// movedAt is when consolidation last moved the job, zero if it never did.
	movedAt time.Time
	// avoided lists the workers on which the job failed or that rejected its start. A worker leaves the list when it is
	// quarantined; one that rejected the start leaves it also when no other worker has capacity.
	avoided []avoidedWorker
	// failedAttempts counts the failed attempts. It is never reset.
	failedAttempts int
	// notBefore is the earliest time of the next attempt after a failure or a rejected start, zero if there was none.
	notBefore time.Time
}

// unstoppable reports whether the job must not be stopped to make room for other work.
func (j *job) unstoppable() bool { return !j.Stoppable() }

// uncheckpointedOn returns the accelerators of n members if the job loses its progress when stopped, and otherwise none.
func (j *job) uncheckpointedOn(n int) int {
	if j.CanCheckpoint {
		return 0
	}
	return n * j.Shape.PerMember.Accelerators
}

// placed reports whether the job has an attempt in progress and therefore uses resources.
func (j *job) placed() bool { return len(j.placement) > 0 }

// mustAvoid reports whether w is recorded as a worker on which the job failed or that rejected its start.
func (j *job) mustAvoid(w *worker) bool {
	for _, f := range j.avoided {
		if f.worker == w {
			return true
		}
	}
	return false
}

// size returns the value by which jobs are compared as larger or smaller: accelerators first, then members.
func (j *job) size() int { return sizeOf(j.Shape) }

func sizeOf(s resource.Shape) int {
	return s.Members*s.PerMember.Accelerators*resource.MaxMembers + s.Members
}

// forEachWorker calls f once for each distinct worker of a placement, with the number of its members there. Nil entries
// are skipped.
func forEachWorker(placement []*worker, f func(w *worker, members int)) {
	for i, w := range placement {
		if w == nil || seenBefore(placement, i) {
			continue
		}
		n := 1
		for _, o := range placement[i+1:] {
			if o == w {
				n++
			}
		}
		f(w, n)
	}
}

func seenBefore(placement []*worker, i int) bool {
	for _, o := range placement[:i] {
		if o == placement[i] {
			return true
		}
	}
	return false
}

// account is the core's record of one client account.
type account struct {
	name string
	// quota is the largest number of accelerators that the account may use; 0 means no limit.
	quota int
	// inConfig reports whether the account is in the configuration. Its jobs do not start while it is not.
	inConfig bool
	// guaranteed is the number of accelerators of all guarantees in this failure domain.
	guaranteed int
	// used is the number of accelerators of placed jobs; unstoppableUsed is the part of unstoppable jobs without a
	// cell.
	used, unstoppableUsed int
	// holding is the number of accelerators that jobs with a hold will use; claiming is the part of holding that
	// belongs to claims whose victims are being stopped.
	holding, claiming int
	cells             []*cell
	// placed lists the jobs that use resources, in an arbitrary but reproducible order.
	placed []*job
	// runs holds the run times by size class (sizeClass).
	runs map[int]*runTimes
}

// markChanged records that the free capacity or the usability of w changed; freed reports whether more work may fit
// now.
func (c *Core) markChanged(w *worker, freed bool) {
	w.rack.stale = true
	if freed {
		c.freedSeq++
		w.rack.lastFreedSeq = c.freedSeq
	}
}

// occupy records the placement of j.
func (c *Core) occupy(j *job, placement []*worker) {
	j.placement = placement
	forEachWorker(placement, func(w *worker, n int) {
		need := j.Shape.PerMember.Times(n)
		w.used = w.used.Add(need)
		if j.unstoppable() && j.cell == nil {
			w.unstoppable = w.unstoppable.Add(need)
		}
		w.rack.uncheckpointed += j.uncheckpointedOn(n)
		w.addOccupant(j, n)
		c.markChanged(w, false)
	})
	a := j.owner
	j.placedIndex = len(a.placed)
	a.placed = append(a.placed, j)
	a.used += j.Shape.Total().Accelerators
	if j.unstoppable() && j.cell == nil {
		a.unstoppableUsed += j.Shape.Total().Accelerators
	}
}

// release releases all resources that j uses, and its claim. The cell stays bound.
func (c *Core) release(j *job) {
	placement := j.placement
	forEachWorker(placement, func(w *worker, _ int) { c.releaseMembersOn(j, w) })
	j.placement = nil
	a := j.owner
	last := len(a.placed) - 1
	a.placed[j.placedIndex] = a.placed[last]
	a.placed[j.placedIndex].placedIndex = j.placedIndex
	a.placed = a.placed[:last]
	a.used -= j.Shape.Total().Accelerators
	if j.unstoppable() && j.cell == nil {
		a.unstoppableUsed -= j.Shape.Total().Accelerators
	}
	c.releaseCell(j)
}

// releaseMembersOn releases the resources that the members of j use on w.
func (c *Core) releaseMembersOn(j *job, w *worker) {
	n := w.removeOccupant(j)
	if n == 0 {
		return
	}
	need := j.Shape.PerMember.Times(n)
	w.rack.uncheckpointed -= j.uncheckpointedOn(n)
	w.used = w.used.Sub(need)
	if j.unstoppable() && j.cell == nil {
		w.unstoppable = w.unstoppable.Sub(need)
		c.retryBinding = true
	}
	c.markChanged(w, true)
}
