package gang

import (
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/scheduler"
)

// Observe reports the state of a member from a worker's inventory.
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
	if m.runs() || m.state == infra.TaskDone {
		g.released = true
	}
}

// Absent reports that the inventory of a worker lacks every member that seen does not contain. After a restart of the
// worker, and for a member that was resident, that is a loss.
func (g *Gang) Absent(worker string, restarted bool, seen func(index int) bool) {
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

// WorkerGone reports that no task of the attempt can run on the worker any more.
func (g *Gang) WorkerGone(worker string) {
	for i := range g.members {
		m := &g.members[i]
		if m.worker == worker && !m.state.Ended() {
			m.state = stateGone
		}
	}
}

// UnseenGone reports that the members which were not found run nowhere: every worker was read or its leases have lapsed.
func (g *Gang) UnseenGone() {
	for i := range g.members {
		if g.members[i].state == stateUnseen {
			g.members[i].state = stateGone
		}
	}
}

// Acknowledged reports that a worker accepted a command.
func (g *Gang) Acknowledged(index int, op infra.Op, now time.Time) {
	if index < 0 || index >= len(g.members) {
		return
	}
	g.members[index].ackOp = op
	g.members[index].ackAt = now
}

// Refused reports that a worker refused a command. The inventory that came with the refusal must be observed first.
func (g *Gang) Refused(index int, op infra.Op, reason string, now time.Time) {
	if index < 0 || index >= len(g.members) {
		return
	}
	g.Acknowledged(index, op, now)
	m := &g.members[index]
	refusedReserve := op == infra.OpReserve && m.state == stateNone && g.phase == PhaseReserving
	refusedStart := op == infra.OpStart && !m.resident() && g.phase == PhaseStarting
	if refusedReserve || refusedStart {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Workers: []string{m.worker},
			Detail: "worker " + m.worker + " refused to " + string(op) + ": " + reason})
	}
}

// LogUp ends PhaseWaitLog.
func (g *Gang) LogUp(now time.Time) {
	if g.phase == PhaseWaitLog {
		g.enter(PhaseReserving, ReserveBound, now)
	}
}

// WantsIntent reports whether the intent has to be appended to the log.
func (g *Gang) WantsIntent() bool { return g.phase == PhaseIntending }

// IntentWon reports that the log shows the own intent as the winner.
func (g *Gang) IntentWon() { g.intentWon = true }

// IntentLost reports that another intent won: the attempt must not be released.
func (g *Gang) IntentLost() {
	if !g.released && !g.stopping {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "another scheduler recorded its intent first"})
	}
}

// Stop asks for a planned stop, with a checkpoint within bound if bound is positive.
func (g *Gang) Stop(detail string, bound time.Duration) {
	if g.stopping || g.phase == PhaseEnded {
		return
	}
	kind := scheduler.ResultStopped
	if !g.released {
		kind = scheduler.ResultNotStarted
	}
	g.planned = true
	g.stop(scheduler.Result{Kind: kind, Detail: detail}, bound)
}

func (g *Gang) abort(result scheduler.Result) { g.stop(result, 0) }

func (g *Gang) stop(result scheduler.Result, bound time.Duration) {
	if g.stopping {
		return
	}
	g.stopping = true
	g.result = result
	g.phase = PhaseStopping
	g.deadline = time.Time{}
	if g.job.CanCheckpoint && bound > 0 && g.released {
		g.checkpointMS = min(bound, TaskLease).Milliseconds()
	}
}

// Step advances the attempt after events or the passing of time.
func (g *Gang) Step(now time.Time) {
	for {
		before := g.phase
		g.advance(now)
		if g.phase == before {
			break
		}
	}
	g.checkWhole(now)
}

// Next returns the time at which Step must be called without an event; zero if there is none.
func (g *Gang) Next() time.Time { return g.deadline }

func (g *Gang) advance(now time.Time) {
	late := !g.deadline.IsZero() && !now.Before(g.deadline)
	switch g.phase {
	case PhaseReserving:
		g.advanceReserving(late, now)
	case PhaseStarting:
		g.advanceStarting(late, now)
	case PhaseIntending:
		if g.intentWon {
			g.enter(PhaseReleasing, ReleaseBound, now)
		} else if !g.checkLoss() && late {
			g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "the intent was not recorded in time"})
		}
	case PhaseReleasing:
		g.advanceReleasing(late, now)
	case PhaseRunning:
		g.advanceRunning(now)
	case PhaseStopping:
		g.advanceStopping()
	}
}

func (g *Gang) advanceReserving(late bool, now time.Time) {
	reserved := func(m *member) bool { return m.state == infra.TaskReserved || m.resident() }
	if g.all(reserved) {
		g.enter(PhaseStarting, StartBound, now)
		return
	}
	lost := func(m *member) bool { return m.over() && m.state != stateNone && m.state != infra.TaskDone }
	if g.any(lost) || late {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "not reserved in time",
			Workers: g.workersOf(func(m *member) bool { return !reserved(m) })})
	}
}

func (g *Gang) advanceStarting(late bool, now time.Time) {
	if g.all((*member).resident) {
		if g.job.RunOnce && !g.intentWon {
			g.enter(PhaseIntending, IntentBound, now)
			return
		}
		g.enter(PhaseReleasing, ReleaseBound, now)
		return
	}
	if g.checkLoss() {
		return
	}
	if late {
		g.abort(scheduler.Result{Kind: scheduler.ResultNotStarted, Detail: "not resident in time",
			Workers: g.workersOf(func(m *member) bool { return !m.resident() })})
	}
}

func (g *Gang) advanceReleasing(late bool, now time.Time) {
	if g.all(func(m *member) bool { return m.runs() || m.state == infra.TaskDone }) {
		g.enter(PhaseRunning, 0, now)
		return
	}
	if g.checkLoss() {
		return
	}
	if late {
		g.stop(scheduler.Result{Kind: scheduler.ResultLost, Detail: "release not confirmed in time",
			Workers: g.workersOf(func(m *member) bool { return m.state == infra.TaskHeld })}, LossCheckpointBound)
	}
}

// advanceRunning also takes an adopted gang on: one that is wholly resident is released, one that is not is stopped.
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
	g.enter(PhaseReleasing, ReleaseBound, now)
}

// checkLoss stops the attempt if a member failed or was lost.
func (g *Gang) checkLoss() bool {
	hasFailed := func(m *member) bool { return m.state == infra.TaskFailed }
	isLost := func(m *member) bool { return m.over() && m.state != infra.TaskDone && !hasFailed(m) }
	if !g.any(hasFailed) && !g.any(isLost) {
		return false
	}
	// A lost member of an adopted gang may have no known worker.
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

func (g *Gang) failureDetail() string {
	for i := range g.members {
		if g.members[i].state == infra.TaskFailed {
			return g.members[i].detail
		}
	}
	return ""
}

func (g *Gang) advanceStopping() {
	if !g.all((*member).over) {
		return
	}
	result := g.result
	switch {
	case g.all(func(m *member) bool { return m.state == infra.TaskDone }):
		result = scheduler.Result{Kind: scheduler.ResultCompleted}
	case result.Kind == scheduler.ResultNotStarted && g.released:
		result.Kind = scheduler.ResultLost
	}
	result.Checkpointed = g.checkpointMS > 0 && g.savedAll()
	g.end(result)
}

// savedAll reports whether every member has a checkpoint that it did not start from.
func (g *Gang) savedAll() bool {
	if g.Checkpoints() == nil {
		return false
	}
	for i := range g.from {
		m := &g.members[i]
		if m.state != infra.TaskDone && m.checkpoint == g.from[i] {
			return false
		}
	}
	return true
}

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

// Commands returns the commands that members on a worker need now. Commands that the worker has just acknowledged are
// left out for a while, since their effect may take time.
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
				"run-once job %s is released in attempt %d without its intent", g.job.ID, g.attempt)
			g.released = true
		}
		commands = append(commands, command)
	}
	return commands
}

// RepeatAt returns the time at which a command that was acknowledged without visible effect is sent again; zero if
// there is none.
func (g *Gang) RepeatAt() time.Time {
	var at time.Time
	for i := range g.members {
		m := &g.members[i]
		command, ok := g.command(i)
		if !ok || m.ackOp != command.Op {
			continue
		}
		if again := m.ackAt.Add(repeatInterval); at.IsZero() || again.Before(at) {
			at = again
		}
	}
	return at
}

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
		if index < len(g.from) {
			c.Checkpoint = g.from[index]
		}
	case g.phase == PhaseReleasing && m.state == infra.TaskHeld:
		c.Op = infra.OpRelease
	case g.phase == PhaseStopping && !m.over() && m.state != stateUnseen:
		c.Op = infra.OpStop
		if g.checkpointMS > 0 && m.runs() {
			c.Checkpoint = "stop"
			c.CheckpointMS = g.checkpointMS
		}
	default:
		return infra.Command{}, false
	}
	return c, true
}

// Cancelled reports whether a stop of the job because of its cancellation may end it as cancelled.
func Cancelled(result scheduler.Result) bool {
	return result.Kind != scheduler.ResultCompleted && result.Kind != scheduler.ResultUnknown
}

// FinalState returns the final state that a result alone implies, "" if the job may run again.
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
