// Package control connects the scheduler of a failure domain to its workers and its log. It holds the lease of the failure
// domain, follows the job stream, reads the inventories of workers, and drives a scheduler.Planner and the gangs that carry
// out its plans.
//
// One goroutine owns all state and makes all decisions. Requests to workers, reads from the log and appends to it run on
// other goroutines, which pass their results to that one.
package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/scheduler"
)

// Intervals and bounds of a Control.
const (
	// requestTimeout bounds one request to a worker.
	requestTimeout = time.Second
	// retryInterval is the delay before the next request to a worker after a failed one.
	retryInterval = 250 * time.Millisecond
	// taskRenewInterval is the time between renewals of task leases. A task survives a partition of its worker that is
	// shorter than the remainder of its task lease of 30 s. Renewing all tasks of a failure domain of the planned size (757)
	// every 2 s would use the whole budget of 25 KB/s.
	taskRenewInterval = 12 * time.Second
	// unreachableAfter is the time since the last response after which nothing is placed on a worker and its task leases are
	// no longer renewed.
	unreachableAfter = 6 * time.Second
	// expiryMargin is added to the length of a task lease before the task counts as gone, since a request may be delivered
	// after its sender timed out, and since clocks run at different rates.
	expiryMargin = 5 * time.Second
	// readGrace is the time that workers have to respond to the claim before planning starts without them. The leases of a
	// crashed holder expire over a period of 2 s, since it renewed some workers every 2 s and the others every 4 s.
	readGrace = 2*time.Second + 200*time.Millisecond
	// catchUpGrace is the time allowed for reading the job stream to its end before planning starts without it.
	catchUpGrace = 2 * time.Second
	// minLeaseStep is the minimum time between the lease steps of an active scheduler, so that renewals that are due shortly
	// after one another are sent together.
	minLeaseStep = 50 * time.Millisecond
	// healthInterval is the time between checks for workers that stopped responding.
	healthInterval = 250 * time.Millisecond
	// maxIdle is the maximum time between two steps of the loop.
	maxIdle = time.Second
	// relinquishTimeout bounds the requests that relinquish the lease on shutdown.
	relinquishTimeout = 500 * time.Millisecond
)

// Options are the dependencies of a Control.
type Options struct {
	FailureDomain string
	VM            string
	// Holder is the name under which workers grant the lease. It must differ between incarnations; empty for a random name.
	Holder  string
	Log     infra.Log
	Workers infra.WorkerClient
	// Config returns the configuration in force, nil while there is none. The document must not be modified.
	Config func() *config.Document
	// ConfigChanged receives a value after each change; may be nil.
	ConfigChanged <-chan struct{}
	// NewPlanner returns the planner for a new tenure, such as scheduler.New.
	NewPlanner func(failureDomain string) scheduler.Planner
	Logger     zerolog.Logger
	// Metrics is the registry for the metrics; nil for metrics.DefaultRegistry.
	Metrics metrics.Registry
	// SnapshotRecords is the number of records after which the active scheduler appends a snapshot; 0 for 1000. It must
	// be well below the number of records that the log retains.
	SnapshotRecords uint64
	// Random returns a random number in 0..1; nil for rand.Float64.
	Random func() float64

	// The fields below disable one mechanism each. Tests set them to verify that their checks detect its absence.
	withoutIntentCheck bool
	withoutExpiryWait  bool
	withoutLeaseCheck  bool
	withoutLossReports bool
}

// withDefaults returns the options with defaults for optional fields. The error is of kind BadInput if a required field is
// missing.
func (o Options) withDefaults() (Options, error) {
	if o.FailureDomain == "" || o.Log == nil || o.Workers == nil || o.Config == nil || o.NewPlanner == nil {
		return o, errkind.New(errkind.BadInput, "set FailureDomain, Log, Workers, Config and NewPlanner",
			"the scheduler options lack a required dependency")
	}
	if o.Holder == "" {
		o.Holder = o.VM + "/" + uuid.NewString()[:8]
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	if o.SnapshotRecords == 0 {
		o.SnapshotRecords = snapshotRecords
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o, nil
}

// query is a JobQuery that Handle passes to the loop.
type query struct {
	request inner.JobQuery
	// reply has a buffer of one, so that the loop never blocks on a request that has timed out.
	reply chan inner.JobQueryResponse
}

// Handle responds to a JobQuery from a peer. It is an inner.Handler. The error is of kind BadInput for other requests,
// ShuttingDown once Run has ended, and DeadlineExceeded if ctx ends before the response.
func (c *Control) Handle(ctx context.Context, _ inner.Member, req *inner.Request) (*inner.Response, error) {
	if req.JobQuery == nil {
		return nil, errkind.New(errkind.BadInput, "send this request to the gateway",
			"the scheduler supports only job queries")
	}
	q := query{request: *req.JobQuery, reply: make(chan inner.JobQueryResponse, 1)}
	select {
	case c.queries <- q:
	case <-c.stopped:
		return nil, errkind.New(errkind.ShuttingDown, "ask the other scheduler of the failure domain",
			"the scheduler of failure domain %s is shutting down", c.FailureDomain)
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "retry", "no response to the job query in time")
	}
	select {
	case response := <-q.reply:
		return &inner.Response{JobQuery: &response}, nil
	case <-c.stopped:
		return nil, errkind.New(errkind.ShuttingDown, "ask the other scheduler of the failure domain",
			"the scheduler of failure domain %s is shutting down", c.FailureDomain)
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "retry", "no response to the job query in time")
	}
}
