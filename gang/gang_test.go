package gang

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/scheduler"
)

const memberCount = 3

// cluster simulates the workers of one attempt, with one member on each worker.
type cluster struct {
	t     *testing.T
	g     *Gang
	now   time.Time
	tasks []infra.Task
	// dead, responsesLost and rejects are keyed by member index. The worker of a dead member ignores all commands. With
	// responsesLost, commands take effect but the responses are lost. rejects holds the operation that the worker rejects.
	dead, responsesLost map[int]bool
	rejects             map[int]infra.Op
	// sent counts the commands that reached a worker.
	sent map[infra.Op]int
}

func newCluster(t *testing.T, job jobs.Job) *cluster {
	c := &cluster{t: t, now: time.Unix(1000, 0), tasks: make([]infra.Task, memberCount), dead: map[int]bool{},
		responsesLost: map[int]bool{}, rejects: map[int]infra.Op{}, sent: map[infra.Op]int{}}
	job.ID, job.Run = "a", []string{"run"}
	job.Shape = resource.Shape{Members: memberCount, PerMember: resource.Resources{MilliCPU: 1}}
	c.g = New(job, 1, scheduler.Placement{"w-0", "w-1", "w-2"}, nil, false, c.now)
	return c
}

func worker(i int) string { return fmt.Sprintf("w-%d", i) }

// step advances the time by 100 ms. Each worker applies its commands and responds with its inventory.
func (c *cluster) step() {
	c.now = c.now.Add(100 * time.Millisecond)
	c.g.Step(c.now)
	for i := range memberCount {
		commands := c.g.Commands(worker(i), c.now)
		if c.dead[i] {
			continue
		}
		for _, command := range commands {
			c.sent[command.Op]++
			if c.rejects[i] != command.Op {
				c.apply(i, command)
			}
		}
		if c.responsesLost[i] {
			continue
		}
		c.observe(i)
		for _, command := range commands {
			if c.rejects[i] == command.Op {
				c.g.Rejected(i, command.Op, "no", c.now)
			} else {
				c.g.Acknowledged(i, command.Op, c.now)
			}
		}
	}
	c.g.Step(c.now)
}

func (c *cluster) apply(i int, command infra.Command) {
	task := &c.tasks[i]
	switch command.Op {
	case infra.OpReserve:
		task.State = infra.TaskReserved
	case infra.OpStart:
		task.State = infra.TaskHeld
	case infra.OpRelease:
		task.State = infra.TaskRunning
		for k := range c.tasks {
			if s := c.tasks[k].State; s != infra.TaskHeld && s != infra.TaskRunning && !c.dead[k] &&
				c.g.members[k].state != infra.TaskDone {
				c.t.Errorf("member %d released while member %d is %q", i, k, s)
			}
		}
	case infra.OpStop:
		task.State = infra.TaskStopped
		if command.Checkpoint != "" {
			task.Checkpoint = fmt.Sprint("cp-", i)
		}
	}
}

func (c *cluster) observe(i int) {
	if c.tasks[i].State != "" {
		c.g.Observe(i, worker(i), c.tasks[i])
	}
	c.g.ObserveMissing(worker(i), false, func(int) bool { return c.tasks[i].State != "" })
}

// stepUntil steps until the gang reaches the phase, and fails the test after one minute of simulated time.
func (c *cluster) stepUntil(phase Phase) {
	c.t.Helper()
	for range 600 {
		if c.g.Phase() == phase {
			return
		}
		c.step()
	}
	c.t.Fatalf("phase is %s after a minute, want %s; result %+v", c.g.Phase(), phase, c.g.Result())
}

// kill reports a restart of a member's worker that lost its tasks, and makes the worker ignore all further commands.
func (c *cluster) kill(i int) {
	c.tasks[i] = infra.Task{}
	c.g.ObserveMissing(worker(i), true, func(int) bool { return false })
	c.dead[i] = true
}

func failOnViolation(t *testing.T) {
	restore := invariant.SetRecorder(func(v invariant.Violation) { t.Error(v) })
	t.Cleanup(restore)
}

// TestWorkerDeathAtEachStep guards against a gang whose other members stay held or running after the worker of one member
// died, and against a result that counts a loss before the release as one of a running job.
func TestWorkerDeathAtEachStep(t *testing.T) {
	failOnViolation(t)
	cases := map[Phase]scheduler.ResultKind{PhaseReserving: scheduler.ResultNotStarted, PhaseStarting: scheduler.ResultNotStarted,
		PhaseReleasing: scheduler.ResultLost, PhaseRunning: scheduler.ResultLost}
	for phase, want := range cases {
		t.Run(string(phase), func(t *testing.T) {
			c := newCluster(t, jobs.Job{})
			c.stepUntil(phase)
			if phase == PhaseReserving {
				c.dead[1] = true
			} else {
				c.kill(1)
			}
			c.stepUntil(PhaseEnded)
			if c.g.Result().Kind != want && !(phase == PhaseReleasing && c.g.Result().Kind == scheduler.ResultNotStarted) {
				t.Fatalf("result %+v, want %s", c.g.Result(), want)
			}
			for i := range memberCount {
				if s := c.tasks[i].State; s == infra.TaskRunning || s == infra.TaskHeld {
					t.Fatalf("member %d is left %s", i, s)
				}
			}
		})
	}
}

// TestRefusalAtEachStep guards against a gang that runs although a worker rejects a command for one member, and against a
// result that does not name this worker.
func TestRefusalAtEachStep(t *testing.T) {
	failOnViolation(t)
	for _, op := range []infra.Op{infra.OpReserve, infra.OpStart, infra.OpRelease} {
		t.Run(string(op), func(t *testing.T) {
			c := newCluster(t, jobs.Job{})
			c.rejects[2] = op
			c.stepUntil(PhaseEnded)
			if c.g.Result().Kind == scheduler.ResultCompleted || len(c.g.Result().Workers) != 1 || c.g.Result().Workers[0] != "w-2" {
				t.Fatalf("result %+v, want an attempt that was not completed because of w-2", c.g.Result())
			}
		})
	}
}

// TestLostAnswersAreRepeated guards against a gang that fails although responses were lost for less than the bound of its
// phase.
func TestLostAnswersAreRepeated(t *testing.T) {
	failOnViolation(t)
	c := newCluster(t, jobs.Job{})
	for _, phase := range []Phase{PhaseReserving, PhaseStarting, PhaseReleasing} {
		c.stepUntil(phase)
		c.responsesLost[1] = true
		for range 10 {
			c.step()
		}
		if c.g.Phase() != phase {
			t.Fatalf("phase %s ended although the responses of member 1 were lost", phase)
		}
		c.responsesLost[1] = false
	}
	c.stepUntil(PhaseRunning)
}

// TestUnconfirmedReleaseEndsWithinBound guards against a gang that runs partially for longer than the release bound and
// the stop bound, or does not end as lost, because one worker rejects the release.
func TestUnconfirmedReleaseEndsWithinBound(t *testing.T) {
	failOnViolation(t)
	c := newCluster(t, jobs.Job{CanCheckpoint: true})
	c.stepUntil(PhaseReleasing)
	c.rejects[0] = infra.OpRelease
	start := c.now
	c.stepUntil(PhaseEnded)
	// The simulated workers stop their tasks at once, so only the release bound and two steps may pass.
	if took := c.now.Sub(start); took > ReleaseBound+200*time.Millisecond || c.g.Result().Kind != scheduler.ResultLost {
		t.Fatalf("ended after %s with result %+v, want the result lost soon after the release bound", took, c.g.Result())
	}
}

// TestStopWaitsForUnreachableMember guards against an attempt that ends, so that the job can start again, while a member
// on an unreachable worker may still run.
func TestStopWaitsForUnreachableMember(t *testing.T) {
	c := newCluster(t, jobs.Job{})
	c.stepUntil(PhaseRunning)
	c.dead[1] = true
	c.g.Stop("drain", 0)
	for range 100 {
		c.step()
	}
	if c.g.Phase() != PhaseStopping {
		t.Fatalf("phase %s although member 1 may still run", c.g.Phase())
	}
	c.g.MarkWorkerGone(worker(1))
	c.stepUntil(PhaseEnded)
}

// TestRunOnceIsReleasedOnlyAfterItsIntentWins guards against the release of a run-once job before its intent is read back,
// after another intent won, or during an outage of the log.
func TestRunOnceIsReleasedOnlyAfterItsIntentWins(t *testing.T) {
	cases := map[string]struct {
		event func(*Gang)
		want  scheduler.ResultKind
		phase Phase
	}{
		"won":     {(*Gang).IntentWon, "", PhaseRunning},
		"lost":    {(*Gang).IntentLost, scheduler.ResultNotStarted, PhaseEnded},
		"log out": {func(*Gang) {}, scheduler.ResultNotStarted, PhaseEnded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, jobs.Job{RunOnce: true})
			c.stepUntil(PhaseAwaitingIntent)
			for range 10 {
				c.step()
			}
			if c.sent[infra.OpRelease] != 0 {
				t.Fatal("released before the intent was read back")
			}
			test.event(c.g)
			c.stepUntil(test.phase)
			if c.g.Result().Kind != test.want || test.want != "" && c.sent[infra.OpRelease] != 0 {
				t.Fatalf("result %+v, %d releases", c.g.Result(), c.sent[infra.OpRelease])
			}
		})
	}
}

// TestRunOnceResultAfterStopOrLoss guards against a run-once job that is repeated although it may have run, and against one
// that ends as unknown although its progress was checkpointed.
func TestRunOnceResultAfterStopOrLoss(t *testing.T) {
	cases := map[string]struct {
		job   jobs.Job
		event func(*cluster)
		want  scheduler.ResultKind
	}{
		"lost":                {jobs.Job{RunOnce: true}, func(c *cluster) { c.kill(0) }, scheduler.ResultUnknown},
		"stopped":             {jobs.Job{RunOnce: true}, func(c *cluster) { c.g.Stop("drain", time.Second) }, scheduler.ResultUnknown},
		"checkpointed":        {jobs.Job{RunOnce: true, CanCheckpoint: true}, func(c *cluster) { c.g.Stop("drain", time.Second) }, scheduler.ResultStopped},
		"lost and repeatable": {jobs.Job{}, func(c *cluster) { c.kill(0) }, scheduler.ResultLost},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, test.job)
			c.g.IntentWon()
			c.stepUntil(PhaseRunning)
			test.event(c)
			c.stepUntil(PhaseEnded)
			if c.g.Result().Kind != test.want {
				t.Fatalf("result %+v, want %s", c.g.Result(), test.want)
			}
		})
	}
}

// TestDoneMemberIsNotStartedAgain guards against a second run of a member that had completed before a checkpointed stop of
// its gang, and against such a stop that does not count as checkpointed.
func TestDoneMemberIsNotStartedAgain(t *testing.T) {
	c := newCluster(t, jobs.Job{RunOnce: true, CanCheckpoint: true})
	c.g.IntentWon()
	c.stepUntil(PhaseRunning)
	c.tasks[1].State = infra.TaskDone
	c.step()
	c.g.Stop("reclaim", time.Second)
	c.stepUntil(PhaseEnded)
	from := c.g.Checkpoints()
	if c.g.Result().Kind != scheduler.ResultStopped || !c.g.Result().Checkpointed || from[1] != DoneCheckpoint {
		t.Fatalf("result %+v with checkpoints %v, want a checkpointed stop with member 1 done", c.g.Result(), from)
	}
	c.tasks = make([]infra.Task, memberCount)
	c.g = New(c.g.job, 2, c.g.Placement(), from, false, c.now)
	c.g.IntentWon()
	c.stepUntil(PhaseRunning)
	if c.tasks[1].State != "" || c.tasks[0].State != infra.TaskRunning {
		t.Fatalf("tasks %+v, want member 0 running and member 1 not started", c.tasks)
	}
}

// TestAdoptedGangIsWholeOrStopped guards against a takeover after which an adopted gang stays partially released, and against
// one that stops a complete gang.
func TestAdoptedGangIsWholeOrStopped(t *testing.T) {
	held, running, done := infra.TaskHeld, infra.TaskRunning, infra.TaskDone
	cases := map[string]struct {
		states []infra.TaskState
		want   Phase
	}{
		"running":            {[]infra.TaskState{running, running, running}, PhaseRunning},
		"partially released": {[]infra.TaskState{running, held, held}, PhaseRunning},
		"member missing":     {[]infra.TaskState{running, running, ""}, PhaseEnded},
		"only reserved":      {[]infra.TaskState{infra.TaskReserved, held, held}, PhaseEnded},
		"all done":           {[]infra.TaskState{done, done, done}, PhaseEnded},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, jobs.Job{})
			c.g = Adopt(c.g.job, 1, nil, false)
			for i, state := range test.states {
				c.tasks[i].State = state
				c.observe(i)
			}
			c.g.MarkUnseenGone()
			c.step()
			for range 30 {
				c.step()
			}
			if c.g.Phase() != test.want {
				t.Fatalf("phase %s, want %s", c.g.Phase(), test.want)
			}
			for i := range memberCount {
				if s := c.tasks[i].State; test.want == PhaseRunning && s != running || s == held {
					t.Fatalf("member %d is %s", i, s)
				}
			}
		})
	}
}

// TestAssertionNoticesPartialGang guards against an assertion of invariant.GangAllOrNothing that never records a violation,
// and against one that does so within DivergenceBound.
func TestAssertionNoticesPartialGang(t *testing.T) {
	var log invariant.Collector
	defer invariant.SetRecorder(log.Record)()
	c := newCluster(t, jobs.Job{})
	c.stepUntil(PhaseRunning)
	c.g.members[0].state = infra.TaskHeld
	c.g.phase = PhaseRunning
	c.g.checkDivergence(c.now)
	c.g.checkDivergence(c.now.Add(DivergenceBound))
	if len(log.Violations()) != 0 {
		t.Fatal("violation recorded within the bound")
	}
	c.g.checkDivergence(c.now.Add(DivergenceBound + time.Millisecond))
	if len(log.Violations()) != 1 {
		t.Fatal("no violation recorded after the bound")
	}
}
