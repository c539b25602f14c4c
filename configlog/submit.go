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

// retryPause is the pause between two appends of the same record after errors. A second copy is harmless.
const retryPause = 500 * time.Millisecond

// Submit appends a patch and returns its decision. The outcome is Unknown if the decision could not be read back before
// ctx ended; the patch may then still take effect. An empty id gets a random one.
func (f *Follower) Submit(ctx context.Context, patch config.Patch) Decision {
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	if doc := f.Document(); doc != nil && patch.Base > doc.Version {
		// The patch may have been written against a version that this process has yet to read.
		// Without the log a refusal could be wrong: another process may have appended the same patch on that version.
		if f.CatchUp(ctx) != nil {
			return unknown(patch.ID, "version %d, the base of patch %s, cannot be read from the log", patch.Base, patch.ID)
		}
	}
	if d, done := f.precheck(patch); done {
		return d
	}
	record := Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Patch: &patch}
	return f.appendAndSettle(ctx, patch.ID, record)
}

// precheck decides without the log what can never take effect unless it is appended: the version only grows, so a patch
// on an older base, a faulty one on the base in force and one on a version that does not exist are refused.
func (f *Follower) precheck(patch config.Patch) (Decision, bool) {
	d := Decision{ID: patch.ID, Outcome: Refused, Base: patch.Base, Author: patch.Author, Reason: patch.Reason}
	doc, stop := f.stateNow()
	if doc == nil {
		d.Error = plain(notInitialised())
		return d, true
	}
	if decided, ok := f.decision(patch.ID); ok {
		return decided, true
	}
	d.Version = doc.Version
	if stop != nil {
		d.Error = &errkind.Error{Kind: errkind.Unavailable, Message: "this process follows the configuration no further: " + stop.Detail,
			Remedy: "upgrade it or submit through another process"}
		return d, true
	}
	if _, err := config.Apply(doc, patch); err != nil {
		d.Error = plain(err)
		return d, true
	}
	return d, false
}

// stateNow returns the document in force and the reason for which the fold goes no further, nil if it does.
func (f *Follower) stateNow() (*config.Document, *Stop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil, nil
	}
	return f.state.Doc, f.state.Stopped
}

// Plan returns the document in force and the one that the patch would make of it, or its refusal.
func (f *Follower) Plan(patch config.Patch) (before, after *config.Document, err error) {
	doc := f.Document()
	if doc == nil {
		return nil, nil, notInitialised()
	}
	after, err = config.Apply(doc, patch)
	return doc, after, err
}

// Initialise appends an initialise record and returns its decision. It is refused unless this process has read the log
// to its end and no peer has a configuration.
func (f *Follower) Initialise(ctx context.Context, init Initialise) Decision {
	if init.ID == "" {
		init.ID = uuid.NewString()
	}
	d := Decision{ID: init.ID, Outcome: Refused, Author: init.Author, Reason: init.Reason}
	if err := f.mayInitialise(ctx, init.Document); err != nil {
		d.Version, d.Error = versionOf(f.Document()), plain(err)
		return d
	}
	record := Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Initialise: &init}
	return f.appendAndSettle(ctx, init.ID, record)
}

func (f *Follower) mayInitialise(ctx context.Context, doc *config.Document) error {
	if doc == nil {
		return errkind.New(errkind.BadInput, "give a document", "there is no document")
	}
	if f.Document() == nil {
		f.askState(ctx)
	}
	if f.Document() != nil {
		return errkind.New(errkind.Conflict, "submit a patch instead", "the configuration is already initialised")
	}
	if !f.started() {
		return errkind.New(errkind.Unavailable, "try again when the log responds and every peer has answered",
			"it is not known yet whether there is a configuration")
	}
	next := config.Normalise(doc)
	next.Version = 0
	return config.Validate(next)
}

// Withdraw appends a withdraw record and returns the decision about the patch: the earlier one if the patch came first.
func (f *Follower) Withdraw(ctx context.Context, id, author, reason string) Decision {
	if d, ok := f.decision(id); ok {
		return d
	}
	withdraw := Withdraw{PatchID: id, Author: author, Reason: reason}
	return f.appendAndSettle(ctx, id, Record{RuleSet: config.RuleSet, At: time.Now().UnixMilli(), Withdraw: &withdraw})
}

// Settle reads the log to its end and returns the decision about a patch, Unknown if there is none.
func (f *Follower) Settle(ctx context.Context, id string) Decision {
	err := f.CatchUp(ctx)
	if d, ok := f.decision(id); ok {
		return d
	}
	if err != nil {
		return unknown(id, "the log does not respond, so the decision about patch %s cannot be read", id)
	}
	d := unknown(id, "patch %s is not in the log so far, but may still arrive late", id)
	d.Error.Remedy = fmt.Sprintf("run redwingctl config withdraw %s to rule it out, or redwingctl config settle %s again", id, id)
	return d
}

// CatchUp returns when every record that was in the log at the time of the call has been folded.
func (f *Follower) CatchUp(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.settings.CallTimeout)
	defer cancel()
	resp, err := f.settings.Log.Read(callCtx, infra.ConfigStream, f.nextOffset(), 1, 0)
	if err != nil {
		return err
	}
	if f.wait(ctx, func(s *State) bool { return s.Next >= resp.Next }) {
		return nil
	}
	return errkind.New(errkind.DeadlineExceeded, "try again", "records up to offset %d were not folded in time", resp.Next)
}

// appendAndSettle appends a record and waits until the fold has decided about id. A response may be lost after the append
// took effect, so an error settles nothing: the record is looked for in the log and appended again. The time limit of the
// append grows, for a log that is slow.
func (f *Follower) appendAndSettle(ctx context.Context, id string, record Record) Decision {
	for limit := f.settings.CallTimeout; ; limit *= 2 {
		err := f.append(ctx, record, limit)
		if errkind.Is(err, errkind.BadInput) || errkind.Is(err, errkind.TooLarge) {
			return Decision{ID: id, Outcome: Refused, Version: versionOf(f.Document()), Error: plain(err)}
		}
		waitCtx, cancel := ctx, context.CancelFunc(func() {})
		if err != nil {
			waitCtx, cancel = context.WithTimeout(ctx, retryPause)
		}
		decided := f.wait(waitCtx, func(s *State) bool { _, ok := s.byID[id]; return ok })
		cancel()
		if d, ok := f.decision(id); ok {
			return d
		}
		if ctx.Err() != nil || decided {
			return unknown(id, "the decision about patch %s could not be read back from the log", id)
		}
	}
}

func unknown(id, format string, args ...any) Decision {
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

// wait blocks until cond holds for the state, which it reports, or until ctx ends. Cond is called with mu held.
func (f *Follower) wait(ctx context.Context, cond func(*State) bool) bool {
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

// Status is what a follower knows about itself.
type Status struct {
	HasConfig bool   `json:"has_config"`
	Version   uint64 `json:"version"`
	Digest    uint64 `json:"digest"`
	// Next is the offset up to which the stream was folded, and LogTail the end of the log as last seen.
	Next    uint64 `json:"next"`
	LogTail uint64 `json:"log_tail"`
	// LogReachable reports whether the last read of the log succeeded; LastRead is the time of the last that did.
	LogReachable bool      `json:"log_reachable"`
	LastRead     time.Time `json:"last_read"`
	LogError     string    `json:"log_error,omitempty"`
	// SnapshotError is the error of the last append of a snapshot by this process.
	SnapshotError string `json:"snapshot_error,omitempty"`
	// Stopped is set if the fold goes no further, Alarm if the log broke its contract.
	Stopped *Stop  `json:"stopped,omitempty"`
	Alarm   string `json:"alarm,omitempty"`
}

// Status returns what the follower knows about itself.
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
