package standin

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

// workerHarness drives a workerState with a simulated clock. It sends commands as one holder at a time, with the epoch and
// the attempts to renew that are set in it.
type workerHarness struct {
	t      *testing.T
	state  *workerState
	now    time.Time
	holder string
	epoch  uint64
	renew  []infra.AttemptID
}

func newWorkerHarness(t *testing.T) *workerHarness {
	options := WorkerOptions{
		ID: "w-1", Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 64_000},
		UsageLag: 3 * time.Second, CheckpointTime: time.Second,
	}
	return &workerHarness{t: t, state: newWorkerState(options), now: time.Unix(1_000, 0), holder: "s-1", epoch: 1}
}

func (h *workerHarness) advanceClock(d time.Duration) { h.now = h.now.Add(d) }

// send sends commands with a holder lease of 6 s and a task lease of 30 s.
func (h *workerHarness) send(commands ...infra.Command) infra.CommandsResponse {
	h.t.Helper()
	h.state.advance(h.now)
	response, err := h.state.commands(infra.CommandsRequest{
		Holder: h.holder, Epoch: h.epoch, LeaseMS: 6_000, TaskLeaseMS: 30_000, Renew: h.renew, Commands: commands,
	}, h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	return response
}

// wantOK sends one command and fails the test unless the OK field of its result is want.
func (h *workerHarness) wantOK(want bool, c infra.Command) {
	h.t.Helper()
	response := h.send(c)
	if !response.Granted || response.Results[0].OK != want {
		h.t.Fatalf("%s: got %+v, want the lease granted and the wanted OK in the result", c.Op, response)
	}
}

// firstTaskState returns the state of the first task, "" if there is none.
func (h *workerHarness) firstTaskState() infra.TaskState {
	h.state.advance(h.now)
	if len(h.state.tasks) == 0 {
		return ""
	}
	return h.state.tasks[0].State
}

func (h *workerHarness) wantState(state infra.TaskState) {
	h.t.Helper()
	if got := h.firstTaskState(); got != state {
		h.t.Fatalf("got task state %q, want %q", got, state)
	}
}

var attempt = infra.AttemptID{Job: "job-1", Attempt: 1}

// newCommand returns a command for attempt that needs all accelerators of the worker. A reservation expires after 5 s.
// run is the command line; its elements are joined by spaces.
func newCommand(op infra.Op, run ...string) infra.Command {
	return infra.Command{
		Op: op, Attempt: attempt, Resources: resource.Resources{Accelerators: 8}, TTLMS: 5_000, Run: run,
	}
}

// run reserves, starts and releases a task with the command line.
func (h *workerHarness) run(commandLine string) {
	h.t.Helper()
	h.wantOK(true, newCommand(infra.OpReserve))
	h.wantOK(true, newCommand(infra.OpStart, commandLine))
	h.wantOK(true, newCommand(infra.OpRelease))
}

// TestHolderFencing guards against two holders at once and against a holder with a stale epoch whose commands take
// effect.
func TestHolderFencing(t *testing.T) {
	h := newWorkerHarness(t)
	h.wantOK(true, newCommand(infra.OpReserve))
	h.holder, h.epoch = "s-2", 2
	if r := h.send(newCommand(infra.OpStop)); r.Granted || r.Holder != "s-1" || r.ExpiresInMS != 6_000 {
		t.Fatalf("second holder while the lease is in force: got %+v, want not granted and 6 s left for s-1", r)
	}
	h.wantState(infra.TaskReserved)
	h.advanceClock(6 * time.Second)
	h.epoch = 1
	if r := h.send(); r.Granted {
		t.Fatalf("second holder with the first one's epoch: got %+v, want not granted", r)
	}
	h.epoch = 2
	if r := h.send(); !r.Granted || r.Epoch != 2 {
		t.Fatalf("second holder after the lease expired: got %+v, want granted with epoch 2", r)
	}
	h.advanceClock(time.Hour)
	h.holder, h.epoch = "s-1", 1
	if r := h.send(newCommand(infra.OpReserve)); r.Granted || r.Epoch != 2 || len(r.Results) != 0 {
		t.Fatalf("first holder after the second: got %+v, want not granted, epoch 2 and no results", r)
	}
}

// TestHolderRenewsExpiredLease guards against a holder that cannot renew its expired lease although no other holder
// took over.
func TestHolderRenewsExpiredLease(t *testing.T) {
	h := newWorkerHarness(t)
	h.send()
	h.advanceClock(time.Minute)
	if r := h.send(); !r.Granted || r.ExpiresInMS != 6_000 {
		t.Fatalf("renewal of the expired lease: got %+v, want granted for 6 s", r)
	}
}

// TestTaskLifecycle guards against commands that are accepted in the wrong task state, against a task whose resources are
// free before it ends, against a held task that runs before its release, and against a repeated command that runs the
// task again.
func TestTaskLifecycle(t *testing.T) {
	h := newWorkerHarness(t)
	h.wantOK(false, newCommand(infra.OpStart, "sleep 2")) // start before the reservation
	h.wantOK(true, newCommand(infra.OpReserve))
	h.wantOK(false, newCommand(infra.OpRelease)) // release before the start
	other := newCommand(infra.OpReserve)
	other.Attempt.Job = "job-2"
	h.wantOK(false, other) // the first task occupies all accelerators
	h.wantOK(true, newCommand(infra.OpStart, "sleep", "2"))
	h.wantOK(true, newCommand(infra.OpStart, "sleep", "2")) // repeated start
	h.advanceClock(10 * time.Second)
	h.wantState(infra.TaskHeld)
	h.wantOK(true, newCommand(infra.OpRelease))
	h.wantOK(true, newCommand(infra.OpRelease)) // repeated release
	h.wantOK(false, newCommand(infra.OpForget)) // the task has not ended
	h.advanceClock(1999 * time.Millisecond)
	h.wantState(infra.TaskRunning)
	h.advanceClock(time.Millisecond)
	h.wantState(infra.TaskDone)
	h.wantOK(true, other)
	h.wantOK(false, newCommand(infra.OpReserve)) // the attempt has ended
	h.wantOK(true, newCommand(infra.OpForget))
	if runs := h.state.taskRuns(); len(runs) != 1 || runs[0].Count != 1 {
		t.Fatalf("got runs %+v, want one", runs)
	}
}

// TestReservationAndTaskLeaseExpire guards against a reservation that does not expire, a task that ends although its lease
// is renewed, a task that outlives its lease, and a renewal that revives an expired task.
func TestReservationAndTaskLeaseExpire(t *testing.T) {
	h := newWorkerHarness(t)
	h.wantOK(true, newCommand(infra.OpReserve))
	h.advanceClock(5 * time.Second)
	h.wantState("")
	h.run("forever")
	for range 10 {
		h.advanceClock(20 * time.Second)
		h.renew = []infra.AttemptID{attempt}
		h.send()
	}
	h.wantState(infra.TaskRunning)
	h.advanceClock(30*time.Second - 1) // 1 ns before the lease expires
	h.wantState(infra.TaskRunning)
	h.advanceClock(1)
	h.wantState(infra.TaskLeaseExpired)
	h.send() // renews the lease of the expired task
	h.wantState(infra.TaskLeaseExpired)
}

// TestTaskDoneBeforeLeaseExpires guards against a task that is reported as expired although it was done before its lease
// expired. Both times have passed when the worker next advances its state.
func TestTaskDoneBeforeLeaseExpires(t *testing.T) {
	h := newWorkerHarness(t)
	h.run("sleep 10")
	h.advanceClock(time.Hour)
	h.wantState(infra.TaskDone)
}

// TestCheckpointKeepsThrottledProgress guards against a checkpoint with less or more progress than the throttled task
// made, and against a task that does not resume from it.
func TestCheckpointKeepsThrottledProgress(t *testing.T) {
	h := newWorkerHarness(t)
	h.run("sleep 10")
	slow := newCommand(infra.OpThrottle)
	slow.ThrottlePercent = 50
	h.wantOK(true, slow)
	h.advanceClock(8 * time.Second)
	stop := newCommand(infra.OpStop)
	stop.Checkpoint, stop.CheckpointMS = "save", 2_000
	h.wantOK(true, stop)
	h.wantState(infra.TaskCheckpointing)
	h.advanceClock(time.Second)
	h.wantState(infra.TaskStopped)
	saved := h.state.tasks[0].Checkpoint
	h.wantOK(true, newCommand(infra.OpForget))
	h.wantOK(true, newCommand(infra.OpReserve))
	resume := newCommand(infra.OpStart, "sleep 10")
	resume.Checkpoint = saved
	h.wantOK(true, resume)
	h.wantOK(true, newCommand(infra.OpRelease))
	h.advanceClock(5999 * time.Millisecond)
	h.wantState(infra.TaskRunning)
	h.advanceClock(time.Millisecond)
	h.wantState(infra.TaskDone)
}

// TestStopSkipsSlowCheckpoint guards against a stop that waits for a checkpoint longer than the bound in the command.
func TestStopSkipsSlowCheckpoint(t *testing.T) {
	h := newWorkerHarness(t)
	h.run("forever")
	stop := newCommand(infra.OpStop)
	stop.Checkpoint, stop.CheckpointMS = "save", 500
	h.wantOK(true, stop)
	h.wantState(infra.TaskStopped)
	if h.state.tasks[0].Checkpoint != "" {
		t.Fatal("a checkpoint was written that takes longer than the bound")
	}
}

// TestWorkerFaults guards against an injected fault or a command line that gives another task state than specified.
func TestWorkerFaults(t *testing.T) {
	cases := map[string]struct {
		faults    WorkerFaults
		run       string
		after     time.Duration
		wantState infra.TaskState
	}{
		"fails every task":  {WorkerFaults{FailTasks: true}, "sleep 5", 0, infra.TaskFailed},
		"never finishes":    {WorkerFaults{NeverFinish: true}, "sleep 1", 20 * time.Second, infra.TaskRunning},
		"no fault":          {WorkerFaults{}, "sleep 1", time.Second, infra.TaskDone},
		"command fails":     {WorkerFaults{}, "fail 1", time.Second, infra.TaskFailed},
		"unknown command":   {WorkerFaults{}, "train", 0, infra.TaskFailed},
		"bad command value": {WorkerFaults{}, "sleep x", 0, infra.TaskFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newWorkerHarness(t)
			h.state.setFaults(c.faults, h.now)
			h.run(c.run)
			h.advanceClock(c.after)
			h.wantState(c.wantState)
		})
	}
}

// TestSlowStartRestartAndLeaving guards against a slow start that can be released early, a restart that keeps tasks,
// the incarnation or the revision, and a leaving worker that accepts a reservation.
func TestSlowStartRestartAndLeaving(t *testing.T) {
	h := newWorkerHarness(t)
	h.state.setFaults(WorkerFaults{SlowStartMS: 4_000}, h.now)
	h.wantOK(true, newCommand(infra.OpReserve))
	h.wantOK(true, newCommand(infra.OpStart, "sleep 1"))
	h.advanceClock(3 * time.Second)
	h.wantOK(false, newCommand(infra.OpRelease))
	h.advanceClock(time.Second)
	h.wantOK(true, newCommand(infra.OpRelease))
	before := h.state.inventory()
	h.state.setFaults(WorkerFaults{Restart: true, Leaving: true}, h.now)
	after := h.state.inventory()
	if len(after.Tasks) != 0 || after.Incarnation == before.Incarnation || after.Revision <= before.Revision {
		t.Fatalf("after the restart: got %+v, want no tasks, another incarnation and a higher revision", after)
	}
	h.wantOK(false, newCommand(infra.OpReserve))
}

// TestUsageLags guards against usage that is reported without lag, and against a change of the reported usage that does
// not change the revision, so that holders do not read it.
func TestUsageLags(t *testing.T) {
	h := newWorkerHarness(t)
	h.wantOK(true, newCommand(infra.OpReserve))
	h.wantOK(true, newCommand(infra.OpStart, "forever"))
	first := h.send().Inventory
	if first.Usage.Accelerators != 0 {
		t.Fatalf("usage before the lag: got %+v, want no accelerators", first.Usage)
	}
	h.advanceClock(3 * time.Second)
	second := h.send().Inventory
	if second.Usage.Accelerators != 8 || second.Revision == first.Revision {
		t.Fatalf("usage after the lag: got %+v, want 8 accelerators and a new revision", second)
	}
}

// TestMalformedCommandsChangeNothing guards against malformed requests that change the lease or the inventory.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	cases := map[string]infra.CommandsRequest{
		"no holder":      {Epoch: 9, LeaseMS: 1},
		"negative lease": {Holder: "s", Epoch: 9, LeaseMS: -1},
		"unknown op":     {Holder: "s", Epoch: 9, LeaseMS: 1, Commands: []infra.Command{{Op: "pause"}}},
		"throttle to 0":  {Holder: "s", Epoch: 9, LeaseMS: 1, Commands: []infra.Command{{Op: infra.OpThrottle}}},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			h := newWorkerHarness(t)
			if _, err := h.state.commands(request, h.now); !errkind.Is(err, errkind.BadInput) {
				t.Fatalf("got error %v, want bad_input", err)
			}
			if h.state.epoch != 0 || h.state.revision != 1 {
				t.Fatalf("a malformed request changed the state: epoch %d, revision %d", h.state.epoch, h.state.revision)
			}
		})
	}
}
