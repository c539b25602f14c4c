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

// maxUnreadCharge is the charge of the jobs that this VM has accepted and not read yet from which on the count is read anew as well: the other
// VMs may have accepted as much.
const maxUnreadCharge = overload.MaxCharge / 64

// largeCharge is the charge of a job from which on the count is read anew: a few such jobs take as much as lower priorities leave to urgent
// work.
const largeCharge = overload.MaxCharge / 200

// admit returns an Overloaded error if the job is refused; nothing of it is stored then. It reserves the charge of the job, which the caller
// must release if the job is not accepted. A job that another VM has accepted is never refused: the view is refreshed before a refusal.
// Without the store nothing is refused, and a job for which there is no room gets a DeadlineExceeded error.
func (n *Node) admit(ctx context.Context, job *workload.Job) error {
	charge := overload.Charge(job)
	if others, reserved := n.view.Reserve(job.ID, charge); others > overload.MaxCharge/2 || reserved > maxUnreadCharge {
		// Without the store, the append that follows fails.
		_ = n.refresh(ctx, maxChargeAge(charge), n.follower.Streams()...)
	}
	decision := n.decide(job, charge)
	if decision.Reason == "" {
		return nil
	}
	if err := n.refresh(ctx, 0, joblog.IntakeStream(job.ID)); err != nil {
		return errUnsureAdmission(decision.Reason, err)
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

// maxChargeAge returns the maximum age of the charge of all jobs for the decision about a job.
func maxChargeAge(charge int) time.Duration {
	if charge > largeCharge {
		return 0
	}
	return chargeMaxAge
}

// errUnsureAdmission returns the error for a job that would be refused, but that another VM may have accepted: err is why this VM cannot
// tell. A job is accepted rather than refused for its delay; one for which there is no room is neither.
func errUnsureAdmission(reason overload.Reason, err error) error {
	if reason != overload.ReasonLimit {
		return nil
	}
	return errkind.Wrap(err, errkind.DeadlineExceeded, "send the same request again",
		"there is no room for another job, and this VM cannot tell whether this one was accepted before")
}

// decide applies the present forecast and limit to the job.
func (n *Node) decide(job *workload.Job, charge int) overload.Decision {
	chains := overload.NewChains(job.Steps)
	others, _ := n.view.Reserve(job.ID, charge)
	return overload.Decide(n.view.Forecast(), others, overload.Job{
		ID: string(job.ID), Service: job.Service, Priority: job.Priority, Charge: charge,
		Objective:    chains.Objective(job.AcceptedPolicy()),
		DueIn:        max(0, time.Until(job.DueAt(0))),
		Accelerators: slices.ContainsFunc(job.Steps, func(s workload.Step) bool { return s.Demand.Accelerators > 0 }),
	})
}
