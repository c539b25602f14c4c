package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// played is a cluster whose tasks take a set time.
type played struct {
	*cluster
	// length is the run time of the tasks of each queue.
	length map[string]time.Duration
	began  map[workload.RunRef]time.Duration
	first  map[workload.JobID]time.Duration
	// lost is the time that stopped runs had worked, in accelerator seconds.
	lost float64
}

const playTick = 50 * time.Millisecond

func play(t testing.TB, workers int) *played {
	return &played{
		cluster: newCluster(t, workers),
		length:  map[string]time.Duration{"urgent": 2 * time.Second, "normal": 6 * time.Second, "batch": 6 * time.Second},
		began:   map[workload.RunRef]time.Duration{}, first: map[workload.JobID]time.Duration{},
	}
}

func (p *played) hand(id, queue, account string, step workload.Step) {
	step.Estimate = p.length[queue]
	p.submit(id, queue, account, step)
}

// run lets the time pass; each tick ends what is due, lists the changed workers and plans.
func (p *played) run(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.endDue()
		plan := p.plan()
		for _, start := range plan.Starts {
			p.began[start.Ref] = p.now
			if _, known := p.first[start.Ref.Task.Job]; !known {
				p.first[start.Ref.Task.Job] = p.now
			}
		}
		for _, stop := range plan.Stops {
			if at, running := p.began[stop.Ref]; running {
				delete(p.began, stop.Ref)
				step := p.specs[stop.Ref.Task.Job].Steps[stop.Ref.Task.Step]
				p.lost += (p.now - at).Seconds() * float64(step.Demand.Accelerators)
			}
			p.list(stop.Worker)
		}
		p.advance(playTick)
	}
}

func (p *played) endDue() {
	for _, id := range p.order {
		changed := false
		for ref := range p.workers[id].running {
			if p.now-p.began[ref] >= p.length[p.specs[ref.Task.Job].Queue] {
				p.end(id, ref, workload.EndDone)
				delete(p.began, ref)
				changed = true
			}
		}
		if changed {
			p.list(id)
		}
	}
}

func (p *played) wait(id string) time.Duration {
	at, started := p.first[workload.JobID(id)]
	if !started {
		return p.now - p.handed[workload.JobID(id)]
	}
	return at - p.handed[workload.JobID(id)]
}

// TestUrgentBurstOnAFullCluster guards against guaranteed work that waits behind batch work: the reclaim bound of the
// deployments is 2.7 s and more, of which a stop may take 0.9 s.
func TestUrgentBurstOnAFullCluster(t *testing.T) {
	p := play(t, 32)
	for i := range 12 {
		p.hand(fmt.Sprintf("batch%d", i), "batch", "small", tasks(24, 1))
	}
	p.run(2 * time.Second)
	for i := range 4 {
		p.hand(fmt.Sprintf("urgent%d", i), "urgent", "large", gangOf(2, 4))
	}
	p.run(2 * time.Second)
	for i := range 4 {
		if wait := p.wait(fmt.Sprintf("urgent%d", i)); wait > time.Second {
			t.Errorf("guaranteed job %d waited %v", i, wait)
		}
	}
}

// TestUrgentWorkStopsOnlyWhatMakesRoom guards against a search for room that stops work all over a rack: a job of 8
// accelerators on one worker needs at most 8 single tasks stopped.
func TestUrgentWorkStopsOnlyWhatMakesRoom(t *testing.T) {
	p := play(t, 8)
	p.hand("batch", "batch", "small", tasks(64, 1))
	p.run(time.Second)
	p.hand("urgent", "urgent", "large", gangOf(1, 8))
	p.run(200 * time.Millisecond)
	if len(p.stops) > 8 {
		t.Fatalf("%d tasks were stopped for 8 accelerators", len(p.stops))
	}
	if wait := p.wait("urgent"); wait > 200*time.Millisecond {
		t.Fatalf("the urgent job waited %v", wait)
	}
}

// TestSteadyUrgentWorkLosesLittleBatchWork guards against urgent work that stops old batch tasks, or more than it needs.
// Urgent jobs of 16 accelerators and 2 s come every 2.5 s, so that batch tasks fill their room for 0.5 s between two.
func TestSteadyUrgentWorkLosesLittleBatchWork(t *testing.T) {
	p := play(t, 16)
	for i := range 20 {
		p.hand(fmt.Sprintf("batch%d", i), "batch", "small", tasks(16, 1))
	}
	p.run(time.Second)
	const jobs = 12
	for i := range jobs {
		p.hand(fmt.Sprintf("urgent%d", i), "urgent", "large", gangOf(2, 8))
		p.run(2500 * time.Millisecond)
	}
	urgentWork := float64(jobs * 16 * 2)
	if p.lost > urgentWork/4 {
		t.Fatalf("%.0f accelerator seconds of batch work were lost for %.0f of urgent work", p.lost, urgentWork)
	}
}

// TestWideGangAmongSmallTasks guards against a gang that starves because small tasks take each accelerator that becomes
// free. The gang needs a whole rack, which single tasks keep full.
func TestWideGangAmongSmallTasks(t *testing.T) {
	p := play(t, 16)
	for i := range 16 {
		p.hand(fmt.Sprintf("small%d", i), "batch", "small", tasks(8, 1))
		p.run(300 * time.Millisecond)
	}
	p.hand("wide", "normal", "large", gangOf(8, 8))
	for i := range 100 {
		p.hand(fmt.Sprintf("later%d", i), "batch", "small", tasks(4, 1))
		p.run(300 * time.Millisecond)
	}
	if wait := p.wait("wide"); wait > 15*time.Second {
		t.Fatalf("the gang waited %v beside tasks of 6 s", wait)
	}
}

// TestCancellationWave guards against cancelled work that keeps its room: half of a full queue is cancelled at once.
func TestCancellationWave(t *testing.T) {
	p := play(t, 8)
	for i := range 40 {
		p.hand(fmt.Sprintf("j%02d", i), "batch", "small", tasks(8, 1))
	}
	p.run(time.Second)
	for i := range 20 {
		p.core.CancelJob(workload.JobID(fmt.Sprintf("j%02d", i)))
	}
	p.run(500 * time.Millisecond)
	if running := len(p.began); running != 64 {
		t.Fatalf("%d of 64 accelerators are in use after the wave", running)
	}
	for ref := range p.began {
		if p.phases[ref.Task.Job] == workload.PhaseCancelled {
			t.Fatalf("cancelled work runs: %v", ref)
		}
	}
}

// TestPoisonedJobsDoNotCondemnWorkers guards against a flood of jobs that can never end with success and takes the workers
// out: each job fails everywhere, and sound jobs beside them must still start.
func TestPoisonedJobsDoNotCondemnWorkers(t *testing.T) {
	p := play(t, 8)
	for i := range 12 {
		p.hand(fmt.Sprintf("poison%02d", i), "batch", "small", tasks(4, 1))
	}
	for range 8 {
		for _, start := range p.plan().Starts {
			p.end(start.Worker, start.Ref, workload.EndFailed)
		}
		p.listAll()
		p.advance(playTick)
	}
	for i := range 12 {
		if phase := p.phases[workload.JobID(fmt.Sprintf("poison%02d", i))]; phase != workload.PhaseFailed {
			t.Fatalf("poisoned job %d is %v", i, phase)
		}
	}
	p.hand("sound", "normal", "large", tasks(8, 1))
	p.run(200 * time.Millisecond)
	if wait := p.wait("sound"); wait > 100*time.Millisecond {
		t.Fatalf("the sound job waited %v", wait)
	}
}

// TestFailingWorkerIsLeft guards against a worker that fails everything it starts and, being empty, gets each new job while
// the others are full.
func TestFailingWorkerIsLeft(t *testing.T) {
	p := play(t, 8)
	failed := 0
	for i := range 40 {
		p.hand(fmt.Sprintf("j%02d", i), "normal", "large", tasks(1, 8))
		for _, start := range p.plan().Starts {
			if start.Worker == "w00" {
				failed++
				p.end(start.Worker, start.Ref, workload.EndFailed)
				p.list(start.Worker)
			}
		}
		p.advance(100 * time.Millisecond)
	}
	// Two failures open the quarantine; one more may follow when it ends.
	if failed > 4 {
		t.Fatalf("the failing worker got %d tasks within 4 s", failed)
	}
}

// TestHangingRunIsMoved guards against a task that stands still on a worker which answers all calls.
func TestHangingRunIsMoved(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.plan().Starts[0]
	var stopped time.Duration
	begin := c.now
	for c.now-begin < 8*time.Second && stopped == 0 {
		c.listAll()
		if len(c.plan().Stops) > 0 {
			stopped = c.now - begin
		}
		c.advance(500 * time.Millisecond)
	}
	if stopped == 0 || stopped > 5*time.Second {
		t.Fatalf("the hanging run was stopped after %v", stopped)
	}
	c.listAll()
	plan := c.plan()
	if len(plan.Starts) != 1 || plan.Starts[0].Worker == start.Worker {
		t.Fatalf("the run was started again as %v", plan.Starts)
	}
}

// TestUrgentStreamKeepsItsRoom guards against gangs that take the room of urgent work that has just ended, and are stopped for
// the next urgent work before they have done anything. Urgent jobs of two whole workers and 2 s come every 0.45 s, 0.25 s
// after one has ended, so that
// four or five of them run at any time, beside a queue of gangs that take 6 s.
func TestUrgentStreamKeepsItsRoom(t *testing.T) {
	p := play(t, 16)
	for i := range 30 {
		p.hand(fmt.Sprintf("gang%02d", i), "normal", "small", gangOf(2, 8))
	}
	p.run(time.Second)
	const jobs = 60
	for i := range jobs {
		p.hand(fmt.Sprintf("urgent%02d", i), "urgent", "large", gangOf(2, 8))
		p.run(450 * time.Millisecond)
	}
	completed := 0
	for i := range 30 {
		if p.phases[workload.JobID(fmt.Sprintf("gang%02d", i))] == workload.PhaseCompleted {
			completed++
		}
	}
	// Six workers are left for the gangs: three at a time, in 27 s and the second before, less one round for their start.
	const possible = 3 * (28/6 - 1)
	if completed < possible {
		t.Errorf("%d gangs were completed beside the urgent jobs, want %d", completed, possible)
	}
	// The first five urgent jobs find the workers full and stop a gang each; each later one may start in the room of an earlier one.
	if stopped := len(p.stops); stopped > 4*5 {
		t.Errorf("%d tasks were stopped for %d urgent jobs", stopped, jobs)
	}
}

// TestNarrowGangsPassWideOnes guards against an overloaded queue in which wide gangs hold up many narrow ones, and against wide
// ones that never get their turn.
func TestNarrowGangsPassWideOnes(t *testing.T) {
	p := play(t, 16)
	p.hand("running", "normal", "small", gangOf(8, 8))
	p.hand("running2", "normal", "small", gangOf(8, 8))
	p.run(time.Second)
	for i := range 4 {
		p.hand(fmt.Sprintf("wide%d", i), "normal", "small", gangOf(8, 8))
	}
	p.run(time.Second)
	for i := range 60 {
		p.hand(fmt.Sprintf("narrow%02d", i), "normal", "small", gangOf(1, 8))
		p.run(500 * time.Millisecond)
	}
	for i := range 4 {
		if wait := p.wait(fmt.Sprintf("narrow%02d", i)); wait > 6*time.Second {
			t.Errorf("narrow gang %d waited %v behind wide ones", i, wait)
		}
		if wait := p.wait(fmt.Sprintf("wide%d", i)); wait > 24*time.Second {
			t.Errorf("wide gang %d waited %v", i, wait)
		}
	}
}

// TestTaskWaitsForItsRackBehindUrgentWork guards against a task that runs far from its data, where it takes three times as long,
// because the workers of its rack are kept for urgent work for a moment.
func TestTaskWaitsForItsRackBehindUrgentWork(t *testing.T) {
	p := play(t, 2*workersPerRack)
	blocked := tasks(workersPerRack, 8)
	blocked.DataRack = "r1"
	p.hand("other", "normal", "small", blocked)
	urgent := tasks(workersPerRack, 8)
	urgent.DataRack = "r0"
	p.hand("urgent", "urgent", "large", urgent)
	p.run(1900 * time.Millisecond)
	p.endAll("other", workload.EndDone)
	p.listAll()
	p.run(200 * time.Millisecond)
	near := tasks(1, 1)
	near.DataRack = "r0"
	p.hand("near", "normal", "small", near)
	p.run(time.Second)
	for ref, id := range p.placed("near") {
		if rack := p.workers[id].info.Rack; rack != "r0" {
			t.Errorf("%v runs in rack %s", ref, rack)
		}
	}
	if wait := p.wait("near"); wait > time.Second {
		t.Errorf("the task waited %v", wait)
	}
}
