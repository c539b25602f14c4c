package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// TestRunTimeEstimateIgnoresDeclaredTime guards against estimates that use declared run times instead of measured ones.
func TestRunTimeEstimateIgnoresDeclaredTime(t *testing.T) {
	f := newFixture(t, 1, nil)
	for i := range minRunSamples {
		id := fmt.Sprint("j-", i)
		f.submit(id, "a", shape(1, 1, resource.AdjacencyNone), func(j *jobs.Job) { j.DeclaredRunSeconds = 1 })
		f.planAndStart()
		f.advance(time.Hour)
		f.endAttempt(id, Result{Kind: ResultCompleted})
	}
	f.submit("next", "a", shape(1, 1, resource.AdjacencyNone))
	if d, ok := f.core.estimatedRunTime(f.core.jobs["next"]); !ok || d != time.Hour {
		t.Errorf("estimated run time is %v (known: %v), want 1h", d, ok)
	}
}
