package dispatch

import (
	"cmp"
	"slices"

	"github.com/redwingthread/redwingthread/workload"
)

// PolicyChange is the changed policy of a queue that the owner must store. Policy is nil if the stored one is to be deleted.
type PolicyChange struct {
	Queue  string
	Policy *workload.QueuePolicy
}

// SetConfig replaces the configuration. Jobs whose queue is missing in it keep the queue's last policy.
func (c *Core) SetConfig(config *workload.Config) {
	c.config = config
	for _, j := range c.sortedJobs {
		c.setPolicy(j, c.policyOf(j.spec))
		c.keepPolicy(j)
	}
}

// RestorePolicy sets the stored policy of a queue. It must be called before the jobs are added.
func (c *Core) RestorePolicy(queue string, policy workload.QueuePolicy) { c.policies[queue] = policy }

// policyOf returns the policy of the job's queue: that in the configuration, else the newest of the stored one and the one with which
// the job was accepted.
func (c *Core) policyOf(spec *workload.Job) workload.QueuePolicy {
	if q := c.config.Queue(spec.Queue); q != nil {
		return q.Policy(c.config.Version)
	}
	accepted := spec.AcceptedPolicy()
	if kept, known := c.policies[spec.Queue]; known && kept.Version >= accepted.Version {
		return kept
	}
	return accepted
}

// keepPolicy marks the job's policy to be stored if the next holder of the schedule could not derive it from what is stored: the
// queue may leave the configuration at any time.
func (c *Core) keepPolicy(j *job) {
	queue := j.spec.Queue
	if c.config.Queue(queue) == nil {
		return
	}
	kept, known := c.policies[queue]
	if known && kept.SameTerms(j.policy) || !known && j.policy.SameTerms(j.spec.AcceptedPolicy()) {
		return
	}
	c.policies[queue] = j.policy
	c.changedPolicies[queue] = true
}

// setPolicy changes the job's policy, and with it whether its placements count as use of its account's guarantee.
func (c *Core) setPolicy(j *job, policy workload.QueuePolicy) {
	c.adjustJobUse(j, -1)
	j.policy = policy
	c.adjustJobUse(j, 1)
}

// adjustJobUse adds sign times the accelerators of the job's placements to its account's use.
func (c *Core) adjustJobUse(j *job, sign int) {
	for _, r := range j.repetitions.active {
		for _, s := range r.steps {
			for _, u := range s.units {
				for _, p := range u.placements {
					c.adjustAccountUse(p, sign)
				}
			}
		}
	}
}

// DropUnusedPolicies marks the stored policies to be deleted of queues that are neither in the configuration nor have unfinished jobs.
func (c *Core) DropUnusedPolicies() {
	used := map[string]bool{}
	for _, j := range c.sortedJobs {
		used[j.spec.Queue] = true
	}
	for queue := range c.policies {
		if !used[queue] && c.config.Queue(queue) == nil {
			delete(c.policies, queue)
			c.changedPolicies[queue] = true
		}
	}
}

// TakePolicyChanges returns the policies that changed since the last call, in order of the queues' names.
func (c *Core) TakePolicyChanges() []PolicyChange {
	changes := make([]PolicyChange, 0, len(c.changedPolicies))
	for queue := range c.changedPolicies {
		change := PolicyChange{Queue: queue}
		if policy, known := c.policies[queue]; known {
			change.Policy = &policy
		}
		changes = append(changes, change)
	}
	clear(c.changedPolicies)
	slices.SortFunc(changes, func(a, b PolicyChange) int { return cmp.Compare(a.Queue, b.Queue) })
	return changes
}
