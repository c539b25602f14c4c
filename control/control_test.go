package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// steady starts a scenario's two schedulers without faults and waits until one is active.
func steady(t *testing.T) *scenario {
	s := newScenario(1)
	s.launch(t, 0)
	s.launch(t, 1)
	time.Sleep(10 * time.Second)
	return s
}

func (s *scenario) end() {
	for i, p := range s.procs {
		if !p.stopped {
			s.stop(i, false)
		}
	}
	time.Sleep(10 * time.Second)
}

// activeProc returns the index of the active scheduler, -1 if there is none.
func (s *scenario) activeProc() int {
	for i, p := range s.procs {
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

// running counts the members that run.
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

// TestUrgentStart guards against urgent work that starts later than 1.8 s after its record, also for run-once jobs,
// which need a round through the log.
func TestUrgentStart(t *testing.T) {
	for id, runOnce := range map[string]bool{"p9-urgent": false, "o9-urgent": true} {
		synctest.Test(t, func(t *testing.T) {
			s := steady(t)
			s.submitJob(id, 9, runOnce)
			time.Sleep(1800 * time.Millisecond)
			if n := s.running(id); n != 9 {
				t.Errorf("%d of 9 members of %s run after 1.8 s", n, id)
			}
			if state := s.ask(id); state != "running " {
				t.Errorf("the active scheduler reports %q", state)
			}
			s.end()
		})
	}
}

// TestPlannedStopHandsOver guards against a planned stop after which the standby waits for the leases to lapse, and
// against running work that suffers from it.
func TestPlannedStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := steady(t)
		s.submitJob("p9-running", 9, false)
		time.Sleep(2 * time.Second)
		first := s.activeProc()
		s.stop(first, false)
		time.Sleep(3 * time.Second)
		if next := s.activeProc(); next == first || next < 0 {
			t.Error("the standby is not active 3 s after the planned stop")
		}
		if n := s.running("p9-running"); n != 9 {
			t.Errorf("%d of 9 members are left after the planned stop", n)
		}
		s.end()
	})
}

// TestCrashHandsOver guards against a takeover later than the holder lease and the time of a survey and a claim.
func TestCrashHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := steady(t)
		first := s.activeProc()
		s.stop(first, true)
		time.Sleep(6500 * time.Millisecond)
		if next := s.activeProc(); next == first || next < 0 {
			t.Error("the standby is not active 6.5 s after the crash")
		}
		s.end()
	})
}

// TestCrashKeepsTasks guards against task leases that lapse because the new holder renews them too late, wherever in the
// renewal interval the previous one crashed.
func TestCrashKeepsTasks(t *testing.T) {
	for after := taskRenewInterval; after < 2*taskRenewInterval; after += time.Second {
		synctest.Test(t, func(t *testing.T) {
			s := steady(t)
			for _, w := range s.workers {
				w.longer = 10 * time.Minute
			}
			s.submitJob("p9-running", 9, false)
			time.Sleep(after)
			s.stop(s.activeProc(), true)
			time.Sleep(40 * time.Second)
			if n := len(s.ran); n != 9 {
				t.Errorf("crash after %s: %d members were released, want 9\n%s", after, n, strings.Join(s.events, "\n"))
			}
			s.end()
		})
	}
}

// TestEndedRecordSurvivesOutageAndCrash guards against the end of a job that is lost because the log was down when the
// job ended and the scheduler crashed before the log was up again.
func TestEndedRecordSurvivesOutageAndCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := steady(t)
		s.submitJob("o5-job", 5, true)
		time.Sleep(2 * time.Second)
		s.setLog(true, 0)
		time.Sleep(50 * time.Second)
		s.stop(s.activeProc(), true)
		time.Sleep(10 * time.Second)
		s.setLog(false, 0)
		time.Sleep(10 * time.Second)
		for _, e := range s.open() {
			t.Errorf("job %s has not ended", e.Job.ID)
		}
		if runs := s.onceRuns["o5-job/0"]; runs != 1 {
			t.Errorf("member 0 ran %d times", runs)
		}
		s.end()
	})
}

// TestRunOnceWaitsForLog guards against a run-once job that is released while its intent cannot be recorded.
func TestRunOnceWaitsForLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := steady(t)
		s.submitJob("o5-job", 5, true)
		s.setLog(true, 0)
		time.Sleep(60 * time.Second)
		if n := s.running("o5-job"); n != 0 {
			t.Errorf("%d members run without an intent in the log", n)
		}
		s.setLog(false, 0)
		time.Sleep(15 * time.Second)
		if runs := s.onceRuns["o5-job/0"]; runs != 1 {
			t.Errorf("member 0 ran %d times after the outage", runs)
		}
		s.end()
	})
}

// TestStartsTogether guards against a loop that receives from a timer which is due already: two such receives at once
// in a synctest bubble corrupt the state of the race detector, which then ends the test program.
func TestStartsTogether(t *testing.T) {
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
