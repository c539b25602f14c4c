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

func (s *scenario) onDone(key taskKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[key] = true
	s.done[taskKey{infra.AttemptID{Job: key.attempt.Job}, key.member}] = true
}

// complete reports whether a member has completed: in this attempt, or in an earlier one whose checkpointed stop this
// attempt continues, in which case it is not released again.
func (s *scenario) complete(attempt infra.AttemptID, member int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := taskKey{attempt, member}
	return s.done[key] || !s.ran[key] && s.done[taskKey{infra.AttemptID{Job: attempt.Job}, member}]
}

// onRun checks that a run-once job is not started twice.
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
		s.violate("run-once member %s started %d times", key, runs)
	}
}

// onEffect checks that each epoch belongs to one holder.
func (s *scenario) onEffect(w *fakeWorker, epoch uint64, holder string) {
	s.mu.Lock()
	known, ok := s.epochs[epoch]
	s.epochs[epoch] = holder
	s.mu.Unlock()
	if ok && known != holder {
		s.violate("epoch %d had effect for %s and %s", epoch, known, holder)
	}
}

// check looks at the truth on the workers.
func (s *scenario) check() {
	now := time.Now()
	type view struct {
		runs    int
		running map[int]bool
	}
	attempts := map[infra.AttemptID]*view{}
	running := map[string]infra.AttemptID{}
	for _, w := range s.workers {
		w.mu.Lock()
		w.advance(now)
		for key, task := range w.tasks {
			v := attempts[key.attempt]
			if v == nil {
				v = &view{running: map[int]bool{}}
				attempts[key.attempt] = v
			}
			switch task.State {
			case infra.TaskRunning, infra.TaskCheckpointing:
				v.runs++
				v.running[key.member] = true
				if other, ok := running[key.attempt.Job]; ok && other != key.attempt {
					s.violate("job %s runs as attempts %d and %d at once", key.attempt.Job, other.Attempt, key.attempt.Attempt)
				}
				running[key.attempt.Job] = key.attempt
			}
		}
		w.mu.Unlock()
	}
	for id, v := range attempts {
		whole := true
		for m := range membersOf(id.Job) {
			whole = whole && (v.runs == 0 || v.running[m] || s.complete(id, m))
		}
		if since, ok := s.differ[id]; whole {
			delete(s.differ, id)
		} else if !ok {
			s.differ[id] = now
		} else if now.Sub(since) > gang.DifferBound {
			s.violate("members of %v differ since %s: %+v", id, since.Sub(s.start), *v)
			s.differ[id] = now
		}
	}
	for id := range s.differ {
		if attempts[id] == nil {
			delete(s.differ, id)
		}
	}
}

// membersOf returns the number of members that is part of each job id of the scenario.
func membersOf(id string) int {
	n, _ := strconv.Atoi(id[1:2])
	return n
}

// open returns the jobs that have not ended.
func (s *scenario) open() []*jobs.Entry { return s.folded().Open() }

// folded folds the records that the log retains.
func (s *scenario) folded() *jobs.Fold {
	fold := jobs.NewFold()
	s.log.mu.Lock()
	for _, r := range s.log.records {
		fold.Skip(r.Offset)
		_, _, _ = fold.Apply(r)
	}
	s.log.mu.Unlock()
	return fold
}

// checkEnds checks that every accepted job has ended, and that one which has not is reported with its reason.
func (s *scenario) checkEnds() {
	fold := s.folded()
	for _, id := range s.submitted {
		if _, known := fold.Get(id); !known {
			s.violate("accepted job %s is not known any more", id)
		}
	}
	for _, e := range s.open() {
		for _, w := range s.workers {
			for key, task := range w.tasks {
				if key.attempt.Job == e.Job.ID {
					s.note("%s has %+v", w.id, task.Task)
				}
			}
		}
		s.violate("job %s has not ended %s after the faults: %s", e.Job.ID, settleTime, s.ask(e.Job.ID))
	}
}

func (s *scenario) ask(id string) string {
	for _, p := range s.procs {
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
