package main

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/operatorclient"
)

func jobCommands() []command {
	return []command{
		{
			name: "job submit", arguments: "-- COMMAND...", summary: "Submits a gang of tasks",
			examples: []string{
				"job submit -id fit-7 -account scan -failure-domain fd-a -members 4 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 -adjacency rack -can-checkpoint -- fit blades",
				"job submit -account orders -members 1 -milli-cpu 500 -memory-mb 256 -urgent -run-once -- send invoices",
			},
			setup: jobSubmit,
		},
		{
			name: "job list", summary: "Lists jobs",
			examples: []string{"job list", "job list -account scan -state waiting"},
			setup:    jobList,
		},
		{
			name: "job show", arguments: "ID", summary: "Shows a job, or waits until it reaches a state",
			examples: []string{"job show fit-7", "job show fit-7 -wait completed -wait-timeout 30s"},
			setup:    jobShow,
		},
		{
			name: "job cancel", arguments: "ID", summary: "Cancels a job",
			examples: []string{"job cancel fit-7"},
			setup:    jobCancel,
		},
		{
			name: "job why", arguments: "ID", summary: "Shows in one line what a job waits for",
			examples: []string{"job why fit-7"},
			setup:    jobWhy,
		},
	}
}

func jobSubmit(f *flag.FlagSet) func(*invocation) error {
	var shape shapeFlags
	var job jobs.Job
	shape.declare(f)
	f.StringVar(&job.ID, "id", "", "`id` of the job; submitting it again with the same id creates no second job (default random)")
	f.StringVar(&job.Account, "account", "", "client account; optional with the token of an account")
	f.StringVar(&job.FailureDomain, "failure-domain", "", "failure domain (default: the system chooses)")
	f.BoolVar(&job.Urgent, "urgent", false, "plan the job before others")
	f.BoolVar(&job.RunOnce, "run-once", false, "never start the job twice")
	f.BoolVar(&job.CanCheckpoint, "can-checkpoint", false, "the tasks save their progress before they are stopped")
	f.Int64Var(&job.DeclaredRunSeconds, "run-seconds", 0, "estimated run time in `seconds`")
	return func(inv *invocation) error {
		if len(inv.args) == 0 {
			return errkind.New(errkind.BadInput, "write the command after --", "the job has no command")
		}
		var err error
		if job.Shape, err = shape.validShape(); err != nil {
			return err
		}
		if job.ID == "" {
			job.ID = uuid.NewString()
		}
		job.Run = inv.args
		client, err := inv.client()
		if err != nil {
			return err
		}
		outcome, err := client.SubmitJob(inv.ctx, job)
		if err != nil {
			return err
		}
		return inv.jobOutcome(outcome)
	}
}

// jobOutcome writes the outcome of a submission or cancellation and the job.
func (inv *invocation) jobOutcome(o operatorclient.JobOutcome) error {
	return inv.print(o, func() {
		inv.fields([2]string{"outcome", o.Outcome})
		inv.jobFields(o.Job)
	})
}

// jobFields writes the state of a job as text.
func (inv *invocation) jobFields(s jobs.Status) {
	inv.fields(
		[2]string{"job", s.Job.ID},
		[2]string{"account", s.Job.Account},
		[2]string{"failure domain", s.Job.FailureDomain},
		[2]string{"shape", formatShape(s.Job.Shape)},
		[2]string{"state", string(s.State)},
		[2]string{"attempt", fmt.Sprint(s.Attempt)},
		[2]string{"reason", s.Reason},
		[2]string{"workers", strings.Join(s.Workers, " ")},
	)
}

func jobList(f *flag.FlagSet) func(*invocation) error {
	account := f.String("account", "", "only jobs of this account")
	state := f.String("state", "", "only jobs in this state")
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs()
		if err != nil {
			return err
		}
		list, err := client.Jobs(inv.ctx, *account, jobs.State(*state))
		if err != nil {
			return err
		}
		return inv.print(list, func() {
			var rows [][]string
			for _, s := range list {
				rows = append(rows, []string{s.Job.ID, s.Job.Account, s.Job.FailureDomain, string(s.State),
					fmt.Sprint(s.Job.Shape.Members), fmt.Sprint(s.Job.Shape.PerMember.Accelerators), s.Reason})
			}
			inv.columns([]string{"JOB", "ACCOUNT", "FAILURE DOMAIN", "STATE", "MEMBERS", "ACCELERATORS", "REASON"}, rows)
		})
	}
}

// waitInterval is the time between two requests of job show -wait.
const waitInterval = 200 * time.Millisecond

func jobShow(f *flag.FlagSet) func(*invocation) error {
	wait := f.String("wait", "", "wait until the job is in this `state`; fail if it ends in another one")
	timeout := f.Duration("wait-timeout", time.Minute, "timeout of -wait")
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs("ID")
		if err != nil {
			return err
		}
		var status jobs.Status
		if *wait == "" {
			status, err = client.Job(inv.ctx, inv.args[0])
		} else {
			status, err = inv.waitFor(client, inv.args[0], jobs.State(*wait), *timeout)
		}
		if err != nil {
			return err
		}
		return inv.print(status, func() { inv.jobFields(status) })
	}
}

// waitFor requests the status of a job repeatedly until the job is in the state. It returns an error if the job ended in
// another state, a request failed, or the timeout has passed. It retries requests that fail with kind errkind.Unavailable.
func (inv *invocation) waitFor(client *operatorclient.Client, id string, state jobs.State, timeout time.Duration) (jobs.Status, error) {
	deadline := time.Now().Add(timeout)
	for {
		status, err := client.Job(inv.ctx, id)
		switch {
		case err != nil && !errkind.Is(err, errkind.Unavailable):
			return status, err
		case err == nil && status.State == state:
			return status, nil
		case err == nil && status.State.Final():
			return status, errkind.New(errkind.Conflict, "run redwingctl job show "+id, "job %s ended in state %s: %s", id,
				status.State, status.Reason)
		case time.Now().After(deadline):
			return status, errkind.New(errkind.DeadlineExceeded, "run redwingctl job why "+id,
				"job %s is in state %q after %s", id, status.State, timeout)
		}
		select {
		case <-inv.ctx.Done():
			return status, errkind.Wrap(inv.ctx.Err(), errkind.Unavailable, "run the command again", "interrupted while waiting for job %s", id)
		case <-time.After(waitInterval):
		}
	}
}

func jobCancel(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs("ID")
		if err != nil {
			return err
		}
		outcome, err := client.CancelJob(inv.ctx, inv.args[0])
		if err != nil {
			return err
		}
		return inv.jobOutcome(outcome)
	}
}

func jobWhy(*flag.FlagSet) func(*invocation) error {
	return func(inv *invocation) error {
		client, err := inv.clientWithArgs("ID")
		if err != nil {
			return err
		}
		why, err := client.WhyJob(inv.ctx, inv.args[0])
		if err != nil {
			return err
		}
		return inv.print(why, func() { fmt.Fprintln(inv.stdout, why.Why) })
	}
}
