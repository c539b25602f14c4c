// Package operatorclient calls the operator HTTP API and the caller HTTP API of a gateway, and makes the patches of the
// operator command's verbs.
//
// Errors are typed (package errkind). A call that changes something gives an error of kind errkind.Unknown if its effect
// cannot be determined; its remedy names the command that settles it.
package operatorclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// maxResponseBytes bounds the responses that the client reads.
const maxResponseBytes = 64 << 20

// Client calls the operator API of one gateway.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the operator API at address (host:port). A call takes at most timeout.
func New(address, token string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address, token: token, http: newHTTPClient(timeout)}
}

// newHTTPClient returns a client that uses every connection once. The transport sends a request again by itself only
// on a connection that was used before, so no request is sent twice.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 64 << 10},
	}
}

// call sends one request and decodes the answer into result. The settle remedy is for errors after which the effect is
// unknown; it is empty for calls that change nothing.
func (c *Client) call(ctx context.Context, method, path string, query, body, result any, settle string) error {
	s := withMethod(sling.New().Base(c.base), method, path).Set("Authorization", "Bearer "+c.token)
	if query != nil {
		s = s.QueryStruct(query)
	}
	if body != nil {
		s = s.BodyJSON(body)
	}
	request, err := s.Request()
	if err != nil {
		return errkind.Wrap(err, errkind.BadInput, "check -addr and the arguments", "request %s %s", method, path)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return transportError(err, settle, "%s %s", method, c.base+path)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(err, settle, "response to %s %s", method, c.base+path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, raw)
	}
	err = json.Unmarshal(raw, result)
	return errkind.Wrap(err, errkind.Internal, "check that -addr is the operator address of a gateway",
		"response to %s %s", method, c.base+path)
}

func withMethod(s *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodPost:
		return s.Post(path)
	case http.MethodDelete:
		return s.Delete(path)
	}
	return s.Get(path)
}

// transportError types an error without a response. Before the connection was open nothing was sent.
func transportError(err error, settle, format string, args ...any) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(err, errkind.Unavailable, "check -addr or use another gateway", format, args...)
	}
	if settle == "" {
		return errkind.Wrap(err, errkind.Unavailable, "retry, or use another gateway", format, args...)
	}
	return errkind.Wrap(err, errkind.Unknown, settle, format, args...)
}

// errorBody is an error answer: a typed error, or a decision that holds one.
type errorBody struct {
	errkind.Error
	Nested *errkind.Error `json:"error"`
}

// responseError returns the typed error of an error answer.
func responseError(status int, raw []byte) error {
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	if body.Kind == "" && body.Nested != nil {
		body.Error = *body.Nested
	}
	if body.Kind == "" {
		return errkind.New(errkind.Internal, "check that -addr is the operator address of a gateway",
			"answer with status %d and no typed error", status)
	}
	return errkind.New(body.Kind, body.Remedy, "%s", body.Message)
}

// settleRemedy names the command that settles a patch.
func settleRemedy(id string) string {
	return "the patch may be in force; run redwingctl config settle " + id
}

// Init makes version 0 from a document.
func (c *Client) Init(ctx context.Context, document json.RawMessage) (Decision, error) {
	var d Decision
	err := c.call(ctx, http.MethodPost, "/v1/config/init", nil, document, &d,
		"the configuration may be initialised; run redwingctl config status")
	return d, err
}

// Plan returns what a patch would change.
func (c *Client) Plan(ctx context.Context, patch Patch) (PlanResult, error) {
	var r PlanResult
	err := c.call(ctx, http.MethodPost, "/v1/config/plan", nil, patch, &r, "")
	return r, err
}

// Submit submits a patch. The error is that of the decision unless the patch was accepted.
func (c *Client) Submit(ctx context.Context, patch Patch) (Decision, error) {
	var d Decision
	err := c.call(ctx, http.MethodPost, "/v1/config/patches", nil, patch, &d, settleRemedy(patch.ID))
	return d, err
}

// Settle reads the decision about a patch back from the log.
func (c *Client) Settle(ctx context.Context, id string) (Decision, error) {
	var d Decision
	err := c.call(ctx, http.MethodGet, "/v1/config/patches/"+url.PathEscape(id), nil, nil, &d, "")
	return d, err
}

// withdrawal is the body of a withdraw call.
type withdrawal struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Withdraw rules a patch out unless it was decided before.
func (c *Client) Withdraw(ctx context.Context, id, author, reason string) (Decision, error) {
	var d Decision
	err := c.call(ctx, http.MethodPost, "/v1/config/patches/"+url.PathEscape(id)+"/withdraw", nil,
		withdrawal{author, reason}, &d, settleRemedy(id))
	return d, err
}

// versionQuery and the other query types are the query parameters of calls.
type versionQuery struct {
	Version string `url:"version,omitempty"`
}

type logQuery struct {
	From uint64 `url:"from"`
	To   string `url:"to,omitempty"`
}

type jobsQuery struct {
	Account string     `url:"account,omitempty"`
	State   jobs.State `url:"state,omitempty"`
}

// versionText is a version as a query parameter; nil stands for the one in force.
func versionText(version *uint64) string {
	if version == nil {
		return ""
	}
	return strconv.FormatUint(*version, 10)
}

// Document returns the configuration at a version; nil stands for the one in force.
func (c *Client) Document(ctx context.Context, version *uint64) (*Document, error) {
	var d Document
	if err := c.call(ctx, http.MethodGet, "/v1/config", versionQuery{versionText(version)}, nil, &d, ""); err != nil {
		return nil, err
	}
	return &d, nil
}

// Log returns the decisions that made the versions from and to and those between; a nil to stands for the version in
// force.
func (c *Client) Log(ctx context.Context, from uint64, to *uint64) ([]LogEntry, error) {
	var entries []LogEntry
	err := c.call(ctx, http.MethodGet, "/v1/config/log", logQuery{from, versionText(to)}, nil, &entries, "")
	return entries, err
}

// Status returns the version in force per entry VM.
func (c *Client) Status(ctx context.Context) (ConfigStatus, error) {
	var s ConfigStatus
	err := c.call(ctx, http.MethodGet, "/v1/config/status", nil, nil, &s, "")
	return s, err
}

// Health returns the health of the gateway and what it sees of the others.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	err := c.call(ctx, http.MethodGet, "/v1/health", nil, nil, &h, "")
	return h, err
}

// SubmitJob submits a job. The job needs an id, so that a second submission is recognised.
func (c *Client) SubmitJob(ctx context.Context, job jobs.Job) (JobOutcome, error) {
	var o JobOutcome
	err := c.call(ctx, http.MethodPost, "/v1/jobs", nil, job, &o,
		"the job may be accepted; run redwingctl job show "+job.ID+" or submit it again with the same id")
	return o, err
}

// Jobs returns the jobs of an account in a state; an empty argument stands for all.
func (c *Client) Jobs(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error) {
	var list []jobs.Status
	err := c.call(ctx, http.MethodGet, "/v1/jobs", jobsQuery{account, state}, nil, &list, "")
	return list, err
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (jobs.Status, error) {
	var s jobs.Status
	err := c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &s, "")
	return s, err
}

// WhyJob tells what a job waits for.
func (c *Client) WhyJob(ctx context.Context, id string) (Why, error) {
	var w Why
	err := c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/why", nil, nil, &w, "")
	return w, err
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id string) (JobOutcome, error) {
	var o JobOutcome
	err := c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &o,
		"the job may be cancelled; run redwingctl job show "+id)
	return o, err
}
