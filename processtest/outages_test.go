package processtest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/standin"
)

// rerunBound bounds the time from the stop of an attempt until the job runs again or is reported unknown. It is the sum
// of the task lease on the silent worker, a margin for late delivery and the time to start an attempt.
const rerunBound = gang.TaskLease + 5*time.Second + gang.ReserveBound + gang.StartBound + gang.ReleaseBound

// checkSettlement returns an error if settling the patch through v, and withdrawing it if its outcome is unknown, gives
// another outcome than tookEffect. A patch that is not in the log yet is unknown until a withdraw record excludes it.
func (s *system) checkSettlement(v *vm, id string, tookEffect func(string) bool) error {
	decision, err := s.operator(v).Settle(s.t.Context(), id)
	if errkind.Is(err, errkind.Unknown) && !tookEffect(id) {
		decision, err = s.operator(v).Withdraw(s.t.Context(), id, "ana", "test")
		if errkind.Is(err, errkind.Conflict) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	if accepted := decision.Outcome == configlog.Accepted; accepted != tookEffect(id) {
		return fmt.Errorf("%s settled %s as %+v, which contradicts the log", v.name, id, decision)
	}
	return nil
}

// tookEffect reports whether the patch was accepted, according to the history on the first VM.
func (s *system) tookEffect(id string) bool {
	entries, err := s.operator(s.vms[0]).Log(s.t.Context(), 0, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return slices.ContainsFunc(entries, func(e operatorclient.LogEntry) bool {
		return e.ID == id && e.Outcome == configlog.Accepted
	})
}

// TestLogOutageReportsTrueOutcomes guards against a change that takes effect although its operator got an error other
// than unknown, against a wrong outcome when the change is settled, and against requests or gangs that fail without the
// log. Changes race at all VMs while the log loses responses and while it is down.
func TestLogOutageReportsTrueOutcomes(t *testing.T) {
	s := startSystem(t)
	s.submitJob("long", "fd-a", 2, false, "sleep", "30")
	s.waitFor("running gang", 10*time.Second, func() error { return s.checkJobState("long", jobs.StateRunning) })
	ctx, cancel := context.WithCancel(t.Context())
	load := s.loadEachGateway(ctx, func(v *vm, path string, _ int) {
		if _, err := s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: http.MethodPost,
			Target: "orders" + path}); err != nil {
			t.Errorf("request through %s failed: %v", v.name, err)
		}
	})
	submitErrors := make(map[string]error)
	var mu sync.Mutex
	var submissions sync.WaitGroup
	// submitAll sets the faults of the log and submits one change through every VM concurrently.
	submitAll := func(stage string, faults standin.LogFaults) {
		s.standins.Log.SetFaults(faults)
		for _, v := range s.vms {
			id := stage + "-" + v.name
			submissions.Go(func() {
				_, err := s.submitHarmlessPatch(v, id)
				mu.Lock()
				defer mu.Unlock()
				submitErrors[id] = err
			})
		}
	}
	submitAll("before", standin.LogFaults{LoseResponses: 3})
	submissions.Wait()
	var down standin.LogFaults
	down.Down = true
	submitAll("start", down)
	time.Sleep(5 * time.Second)
	submitAll("end", down)
	time.Sleep(5 * time.Second)
	if err := s.checkJobState("long", jobs.StateRunning); err != nil {
		t.Error(err)
	}
	submitAll("after", standin.LogFaults{LoseResponses: 3})
	began := time.Now()
	var version uint64
	s.waitFor("change after the outage", inForceBound, func() error {
		decision, err := s.submitHarmlessPatch(s.vms[2], fmt.Sprintf("fresh-%d", time.Since(began)))
		version = decision.Version
		return err
	})
	s.waitFor("change after the outage on all VMs", inForceBound-time.Since(began), func() error {
		return s.checkInForceEverywhere(version)
	})
	t.Logf("a change after the outage is in force everywhere after %v", time.Since(began))
	submissions.Wait()
	cancel()
	load.Wait()
	outcomes := make(map[string]int)
	for id, err := range submitErrors {
		accepted := s.tookEffect(id)
		if err != nil && !errkind.Is(err, errkind.Unknown) && accepted {
			t.Errorf("%s took effect although its operator got the error: %v", id, err)
		}
		if err == nil && !accepted {
			t.Errorf("%s was accepted but took no effect", id)
		}
		for _, v := range s.vms {
			if err := s.checkSettlement(v, id, s.tookEffect); err != nil {
				t.Error(err)
			}
		}
		outcomes[strings.Split(id, "-")[0]+" "+outcomeOf(err)]++
	}
	t.Logf("outcomes %v", outcomes)
	s.waitFor("end of the gang", 30*time.Second, func() error { return s.checkJobState("long", jobs.StateCompleted) })
	if n := s.countReleases("long"); n != 2 {
		t.Errorf("members were released %d times, want 2", n)
	}
	s.checkViolations()
}

// runningOn returns the workers on which members of the job run, keyed by attempt.
func (s *system) runningOn(job string) map[uint64][]string {
	running := make(map[uint64][]string)
	for id, worker := range s.standins.Workers {
		for _, task := range worker.Inventory(time.Now()).Tasks {
			if task.Attempt.Job == job && task.State == infra.TaskRunning {
				running[task.Attempt.Attempt] = append(running[task.Attempt.Attempt], id)
			}
		}
	}
	return running
}

// TestSilentWorkerStopsGang guards against a gang that keeps running without the member whose worker stopped
// responding, against a second attempt while the first may still run, and against a run-once job that is started again.
func TestSilentWorkerStopsGang(t *testing.T) {
	s := startSystem(t)
	s.submitJob("again", "fd-a", 2, false, "forever")
	if _, err := s.operator(s.vms[0]).SubmitJob(t.Context(), jobs.Job{ID: "once", Account: "orders", FailureDomain: "fd-b",
		Shape: gangShape(2), RunOnce: true, Run: []string{"forever"}}); err != nil {
		t.Fatal(err)
	}
	var silent standin.WorkerFaults
	silent.Silent = true
	silencedWorkers := make(map[string]string)
	firstAttempts := make(map[string]uint64)
	for _, job := range []string{"again", "once"} {
		s.waitFor("running gang", 10*time.Second, func() error { return s.checkJobState(job, jobs.StateRunning) })
		status, err := s.operator(s.vms[0]).Job(t.Context(), job)
		if err != nil || len(status.Workers) != 2 {
			t.Fatalf("got status %+v, error %v; want 2 workers", status, err)
		}
		silencedWorkers[job], firstAttempts[job] = status.Workers[1], status.Attempt
	}
	for _, worker := range silencedWorkers {
		s.standins.Workers[worker].SetFaults(silent)
	}
	silencedAt := time.Now()
	// waitWithoutOverlap waits until check succeeds and fails the test if two attempts of a job run at once.
	waitWithoutOverlap := func(what string, bound time.Duration, check func() error) {
		s.waitFor(what, bound, func() error {
			for job := range silencedWorkers {
				if running := s.runningOn(job); len(running) > 1 {
					t.Fatalf("two attempts of %s run at once: %v", job, running)
				}
			}
			return check()
		})
		t.Logf("%s observed %v after the workers became silent", what, time.Since(silencedAt))
	}
	for job := range silencedWorkers {
		waitWithoutOverlap("stop of "+job, gang.DivergenceBound-time.Since(silencedAt), func() error {
			if running := s.runningOn(job)[firstAttempts[job]]; len(running) > 0 {
				return fmt.Errorf("%s runs on %v", job, running)
			}
			return nil
		})
	}
	waitWithoutOverlap("second attempt", rerunBound, func() error {
		status, err := s.operator(s.vms[0]).Job(t.Context(), "again")
		if err == nil && (status.State != jobs.StateRunning || slices.Contains(status.Workers, silencedWorkers["again"])) {
			err = fmt.Errorf("%+v", status)
		}
		return err
	})
	waitWithoutOverlap("unknown end of the run-once job", rerunBound, func() error {
		return s.checkJobState("once", jobs.StateUnknown)
	})
	for _, worker := range silencedWorkers {
		s.standins.Workers[worker].SetFaults(standin.WorkerFaults{})
	}
	time.Sleep(5 * time.Second)
	waitWithoutOverlap("unknown state after the workers respond again", time.Second, func() error {
		return s.checkJobState("once", jobs.StateUnknown)
	})
	if again, once := s.countReleases("again"), s.countReleases("once"); again != 4 || once != 2 {
		t.Errorf("members were released %d and %d times, want 4 and 2", again, once)
	}
	s.checkViolations()
}
