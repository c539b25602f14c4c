package dispatch

import (
	"slices"
	"testing"

	"github.com/redwingthread/redwingthread/workload"
)

// publish makes the core use a changed copy of the configuration with the next version.
func (c *cluster) publish(change func(*workload.Config)) {
	next := &workload.Config{Version: c.config.Version + 1, Queues: slices.Clone(c.config.Queues), Accounts: c.config.Accounts}
	change(next)
	next.Index()
	c.config = next
	c.core.SetConfig(next)
	c.plan()
}

// dropQueue returns a change that removes the queue from the configuration.
func dropQueue(name string) func(*workload.Config) {
	return func(config *workload.Config) {
		config.Queues = slices.DeleteFunc(config.Queues, func(q workload.Queue) bool { return q.Name == name })
	}
}

// setMaxFailedRuns returns a change of the number of failed runs that the queue allows.
func setMaxFailedRuns(name string, n int) func(*workload.Config) {
	return func(config *workload.Config) {
		at := slices.IndexFunc(config.Queues, func(q workload.Queue) bool { return q.Name == name })
		config.Queues[at].MaxFailedRuns = n
	}
}

// failedRunsUntilTheEnd fails the runs of the job until it ends, and returns their number.
func (c *cluster) failedRunsUntilTheEnd(id string) int {
	for n := 1; n < 20; n++ {
		c.plan()
		c.endAll(id, workload.EndFailed)
		c.listAll()
		c.plan()
		if c.phases[workload.JobID(id)].Final() {
			return n
		}
	}
	return 0
}

// TestDroppedQueueKeepsItsPolicyAfterATakeover guards against a job that is given up after its first failed run because its queue has left
// the configuration and the holder of the schedule has changed since. The policy is the last one that was in force, be it that with
// which the job was accepted or a later one.
func TestDroppedQueueKeepsItsPolicyAfterATakeover(t *testing.T) {
	cases := []struct {
		name    string
		changes []func(*workload.Config)
		want    int
	}{
		{"as accepted", nil, 3},
		{"raised since", []func(*workload.Config){setMaxFailedRuns("normal", 5)}, 5},
		{"raised and lowered since", []func(*workload.Config){setMaxFailedRuns("normal", 5), setMaxFailedRuns("normal", 2)}, 2},
		{"raised and set back since", []func(*workload.Config){setMaxFailedRuns("normal", 5), setMaxFailedRuns("normal", 3)}, 3},
	}
	for _, test := range cases {
		c := newCluster(t, 4)
		c.submit("a", "normal", "large", tasks(1, 1))
		c.plan()
		for _, change := range test.changes {
			c.publish(change)
		}
		c.publish(dropQueue("normal"))
		c.takeOver()
		c.listAll()
		c.takeOver()
		c.listAll()
		if got := c.failedRunsUntilTheEnd("a"); got != test.want {
			t.Errorf("%s: the job ended after %d failed runs, want %d", test.name, got, test.want)
		}
	}
}

// TestDroppedQueueKeepsItsPriorityAfterATakeover guards against work that is stopped for a job of low priority whose queue has left the
// configuration.
func TestDroppedQueueKeepsItsPriorityAfterATakeover(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("running", "normal", "small", tasks(8, 1))
	c.plan()
	c.submit("waiting", "batch", "large", tasks(8, 1))
	c.plan()
	c.publish(dropQueue("batch"))
	c.takeOver()
	c.listAll()
	if c.plan(); len(c.stops) > 0 {
		t.Errorf("%d runs were stopped for a job of the lowest priority", len(c.stops))
	}
}

// TestLaterAcceptanceOutranksAStoredPolicy guards against a job that keeps the policy of an earlier time because the stored one was not
// updated while its queue had no jobs.
func TestLaterAcceptanceOutranksAStoredPolicy(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 1))
	c.publish(setMaxFailedRuns("normal", 1))
	if got := c.failedRunsUntilTheEnd("a"); got != 1 {
		t.Fatalf("the first job ended after %d failed runs, want 1", got)
	}
	c.publish(setMaxFailedRuns("normal", 4))
	c.submit("b", "normal", "large", tasks(1, 1))
	// The holder ends before it stores anything of the second job.
	dropQueue("normal")(c.config)
	c.config.Index()
	c.takeOver()
	c.listAll()
	if got := c.failedRunsUntilTheEnd("b"); got != 4 {
		t.Errorf("the second job ended after %d failed runs, want 4", got)
	}
}

// TestPriorityChangeMovesTheUseOfAGuarantee guards against accelerators that count as used by an account's urgent work for good, because
// the priority of the work has changed while it ran.
func TestPriorityChangeMovesTheUseOfAGuarantee(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "urgent", "large", tasks(4, 1))
	c.plan()
	c.publish(func(config *workload.Config) { config.Queues[0].Priority = 1 })
	c.endAll("a", workload.EndDone)
	c.listAll()
	c.plan()
	if use := c.core.accountUse["large"]; use != 0 {
		t.Errorf("%d accelerators count as used after the work has ended, want 0", use)
	}
}

// TestUnusedPoliciesAreDeleted guards against records of queues that stay in the store for good.
func TestUnusedPoliciesAreDeleted(t *testing.T) {
	c := newCluster(t, 1)
	c.submit("a", "normal", "large", tasks(1, 1))
	c.publish(setMaxFailedRuns("normal", 1))
	c.publish(dropQueue("normal"))
	c.core.DropUnusedPolicies()
	if c.plan(); len(c.policies) != 1 {
		t.Fatalf("%d policies are stored while the job runs, want 1", len(c.policies))
	}
	c.failedRunsUntilTheEnd("a")
	c.core.DropUnusedPolicies()
	if c.plan(); len(c.policies) != 0 {
		t.Errorf("%d policies are stored after the job has ended, want 0", len(c.policies))
	}
}
