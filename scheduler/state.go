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
	// drained marks a worker that the configuration drains.
	drained bool
	// removed marks a worker that is not in the configuration but may still run tasks.
	removed bool
	// used sums the members placed here in any state.
	used resource.Resources
	// unstoppable sums the members of unstoppable jobs that claim no cell.
	unstoppable resource.Resources
	// bound sums the cell members bound here, claimed or not.
	bound resource.Resources
	// unclaimed is the part of bound that no job claims.
	unclaimed resource.Resources
	// held sums the resources of claims whose victims are being stopped; no other job may start there.
	held resource.Resources
	// reserved sums the resources of reservations; only backfill may start there.
	reserved resource.Resources
	// closed is the part of reserved whose victims are being stopped; not even backfill may start there.
	closed    resource.Resources
	occupants []occupant
	cells     []*cell
	standing  standing
}

// eligible reports whether work may be placed on the worker.
func (w *worker) eligible() bool {
	return w.healthy() && w.standing.phase == phaseTrusted
}

// healthy reports whether the worker is reachable and not leaving.
func (w *worker) healthy() bool {
	return w.health == HealthUp && !w.drained && !w.removed
}

// leaving reports whether the worker must be drained.
func (w *worker) leaving() bool {
	return w.health == HealthLeaving || w.drained || w.removed
}

// free returns the capacity that no member uses and no claim in progress holds; its components may be negative.
func (w *worker) free() resource.Resources {
	return w.capacity.Sub(w.used).Sub(w.held)
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

// members returns how many members of j run on the worker.
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
	// freed is the sequence number of the last change after which a blocked job may fit here.
	freed uint64
	// stale marks limit and total as out of date.
	stale bool
	// limit is the componentwise maximum of the free resources of any worker that may get work.
	limit resource.Resources
	// total sums the free accelerators of workers that may get work; accelerators sums all accelerators of the rack.
	total, accelerators int
	// uncheckpointed sums the accelerators of placed jobs that lose their progress when stopped.
	uncheckpointed int
}

// refresh recomputes the aggregates if a worker changed.
func (r *rack) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	r.limit = resource.Resources{}
	r.total = 0
	for _, w := range r.workers {
		if !w.healthy() || w.standing.phase == phaseQuarantined {
			continue
		}
		f := w.free()
		r.limit.Accelerators = max(r.limit.Accelerators, f.Accelerators)
		r.limit.MilliCPU = max(r.limit.MilliCPU, f.MilliCPU)
		r.limit.MemoryMB = max(r.limit.MemoryMB, f.MemoryMB)
		r.total += max(0, f.Accelerators)
	}
}

// job is the core's record of one job.
type job struct {
	jobs.Job
	owner   *account
	seq     uint64
	state   jobs.State
	attempt uint64
	reason  string
	class   *class
	// submittedAt is when the job was submitted to the core. key orders the waiting jobs; the earliest goes first.
	submittedAt, key time.Time
	prev, next       *job
	// placement lists the worker of each member while the job is placed.
	placement []*worker
	// cell is the guarantee's cell that the job claims, nil if it runs as ordinary work.
	cell *cell
	// hold is the capacity kept for the waiting job, nil if there is none.
	hold *hold
	// startedAt is when the current attempt was started, and runningSince when all its members ran.
	startedAt, runningSince time.Time
	waitingSince            time.Time
	// startedPlan is the number of the plan that started the current attempt. The same plan must not stop it, since the
	// caller carries out stops before starts.
	startedPlan uint64
	cancelled   bool
	stopPlanned bool
	// placedIndex is the index in account.placed.
	placedIndex int
	// reservationStops counts stops for reservations, which are limited by maxReservationStops.
	reservationStops int
	// lossValue is the loss caused by a stop, as computed in the plan numbered lossPlan.
	lossValue float64
	lossPlan  uint64
	// movedAt is the time at which consolidation last moved the job.
	movedAt      time.Time
	failures     []failure
	failureCount int
	// notBefore is the earliest time of the next attempt after a failure or a refusal.
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

// placed reports whether the job uses resources.
func (j *job) placed() bool { return len(j.placement) > 0 }

// failedOn reports whether an attempt of the job failed because of w.
func (j *job) failedOn(w *worker) bool {
	for _, f := range j.failures {
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

// forEachWorker calls f once for each distinct worker of a placement, with the number of its members there.
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
	name  string
	quota int
	known bool
	// guaranteed sums the accelerators of all guarantees in this failure domain.
	guaranteed int
	// used sums the accelerators of placed jobs; unstoppableUsed sums those of unstoppable jobs without a cell.
	used, unstoppableUsed int
	// holding sums the accelerators that jobs with a hold will use; claiming is the part of claims.
	holding, claiming int
	cells             []*cell
	// placed lists the jobs that use resources, in an arbitrary but reproducible order.
	placed []*job
	runs   map[int]*runTimes
}

// markChanged records that the capacity of w changed; freed says that more work may fit now.
func (c *Core) markChanged(w *worker, freed bool) {
	w.rack.stale = true
	if freed {
		c.seq++
		w.rack.freed = c.seq
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

// release releases all resources that j uses, and its cell.
func (c *Core) release(j *job) {
	placement := j.placement
	forEachWorker(placement, func(w *worker, _ int) { c.releaseWorker(j, w) })
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

// releaseWorker releases the resources that j uses on one worker.
func (c *Core) releaseWorker(j *job, w *worker) {
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
