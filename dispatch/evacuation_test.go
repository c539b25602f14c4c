package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// startsIn returns the number of starts on workers of each failure domain.
func (c *cluster) startsIn(starts []Start) map[string]int {
	in := map[string]int{}
	for _, start := range starts {
		in[c.workers[start.Worker].info.FailureDomain]++
	}
	return in
}

// runFor lists all workers and plans in each tick, and returns the starts.
func (c *cluster) runFor(d time.Duration) (starts []Start) {
	for end := c.now + d; c.now < end; {
		c.listAll()
		starts = append(starts, c.plan().Starts...)
		c.advance(simTick)
	}
	return starts
}

// TestEvacuatedDomainGetsNoWork guards against starts in an evacuated domain, in a second one that is evacuated in addition, and
// against domains that get no work any more after the evacuation was cancelled.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	c := newCluster(t, 3*workersPerRack)
	want := func(what string, d0, d1, d2 int) {
		t.Helper()
		if in := c.startsIn(c.runFor(simTick)); in["d0"] != d0 || in["d1"] != d1 || in["d2"] != d2 {
			t.Errorf("%s: starts in the domains are %v, want %d, %d and %d", what, in, d0, d1, d2)
		}
	}
	const perDomain = workersPerRack * 8
	c.evacuate("d0")
	c.submit("a", "normal", "large", tasks(perDomain, 1))
	c.submit("b", "normal", "large", tasks(perDomain/2, 1))
	c.evacuate("d0", "d2")
	want("with two domains evacuated", 0, perDomain, 0)
	c.evacuate("d2")
	c.evacuate("d0", "d2")
	want("after the cancellation was taken back", 0, 0, 0)
	c.evacuate("d0")
	want("after one evacuation was cancelled", 0, 0, perDomain/2)
	c.submit("c", "urgent", "large", gangOf(4, 8))
	c.submit("d", "normal", "large", gangOf(8, 8))
	want("with room for one gang of two", 0, 0, 4)
	c.evacuate()
	want("without evacuations", 8, 0, 0)
}

// TestRunsInAnEvacuatedDomainStay guards against runs that are stopped although the evacuation lets them end.
func TestRunsInAnEvacuatedDomainStay(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	step := tasks(2*workersPerRack, 8)
	step.Checkpointing = true
	c.submit("a", "normal", "large", step)
	c.plan()
	c.evacuate("d0")
	c.runFor(3 * time.Second)
	if len(c.stops) != 0 {
		t.Errorf("%d runs were stopped", len(c.stops))
	}
}

// TestEvacuationWithdrawsUnansweredStarts guards against a start that had no response and is sent again to an evacuated worker, and
// against a late execution of it that goes on beside the next run.
func TestEvacuationWithdrawsUnansweredStarts(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	step := tasks(2*workersPerRack, 8)
	c.submit("a", "normal", "large", step)
	unanswered := map[string]Start{}
	for i, start := range c.decide().Starts {
		if i%2 == 0 {
			c.start(start)
			continue
		}
		unanswered[start.Worker] = start
	}
	c.evacuate("d0")
	for id, start := range unanswered {
		evacuated := c.workers[id].info.FailureDomain == "d0"
		if c.core.WantsStart(id, start.Ref) == evacuated {
			t.Errorf("the start on %s is wanted: %v", id, !evacuated)
		}
		if !evacuated {
			c.start(start)
		}
	}
	plan := c.decide()
	if len(plan.Stops) != workersPerRack/2 || len(plan.Starts) != 0 {
		t.Fatalf("the plan has %d stops and %d starts, want a stop for each of the %d starts", len(plan.Stops), len(plan.Starts), workersPerRack/2)
	}
	late := unanswered[plan.Stops[0].Worker]
	c.workers[late.Worker].running[late.Ref] = &simRun{}
	for _, stop := range plan.Stops {
		c.stop(stop)
	}
	c.endAll("a", workload.EndDone)
	c.advance(simTick)
	starts := c.runFor(simTick)
	if in := c.startsIn(starts); in["d0"] != 0 || in["d1"] != workersPerRack/2 {
		t.Fatalf("starts in the domains are %v, want %d in the one that is not evacuated", in, workersPerRack/2)
	}
	for _, start := range starts {
		if start.Ref.Run != 2 {
			t.Errorf("%v starts after run 1 was withdrawn, want run 2", start.Ref)
		}
	}
}

// TestEvacuationWithdrawsGangs guards against a gang of which a part waits for a member that is never sent: the members that have
// begun are stopped and the gang starts elsewhere.
func TestEvacuationWithdrawsGangs(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	step := gangOf(2*workersPerRack-4, 8)
	step.SameRack = false
	c.submit("a", "normal", "large", step)
	for _, start := range c.decide().Starts {
		if c.workers[start.Worker].info.FailureDomain == "d1" {
			c.start(start)
		}
	}
	c.evacuate("d0")
	c.runFor(simTick)
	if placed := c.placed("a"); len(placed) != 0 {
		t.Errorf("%d members still run", len(placed))
	}
	c.evacuate()
	if starts := c.runFor(time.Second); len(starts) != step.Tasks {
		t.Errorf("%d members start after the evacuation, want all %d", len(starts), step.Tasks)
	}
}

// TestRestoredStartIsNotRepeatedInAnEvacuatedDomain guards against a holder that takes over between the request and its first plan, and
// sends a start of its predecessor again to an evacuated worker.
func TestRestoredStartIsNotRepeatedInAnEvacuatedDomain(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	c.submit("a", "normal", "large", tasks(2*workersPerRack, 8))
	lost := c.decide().Starts
	c.evacuate("d0")
	c.takeOver()
	c.listAll()
	for _, start := range c.plan().Starts {
		if c.workers[start.Worker].info.FailureDomain == "d0" {
			t.Errorf("%v starts in the evacuated domain; repeated: %v", start.Ref, start.Repeated)
		}
	}
	for _, start := range lost {
		evacuated := c.workers[start.Worker].info.FailureDomain == "d0"
		if c.core.WantsStart(start.Worker, start.Ref) == evacuated {
			t.Errorf("the restored start on %s is wanted: %v", start.Worker, !evacuated)
		}
	}
}

// TestWorkerOfAnEvacuatedDomainMayJoin guards against work for workers that register, or move to the domain, during the evacuation.
func TestWorkerOfAnEvacuatedDomainMayJoin(t *testing.T) {
	c := newCluster(t, 1)
	c.evacuate("d1")
	c.submit("a", "normal", "large", tasks(1, 8))
	start := c.decide().Starts[0]
	info := c.workers["w00"].info
	info.FailureDomain = "d1"
	c.core.SetWorker(info)
	if c.core.WantsStart("w00", start.Ref) {
		t.Error("the start is still wanted after its worker has moved to the evacuated domain")
	}
	c.addWorker(workersPerRack)
	c.submit("b", "normal", "large", tasks(2, 8))
	if starts := c.plan().Starts; len(starts) != 0 {
		t.Errorf("got starts %+v in the evacuated domain", starts)
	}
}

// TestUnknownEvacuationsStartNothing guards against starts, and stops for the sake of a start, while the owner does not know the
// evacuations; other commands must pass.
func TestUnknownEvacuationsStartNothing(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("old", "batch", "small", tasks(1, 8))
	c.plan()
	c.core.SuspendStarts(true)
	c.submit("a", "urgent", "large", tasks(1, 8))
	if plan := c.plan(); len(plan.Starts)+len(plan.Stops) != 0 {
		t.Errorf("got %+v while the evacuations are not known", plan)
	}
	c.core.CancelJob("old")
	if plan := c.plan(); len(plan.Stops) != 1 {
		t.Errorf("got %+v, want the stop of the cancelled job", plan)
	}
	c.listAll()
	c.core.SuspendStarts(false)
	if plan := c.plan(); len(plan.Starts) != 1 {
		t.Errorf("got %+v, want the start of the waiting task", plan)
	}
}

// TestRestoredStartNeedsKnownEvacuations guards against a restored start that is repeated before the new holder knows the evacuations.
func TestRestoredStartNeedsKnownEvacuations(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.takeOver()
	c.core.SuspendStarts(true)
	c.list(start.Worker)
	if plan := c.decide(); len(plan.Starts) != 0 {
		t.Errorf("got starts %+v", plan.Starts)
	}
}

// TestNoWaitForAnEvacuatedRack guards against tasks and gangs that wait for the rack of their data, or of the rest of their step,
// although it gets no work.
func TestNoWaitForAnEvacuatedRack(t *testing.T) {
	steps := map[string]workload.Step{"tasks": tasks(4, 4), "gang": gangOf(4, 4), "spread gang": gangOf(4, 4)}
	for name, step := range steps {
		c := newCluster(t, 2*workersPerRack)
		step.SameRack = name == "gang"
		step.DataRack = "r0"
		c.evacuate("d0")
		c.submit("a", "normal", "large", step)
		if in := c.startsIn(c.plan().Starts); in["d0"] != 0 || in["d1"] != step.Tasks {
			t.Errorf("%s: starts in the domains are %v, want all %d in the one that is not evacuated", name, in, step.Tasks)
		}
	}
	c := newCluster(t, 3*workersPerRack)
	for _, rack := range []string{"r1", "r2"} {
		half := tasks(1, 4)
		half.DataRack = rack
		c.submit("half of "+rack, "normal", "large", half)
	}
	c.plan()
	step := tasks(2*workersPerRack+2, 4)
	step.SameRack = true
	c.submit("a", "normal", "large", step)
	c.evacuate("d1", "d2")
	c.runFor(simTick)
	c.evacuate("d0")
	if in := c.startsIn(c.runFor(simTick)); in["d1"] != 2 && in["d2"] != 2 {
		t.Errorf("the rest of the step starts as %v, want 2 tasks in one of the other domains", in)
	}
}

// TestEvacuatedCapacityIsNotCounted guards against decisions by capacity that is evacuated: a service that counts as idle, a gang that
// counts on it; and against an account that gets more than its guarantee, by stops of other work, while its work in the domain goes on.
func TestEvacuatedCapacityIsNotCounted(t *testing.T) {
	c := newCluster(t, 3*workersPerRack)
	c.submit("first", "urgent", "large", gangOf(4, 8))
	if in := c.startsIn(c.plan().Starts); in["d0"] != 4 {
		t.Fatalf("starts in the domains are %v, want the gang in the first one", in)
	}
	c.evacuate("d0")
	c.submit("fill", "batch", "small", tasks(2*workersPerRack, 8))
	c.plan()
	c.core.updateUtilization()
	if c.core.utilization != 1 || c.core.racks != 2 || !c.core.busy("svc") {
		t.Errorf("utilization %g in %d racks, want 1 in 2", c.core.utilization, c.core.racks)
	}
	c.submit("wide", "normal", "large", gangOf(workersPerRack+1, 8))
	c.plan()
	if u := c.core.jobs["wide"].repetitions.steps(0)[0].units[0]; c.core.anyRackCouldFit(u) {
		t.Error("a gang counts as fitting into a rack that is smaller")
	}
	// Beyond the guarantee, this is too much work to stop.
	c.advance(time.Minute)
	c.submit("second", "urgent", "large", gangOf(4, 8))
	stops := len(c.stops)
	if starts := c.runFor(time.Second); len(starts) != 0 || len(c.stops) != stops || c.core.accountUse["large"] != 32 {
		t.Errorf("%d starts, %d stops and a use of %d while the account's gang in the evacuated domain uses its guarantee of 32",
			len(starts), len(c.stops)-stops, c.core.accountUse["large"])
	}
	c.endAll("first", workload.EndDone)
	if in := c.startsIn(c.runFor(time.Second)); in["d0"] != 0 || in["d1"]+in["d2"] != 4 {
		t.Errorf("starts in the domains are %v, want those of the gang that the guarantee covers now, outside the evacuated domain", in)
	}
	c.evacuate()
	if use := c.core.accountUse["large"]; use != 32 {
		t.Errorf("after the evacuation the account uses %d accelerators, want 32", use)
	}
}

// TestEvacuatedWorkersAreNoMajority guards against work for failing or slow workers, because they are few among all workers although
// they are many of those that are not evacuated, or the reverse.
func TestEvacuatedWorkersAreNoMajority(t *testing.T) {
	for _, in := range []string{"d0", "d1"} {
		c := newCluster(t, 2*workersPerRack)
		for _, w := range c.core.sortedWorkers {
			if w.info.FailureDomain == in && w.id[2] >= '4' {
				w.health.quarantinedUntil, w.probationUntil = c.now+time.Minute, c.now+time.Minute
			}
		}
		c.evacuate("d0")
		c.core.updateExclusions()
		if want := in == "d1"; c.core.tooManyQuarantined != want || c.core.tooManySlow != want {
			t.Errorf("half of %s: too many are quarantined: %v, slow: %v; want %v", in, c.core.tooManyQuarantined, c.core.tooManySlow, want)
		}
	}
}

// TestClaimsLeaveAnEvacuatedDomain guards against urgent work that waits for claimed room which is evacuated meanwhile.
func TestClaimsLeaveAnEvacuatedDomain(t *testing.T) {
	c := newCluster(t, 2*workersPerRack)
	c.submit("fill", "batch", "small", tasks(2*workersPerRack, 8))
	c.plan()
	c.submit("urgent", "urgent", "large", gangOf(2, 8))
	stopped := c.decide().Stops
	domain := c.workers[stopped[0].Worker].info.FailureDomain
	c.evacuate(domain)
	if starts := c.startsIn(c.runFor(10 * simTick)); starts[domain] != 0 || starts["d0"]+starts["d1"] != 2 {
		t.Errorf("starts in the domains are %v within 0.5 s, want two outside %s", starts, domain)
	}
}

// TestLongRunningTasksMoveWithinTheirAllowance guards against long-running tasks that are stopped although none may be missing, and
// against more missing at once than the step allows.
func TestLongRunningTasksMoveWithinTheirAllowance(t *testing.T) {
	for _, allowed := range []int{0, 1, 2} {
		c := newCluster(t, 2*workersPerRack)
		step := tasks(4, 8)
		step.LongRunning, step.MaxUnavailable = true, allowed
		c.submit("a", "normal", "large", step)
		atWork := func() (n int) {
			for _, w := range c.workers {
				for _, run := range w.running {
					if run.percent == 100 {
						n++
					}
				}
			}
			return n
		}
		settle := func() {
			c.runFor(2 * stallInterval)
			for _, w := range c.workers {
				for _, run := range w.running {
					run.percent = 100
				}
			}
		}
		settle()
		settle()
		c.evacuate("d0")
		for range 12 {
			for range 4 {
				c.runFor(stallInterval / 2)
				if missing := step.Tasks - atWork(); missing > allowed {
					t.Fatalf("%d tasks are missing, %d may be", missing, allowed)
				}
			}
			settle()
		}
		left := 0
		for _, id := range c.placed("a") {
			if c.workers[id].info.FailureDomain == "d0" {
				left++
			}
		}
		if allowed == 0 && left != step.Tasks || allowed > 0 && left != 0 {
			t.Errorf("%d of %d tasks are left in the evacuated domain if %d may be missing", left, step.Tasks, allowed)
		}
	}
}
