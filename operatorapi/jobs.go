package operatorapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// JobResult is the answer to a submission or cancellation.
type JobResult struct {
	Outcome string      `json:"outcome"`
	Job     jobs.Status `json:"job"`
}

func (a *API) submitJob(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	var job jobs.Job
	if err := readJSON(r, &job); err != nil {
		return 0, nil, err
	}
	if job.Account == "" {
		job.Account = who.account
	}
	if !who.maySee(job.Account) {
		return 0, nil, errkind.New(errkind.Forbidden, "leave the account out or use that account's token",
			"account %s may not submit jobs of account %s", who.account, job.Account)
	}
	if err := a.checkJob(&job); err != nil {
		return 0, nil, err
	}
	status, err := a.settings.Jobs.Submit(ctx, job)
	if err != nil {
		return 0, nil, err
	}
	if !who.maySee(status.Job.Account) {
		// The id is that of another account's job, which the caller must not see.
		return 0, nil, errkind.New(errkind.Conflict, "choose another id", "job id %s is in use", job.ID)
	}
	return http.StatusOK, JobResult{Outcome: outcomeCompleted, Job: status}, nil
}

// maxCommandBytes bounds the command line of a task.
const maxCommandBytes = 64 << 10

// checkJob checks what needs only the configuration; whether workers can hold the shape is checked by Jobs.
func (a *API) checkJob(job *jobs.Job) error {
	doc := a.settings.Configuration.Document()
	if job.ID == "" {
		job.ID = uuid.NewString()
	}
	if !validID(job.ID) {
		return errkind.New(errkind.BadInput, "use 1 to 64 letters, digits, '.', '_' or '-'", "job id %q cannot be used", job.ID)
	}
	if _, ok := doc.Accounts[job.Account]; !ok {
		return errkind.New(errkind.BadInput, "name a configured account", "account %q is not configured", job.Account)
	}
	if _, ok := doc.FailureDomains[job.FailureDomain]; !ok && job.FailureDomain != "" {
		return errkind.New(errkind.BadInput, "name a configured failure domain or leave it out",
			"failure domain %q is not configured", job.FailureDomain)
	}
	if err := job.Shape.Validate(); err != nil {
		return err
	}
	bytes := 0
	for _, word := range job.Run {
		bytes += len(word)
	}
	if len(job.Run) == 0 || bytes > maxCommandBytes {
		return errkind.New(errkind.BadInput, fmt.Sprintf("give a command of 1 to %d bytes", maxCommandBytes), "command has %d bytes", bytes)
	}
	if job.DeclaredRunSeconds < 0 {
		return errkind.New(errkind.BadInput, "give 0 or more seconds", "declared run time is %d s", job.DeclaredRunSeconds)
	}
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > 64 {
		return false
	}
	for _, c := range []byte(id) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-'
		if !ok {
			return false
		}
	}
	return true
}

func (a *API) listJobs(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	account, state := r.URL.Query().Get("account"), jobs.State(r.URL.Query().Get("state"))
	if who.operator == "" {
		if account != "" && account != who.account {
			return 0, nil, errkind.New(errkind.Forbidden, "leave the account out", "account %s may not list jobs of account %s", who.account, account)
		}
		account = who.account
	}
	if !knownState(state) {
		return 0, nil, errkind.New(errkind.BadInput, "use a job state such as waiting or running", "unknown state %q", state)
	}
	all, err := a.settings.Jobs.List(ctx, account, state)
	if err != nil {
		return 0, nil, err
	}
	visible := make([]jobs.Status, 0, len(all))
	for _, status := range all {
		if who.maySee(status.Job.Account) {
			visible = append(visible, status)
		}
	}
	return http.StatusOK, visible, nil
}

func knownState(s jobs.State) bool {
	switch s {
	case "", jobs.StateWaiting, jobs.StateStarting, jobs.StateRunning, jobs.StateStopping, jobs.StateCompleted,
		jobs.StateFailed, jobs.StateCancelled, jobs.StateUnknown:
		return true
	}
	return false
}

// ownJob returns the job of the path. Another account's job looks like one that does not exist.
func (a *API) ownJob(ctx context.Context, r *http.Request, who principal) (jobs.Status, error) {
	id := r.PathValue("id")
	status, err := a.settings.Jobs.Get(ctx, id)
	if err == nil && !who.maySee(status.Job.Account) || errkind.Is(err, errkind.NotFound) {
		return jobs.Status{}, errkind.New(errkind.NotFound, "run redwingctl job list", "there is no job %q", id)
	}
	return status, err
}

func (a *API) getJob(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	status, err := a.ownJob(ctx, r, who)
	return http.StatusOK, status, err
}

// WhyResult is the answer to why.
type WhyResult struct {
	ID  string `json:"id"`
	Why string `json:"why"`
}

func (a *API) whyJob(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	status, err := a.ownJob(ctx, r, who)
	if err != nil {
		return 0, nil, err
	}
	why := status.Reason
	if why == "" {
		why = string(status.State)
	}
	return http.StatusOK, WhyResult{ID: status.Job.ID, Why: why}, nil
}

func (a *API) cancelJob(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	if _, err := a.ownJob(ctx, r, who); err != nil {
		return 0, nil, err
	}
	status, err := a.settings.Jobs.Cancel(ctx, r.PathValue("id"))
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, JobResult{Outcome: outcomeCompleted, Job: status}, nil
}
