package scheduler

import (
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// Submit implements Planner.
func (c *Core) Submit(spec jobs.Job, now time.Time) error {
	c.advance(now)
	if c.jobs[spec.ID] != nil {
		return nil
	}
	if err := c.check(spec); err != nil {
		return err
	}
	j := c.addJob(spec)
	j.state = jobs.StateWaiting
	c.enqueue(j)
	return nil
}

// check refuses a job that can never run.
func (c *Core) check(spec jobs.Job) error {
	if err := spec.Shape.Validate(); err != nil {
		return err
	}
	if !c.configured {
		return nil
	}
	a := c.accounts[spec.Account]
	if a == nil || !a.known {
		return errkind.New(errkind.NotFound, "create the account or correct the name",
			"account %q is not in the configuration", spec.Account)
	}
	s := spec.Shape
	if total := s.Total().Accelerators; a.quota > 0 && total > a.quota {
		return errkind.New(errkind.Infeasible, "ask for a smaller shape or a larger quota",
			"job asks for %d accelerators, above the quota of %d of account %s", total, a.quota, a.name)
	}
	if !c.holdsEmpty(s) {
		return errkind.New(errkind.Infeasible, "ask for a smaller shape or looser adjacency",
			"no workers of failure domain %s hold %s", c.failureDomain, shapeText(s))
	}
	return nil
}

// addJob records a new job.
func (c *Core) addJob(spec jobs.Job) *job {
	c.submissions++
	j := &job{Job: spec, owner: c.account(spec.Account), seq: c.submissions, arrived: c.now, waitingSince: c.now}
	j.key = c.queueKey(j)
	c.jobs[spec.ID] = j
	c.listed = append(c.listed, j)
	return j
}

// Adopt implements Planner. The members count where they are, also on workers that are not configured or full.
func (c *Core) Adopt(spec jobs.Job, attempt uint64, placement Placement, state jobs.State, now time.Time) {
	c.advance(now)
	j := c.jobs[spec.ID]
	if j == nil {
		j = c.addJob(spec)
		j.state = jobs.StateWaiting
	}
	if j.placed() || j.state.Final() || len(placement) == 0 {
		return
	}
	c.withdraw(j)
	j.attempt = attempt
	j.state = state
	j.began = c.now
	if state == jobs.StateRunning {
		j.ranSince = c.now
	}
	j.stopPlanned = state == jobs.StateStopping
	workers := make([]*worker, len(placement))
	for i, id := range placement {
		workers[i] = c.worker(id)
		c.unsettled = append(c.unsettled, workers[i])
	}
	c.occupy(j, workers)
	c.bindingStale = true
}

// Started implements Planner.
func (c *Core) Started(id string, attempt uint64, now time.Time) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || !j.placed() || j.attempt != attempt || !j.ranSince.IsZero() {
		return
	}
	j.ranSince = c.now
	if j.state == jobs.StateStarting {
		j.state = jobs.StateRunning
	}
}

// Ended implements Planner. An end of another attempt than the present one changes nothing.
func (c *Core) Ended(id string, attempt uint64, result Result, now time.Time) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || !j.placed() || j.attempt != attempt {
		return
	}
	placement := j.placement
	c.vacate(j)
	c.endTrial(j, placement, result.Kind)
	planned := j.stopPlanned
	j.stopPlanned = false
	switch {
	case result.Kind == ResultCompleted:
		c.learn(j, now)
		c.vouch(j, placement)
		c.finish(j, jobs.StateCompleted, result.Detail)
	case j.cancelled && result.Kind == ResultStopped:
		c.finish(j, jobs.StateCancelled, "cancelled")
	case result.Kind == ResultUnknown, c.mustNotRepeat(j, result):
		c.finish(j, jobs.StateUnknown, "may have run: "+result.Detail)
	case result.Kind == ResultFailed:
		c.failed(j, placement, result)
	case j.cancelled:
		c.finish(j, jobs.StateCancelled, "cancelled")
	default:
		if result.Kind == ResultNotStarted && !planned {
			c.refused(j, placement, result)
		}
		c.requeue(j)
	}
}

// mustNotRepeat reports whether a run-once job ended without an outcome after it may have run.
func (c *Core) mustNotRepeat(j *job, result Result) bool {
	if !j.RunOnce || c.options.restartRunOnce {
		return false
	}
	switch result.Kind {
	case ResultLost:
		return true
	case ResultStopped:
		return !result.Checkpointed
	}
	return false
}

// requeue lets a job wait again after an attempt that was stopped, lost or never ran.
func (c *Core) requeue(j *job) {
	j.state = jobs.StateWaiting
	j.reason = ""
	j.waitingSince = c.now
	j.ranSince, j.began = time.Time{}, time.Time{}
	j.key = c.queueKey(j)
	c.enqueue(j)
}

// Cancel implements Planner. Its cost does not depend on the number of jobs.
func (c *Core) Cancel(id string, now time.Time) bool {
	c.advance(now)
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled || j.state.Final() {
		return true
	}
	j.cancelled = true
	if j.placed() {
		c.stop(j, StopCancelled)
		return true
	}
	c.withdraw(j)
	c.finish(j, jobs.StateCancelled, "cancelled before it ran")
	return true
}

// withdraw removes a waiting job from its queue and gives back its hold and claim.
func (c *Core) withdraw(j *job) {
	c.dequeue(j)
	if j.hold != nil {
		c.dropHold(j)
	}
	c.releaseCell(j)
}

// finish ends a job for good.
func (c *Core) finish(j *job, state jobs.State, reason string) {
	j.state = state
	j.reason = reason
	j.failures = nil
	c.finals++
	if c.finals > 2*finalJobsKept {
		c.prune()
	}
}

// prune forgets the oldest ended jobs.
func (c *Core) prune() {
	drop := c.finals - finalJobsKept
	kept := c.listed[:0]
	for _, j := range c.listed {
		if drop > 0 && j.state.Final() {
			drop--
			c.finals--
			delete(c.jobs, j.ID)
			continue
		}
		kept = append(kept, j)
	}
	clear(c.listed[len(kept):])
	c.listed = kept
}

// loseMembers gives back the members of all jobs on a worker whose tasks do not run any more.
func (c *Core) loseMembers(w *worker) {
	for len(w.occupants) > 0 {
		j := w.occupants[0].job
		c.vacateWorker(j, w)
		if c.survivors(j) {
			c.stop(j, StopLost)
			continue
		}
		c.Ended(j.ID, j.attempt, Result{Kind: ResultLost, Workers: []string{w.id}, Detail: "worker " + w.id + " is gone"}, c.now)
	}
}

// survivors reports whether any member of j still uses resources.
func (c *Core) survivors(j *job) bool {
	for _, w := range j.placement {
		if w.members(j) > 0 {
			return true
		}
	}
	return false
}
