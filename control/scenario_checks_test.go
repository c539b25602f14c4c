package control

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// onDone records a completed member, for its attempt and for any attempt.
func (s *scenario) onDone(key taskKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[key] = true
	s.done[taskKey{infra.AttemptID{Job: key.attempt.Job}, key.member}] = true
}

// memberDone reports whether a member has completed in this attempt, or in an earlier attempt from whose checkpoints this one
// continues. In the latter case the member is not released again.
func (s *scenario) memberDone(attempt infra.AttemptID, member int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := taskKey{attempt, member}
	return s.done[key] || !s.ran[key] && s.done[taskKey{infra.AttemptID{Job: attempt.Job}, member}]
}

// onRun records a released member and checks that no member of a run-once job starts twice without a checkpoint.
func (s *scenario) onRun(_ *fakeWorker, task *fakeTask) {
	s.mu.Lock()
	s.ran[taskKey{task.Attempt, task.Member}] = true
	s.mu.Unlock()
	if !task.fresh || task.Attempt.Job[0] != 'o' {
		return
	}
	key := fmt.Sprintf("%s/%d", task.Attempt.Job, task.Member)
	s.mu.Lock()
	s.onceRuns[key]++
	runs := s.onceRuns[key]
	s.mu.Unlock()
	if runs > 1 {
		s.recordViolation("run-once member %s started %d times", key, runs)
	}
}

// onEffect checks that only one holder's commands take effect in each epoch.
func (s *scenario) onEffect(w *fakeWorker, epoch uint64, holder string) {
	s.mu.Lock()
	known, ok := s.epochs[epoch]
	s.epochs[epoch] = holder
	s.mu.Unlock()
	if ok && known != holder {
		s.recordViolation("epoch %d had effect for %s and %s", epoch, known, holder)
	}
}

// checkWorkers checks the tasks on the workers: at most one attempt of each job runs, and no gang runs partially for longer
// than gang.DivergenceBound.
func (s *scenario) checkWorkers() {
	now := time.Now()
	type attemptView struct {
		runningTasks int
		running      map[int]bool // by member
	}
	attempts := map[infra.AttemptID]*attemptView{}
	running := map[string]infra.AttemptID{}
	for _, w := range s.workers {
		w.mu.Lock()
		w.advance(now)
		for key, task := range w.tasks {
			v := attempts[key.attempt]
			if v == nil {
				v = &attemptView{running: map[int]bool{}}
				attempts[key.attempt] = v
			}
			switch task.State {
			case infra.TaskRunning, infra.TaskCheckpointing:
				v.runningTasks++
				v.running[key.member] = true
				if other, ok := running[key.attempt.Job]; ok && other != key.attempt {
					s.recordViolation("job %s runs as attempts %d and %d at once", key.attempt.Job, other.Attempt, key.attempt.Attempt)
				}
				running[key.attempt.Job] = key.attempt
			}
		}
		w.mu.Unlock()
	}
	for id, v := range attempts {
		allOrNone := true
		for m := range membersOf(id.Job) {
			allOrNone = allOrNone && (v.runningTasks == 0 || v.running[m] || s.memberDone(id, m))
		}
		if since, ok := s.partialSince[id]; allOrNone {
			delete(s.partialSince, id)
		} else if !ok {
			s.partialSince[id] = now
		} else if now.Sub(since) > gang.DivergenceBound {
			s.recordViolation("members of %v differ since %s: %+v", id, since.Sub(s.start), *v)
			s.partialSince[id] = now
		}
	}
	for id := range s.partialSince {
		if attempts[id] == nil {
			delete(s.partialSince, id)
		}
	}
}

// membersOf returns the number of members of a job, which is the second character of its id.
func membersOf(id string) int {
	n, _ := strconv.Atoi(id[1:2])
	return n
}

// openJobs returns the entries of jobs that have not ended.
func (s *scenario) openJobs() []*jobs.Entry { return s.foldLog().Open() }

// foldLog returns a fold of the records that the log retains.
func (s *scenario) foldLog() *jobs.Fold {
	fold := jobs.NewFold()
	s.log.mu.Lock()
	for _, r := range s.log.records {
		fold.Skip(r.Offset)
		_, _, _ = fold.Apply(r)
	}
	s.log.mu.Unlock()
	return fold
}

// checkAllJobsEnded checks that every accepted job is known and has ended. For a job that has not ended, it reports the tasks
// and the reason that the active scheduler gives.
func (s *scenario) checkAllJobsEnded() {
	fold := s.foldLog()
	for _, id := range s.submitted {
		if _, known := fold.Get(id); !known {
			s.recordViolation("accepted job %s is not known any more", id)
		}
	}
	for _, e := range s.openJobs() {
		for _, w := range s.workers {
			for key, task := range w.tasks {
				if key.attempt.Job == e.Job.ID {
					s.tracef("%s has %+v", w.id, task.Task)
				}
			}
		}
		s.recordViolation("job %s has not ended %s after the faults: %s", e.Job.ID, recoveryTime, s.queryStatus(e.Job.ID))
	}
}

// queryStatus returns the state and the reason of a job from the active scheduler.
func (s *scenario) queryStatus(id string) string {
	for _, p := range s.processes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		response, err := p.control.Handle(ctx, inner.Member{}, &inner.Request{JobQuery: &inner.JobQuery{ID: id}})
		cancel()
		if err == nil && response.JobQuery.Active && len(response.JobQuery.Jobs) == 1 {
			status := response.JobQuery.Jobs[0]
			return string(status.State) + " " + status.Reason
		}
	}
	return "no active scheduler"
}
