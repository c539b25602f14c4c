package node

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/redwingthread/redwingthread/errkind"
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
	// known is true if the job's submission was read, owned if the job then belongs to the caller, and ended if it had ended.
	known, owned, ended bool
	// stored is true if this request has stored a record, at the given offset.
	stored bool
	offset int64
}

// cancel is Cancel without the log line. It sets the outcome.
func (n *Node) cancel(ctx context.Context, access Access, id workload.JobID, outcome *cancelOutcome) error {
	entry, known, err := n.find(ctx, id)
	if err != nil {
		return err
	}
	outcome.known = known
	if !known {
		return n.cancelEarly(ctx, access, id, outcome)
	}
	if err := access.check(entry.Job); err != nil {
		return err
	}
	outcome.owned, outcome.ended = true, entry.Phase.Final()
	if outcome.ended {
		return nil
	}
	if err := checkStoreReachable(access); err != nil {
		return err
	}
	offset, err := n.writer.Cancel(ctx, id)
	outcome.stored, outcome.offset = err == nil, offset
	return n.writeError("", err)
}

// logCancel logs and counts a cancellation. What it stored, and what it was answered by without a record, tells an answer that nothing
// backs from one that was not followed.
func (n *Node) logCancel(access Access, id workload.JobID, o *cancelOutcome, err error) {
	switch {
	case o.stored && !o.known:
		metrics.GetOrRegisterCounter(counterEarlyCancels, nil).Inc(1)
	case o.known && !o.owned:
		metrics.GetOrRegisterCounter(counterCancelsOfOthers, nil).Inc(1)
	}
	age, loaded := n.follower.Age()
	n.Logger.Info().Str("job", string(id)).Str("queue", access.Queue.Name).Str("account", access.Account).Bool("public", access.Queue.Public).
		Int64("config_version", access.ConfigVersion).Bool("known", o.known).Bool("owned", o.owned).Bool("ended", o.ended).
		Bool("stored", o.stored).Int64("offset", o.offset).Bool("view_loaded", loaded).Dur("view_age", age).AnErr("error", err).
		Msg("cancellation answered")
}

// cancelEarly stores the cancellation of a job that is not known: a submission of it may be in flight, at this VM, at another one or at
// the store, and may be stored after this response. It returns a NotFound error once the cancellation is stored.
func (n *Node) cancelEarly(ctx context.Context, access Access, id workload.JobID, outcome *cancelOutcome) error {
	caller := access.caller(id)
	retention := n.Settings.Bounds.StatusRetention + leader.CleanupMargin
	if age, stored := n.view.EarlyCancelAge(id, caller); stored && age < retention/2 {
		return errNoSuchJob()
	}
	if err := checkStoreReachable(access); err != nil {
		return err
	}
	if !n.earlyCancels.begin(caller.Account, n.view.EarlyCancels(caller.Account), access.maxEarlyCancels()) {
		metrics.GetOrRegisterCounter(counterEarlyCancelsRefused, nil).Inc(1)
		return errkind.Refuse(errkind.Overloaded, earlyCancelRetry, "send the cancellation again after the time in Retry-After",
			"there is no such job yet, and the account has too many cancellations of unknown jobs")
	}
	defer n.earlyCancels.end(caller.Account)
	offset, err := n.writer.CancelEarly(ctx, id, caller)
	outcome.stored, outcome.offset = err == nil, offset
	if err := n.writeError("", err); err != nil {
		return err
	}
	return errNoSuchJob()
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
