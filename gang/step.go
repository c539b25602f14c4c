package gang

import (
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/scheduler"
)

// Observe records the state of a member's task in the inventory of a worker. It ignores the task of a member that was placed
// on another worker or is already gone.
func (g *Gang) Observe(index int, worker string, task infra.Task) {
	if index < 0 || index >= len(g.members) {
		return
	}
	m := &g.members[index]
	if m.state == stateUnseen && m.worker != worker {
		m.worker = worker
	}
	if m.worker != worker || m.state == stateGone {
		return
	}
	m.state = task.State
	m.detail = task.Detail
	if task.Checkpoint != "" {
		m.checkpoint = task.Checkpoint
	}
	if m.running() || m.state == infra.TaskDone {
		g.released = true
	}
}

// ObserveMissing records that the inventory of a worker lacks every member that was placed on it and for which seen is false.
// If the worker restarted, such a member is gone unless it had completed. Otherwise a member that has ended or that the worker does not know yet keeps
// its state, a reserved member is reserved again in PhaseReserving, and any other is gone.
func (g *Gang) ObserveMissing(worker string, restarted bool, seen func(index int) bool) {
	for i := range g.members {
		m := &g.members[i]
		if m.worker != worker || seen(i) || m.state == stateUnseen {
			continue
		}
		switch {
		case m.state.Ended() && !restarted:
		case m.state == stateNone && !restarted:
		case m.state == infra.TaskReserved && !restarted && g.phase == PhaseReserving:
			m.state = stateNone
		case m.state == infra.TaskDone:
		default:
			m.state = stateGone
		}
	}
}

// MarkWorkerGone records that no task of the attempt can still run on the worker.
func (g *Gang) MarkWorkerGone(worker string) {
	for i := range g.members {
		m := &g.members[i]
		if m.worker == worker && !m.state.Ended() {
			m.state = stateGone
		}
	}
}

// MarkUnseenGone records that members not found so far run nowhere: every worker's inventory was read, or its task leases
// have expired.
func (g *Gang) MarkUnseenGone() {
	for i := range g.members {
		if g.members[i].state == stateUnseen {
			g.members[i].state = stateGone
		}
	}
}

// Acknowledged records that a worker accepted a command for the member with this index.
func (g *Gang) Acknowledged(index int, op infra.Op, now time.Time) {
	if index < 0 || index >= len(g.members) {
		return
	}
	g.members[index].ackOp = op
	g.members[index].ackAt = now
}

// Rejected records that a worker rejected a command. It stops the attempt if the command was a reservation or a start that
// the member still needs. The inventory that came with the rejection must be observed first.
func (g *Gang) Rejected(index int, op infra.Op, reason string, now time.Time) {
	if index < 0 || index >= len(g.members) {
		return
	}
	g.Acknowledged(index, op, now)
	m := &g.members[index]
	rejectedReserve := op == infra.OpReserve && m.state == stateNone && g.phase == PhaseReserving
	rejectedStart := op == infra.OpStart && !m.resident() && g.phase == PhaseStarting
	if rejectedReserve || rejectedStart {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Workers: []string{m.worker},
			Detail: "worker " + m.worker + " refused to " + string(op) + ": " + reason})
	}
}

// LogAvailable records that the log is available, which ends PhaseAwaitingLog.
func (g *Gang) LogAvailable(now time.Time) {
	if g.phase == PhaseAwaitingLog {
		g.enterPhase(PhaseReserving, ReserveBound, now)
	}
}

// NeedsIntent reports whether the attempt is waiting for its intent in the log.
func (g *Gang) NeedsIntent() bool { return g.phase == PhaseAwaitingIntent }

// IntentWon records that the intent of this attempt won, because it is the first valid one of the job in the log.
func (g *Gang) IntentWon() { g.intentWon = true }

// IntentLost records that the attempt cannot win the intent, so it must not be released.
func (g *Gang) IntentLost() {
	if !g.released && !g.stopping {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "another scheduler recorded its intent first"})
	}
}

// Stop begins a planned stop unless a stop has begun. If bound is positive and the attempt may have been released, members
// of a job that can checkpoint save a checkpoint within bound, at most TaskLease.
func (g *Gang) Stop(detail string, bound time.Duration) {
	if g.stopping || g.phase == PhaseEnded {
		return
	}
	kind := scheduler.ResultStopped
	if !g.released {
		kind = scheduler.ResultNotStarted
	}
	g.stopRequested = true
	g.stop(scheduler.Result{Kind: kind, Detail: detail}, bound)
}

// abort begins a stop without checkpoints.
func (g *Gang) abort(result scheduler.Result) { g.stop(result, 0) }

// stop begins a stop with this result unless one has begun. checkpointBound limits the checkpoints; 0 stops without them.
func (g *Gang) stop(result scheduler.Result, checkpointBound time.Duration) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.result = result
	g.phase = PhaseStopping
	g.deadline = time.Time{}
	if g.job.CanCheckpoint && checkpointBound > 0 && g.released {
		g.checkpointMS = min(checkpointBound, TaskLease).Milliseconds()
	}
}

// Step advances the attempt. It must be called after each event and at the time that Next returns.
func (g *Gang) Step(now time.Time) {
	for {
		before := g.phase
		g.advance(now)
		if g.phase == before {
			break
		}
	}
	g.checkDivergence(now)
}

// Next returns the time at which Step must be called without an event; zero if there is none.
func (g *Gang) Next() time.Time { return g.deadline }

func (g *Gang) advance(now time.Time) {
	expired := !g.deadline.IsZero() && !now.Before(g.deadline)
	switch g.phase {
	case PhaseReserving:
		g.advanceReserving(expired, now)
	case PhaseStarting:
		g.advanceStarting(expired, now)
	case PhaseAwaitingIntent:
		if g.intentWon {
			g.enterPhase(PhaseReleasing, ReleaseBound, now)
		} else if !g.checkLoss() && expired {
			g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "the intent was not recorded in time"})
		}
	case PhaseReleasing:
		g.advanceReleasing(expired, now)
	case PhaseRunning:
		g.advanceRunning(now)
	case PhaseStopping:
		g.advanceStopping()
	}
}

func (g *Gang) advanceReserving(expired bool, now time.Time) {
	reserved := func(m *member) bool { return m.state == infra.TaskReserved || m.resident() }
	if g.all(reserved) {
		g.enterPhase(PhaseStarting, StartBound, now)
		return
	}
	lost := func(m *member) bool { return m.inactive() && m.state != stateNone && m.state != infra.TaskDone }
	if g.any(lost) || expired {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "not reserved in time",
			Workers: g.workersOf(func(m *member) bool { return !reserved(m) })})
	}
}

func (g *Gang) advanceStarting(expired bool, now time.Time) {
	if g.all((*member).resident) {
		if g.job.RunOnce && !g.intentWon {
			g.enterPhase(PhaseAwaitingIntent, IntentBound, now)
			return
		}
		g.enterPhase(PhaseReleasing, ReleaseBound, now)
		return
	}
	if g.checkLoss() {
		return
	}
	if expired {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "not resident in time",
			Workers: g.workersOf(func(m *member) bool { return !m.resident() })})
	}
}

func (g *Gang) advanceReleasing(expired bool, now time.Time) {
	if g.all(func(m *member) bool { return m.running() || m.state == infra.TaskDone }) {
		g.enterPhase(PhaseRunning, 0, now)
		return
	}
	if g.checkLoss() {
		return
	}
	if expired {
		g.stop(scheduler.Result{Kind: scheduler.ResultLost, Detail: "release not confirmed in time",
			Workers: g.workersOf(func(m *member) bool { return m.state == infra.TaskHeld })}, LossCheckpointBound)
	}
}

// advanceRunning handles a running gang and a gang adopted in any state: it releases an adopted gang whose members are
// all resident, and stops one with a lost or merely reserved member.
func (g *Gang) advanceRunning(now time.Time) {
	if g.all(func(m *member) bool { return m.state == infra.TaskDone }) {
		g.end(scheduler.Result{Kind: scheduler.ResultCompleted})
		return
	}
	if g.checkLoss() {
		return
	}
	if g.any(func(m *member) bool { return m.state == infra.TaskReserved }) {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "the previous scheduler stopped before the start"})
		return
	}
	if g.any(func(m *member) bool { return m.state == stateUnseen }) ||
		!g.any(func(m *member) bool { return m.state == infra.TaskHeld }) {
		return
	}
	if g.job.RunOnce && !g.intentWon && !g.released {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "the previous scheduler stopped before the release"})
		return
	}
	g.enterPhase(PhaseReleasing, ReleaseBound, now)
}

// checkLoss stops the attempt if a member failed or was lost. It reports whether that is the case.
func (g *Gang) checkLoss() bool {
	hasFailed := func(m *member) bool { return m.state == infra.TaskFailed }
	isLost := func(m *member) bool { return m.inactive() && m.state != infra.TaskDone && !hasFailed(m) }
	if !g.any(hasFailed) && !g.any(isLost) {
		return false
	}
	// The worker of a lost member may be unknown in an adopted gang, so the lists of workers may be empty.
	failed, lost := g.workersOf(hasFailed), g.workersOf(isLost)
	switch {
	case g.any(hasFailed):
		g.stop(scheduler.Result{Kind: scheduler.ResultFailed, Workers: failed, Detail: g.failureDetail()}, LossCheckpointBound)
	case !g.released:
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Workers: lost, Detail: "a member was lost before the release"})
	default:
		g.stop(scheduler.Result{Kind: scheduler.ResultLost, Workers: lost, Detail: "a member was lost"}, LossCheckpointBound)
	}
	return true
}

// failureDetail returns the detail of the first failed member; empty if none has failed.
func (g *Gang) failureDetail() string {
	for i := range g.members {
		if g.members[i].state == infra.TaskFailed {
			return g.members[i].detail
		}
	}
	return ""
}

func (g *Gang) advanceStopping() {
	if !g.all((*member).inactive) {
		return
	}
	result := g.result
	switch {
	case g.all(func(m *member) bool { return m.state == infra.TaskDone }):
		result = scheduler.Result{Kind: scheduler.ResultCompleted}
	case result.Kind == scheduler.ResultNotStarted && g.released:
		result.Kind = scheduler.ResultLost
	}
	result.Checkpointed = g.checkpointMS > 0 && g.allCheckpointed()
	g.end(result)
}

// allCheckpointed reports whether every member has completed or has another checkpoint than the one it started from.
func (g *Gang) allCheckpointed() bool {
	if g.Checkpoints() == nil {
		return false
	}
	for i := range g.resumeFrom {
		m := &g.members[i]
		if m.state != infra.TaskDone && m.checkpoint == g.resumeFrom[i] {
			return false
		}
	}
	return true
}

// end ends the attempt. A run-once job that may have run and was neither completed nor checkpointed ends as unknown.
func (g *Gang) end(result scheduler.Result) {
	if g.job.RunOnce && g.released && result.Kind == scheduler.ResultLost && !result.Checkpointed {
		result.Kind = scheduler.ResultUnknown
	}
	if g.job.RunOnce && g.released && result.Kind == scheduler.ResultStopped && !result.Checkpointed {
		result.Kind = scheduler.ResultUnknown
	}
	g.result = result
	g.phase = PhaseEnded
	g.deadline = time.Time{}
}

// workersOf returns the distinct workers of the members for which ok is true.
func (g *Gang) workersOf(ok func(*member) bool) []string {
	seen := map[string]bool{}
	var workers []string
	for i := range g.members {
		m := &g.members[i]
		if ok(m) && m.worker != "" && !seen[m.worker] {
			seen[m.worker] = true
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// Commands returns the commands that the members on a worker need now. It leaves out a command that the worker
// accepted or rejected less than repeatInterval ago, since its effect may take time. A release that it returns counts as sent.
func (g *Gang) Commands(worker string, now time.Time) []infra.Command {
	var commands []infra.Command
	for i := range g.members {
		m := &g.members[i]
		if m.worker != worker {
			continue
		}
		command, ok := g.command(i)
		if !ok || (m.ackOp == command.Op && now.Sub(m.ackAt) < repeatInterval) {
			continue
		}
		if command.Op == infra.OpRelease {
			invariant.Check(!g.job.RunOnce || g.intentWon, invariant.AtMostOnce,
				"run-once job %s attempt %d is released although its intent did not win", g.job.ID, g.attempt)
			g.released = true
		}
		commands = append(commands, command)
	}
	return commands
}

// RepeatAt returns the earliest time at which a command that was accepted or rejected, but is still needed, is due again;
// zero if there is none.
func (g *Gang) RepeatAt() time.Time {
	var at time.Time
	for i := range g.members {
		m := &g.members[i]
		command, ok := g.command(i)
		if !ok || m.ackOp != command.Op {
			continue
		}
		if repeatAt := m.ackAt.Add(repeatInterval); at.IsZero() || repeatAt.Before(at) {
			at = repeatAt
		}
	}
	return at
}

// command returns the command that a member needs in the current phase, and whether there is one.
func (g *Gang) command(index int) (infra.Command, bool) {
	m := &g.members[index]
	c := infra.Command{Attempt: g.ID(), Member: index}
	switch {
	case g.phase == PhaseReserving && m.state == stateNone:
		c.Op = infra.OpReserve
		c.Resources = g.job.Shape.PerMember
		c.TTLMS = ReservationTTL.Milliseconds()
	case g.phase == PhaseStarting && m.state == infra.TaskReserved:
		c.Op = infra.OpStart
		c.Run = g.job.Run
		if index < len(g.resumeFrom) {
			c.Checkpoint = g.resumeFrom[index]
		}
	case g.phase == PhaseReleasing && m.state == infra.TaskHeld:
		c.Op = infra.OpRelease
	case g.phase == PhaseStopping && !m.inactive() && m.state != stateUnseen:
		c.Op = infra.OpStop
		if g.checkpointMS > 0 && m.running() {
			c.Checkpoint = "stop"
			c.CheckpointMS = g.checkpointMS
		}
	default:
		return infra.Command{}, false
	}
	return c, true
}

// Cancelled reports whether a cancelled job whose attempt ended with result may end in StateCancelled.
func Cancelled(result scheduler.Result) bool {
	return result.Kind != scheduler.ResultCompleted && result.Kind != scheduler.ResultUnknown
}

// FinalState returns the final state of a job that follows from the result of an attempt; empty if the job may run again.
// released says whether the attempt may have run.
func FinalState(job jobs.Job, result scheduler.Result, released bool) jobs.State {
	switch {
	case result.Kind == scheduler.ResultCompleted:
		return jobs.StateCompleted
	case result.Kind == scheduler.ResultUnknown:
		return jobs.StateUnknown
	case result.Kind == scheduler.ResultFailed && job.RunOnce && released && !result.Checkpointed:
		return jobs.StateFailed
	}
	return ""
}
