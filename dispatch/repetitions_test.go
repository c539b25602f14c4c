package dispatch

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/workload"
)

// overdueJob returns a job that runs every 10 s for a day and was accepted 18 hours after its first run.
func overdueJob(c *cluster, id, queue string) *workload.Job {
	step := tasks(1, 0)
	return &workload.Job{
		ID: workload.JobID(id), Queue: queue, Service: "svc", Account: "large", Steps: []workload.Step{step},
		AcceptedAt: c.wall(), Repetitions: 8640, FirstRun: c.wall().Add(-18 * time.Hour), Interval: 10 * time.Second,
	}
}

// TestOverdueRepetitionsOfManyJobsAreBounded guards against jobs whose repetitions are due at once and that together exhaust the memory of
// every holder of the schedule, one after the other. Urgent work is started beside them.
func TestOverdueRepetitionsOfManyJobsAreBounded(t *testing.T) {
	for _, jobs := range []int{120, 240, 480} {
		before := footprinttest.LiveHeap()
		c := newCluster(t, 6)
		charged := 0
		for i := range jobs {
			job := overdueJob(c, fmt.Sprintf("%016x", i), "batch")
			charged += overload.Charge(job)
			c.submitJob(job)
		}
		for range 5 {
			c.plan()
			c.advance(50 * time.Millisecond)
		}
		used, limit := footprinttest.LiveHeap()-before, float64(footprint.UnitBytes*(charged+footprint.MaxOverlap))
		t.Logf("%d jobs take %.1f MB, at most %.1f MB are charged and kept for overlaps", jobs, used/(1<<20), limit/(1<<20))
		if used > limit {
			t.Errorf("%d jobs with overdue repetitions take %.1f MB, want at most %.1f MB", jobs, used/(1<<20), limit/(1<<20))
		}
		c.submit("urgent", "urgent", "large", tasks(1, 1))
		for range 20 {
			c.plan()
			c.listAll()
			c.advance(50 * time.Millisecond)
		}
		if len(c.placed("urgent")) != 1 {
			t.Errorf("an urgent task does not start beside %d jobs with overdue repetitions", jobs)
		}
		runtime.KeepAlive(c)
	}
}

// TestRepetitionsThatAreDoneFreeTheirMemory guards against a job that takes more memory with each repetition that it has had.
func TestRepetitionsThatAreDoneFreeTheirMemory(t *testing.T) {
	c := newCluster(t, 2)
	c.submitJob(overdueJob(c, "a", "normal"))
	started := 0
	for range 300 {
		started += len(c.plan().Starts)
		c.listAll()
		c.endAll("a", workload.EndDone)
		c.advance(50 * time.Millisecond)
	}
	job := c.core.jobs["a"]
	if started < 6480 || job.repetitions.doneCount < 6480 {
		t.Errorf("%d repetitions were started and %d are done, want all 6,480 that are due", started, job.repetitions.doneCount)
	}
	if n := len(job.repetitions.active); n > 1 || c.core.overlap != 0 {
		t.Errorf("%d repetitions have steps in memory and %d units are counted, want one and none", n, c.core.overlap)
	}
}

// TestRepetitionsRunOnceAcrossTakeovers guards against a repetition that is lost or runs again because the next holder restores another
// set of repetitions: each must run once, whichever of them were waiting, under way or done when the schedule changed hands.
func TestRepetitionsRunOnceAcrossTakeovers(t *testing.T) {
	c := newCluster(t, 1)
	c.submitJob(&workload.Job{
		ID: "a", Queue: "normal", Service: "svc", Account: "large", Steps: []workload.Step{tasks(3, 1), {Tasks: 2, Demand: tasks(1, 1).Demand, After: []int{0}}},
		AcceptedAt: c.wall(), Repetitions: 30, FirstRun: c.wall().Add(-time.Hour), Interval: time.Millisecond,
	})
	ended := map[workload.TaskID]int{}
	for round := 0; c.phases["a"] != workload.PhaseCompleted && round < 400; round++ {
		c.plan()
		c.listAll()
		placed := c.placed("a")
		refs := make([]workload.RunRef, 0, len(placed))
		for ref := range placed {
			refs = append(refs, ref)
		}
		slices.SortFunc(refs, compareRefs)
		// Every other run ends, so that the next holder finds repetitions in every state.
		for i, ref := range refs {
			if (i+round)%2 == 0 {
				ended[ref.Task]++
				c.end(placed[ref], ref, workload.EndDone)
			}
		}
		c.listAll()
		c.plan()
		if round%3 == 0 {
			c.takeOver()
			c.listAll()
		}
		c.advance(time.Second)
	}
	if c.phases["a"] != workload.PhaseCompleted || len(ended) != 30*5 {
		t.Fatalf("the job is %v after %d of 150 tasks", c.phases["a"], len(ended))
	}
	for task, n := range ended {
		if n != 1 {
			t.Errorf("task %v has run %d times to its end, want once", task, n)
		}
	}
}

// TestStateOfAnEarlierVersionFits guards against a holder that exhausts its memory with what one of an earlier version has stored: that
// one began all repetitions that were due. A holder of that version reads repetitions without units as waiting ones.
func TestStateOfAnEarlierVersionFits(t *testing.T) {
	stored := &workload.JobState{Phase: workload.PhaseRunning}
	for k := range 4096 {
		unit := workload.UnitState{}
		if k < 3 {
			unit = workload.UnitState{Status: workload.UnitDone, Run: 1}
		}
		stored.Repetitions = append(stored.Repetitions, []workload.StepState{{Done: k < 3, Units: []workload.UnitState{unit}}})
	}
	text := stored.Encode()
	c := newCluster(t, 1)
	before := footprinttest.LiveHeap()
	const jobs = 100
	for i := range jobs {
		state, err := workload.DecodeState(text)
		if err != nil {
			t.Fatal(err)
		}
		c.core.AddJob(overdueJob(c, fmt.Sprintf("%016x", i), "batch"), state)
	}
	charge := overload.Charge(overdueJob(c, "", "batch"))
	if used := footprinttest.LiveHeap() - before; used > float64(footprint.UnitBytes*(jobs*charge+footprint.MaxOverlap)) {
		t.Errorf("%d restored jobs take %.1f MB", jobs, used/(1<<20))
	}
	j := c.core.jobs["0000000000000000"]
	if j.repetitions.doneCount != 3 || j.repetitions.pending() != 3 {
		t.Errorf("%d repetitions are done and the next is %d, want 3 and 3", j.repetitions.doneCount, j.repetitions.pending())
	}
	exported, err := workload.DecodeState(j.export().Encode())
	if err != nil || len(exported.Repetitions) < 3 || !exported.Repetitions[2][0].Done {
		t.Errorf("the state is stored again as %+v, %v", exported, err)
	}
	runtime.KeepAlive(c)
}

// TestCancelledJobsKeepOnlyTheirRuns guards against large jobs that are cancelled one after the other while a few of their tasks run on a
// worker that does not respond: until its lease expires, the holder kept each of them whole.
func TestCancelledJobsKeepOnlyTheirRuns(t *testing.T) {
	const jobs = 30
	c := newCluster(t, 1)
	before := footprinttest.LiveHeap()
	for i := range jobs {
		job := &workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Queue: "normal", Service: "svc", Account: "large", AcceptedAt: c.wall()}
		for k := range workload.MaxSteps {
			step := tasks(1, 0)
			if k > 0 {
				step.After = []int{k - 1}
			}
			job.Steps = append(job.Steps, step)
		}
		c.submitJob(job)
		if starts := c.decide().Starts; len(starts) != 1 {
			t.Fatalf("%d tasks of job %d start, want its first", len(starts), i)
		}
		c.core.CancelJob(job.ID)
		c.advance(50 * time.Millisecond)
	}
	c.decide()
	c.specs, c.starts = nil, nil
	if placed := c.core.placed; placed != jobs {
		t.Fatalf("%d runs are left, want %d", placed, jobs)
	}
	// The chains of the steps are kept: 8 bytes for each.
	const limit = footprint.UnitBytes*overload.EndedCharge + footprint.PlacedBytes + 16*workload.MaxSteps
	if used := (footprinttest.LiveHeap() - before) / jobs; used > limit {
		t.Errorf("a cancelled job of %d steps with one run takes %.0f bytes, want at most %d", workload.MaxSteps, used, limit)
	}
	for _, w := range c.core.sortedWorkers {
		c.core.MarkWorkerGone(w.id, GoneLeaseExpired)
	}
	if len(c.core.jobs) > 0 || c.core.placed != 0 || c.core.overlap != 0 {
		t.Errorf("%d jobs and %d runs are left after the worker is gone", len(c.core.jobs), c.core.placed)
	}
	runtime.KeepAlive(c)
}
