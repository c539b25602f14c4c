package node

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// maxEarlyCancels limits the stored cancellations of jobs that are not known, all accounts together; each account has an equal
	// share. Each VM keeps them in memory, at up to 400 bytes each.
	maxEarlyCancels = 16_384
	// maxEarlyCancelsInFlight limits those of one account that this VM stores at the same time.
	maxEarlyCancelsInFlight = 32
	// earlyCancelRetry is the time after which a refused cancellation of an unknown job should be sent again.
	earlyCancelRetry = 20 * time.Second
	// counterEarlyCancels counts the stored cancellations of unknown jobs, counterEarlyCancelsRefused those that were refused.
	counterEarlyCancels        = "requests.early_cancels"
	counterEarlyCancelsRefused = "requests.early_cancels_refused"
	// counterCancelsOfOthers counts the cancellations of known jobs that do not belong to the caller.
	counterCancelsOfOthers = "requests.cancels_of_others"
)

// errNoSuchJob returns the error for a job that the caller does not have.
func errNoSuchJob() error {
	return errkind.New(errkind.NotFound, "check the id", "there is no such job")
}

// errKeyMoved returns the error for a job that was submitted with the caller's key when that belonged to another account.
func errKeyMoved() error {
	return errkind.New(errkind.Forbidden, "send a key of the account that has submitted the job",
		"the key belonged to another account when the job was submitted with it")
}

// Cancel stores the cancellation of a job; it does nothing if the job has ended. The error is NotFound if the caller has no
// such job, and then none that the caller has submitted before can start; Forbidden if the key of the caller belonged to another account when
// the job was submitted with it, and then the job goes on; Unavailable if this VM cannot tell or the cancellation is not
// stored; Overloaded if the job is not known and the account has too many cancellations of such jobs; and DeadlineExceeded if the
// outcome of the write is unknown.
func (n *Node) Cancel(ctx context.Context, access Access, id workload.JobID) error {
	outcome := cancelOutcome{offset: store.UnknownOffset}
	err := n.cancel(ctx, access, id, &outcome)
	n.logCancel(access, id, &outcome, err)
	return err
}

// cancelOutcome is what a cancellation has come to, beside its error.
type cancelOutcome struct {
	// action is what was decided; empty if this VM could not tell.
	action string
	// stored is true if this request has stored a record, at the given offset.
	stored bool
	offset int64
}

// set records the result of the write of the cancellation.
func (o *cancelOutcome) set(offset int64, err error) { o.stored, o.offset = err == nil, offset }

// cancel is Cancel without the log line. It sets the outcome.
func (n *Node) cancel(ctx context.Context, access Access, id workload.JobID, outcome *cancelOutcome) error {
	if _, _, err := n.find(ctx, id); err != nil {
		return err
	}
	action := n.view.DecideCancel(id, access.caller(id), n.Settings.Bounds.StatusRetention+leader.CleanupMargin)
	outcome.action = action.String()
	switch action {
	case joblog.CancelEnded:
		return nil
	case joblog.CancelStored:
		return errNoSuchJob()
	case joblog.CancelOfOthers:
		metrics.GetOrRegisterCounter(counterCancelsOfOthers, nil).Inc(1)
		return errNoSuchJob()
	case joblog.CancelForbidden:
		return errKeyMoved()
	}
	if err := checkStoreReachable(access); err != nil {
		return err
	}
	if action == joblog.CancelStoreEarly {
		return n.cancelEarly(ctx, access, id, outcome)
	}
	offset, err := n.writer.Cancel(ctx, id)
	outcome.set(offset, err)
	return n.writeError("", err)
}

// cancelEarly stores the cancellation of a job that is not known: a submission of it may be in flight, at this VM, at another one or at
// the store, and may be stored after this response. It returns a NotFound error once the cancellation is stored.
func (n *Node) cancelEarly(ctx context.Context, access Access, id workload.JobID, outcome *cancelOutcome) error {
	if !n.earlyCancels.begin(access.Account, n.view.EarlyCancels(access.Account), access.maxEarlyCancels()) {
		metrics.GetOrRegisterCounter(counterEarlyCancelsRefused, nil).Inc(1)
		return errkind.Refuse(errkind.Overloaded, earlyCancelRetry, "send the cancellation again after the time in Retry-After",
			"there is no such job yet, and the account has too many cancellations of unknown jobs")
	}
	defer n.earlyCancels.end(access.Account)
	offset, err := n.writer.CancelEarly(ctx, id, access.caller(id))
	outcome.set(offset, err)
	if err := n.writeError("", err); err != nil {
		return err
	}
	metrics.GetOrRegisterCounter(counterEarlyCancels, nil).Inc(1)
	return errNoSuchJob()
}

// logCancel logs a cancellation. Its action, and where it stored what, tell an answer that nothing backs from one that was not followed.
func (n *Node) logCancel(access Access, id workload.JobID, o *cancelOutcome, err error) {
	age, loaded := n.follower.Age()
	n.Logger.Info().Str("job", string(id)).Str("queue", access.Queue.Name).Str("account", access.Account).Bool("public", access.Queue.Public).
		Int64("config_version", access.ConfigVersion).Str("action", o.action).Bool("stored", o.stored).Int64("offset", o.offset).
		Bool("view_loaded", loaded).Dur("view_age", age).AnErr("error", err).Msg("cancellation answered")
}

// maxEarlyCancels returns the share of the caller's account in maxEarlyCancels. The callers of public queues share one.
func (a *Access) maxEarlyCancels() int { return maxEarlyCancels / (a.Accounts + 1) }

// earlyCancelWrites counts the cancellations of unknown jobs that are being stored, by account. The zero value is ready for use.
type earlyCancelWrites struct {
	mu       sync.Mutex
	inFlight map[string]int
}

// begin counts one more cancellation of the account, of which the view has the given number, unless that would exceed a limit.
func (w *earlyCancelWrites) begin(account string, stored, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.inFlight[account]
	if n >= maxEarlyCancelsInFlight || stored+n >= limit {
		return false
	}
	if w.inFlight == nil {
		w.inFlight = map[string]int{}
	}
	w.inFlight[account] = n + 1
	return true
}

// end reverts begin.
func (w *earlyCancelWrites) end(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[account]--
	if w.inFlight[account] == 0 {
		delete(w.inFlight, account)
	}
}
