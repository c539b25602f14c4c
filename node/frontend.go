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
	// stateMaxAge is the maximum age of the view when a caller queries a job that has not ended.
	stateMaxAge = 100 * time.Millisecond
	// refreshTimeout bounds the wait for a newer view; after that the last one is used.
	refreshTimeout = 400 * time.Millisecond
	// waitingMaxAge is the maximum age of the count of waiting jobs.
	waitingMaxAge = time.Second
	// defaultDeadline bounds a request whose caller does not say how long it waits.
	defaultDeadline = 3 * time.Second
	// responseMargin is subtracted from the deadline to leave time for sending the response.
	responseMargin = 100 * time.Millisecond
)

// Access is what a caller is authorised to use.
type Access struct {
	Queue *workload.Queue
	// Account is the client account of the key; empty on a public queue.
	Account string
	Limits  workload.RequestLimits
	// ConfigVersion is the version of the configuration that the decision is based on, ConfigAge the time since this version
	// was last confirmed as the newest.
	ConfigVersion int64
	ConfigAge     time.Duration
	// Accounts is the number of client accounts of the configuration.
	Accounts int
	// Key is the key that the caller has sent, if any.
	Key string
}

// caller returns who asks for the job.
func (a *Access) caller(id workload.JobID) joblog.Caller {
	return joblog.Caller{
		Queue: a.Queue.Name, Account: a.Account, Origin: workload.NewOrigin(a.Queue.Host, a.Queue.PathPrefix, a.Key, id),
	}
}

// check returns nil if the caller may see and cancel the job. Otherwise the error is NotFound, as for an unknown job, so that nobody learns
// of the jobs of others; or Forbidden if the job was submitted with the same key, which belongs to another account now: its caller knows of
// the job and must not take it for gone.
func (a *Access) check(job *workload.Job) error {
	caller := a.caller(job.ID)
	switch {
	case caller.MayAccess(job):
		return nil
	case caller.HasSubmitted(job):
		return errKeyMoved()
	}
	return errNoSuchJob()
}

// Authorize returns the access that the key gives to the queue at host and path. The error is Unavailable if this VM has no
// configuration, or one that is too old to tell whether the key was revoked; NotFound if no queue matches; and
// Unauthenticated if the key is unknown.
func (n *Node) Authorize(host, path, key string) (Access, error) {
	config, age := n.config.current()
	if config == nil {
		return Access{}, errkind.New(errkind.Unavailable, "try again in a second", "this VM has no configuration yet")
	}
	access := Access{Limits: config.Limits, ConfigVersion: config.Version, ConfigAge: age, Accounts: len(config.Accounts)}
	bounds := &n.Settings.Bounds
	if bounds.StrictRevocation && age > bounds.KeyRevocation-revocationMargin {
		return access, errkind.New(errkind.Unavailable, "try again at another VM",
			"the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	access.Queue = config.Match(host, path)
	if access.Queue == nil {
		return access, errkind.New(errkind.NotFound, "check host and path", "no queue matches this host and path")
	}
	access.Key = key
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

// Submit stores a job with the queue and account of access. It returns nil once the job is accepted, also if a job with its
// id was accepted before. After a BadInput, TooLarge, Overloaded or Unavailable error the job never runs; after a DeadlineExceeded
// error it may run.
func (n *Node) Submit(ctx context.Context, access Access, job *workload.Job) error {
	job.Queue = access.Queue.Name
	job.SetPolicy(access.Queue.Policy(access.ConfigVersion))
	job.Account = access.Account
	job.Origin = access.caller(job.ID).Origin
	job.AcceptedAt = time.Now()
	if err := job.Validate(); err != nil {
		return err
	}
	if err := job.CheckStateSize(n.Settings.Store.MaxRecordBytes); err != nil {
		return err
	}
	if _, known := n.view.Get(job.ID); known {
		return nil
	}
	if err := checkStoreReachable(access); err != nil {
		return err
	}
	err := n.admit(ctx, job)
	if err == nil {
		err = n.writeError(job.ID, n.writer.Submit(ctx, job))
	}
	if err != nil {
		n.view.Release(job.ID)
	}
	return err
}

// checkStoreReachable returns an Unavailable error if the store has not responded to this VM for readyConfigAge, so that the
// caller has time to reach another VM.
func checkStoreReachable(access Access) error {
	if access.ConfigAge <= readyConfigAge {
		return nil
	}
	return errkind.New(errkind.Unavailable, "try again at another VM",
		"the store has not answered for %d ms", access.ConfigAge.Milliseconds())
}

// writeError returns the error to report for the outcome of a write; nil for a success. An unknown outcome of a submission
// is a success if the view has the job; for a cancellation, id is empty.
func (n *Node) writeError(id workload.JobID, err error) error {
	if err == nil || errkind.Is(err, errkind.TooLarge) {
		return err
	}
	if errors.Is(err, store.ErrNotExecuted) && !errors.Is(err, store.ErrUnknown) {
		return errkind.Wrap(err, errkind.Unavailable, "try again at another VM", "the store refused the write")
	}
	if _, known := n.view.Get(id); known {
		return nil
	}
	return errkind.Wrap(err, errkind.DeadlineExceeded, "send the same request again", "the store has not answered")
}

// Phase returns the phase of a job. The error is NotFound if the caller has no such job, Forbidden if its key belonged to another account when
// the job was submitted with it, or Unavailable if this VM cannot tell.
func (n *Node) Phase(ctx context.Context, access Access, id workload.JobID) (workload.Phase, error) {
	entry, known, err := n.find(ctx, id)
	if err != nil {
		return entry.Phase, err
	}
	if !known {
		return entry.Phase, errNoSuchJob()
	}
	return entry.Phase, access.check(entry.Job)
}

// find returns the job, whoever it belongs to; false if none is stored. The view is refreshed first if the job is not known or has not
// ended. The error is Unavailable if the job is not known and the refresh fails.
func (n *Node) find(ctx context.Context, id workload.JobID) (joblog.Entry, bool, error) {
	entry, known := n.view.Get(id)
	if !known {
		err := n.refresh(ctx, 0, store.States, joblog.IntakeStream(id))
		entry, known = n.view.Get(id)
		if !known && err != nil {
			return entry, false, errkind.Wrap(err, errkind.Unavailable, "try again at another VM", "this VM cannot read the job records from the store")
		}
		return entry, known, nil
	}
	if !entry.Phase.Final() {
		// Without the store the last view is used; the follower logs the outage.
		_ = n.refresh(ctx, stateMaxAge, store.States)
		entry, known = n.view.Get(id)
	}
	return entry, known, nil
}

// refresh waits until the view of the streams is at most maxAge old. On an error the last view stays in use.
func (n *Node) refresh(ctx context.Context, maxAge time.Duration, streams ...store.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	return n.follower.Refresh(ctx, maxAge, streams...)
}

// Waiting returns how many accepted jobs of the queue have not begun, as far as this VM knows.
func (n *Node) Waiting(ctx context.Context, access Access) int {
	// Without the store the last count is used; the follower logs the outage.
	_ = n.refresh(ctx, waitingMaxAge, n.follower.Streams()...)
	return n.view.Waiting(access.Queue.Name)
}

// Deadline returns the context of a request whose caller waits for another remaining; remaining is 0 if that is unknown. The
// context ends before the caller gives up, to leave time for sending the response.
func Deadline(ctx context.Context, remaining time.Duration) (context.Context, context.CancelFunc) {
	if remaining <= 0 {
		remaining = defaultDeadline
	}
	return context.WithTimeout(ctx, max(remaining-responseMargin, remaining/2))
}
