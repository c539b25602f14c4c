// Package gang is the state machine of one attempt at a job, which runs on all of its workers or on none.
//
// An attempt reserves resources for every member, starts every member in the held state, and releases them only when all
// are resident. The state that workers report drives it, not the commands that were sent: after each event, Step advances
// the attempt and Commands returns what each member still needs. Commands are repeated until a worker reports the
// intended state, so a lost or late response does no harm.
//
// The package has no I/O, clock or goroutines. A Gang is not safe for concurrent use.
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
	// TaskLease is the length of a task lease. A worker stops a task whose lease was not renewed within this time.
	TaskLease = 30 * time.Second
	// ReservationTTL is the time after which a reservation expires if its task is not started.
	ReservationTTL = 10 * time.Second
	// ReserveBound limits the time until all members are reserved.
	ReserveBound = 3 * time.Second
	// StartBound limits the time until all reserved members are resident.
	StartBound = 8 * time.Second
	// IntentBound limits the time until the intent of a run-once job is read back from the log.
	IntentBound = 5 * time.Second
	// ReleaseBound limits the time until all releases are confirmed.
	ReleaseBound = 2 * time.Second
	// LossCheckpointBound limits the checkpoint of members that are stopped because another member was lost.
	LossCheckpointBound = 5 * time.Second
	// StopBound limits the time until the members on reachable workers have stopped, including their checkpoints.
	StopBound = LossCheckpointBound + 5*time.Second
	// DivergenceBound limits the time during which some members run while others do not.
	DivergenceBound = TaskLease + StopBound
	// repeatInterval is the time after which an acknowledged command that has had no visible effect is sent again. It
	// bounds the delay until a member is known to be resident, which is part of the 1.8 s that an urgent job has to start.
	repeatInterval = 250 * time.Millisecond
)

// Phase is a stage in the life of an attempt.
type Phase string

// The phases of an attempt.
const (
	// PhaseAwaitingLog delays a run-once attempt before its reservations while the log is known to be unavailable.
	PhaseAwaitingLog Phase = "wait_log"
	PhaseReserving   Phase = "reserving"
	PhaseStarting    Phase = "starting"
	// PhaseAwaitingIntent waits until the log shows that the intent of this run-once attempt won.
	PhaseAwaitingIntent Phase = "intending"
	PhaseReleasing      Phase = "releasing"
	PhaseRunning        Phase = "running"
	PhaseStopping       Phase = "stopping"
	PhaseEnded          Phase = "ended"
)

// Member states beyond those of infra.TaskState.
const (
	// stateNone marks a member that its worker does not know yet.
	stateNone infra.TaskState = ""
	// stateGone marks a member whose task can no longer run, since its worker restarted or lost the task, or its task lease
	// must have expired.
	stateGone infra.TaskState = "gone"
	// stateUnseen marks a member of an adopted gang that no inventory has shown yet.
	stateUnseen infra.TaskState = "unseen"
)

type member struct {
	// worker is empty while the member of an adopted gang is unseen.
	worker string
	state  infra.TaskState
	// checkpoint is the last checkpoint that the worker reported; empty if there is none.
	checkpoint string
	// detail is the reason of a failure.
	detail string
	// ackOp and ackAt are the operation of the last command that the worker accepted or rejected, and the time at which its
	// result was recorded.
	ackOp infra.Op
	ackAt time.Time
}

// inactive reports whether the member uses no resources, because it is not reserved yet, is gone or has ended.
func (m *member) inactive() bool {
	return m.state == stateNone || m.state == stateGone || m.state.Ended()
}

// running reports whether the member has been released and has not ended. That includes the time of a checkpoint.
func (m *member) running() bool {
	return m.state == infra.TaskRunning || m.state == infra.TaskCheckpointing
}

// resident reports whether the member is loaded: it is held, is running or has completed.
func (m *member) resident() bool {
	return m.state == infra.TaskHeld || m.running() || m.state == infra.TaskDone
}

// Gang is one attempt at a job.
type Gang struct {
	job     jobs.Job
	attempt uint64
	phase   Phase
	members []member
	// resumeFrom holds the checkpoint from which each member starts; empty for a start without checkpoints.
	resumeFrom []string
	// deadline is the end of the current phase; zero if the phase has no bound.
	deadline time.Time
	// released is set once a release may have been sent, by this or a previous holder.
	released bool
	// intentWon is set once the log shows that the intent of this attempt won.
	intentWon bool
	// result says how the attempt ends. It is set when a stop begins and is final in PhaseEnded.
	result scheduler.Result
	// checkpointMS limits the duration of the checkpoints of a stop; 0 if members stop without a checkpoint.
	checkpointMS int64
	// stopping is set once a stop has begun and stays set in PhaseEnded.
	stopping bool
	// stopRequested is set if Stop began the stop, rather than a loss, a failure or a timeout.
	stopRequested bool
	// divergedSince is the time since which only some members run; zero if all or none do.
	divergedSince time.Time
}

// DoneCheckpoint takes the place of a checkpoint for a member that had completed when the gang was stopped. The member is
// not started again.
const DoneCheckpoint = "done"

// New returns an attempt at a job on a placement. It starts in PhaseAwaitingLog if awaitLog is set, else in PhaseReserving.
// resumeFrom holds the checkpoint from which each member continues; nil for a start without checkpoints.
func New(job jobs.Job, attempt uint64, placement scheduler.Placement, resumeFrom []string, awaitLog bool, now time.Time) *Gang {
	g := &Gang{job: job, attempt: attempt, resumeFrom: resumeFrom}
	for i, worker := range placement {
		m := member{worker: worker}
		if i < len(resumeFrom) && resumeFrom[i] == DoneCheckpoint {
			m.state = infra.TaskDone
		}
		g.members = append(g.members, m)
	}
	g.phase = PhaseAwaitingLog
	if !awaitLog {
		g.enterPhase(PhaseReserving, ReserveBound, now)
	}
	return g
}

// Adopt returns an attempt that a previous holder started, in PhaseRunning. Its members are unseen until they are observed.
// intentWon says whether the log shows that the intent of this attempt won. resumeFrom holds the checkpoint from which each
// member of the attempt started; nil for a start without checkpoints.
func Adopt(job jobs.Job, attempt uint64, resumeFrom []string, intentWon bool) *Gang {
	g := &Gang{job: job, attempt: attempt, resumeFrom: resumeFrom, phase: PhaseRunning, intentWon: intentWon, released: intentWon}
	g.members = make([]member, job.Shape.Members)
	for i := range g.members {
		g.members[i].state = stateUnseen
		if i < len(resumeFrom) && resumeFrom[i] == DoneCheckpoint {
			g.members[i].state = infra.TaskDone
		}
	}
	return g
}

// Job returns the job.
func (g *Gang) Job() jobs.Job { return g.job }

// ID returns the id of the attempt.
func (g *Gang) ID() infra.AttemptID { return infra.AttemptID{Job: g.job.ID, Attempt: g.attempt} }

// Phase returns the current phase.
func (g *Gang) Phase() Phase { return g.phase }

// Released reports whether a release may have been sent, so that members may have run.
func (g *Gang) Released() bool { return g.released }

// Result returns how the attempt ended. It is valid in PhaseEnded.
func (g *Gang) Result() scheduler.Result { return g.result }

// Placement returns the worker of each member; an unseen member of an adopted gang has an empty string.
func (g *Gang) Placement() scheduler.Placement {
	placement := make(scheduler.Placement, len(g.members))
	for i := range g.members {
		placement[i] = g.members[i].worker
	}
	return placement
}

// Unseen reports whether some member of an adopted gang has not been found yet.
func (g *Gang) Unseen() bool {
	return g.any(func(m *member) bool { return m.state == stateUnseen })
}

// Planned reports whether the attempt stops or has ended because of Stop, rather than a loss, a failure or a timeout.
func (g *Gang) Planned() bool { return g.stopRequested }

// Checkpoints returns the checkpoint of each member, with DoneCheckpoint for completed members. It returns nil if any
// other member has no checkpoint.
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
	case PhaseAwaitingLog:
		return jobs.StateWaiting
	}
	return jobs.StateStarting
}

// Reason returns one line that says what the attempt is waiting for; empty while it runs and after its end.
func (g *Gang) Reason() string {
	switch g.phase {
	case PhaseAwaitingLog:
		return "waiting for the log, which is unavailable: a run-once job starts only after its intent is recorded"
	case PhaseAwaitingIntent:
		return "waiting for its intent to be recorded in the log"
	case PhaseStopping:
		return "stopping: " + g.result.Detail
	case PhaseReserving, PhaseStarting, PhaseReleasing:
		return fmt.Sprintf("starting (phase %s)", g.phase)
	}
	return ""
}

// Workers returns the distinct workers of all members whose worker is known.
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

// Renewable reports whether the task leases of the attempt are to be renewed. The leases of members that are being stopped
// without a checkpoint are left to expire.
func (g *Gang) Renewable() bool {
	return g.phase != PhaseEnded && (!g.stopping || g.checkpointMS > 0)
}

// enterPhase changes the phase. A bound of 0 means that the phase has no time limit.
func (g *Gang) enterPhase(phase Phase, bound time.Duration, now time.Time) {
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

// checkDivergence asserts invariant.GangAllOrNothing: a gang runs partially for at most DivergenceBound. Completed members
// do not count, since the tasks of a gang may end at different times. Neither do unseen members, whose state is not known
// yet.
func (g *Gang) checkDivergence(now time.Time) {
	anyRunning := g.any((*member).running)
	anyStopped := g.any(func(m *member) bool {
		return m.state != infra.TaskDone && m.state != stateUnseen && !m.running()
	})
	if !anyRunning || !anyStopped {
		g.divergedSince = time.Time{}
		return
	}
	if g.divergedSince.IsZero() {
		g.divergedSince = now
	}
	invariant.Check(now.Sub(g.divergedSince) <= DivergenceBound, invariant.GangAllOrNothing,
		"members of job %s attempt %d differ since %s", g.job.ID, g.attempt, g.divergedSince)
}
