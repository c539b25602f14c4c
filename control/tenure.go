package control

import (
	"context"
	"errors"
	"sort"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/scheduler"
)

// A snapshot is appended after Options.SnapshotRecords records, by default snapshotRecords, or after snapshotInterval,
// whichever comes first, so that the log always retains a snapshot and all records that follow it.
const (
	snapshotRecords  = 1000
	snapshotInterval = 10 * time.Minute
)

// attemptsPerTenure is the size of the range of attempt numbers of each tenure, so that no two holders use the same attempt
// number.
const attemptsPerTenure = 10_000

// startSpan is the trace span of an attempt that is starting, and the time of the decision to start it.
type startSpan struct {
	span  trace.Span
	since time.Time
}

// gangsOn returns the gangs with a member on a worker in order of job id.
func (t *tenure) gangsOn(worker string) []*gang.Gang {
	if t.gangsByWorker != nil {
		return t.gangsByWorker[worker]
	}
	t.gangsByWorker = map[string][]*gang.Gang{}
	for _, g := range t.gangs {
		for _, on := range g.Workers() {
			t.gangsByWorker[on] = append(t.gangsByWorker[on], g)
		}
	}
	for _, on := range t.gangsByWorker {
		sort.Slice(on, func(i, k int) bool { return on[i].Job().ID < on[k].Job().ID })
	}
	return t.gangsByWorker[worker]
}

// settled reports whether a gang needs no step until the next event.
func settled(g *gang.Gang) bool { return g.Phase() == gang.PhaseRunning && !g.Unseen() }

// stepTenure does everything that is due in the active scheduler: adoption, health checks, steps of gangs, planning and
// snapshots.
func (c *Control) stepTenure(ctx context.Context, now time.Time) {
	t := c.tenure
	if !t.adopted {
		if !c.readyToAdopt(now) {
			return
		}
		c.adoptAll(now)
	}
	if !now.Before(t.nextHealthCheck) {
		t.nextHealthCheck = now.Add(healthInterval)
		for id, w := range c.workers {
			c.updateHealth(w, now)
			if w.health == scheduler.HealthGone && !w.inFlight && !c.configured(id) && len(t.gangsOn(id)) == 0 {
				delete(c.workers, id)
			}
		}
	}
	c.resolveUnread(now)
	for _, g := range t.unsettled {
		c.stepGang(g, now)
	}
	c.plan(ctx, now)
	c.snapshot(now)
}

// readyToAdopt reports whether the inventories and the job stream have been read, or the time allowed for it has passed.
func (c *Control) readyToAdopt(now time.Time) bool {
	waited := now.Sub(c.tenure.startedAt)
	readWorkers := c.unreadWorkers() == 0 || waited >= readGrace
	readLog := !c.caughtUpAt.Before(c.tenure.startedAt) || (c.readFailed && waited >= readGrace) || waited >= catchUpGrace
	return readWorkers && readLog
}

// updateHealth derives the health of a worker from the time of its last response and, if it does not respond, from the time
// at which its task leases expire.
func (c *Control) updateHealth(w *worker, now time.Time) {
	t := c.tenure
	if !t.adopted {
		return
	}
	sinceResponse := now.Sub(w.lastResponseAt)
	switch {
	case w.inventoryRead && sinceResponse < unreachableAfter:
		c.setHealth(w, c.reachableHealth(w), now)
	case !w.inventoryRead && now.Before(t.unreadLeasesExpireAt):
		c.setHealth(w, scheduler.HealthUnreachable, now)
	case w.inventoryRead && now.Before(c.taskLeasesExpireAt(w)) && !c.withoutExpiryWait:
		c.setHealth(w, scheduler.HealthUnreachable, now)
	default:
		c.markGone(w, now)
	}
}

// taskLeasesExpireAt returns the time at which the leases of all tasks on a worker that does not respond must have expired.
// The previous holder may have renewed them until the start of this tenure.
func (c *Control) taskLeasesExpireAt(w *worker) time.Time {
	last := c.tenure.startedAt
	if w.lastExtendedAt.After(last) {
		last = w.lastExtendedAt
	}
	return last.Add(gang.TaskLease + expiryMargin)
}

// reachableHealth returns the health of a worker that responds: HealthLeaving if no new work may be placed on it.
func (c *Control) reachableHealth(w *worker) scheduler.Health {
	if _, draining := c.doc.Drains[w.id]; draining || w.leaving || !c.configured(w.id) {
		return scheduler.HealthLeaving
	}
	return scheduler.HealthUp
}

func (c *Control) setHealth(w *worker, health scheduler.Health, now time.Time) {
	if w.health == health {
		return
	}
	c.logger.Info().Str("worker", w.id).Str("health", string(health)).Msg("worker health changed")
	w.health = health
	c.reportHealth(w, now)
}

func (c *Control) reportHealth(w *worker, now time.Time) {
	c.tenure.planner.SetWorkerHealth(w.id, w.health, now)
	c.tenure.planDue = true
}

// markGone marks a worker as gone, together with its members, since their task leases must have expired.
func (c *Control) markGone(w *worker, now time.Time) {
	if w.health == scheduler.HealthGone {
		return
	}
	w.revision = 0
	w.tasks = nil
	w.orphanCommands = nil
	w.unknownAttempts = nil
	c.setHealth(w, scheduler.HealthGone, now)
	if c.withoutLossReports {
		return
	}
	for _, g := range c.tenure.gangsOn(w.id) {
		g.MarkWorkerGone(w.id)
	}
}

// stepGangsOn advances the gangs on a worker after a response from it.
func (c *Control) stepGangsOn(w *worker, now time.Time) {
	if !c.tenure.adopted {
		return
	}
	for _, g := range c.tenure.gangsOn(w.id) {
		c.stepGang(g, now)
	}
}

// stepGang advances one gang and acts on its new phase.
func (c *Control) stepGang(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	if t.gangs[id] != g || t.endPending[id] {
		return
	}
	before := g.Phase()
	if before == gang.PhaseAwaitingLog && c.logAvailable() {
		g.LogAvailable(now)
	}
	if g.NeedsIntent() {
		c.checkIntent(g)
	}
	c.correctPlacement(g, now)
	g.Step(now)
	if settled(g) {
		delete(t.unsettled, id)
	} else {
		t.unsettled[id] = g
	}
	if g.NeedsIntent() {
		c.queueIntent(g)
	}
	if before != g.Phase() {
		c.phaseChanged(g, now)
	}
	for _, worker := range g.Workers() {
		w := c.workers[worker]
		if w != nil && !w.requestDue && len(g.Commands(worker, now)) > 0 {
			w.requestDue = true
		}
	}
	if g.Phase() == gang.PhaseEnded {
		c.attemptEnded(g, now)
	}
}

// phaseChanged writes a log line with the new phase of a gang, reports a completed start to the planner, and ends the trace
// span of a start that was completed or abandoned.
func (c *Control) phaseChanged(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	c.logger.Info().Str("job", id).Str("account", g.Job().Account).Uint64("attempt", g.ID().Attempt).
		Str("phase", string(g.Phase())).Msg("attempt advanced")
	start, starting := t.startSpans[id]
	switch g.Phase() {
	case gang.PhaseRunning:
		t.planner.Started(id, t.plannerAttempt[id], now)
		t.planDue = true
	case gang.PhaseStopping, gang.PhaseEnded:
		if starting {
			start.span.RecordError(errors.New(g.Result().Detail))
		}
	default:
		return
	}
	if starting {
		c.instruments.starts.Update(now.Sub(start.since).Milliseconds())
		start.span.End()
		delete(t.startSpans, id)
	}
}

// checkIntent notifies a gang if the log shows whether its intent won.
func (c *Control) checkIntent(g *gang.Gang) {
	e, ok := c.fold.Get(g.Job().ID)
	switch {
	case !ok || e.Intent == nil:
		if ok && (e.Cancelled || e.Ended != nil) {
			g.IntentLost()
		}
	case c.ownIntent(e) || c.withoutIntentCheck:
		g.IntentWon()
	default:
		g.IntentLost()
	}
}

// queueIntent queues the intent record of an attempt, once for each attempt.
func (c *Control) queueIntent(g *gang.Gang) {
	t := c.tenure
	id := g.ID()
	if t.queuedIntents[id.Job] == id.Attempt {
		return
	}
	t.queuedIntents[id.Job] = id.Attempt
	c.appender.add(jobs.Record{Kind: jobs.RecordIntent, Intent: &jobs.Intent{
		Job: id.Job, Attempt: id.Attempt, Holder: c.Holder, Epoch: t.epoch}})
	c.follower.requestRead()
}

// attemptEnded reports an ended attempt to the planner. It queues an ended record if the job has ended or was checkpointed.
// For a run-once job that may have run, it calls submit, which ends the job.
func (c *Control) attemptEnded(g *gang.Gang, now time.Time) {
	t := c.tenure
	job := g.Job()
	result := g.Result()
	t.planner.Ended(job.ID, t.plannerAttempt[job.ID], result, now)
	t.planDue = true
	c.logger.Info().Str("job", job.ID).Str("account", job.Account).Uint64("attempt", g.ID().Attempt).
		Str("result", string(result.Kind)).Str("detail", result.Detail).Msg("attempt ended")
	final := gang.FinalState(job, result, g.Released())
	e, known := c.fold.Get(job.ID)
	if known && e.Cancelled && (gang.Cancelled(result) || g.Planned() && final == jobs.StateUnknown) {
		final = jobs.StateCancelled
	}
	if status, ok := t.planner.Status(job.ID); ok && final == "" && status.State.Final() {
		final, result.Detail = status.State, status.Reason
	}
	if final != "" {
		c.endJob(job, g.ID().Attempt, final, result.Detail)
		return
	}
	if result.Checkpointed {
		t.checkpoints[job.ID] = g.Checkpoints()
		delete(t.released, job.ID)
		c.appender.add(jobs.Record{Kind: jobs.RecordEnded, Ended: &jobs.Ended{Job: job.ID, Attempt: g.ID().Attempt,
			State: jobs.StateWaiting, Detail: result.Detail, At: now, Checkpoints: g.Checkpoints()}})
	}
	c.removeGang(g)
	if known && e.Ended == nil && job.RunOnce && e.Intent != nil && !result.Checkpointed && !c.ownIntent(e) {
		t.planner.Cancel(job.ID, now)
		c.submit(e, now)
	}
}

// endJob queues the ended record of a job with a final state. The tasks stay in the inventories until the record is read
// back.
func (c *Control) endJob(job jobs.Job, attempt uint64, state jobs.State, detail string) {
	t := c.tenure
	if t.endPending[job.ID] {
		return
	}
	t.endPending[job.ID] = true
	delete(t.blocked, job.ID)
	c.logger.Info().Str("job", job.ID).Str("account", job.Account).Str("state", string(state)).Str("detail", detail).
		Msg("job ended")
	c.appender.add(jobs.Record{Kind: jobs.RecordEnded, Ended: &jobs.Ended{Job: job.ID, Attempt: attempt, State: state,
		Detail: detail, At: time.Now()}})
}

// removeGang removes an attempt. Its tasks that are still in the inventories are then stopped and forgotten.
func (c *Control) removeGang(g *gang.Gang) {
	t := c.tenure
	id := g.Job().ID
	delete(t.gangs, id)
	delete(t.unsettled, id)
	t.gangsByWorker = nil
	delete(t.plannerAttempt, id)
	delete(t.provisional, id)
	for _, worker := range g.Workers() {
		if w := c.workers[worker]; w != nil && w.inventoryRead {
			c.classifyOrphans(w)
		}
	}
}

// plan runs the planner if a plan is due, and carries out its decisions.
func (c *Control) plan(ctx context.Context, now time.Time) {
	t := c.tenure
	if !t.planDue && (t.nextPlan.IsZero() || now.Before(t.nextPlan)) {
		return
	}
	t.planDue = false
	plan := t.planner.Plan(now)
	t.nextPlan = plan.NextCheck
	for _, stop := range plan.Stops {
		c.stopAttempt(stop, now)
	}
	for _, failure := range plan.PermanentFailures {
		if e, ok := c.fold.Get(failure.Job); ok && t.gangs[failure.Job] == nil && e.Ended == nil {
			c.endJob(e.Job, e.Attempt, jobs.StateFailed, failure.Detail)
		}
	}
	for _, start := range plan.Starts {
		c.startAttempt(ctx, start, now)
	}
	c.reportConditions(t.planner.Conditions())
}

// stopAttempt carries out a planned stop unless the attempt has been replaced.
func (c *Control) stopAttempt(stop scheduler.Stop, now time.Time) {
	g := c.tenure.gangs[stop.Job]
	if g == nil || c.tenure.plannerAttempt[stop.Job] != stop.Attempt {
		return
	}
	bound := time.Duration(0)
	if stop.Checkpoint {
		bound = max(stop.CheckpointBound, time.Second)
	}
	g.Stop(string(stop.Reason), bound)
	c.stepGang(g, now)
}

// startAttempt creates the gang for a planned start. If the job is not known, has ended, was cancelled or has an attempt, it
// reports to the planner that the start was not carried out.
func (c *Control) startAttempt(ctx context.Context, start scheduler.Start, now time.Time) {
	t := c.tenure
	id := start.Job.ID
	e, ok := c.fold.Get(id)
	if !ok || e.Ended != nil || e.Cancelled || t.gangs[id] != nil || t.endPending[id] {
		t.planner.Ended(id, start.Attempt, scheduler.Result{Kind: scheduler.ResultNotStarted}, now)
		t.planner.Cancel(id, now)
		t.planDue = true
		return
	}
	resumeFrom := t.checkpoints[id]
	if resumeFrom == nil {
		resumeFrom = e.Checkpoints
	}
	attempt := t.epoch*attemptsPerTenure + start.Attempt%attemptsPerTenure
	g := gang.New(start.Job, attempt, start.Placement, resumeFrom, start.Job.RunOnce && !c.logAvailable(), now)
	t.gangs[id] = g
	t.gangsByWorker = nil
	t.plannerAttempt[id] = start.Attempt
	_, span := otel.Tracer("redwingthread/control").Start(ctx, "start attempt", trace.WithAttributes(
		attribute.String("job", id), attribute.String("account", start.Job.Account),
		attribute.String("failure_domain", c.FailureDomain), attribute.Int64("attempt", int64(attempt))))
	t.startSpans[id] = startSpan{span: span, since: now}
	c.logger.Info().Str("job", id).Str("account", start.Job.Account).Uint64("attempt", attempt).
		Strs("workers", start.Placement).Bool("borrowed", start.Borrowed).Msg("attempt started")
	c.stepGang(g, now)
}

// snapshot queues a snapshot of the job stream if one is due: after the number of records or the interval above, or if records
// expired before this process had read them and this tenure has not queued a snapshot yet.
func (c *Control) snapshot(now time.Time) {
	due := c.fold.SinceSnapshot() >= c.SnapshotRecords || (!c.fold.Complete() && !c.tenure.snapshotQueued)
	if c.fold.Next() > 0 && now.Sub(c.lastSnapshotAt) >= snapshotInterval {
		due = true
	}
	if !due || !c.caughtUp || !c.logAvailable() || c.fold.Stopped() || now.Sub(c.lastSnapshotAt) < time.Second {
		return
	}
	c.lastSnapshotAt = now
	c.tenure.snapshotQueued = true
	c.appender.add(jobs.Record{Kind: jobs.RecordSnapshot, Snapshot: c.fold.Snapshot()})
}
