package dispatch

import (
	"fmt"
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// TestStartThatNeverBeganIsNoLastCrash guards against a job that is shown as failed because of a start that never got through: its worker's
// process had ended before it arrived. After two certain crashes, such a start counts only towards the limit of any task.
func TestStartThatNeverBeganIsNoLastCrash(t *testing.T) {
	for name, lose := range map[string]func(c *cluster, s Start){
		"no response": func(*cluster, Start) {},
		"closed":      func(c *cluster, s Start) { c.core.StartClosed(s.Worker, s.Ref) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 8)
			c.submit("a", "normal", "large", tasks(1, 1))
			for range minCertainCrashes {
				c.crash(c.plan().Starts[0].Worker)
			}
			start := c.decide().Starts[0]
			lose(c, start)
			c.advance(simTick)
			c.crash(start.Worker)
			last := c.decide()
			if len(last.Starts) != 1 {
				t.Fatalf("the job is %v after %d crashes and a start that never got through", c.phases["a"], minCertainCrashes)
			}
			c.start(last.Starts[0])
			c.advance(simTick)
			c.crash(last.Starts[0].Worker)
			if c.decide(); c.phases["a"] != workload.PhaseFailed {
				t.Errorf("the job is %v after %d crashes, want failed", c.phases["a"], maxCrashes)
			}
		})
	}
}

// TestLateBeginIsIsolated guards against a crash that cannot be attributed: a task with a crash, whose start was refused for longer than a
// start window, begins just when others start beside it.
func TestLateBeginIsIsolated(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	c.crash(c.plan().Starts[0].Worker)
	start := c.decide().Starts[0]
	c.advance(2 * startWindow)
	c.start(start)
	c.advance(simTick)
	w, u := c.core.workers[start.Worker], &unit{}
	if !c.core.crashWouldBeAmbiguous(u, w) {
		t.Error("another unit may start on the worker although a task with a crash has just begun there")
	}
	c.advance(startWindow)
	if c.core.crashWouldBeAmbiguous(u, w) {
		t.Error("no other unit may start on the worker after the start window")
	}
}

// TestUnansweredCrashesCount guards against a task without a limit because its workers crash before they respond to its start.
func TestUnansweredCrashesCount(t *testing.T) {
	c := newCluster(t, 8)
	c.submit("a", "normal", "large", tasks(1, 1))
	for n := range maxCrashes {
		starts := c.decide().Starts
		if len(starts) != 1 {
			t.Fatalf("%d starts after %d crashes, want 1", len(starts), n)
		}
		c.restart(starts[0].Worker)
		c.core.StopConfirmed(starts[0].Worker, starts[0].Ref)
		c.advance(simTick)
		c.list(starts[0].Worker)
	}
	c.checkGivenUp(fmt.Sprintf("%d crashes", maxCrashes))
}

// TestRunOnTheNewProcessIsNoCrash guards against a crash that is counted against a run that is alive: its start reached the new
// process of its worker after that process had produced its first listing.
func TestRunOnTheNewProcessIsNoCrash(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("a", "normal", "large", tasks(1, 1))
	start := c.decide().Starts[0]
	c.workers[start.Worker].info.Incarnation++
	sentAt, listing := c.now, c.listing(start.Worker)
	c.advance(simTick)
	c.start(start)
	c.core.ApplyListing(start.Worker, sentAt, listing)
	if crashes := c.core.unitOf(start.Ref.Task).state.Crashes; len(crashes) > 0 {
		t.Errorf("counted %+v for a run that is alive", crashes)
	}
}
