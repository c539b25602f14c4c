package node

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// stateMaxAge is how old the view may be when a caller asks for a job that has not ended.
	stateMaxAge = 100 * time.Millisecond
	// refreshTimeout bounds the wait for a newer view; without the store the last one answers.
	refreshTimeout = 400 * time.Millisecond
	// waitingMaxAge is how old the count of waiting jobs may be.
	waitingMaxAge = time.Second
	// defaultDeadline bounds a request without a deadline of its own.
	defaultDeadline = 3 * time.Second
	// answerMargin is kept of the deadline for the way back.
	answerMargin = 100 * time.Millisecond
)

// Access is what a caller may use.
type Access struct {
	Queue   *workload.Queue
	Account string
	Limits  workload.RequestLimits
	// ConfigVersion and ConfigAge are what the decision was based on.
	ConfigVersion int64
	ConfigAge     time.Duration
}

// Authorize decides whether a request to host and path with the given key may go on.
func (n *Node) Authorize(host, path, key string) (Access, error) {
	config, age := n.config.current()
	if config == nil {
		return Access{}, errkind.New(errkind.Unavailable, "try again in a second", "this VM has no configuration yet")
	}
	access := Access{Limits: config.Limits, ConfigVersion: config.Version, ConfigAge: age}
	bounds := &n.Settings.Bounds
	if bounds.StrictRevocation && age > bounds.KeyRevocation-keyMargin {
		return access, errkind.New(errkind.Unavailable, "try again at another VM",
			"the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	access.Queue = config.Match(host, path)
	if access.Queue == nil {
		return access, errkind.New(errkind.NotFound, "check host and path", "there is no queue at this path")
	}
	if access.Queue.Public {
		return access, nil
	}
	account, ok := config.KeyAccounts[key]
	if !ok {
		return access, errkind.New(errkind.Unauthenticated, "send a current key of the account", "the key is not known")
	}
	access.Account = account
	return access, nil
}

// Submit stores a job. It returns nil once the job is accepted; a refusal that matches Unavailable or Overloaded means
// that the job never runs.
func (n *Node) Submit(ctx context.Context, access Access, job *workload.Job) error {
	job.Queue = access.Queue.Name
	job.Service = access.Queue.Service
	job.Account = access.Account
	job.AcceptedAt = time.Now()
	if err := job.Validate(); err != nil {
		return err
	}
	if _, known := n.view.Get(job.ID); known {
		return nil
	}
	if err := storeInReach(access); err != nil {
		return err
	}
	return n.stored(job.ID, n.writer.Submit(ctx, job))
}

// storeInReach refuses a write at once while the store does not answer this VM, so that the caller has time to reach
// another VM.
func storeInReach(access Access) error {
	if access.ConfigAge <= readyConfigAge {
		return nil
	}
	return errkind.New(errkind.Unavailable, "try again at another VM",
		"the store has not answered for %d ms", access.ConfigAge.Milliseconds())
}

// stored translates the outcome of a caller's write.
func (n *Node) stored(id workload.JobID, err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, store.ErrNotDone) && !errors.Is(err, store.ErrUnknown) {
		return errkind.Wrap(err, errkind.Unavailable, "try again at another VM", "the store refused")
	}
	if _, known := n.view.Get(id); known {
		return nil
	}
	return errkind.Wrap(err, errkind.DeadlineExceeded, "send the same request again", "the store has not answered")
}

// Phase returns where a job stands. An unknown job gives a NotFound error.
func (n *Node) Phase(ctx context.Context, access Access, id workload.JobID) (workload.Phase, error) {
	entry, err := n.lookUp(ctx, access, id)
	return entry.Phase, err
}

// lookUp returns the job if it belongs to the caller. An answer that can still change is looked up in a fresh view; that a
// job does not exist is said only by a VM whose view is fresh.
func (n *Node) lookUp(ctx context.Context, access Access, id workload.JobID) (joblog.Entry, error) {
	entry, ok := n.view.Get(id)
	if !ok {
		err := n.refresh(ctx, 0, store.States, joblog.IntakeStream(id))
		entry, ok = n.view.Get(id)
		if !ok && err != nil {
			return joblog.Entry{}, errkind.Wrap(err, errkind.Unavailable, "try again at another VM", "this VM cannot read the jobs now")
		}
	} else if !entry.Phase.Final() {
		// Without the store the last view answers; the follower logs the outage.
		_ = n.refresh(ctx, stateMaxAge, store.States)
		entry, ok = n.view.Get(id)
	}
	if !ok || entry.Job.Queue != access.Queue.Name || entry.Job.Account != access.Account {
		return joblog.Entry{}, errkind.New(errkind.NotFound, "check the id", "there is no such job")
	}
	return entry, nil
}

// refresh brings the view of the streams up to date; an error means that the last view stays.
func (n *Node) refresh(ctx context.Context, maxAge time.Duration, streams ...store.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return n.follower.Refresh(ctx, maxAge, streams...)
}

// Cancel ends a job. An unknown job gives a NotFound error.
func (n *Node) Cancel(ctx context.Context, access Access, id workload.JobID) error {
	entry, err := n.lookUp(ctx, access, id)
	if err != nil {
		return err
	}
	if entry.Phase.Final() {
		return nil
	}
	if err := storeInReach(access); err != nil {
		return err
	}
	return n.stored("", n.writer.Cancel(ctx, id))
}

// Waiting returns how many accepted jobs of the queue have nothing started.
func (n *Node) Waiting(ctx context.Context, access Access) int {
	// Without the store the last count answers; the follower logs the outage.
	_ = n.refresh(ctx, waitingMaxAge, n.follower.Streams()...)
	return n.view.Waiting(access.Queue.Name)
}

// Deadline returns the context of a request for which the caller waits for remaining; 0 stands for an unknown time.
func Deadline(ctx context.Context, remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining <= 0 {
		remaining = defaultDeadline
	}
	return context.WithTimeout(ctx, max(remaining-answerMargin, remaining/2))
}
