package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// The pattern of these tests: a quarter of the workers announces that it leaves, and is gone without a word two seconds
// later, with everything that runs there.
const (
	leaveNotice = 2 * time.Second
	// lostAfter is the time after which the runs of a worker that does not respond are known to have ended.
	lostAfter = 6 * time.Second
	leaving   = 4
)

// saveCheckpoints makes the runs of checkpointing steps save their progress, and new runs resume from it.
func (p *pacedCluster) saveCheckpoints() {
	for _, id := range p.workerIDs {
		for ref, run := range p.workers[id].running {
			if !p.specs[ref.Task.Job].Steps[0].Checkpointing {
				continue
			}
			if saved, err := strconv.ParseFloat(run.checkpoint, 64); err == nil {
				p.workDone[ref] = max(p.workDone[ref], saved)
			}
			run.checkpoint = strconv.FormatFloat(p.workDone[ref], 'f', -1, 64)
		}
	}
}

// runSaving is like runFor for runs that save their progress.
func (p *pacedCluster) runSaving(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.saveCheckpoints()
		p.runFor(simTick)
	}
}

// announceLeave makes the first n workers announce that they leave after leaveNotice.
func (p *pacedCluster) announceLeave(n int) {
	for _, id := range p.workerIDs[:n] {
		w := p.workers[id]
		w.info.Draining, w.info.RemainingLife = true, leaveNotice
		p.core.SetWorker(w.info)
	}
}

// leave ends the first n workers without a listing of their runs.
func (p *pacedCluster) leave(n int) {
	for _, id := range p.workerIDs[:n] {
		p.workers[id].running = map[workload.RunRef]*simRun{}
		p.core.SetUnreachable(id, true)
	}
	gone := p.workerIDs[:n]
	p.workerIDs = p.workerIDs[n:]
	p.runSaving(lostAfter)
	for _, id := range gone {
		p.core.DropWorker(id)
		p.core.MarkWorkerGone(id, GoneLeaseExpired)
	}
}

// runAtShortNotice submits jobs for which the remaining workers have room, lets the first ones leave, and returns how long the
// slowest job took.
func runAtShortNotice(t *testing.T, step workload.Step, duration time.Duration) time.Duration {
	const workers, jobs = 16, 12
	p := newPacedCluster(t, workers)
	for i := range jobs {
		p.submitTimed(fmt.Sprintf("job%d", i), "urgent", duration, step)
	}
	p.runSaving(duration / 3)
	p.announceLeave(leaving)
	p.runSaving(leaveNotice)
	p.leave(leaving)
	p.runSaving(4 * duration)
	slowest := time.Duration(0)
	for id := range p.duration {
		end, ended := p.endedAt[id]
		if !ended {
			t.Fatalf("%s has not ended", id)
		}
		slowest = max(slowest, end-p.submitted[id])
	}
	return slowest
}

// TestCheckpointsLeaveBeforeTheirWorker guards against runs that could save their progress but are lost with a worker that
// has announced that it leaves, and whose jobs wait until the worker's lease has expired. The bound is the objective of the
// queue: 1.5 times the run time and 250 ms.
func TestCheckpointsLeaveBeforeTheirWorker(t *testing.T) {
	step := tasks(4, 2)
	step.Checkpointing = true
	const duration = 6 * time.Second
	if took, bound := runAtShortNotice(t, step, duration), duration*3/2+250*time.Millisecond; took > bound {
		t.Errorf("the slowest job took %s, want at most %s", took, bound)
	}
}

// TestRunsWithoutCheckpointsStay guards against runs that lose all their progress by a stop although their worker may stay
// longer than it has announced.
func TestRunsWithoutCheckpointsStay(t *testing.T) {
	p := newPacedCluster(t, 4)
	p.submitTimed("a", "normal", 6*time.Second, tasks(8, 2))
	p.runFor(time.Second)
	p.announceLeave(4)
	p.runFor(leaveNotice)
	if len(p.stops) > 0 {
		t.Errorf("%d runs were stopped", len(p.stops))
	}
}

// TestRunsThatEndWithTheirWorkerLeave guards against a task that starts again after it was done: its run ended in the moment in which
// the worker left, so that the end was lost.
func TestRunsThatEndWithTheirWorkerLeave(t *testing.T) {
	const duration = 6 * time.Second
	for _, checkpointing := range []bool{false, true} {
		p := newPacedCluster(t, 4)
		step := tasks(8, 2)
		step.Checkpointing = checkpointing
		p.submitTimed("a", "normal", duration, step)
		p.runFor(duration - leaveNotice)
		p.announceLeave(4)
		p.runFor(leaveNotice - 200*time.Millisecond)
		if len(p.stops) != step.Tasks {
			t.Errorf("checkpointing=%v: %d runs were stopped before their workers left, want %d", checkpointing, len(p.stops), step.Tasks)
		}
	}
}

// TestRestoredRunLeavesBeforeItsWorker guards against a run that stays on a leaving worker because its end is expected too early: its
// progress from before a takeover was taken for progress since then. The rate of tasks away from their data is not measured.
func TestRestoredRunLeavesBeforeItsWorker(t *testing.T) {
	p := newPacedCluster(t, 4)
	step := tasks(8, 2)
	step.Checkpointing = true
	step.DataRack = "elsewhere"
	p.submitTimed("a", "normal", 10*time.Second, step)
	p.runSaving(5 * time.Second)
	p.takeOver()
	p.listAll()
	p.runSaving(listingInterval + simTick)
	p.announceLeave(4)
	// A stop takes up to a second.
	p.runSaving(leaveNotice - time.Second)
	if len(p.stops) != step.Tasks {
		t.Errorf("%d runs were stopped in time, want %d", len(p.stops), step.Tasks)
	}
}

// TestNearlyDoneRunsStay guards against runs that are stopped although they end before their worker leaves.
func TestNearlyDoneRunsStay(t *testing.T) {
	p := newPacedCluster(t, 4)
	step := tasks(8, 2)
	step.Checkpointing = true
	p.submitTimed("a", "normal", 3*time.Second, step)
	p.runFor(1800 * time.Millisecond)
	p.announceLeave(4)
	p.runFor(leaveNotice)
	if len(p.stops) > 0 {
		t.Errorf("%d runs were stopped", len(p.stops))
	}
	if _, ended := p.endedAt["a"]; !ended {
		t.Error("the job has not ended before its workers leave")
	}
}

// TestReturnedWorkerIsNotEvacuated guards against a worker that has restarted under its id and whose runs are stopped because
// its predecessor was about to leave.
func TestReturnedWorkerIsNotEvacuated(t *testing.T) {
	p := newPacedCluster(t, 1)
	p.announceLeave(1)
	w := p.workers[p.workerIDs[0]]
	w.info.Draining, w.info.RemainingLife, w.info.Incarnation = false, 0, 2
	p.core.SetWorker(w.info)
	p.list(w.info.ID)
	step := tasks(1, 1)
	step.Checkpointing = true
	p.submitTimed("a", "normal", 6*time.Second, step)
	p.runFor(7 * time.Second)
	if len(p.stops) > 0 {
		t.Errorf("%d runs were stopped on a worker that stays", len(p.stops))
	}
}

// TestLateBeginOnALeavingWorkerIsMoved guards against lost progress: a checkpointing run whose start was refused for seconds counts as
// nearly done, stays on a worker that is about to leave, and is lost with it.
func TestLateBeginOnALeavingWorkerIsMoved(t *testing.T) {
	for name, percent := range map[string]int{"no progress listed": 0, "progress listed once": 10} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			step := tasks(1, 8)
			step.Estimate, step.Checkpointing = 6*time.Second, true
			c.submit("late", "normal", "large", step)
			start := c.decide().Starts[0]
			c.advance(4500 * time.Millisecond)
			c.start(start)
			c.advance(500 * time.Millisecond)
			c.workers[start.Worker].running[start.Ref].percent = percent
			c.listAll()
			w := c.workers[start.Worker]
			w.info.Draining, w.info.RemainingLife = true, leaveNotice
			c.core.SetWorker(w.info)
			if stops := c.plan().Stops; len(stops) != 1 {
				t.Errorf("%d runs are moved off a worker that leaves in %s, want the one with about 5 s of work left", len(stops), leaveNotice)
			}
		})
	}
}

// TestRateOfALateBegin guards against a run that is taken for slow, because its start was refused for seconds: it stays until its worker
// leaves, although it would end before, or is moved in vain.
func TestRateOfALateBegin(t *testing.T) {
	c := newCluster(t, 1)
	step := tasks(1, 8)
	step.Checkpointing = true
	c.submit("late", "normal", "large", step)
	start := c.decide().Starts[0]
	c.advance(4 * time.Second)
	c.start(start)
	c.advance(time.Second)
	w := c.workers[start.Worker]
	w.running[start.Ref].percent = 50
	c.listAll()
	w.info.Draining, w.info.RemainingLife = true, leaveNotice
	c.core.SetWorker(w.info)
	if stops := c.plan().Stops; len(stops) != 0 {
		t.Errorf("a run that ends in 1 s is moved off a worker that leaves in %s", leaveNotice)
	}
}
