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

// rerunBound is the bound from the stop of an attempt until the job runs again or is unknown: the lost worker's task lease
// with the margin for late delivery, and the start of an attempt.
const rerunBound = gang.TaskLease + 5*time.Second + gang.ReserveBound + gang.StartBound + gang.ReleaseBound

// settles reports whether settle and then withdraw tell the truth about a patch. A patch that is not in the log so far is
// unknown until a withdraw record rules it out.
func (s *system) settles(v *vm, id string, took func(string) bool) error {
	decision, err := s.operator(v).Settle(s.t.Context(), id)
	if errkind.Is(err, errkind.Unknown) && !took(id) {
		decision, err = s.operator(v).Withdraw(s.t.Context(), id, "ana", "test")
		if errkind.Is(err, errkind.Conflict) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	if accepted := decision.Outcome == configlog.Accepted; accepted != took(id) {
		return fmt.Errorf("%s settles %s as %+v", v.name, id, decision)
	}
	return nil
}

// tookEffect reports whether a patch made a version that is in force on the first VM.
func (s *system) tookEffect(id string) bool {
	entries, err := s.operator(s.vms[0]).Log(s.t.Context(), 0, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return slices.ContainsFunc(entries, func(e operatorclient.LogEntry) bool {
		return e.ID == id && e.Outcome == configlog.Accepted
	})
}

// TestLogOutage guards against a change that takes effect although its operator was told that it did not, against a
// wrong answer when it is settled, and against requests or gangs that need the log.
func TestLogOutage(t *testing.T) {
	s := startSystem(t)
	s.submit("long", "fd-a", 2, false, "sleep", "30")
	s.waitFor("running gang", 10*time.Second, func() error { return s.inState("long", jobs.StateRunning) })
	ctx, cancel := context.WithCancel(t.Context())
	load := s.eachGateway(ctx, func(v *vm, path string, _ int) {
		if _, err := s.caller(v).Send(context.Background(), operatorclient.ServiceRequest{Method: http.MethodPost,
			Target: "orders" + path}); err != nil {
			t.Errorf("request through %s failed: %v", v.name, err)
		}
	})
	told := make(map[string]error)
	var mu sync.Mutex
	var submissions sync.WaitGroup
	// submitAll races one change of every VM while the log has the faults.
	submitAll := func(stage string, faults standin.LogFaults) {
		s.set.Log.SetFaults(faults)
		for _, v := range s.vms {
			id := stage + "-" + v.name
			submissions.Go(func() {
				_, err := s.submitDrain(v, id)
				mu.Lock()
				defer mu.Unlock()
				told[id] = err
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
	if err := s.inState("long", jobs.StateRunning); err != nil {
		t.Error(err)
	}
	submitAll("after", standin.LogFaults{LoseResponses: 3})
	began := time.Now()
	var version uint64
	s.waitFor("fresh change", inForceBound, func() error {
		decision, err := s.submitDrain(s.vms[2], fmt.Sprintf("fresh-%d", time.Since(began)))
		version = decision.Version
		return err
	})
	s.waitFor("fresh change on all VMs", inForceBound-time.Since(began), func() error { return s.inForceEverywhere(version) })
	t.Logf("a change after the outage is in force everywhere after %v", time.Since(began))
	submissions.Wait()
	cancel()
	load.Wait()
	outcomes := make(map[string]int)
	for id, err := range told {
		accepted := s.tookEffect(id)
		if err != nil && !errkind.Is(err, errkind.Unknown) && accepted {
			t.Errorf("%s took effect after the answer: %v", id, err)
		}
		if err == nil && !accepted {
			t.Errorf("%s was accepted and took no effect", id)
		}
		for _, v := range s.vms {
			if err := s.settles(v, id, s.tookEffect); err != nil {
				t.Error(err)
			}
		}
		outcomes[strings.Split(id, "-")[0]+" "+kindOf(err)]++
	}
	t.Logf("outcomes %v", outcomes)
	s.waitFor("end of the gang", 30*time.Second, func() error { return s.inState("long", jobs.StateCompleted) })
	if n := s.releases("long"); n != 2 {
		t.Errorf("members were released %d times, want 2", n)
	}
	s.checkViolations()
}

// runningOn returns the workers on which members of the job run, by attempt.
func (s *system) runningOn(job string) map[uint64][]string {
	running := make(map[uint64][]string)
	for id, worker := range s.set.Workers {
		for _, task := range worker.Inventory(time.Now()).Tasks {
			if task.Attempt.Job == job && task.State == infra.TaskRunning {
				running[task.Attempt.Attempt] = append(running[task.Attempt.Attempt], id)
			}
		}
	}
	return running
}

// TestSilentWorkerStopsGang guards against a gang that goes on without a member whose worker stopped answering, against
// a second attempt while the first may run, and against a run-once job that is started again.
func TestSilentWorkerStopsGang(t *testing.T) {
	s := startSystem(t)
	s.submit("again", "fd-a", 2, false, "forever")
	if _, err := s.operator(s.vms[0]).SubmitJob(t.Context(), jobs.Job{ID: "once", Account: "orders", FailureDomain: "fd-b",
		Shape: gangShape(2), RunOnce: true, Run: []string{"forever"}}); err != nil {
		t.Fatal(err)
	}
	var silent standin.WorkerFaults
	silent.Silent = true
	lost := make(map[string]string)
	first := make(map[string]uint64)
	for _, job := range []string{"again", "once"} {
		s.waitFor("running gang", 10*time.Second, func() error { return s.inState(job, jobs.StateRunning) })
		status, err := s.operator(s.vms[0]).Job(t.Context(), job)
		if err != nil || len(status.Workers) != 2 {
			t.Fatalf("got %+v, error %v", status, err)
		}
		lost[job], first[job] = status.Workers[1], status.Attempt
	}
	for _, worker := range lost {
		s.set.Workers[worker].SetFaults(silent)
	}
	silenced := time.Now()
	// watch waits until check is met, while no two attempts of a job may run at once.
	watch := func(what string, bound time.Duration, check func() error) {
		s.waitFor(what, bound, func() error {
			for job := range lost {
				if running := s.runningOn(job); len(running) > 1 {
					t.Fatalf("two attempts of %s run at once: %v", job, running)
				}
			}
			return check()
		})
		t.Logf("%s %v after the silence", what, time.Since(silenced))
	}
	for job := range lost {
		watch("stop of "+job, gang.DifferBound-time.Since(silenced), func() error {
			if running := s.runningOn(job)[first[job]]; len(running) > 0 {
				return fmt.Errorf("%s runs on %v", job, running)
			}
			return nil
		})
	}
	watch("second attempt", rerunBound, func() error {
		status, err := s.operator(s.vms[0]).Job(t.Context(), "again")
		if err == nil && (status.State != jobs.StateRunning || slices.Contains(status.Workers, lost["again"])) {
			err = fmt.Errorf("%+v", status)
		}
		return err
	})
	watch("unknown end of the run-once job", rerunBound, func() error { return s.inState("once", jobs.StateUnknown) })
	for _, worker := range lost {
		s.set.Workers[worker].SetFaults(standin.WorkerFaults{})
	}
	time.Sleep(5 * time.Second)
	watch("state after the return", time.Second, func() error { return s.inState("once", jobs.StateUnknown) })
	if again, once := s.releases("again"), s.releases("once"); again != 4 || once != 2 {
		t.Errorf("members were released %d and %d times, want 4 and 2", again, once)
	}
	s.checkViolations()
}
