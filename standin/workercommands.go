package standin

import (
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// Reasons for which a worker rejects a command.
const (
	reasonNoTask    = "no such task"
	reasonCapacity  = "not enough free resources"
	reasonLeaving   = "worker is leaving"
	reasonState     = "task is in state "
	reasonEndedTask = "attempt has ended here"
)

// commands applies a request at now, up to which advance must have been called. A malformed request gives an error of
// kind BadInput and changes nothing.
func (s *workerState) commands(request infra.CommandsRequest, now time.Time) (infra.CommandsResponse, error) {
	if err := checkCommands(request); err != nil {
		return infra.CommandsResponse{}, err
	}
	granted := s.grantLease(request, now)
	var results []infra.CommandResult
	if granted {
		s.renewTaskLeases(request, now)
		for _, c := range request.Commands {
			results = append(results, s.applyCommand(c, request, now))
		}
		// A task without work, such as "sleep 0", ends as soon as it is released.
		s.advance(now)
	}
	response := infra.CommandsResponse{
		Granted:     granted,
		Epoch:       s.epoch,
		Holder:      s.holder,
		ExpiresInMS: max(s.leaseUntil.Sub(now).Milliseconds(), 0),
		Results:     results,
	}
	if s.revision != request.KnownRevision {
		inventory := s.inventory()
		response.Inventory = &inventory
	}
	return response, nil
}

func checkCommands(request infra.CommandsRequest) error {
	const remedy = "send the request that docs/design.md describes"
	if request.Holder == "" {
		return errkind.New(errkind.BadInput, remedy, "commands request without holder")
	}
	if request.LeaseMS < 0 || request.TaskLeaseMS < 0 {
		return errkind.New(errkind.BadInput, remedy, "commands request with negative lease")
	}
	for i, c := range request.Commands {
		switch c.Op {
		case infra.OpReserve, infra.OpStart, infra.OpRelease, infra.OpCheckpoint, infra.OpStop,
			infra.OpForget:
		case infra.OpThrottle:
			if c.ThrottlePercent < 1 || c.ThrottlePercent > 100 {
				return errkind.New(errkind.BadInput, "use 1 to 100 percent",
					"command %d: throttle percentage %d is out of range", i, c.ThrottlePercent)
			}
		default:
			return errkind.New(errkind.BadInput, remedy, "command %d: unknown op %q", i, c.Op)
		}
	}
	return nil
}

// grantLease grants or renews the holder lease and reports whether it did. While a lease is in force, only its holder
// may send commands. A new holder needs a higher epoch than any granted before, which fences the previous holder. A
// lease of 0 ms ends immediately after the request, so that the holder gives the lease up.
func (s *workerState) grantLease(request infra.CommandsRequest, now time.Time) bool {
	sameHolder := request.Holder == s.holder
	inForce := now.Before(s.leaseUntil)
	switch {
	case request.Epoch < s.epoch:
		return false
	case !sameHolder && (inForce || request.Epoch == s.epoch):
		return false
	}
	s.holder = request.Holder
	s.epoch = request.Epoch
	s.leaseUntil = now.Add(milliseconds(request.LeaseMS))
	return true
}

// renewTaskLeases extends the task leases of the attempts in request.Renew. It never shortens a lease.
func (s *workerState) renewTaskLeases(request infra.CommandsRequest, now time.Time) {
	until := now.Add(milliseconds(request.TaskLeaseMS))
	for _, attempt := range request.Renew {
		for _, t := range s.tasks {
			if t.Attempt == attempt && !t.State.Ended() && until.After(t.leaseUntil) {
				t.leaseUntil = until
			}
		}
	}
}

// applyCommand applies one command. The functions that it calls for each op return the reason for a rejection, or an
// empty string for success.
func (s *workerState) applyCommand(c infra.Command, request infra.CommandsRequest, now time.Time) infra.CommandResult {
	t := s.findTask(c.Attempt, c.Member)
	var reason string
	switch c.Op {
	case infra.OpReserve:
		reason = s.reserve(t, c, request.Epoch, now)
	case infra.OpStop:
		reason = s.stop(t, c, now)
	case infra.OpForget:
		reason = s.forget(t)
	default:
		if t == nil {
			return infra.CommandResult{Reason: reasonNoTask}
		}
		t.addProgress(now)
		switch c.Op {
		case infra.OpStart:
			reason = s.start(t, c, request.TaskLeaseMS, now)
		case infra.OpRelease:
			reason = s.release(t, now)
		case infra.OpCheckpoint:
			reason = s.checkpoint(t, now)
		case infra.OpThrottle:
			reason = throttle(t, c)
		}
	}
	if reason == "" {
		s.recordChange(now)
	}
	return infra.CommandResult{OK: reason == "", Reason: reason}
}

// reserve reserves resources. Repeating the command extends the reservation.
func (s *workerState) reserve(t *task, c infra.Command, epoch uint64, now time.Time) string {
	until := now.Add(milliseconds(c.TTLMS))
	switch {
	case t != nil && t.State.Ended():
		return reasonEndedTask
	case t != nil && t.State != infra.TaskReserved:
		return reasonState + string(t.State)
	case t != nil:
		t.reservedUntil = until
		return ""
	case s.faults.Leaving:
		return reasonLeaving
	case !s.used().Add(c.Resources).Fits(s.options.Capacity):
		return reasonCapacity
	}
	s.tasks = append(s.tasks, &task{
		Task: infra.Task{
			Attempt: c.Attempt, Member: c.Member, State: infra.TaskReserved, Resources: c.Resources, Epoch: epoch,
		},
		reservedUntil: until,
		percent:       100,
	})
	return ""
}

// start loads a reserved task, which becomes held after the slow-start time. Repeating the command changes nothing.
func (s *workerState) start(t *task, c infra.Command, taskLeaseMS int64, now time.Time) string {
	if t.State == infra.TaskHeld || !t.heldAt.IsZero() && t.State == infra.TaskReserved {
		return ""
	}
	if t.State != infra.TaskReserved {
		return reasonState + string(t.State)
	}
	t.program = parseProgram(c.Run)
	t.Checkpoint = c.Checkpoint
	t.progress = checkpointProgress(c.Checkpoint)
	t.leaseUntil = now.Add(milliseconds(taskLeaseMS))
	t.heldAt = now.Add(milliseconds(s.faults.SlowStartMS))
	if s.faults.SlowStartMS == 0 {
		t.State = infra.TaskHeld
	}
	return ""
}

// release lets a held task run. Repeating the command changes nothing.
func (s *workerState) release(t *task, now time.Time) string {
	if t.State == infra.TaskRunning {
		return ""
	}
	if t.State != infra.TaskHeld {
		return reasonState + string(t.State)
	}
	s.runs[taskRunKey{t.Attempt.Job, t.Member}]++
	if s.faults.FailTasks {
		t.program = taskProgram{failure: "worker fails every task"}
	}
	if s.faults.NeverFinish {
		t.program.work = unlimitedWork
	}
	t.State = infra.TaskRunning
	t.progressAt = now
	return ""
}

func (s *workerState) checkpoint(t *task, now time.Time) string {
	switch t.State {
	case infra.TaskCheckpointing:
		return ""
	case infra.TaskRunning:
		t.State = infra.TaskCheckpointing
		t.checkpointAt = now.Add(s.options.CheckpointTime)
		return ""
	}
	return reasonState + string(t.State)
}

func throttle(t *task, c infra.Command) string {
	if t.State.Ended() {
		return reasonState + string(t.State)
	}
	t.percent = c.ThrottlePercent
	return ""
}

// stop cancels a reservation or stops a task, after a checkpoint if the command asks for one and the checkpoint fits
// into CheckpointMS. Stopping a task that does not exist or has ended succeeds, since it does not run.
func (s *workerState) stop(t *task, c infra.Command, now time.Time) string {
	switch {
	case t == nil || t.State.Ended():
		return ""
	case t.State == infra.TaskReserved && t.heldAt.IsZero():
		s.removeTask(t)
		return ""
	}
	t.addProgress(now)
	inTime := s.options.CheckpointTime <= milliseconds(c.CheckpointMS)
	switch {
	case c.Checkpoint != "" && t.State == infra.TaskRunning && inTime:
		t.State = infra.TaskCheckpointing
		t.checkpointAt = now.Add(s.options.CheckpointTime)
		t.stopAfterCheckpoint = true
	case c.Checkpoint != "" && t.State == infra.TaskCheckpointing && inTime:
		t.stopAfterCheckpoint = true
	default:
		t.State, t.Detail = infra.TaskStopped, ""
	}
	return ""
}

func (s *workerState) forget(t *task) string {
	if t == nil {
		return ""
	}
	if !t.State.Ended() {
		return reasonState + string(t.State)
	}
	s.removeTask(t)
	return ""
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
