// Package operatorapi serves the operator HTTP API of docs/design.md, section 12.
//
// Operators may call every path. A client account's token may use the job paths for the account's own jobs. Before
// version 0 exists, a bootstrap token from the settings may initialise the configuration and read the status.
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

// Configuration is the configuration as the API uses it; *configlog.Follower implements it.
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

// Jobs submits and shows jobs. Its errors are typed; an error of kind errkind.Unknown means that the change may have
// taken effect.
type Jobs interface {
	// Submit accepts a job; a job without a failure domain is given one.
	Submit(ctx context.Context, job jobs.Job) (jobs.Status, error)
	Cancel(ctx context.Context, id string) (jobs.Status, error)
	Get(ctx context.Context, id string) (jobs.Status, error)
	// List returns the jobs of an account in a state; an empty argument stands for all.
	List(ctx context.Context, account string, state jobs.State) ([]jobs.Status, error)
}

// VMStatus is the configuration in force on one entry VM.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// Known is false if the VM's state cannot be seen; Version is then meaningless and shown as "unknown".
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// PeerHealth is a peer as this process sees it.
type PeerHealth struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
}

// Peers shows the state of the other processes.
type Peers interface {
	// ConfigStatus returns one entry for each entry VM, this one included.
	ConfigStatus(ctx context.Context) []VMStatus
	Health(ctx context.Context) []PeerHealth
	// ActiveSchedulers returns the VM of the active scheduler of each failure domain where it is known.
	ActiveSchedulers(ctx context.Context) map[string]string
}

// Settings are the collaborators and bounds of the API. Zero bounds get defaults.
type Settings struct {
	Configuration Configuration
	Jobs          Jobs
	Peers         Peers
	Logger        zerolog.Logger
	// BootstrapTokenDigest admits one more operator token until version 0 exists; empty for none.
	BootstrapTokenDigest string
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64
	// Timeout bounds one request, so that a decision that cannot be read back is reported as unknown.
	Timeout time.Duration
	// MaxConcurrent bounds the requests handled at once; others are refused as overloaded.
	MaxConcurrent int64
	// Ready reports whether the daemon takes requests; nil for always.
	Ready func() bool
}

// Defaults of Settings. The body limit admits a document of the planned size.
const (
	defaultMaxBodyBytes = 4 << 20
	defaultTimeout      = 10 * time.Second
	// defaultMaxConcurrent bounds the memory of requests to 64 bodies of the largest size.
	defaultMaxConcurrent = 64
)

// API is the http.Handler of the operator API.
type API struct {
	settings Settings
	mux      *http.ServeMux
	slots    *semaphore.Weighted
}

// New returns the API.
func New(settings Settings) *API {
	if settings.MaxBodyBytes == 0 {
		settings.MaxBodyBytes = defaultMaxBodyBytes
	}
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.MaxConcurrent == 0 {
		settings.MaxConcurrent = defaultMaxConcurrent
	}
	a := &API{settings: settings, mux: http.NewServeMux(), slots: semaphore.NewWeighted(settings.MaxConcurrent)}
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
