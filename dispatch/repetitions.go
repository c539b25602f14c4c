package dispatch

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/workload"
)

// repetition is a repetition that has steps in memory.
type repetition struct {
	index int
	steps []*step
}

// repetitions tracks the repetitions of a job. Only those that have begun and are not done have steps: a job may have thousands of
// repetitions that are due or done.
type repetitions struct {
	// active holds the repetitions that have steps, in order of index.
	active []repetition
	// done has a bit for each repetition that is done and has no steps any more; doneCount is their number.
	done      []uint64
	doneCount int
	// next is a lower bound of the repetitions that are neither active nor done, known one more than the highest that is either.
	next, known int
}

const bitsPerWord = 64

// isDone reports whether the repetition is done and has no steps any more.
func (r *repetitions) isDone(index int) bool {
	word := index / bitsPerWord
	return word < len(r.done) && r.done[word]&(1<<(index%bitsPerWord)) != 0
}

func (r *repetitions) setDone(index int) {
	for word := index / bitsPerWord; word >= len(r.done); {
		r.done = append(r.done, 0)
	}
	r.done[index/bitsPerWord] |= 1 << (index % bitsPerWord)
	r.doneCount++
	r.known = max(r.known, index+1)
}

func (r *repetitions) find(index int) (at int, found bool) {
	return slices.BinarySearchFunc(r.active, index, func(a repetition, index int) int { return cmp.Compare(a.index, index) })
}

// steps returns the steps of the repetition; nil if it has none in memory.
func (r *repetitions) steps(index int) []*step {
	if at, found := r.find(index); found {
		return r.active[at].steps
	}
	return nil
}

func (r *repetitions) add(index int, steps []*step) {
	at, _ := r.find(index)
	r.active = slices.Insert(r.active, at, repetition{index: index, steps: steps})
	r.known = max(r.known, index+1)
}

// remove frees the steps of the repetition, which is done.
func (r *repetitions) remove(index int) {
	at, _ := r.find(index)
	r.active = slices.Delete(r.active, at, at+1)
	r.setDone(index)
}

// pending returns the lowest repetition that is neither active nor done.
func (r *repetitions) pending() int {
	for r.isDone(r.next) || r.steps(r.next) != nil {
		r.next++
	}
	return r.next
}

// allDone reports whether all of count repetitions are done.
func (r *repetitions) allDone(count int) bool {
	if r.doneCount+len(r.active) < count {
		return false
	}
	return !slices.ContainsFunc(r.active, func(a repetition) bool { return !a.allDone() })
}

func (r *repetition) allDone() bool {
	return !slices.ContainsFunc(r.steps, func(s *step) bool { return !s.done })
}

// overlapUnits returns what each repetition of the job beyond its first active one takes, in units of package footprint.
func (j *job) overlapUnits() int { return j.spec.Tasks() + footprint.StepUnits*len(j.spec.Steps) }

// beginRepetition creates the steps of a repetition.
func (c *Core) beginRepetition(j *job, index int) []*step {
	if len(j.repetitions.active) > 0 {
		c.overlap += j.overlapUnits()
	}
	steps := make([]*step, len(j.spec.Steps))
	for i := range steps {
		steps[i] = newStep(j, index, i)
	}
	j.repetitions.add(index, steps)
	return steps
}

// endRepetition frees the steps of a repetition once it is done and nothing of it is placed any more.
func (c *Core) endRepetition(j *job, index int) {
	at, found := j.repetitions.find(index)
	if !found || j.phase.Final() || !j.repetitions.active[at].allDone() || slices.ContainsFunc(j.repetitions.active[at].steps, (*step).placed) {
		return
	}
	j.repetitions.remove(index)
	if len(j.repetitions.active) > 0 {
		c.overlap -= j.overlapUnits()
	}
}

// forgetUnplaced frees the steps and units of a job that has ended and that have no placements, and the rest of its submission. The steps that
// are left no longer stand at their indexes.
func (c *Core) forgetUnplaced(j *job) {
	c.overlap -= max(0, len(j.repetitions.active)-1) * j.overlapUnits()
	var kept []repetition
	for _, r := range j.repetitions.active {
		var placed []*step
		for _, s := range r.steps {
			if !s.placed() {
				continue
			}
			// The submission holds the specifications of all steps in one piece of memory.
			spec := *s.spec
			s.spec = &spec
			s.units = slices.DeleteFunc(slices.Clone(s.units), func(u *unit) bool { return len(u.placements) == 0 })
			placed = append(placed, s)
		}
		if len(placed) > 0 {
			kept = append(kept, repetition{index: r.index, steps: placed})
		}
	}
	j.repetitions = repetitions{active: kept}
	j.spec = j.spec.Ended()
}

// placed reports whether any unit of the step has placements.
func (s *step) placed() bool {
	return slices.ContainsFunc(s.units, func(u *unit) bool { return len(u.placements) > 0 })
}

// mayBeginRepetition reports whether there is memory for the steps of another repetition of the job. One of each job always fits: it is
// charged when the job is accepted. Further ones wait until those before them have little left that waits, until the state of the job fits
// into a record, and until those of all jobs fit into the memory of the holder.
func (c *Core) mayBeginRepetition(j *job) bool {
	if len(j.repetitions.active) == 0 {
		return true
	}
	tasks := j.spec.Tasks()
	if limit := c.options.MaxActiveTasks; limit > 0 && j.activeTasks() > 0 && j.activeTasks()+tasks > limit {
		return false
	}
	if waiting := j.waitingTasks(); waiting > 0 && waiting+tasks > footprint.MaxWaitingOverlap {
		return false
	}
	return c.overlap+j.overlapUnits() <= footprint.Limit(footprint.MaxOverlap, j.policy.Priority)
}

// activeTasks returns the number of tasks of the job's steps that have begun or may still begin in its active repetitions.
func (j *job) activeTasks() int {
	n := 0
	for _, r := range j.repetitions.active {
		for _, s := range r.steps {
			if !s.done {
				n += s.spec.Tasks
			}
		}
	}
	return n
}

// waitingTasks returns the number of tasks of the job's active repetitions that are waiting.
func (j *job) waitingTasks() int {
	n := 0
	for _, r := range j.repetitions.active {
		for _, s := range r.steps {
			n += s.waitingTasks()
		}
	}
	return n
}

// createDueRepetitions creates the steps of the job's repetitions that are due, as far as there is memory for them.
func (c *Core) createDueRepetitions(j *job) {
	for {
		k := j.repetitions.pending()
		if k >= j.spec.RepetitionCount() || j.spec.Scheduled() && c.wall.Before(j.spec.DueAt(k).Add(dueMargin)) {
			return
		}
		if !c.mayBeginRepetition(j) {
			return
		}
		c.beginRepetition(j, k)
	}
}

// untouched reports whether nothing of a stored repetition has ever been started.
func untouched(steps []workload.StepState) bool {
	return !slices.ContainsFunc(steps, func(s workload.StepState) bool {
		return s.Done || slices.ContainsFunc(s.Units, func(u workload.UnitState) bool { return !u.Untouched() })
	})
}

// allDone reports whether all steps of a stored repetition are done.
func allDone(steps []workload.StepState) bool {
	return !slices.ContainsFunc(steps, func(s workload.StepState) bool { return !s.Done })
}
