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

// DecisionResult is the response body for a decision. Kind, Message and Remedy repeat the error of the decision at the
// top level, where every error response has them.
type DecisionResult struct {
	configlog.Decision
	Kind    errkind.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	Remedy  string       `json:"remedy,omitempty"`
}

// decisionResponse returns the response for a decision. A refused or unknown decision gets the HTTP status of its error.
func decisionResponse(d configlog.Decision) (int, any, error) {
	result := DecisionResult{Decision: d}
	if d.Outcome == configlog.Accepted || d.Error == nil {
		return http.StatusOK, result, nil
	}
	result.Kind, result.Message, result.Remedy = d.Error.Kind, d.Error.Message, d.Error.Remedy
	return d.Error.Kind.Status(), result, nil
}

// settledResponse returns the response to a request that reads a decision back. The status is 200 for a refused patch
// too, because the read succeeded; an unknown decision keeps the status of its error.
func settledResponse(d configlog.Decision) (int, any, error) {
	status, result, err := decisionResponse(d)
	if d.Outcome != configlog.Unknown {
		status = http.StatusOK
	}
	return status, result, err
}

// readBody reads the whole request body, up to the size limit.
func readBody(r *http.Request) (json.RawMessage, error) {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		return raw, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.TooLarge, "send a smaller document", "request body exceeds %d bytes", tooLarge.Limit)
	}
	return nil, errkind.Wrap(err, errkind.BadInput, "send the request again", "cannot read the request body")
}

func (a *API) initialise(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	raw, err := readBody(r)
	if err != nil {
		return 0, nil, err
	}
	if doc := a.options.Configuration.Document(); doc != nil {
		return 0, nil, errkind.New(errkind.Conflict, "submit a patch instead",
			"the configuration is already initialised; version %d is in force", doc.Version)
	}
	doc, err := config.DecodeDocument(raw)
	if err != nil {
		return 0, nil, err
	}
	d := a.options.Configuration.Initialise(ctx, configlog.Initialise{
		ID: "init-" + uuid.NewString(), Author: p.operator, Reason: "initialise", Document: doc,
	})
	return decisionResponse(d)
}

// PlanResult is the response to a plan request: the changes that a patch would make to version Base. Version is the
// version that it would create.
type PlanResult struct {
	Base    uint64      `json:"base"`
	Version uint64      `json:"version"`
	Changes []config.Op `json:"changes"`
	// Summary has one line for each changed field.
	Summary []string `json:"summary"`
}

func (a *API) plan(_ context.Context, r *http.Request, p principal) (int, any, error) {
	patch, err := readPatch(r, p)
	if err != nil {
		return 0, nil, err
	}
	before, after, err := a.options.Configuration.Plan(patch)
	if err != nil {
		return 0, nil, err
	}
	changes := config.Diff(before, after)
	return http.StatusOK, PlanResult{
		Base: before.Version, Version: after.Version, Changes: changes, Summary: config.Describe(before, changes),
	}, nil
}

// readPatch reads a patch from the request body. A patch without an id gets a random one.
func readPatch(r *http.Request, p principal) (config.Patch, error) {
	var patch config.Patch
	if err := readJSON(r, &patch); err != nil {
		return patch, err
	}
	if patch.ID == "" {
		patch.ID = uuid.NewString()
	}
	return patch, setAuthor(&patch.Author, p)
}

// setAuthor sets an empty author to the operator whose token was sent. It returns an error for the name of anybody else,
// so that the authors in the configuration log are authenticated.
func setAuthor(author *string, p principal) error {
	if *author != "" && *author != p.operator {
		return errkind.New(errkind.Forbidden, "leave the author out or use that operator's token",
			"author %q is not operator %q, whose token was sent", *author, p.operator)
	}
	*author = p.operator
	return nil
}

func (a *API) submit(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	patch, err := readPatch(r, p)
	if err != nil {
		return 0, nil, err
	}
	return decisionResponse(a.options.Configuration.Submit(ctx, patch))
}

func (a *API) settle(ctx context.Context, r *http.Request, _ principal) (int, any, error) {
	return settledResponse(a.options.Configuration.Settle(ctx, r.PathValue("id")))
}

// WithdrawRequest is the body of a withdraw request. An empty author stands for the operator whose token was sent.
type WithdrawRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

func (a *API) withdraw(ctx context.Context, r *http.Request, p principal) (int, any, error) {
	var body WithdrawRequest
	if err := readJSON(r, &body); err != nil {
		return 0, nil, err
	}
	if id := r.PathValue("id"); !validID(id) {
		return 0, nil, errkind.New(errkind.BadInput, "give the id of a patch", "%q is not a valid id of a patch", id)
	}
	if err := setAuthor(&body.Author, p); err != nil {
		return 0, nil, err
	}
	if body.Reason == "" || len(body.Reason) > config.MaxTextLength {
		return 0, nil, errkind.New(errkind.BadInput, "give a reason of 1 to 512 bytes", "reason has %d bytes", len(body.Reason))
	}
	return settledResponse(a.options.Configuration.Withdraw(ctx, r.PathValue("id"), body.Author, body.Reason))
}

// queryVersion parses the version in the query parameter of the given name. It returns fallback if there is none.
func queryVersion(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errkind.Wrap(err, errkind.BadInput, "give a version number", "%s=%q is not a version number", name, text)
}

// state returns a copy of the configuration state, or an error if the configuration is not initialised.
func (a *API) state() (*configlog.State, error) {
	state := a.options.Configuration.State()
	if state == nil || state.Doc == nil {
		return nil, errkind.New(errkind.NotFound, "run redwingctl config init", "the configuration is not initialised")
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
		return 0, nil, errkind.New(errkind.BadInput, "give a from version that is not above the to version", "from version %d is above to version %d", from, to)
	}
	return http.StatusOK, logEntries(state, from, to), nil
}

// LogEntry is one decision in the configuration log.
type LogEntry struct {
	configlog.Decision
	// Summary has one line for each field that an accepted patch changed. It is empty for version 0, for a refused patch,
	// and if the previous version is no longer available.
	Summary []string `json:"summary,omitempty"`
}

// logEntries returns the decisions of the versions from..to, both included, each with its summary. It applies the ops of
// the versions once, in ascending order, instead of rebuilding the document for each of them.
func logEntries(state *configlog.State, from, to uint64) []LogEntry {
	entries := []LogEntry{}
	var doc *config.Document
	for _, d := range state.Log(from, to) {
		entry := LogEntry{Decision: d}
		if d.Outcome == configlog.Accepted && d.Version > 0 {
			if doc == nil || doc.Version != d.Version-1 {
				doc, _ = state.At(d.Version - 1) // without that version the entry has no summary
			}
			if doc != nil {
				entry.Summary = config.Describe(doc, d.Ops)
				doc, _ = config.ApplyOps(doc, d.Ops, d.Version) // cannot fail: these ops were accepted
			}
		}
		entries = append(entries, entry)
	}
	return entries
}

// StatusResult is the configuration in force in this process and on every entry VM.
type StatusResult struct {
	Self configlog.Status `json:"self"`
	VMs  []VMVersion      `json:"vms"`
}

// VMVersion is the version in force on one entry VM. Version is a number, or "unknown" if the VM's state cannot be read.
type VMVersion struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Version       any    `json:"version"`
	Digest        string `json:"digest,omitempty"`
}

func (a *API) status(ctx context.Context, _ *http.Request, _ principal) (int, any, error) {
	body := StatusResult{Self: a.options.Configuration.Status(), VMs: []VMVersion{}}
	for _, vm := range a.options.Peers.ConfigStatus(ctx) {
		entry := VMVersion{VM: vm.VM, FailureDomain: vm.FailureDomain, Version: outcomeUnknown}
		if vm.Known {
			entry.Version = vm.Version
			entry.Digest = strconv.FormatUint(vm.Digest, 16)
		}
		body.VMs = append(body.VMs, entry)
	}
	return http.StatusOK, body, nil
}

// HealthResult is the health of this daemon and of its peers as this daemon observes them. ActiveSchedulers maps failure
// domains to VMs, see Peers.
type HealthResult struct {
	Ready            bool              `json:"ready"`
	Configuration    configlog.Status  `json:"configuration"`
	Peers            []PeerHealth      `json:"peers"`
	ActiveSchedulers map[string]string `json:"active_schedulers"`
}

func (a *API) health(ctx context.Context, _ *http.Request, _ principal) (int, any, error) {
	return http.StatusOK, HealthResult{
		Ready:            a.options.Ready == nil || a.options.Ready(),
		Configuration:    a.options.Configuration.Status(),
		Peers:            a.options.Peers.Health(ctx),
		ActiveSchedulers: a.options.Peers.ActiveSchedulers(ctx),
	}, nil
}
