package leader

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// TestChangedPolicyIsStored guards against a job that is treated differently by the next holder of the schedule: the settings of a queue
// change while it has jobs, and the queue then leaves the configuration.
func TestChangedPolicyIsStored(t *testing.T) {
	l := runTestLeader(t, nil, nil)
	job := testJob()
	job.MaxFailedRuns, job.ConfigVersion = 1, 1
	l.enqueue(func(c *dispatch.Core) { c.AddJob(job, nil) })
	changed := &workload.Config{Version: 2, Queues: []workload.Queue{{Name: "q", Service: "svc", MaxFailedRuns: 4}}}
	changed.Index()
	l.SetConfig(changed)
	want := workload.QueuePolicy{Service: "svc", MaxFailedRuns: 4, Version: 2}
	view := joblog.NewView()
	for deadline := time.Now().Add(startLimit); view.Policies()["q"] != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the store has the policy %+v, want %+v", view.Policies()["q"], want)
		}
		page, err := l.Log.Newest(t.Context(), store.States, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range page.Records {
			if _, err := view.Apply(record); err != nil {
				t.Fatal(err)
			}
		}
	}
}
