package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const beginJob workload.JobID = "0000000000000001"

// checkStoredPhase checks the phase in the job's stored state once the begin of the job must have been stored.
func (c *cluster) checkStoredPhase(id workload.JobID, want workload.Phase) {
	c.t.Helper()
	c.advance(beginStoreDelay)
	c.store()
	if got := c.phases[id]; got != want {
		c.t.Fatalf("the stored job is %v, want %v", got, want)
	}
}

// loseProcess restarts the worker under its id, as a holder that is in contact with it learns of it.
func (c *cluster) loseProcess(worker string) {
	c.core.SetUnreachable(worker, false)
	c.restart(worker)
	c.core.SetWorker(c.workers[worker].info)
}

// TestJobWhoseStartsFailedWaits guards against a job that is counted as running although nothing of it has begun: starts of it are
// decided again and again, and each is rejected, has no response, or is lost with its worker, so that the callers' count of waiting jobs is
// too low.
func TestJobWhoseStartsFailedWaits(t *testing.T) {
	cases := []struct {
		name string
		fail func(c *cluster, s Start)
	}{
		{"rejected at the first attempt", func(c *cluster, s Start) { c.core.StartRejected(s.Worker, s.Ref, "no room") }},
		{"rejected after an attempt without response", func(c *cluster, s Start) {
			c.core.AbandonStart(s.Worker, s.Ref, "not healthy")
			c.core.StopConfirmed(s.Worker, s.Ref)
		}},
		{"closed by a stop that arrived first", func(c *cluster, s Start) { c.core.StartClosed(s.Worker, s.Ref) }},
		{"no response", func(*cluster, Start) {}},
		{"lost without a response", func(c *cluster, s Start) { c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired) }},
		{"lost with a replaced worker", func(c *cluster, s Start) { c.core.MarkWorkerGone(s.Worker, GoneReplaced) }},
		{"lost with a process under the same id", func(c *cluster, s Start) { c.loseProcess(s.Worker) }},
		{"not sent before a takeover", func(c *cluster, _ Start) { c.takeOver() }},
		{"rejected after a takeover", func(c *cluster, s Start) {
			c.takeOver()
			c.listAll()
			c.core.StartRejected(s.Worker, s.Ref, "no room")
		}},
		{"worker lost in a takeover", func(c *cluster, s Start) {
			c.takeOver()
			c.core.MarkWorkerGone(s.Worker, GoneUnlisted)
		}},
	}
	steps := map[string][]workload.Step{
		"task": {tasks(1, 8)}, "gang": {gangOf(2, 8)}, "two steps": {tasks(2, 8), func() workload.Step { s := tasks(1, 8); s.After = []int{0}; return s }()},
	}
	for _, tc := range cases {
		for shape, spec := range steps {
			t.Run(tc.name+"/"+shape, func(t *testing.T) {
				c := newCluster(t, 3)
				c.submitJob(&workload.Job{ID: beginJob, Queue: "normal", Service: "svc", Account: "large", Steps: spec, AcceptedAt: c.wall()})
				for range 3 {
					starts := c.decide().Starts
					c.checkStoredPhase(beginJob, workload.PhaseQueued)
					for _, s := range starts {
						tc.fail(c, s)
					}
					c.listAll()
					c.checkStoredPhase(beginJob, workload.PhaseQueued)
				}
			})
		}
	}
}

// TestJobThatBeganRuns guards against a job that is counted as waiting although a worker has begun one of its runs: only the response, a
// listing or the listed end showed it, late, after a takeover, for one member of a gang or for a run that was given up.
func TestJobThatBeganRuns(t *testing.T) {
	run := func(c *cluster, s Start) { c.workers[s.Worker].running[s.Ref] = &simRun{} }
	cases := []struct {
		name  string
		begin func(c *cluster, s Start)
	}{
		{"start accepted", func(c *cluster, s Start) { c.core.StartAccepted(s.Worker, s.Ref) }},
		{"start accepted and its worker lost", func(c *cluster, s Start) {
			c.core.StartAccepted(s.Worker, s.Ref)
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
		}},
		{"start accepted after the run was given up", func(c *cluster, s Start) {
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
			c.core.StartAccepted(s.Worker, s.Ref)
		}},
		{"run listed", func(c *cluster, s Start) {
			run(c, s)
			c.list(s.Worker)
		}},
		{"run listed after it was given up", func(c *cluster, s Start) {
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
			run(c, s)
			c.list(s.Worker)
		}},
		{"end listed", func(c *cluster, s Start) {
			run(c, s)
			c.end(s.Worker, s.Ref, workload.EndFailed)
			c.list(s.Worker)
		}},
		{"end listed after the run was given up", func(c *cluster, s Start) {
			c.core.MarkWorkerGone(s.Worker, GoneLeaseExpired)
			run(c, s)
			c.end(s.Worker, s.Ref, workload.EndGangMemberEnded)
			c.list(s.Worker)
		}},
		{"run listed after a takeover", func(c *cluster, s Start) {
			run(c, s)
			c.takeOver()
			c.list(s.Worker)
		}},
		{"end listed after a takeover", func(c *cluster, s Start) {
			run(c, s)
			c.takeOver()
			c.end(s.Worker, s.Ref, workload.EndFailed)
			c.list(s.Worker)
		}},
		{"begin stored before a takeover", func(c *cluster, s Start) {
			c.core.StartAccepted(s.Worker, s.Ref)
			c.checkStoredPhase(beginJob, workload.PhaseRunning)
			c.takeOver()
			c.core.MarkWorkerGone(s.Worker, GoneUnlisted)
		}},
	}
	for _, tc := range cases {
		for shape, spec := range map[string]workload.Step{"task": tasks(1, 8), "gang": gangOf(2, 8)} {
			t.Run(tc.name+"/"+shape, func(t *testing.T) {
				c := newCluster(t, 2)
				c.submit(string(beginJob), "normal", "large", spec)
				tc.begin(c, c.decide().Starts[0])
				c.checkStoredPhase(beginJob, workload.PhaseRunning)
				c.decide()
				c.checkStoredPhase(beginJob, workload.PhaseRunning)
			})
		}
	}
}

// TestJobThatHasBegunIsNotQueuedAgain guards against a job that is shown as queued after it was running, because its later starts fail,
// also under the next holder.
func TestJobThatHasBegunIsNotQueuedAgain(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		c := newCluster(t, 1)
		c.submit(string(beginJob), "normal", "large", tasks(1, 8))
		c.plan()
		c.endAll(string(beginJob), workload.EndFailed)
		c.listAll()
		c.checkStoredPhase(beginJob, workload.PhaseRunning)
		if takeover {
			c.takeOver()
			c.listAll()
		}
		for _, s := range c.decide().Starts {
			c.core.StartRejected(s.Worker, s.Ref, "no room")
		}
		c.checkStoredPhase(beginJob, workload.PhaseRunning)
	}
}

// TestBeginOfAJobIsStoredOnce guards against more records than callers need: the begin of a job is stored with another change if there is
// one in time, and alone at most beginStoreDelay after it; a job that ends before that has no record of its begin.
func TestBeginOfAJobIsStoredOnce(t *testing.T) {
	const other, short workload.JobID = "0000000000000002", "0000000000000003"
	c := newCluster(t, 3)
	for _, id := range []workload.JobID{beginJob, other, short} {
		c.submit(string(id), "normal", "large", tasks(1, 8))
	}
	c.plan()
	c.advance(beginStoreDelay/2 - time.Millisecond)
	if changes := c.core.TakeChanges(); len(changes) != 0 {
		t.Errorf("%d states before half of the delay, want none", len(changes))
	}
	c.advance(time.Millisecond)
	c.endAll(string(short), workload.EndDone)
	c.listAll()
	changes := c.core.TakeChanges()
	if len(changes) != 3 || changes[0].Phase != workload.PhaseRunning || changes[2].Phase != workload.PhaseCompleted {
		t.Errorf("%d states with the end of a job, want two begins and the end", len(changes))
	}
	c.advance(beginStoreDelay)
	if changes := c.core.TakeChanges(); len(changes) != 0 {
		t.Errorf("%d states after the begins were stored, want none", len(changes))
	}
	c.submit("0000000000000004", "normal", "large", tasks(1, 8))
	c.plan()
	c.advance(beginStoreDelay)
	if changes := c.core.TakeChanges(); len(changes) != 1 {
		t.Errorf("%d states at the end of the delay, want the begin", len(changes))
	}
}

// storeAsEarlierVersion replaces the job's stored state by what an earlier version stores, in which a job runs from the decision to start
// it.
func (c *cluster) storeAsEarlierVersion(id workload.JobID) {
	c.t.Helper()
	state, err := c.storedState(id)
	if err != nil || state == nil {
		c.t.Fatalf("the job has no state: %v", err)
	}
	state.Phase, state.Begun = workload.PhaseRunning, false
	c.stored[id], c.phases[id] = state.Encode(), workload.PhaseRunning
}

// TestStateOfAnEarlierHolder guards against a new holder that takes what an earlier version has only decided for begun, and against one
// that counts a job as waiting although one of its runs has begun, or may have.
func TestStateOfAnEarlierHolder(t *testing.T) {
	cases := []struct {
		name string
		show func(c *cluster, s Start)
		want workload.Phase
	}{
		{"worker has not begun it", func(c *cluster, s Start) { c.list(s.Worker) }, workload.PhaseQueued},
		{"run listed", func(c *cluster, s Start) {
			c.workers[s.Worker].running[s.Ref] = &simRun{}
			c.list(s.Worker)
		}, workload.PhaseRunning},
		{"end listed", func(c *cluster, s Start) {
			c.workers[s.Worker].running[s.Ref] = &simRun{}
			c.end(s.Worker, s.Ref, workload.EndFailed)
			c.list(s.Worker)
		}, workload.PhaseRunning},
		{"worker gone", func(c *cluster, s Start) { c.core.MarkWorkerGone(s.Worker, GoneUnlisted) }, workload.PhaseRunning},
		{"process replaced", func(c *cluster, s Start) { c.loseProcess(s.Worker) }, workload.PhaseRunning},
	}
	for _, tc := range cases {
		for shape, spec := range map[string]workload.Step{"task": tasks(1, 8), "tasks": tasks(2, 8), "gang": gangOf(2, 8)} {
			t.Run(tc.name+"/"+shape, func(t *testing.T) {
				c := newCluster(t, 2)
				c.submit(string(beginJob), "normal", "large", spec)
				starts := c.decide().Starts
				c.storeAsEarlierVersion(beginJob)
				c.takeOver()
				for _, s := range starts {
					c.checkStoredPhase(beginJob, workload.PhaseRunning)
					tc.show(c, s)
				}
				c.decide()
				c.checkStoredPhase(beginJob, tc.want)
				c.takeOver()
				c.listAll()
				c.checkStoredPhase(beginJob, tc.want)
				c.plan()
				c.checkStoredPhase(beginJob, workload.PhaseRunning)
			})
		}
	}
}

// TestEarlierStateThatShowsABegin guards against a begun job that is counted as waiting after a takeover from an earlier version: its
// present run was not begun, but an earlier one was.
func TestEarlierStateThatShowsABegin(t *testing.T) {
	for name, end := range map[string]func(c *cluster, s Start){
		"failed run": func(c *cluster, s Start) { c.end(s.Worker, s.Ref, workload.EndFailed) },
		"checkpoint": func(c *cluster, s Start) {
			c.workers[s.Worker].running[s.Ref].checkpoint = "saved"
			c.end(s.Worker, s.Ref, workload.EndStopped)
		},
		"waiting between two runs": func(c *cluster, s Start) {
			c.end(s.Worker, s.Ref, workload.EndLeaseExpired)
			c.list(s.Worker)
			c.store()
			c.storeAsEarlierVersion(beginJob)
			c.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			c.submit(string(beginJob), "normal", "large", tasks(1, 8))
			end(c, c.plan().Starts[0])
			c.listAll()
			c.decide()
			if name != "waiting between two runs" {
				c.storeAsEarlierVersion(beginJob)
				c.takeOver()
			}
			c.listAll()
			c.decide()
			c.checkStoredPhase(beginJob, workload.PhaseRunning)
		})
	}
}

// TestQueuedStateThatShowsABegin guards against a begun job that is counted as waiting: an earlier version has taken it over as queued,
// since its begin was not stored yet, and goes on storing that.
func TestQueuedStateThatShowsABegin(t *testing.T) {
	c := newCluster(t, 1)
	second := tasks(1, 8)
	second.After = []int{0}
	c.submitJob(&workload.Job{
		ID: beginJob, Queue: "normal", Service: "svc", Account: "large", Steps: []workload.Step{tasks(1, 8), second}, AcceptedAt: c.wall(),
	})
	c.plan()
	c.endAll(string(beginJob), workload.EndDone)
	c.listAll()
	c.store()
	state, err := c.storedState(beginJob)
	if err != nil {
		t.Fatal(err)
	}
	state.Phase, state.Begun = workload.PhaseQueued, false
	c.stored[beginJob], c.phases[beginJob] = state.Encode(), workload.PhaseQueued
	c.takeOver()
	c.checkStoredPhase(beginJob, workload.PhaseRunning)
	c.takeOver()
	c.decide()
	c.checkStoredPhase(beginJob, workload.PhaseRunning)
}

// TestListedRunIsNotAbandoned guards against lost work: a run that its worker lists is stopped because the response to its start was lost
// and a later attempt is refused, its failure domain is evacuated, or the worker's capacity has shrunk. A run of a process that has ended
// is given up.
func TestListedRunIsNotAbandoned(t *testing.T) {
	for name, abandon := range map[string]func(c *cluster, s Start){
		"later attempt refused": func(c *cluster, s Start) { c.core.AbandonStart(s.Worker, s.Ref, "not healthy") },
		"evacuated":             func(c *cluster, _ Start) { c.evacuate("d0") },
		"capacity shrunk":       func(c *cluster, s Start) { c.resize(s.Worker, 1) },
		"process ended":         func(c *cluster, s Start) { c.loseProcess(s.Worker) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			c.submit(string(beginJob), "normal", "large", tasks(1, 8))
			start := c.decide().Starts[0]
			c.workers[start.Worker].running[start.Ref] = &simRun{}
			c.advance(simTick)
			c.list(start.Worker)
			abandon(c, start)
			if stops := c.decide().Stops; (len(stops) == 1) != (name == "process ended") {
				t.Errorf("the stops are %v", stops)
			}
			c.listAll()
			if wanted := c.core.WantsStart(start.Worker, start.Ref); wanted == (name == "process ended") {
				t.Errorf("the run is kept: %v", wanted)
			}
		})
	}
}

// TestRunLostIsLoggedWithItsBegin guards against a log line that tells a lost start from a lost run wrongly: the response to its stop was
// taken for one to its start.
func TestRunLostIsLoggedWithItsBegin(t *testing.T) {
	for want, accept := range map[string]bool{"not known to have begun": false, "it had begun": true} {
		c := newCluster(t, 1)
		c.submit(string(beginJob), "normal", "large", tasks(1, 8))
		start := c.decide().Starts[0]
		if accept {
			c.core.StartAccepted(start.Worker, start.Ref)
		} else {
			c.core.AbandonStart(start.Worker, start.Ref, "not healthy")
			c.core.StopConfirmed(start.Worker, start.Ref)
		}
		c.advance(simTick)
		c.listAll()
		c.store()
		if !slices.ContainsFunc(c.events, func(e Event) bool { return e.Name == "run lost" && strings.HasSuffix(e.Detail, want) }) {
			t.Errorf("no event says that the lost run is %q: %v", want, c.events)
		}
	}
}
