package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
)

// DecisionResult is a decision as the API answers it. Kind, Message and Remedy are those of its error, in the place where
// every error answer has them.
type DecisionResult struct {
	configlog.Decision
	Kind    errkind.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	Remedy  string       `json:"remedy,omitempty"`
}

// decided answers with a decision; a refused or unknown one has the status of its error.
func decided(d configlog.Decision) (int, any, error) {
	result := DecisionResult{Decision: d}
	if d.Outcome == configlog.Accepted || d.Error == nil {
		return http.StatusOK, result, nil
	}
	result.Kind, result.Message, result.Remedy = d.Error.Kind, d.Error.Message, d.Error.Remedy
	return d.Error.Kind.Status(), result, nil
}

// read answers with 200 whatever the decision was, since the request was to read it; an unknown one is an error.
func read(d configlog.Decision) (int, any, error) {
	status, result, err := decided(d)
	if d.Outcome != configlog.Unknown {
		status = http.StatusOK
	}
	return status, result, err
}

// readBody reads the whole body within the limit.
func readBody(r *http.Request) (json.RawMessage, error) {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		return raw, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "send a smaller document", "body is above %d bytes", tooLarge.Limit)
	}
	return nil, errkind.Wrap(err, errkind.BadInput, "send the body again", "body cannot be read")
}

func (a *API) initialise(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	raw, err := readBody(r)
	if err != nil {
		return 0, nil, err
	}
	if doc := a.settings.Configuration.Document(); doc != nil {
		return 0, nil, errkind.New(errkind.Conflict, "submit a patch instead",
			"the configuration is already initialised; version %d is in force", doc.Version)
	}
	doc, err := config.DecodeDocument(raw)
	if err != nil {
		return 0, nil, err
	}
	d := a.settings.Configuration.Initialise(ctx, configlog.Initialise{
		ID: "init-" + uuid.NewString(), Author: who.operator, Reason: "initialise", Document: doc,
	})
	return decided(d)
}

// PlanResult is the answer to a plan.
type PlanResult struct {
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Changes []config.Op `json:"changes"`
	// Summary has one line for each changed field.
	Summary []string `json:"summary"`
}

func (a *API) plan(_ context.Context, r *http.Request, who principal) (int, any, error) {
	patch, err := readPatch(r, who)
	if err != nil {
		return 0, nil, err
	}
	before, after, err := a.settings.Configuration.Plan(patch)
	if err != nil {
		return 0, nil, err
	}
	changes := config.Diff(before, after)
	return http.StatusOK, PlanResult{
		Base: before.Version, Version: after.Version, Changes: changes, Summary: config.Describe(before, changes),
	}, nil
}

// readPatch reads a patch. The author is the operator whose token was sent; another name is refused, so that the log of
// changes can be relied on.
func readPatch(r *http.Request, who principal) (config.Patch, error) {
	var patch config.Patch
	if err := readJSON(r, &patch); err != nil {
		return patch, err
	}
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	return patch, setAuthor(&patch.Author, who)
}

func setAuthor(author *string, who principal) error {
	if *author != "" && *author != who.operator {
		return errkind.New(errkind.Forbidden, "leave the author out or use that operator's token",
			"author %q is not operator %q, whose token was sent", *author, who.operator)
	}
	*author = who.operator
	return nil
}

func (a *API) submit(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	patch, err := readPatch(r, who)
	if err != nil {
		return 0, nil, err
	}
	return decided(a.settings.Configuration.Submit(ctx, patch))
}

func (a *API) settle(ctx context.Context, r *http.Request, _ principal) (int, any, error) {
	return read(a.settings.Configuration.Settle(ctx, r.PathValue("id")))
}

// WithdrawRequest is the body of a withdrawal. An empty author stands for the operator whose token was sent.
type WithdrawRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

func (a *API) withdraw(ctx context.Context, r *http.Request, who principal) (int, any, error) {
	var body WithdrawRequest
	if err := readJSON(r, &body); err != nil {
		return 0, nil, err
	}
	if id := r.PathValue("id"); !validID(id) {
		return 0, nil, errkind.New(errkind.BadInput, "give the id of a patch", "%q cannot be the id of a patch", id)
	}
	if err := setAuthor(&body.Author, who); err != nil {
		return 0, nil, err
	}
	if body.Reason == "" || len(body.Reason) > config.MaxTextLength {
		return 0, nil, errkind.New(errkind.BadInput, "give a reason of 1 to 512 bytes", "reason has %d bytes", len(body.Reason))
	}
	return read(a.settings.Configuration.Withdraw(ctx, r.PathValue("id"), body.Author, body.Reason))
}

// queryVersion reads a version from the query; an absent one gives fallback.
func queryVersion(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errkind.Wrap(err, errkind.BadInput, "give a version number", "%s=%q is no version", name, text)
}

// state returns a copy of the folded state that has a configuration.
func (a *API) state() (*configlog.State, error) {
	state := a.settings.Configuration.State()
	if state == nil || state.Doc == nil {
		return nil, errkind.New(errkind.NotFound, "run redwingctl config init", "there is no configuration yet")
	}
	return state, nil
}

func (a *API) document(_ context.Context, r *http.Request, _ principal) (int, any, error) {
	state, err := a.state()
	if err != nil {
		return 0, nil, err
	}
	version, err := queryVersion(r, "version", state.Doc.Version)
	if err != nil {
		return 0, nil, err
	}
	doc, err := state.At(version)
	return http.StatusOK, doc, err
}

func (a *API) log(_ context.Context, r *http.Request, _ principal) (int, any, error) {
	state, err := a.state()
	if err != nil {
		return 0, nil, err
	}
	from, err := queryVersion(r, "from", 0)
	if err != nil {
		return 0, nil, err
	}
	to, err := queryVersion(r, "to", state.Doc.Version)
	if err != nil {
		return 0, nil, err
	}
	if from > to {
		return 0, nil, errkind.New(errkind.BadInput, "give from at most to", "from %d is above to %d", from, to)
	}
	return http.StatusOK, logEntries(state, from, to), nil
}

// LogEntry is one decision in the log of changes.
type LogEntry struct {
	configlog.Decision
	// Summary has one line for each field that an accepted patch changed; it is empty if the version before is not kept.
	Summary []string `json:"summary,omitempty"`
}

// logEntries returns the decisions of the versions from and to, both included, each with its summary. It goes through the
// versions once, from the oldest on.
func logEntries(state *configlog.State, from, to uint64) []LogEntry {
	entries := []LogEntry{}
	var doc *config.Document
	for _, d := range state.Log(from, to) {
		entry := LogEntry{Decision: d}
		if d.Outcome == configlog.Accepted && d.Version > 0 {
			if doc == nil || doc.Version != d.Version-1 {
				doc, _ = state.At(d.Version - 1) // without it there are no summaries
			}
			if doc != nil {
				entry.Summary = config.Describe(doc, d.Ops)
				doc, _ = config.ApplyOps(doc, d.Ops, d.Version) // these ops were accepted before
			}
		}
		entries = append(entries, entry)
	}
	return entries
}

// StatusResult is the configuration in force on this process and on every entry VM.
type StatusResult struct {
	Self configlog.Status `json:"self"`
	VMs  []VMVersion      `json:"vms"`
}

// VMVersion shows an unseen VM's version as "unknown".
type VMVersion struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Version       any    `json:"version"`
	Digest        string `json:"digest,omitempty"`
}

func (a *API) status(ctx context.Context, _ *http.Request, _ principal) (int, any, error) {
	body := StatusResult{Self: a.settings.Configuration.Status(), VMs: []VMVersion{}}
	for _, vm := range a.settings.Peers.ConfigStatus(ctx) {
		entry := VMVersion{VM: vm.VM, FailureDomain: vm.FailureDomain, Version: outcomeUnknown}
		if vm.Known {
			entry.Version = vm.Version
			entry.Digest = strconv.FormatUint(vm.Digest, 16)
		}
		body.VMs = append(body.VMs, entry)
	}
	return http.StatusOK, body, nil
}

// HealthResult is the health of this daemon and what it sees of the others.
type HealthResult struct {
	Ready            bool              `json:"ready"`
	Configuration    configlog.Status  `json:"configuration"`
	Peers            []PeerHealth      `json:"peers"`
	ActiveSchedulers map[string]string `json:"active_schedulers"`
}

func (a *API) health(ctx context.Context, _ *http.Request, _ principal) (int, any, error) {
	return http.StatusOK, HealthResult{
		Ready:            a.settings.Ready == nil || a.settings.Ready(),
		Configuration:    a.settings.Configuration.Status(),
		Peers:            a.settings.Peers.Health(ctx),
		ActiveSchedulers: a.settings.Peers.ActiveSchedulers(ctx),
	}, nil
}
