package node

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/workload"
)

// chargeMaxAge is the maximum age of the charge of all jobs once that is above half of its limit. The other VMs accept jobs in
// the meantime.
const chargeMaxAge = 300 * time.Millisecond

// admit returns an Overloaded error if the job is refused; nothing of it is stored then. A job that another VM has accepted is never
// refused: the view is refreshed before a refusal, and without the store, nothing is refused.
func (n *Node) admit(ctx context.Context, job *workload.Job) error {
	if n.view.Charge() > overload.MaxCharge/2 {
		// Without the store, the append that follows fails.
		_ = n.refresh(ctx, chargeMaxAge, n.follower.Streams()...)
	}
	decision := n.decide(job)
	if decision.Reason == "" || n.refresh(ctx, 0, joblog.IntakeStream(job.ID)) != nil {
		return nil
	}
	if _, known := n.view.Get(job.ID); known {
		return nil
	}
	metrics.GetOrRegisterCounter("requests.refused."+string(decision.Reason)+"."+job.Queue, metrics.DefaultRegistry).Inc(1)
	seconds := int(decision.RetryAfter.Seconds())
	if decision.Reason == overload.ReasonLimit {
		return errkind.Refuse(errkind.Overloaded, decision.RetryAfter, "submit the job again after the time in Retry-After",
			"the accepted jobs leave no room for another one; try again in %d s", seconds)
	}
	return errkind.Refuse(errkind.Overloaded, decision.RetryAfter, "submit the job again after the time in Retry-After",
		"the service is overloaded: the job would wait about %d s, too long for its objective; try again in %d s",
		int(decision.Delay.Seconds()), seconds)
}

// decide applies the present forecast and limit to the job.
func (n *Node) decide(job *workload.Job) overload.Decision {
	chains := overload.NewChains(job.Steps)
	return overload.Decide(n.view.Forecast(), n.view.Charge(), overload.Job{
		ID: string(job.ID), Service: job.Service, Priority: job.Priority, Charge: overload.Charge(job),
		Objective:    chains.Objective(job.AcceptedPolicy()),
		DueIn:        max(0, time.Until(job.DueAt(0))),
		Accelerators: slices.ContainsFunc(job.Steps, func(s workload.Step) bool { return s.Demand.Accelerators > 0 }),
	})
}
