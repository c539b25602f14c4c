package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// newOverloadedCluster returns a cluster of 352 workers without free capacity, with waiting jobs on all queues.
func newOverloadedCluster(t testing.TB) *cluster {
	c := newCluster(t, 352)
	for i := range 120 {
		c.submit(fmt.Sprintf("g%03d", i), "normal", "large", gangOf(10, 4))
		c.submit(fmt.Sprintf("b%03d", i), "batch", "small", tasks(30, 1))
		if i%4 == 0 {
			c.submit(fmt.Sprintf("u%03d", i), "urgent", "large", gangOf(4, 8))
		}
		c.advance(20 * time.Millisecond)
	}
	c.plan()
	c.listAll()
	c.plan()
	return c
}

// BenchmarkPlanUnderOverload measures a plan in which nothing can start.
func BenchmarkPlanUnderOverload(b *testing.B) {
	c := newOverloadedCluster(b)
	for b.Loop() {
		c.advance(5 * time.Millisecond)
		c.core.Plan()
		c.core.TakeEvents()
	}
}

// BenchmarkPlanAfterOneEnd measures a plan after one task has ended.
func BenchmarkPlanAfterOneEnd(b *testing.B) {
	c := newOverloadedCluster(b)
	for b.Loop() {
		c.endOne()
		c.advance(5 * time.Millisecond)
		c.plan()
	}
}

// endOne ends one running task.
func (c *cluster) endOne() {
	for _, id := range c.workerIDs {
		for ref := range c.workers[id].running {
			c.end(id, ref, workload.EndDone)
			c.list(id)
			return
		}
	}
}
