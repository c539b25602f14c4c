// Package gang runs one attempt to run a job on all its workers or on none.
//
// The attempt reserves on every worker, starts every member held, and releases them only when all are resident. It is
// driven by what the workers report, not by which command was sent: after every event Step says what each member still
// needs. A lost or late response is therefore harmless, because commands are repeated until a worker reports the state.
//
// The package is pure: it has no I/O, clock or goroutines. A Gang is not safe for concurrent use.
package gang

import (
	"fmt"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/scheduler"
)

// Bounds of an attempt.
const (
	// TaskLease is the length of the lease of a task.
	TaskLease = 30 * time.Second
	// ReservationTTL is the lifetime of a reservation that is not started.
	ReservationTTL = 10 * time.Second
	// ReserveBound is the time in which all members must be reserved.
	ReserveBound = 3 * time.Second
	// StartBound is the time in which all reserved members must be resident.
	StartBound = 8 * time.Second
	// IntentBound is the time in which the intent of a run-once job must be read back.
	IntentBound = 5 * time.Second
	// ReleaseBound is the time in which all releases must be confirmed.
	ReleaseBound = 2 * time.Second
	// LossCheckpointBound limits the checkpoint of members that are stopped because another one was lost.
	LossCheckpointBound = 5 * time.Second
	// StopBound is the time in which the members on reachable workers must have stopped, checkpoint included.
	StopBound = LossCheckpointBound + 5*time.Second
	// DifferBound is the longest time for which members may differ in state.
	DifferBound = TaskLease + StopBound
	// repeatInterval is the time after which an acknowledged command without visible effect is sent again. It bounds
	// the delay until a member is seen to be resident, which is part of the 1.8 s that an urgent job has.
	repeatInterval = 250 * time.Millisecond
)

// Phase is the progress of an attempt.
type Phase string

// The phases.
const (
	// PhaseWaitLog holds a run-once attempt back before its reservation while the log is known to be down.
	PhaseWaitLog   Phase = "wait_log"
	PhaseReserving Phase = "reserving"
	PhaseStarting  Phase = "starting"
	// PhaseIntending waits until the intent of a run-once job is read back as the winner.
	PhaseIntending Phase = "intending"
	PhaseReleasing Phase = "releasing"
	PhaseRunning   Phase = "running"
	PhaseStopping  Phase = "stopping"
	PhaseEnded     Phase = "ended"
)

// Member states beyond those of infra.TaskState.
const (
	// stateNone marks a member of which its worker knows nothing.
	stateNone infra.TaskState = ""
	// stateGone marks a member whose worker restarted, or whose task lease must have lapsed.
	stateGone infra.TaskState = "gone"
	// stateUnseen marks a member of an adopted gang whose worker was not yet read.
	stateUnseen infra.TaskState = "unseen"
)

type member struct {
	worker     string
	state      infra.TaskState
	checkpoint string
	detail     string
	// ackOp and ackAt are the last acknowledged command and its time.
	ackOp infra.Op
	ackAt time.Time
}

// over reports whether the member uses nothing.
func (m *member) over() bool { return m.state == stateNone || m.state == stateGone || m.state.Ended() }

func (m *member) runs() bool {
	return m.state == infra.TaskRunning || m.state == infra.TaskCheckpointing
}

// resident reports whether the member is loaded, or has even run.
func (m *member) resident() bool {
	return m.state == infra.TaskHeld || m.runs() || m.state == infra.TaskDone
}

// Gang is one attempt.
type Gang struct {
	job     jobs.Job
	attempt uint64
	phase   Phase
	members []member
	// from holds the checkpoint of each member to start from; empty for a fresh start.
	from []string
	// deadline is the bound of the present phase; zero if it has none.
	deadline time.Time
	// released reports whether a release may have been sent, by this or a previous holder.
	released bool
	// intentWon is set once the log shows the own intent as winner.
	intentWon bool
	// result is set when the gang stops or ends.
	result scheduler.Result
	// checkpointMS bounds the checkpoint of the stop under way; 0 stops without one.
	checkpointMS int64
	stopping     bool
	// planned is set if the stop was asked for, in contrast to a loss.
	planned bool
	// differSince is the time since which members differ in state; zero if they do not.
	differSince time.Time
}

// DoneCheckpoint stands for the checkpoint of a member that had completed when the gang was stopped. The member is not
// started again.
const DoneCheckpoint = "done"

// New returns an attempt at a job on a placement. With waitLog it starts in PhaseWaitLog. from holds the checkpoints to
// continue from, by member; nil for a fresh start.
func New(job jobs.Job, attempt uint64, placement scheduler.Placement, from []string, waitLog bool, now time.Time) *Gang {
	g := &Gang{job: job, attempt: attempt, from: from}
	for i, worker := range placement {
		m := member{worker: worker}
		if i < len(from) && from[i] == DoneCheckpoint {
			m.state = infra.TaskDone
		}
		g.members = append(g.members, m)
	}
	g.phase = PhaseWaitLog
	if !waitLog {
		g.enter(PhaseReserving, ReserveBound, now)
	}
	return g
}

// Adopt returns an attempt that a previous holder started. Its members are unseen until they are observed. intentWon
// says that the log holds the intent of this very attempt. from holds the checkpoints that the attempt continued from.
func Adopt(job jobs.Job, attempt uint64, from []string, intentWon bool) *Gang {
	g := &Gang{job: job, attempt: attempt, from: from, phase: PhaseRunning, intentWon: intentWon, released: intentWon}
	g.members = make([]member, job.Shape.Members)
	for i := range g.members {
		g.members[i].state = stateUnseen
		if i < len(from) && from[i] == DoneCheckpoint {
			g.members[i].state = infra.TaskDone
		}
	}
	return g
}

// Job returns the job.
func (g *Gang) Job() jobs.Job { return g.job }

// ID returns the attempt's id.
func (g *Gang) ID() infra.AttemptID { return infra.AttemptID{Job: g.job.ID, Attempt: g.attempt} }

// Phase returns the present phase.
func (g *Gang) Phase() Phase { return g.phase }

// Released reports whether a member may have run.
func (g *Gang) Released() bool { return g.released }

// Result returns how the attempt ended; valid in PhaseEnded.
func (g *Gang) Result() scheduler.Result { return g.result }

// Placement returns the worker of each member; empty strings for unseen members of an adopted gang.
func (g *Gang) Placement() scheduler.Placement {
	placement := make(scheduler.Placement, len(g.members))
	for i := range g.members {
		placement[i] = g.members[i].worker
	}
	return placement
}

// Unseen reports whether a member of an adopted gang was not found yet.
func (g *Gang) Unseen() bool {
	return g.any(func(m *member) bool { return m.state == stateUnseen })
}

// Planned reports whether the attempt ended by a stop that was asked for.
func (g *Gang) Planned() bool { return g.planned }

// Checkpoints returns the checkpoint of each member, DoneCheckpoint for a completed one, nil unless all have one.
func (g *Gang) Checkpoints() []string {
	names := make([]string, len(g.members))
	for i := range g.members {
		if g.members[i].state == infra.TaskDone {
			names[i] = DoneCheckpoint
			continue
		}
		if g.members[i].checkpoint == "" {
			return nil
		}
		names[i] = g.members[i].checkpoint
	}
	return names
}

// State returns the state of the attempt as shown to operators.
func (g *Gang) State() jobs.State {
	switch g.phase {
	case PhaseRunning:
		return jobs.StateRunning
	case PhaseStopping, PhaseEnded:
		return jobs.StateStopping
	case PhaseWaitLog:
		return jobs.StateWaiting
	}
	return jobs.StateStarting
}

// Reason says in one line what the attempt waits for; empty while it runs.
func (g *Gang) Reason() string {
	switch g.phase {
	case PhaseWaitLog:
		return "waits for the log, which is down: a run-once job starts only after its intent is recorded"
	case PhaseIntending:
		return "waits until its intent is recorded in the log"
	case PhaseStopping:
		return "stops: " + g.result.Detail
	case PhaseReserving, PhaseStarting, PhaseReleasing:
		return fmt.Sprintf("starts (%s)", g.phase)
	}
	return ""
}

// Workers returns the distinct workers of the members that are known.
func (g *Gang) Workers() []string {
	seen := map[string]bool{}
	var workers []string
	for i := range g.members {
		if w := g.members[i].worker; w != "" && !seen[w] {
			seen[w] = true
			workers = append(workers, w)
		}
	}
	return workers
}

// Renewable reports whether the task leases of the attempt are to be renewed. Members that are being stopped without a
// checkpoint are left to lapse.
func (g *Gang) Renewable() bool {
	return g.phase != PhaseEnded && (!g.stopping || g.checkpointMS > 0)
}

func (g *Gang) enter(phase Phase, bound time.Duration, now time.Time) {
	g.phase = phase
	g.deadline = time.Time{}
	if bound > 0 {
		g.deadline = now.Add(bound)
	}
}

func (g *Gang) all(ok func(*member) bool) bool {
	for i := range g.members {
		if !ok(&g.members[i]) {
			return false
		}
	}
	return true
}

func (g *Gang) any(ok func(*member) bool) bool {
	return !g.all(func(m *member) bool { return !ok(m) })
}

// checkWhole asserts P2: members differ in state for at most DifferBound. A member that completed by itself does not
// count, since tasks of a gang may end at different times.
func (g *Gang) checkWhole(now time.Time) {
	running := g.any((*member).runs)
	lost := g.any(func(m *member) bool {
		return m.state != infra.TaskDone && m.state != stateUnseen && !m.runs()
	})
	if !running || !lost {
		g.differSince = time.Time{}
		return
	}
	if g.differSince.IsZero() {
		g.differSince = now
	}
	invariant.Check(now.Sub(g.differSince) <= DifferBound, invariant.GangWhole,
		"members of job %s attempt %d differ since %s", g.job.ID, g.attempt, g.differSince)
}
