package operatorapi

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/jobs"
)

// maxAnswerBytes bounds an answer; a log of the whole history stays below.
const maxAnswerBytes = 32 << 20

// Client calls the operator API of one gateway. Its errors are typed; one of kind errkind.Unknown means that a change may
// have taken effect.
type Client struct {
	sling *sling.Sling
	http  *http.Client
}

// NewClient returns a client of the API at baseURL, for example "http://10.0.0.1:8081", with a bearer token.
func NewClient(baseURL, token string) (*Client, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return nil, errkind.New(errkind.BadInput, "give a URL like http://10.0.0.1:8081", "operator API has unusable URL %q", baseURL)
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	// The server answers within its own limit, after which a decision is unknown.
	client := &http.Client{Transport: transport, Timeout: 2 * defaultTimeout}
	base := sling.New().Base(strings.TrimSuffix(baseURL, "/")+"/v1/").Set("Authorization", "Bearer "+token)
	return &Client{sling: base, http: client}, nil
}

// Init initialises the configuration with a document.
func (c *Client) Init(ctx context.Context, document json.RawMessage) (DecisionResult, error) {
	return c.decide(ctx, c.sling.New().Post("config/init").BodyJSON(document))
}

// Plan returns the changes that a patch would make.
func (c *Client) Plan(ctx context.Context, patch config.Patch) (PlanResult, error) {
	return call[PlanResult](ctx, c, c.sling.New().Post("config/plan").BodyJSON(patch))
}

// Submit submits a patch. The decision is also returned if it is not an acceptance, beside the error.
func (c *Client) Submit(ctx context.Context, patch config.Patch) (DecisionResult, error) {
	return c.decide(ctx, c.sling.New().Post("config/patches").BodyJSON(patch))
}

// Settle reads the decision about a patch back. A refusal is no error here.
func (c *Client) Settle(ctx context.Context, id string) (DecisionResult, error) {
	return c.decide(ctx, c.sling.New().Get("config/patches/"+url.PathEscape(id)))
}

// Withdraw rules out that a patch takes effect later and returns the decision about it.
func (c *Client) Withdraw(ctx context.Context, id string, body WithdrawRequest) (DecisionResult, error) {
	return c.decide(ctx, c.sling.New().Post("config/patches/"+url.PathEscape(id)+"/withdraw").BodyJSON(body))
}

// versionQuery selects versions; absent ones are left to the server.
type versionQuery struct {
	Version *uint64 `url:"version,omitempty"`
	From    *uint64 `url:"from,omitempty"`
	To      *uint64 `url:"to,omitempty"`
}

// Document returns a version of the configuration, the one in force if version is nil.
func (c *Client) Document(ctx context.Context, version *uint64) (*config.Document, error) {
	return call[*config.Document](ctx, c, c.sling.New().Get("config").QueryStruct(versionQuery{Version: version}))
}

// Log returns the decisions of the versions from and to, both included; nil stands for the first and the last.
func (c *Client) Log(ctx context.Context, from, to *uint64) ([]LogEntry, error) {
	return call[[]LogEntry](ctx, c, c.sling.New().Get("config/log").QueryStruct(versionQuery{From: from, To: to}))
}

// Status returns the version in force on each entry VM.
func (c *Client) Status(ctx context.Context) (StatusResult, error) {
	return call[StatusResult](ctx, c, c.sling.New().Get("config/status"))
}

// Health returns the health of the gateway and what it sees of the others.
func (c *Client) Health(ctx context.Context) (HealthResult, error) {
	return call[HealthResult](ctx, c, c.sling.New().Get("health"))
}

// SubmitJob submits a job; an empty failure domain is chosen by the gateway.
func (c *Client) SubmitJob(ctx context.Context, job jobs.Job) (JobResult, error) {
	return call[JobResult](ctx, c, c.sling.New().Post("jobs").BodyJSON(job))
}

// jobQuery selects jobs; an empty field selects all.
type jobQuery struct {
	Account string     `url:"account,omitempty"`
	State   jobs.State `url:"state,omitempty"`
}

// Jobs returns the jobs of an account in a state; an empty argument stands for all.
func (c *Client) Jobs(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error) {
	return call[[]jobs.Status](ctx, c, c.sling.New().Get("jobs").QueryStruct(jobQuery{account, state}))
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (jobs.Status, error) {
	return call[jobs.Status](ctx, c, c.sling.New().Get("jobs/"+url.PathEscape(id)))
}

// Why returns one line that says what a job waits for.
func (c *Client) Why(ctx context.Context, id string) (WhyResult, error) {
	return call[WhyResult](ctx, c, c.sling.New().Get("jobs/"+url.PathEscape(id)+"/why"))
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id string) (JobResult, error) {
	return call[JobResult](ctx, c, c.sling.New().Delete("jobs/"+url.PathEscape(id)))
}

// decide is call for decisions, which are in the body of an error answer, too.
func (c *Client) decide(ctx context.Context, request *sling.Sling) (DecisionResult, error) {
	return call[DecisionResult](ctx, c, request)
}

// call sends a request once and decodes its answer. An error answer gives its typed error and, as far as the body has its
// fields, the result. Without an answer to anything but a GET the outcome is unknown.
func call[T any](ctx context.Context, c *Client, request *sling.Sling) (T, error) {
	var result T
	req, err := request.Request()
	if err != nil {
		return result, errkind.Wrap(err, errkind.BadInput, "correct the request", "request cannot be built")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return result, noAnswer(req, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result, noAnswer(req, err)
	}
	err = json.Unmarshal(raw, &result)
	if resp.StatusCode/100 != 2 {
		return result, answeredError(resp.StatusCode, raw)
	}
	return result, errkind.Wrap(err, errkind.Internal, "check that the URL is that of a gateway's operator address", "answer cannot be read")
}

func noAnswer(req *http.Request, err error) error {
	kind := errkind.Unknown
	if req.Method == http.MethodGet {
		kind = errkind.Unavailable
	}
	return errkind.Wrap(err, kind, "try another gateway; a repeat with the same id changes nothing twice",
		"operator API at %s does not answer", req.URL.Host)
}

func answeredError(status int, raw []byte) error {
	var typed errkind.Error
	if err := json.Unmarshal(raw, &typed); err != nil || typed.Kind == "" {
		return errkind.New(errkind.Internal, "check that the URL is that of a gateway's operator address", "answer has status %d and no error", status)
	}
	return errkind.New(typed.Kind, typed.Remedy, "%s", typed.Message)
}
