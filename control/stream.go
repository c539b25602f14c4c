package control

import (
	"time"

	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// applyBatch folds records of the job stream.
func (c *Control) applyBatch(b batch, now time.Time) {
	if b.err != nil {
		c.readFailed = true
		c.log.Warn().Err(b.err).Msg("job stream not read")
		return
	}
	c.readFailed = false
	c.fold.Skip(b.response.Oldest)
	for _, r := range b.response.Records {
		change, id, err := c.fold.Apply(r)
		if err != nil {
			c.log.Error().Err(err).Uint64("offset", r.Offset).Msg("job stream fold stopped")
			return
		}
		if c.tenure != nil && c.tenure.adopted {
			c.applyChange(change, id, now)
		}
	}
	if c.fold.Next() < b.response.Next {
		return
	}
	c.tailAt = now
	if !c.readTail {
		c.readTail = true
		c.sortAllStrays()
	}
}

func (c *Control) sortAllStrays() {
	if c.tenure == nil || !c.tenure.adopted {
		return
	}
	for _, w := range c.workers {
		c.sortStrays(w)
	}
}

// applyChange acts on a change of the folded state as the active scheduler.
func (c *Control) applyChange(change jobs.Change, id string, now time.Time) {
	t := c.tenure
	e, _ := c.fold.Get(id)
	switch change {
	case jobs.ChangeSubmitted:
		if !c.adoptJob(id, now) {
			// The record is newer than the takeover, so no previous holder has started the job, unless the stream was
			// not read to its end at the takeover.
			if c.readTail {
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
		c.endedRead(id, now)
	case jobs.ChangeLoaded:
		for _, open := range c.fold.Open() {
			if t.gangs[open.Job.ID] == nil && !t.blocked[open.Job.ID] && !c.adoptJob(open.Job.ID, now) {
				c.admit(open, now)
			}
		}
	}
}

// cancel ends a waiting job at once and asks the planner to stop a placed one.
func (c *Control) cancel(e *jobs.Entry, now time.Time) {
	t := c.tenure
	id := e.Job.ID
	t.planner.Cancel(id, now)
	t.planDue = true
	if t.gangs[id] == nil && !t.blocked[id] {
		c.end(e.Job, e.Attempt, jobs.StateCancelled, "cancelled")
	}
}

// endedRead forgets a job whose ended record was read back, or was written by another scheduler.
func (c *Control) endedRead(id string, now time.Time) {
	t := c.tenure
	delete(t.blocked, id)
	delete(t.checkpoints, id)
	delete(t.released, id)
	delete(t.intentSent, id)
	g := t.gangs[id]
	if t.closing[id] {
		delete(t.closing, id)
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

// applyAppend records whether the log accepts records.
func (c *Control) applyAppend(err error) {
	c.appendFailed = err != nil
	if err != nil {
		c.log.Warn().Err(err).Msg("records not appended, they are kept")
		return
	}
	c.cost.appends.Inc(1)
	c.follower.poke()
}

// answer answers a JobQuery from the folded stream and, if active, from the planner and the gangs.
func (c *Control) answer(q inner.JobQuery) inner.JobQueryResponse {
	if q.Wake {
		c.follower.poke()
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
	case t.closing[id]:
		status.Reason = "its end waits to be recorded in the log"
	case t.blocked[id]:
		status.Reason = "waits until the task leases on unreachable workers must have lapsed"
	default:
		status.Reason = t.planner.Why(id, time.Now())
	}
	return status
}
