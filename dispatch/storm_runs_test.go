package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

type stormRun struct {
	run    int64
	worker string
	reason workload.EndReason
	ended  bool
	// counted is true if the end was listed to a core, voided if the worker's lease had expired before that.
	counted, voided bool
}

// advanceRuns ends the runs of a worker that are due. A worker whose lease has expired ends all its runs.
func (s *storm) advanceRuns(id string) {
	w, state := s.workers[id], s.state[id]
	lapsed := s.leaseLapsed(id)
	if lapsed {
		s.voidEnds(id)
	}
	for _, ref := range w.refs() {
		if w.running[ref] == nil {
			continue
		}
		switch {
		case lapsed:
			s.restarts.countLapse()
			s.endRun(id, ref, workload.EndLeaseExpired)
		case s.now < state.doneAt[ref] || !s.gangPresent(ref):
		case !s.faultsOver && s.rng.IntN(12) == 0:
			s.endRun(id, ref, workload.EndFailed)
		default:
			s.endRun(id, ref, workload.EndDone)
		}
	}
}

// leaseLapsed reports whether the worker has held a lease that has expired.
func (s *storm) leaseLapsed(id string) bool {
	if s.restarts != nil {
		p := s.restarts.processes[id]
		return p.leaseUntil > 0 && !p.holdsLease(s.now)
	}
	return s.now > s.state[id].leaseEnd
}

// refs returns the worker's runs in an order that is the same each time a seed is run.
func (w *simWorker) refs() []workload.RunRef {
	return slices.SortedFunc(maps.Keys(w.running), compareRefs)
}

// voidEnds marks the ends that the worker has not listed yet as void, since its lease has expired.
func (s *storm) voidEnds(id string) {
	for _, runs := range s.runs {
		for _, r := range runs {
			r.voided = r.voided || r.ended && !r.counted && r.worker == id
		}
	}
}

func (s *storm) stepOf(ref workload.RunRef) *workload.Step {
	return &s.specs[ref.Task.Job].Steps[ref.Task.Step]
}

// gangPresent reports whether all members of the gang's run are running; true for a single task.
func (s *storm) gangPresent(ref workload.RunRef) bool {
	return !s.stepOf(ref).Gang || len(s.members(ref)) == s.stepOf(ref).Tasks
}

func sameGang(a, b workload.RunRef) bool {
	return a.Run == b.Run && a.Task.Job == b.Task.Job && a.Task.Repetition == b.Task.Repetition && a.Task.Step == b.Task.Step
}

func (s *storm) members(ref workload.RunRef) (workers []string) {
	for _, id := range s.workerIDs {
		for _, other := range s.workers[id].refs() {
			if sameGang(other, ref) {
				workers = append(workers, id)
			}
		}
	}
	return workers
}

// endRun ends a run, and the rest of its gang with it.
func (s *storm) endRun(id string, ref workload.RunRef, reason workload.EndReason) {
	s.end(id, ref, reason)
	s.state[id].highestClosed[ref.Task] = max(s.state[id].highestClosed[ref.Task], ref.Run)
	run := s.runOf(ref)
	run.ended, run.reason = true, reason
	if !s.stepOf(ref).Gang {
		return
	}
	if reason != workload.EndDone {
		reason = workload.EndGangMemberEnded
	}
	for _, other := range s.workerIDs {
		for _, member := range s.workers[other].refs() {
			if sameGang(member, ref) {
				s.endRun(other, member, reason)
				return
			}
		}
	}
}

func (s *storm) runOf(ref workload.RunRef) *stormRun {
	for _, r := range s.runs[ref.Task] {
		if r.run == ref.Run && !r.ended {
			return r
		}
	}
	return &stormRun{}
}

// usedWith returns the resources that the worker's runs and a new one use together.
func (s *storm) usedWith(id string, ref workload.RunRef) resource.Resources {
	used := s.stepOf(ref).Demand
	for other := range s.workers[id].running {
		used = used.Add(s.stepOf(other).Demand)
	}
	return used
}

// beginRun starts a run and checks that it may start.
func (s *storm) beginRun(id string, cmd *Start) {
	ref := cmd.Ref
	step := s.stepOf(ref)
	for _, earlier := range s.runs[ref.Task] {
		if !earlier.ended {
			s.t.Fatalf("run %d of %v starts on %s while run %d is on %s", ref.Run, ref.Task, id, earlier.run, earlier.worker)
		}
		if earlier.reason == workload.EndDone && earlier.counted && !earlier.voided {
			s.t.Fatalf("run %d of %v starts after run %d was done", ref.Run, ref.Task, earlier.run)
		}
	}
	for _, predecessor := range step.After {
		if !s.stepDone(ref.Task, predecessor) {
			s.t.Fatalf("%v starts before step %d is done", ref, predecessor)
		}
	}
	if step.MaxPerWorker > 0 && s.onWorker(id, ref) >= step.MaxPerWorker {
		s.t.Fatalf("%v starts on %s beyond the limit of %d tasks per worker", ref, id, step.MaxPerWorker)
	}
	s.checkCrashBudget(ref, id)
	s.crashing.begin(id, ref.Task)
	s.noteBegin(ref.Task.Job, id)
	s.runs[ref.Task] = append(s.runs[ref.Task], &stormRun{run: ref.Run, worker: id})
	s.workers[id].running[ref] = &simRun{checkpoint: cmd.Checkpoint}
	duration := time.Duration(s.rng.Int64N(int64(2 * time.Second)))
	if s.restarts != nil {
		duration = s.restarts.begin(id, ref, step, duration, s.now)
	}
	s.state[id].doneAt[ref] = s.now + duration
}

func (s *storm) onWorker(id string, ref workload.RunRef) (count int) {
	for other := range s.workers[id].running {
		if other.Task.Job == ref.Task.Job && other.Task.Repetition == ref.Task.Repetition && other.Task.Step == ref.Task.Step {
			count++
		}
	}
	return count
}

// stepDone reports whether a step of the task's repetition is done.
func (s *storm) stepDone(of workload.TaskID, number int) bool {
	step := &s.specs[of.Job].Steps[number]
	for index := range step.Tasks {
		task := workload.TaskID{Job: of.Job, Repetition: of.Repetition, Step: number, Index: index}
		if !slices.ContainsFunc(s.runs[task], func(r *stormRun) bool { return r.reason == workload.EndDone }) {
			return false
		}
	}
	return true
}
