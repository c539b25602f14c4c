package control

import (
	"time"

	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// applyRead applies the records of one read of the job stream.
func (c *Control) applyRead(result readResult, now time.Time) {
	if result.err != nil {
		c.readFailed = true
		c.logger.Warn().Err(result.err).Msg("job stream not read")
		return
	}
	c.readFailed = false
	c.fold.Skip(result.response.Oldest)
	for _, r := range result.response.Records {
		change, id, err := c.fold.Apply(r)
		if err != nil {
			c.logger.Error().Err(err).Uint64("offset", r.Offset).Msg("job stream fold stopped")
			return
		}
		if c.tenure != nil && c.tenure.adopted {
			c.applyChange(change, id, now)
		}
	}
	if c.fold.Next() < result.response.Next {
		return
	}
	c.caughtUpAt = now
	if !c.caughtUp {
		c.caughtUp = true
		c.classifyAllOrphans()
	}
}

// classifyAllOrphans classifies the orphan tasks of all workers again, since all jobs are known now.
func (c *Control) classifyAllOrphans() {
	if c.tenure == nil || !c.tenure.adopted {
		return
	}
	for _, w := range c.workers {
		c.classifyOrphans(w)
	}
}

// applyChange applies a change of the folded state to the planner and the gangs of the active scheduler. id is the job that
// has changed; empty for ChangeLoaded.
func (c *Control) applyChange(change jobs.Change, id string, now time.Time) {
	t := c.tenure
	e, _ := c.fold.Get(id)
	switch change {
	case jobs.ChangeSubmitted:
		if !c.adoptJob(id, now) {
			// Once the stream has been read to its end, each further record is newer than the takeover, so no previous holder
			// has started its job.
			if c.caughtUp {
				c.submit(e, now)
			} else {
				c.admit(e, now)
			}
		}
	case jobs.ChangeCancelled:
		c.cancel(e, now)
	case jobs.ChangeIntent, jobs.ChangeStopped:
		if g := t.gangs[id]; g != nil {
			c.stepGang(g, now)
		}
	case jobs.ChangeEnded:
		c.applyEnded(id, now)
	case jobs.ChangeLoaded:
		for _, open := range c.fold.Open() {
			if t.gangs[open.Job.ID] == nil && !t.blocked[open.Job.ID] && !c.adoptJob(open.Job.ID, now) {
				c.admit(open, now)
			}
		}
	}
}

// cancel ends a waiting job at once. For a placed job, it makes the planner plan a stop. It leaves a blocked job
// to submit.
func (c *Control) cancel(e *jobs.Entry, now time.Time) {
	t := c.tenure
	id := e.Job.ID
	t.planner.Cancel(id, now)
	t.planDue = true
	if t.gangs[id] == nil && !t.blocked[id] {
		c.endJob(e.Job, e.Attempt, jobs.StateCancelled, "cancelled")
	}
}

// applyEnded removes the state of a job whose ended record was read. If this tenure did not write the record, it also stops
// the current attempt.
func (c *Control) applyEnded(id string, now time.Time) {
	t := c.tenure
	delete(t.blocked, id)
	delete(t.checkpoints, id)
	delete(t.released, id)
	delete(t.queuedIntents, id)
	g := t.gangs[id]
	if t.endPending[id] {
		delete(t.endPending, id)
		if g != nil {
			c.removeGang(g)
		}
		return
	}
	t.planner.Cancel(id, now)
	t.planDue = true
	if g != nil {
		g.Stop("the job has ended", 0)
		c.stepGang(g, now)
	}
}

// applyAppend records whether the last append to the log succeeded.
func (c *Control) applyAppend(err error) {
	c.appendFailed = err != nil
	if err != nil {
		c.logger.Warn().Err(err).Msg("records not appended, they are kept")
		return
	}
	c.instruments.appends.Inc(1)
	c.follower.requestRead()
}

// handleQuery responds to a JobQuery from the folded stream and, while active, from the planner and the gangs.
func (c *Control) handleQuery(q inner.JobQuery) inner.JobQueryResponse {
	if q.Wake {
		c.follower.requestRead()
	}
	response := inner.JobQueryResponse{Active: c.tenure != nil && c.tenure.adopted}
	if q.Wake && q.ID == "" {
		return response
	}
	if q.ID != "" {
		if e, ok := c.fold.Get(q.ID); ok && (q.Account == "" || q.Account == e.Job.Account) {
			response.Jobs = append(response.Jobs, c.status(e))
		}
		return response
	}
	for _, e := range c.fold.All() {
		if q.Account != "" && q.Account != e.Job.Account {
			continue
		}
		if status := c.status(e); q.State == "" || q.State == string(status.State) {
			response.Jobs = append(response.Jobs, status)
		}
	}
	return response
}

// status returns the status of a job, with attempt, placement and reason from the gang or the planner while the scheduler is
// active.
func (c *Control) status(e *jobs.Entry) jobs.Status {
	status := e.Status()
	t := c.tenure
	if t == nil || !t.adopted || e.Ended != nil {
		return status
	}
	id := e.Job.ID
	if g := t.gangs[id]; g != nil {
		status.State = g.State()
		status.Attempt = g.ID().Attempt
		status.Workers = g.Placement()
		status.Reason = g.Reason()
		return status
	}
	switch {
	case t.endPending[id]:
		status.Reason = "ended, waiting for its end to be recorded in the log"
	case t.blocked[id]:
		status.Reason = "waiting until the task leases on unreachable workers have expired"
	default:
		status.Reason = t.planner.Why(id, time.Now())
	}
	return status
}
