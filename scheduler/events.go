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
	if err := c.validate(spec); err != nil {
		return err
	}
	j := c.addJob(spec)
	j.state = jobs.StateWaiting
	c.enqueue(j)
	return nil
}

// validate rejects a job that can never run. The texts of its errors are stored in job records, so their wording must
// stay stable.
func (c *Core) validate(spec jobs.Job) error {
	if err := spec.Shape.Validate(); err != nil {
		return err
	}
	if !c.configured {
		return nil
	}
	a := c.accounts[spec.Account]
	if a == nil || !a.inConfig {
		return errkind.New(errkind.NotFound, "create the account or correct the name",
			"account %q is not in the configuration", spec.Account)
	}
	s := spec.Shape
	if total := s.Total().Accelerators; a.quota > 0 && total > a.quota {
		return errkind.New(errkind.Infeasible, "ask for a smaller shape or a larger quota",
			"job asks for %d accelerators, above the quota of %d of account %s", total, a.quota, a.name)
	}
	if !c.fitsEmptyWorkers(s) {
		return errkind.New(errkind.Infeasible, "ask for a smaller shape or looser adjacency",
			"no workers of failure domain %s hold %s", c.failureDomain, shapeText(s))
	}
	return nil
}

// addJob creates the record of a new job.
func (c *Core) addJob(spec jobs.Job) *job {
	c.submissions++
	j := &job{Job: spec, owner: c.account(spec.Account), submission: c.submissions, submittedAt: c.now, waitingSince: c.now}
	j.queueTime = c.computeQueueTime(j)
	c.jobs[spec.ID] = j
	c.bySubmission = append(c.bySubmission, j)
	return j
}

// Adopt implements Planner. The members are counted on their workers even if these are not configured or are full.
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
	c.removeWaiting(j)
	j.attempt = attempt
	j.state = state
	j.startedAt = c.now
	if state == jobs.StateRunning {
		j.runningSince = c.now
	}
	j.stopPlanned = state == jobs.StateStopping
	workers := make([]*worker, len(placement))
	for i, id := range placement {
		workers[i] = c.worker(id)
		c.workersToReview = append(c.workersToReview, workers[i])
	}
	c.occupy(j, workers)
	c.bindingStale = true
}

// Started implements Planner.
func (c *Core) Started(id string, attempt uint64, now time.Time) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || !j.placed() || j.attempt != attempt || !j.runningSince.IsZero() {
		return
	}
	j.runningSince = c.now
	if j.state == jobs.StateStarting {
		j.state = jobs.StateRunning
	}
}

// Ended implements Planner. It ignores the end of any attempt other than the current one.
func (c *Core) Ended(id string, attempt uint64, result Result, now time.Time) {
	c.advance(now)
	j := c.jobs[id]
	if j == nil || !j.placed() || j.attempt != attempt {
		return
	}
	placement := j.placement
	c.release(j)
	c.endTrial(j, placement, result.Kind)
	planned := j.stopPlanned
	j.stopPlanned = false
	switch {
	case result.Kind == ResultCompleted:
		c.recordRunTime(j, now)
		c.recordSuccess(j, placement)
		c.finish(j, jobs.StateCompleted, result.Detail)
	case j.cancelRequested && result.Kind == ResultStopped:
		c.finish(j, jobs.StateCancelled, "cancelled")
	case result.Kind == ResultUnknown, c.mustNotRepeat(j, result):
		c.finish(j, jobs.StateUnknown, "may have run: "+result.Detail)
	case result.Kind == ResultFailed:
		c.handleFailure(j, placement, result)
	case j.cancelRequested:
		c.finish(j, jobs.StateCancelled, "cancelled")
	default:
		if result.Kind == ResultNotStarted && !planned {
			c.notStarted(j, placement, result)
		}
		c.requeue(j)
	}
}

// mustNotRepeat reports whether j is a run-once job whose attempt may have run and was lost, or was stopped without
// saved progress.
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

// requeue returns a job to its class after an attempt that failed, was stopped, was lost or never ran.
func (c *Core) requeue(j *job) {
	j.state = jobs.StateWaiting
	j.reason = ""
	j.waitingSince = c.now
	j.runningSince, j.startedAt = time.Time{}, time.Time{}
	j.queueTime = c.computeQueueTime(j)
	c.enqueue(j)
}

// Cancel implements Planner. Its amortised cost does not depend on the number of jobs.
func (c *Core) Cancel(id string, now time.Time) bool {
	c.advance(now)
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelRequested || j.state.Final() {
		return true
	}
	j.cancelRequested = true
	if j.placed() {
		c.stop(j, StopCancelled)
		return true
	}
	c.removeWaiting(j)
	c.finish(j, jobs.StateCancelled, "cancelled before it ran")
	return true
}

// removeWaiting removes a waiting job from its class and releases its hold and claim.
func (c *Core) removeWaiting(j *job) {
	c.dequeue(j)
	if j.hold != nil {
		c.removeHold(j)
	}
	c.releaseCell(j)
}

// finish moves a job to a final state. The reason can be stored in job records, so the wording of reasons must stay
// stable.
func (c *Core) finish(j *job, state jobs.State, reason string) {
	j.state = state
	j.reason = reason
	j.avoided = nil
	c.finalCount++
	if c.finalCount > 2*finalJobsKept {
		c.prune()
	}
}

// prune removes the oldest ended jobs, so that finalJobsKept of them remain.
func (c *Core) prune() {
	drop := c.finalCount - finalJobsKept
	kept := c.bySubmission[:0]
	for _, j := range c.bySubmission {
		if drop > 0 && j.state.Final() {
			drop--
			c.finalCount--
			delete(c.jobs, j.ID)
			continue
		}
		kept = append(kept, j)
	}
	clear(c.bySubmission[len(kept):])
	c.bySubmission = kept
}

// releaseLostMembers releases the resources of all members on a worker whose tasks no longer run. It stops the jobs
// that have other members left, and ends the others as lost.
func (c *Core) releaseLostMembers(w *worker) {
	for len(w.occupants) > 0 {
		j := w.occupants[0].job
		c.releaseMembersOn(j, w)
		if c.hasRemainingMembers(j) {
			c.stop(j, StopLost)
			continue
		}
		c.Ended(j.ID, j.attempt, Result{Kind: ResultLost, Workers: []string{w.id}, Detail: "worker " + w.id + " is gone"}, c.now)
	}
}

// hasRemainingMembers reports whether any member of j still uses resources.
func (c *Core) hasRemainingMembers(j *job) bool {
	for _, w := range j.placement {
		if w.members(j) > 0 {
			return true
		}
	}
	return false
}
