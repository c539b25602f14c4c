package standin

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

// bench drives a worker state with a clock of its own.
type bench struct {
	t      *testing.T
	state  *workerState
	now    time.Time
	holder string
	epoch  uint64
	renew  []infra.AttemptID
}

func newBench(t *testing.T) *bench {
	options := WorkerOptions{
		ID: "w-1", Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 64_000},
		UsageLag: 3 * time.Second, CheckpointTime: time.Second,
	}
	return &bench{t: t, state: newWorkerState(options), now: time.Unix(1_000, 0), holder: "s-1", epoch: 1}
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

// call sends commands with a holder lease of 6 s and a task lease of 30 s.
func (b *bench) call(commands ...infra.Command) infra.CommandsResponse {
	b.t.Helper()
	b.state.advance(b.now)
	response, err := b.state.commands(infra.CommandsRequest{
		Holder: b.holder, Epoch: b.epoch, LeaseMS: 6_000, TaskLeaseMS: 30_000, Renew: b.renew, Commands: commands,
	}, b.now)
	if err != nil {
		b.t.Fatal(err)
	}
	return response
}

// must sends one command and fails the test unless its success is as wanted.
func (b *bench) must(want bool, c infra.Command) {
	b.t.Helper()
	response := b.call(c)
	if !response.Granted || response.Results[0].OK != want {
		b.t.Fatalf("%s: got %+v", c.Op, response)
	}
}

// state0 returns the state of the first task, "" if there is none.
func (b *bench) state0() infra.TaskState {
	b.state.advance(b.now)
	if len(b.state.tasks) == 0 {
		return ""
	}
	return b.state.tasks[0].State
}

func (b *bench) want(state infra.TaskState) {
	b.t.Helper()
	if got := b.state0(); got != state {
		b.t.Fatalf("got task state %q, want %q", got, state)
	}
}

var attempt = infra.AttemptID{Job: "job-1", Attempt: 1}

func command(op infra.Op, run ...string) infra.Command {
	return infra.Command{
		Op: op, Attempt: attempt, Resources: resource.Resources{Accelerators: 8}, TTLMS: 5_000, Run: run,
	}
}

// run reserves, starts and releases a task.
func (b *bench) run(commandLine string) {
	b.t.Helper()
	b.must(true, command(infra.OpReserve))
	b.must(true, command(infra.OpStart, commandLine))
	b.must(true, command(infra.OpRelease))
}

// TestHolderFencing guards against two holders at once and against a holder with a stale epoch.
func TestHolderFencing(t *testing.T) {
	b := newBench(t)
	b.must(true, command(infra.OpReserve))
	b.holder, b.epoch = "s-2", 2
	if r := b.call(command(infra.OpStop)); r.Granted || r.Holder != "s-1" || r.ExpiresInMS != 6_000 {
		t.Fatalf("second holder while the lease is in force: %+v", r)
	}
	b.want(infra.TaskReserved)
	b.pass(6 * time.Second)
	b.epoch = 1
	if r := b.call(); r.Granted {
		t.Fatalf("second holder with the first one's epoch: %+v", r)
	}
	b.epoch = 2
	if r := b.call(); !r.Granted || r.Epoch != 2 {
		t.Fatalf("second holder after the lease lapsed: %+v", r)
	}
	b.pass(time.Hour)
	b.holder, b.epoch = "s-1", 1
	if r := b.call(command(infra.OpReserve)); r.Granted || r.Epoch != 2 || len(r.Results) != 0 {
		t.Fatalf("first holder after the second: %+v", r)
	}
}

// TestHolderRenewsAfterLapse guards against a holder that is locked out although nobody took over.
func TestHolderRenewsAfterLapse(t *testing.T) {
	b := newBench(t)
	b.call()
	b.pass(time.Minute)
	if r := b.call(); !r.Granted || r.ExpiresInMS != 6_000 {
		t.Fatalf("got %+v", r)
	}
}

// TestTaskLifecycle guards the order of states from reservation to the end, and the resources held meanwhile.
func TestTaskLifecycle(t *testing.T) {
	b := newBench(t)
	b.must(false, command(infra.OpStart, "sleep 2"))
	b.must(true, command(infra.OpReserve))
	b.must(false, command(infra.OpRelease))
	other := command(infra.OpReserve)
	other.Attempt.Job = "job-2"
	b.must(false, other)
	b.must(true, command(infra.OpStart, "sleep", "2"))
	b.must(true, command(infra.OpStart, "sleep", "2"))
	b.pass(10 * time.Second)
	b.want(infra.TaskHeld)
	b.must(true, command(infra.OpRelease))
	b.must(true, command(infra.OpRelease))
	b.must(false, command(infra.OpForget))
	b.pass(1999 * time.Millisecond)
	b.want(infra.TaskRunning)
	b.pass(time.Millisecond)
	b.want(infra.TaskDone)
	b.must(true, other)
	b.must(false, command(infra.OpReserve))
	b.must(true, command(infra.OpForget))
	if runs := b.state.taskRuns(); len(runs) != 1 || runs[0].Count != 1 {
		t.Fatalf("got runs %+v", runs)
	}
}

// TestLeasesLapse guards against work that outlives its reservation or its task lease.
func TestLeasesLapse(t *testing.T) {
	b := newBench(t)
	b.must(true, command(infra.OpReserve))
	b.pass(5 * time.Second)
	b.want("")
	b.run("forever")
	for range 10 {
		b.pass(20 * time.Second)
		b.renew = []infra.AttemptID{attempt}
		b.call()
	}
	b.want(infra.TaskRunning)
	b.pass(30*time.Second - 1)
	b.want(infra.TaskRunning)
	b.pass(1)
	b.want(infra.TaskLapsed)
	b.call()
	b.want(infra.TaskLapsed)
}

// TestEndBeforeLapse guards against a task that is reported as lapsed although it ended before.
func TestEndBeforeLapse(t *testing.T) {
	b := newBench(t)
	b.run("sleep 10")
	b.pass(time.Hour)
	b.want(infra.TaskDone)
}

// TestCheckpointAndThrottle guards against lost or invented progress.
func TestCheckpointAndThrottle(t *testing.T) {
	b := newBench(t)
	b.run("sleep 10")
	slow := command(infra.OpThrottle)
	slow.ThrottlePercent = 50
	b.must(true, slow)
	b.pass(8 * time.Second)
	stop := command(infra.OpStop)
	stop.Checkpoint, stop.CheckpointMS = "save", 2_000
	b.must(true, stop)
	b.want(infra.TaskCheckpointing)
	b.pass(time.Second)
	b.want(infra.TaskStopped)
	saved := b.state.tasks[0].Checkpoint
	b.must(true, command(infra.OpForget))
	b.must(true, command(infra.OpReserve))
	resume := command(infra.OpStart, "sleep 10")
	resume.Checkpoint = saved
	b.must(true, resume)
	b.must(true, command(infra.OpRelease))
	b.pass(5999 * time.Millisecond)
	b.want(infra.TaskRunning)
	b.pass(time.Millisecond)
	b.want(infra.TaskDone)
}

// TestCheckpointBound guards against a stop that waits for a checkpoint past the bound of the command.
func TestCheckpointBound(t *testing.T) {
	b := newBench(t)
	b.run("forever")
	stop := command(infra.OpStop)
	stop.Checkpoint, stop.CheckpointMS = "save", 500
	b.must(true, stop)
	b.want(infra.TaskStopped)
	if b.state.tasks[0].Checkpoint != "" {
		t.Fatal("a checkpoint was written")
	}
}

// TestWorkerFaults guards the injected failures that trials rely on.
func TestWorkerFaults(t *testing.T) {
	cases := map[string]struct {
		faults WorkerFaults
		run    string
		after  time.Duration
		want   infra.TaskState
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
			b := newBench(t)
			b.state.setFaults(c.faults, b.now)
			b.run(c.run)
			b.pass(c.after)
			b.want(c.want)
		})
	}
}

// TestSlowStartLeavingRestart guards the faults that act before a task runs.
func TestSlowStartLeavingRestart(t *testing.T) {
	b := newBench(t)
	b.state.setFaults(WorkerFaults{SlowStartMS: 4_000}, b.now)
	b.must(true, command(infra.OpReserve))
	b.must(true, command(infra.OpStart, "sleep 1"))
	b.pass(3 * time.Second)
	b.must(false, command(infra.OpRelease))
	b.pass(time.Second)
	b.must(true, command(infra.OpRelease))
	before := b.state.inventory()
	b.state.setFaults(WorkerFaults{Restart: true, Leaving: true}, b.now)
	after := b.state.inventory()
	if len(after.Tasks) != 0 || after.Incarnation == before.Incarnation || after.Revision <= before.Revision {
		t.Fatalf("after the restart: %+v", after)
	}
	b.must(false, command(infra.OpReserve))
}

// TestUsageLags guards against a usage report without lag, and against a change of it without a new revision.
func TestUsageLags(t *testing.T) {
	b := newBench(t)
	b.must(true, command(infra.OpReserve))
	b.must(true, command(infra.OpStart, "forever"))
	first := b.call().Inventory
	if first.Usage.Accelerators != 0 {
		t.Fatalf("usage without lag: %+v", first.Usage)
	}
	b.pass(3 * time.Second)
	second := b.call().Inventory
	if second.Usage.Accelerators != 8 || second.Revision == first.Revision {
		t.Fatalf("got %+v", second)
	}
}

// TestBadCommands guards against malformed calls that change something.
func TestBadCommands(t *testing.T) {
	cases := map[string]infra.CommandsRequest{
		"no holder":      {Epoch: 9, LeaseMS: 1},
		"negative lease": {Holder: "s", Epoch: 9, LeaseMS: -1},
		"unknown op":     {Holder: "s", Epoch: 9, LeaseMS: 1, Commands: []infra.Command{{Op: "pause"}}},
		"throttle to 0":  {Holder: "s", Epoch: 9, LeaseMS: 1, Commands: []infra.Command{{Op: infra.OpThrottle}}},
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if _, err := b.state.commands(request, b.now); !errkind.Is(err, errkind.BadInput) {
				t.Fatalf("got error %v", err)
			}
			if b.state.epoch != 0 || b.state.revision != 1 {
				t.Fatalf("state changed: epoch %d, revision %d", b.state.epoch, b.state.revision)
			}
		})
	}
}
