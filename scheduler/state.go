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
	// drained marks a worker that the configuration asks to empty.
	drained bool
	// removed marks a worker that left the configuration while tasks ran on it.
	removed bool
	// used sums the members placed here, whatever their state.
	used resource.Resources
	// hard sums the members of unstoppable jobs that hold no cell.
	hard resource.Resources
	// bound sums the cell members bound here, claimed or not.
	bound resource.Resources
	// unclaimed is the part of bound that no job claims.
	unclaimed resource.Resources
	// held sums the needs of claims whose victims are being stopped; nobody else may start there.
	held resource.Resources
	// reserved sums the needs of reservations; only backfill may start there.
	reserved resource.Resources
	// closed is the part of reserved whose victims are being stopped; not even backfill may start there.
	closed    resource.Resources
	occupants []occupant
	cells     []*cell
	conduct   conduct
}

// eligible reports whether work may be placed on the worker.
func (w *worker) eligible() bool {
	return w.healthy() && w.conduct.phase == phaseTrusted
}

// healthy reports whether the worker is reachable and to stay.
func (w *worker) healthy() bool {
	return w.health == HealthUp && !w.drained && !w.removed
}

// leaving reports whether the worker is to be emptied.
func (w *worker) leaving() bool {
	return w.health == HealthLeaving || w.drained || w.removed
}

// free returns what nobody uses and no job under way holds; components may be negative.
func (w *worker) free() resource.Resources {
	return w.capacity.Sub(w.used).Sub(w.held)
}

// addOccupant counts n members of j.
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

// removeOccupant forgets all members of j and returns how many there were.
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

// rack groups the workers that count as adjacent.
type rack struct {
	name    string
	index   int
	workers []*worker
	// freed is the sequence number of the last change that can make a blocked job fit here.
	freed uint64
	// stale marks limit as out of date.
	stale bool
	// limit is the componentwise largest free amount of any worker that may get work.
	limit resource.Resources
	// total is the sum of the free accelerators of eligible workers, accelerators that of all its workers.
	total, accelerators int
	// settled sums the accelerators of ordinary jobs that lose their progress when stopped.
	settled int
}

// refresh recomputes the aggregates after a change on one of the workers.
func (r *rack) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	r.limit = resource.Resources{}
	r.total = 0
	for _, w := range r.workers {
		if !w.healthy() || w.conduct.phase == phaseQuarantined {
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
	// arrived is when the job was submitted to the core; key orders the waiting jobs, a smaller key goes first.
	arrived, key time.Time
	prev, next   *job
	// placement lists the worker of each member while the job is placed.
	placement []*worker
	// cell is the guarantee's cell that the job claims, nil if it runs as ordinary work.
	cell *cell
	// hold is the placement for which victims are being stopped or that is reserved, nil if there is none.
	hold *hold
	// began is when the present attempt was started; ranSince when all its members ran.
	began, ranSince time.Time
	waitingSince    time.Time
	// startedIn is the number of the plan that started the present attempt. The same plan must not stop it, since the
	// shell carries out stops before starts.
	startedIn   uint64
	cancelled   bool
	stopPlanned bool
	// placedAt is the index in account.placed.
	placedAt int
	// stopsSuffered counts stops for reservations, which are capped.
	stopsSuffered int
	// lost is the loss of a stop as of the plan numbered lostIn.
	lost   float64
	lostIn uint64
	// movedAt is the time of the last consolidation that moved the job.
	movedAt      time.Time
	failures     []failure
	failureCount int
	// notBefore delays the next attempt after a failure.
	notBefore time.Time
}

// hard reports whether the job may not be stopped for anybody.
func (j *job) hard() bool { return !j.Stoppable() }

// settledOn returns the accelerators of n members that lose their progress when stopped.
func (j *job) settledOn(n int) int {
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

// size is the amount by which jobs are compared as large or small: accelerators first, then members.
func (j *job) size() int { return sizeOf(j.Shape) }

func sizeOf(s resource.Shape) int {
	return s.Members*s.PerMember.Accelerators*resource.MaxMembers + s.Members
}

// forEachWorker calls f once for each distinct worker of a placement with its number of members.
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
	// guaranteed is the sum of accelerators of all guarantees here.
	guaranteed int
	// used sums the accelerators of placed jobs; hardUsed those of unstoppable jobs without a cell.
	used, hardUsed int
	// holding sums the accelerators that jobs with a hold will use; claiming is the part of claims.
	holding, claiming int
	cells             []*cell
	// placed lists the jobs that use resources, in no particular but a reproducible order.
	placed []*job
	runs   map[int]*runTimes
}

// touch records that capacity of w changed; freed says that more may fit now.
func (c *Core) touch(w *worker, freed bool) {
	w.rack.stale = true
	if freed {
		c.seq++
		w.rack.freed = c.seq
	}
}

// occupy counts the members of j on its placement.
func (c *Core) occupy(j *job, placement []*worker) {
	j.placement = placement
	forEachWorker(placement, func(w *worker, n int) {
		need := j.Shape.PerMember.Times(n)
		w.used = w.used.Add(need)
		if j.hard() && j.cell == nil {
			w.hard = w.hard.Add(need)
		}
		w.rack.settled += j.settledOn(n)
		w.addOccupant(j, n)
		c.touch(w, false)
	})
	a := j.owner
	j.placedAt = len(a.placed)
	a.placed = append(a.placed, j)
	a.used += j.Shape.Total().Accelerators
	if j.hard() && j.cell == nil {
		a.hardUsed += j.Shape.Total().Accelerators
	}
}

// vacate gives back all that j uses, its cell included.
func (c *Core) vacate(j *job) {
	placement := j.placement
	forEachWorker(placement, func(w *worker, _ int) { c.vacateWorker(j, w) })
	j.placement = nil
	a := j.owner
	last := len(a.placed) - 1
	a.placed[j.placedAt] = a.placed[last]
	a.placed[j.placedAt].placedAt = j.placedAt
	a.placed = a.placed[:last]
	a.used -= j.Shape.Total().Accelerators
	if j.hard() && j.cell == nil {
		a.hardUsed -= j.Shape.Total().Accelerators
	}
	c.releaseCell(j)
}

// vacateWorker gives back what j uses on one worker.
func (c *Core) vacateWorker(j *job, w *worker) {
	n := w.removeOccupant(j)
	if n == 0 {
		return
	}
	need := j.Shape.PerMember.Times(n)
	w.rack.settled -= j.settledOn(n)
	w.used = w.used.Sub(need)
	if j.hard() && j.cell == nil {
		w.hard = w.hard.Sub(need)
		c.retryBinding = true
	}
	c.touch(w, true)
}
