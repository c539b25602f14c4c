package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// startScenario starts the two schedulers of a scenario without faults and waits for 10 s, in which one becomes active.
func startScenario(t *testing.T) *scenario {
	s := newScenario(1)
	s.launch(t, 0)
	s.launch(t, 1)
	time.Sleep(10 * time.Second)
	return s
}

func (s *scenario) shutDown() {
	for i, p := range s.processes {
		if !p.stopped {
			s.stop(i, false)
		}
	}
	time.Sleep(10 * time.Second)
}

// activeProcess returns the index of the active scheduler, -1 if there is none.
func (s *scenario) activeProcess() int {
	for i, p := range s.processes {
		if active, _ := p.control.Active(); active && !p.stopped {
			return i
		}
	}
	return -1
}

func (s *scenario) submitJob(id string, members int, runOnce bool) {
	s.append(jobs.Record{Kind: jobs.RecordSubmit, Submit: &jobs.Job{ID: id, Account: "a", FailureDomain: "fd",
		Urgent: true, RunOnce: runOnce, Run: []string{"run"}, Shape: resource.Shape{Members: members,
			Adjacency: resource.AdjacencyNone, PerMember: resource.Resources{Accelerators: 4}}}})
}

// running returns the number of tasks of a job that have been released, including ended ones that are not forgotten yet.
func (s *scenario) running(job string) int {
	count := 0
	for _, w := range s.workers {
		w.mu.Lock()
		for key, task := range w.tasks {
			if key.attempt.Job == job && !task.endsAt.IsZero() {
				count++
			}
		}
		w.mu.Unlock()
	}
	return count
}

// TestUrgentStart guards against urgent jobs that start later than 1.8 s after their submission or are not reported as running
// then. That includes run-once jobs, which first append an intent to the log and read it back.
func TestUrgentStart(t *testing.T) {
	for id, runOnce := range map[string]bool{"p9-urgent": false, "o9-urgent": true} {
		synctest.Test(t, func(t *testing.T) {
			s := startScenario(t)
			s.submitJob(id, 9, runOnce)
			time.Sleep(1800 * time.Millisecond)
			if n := s.running(id); n != 9 {
				t.Errorf("%d of 9 members of %s run after 1.8 s", n, id)
			}
			if state := s.queryStatus(id); state != "running " {
				t.Errorf("the active scheduler reports %q, want \"running \"", state)
			}
			s.shutDown()
		})
	}
}

// TestStandbyTakesOverAfterPlannedStop guards against a planned stop of the active scheduler after which the standby waits
// until the leases expire, and against one that stops running tasks.
func TestStandbyTakesOverAfterPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		s.submitJob("p9-running", 9, false)
		time.Sleep(2 * time.Second)
		first := s.activeProcess()
		s.stop(first, false)
		time.Sleep(3 * time.Second)
		if next := s.activeProcess(); next == first || next < 0 {
			t.Error("the standby is not active 3 s after the planned stop")
		}
		if n := s.running("p9-running"); n != 9 {
			t.Errorf("%d of 9 members still run after the planned stop", n)
		}
		s.shutDown()
	})
}

// TestStandbyTakesOverAfterCrash guards against a takeover after a crash that takes longer than the holder lease plus a survey
// and a claim.
func TestStandbyTakesOverAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		first := s.activeProcess()
		s.stop(first, true)
		time.Sleep(6500 * time.Millisecond)
		if next := s.activeProcess(); next == first || next < 0 {
			t.Error("the standby is not active 6.5 s after the crash")
		}
		s.shutDown()
	})
}

// TestTaskLeasesSurviveCrash guards against task leases that expire after a crash because the new holder renews them too
// late. It covers crashes at every second of the renewal interval of the previous holder.
func TestTaskLeasesSurviveCrash(t *testing.T) {
	for after := taskRenewInterval; after < 2*taskRenewInterval; after += time.Second {
		synctest.Test(t, func(t *testing.T) {
			s := startScenario(t)
			for _, w := range s.workers {
				w.extraRunTime = 10 * time.Minute
			}
			s.submitJob("p9-running", 9, false)
			time.Sleep(after)
			s.stop(s.activeProcess(), true)
			time.Sleep(40 * time.Second)
			if n := len(s.ran); n != 9 {
				t.Errorf("crash after %s: %d members were released, want 9\n%s", after, n, strings.Join(s.events, "\n"))
			}
			s.shutDown()
		})
	}
}

// TestEndedRecordSurvivesOutageAndCrash guards against a job that never ends or runs again because it ended during an outage
// of the log and the scheduler crashed before the outage was over.
func TestEndedRecordSurvivesOutageAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		s.submitJob("o5-job", 5, true)
		time.Sleep(2 * time.Second)
		s.setLog(true, 0)
		time.Sleep(50 * time.Second)
		s.stop(s.activeProcess(), true)
		time.Sleep(10 * time.Second)
		s.setLog(false, 0)
		time.Sleep(10 * time.Second)
		for _, e := range s.openJobs() {
			t.Errorf("job %s has not ended", e.Job.ID)
		}
		if runs := s.onceRuns["o5-job/0"]; runs != 1 {
			t.Errorf("member 0 ran %d times, want 1", runs)
		}
		s.shutDown()
	})
}

// TestRunOnceWaitsForLog guards against a run-once job that is released while an outage of the log prevents the record of its
// intent, and against one that does not run exactly once after the outage.
func TestRunOnceWaitsForLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		s.submitJob("o5-job", 5, true)
		s.setLog(true, 0)
		time.Sleep(60 * time.Second)
		if n := s.running("o5-job"); n != 0 {
			t.Errorf("%d members run without an intent in the log, want 0", n)
		}
		s.setLog(false, 0)
		time.Sleep(15 * time.Second)
		if runs := s.onceRuns["o5-job/0"]; runs != 1 {
			t.Errorf("member 0 ran %d times after the outage, want 1", runs)
		}
		s.shutDown()
	})
}

// TestSimultaneousStartsDoNotRaceOnTimers guards against a loop that receives from a timer that is already due. Two such
// receives at the same time in a synctest bubble corrupt the state of the race detector, which then ends the test program.
func TestSimultaneousStartsDoNotRaceOnTimers(t *testing.T) {
	const starts = 3000
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(1)
		for range starts {
			s.launch(t, 0)
			s.launch(t, 1)
			time.Sleep(time.Millisecond)
			s.stop(0, true)
			s.stop(1, true)
		}
	})
}

// TestRestartBetweenRequests guards against a gang that runs without one of its members for as long as the worker's inventory does not
// change: its worker restarted between two requests, and its inventory has reached the revision that the scheduler knew of the former
// process, so that the worker did not send it.
func TestRestartBetweenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		for _, w := range s.workers {
			w.update(func() { w.extraRunTime = time.Hour })
		}
		s.submitJob("p9-running", 9, false)
		time.Sleep(2 * time.Second)
		w := s.workerOf(t, "p9-running")
		w.mu.Lock()
		w.restart()
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		if n := s.membersAtWork("p9-running"); n != 9 {
			t.Errorf("%d of 9 members run 20 s after the restart of a worker", n)
		}
		s.shutDown()
	})
}

// TestRestartWhileAnotherSchedulerHoldsTheLease guards against the same if the first response of the new process is a rejection: another
// scheduler got the lease that the worker had forgotten. The inventory in that response is not applied.
func TestRestartWhileAnotherSchedulerHoldsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startScenario(t)
		for _, w := range s.workers {
			w.update(func() { w.extraRunTime = time.Hour })
		}
		s.submitJob("p9-running", 9, false)
		time.Sleep(2 * time.Second)
		w := s.workerOf(t, "p9-running")
		w.mu.Lock()
		known := w.revision
		w.restart()
		w.revision = known - 1
		w.holder, w.leaseUntil = "other", time.Now().Add(3*time.Second)
		w.mu.Unlock()
		time.Sleep(2900 * time.Millisecond)
		w.mu.Lock()
		w.revision = known
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		if n := s.membersAtWork("p9-running"); n != 9 {
			t.Errorf("%d of 9 members run 20 s after the restart of a worker", n)
		}
		s.shutDown()
	})
}

// workerOf returns a worker that runs a task of the job.
func (s *scenario) workerOf(t *testing.T, job string) *fakeWorker {
	t.Helper()
	for _, w := range s.workers {
		w.mu.Lock()
		for key := range w.tasks {
			if key.attempt.Job == job {
				w.mu.Unlock()
				return w
			}
		}
		w.mu.Unlock()
	}
	t.Fatalf("no worker runs %s", job)
	return nil
}

// restart replaces the worker's process by one that knows nothing and whose inventory has the same revision. mu must be held.
func (w *fakeWorker) restart() {
	w.incarnation++
	w.tasks = map[taskKey]*fakeTask{}
	w.epoch, w.holder, w.leaseUntil = 0, "", time.Time{}
}

// membersAtWork returns the number of running tasks of the newest attempt at the job.
func (s *scenario) membersAtWork(job string) int {
	newest, count := uint64(0), 0
	for _, w := range s.workers {
		w.mu.Lock()
		for key, task := range w.tasks {
			if key.attempt.Job != job || task.State != infra.TaskRunning || key.attempt.Attempt < newest {
				continue
			}
			if key.attempt.Attempt > newest {
				newest, count = key.attempt.Attempt, 0
			}
			count++
		}
		w.mu.Unlock()
	}
	return count
}
