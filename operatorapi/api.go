// Package operatorapi serves the operator HTTP API described in docs/design.md, section 12.
//
// Operator tokens may use every path. The token of a client account may use the job paths, for the account's own jobs
// only. Before version 0 of the configuration exists, the bootstrap token from the settings may initialise the
// configuration, look up or withdraw patches, and read the status of the configuration and the health.
//
// An entry VM is a VM that runs a gateway and a scheduler.
package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/jobs"
)

// Configuration reads and changes the configuration. It is implemented by *configlog.Follower.
type Configuration interface {
	Document() *config.Document
	State() *configlog.State
	Status() configlog.Status
	Plan(patch config.Patch) (before, after *config.Document, err error)
	Submit(ctx context.Context, patch config.Patch) configlog.Decision
	Initialise(ctx context.Context, init configlog.Initialise) configlog.Decision
	Settle(ctx context.Context, id string) configlog.Decision
	Withdraw(ctx context.Context, id, author, reason string) configlog.Decision
}

// Jobs submits, cancels and reads jobs. Its errors are typed (package errkind); an error of kind errkind.Unknown means
// that the change may have taken effect.
type Jobs interface {
	// Submit accepts a job. It chooses a failure domain for a job that names none. A repeated submission of the same job
	// returns its current status.
	Submit(ctx context.Context, job jobs.Job) (jobs.Status, error)
	Cancel(ctx context.Context, id string) (jobs.Status, error)
	// Get returns an error of kind errkind.NotFound if there is no job with the id.
	Get(ctx context.Context, id string) (jobs.Status, error)
	// List returns the jobs of an account that are in a state. An empty argument matches all.
	List(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error)
}

// VMStatus is the configuration in force on one entry VM.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// Known is false if the VM's state cannot be read. Version is then meaningless and is reported as "unknown".
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// PeerHealth is the health of a peer as observed by this process.
type PeerHealth struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Reachable     bool   `json:"reachable"`
	// Ready and Leaving are what the peer last reported about itself. The platform's VM list can also set Leaving.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
}

// Peers reports the state of the other processes of the deployment.
type Peers interface {
	// ConfigStatus returns one entry for each entry VM, this one included.
	ConfigStatus(ctx context.Context) []VMStatus
	Health(ctx context.Context) []PeerHealth
	// ActiveSchedulers maps each failure domain whose active scheduler is known to the VM of that scheduler.
	ActiveSchedulers(ctx context.Context) map[string]string
}

// Options holds the dependencies and limits of an API. A limit of zero selects the default.
type Options struct {
	Configuration Configuration
	Jobs          Jobs
	Peers         Peers
	Logger        zerolog.Logger
	// BootstrapTokenDigest is the digest of an operator token that is valid until version 0 exists; empty for none.
	BootstrapTokenDigest string
	// MaxBodyBytes limits the size of a request body, in bytes.
	MaxBodyBytes int64
	// Timeout limits the handling of one request, so that a decision that cannot be read back in time is reported as
	// unknown.
	Timeout time.Duration
	// MaxConcurrent limits the number of requests handled at once. Further requests are rejected as overloaded.
	MaxConcurrent int64
	// Ready reports whether the daemon accepts requests; nil means always.
	Ready func() bool
}

// Defaults of Options. The body limit is large enough for a configuration document of the planned size.
const (
	defaultMaxBodyBytes = 4 << 20
	defaultTimeout      = 10 * time.Second
	// defaultMaxConcurrent limits the memory for request bodies to 64 times defaultMaxBodyBytes.
	defaultMaxConcurrent = 64
)

// API is the http.Handler of the operator API.
type API struct {
	options Options
	mux     *http.ServeMux
	slots   *semaphore.Weighted
}

// New returns an API with the given options.
func New(options Options) *API {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = defaultMaxBodyBytes
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.MaxConcurrent == 0 {
		options.MaxConcurrent = defaultMaxConcurrent
	}
	a := &API{options: options, mux: http.NewServeMux(), slots: semaphore.NewWeighted(options.MaxConcurrent)}
	a.routes()
	return a
}

func (a *API) routes() {
	a.handle("POST /v1/config/init", scopeBootstrap, a.initialise)
	a.handle("POST /v1/config/plan", scopeOperator, a.plan)
	a.handle("POST /v1/config/patches", scopeOperator, a.submit)
	a.handle("GET /v1/config/patches/{id}", scopeBootstrap, a.settle)
	a.handle("POST /v1/config/patches/{id}/withdraw", scopeBootstrap, a.withdraw)
	a.handle("GET /v1/config", scopeOperator, a.document)
	a.handle("GET /v1/config/log", scopeOperator, a.log)
	a.handle("GET /v1/config/status", scopeBootstrap, a.status)
	a.handle("GET /v1/health", scopeBootstrap, a.health)
	a.handle("POST /v1/jobs", scopeAccount, a.submitJob)
	a.handle("GET /v1/jobs", scopeAccount, a.listJobs)
	a.handle("GET /v1/jobs/{id}", scopeAccount, a.getJob)
	a.handle("GET /v1/jobs/{id}/why", scopeAccount, a.whyJob)
	a.handle("DELETE /v1/jobs/{id}", scopeAccount, a.cancelJob)
	a.mux.HandleFunc("/", a.notFound)
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }
