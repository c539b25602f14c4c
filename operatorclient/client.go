// Package operatorclient provides clients of the operator HTTP API and the caller HTTP API of a gateway. It also builds
// the configuration patches for the commands of redwingctl.
//
// Errors are typed (package errkind). If it cannot be determined whether a change took effect, the error has kind
// errkind.Unknown and its remedy names the command that shows whether it did.
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

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// Client is a client of the operator API of one gateway.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the operator API at address (host:port). Each request is limited to timeout.
func New(address, token string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address, token: token, http: newHTTPClient(timeout)}
}

// newHTTPClient returns a client that uses each connection for one request only. http.Transport retries a request by
// itself only if it was sent on a reused connection, so no request is sent twice.
func newHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 64 << 10},
	}
}

// do sends one request and decodes the response body into result. query and body are nil if the request has none.
// unknownRemedy is the remedy of an error that leaves the effect of the request unknown; it is empty for requests that
// change nothing.
func (c *Client) do(ctx context.Context, method, path string, query, body, result any, unknownRemedy string) error {
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
		return transportError(err, unknownRemedy, "%s %s", method, c.base+path)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(err, unknownRemedy, "response to %s %s", method, c.base+path)
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

// transportError returns the typed error of a request that got no complete response. Its kind is Unavailable if the
// connection could not be opened, because nothing was sent then, or if unknownRemedy is empty, which means that the
// request changes nothing. Otherwise it is Unknown.
func transportError(err error, unknownRemedy, format string, args ...any) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(err, errkind.Unavailable, "check -addr or use another gateway", format, args...)
	}
	if unknownRemedy == "" {
		return errkind.Wrap(err, errkind.Unavailable, "retry, or use another gateway", format, args...)
	}
	return errkind.Wrap(err, errkind.Unknown, unknownRemedy, format, args...)
}

// errorBody is the body of an error response: a typed error, or a decision that contains one.
type errorBody struct {
	errkind.Error
	Nested *errkind.Error `json:"error"`
}

// responseError returns the typed error in the body of an error response, or an error of kind errkind.Internal if it
// contains none.
func responseError(status int, raw []byte) error {
	var body errorBody
	_ = json.Unmarshal(raw, &body)
	if body.Kind == "" && body.Nested != nil {
		body.Error = *body.Nested
	}
	if body.Kind == "" {
		return errkind.New(errkind.Internal, "check that -addr is the operator address of a gateway",
			"response with status %d has no typed error", status)
	}
	return errkind.New(body.Kind, body.Remedy, "%s", body.Message)
}

// settleRemedy returns the remedy that names the command that looks up the decision about a patch.
func settleRemedy(id string) string {
	return "the patch may be in force; run redwingctl config settle " + id
}

// Init submits a document as version 0 of the configuration and returns the decision about it. Unless it was accepted,
// it returns an error.
func (c *Client) Init(ctx context.Context, document json.RawMessage) (Decision, error) {
	var d Decision
	err := c.do(ctx, http.MethodPost, "/v1/config/init", nil, document, &d,
		"the configuration may be initialised; run redwingctl config status")
	return d, err
}

// Plan returns what a patch would change, without submitting it.
func (c *Client) Plan(ctx context.Context, patch Patch) (PlanResult, error) {
	var r PlanResult
	err := c.do(ctx, http.MethodPost, "/v1/config/plan", nil, patch, &r, "")
	return r, err
}

// Submit submits a patch and returns the decision about it. Unless the patch was accepted, it returns the error of the
// decision.
func (c *Client) Submit(ctx context.Context, patch Patch) (Decision, error) {
	var d Decision
	err := c.do(ctx, http.MethodPost, "/v1/config/patches", nil, patch, &d, settleRemedy(patch.ID))
	return d, err
}

// Settle looks up the decision about a patch in the configuration log. A refused patch is no error. If there is no
// decision yet, the error has kind errkind.Unknown.
func (c *Client) Settle(ctx context.Context, id string) (Decision, error) {
	var d Decision
	err := c.do(ctx, http.MethodGet, "/v1/config/patches/"+url.PathEscape(id), nil, nil, &d, "")
	return d, err
}

// withdrawRequest is the body of a withdraw request.
type withdrawRequest struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Withdraw prevents an undecided patch from taking effect and returns the decision about it. A patch that was decided
// before keeps its decision. If the decision cannot be read, the error has kind errkind.Unknown.
func (c *Client) Withdraw(ctx context.Context, id, author, reason string) (Decision, error) {
	var d Decision
	err := c.do(ctx, http.MethodPost, "/v1/config/patches/"+url.PathEscape(id)+"/withdraw", nil,
		withdrawRequest{author, reason}, &d, settleRemedy(id))
	return d, err
}

// versionQuery, logQuery and jobsQuery hold the query parameters of requests.
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

// versionParam formats a version as a query parameter. The result for nil, the version in force, is empty.
func versionParam(version *uint64) string {
	if version == nil {
		return ""
	}
	return strconv.FormatUint(*version, 10)
}

// Document returns the configuration at a version. A nil version stands for the one in force.
func (c *Client) Document(ctx context.Context, version *uint64) (*Document, error) {
	var d Document
	if err := c.do(ctx, http.MethodGet, "/v1/config", versionQuery{versionParam(version)}, nil, &d, ""); err != nil {
		return nil, err
	}
	return &d, nil
}

// Log returns the decisions of the versions from..to, both included. A nil to stands for the version in force.
func (c *Client) Log(ctx context.Context, from uint64, to *uint64) ([]LogEntry, error) {
	var entries []LogEntry
	err := c.do(ctx, http.MethodGet, "/v1/config/log", logQuery{from, versionParam(to)}, nil, &entries, "")
	return entries, err
}

// Status returns the configuration version in force on each entry VM.
func (c *Client) Status(ctx context.Context) (ConfigStatus, error) {
	var s ConfigStatus
	err := c.do(ctx, http.MethodGet, "/v1/config/status", nil, nil, &s, "")
	return s, err
}

// Health returns the health of the gateway and of its peers as the gateway observes them.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var h Health
	err := c.do(ctx, http.MethodGet, "/v1/health", nil, nil, &h, "")
	return h, err
}

// SubmitJob submits a job. The job must have an id, so that a repeated submission is recognised as the same job.
func (c *Client) SubmitJob(ctx context.Context, job jobs.Job) (JobOutcome, error) {
	var r JobOutcome
	err := c.do(ctx, http.MethodPost, "/v1/jobs", nil, job, &r,
		"the job may be accepted; run redwingctl job show "+job.ID+" or submit it again with the same id")
	return r, err
}

// Jobs returns the jobs of an account that are in a state. An empty argument matches all.
func (c *Client) Jobs(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error) {
	var list []jobs.Status
	err := c.do(ctx, http.MethodGet, "/v1/jobs", jobsQuery{account, state}, nil, &list, "")
	return list, err
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (jobs.Status, error) {
	var s jobs.Status
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &s, "")
	return s, err
}

// WhyJob returns the reason for the state of a job, such as what it waits for.
func (c *Client) WhyJob(ctx context.Context, id string) (Why, error) {
	var w Why
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/why", nil, nil, &w, "")
	return w, err
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id string) (JobOutcome, error) {
	var r JobOutcome
	err := c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &r,
		"the job may be cancelled; run redwingctl job show "+id)
	return r, err
}
