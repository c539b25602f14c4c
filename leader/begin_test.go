package leader

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// TestJobWhoseStartsAreRefusedIsStoredAsQueued guards against a count of waiting jobs that is too low: the state that all VMs read says that
// a job runs whose starts are only sent. Each kind of refusal must leave the job queued, and a late acceptance must end that.
func TestJobWhoseStartsAreRefusedIsStoredAsQueued(t *testing.T) {
	for name, refusal := range map[string]error{
		"not healthy": ErrUnhealthy, "no room": ErrInsufficientResources, "invalid": ErrInvalidRequest, "lease expired": ErrLeaseExpired,
		"no response": ErrNoResponse, "not sent": errors.Join(ErrNoResponse, ErrNotSent), "run ended": ErrRunEnded,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var refuses atomic.Bool
			refuses.Store(true)
			conn := newReplaceableConn()
			conn.responseTo = func(StartRequest) (error, bool) { return refusal, refuses.Load() }
			l := runTestLeader(t, testWorkers{"w": conn}, map[string]int{"w": 1})
			l.enqueue(func(c *dispatch.Core) { c.AddJob(testJob(), nil) })
			stored := awaitStoredPhase(t, l, workload.PhaseQueued, time.Second)
			for end := time.Now().Add(2500 * time.Millisecond); stored == workload.PhaseQueued && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				stored = storedPhase(t, l)
			}
			if stored != workload.PhaseQueued {
				t.Errorf("the job is stored as %v while its starts are refused", stored)
			}
			refuses.Store(false)
			if got := awaitStoredPhase(t, l, workload.PhaseRunning, 8*time.Second); got != workload.PhaseRunning {
				t.Errorf("the job is stored as %v although its worker accepts starts", got)
			}
		})
	}
}

// noState is returned for a job without a stored state.
const noState workload.Phase = 255

// storedPhase returns the phase in the stored state of the test's job.
func storedPhase(t *testing.T, l *Leader) workload.Phase {
	fake, isFake := l.Log.(*storetest.Fake)
	if !isFake {
		t.Fatal("the log is no stand-in")
	}
	state := fake.Value(store.States, joblog.StateRecord(testRun.Task.Job, nil).Key)
	if state == nil {
		return noState
	}
	phase, err := workload.DecodePhase(state)
	if err != nil {
		t.Fatal(err)
	}
	return phase
}

// awaitStoredPhase waits up to limit until the test's job is stored with the phase, and returns the last phase.
func awaitStoredPhase(t *testing.T, l *Leader, want workload.Phase, limit time.Duration) (got workload.Phase) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = storedPhase(t, l); got == want {
			break
		}
	}
	return got
}
