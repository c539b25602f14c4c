package configlog

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// appendRetryDelay is the delay between two appends of the same record after errors. A second copy has no effect.
const appendRetryDelay = 500 * time.Millisecond

// Submit appends a patch and returns its decision. The outcome is Unknown if the decision could not be read from the
// log before ctx ended; the patch may then still take effect. If the patch has no id, Submit generates one.
func (f *Follower) Submit(ctx context.Context, patch config.Patch) Decision {
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	if doc := f.Document(); doc != nil && patch.Base > doc.Version {
		// The base may be a version that this process has not read yet. Refusing the patch without reading the log
		// could be wrong, because another process may have appended the same patch on that version.
		if f.CatchUp(ctx) != nil {
			return unknownDecision(patch.ID, "version %d, the base of patch %s, cannot be read from the log", patch.Base, patch.ID)
		}
	}
	if d, done := f.precheck(patch); done {
		return d
	}
	record := Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Patch: &patch}
	return f.appendAndSettle(ctx, patch.ID, record)
}

// precheck decides about a patch without appending it, if possible, and reports whether it did. It returns the earlier
// decision about the id of the patch, if there is one. It refuses every patch if there is no configuration or the fold
// has stopped. Since versions only increase, it also refuses a patch whose base is older than the version in force or
// does not exist, and a patch that is invalid on the version in force: such a patch can have no effect.
func (f *Follower) precheck(patch config.Patch) (Decision, bool) {
	d := Decision{ID: patch.ID, Outcome: Refused, Base: patch.Base, Author: patch.Author, Reason: patch.Reason}
	doc, stop := f.documentAndStop()
	if doc == nil {
		d.Error = withoutCause(notInitialised())
		return d, true
	}
	if decided, ok := f.decision(patch.ID); ok {
		return decided, true
	}
	d.Version = doc.Version
	if stop != nil {
		d.Error = &errkind.Error{Kind: errkind.Unavailable,
			Message: "this process has stopped applying configuration records: " + stop.Detail,
			Remedy:  "upgrade it or submit through another process"}
		return d, true
	}
	if _, err := config.Apply(doc, patch); err != nil {
		d.Error = withoutCause(err)
		return d, true
	}
	return d, false
}

// documentAndStop returns the document in force and the reason why the fold has stopped, or nil if it has not.
func (f *Follower) documentAndStop() (*config.Document, *Stop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil, nil
	}
	return f.state.Doc, f.state.Stopped
}

// Plan returns the document in force and the document that results from applying patch to it. The error is that of
// config.Apply, or has the kind NotFound if there is no configuration.
func (f *Follower) Plan(patch config.Patch) (before, after *config.Document, err error) {
	doc := f.Document()
	if doc == nil {
		return nil, nil, notInitialised()
	}
	after, err = config.Apply(doc, patch)
	return doc, after, err
}

// Initialise appends an initialise record and returns its decision. It refuses the request without an append if the
// document is missing or invalid, if this process or a peer has a configuration, or if it is not known yet whether one
// exists, because this process has not read the log to its end or not every peer has responded. If init has no id,
// Initialise generates one.
func (f *Follower) Initialise(ctx context.Context, init Initialise) Decision {
	if init.ID == "" {
		init.ID = uuid.NewString()
	}
	d := Decision{ID: init.ID, Outcome: Refused, Author: init.Author, Reason: init.Reason}
	if err := f.checkCanInitialise(ctx, init.Document); err != nil {
		d.Version, d.Error = versionOf(f.Document()), withoutCause(err)
		return d
	}
	record := Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Initialise: &init}
	return f.appendAndSettle(ctx, init.ID, record)
}

// checkCanInitialise returns an error if an initialise record must not be appended.
func (f *Follower) checkCanInitialise(ctx context.Context, doc *config.Document) error {
	if doc == nil {
		return errkind.New(errkind.BadInput, "provide a document", "initialise request has no document")
	}
	if f.Document() == nil {
		f.fetchStateFromPeers(ctx)
	}
	if f.Document() != nil {
		return errkind.New(errkind.Conflict, "submit a patch instead", "the configuration is already initialised")
	}
	if !f.hasState() {
		return errkind.New(errkind.Unavailable, "retry when the log and every peer respond",
			"it is not known yet whether a configuration exists")
	}
	next := config.Normalise(doc)
	next.Version = 0
	return config.Validate(next)
}

// Withdraw appends a withdraw record and returns the decision about the patch with this id, which is the earlier one if
// the patch is in the log before the withdraw record. If the decision is known already, Withdraw appends nothing. The
// outcome is Unknown if the decision could not be read from the log before ctx ended.
func (f *Follower) Withdraw(ctx context.Context, id, author, reason string) Decision {
	if d, ok := f.decision(id); ok {
		return d
	}
	withdraw := Withdraw{PatchID: id, Author: author, Reason: reason}
	return f.appendAndSettle(ctx, id, Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Withdraw: &withdraw})
}

// Settle reads the log to its end and returns the decision about the patch with this id. The outcome is Unknown if there
// is none or the log cannot be read.
func (f *Follower) Settle(ctx context.Context, id string) Decision {
	err := f.CatchUp(ctx)
	if d, ok := f.decision(id); ok {
		return d
	}
	if err != nil {
		return unknownDecision(id, "the log does not respond, so the decision about patch %s cannot be read", id)
	}
	d := unknownDecision(id, "patch %s is not in the log yet, but may still be appended", id)
	d.Error.Remedy = fmt.Sprintf("run redwingctl config withdraw %s to rule it out, or redwingctl config settle %s again", id, id)
	return d
}

// CatchUp waits until every record that was in the log at the time of the call has been folded. It returns an error if
// the log cannot be read, or of kind DeadlineExceeded if ctx ends first.
func (f *Follower) CatchUp(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, f.options.RequestTimeout)
	defer cancel()
	resp, err := f.options.Log.Read(readCtx, infra.ConfigStream, f.nextOffset(), 1, 0)
	if err != nil {
		return err
	}
	if f.waitFor(ctx, func(s *State) bool { return s.Next >= resp.Next }) {
		return nil
	}
	return errkind.New(errkind.DeadlineExceeded, "try again", "records up to offset %d were not folded in time", resp.Next)
}

// appendAndSettle appends a record and waits until the fold has decided about id. Since the response may be lost after
// a successful append, most errors do not determine the outcome: appendAndSettle waits for the record to appear in the
// log and otherwise appends it again. It doubles the timeout of each further append in case the log is slow.
func (f *Follower) appendAndSettle(ctx context.Context, id string, record Record) Decision {
	for timeout := f.options.RequestTimeout; ; timeout *= 2 {
		err := f.append(ctx, record, timeout)
		if errkind.Is(err, errkind.BadInput) || errkind.Is(err, errkind.TooLarge) {
			return Decision{ID: id, Outcome: Refused, Version: versionOf(f.Document()), Error: withoutCause(err)}
		}
		waitCtx, cancel := ctx, context.CancelFunc(func() {})
		if err != nil {
			waitCtx, cancel = context.WithTimeout(ctx, appendRetryDelay)
		}
		decided := f.waitFor(waitCtx, func(s *State) bool { _, ok := s.byID[id]; return ok })
		cancel()
		if d, ok := f.decision(id); ok {
			return d
		}
		if ctx.Err() != nil || decided {
			return unknownDecision(id, "the decision about patch %s could not be read from the log", id)
		}
	}
}

// unknownDecision returns a decision with the outcome Unknown and counts it.
func unknownDecision(id, format string, args ...any) Decision {
	metricUnknown.Inc(1)
	return Decision{ID: id, Outcome: Unknown, Error: &errkind.Error{
		Kind:    errkind.Unknown,
		Message: fmt.Sprintf(format, args...),
		Remedy:  "run redwingctl config settle " + id,
	}}
}

func (f *Follower) decision(id string) (Decision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return Decision{}, false
	}
	return f.state.Decision(id)
}

// waitFor waits until cond returns true for the state or ctx ends, and reports whether cond returned true. mu is held
// while cond runs, and cond never gets a nil state.
func (f *Follower) waitFor(ctx context.Context, cond func(*State) bool) bool {
	for {
		f.mu.Lock()
		ok := f.state != nil && cond(f.state)
		changed := f.changed
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Status is the status of a follower.
type Status struct {
	HasConfig bool   `json:"has_config"`
	Version   uint64 `json:"version"`
	Digest    uint64 `json:"digest"`
	// Next is the offset of the next record to fold. LogTail is the next offset of the log in its last response.
	Next    uint64 `json:"next"`
	LogTail uint64 `json:"log_tail"`
	// LogReachable reports whether the last read of the log succeeded. LastRead is the time of the last successful
	// read.
	LogReachable bool      `json:"log_reachable"`
	LastRead     time.Time `json:"last_read"`
	LogError     string    `json:"log_error,omitempty"`
	// SnapshotError is the error of this process's last append of a snapshot; empty if it succeeded.
	SnapshotError string `json:"snapshot_error,omitempty"`
	// Stopped is set if the fold has stopped. Alarm is set if the log has violated its contract.
	Stopped *Stop  `json:"stopped,omitempty"`
	Alarm   string `json:"alarm,omitempty"`
}

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := Status{LogTail: f.logTail, LastRead: f.lastRead, LogReachable: !f.lastRead.IsZero() && f.logError == nil, Alarm: f.alarm}
	if f.logError != nil {
		status.LogError = f.logError.Error()
	}
	if f.snapshotError != nil {
		status.SnapshotError = f.snapshotError.Error()
	}
	if f.state == nil {
		return status
	}
	status.Next, status.Stopped = f.state.Next, f.state.Stopped
	if f.state.Doc != nil {
		status.HasConfig, status.Version, status.Digest = true, f.state.Doc.Version, f.state.Digest
	}
	return status
}
