package operatorapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// JobResult is the response to a submission or cancellation. Outcome is always "completed", also for a repeated
// submission.
type JobResult struct {
	Outcome string      `json:"outcome"`
	Job     jobs.Status `json:"job"`
}

func (a *API) submitJob(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	var job jobs.Job
	if err := readJSON(r, &job); err != nil {
		return 0, nil, err
	}
	if job.Account == "" {
		job.Account = p.account
	}
	if !p.canAccess(job.Account) {
		return 0, nil, errkind.New(errkind.Forbidden, "leave the account out or use that account's token",
			"account %s may not submit jobs of account %s", p.account, job.Account)
	}
	if err := a.validateJob(&job); err != nil {
		return 0, nil, err
	}
	status, err := a.options.Jobs.Submit(ctx, job)
	if err != nil {
		return 0, nil, err
	}
	if !p.canAccess(status.Job.Account) {
		// The id belongs to another account's job, which this account must not see.
		return 0, nil, errkind.New(errkind.Conflict, "choose another id", "job id %s is already in use", job.ID)
	}
	return http.StatusOK, JobResult{Outcome: outcomeCompleted, Job: status}, nil
}

// maxCommandBytes limits the total length of the arguments of a job's command.
const maxCommandBytes = 64 << 10

// validateJob checks a job against the configuration and gives a job without an id a random one. It does not check
// whether workers can hold the shape; Jobs does.
func (a *API) validateJob(job *jobs.Job) error {
	doc := a.options.Configuration.Document()
	if job.ID == "" {
		job.ID = uuid.NewString()
	}
	if !validID(job.ID) {
		return errkind.New(errkind.BadInput, "use 1 to 64 letters, digits, '.', '_' or '-'", "job id %q is not valid", job.ID)
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
	size := 0
	for _, arg := range job.Run {
		size += len(arg)
	}
	if len(job.Run) == 0 || size > maxCommandBytes {
		return errkind.New(errkind.BadInput, fmt.Sprintf("give a command of 1 to %d bytes", maxCommandBytes), "command has %d bytes", size)
	}
	if job.DeclaredRunSeconds < 0 {
		return errkind.New(errkind.BadInput, "give 0 or more seconds", "declared run time of %d s is negative", job.DeclaredRunSeconds)
	}
	return nil
}

// validID reports whether id can be the id of a patch or job: 1 to 64 letters, digits, '.', '_' or '-'. Such an id needs
// no escaping in a URL path.
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

func (a *API) listJobs(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	account, state := r.URL.Query().Get("account"), jobs.State(r.URL.Query().Get("state"))
	if p.operator == "" {
		if account != "" && account != p.account {
			return 0, nil, errkind.New(errkind.Forbidden, "leave the account out", "account %s may not list jobs of account %s", p.account, account)
		}
		account = p.account
	}
	if !validState(state) {
		return 0, nil, errkind.New(errkind.BadInput, "use a job state such as waiting or running", "unknown job state %q", state)
	}
	statuses, err := a.options.Jobs.List(ctx, account, state)
	if err != nil {
		return 0, nil, err
	}
	visible := make([]jobs.Status, 0, len(statuses))
	for _, status := range statuses {
		if p.canAccess(status.Job.Account) {
			visible = append(visible, status)
		}
	}
	return http.StatusOK, visible, nil
}

// validState reports whether s is a job state or empty, which matches all states.
func validState(s jobs.State) bool {
	switch s {
	case "", jobs.StateWaiting, jobs.StateStarting, jobs.StateRunning, jobs.StateStopping, jobs.StateCompleted,
		jobs.StateFailed, jobs.StateCancelled, jobs.StateUnknown:
		return true
	}
	return false
}

// accessibleJob returns the job that the path names. A job of another account gives the same error as one that does not
// exist, so that an account cannot find out the ids of other accounts' jobs.
func (a *API) accessibleJob(ctx context.Context, r *http.Request, p principal) (jobs.Status, error) {
	id := r.PathValue("id")
	status, err := a.options.Jobs.Get(ctx, id)
	if err == nil && !p.canAccess(status.Job.Account) || errkind.Is(err, errkind.NotFound) {
		return jobs.Status{}, errkind.New(errkind.NotFound, "run redwingctl job list", "there is no job %q", id)
	}
	return status, err
}

func (a *API) getJob(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	status, err := a.accessibleJob(ctx, r, p)
	return http.StatusOK, status, err
}

// WhyResult is the response to a why request: the reason for the state of a job, or the state itself if there is none.
type WhyResult struct {
	ID  string `json:"id"`
	Why string `json:"why"`
}

func (a *API) whyJob(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	status, err := a.accessibleJob(ctx, r, p)
	if err != nil {
		return 0, nil, err
	}
	why := status.Reason
	if why == "" {
		why = string(status.State)
	}
	return http.StatusOK, WhyResult{ID: status.Job.ID, Why: why}, nil
}

func (a *API) cancelJob(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	if _, err := a.accessibleJob(ctx, r, p); err != nil {
		return 0, nil, err
	}
	status, err := a.options.Jobs.Cancel(ctx, r.PathValue("id"))
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, JobResult{Outcome: outcomeCompleted, Job: status}, nil
}
