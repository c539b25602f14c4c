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

// Snapshot rules: a snapshot is appended after Options.SnapshotRecords records or snapshotInterval, whichever comes first, so
// that it is renewed well before the oldest record that it covers expires.
const (
	snapshotRecords  = 1000
	snapshotInterval = 10 * time.Minute
)

// attemptsPerTenure separates the attempt numbers of tenures, so that no attempt of a previous holder has the number of
// a new one.
const attemptsPerTenure = 10_000

// startSpan is the span of a start under way.
type startSpan struct {
	span  trace.Span
	since time.Time
}

// gangsOn returns the gangs with a member on a worker.
func (t *tenure) gangsOn(worker string) []*gang.Gang {
	if t.onWorker != nil {
		return t.onWorker[worker]
	}
	t.onWorker = map[string][]*gang.Gang{}
	for _, g := range t.gangs {
		for _, on := range g.Workers() {
			t.onWorker[on] = append(t.onWorker[on], g)
		}
	}
	for _, on := range t.onWorker {
		sort.Slice(on, func(i, k int) bool { return on[i].Job().ID < on[k].Job().ID })
	}
	return t.onWorker[worker]
}

// settled reports whether a gang needs no step before the next event.
func settled(g *gang.Gang) bool { return g.Phase() == gang.PhaseRunning && !g.Unseen() }

// stepTenure does what the active scheduler has to do now.
func (c *Control) stepTenure(ctx context.Context, now time.Time) {
	t := c.tenure
	if !t.adopted {
		if !c.readyToAdopt(now) {
			return
		}
		c.adoptAll(now)
	}
	if !now.Before(t.healthAt) {
		t.healthAt = now.Add(healthInterval)
		for id, w := range c.workers {
			c.updateHealth(w, now)
			if w.health == scheduler.HealthGone && !w.outstanding && !c.configured(id) && len(t.gangsOn(id)) == 0 {
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

// readyToAdopt reports whether the workers and the job stream have been read, as far as they answer in time.
func (c *Control) readyToAdopt(now time.Time) bool {
	waited := now.Sub(c.tenure.since)
	readWorkers := c.unread() == 0 || waited >= readGrace
	readLog := !c.tailAt.Before(c.tenure.since) || (c.readFailed && waited >= readGrace) || waited >= catchUpGrace
	return readWorkers && readLog
}

// updateHealth derives the health of a worker from its answers.
func (c *Control) updateHealth(w *worker, now time.Time) {
	t := c.tenure
	if !t.adopted {
		return
	}
	silent := now.Sub(w.answeredAt)
	switch {
	case w.read && silent < unreachableAfter:
		c.setHealth(w, c.reachableHealth(w), now)
	case !w.read && now.Before(t.lapseAt):
		c.setHealth(w, scheduler.HealthUnreachable, now)
	case w.read && now.Before(c.tasksLapse(w)) && !c.withoutLapseWait:
		c.setHealth(w, scheduler.HealthUnreachable, now)
	default:
		c.setGone(w, now)
	}
}

// tasksLapse returns the time at which all tasks on a silent worker must have lapsed. The previous holder may have
// renewed them until the start of this tenure.
func (c *Control) tasksLapse(w *worker) time.Time {
	last := c.tenure.since
	if w.touchedAt.After(last) {
		last = w.touchedAt
	}
	return last.Add(gang.TaskLease + lapseMargin)
}

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
	c.log.Info().Str("worker", w.id).Str("health", string(health)).Msg("worker health changed")
	w.health = health
	c.reportHealth(w, now)
}

func (c *Control) reportHealth(w *worker, now time.Time) {
	c.tenure.planner.SetWorkerHealth(w.id, w.health, now)
	c.tenure.planDue = true
}

// setGone ends the members on a worker whose task leases must have lapsed.
func (c *Control) setGone(w *worker, now time.Time) {
	if w.health == scheduler.HealthGone {
		return
	}
	w.revision = 0
	w.tasks = nil
	w.strays = nil
	w.kept = nil
	c.setHealth(w, scheduler.HealthGone, now)
	if c.withoutLossReports {
		return
	}
	for _, g := range c.tenure.gangsOn(w.id) {
		g.MarkWorkerGone(w.id)
	}
}

// stepGangsOn advances the gangs on a worker after news from it.
func (c *Control) stepGangsOn(w *worker, now time.Time) {
	if !c.tenure.adopted {
		return
	}
	for _, g := range c.tenure.gangsOn(w.id) {
		c.stepGang(g, now)
	}
}

// stepGang advances one gang and does what follows from its new phase.
func (c *Control) stepGang(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	if t.gangs[id] != g || t.closing[id] {
		return
	}
	before := g.Phase()
	if before == gang.PhaseAwaitingLog && c.logUp() {
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
		c.sendIntent(g)
	}
	if before != g.Phase() {
		c.phaseChanged(g, now)
	}
	for _, worker := range g.Workers() {
		w := c.workers[worker]
		if w != nil && !w.wanted && len(g.Commands(worker, now)) > 0 {
			w.wanted = true
		}
	}
	if g.Phase() == gang.PhaseEnded {
		c.finish(g, now)
	}
}

func (c *Control) phaseChanged(g *gang.Gang, now time.Time) {
	t := c.tenure
	id := g.Job().ID
	c.log.Info().Str("job", id).Str("account", g.Job().Account).Uint64("attempt", g.ID().Attempt).
		Str("phase", string(g.Phase())).Msg("attempt advanced")
	start, starting := t.spans[id]
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
		c.cost.starts.Update(now.Sub(start.since).Milliseconds())
		start.span.End()
		delete(t.spans, id)
	}
}

// checkIntent tells a gang whether its intent won.
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

func (c *Control) sendIntent(g *gang.Gang) {
	t := c.tenure
	id := g.ID()
	if t.intentSent[id.Job] == id.Attempt {
		return
	}
	t.intentSent[id.Job] = id.Attempt
	c.appender.add(jobs.Record{Kind: jobs.RecordIntent, Intent: &jobs.Intent{
		Job: id.Job, Attempt: id.Attempt, Holder: c.Holder, Epoch: t.epoch}})
	c.follower.poke()
}

// finish reports an ended attempt to the planner and, if it ends the job, to the log.
func (c *Control) finish(g *gang.Gang, now time.Time) {
	t := c.tenure
	job := g.Job()
	result := g.Result()
	t.planner.Ended(job.ID, t.plannerAttempt[job.ID], result, now)
	t.planDue = true
	c.log.Info().Str("job", job.ID).Str("account", job.Account).Uint64("attempt", g.ID().Attempt).
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
		c.end(job, g.ID().Attempt, final, result.Detail)
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

// end queues the ended record of a job. Its tasks stay in the inventories until the record is read back.
func (c *Control) end(job jobs.Job, attempt uint64, state jobs.State, detail string) {
	t := c.tenure
	if t.closing[job.ID] {
		return
	}
	t.closing[job.ID] = true
	delete(t.blocked, job.ID)
	c.log.Info().Str("job", job.ID).Str("account", job.Account).Str("state", string(state)).Str("detail", detail).
		Msg("job ended")
	c.appender.add(jobs.Record{Kind: jobs.RecordEnded, Ended: &jobs.Ended{Job: job.ID, Attempt: attempt, State: state,
		Detail: detail, At: time.Now()}})
}

func (c *Control) removeGang(g *gang.Gang) {
	t := c.tenure
	id := g.Job().ID
	delete(t.gangs, id)
	delete(t.unsettled, id)
	t.onWorker = nil
	delete(t.plannerAttempt, id)
	delete(t.guessed, id)
	for _, worker := range g.Workers() {
		if w := c.workers[worker]; w != nil && w.read {
			c.sortStrays(w)
		}
	}
}

// plan carries out what the planner decides.
func (c *Control) plan(ctx context.Context, now time.Time) {
	t := c.tenure
	if !t.planDue && (t.planAt.IsZero() || now.Before(t.planAt)) {
		return
	}
	t.planDue = false
	plan := t.planner.Plan(now)
	t.planAt = plan.NextCheck
	for _, stop := range plan.Stops {
		c.stopAttempt(stop, now)
	}
	for _, condemned := range plan.Condemned {
		if e, ok := c.fold.Get(condemned.Job); ok && t.gangs[condemned.Job] == nil && e.Ended == nil {
			c.end(e.Job, e.Attempt, jobs.StateFailed, condemned.Detail)
		}
	}
	for _, start := range plan.Starts {
		c.startAttempt(ctx, start, now)
	}
	c.reportConditions(t.planner.Conditions())
}

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

func (c *Control) startAttempt(ctx context.Context, start scheduler.Start, now time.Time) {
	t := c.tenure
	id := start.Job.ID
	e, ok := c.fold.Get(id)
	if !ok || e.Ended != nil || e.Cancelled || t.gangs[id] != nil || t.closing[id] {
		t.planner.Ended(id, start.Attempt, scheduler.Result{Kind: scheduler.ResultNotStarted}, now)
		t.planner.Cancel(id, now)
		t.planDue = true
		return
	}
	from := t.checkpoints[id]
	if from == nil {
		from = e.Checkpoints
	}
	attempt := t.epoch*attemptsPerTenure + start.Attempt%attemptsPerTenure
	g := gang.New(start.Job, attempt, start.Placement, from, start.Job.RunOnce && !c.logUp(), now)
	t.gangs[id] = g
	t.onWorker = nil
	t.plannerAttempt[id] = start.Attempt
	_, span := otel.Tracer("redwingthread/control").Start(ctx, "start attempt", trace.WithAttributes(
		attribute.String("job", id), attribute.String("account", start.Job.Account),
		attribute.String("failure_domain", c.FailureDomain), attribute.Int64("attempt", int64(attempt))))
	t.spans[id] = startSpan{span: span, since: now}
	c.log.Info().Str("job", id).Str("account", start.Job.Account).Uint64("attempt", attempt).
		Strs("workers", start.Placement).Bool("borrowed", start.Borrowed).Msg("attempt starts")
	c.stepGang(g, now)
}

// snapshot queues a snapshot when one is due.
func (c *Control) snapshot(now time.Time) {
	due := c.fold.SinceSnapshot() >= c.SnapshotRecords || (!c.fold.Complete() && !c.tenure.snapshots)
	if c.fold.Next() > 0 && now.Sub(c.snapshotAt) >= snapshotInterval {
		due = true
	}
	if !due || !c.readTail || !c.logUp() || c.fold.Stopped() || now.Sub(c.snapshotAt) < time.Second {
		return
	}
	c.snapshotAt = now
	c.tenure.snapshots = true
	c.appender.add(jobs.Record{Kind: jobs.RecordSnapshot, Snapshot: c.fold.Snapshot()})
}
