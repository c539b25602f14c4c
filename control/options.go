// Package control is the shell of the scheduler daemon. It holds the lease of a failure domain, follows its job stream,
// reads the workers' inventories, and drives a scheduler.Planner and the gangs that carry out its plans.
//
// One goroutine owns all state and makes all decisions; requests to workers, reads of the log and appends run on
// goroutines of their own that report back to it.
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

// Intervals and bounds of the shell.
const (
	// requestTimeout bounds one request to a worker.
	requestTimeout = time.Second
	// retryInterval is the wait after a failed request to a worker.
	retryInterval = 250 * time.Millisecond
	// taskRenewInterval is the time between renewals of task leases. A task survives if its worker is cut off for less
	// than the rest of its lease of 30 s. Renewing 757 tasks of a failure domain every 2 s would use the whole budget of
	// 25 KB/s.
	taskRenewInterval = 12 * time.Second
	// unreachableAfter is the silence after which nothing is placed on a worker and its task leases are not renewed.
	unreachableAfter = 6 * time.Second
	// lapseMargin is added to a task lease before its tasks count as gone: a request may be delivered after its sender
	// has given it up, and clocks differ in rate.
	lapseMargin = 5 * time.Second
	// readGrace is the time that workers have to answer the claim before planning starts without them. The leases of a
	// crashed holder lapse over 2 s, since it renewed some workers every 2 s and the others every 4 s.
	readGrace = 2*time.Second + 200*time.Millisecond
	// catchUpGrace is the time that the log has to give the job stream's tail before planning starts without it.
	catchUpGrace = 2 * time.Second
	// minLeaseStep bounds how often the active scheduler looks for due renewals, so that they are sent in batches.
	minLeaseStep = 50 * time.Millisecond
	// healthInterval is the time between checks for workers that fell silent.
	healthInterval = 250 * time.Millisecond
	// maxIdle bounds the time between two steps of the loop without an event.
	maxIdle = time.Second
	// giveUpTimeout bounds the requests that give the lease up on a stop.
	giveUpTimeout = 500 * time.Millisecond
)

// Options are the dependencies of a Control.
type Options struct {
	FailureDomain string
	VM            string
	// Holder names this incarnation towards workers; empty for a random name.
	Holder  string
	Log     infra.Log
	Workers infra.WorkerClient
	// Config returns the configuration in force, nil while there is none. The document is not changed by either side.
	Config func() *config.Document
	// ConfigChanged receives a value after each change; may be nil.
	ConfigChanged <-chan struct{}
	// NewPlanner makes the planner of one tenure, such as scheduler.New.
	NewPlanner func(failureDomain string) scheduler.Planner
	Logger     zerolog.Logger
	// Metrics receives the counters; nil for metrics.DefaultRegistry.
	Metrics metrics.Registry
	// SnapshotRecords is the number of records after which the active scheduler appends a snapshot; 0 for 1000. It must
	// be well below the number of records that the log retains.
	SnapshotRecords uint64
	// Random returns numbers in 0..1; nil for a random source.
	Random func() float64

	// The fields below switch mechanisms off to show that the tests notice.
	withoutIntentCheck bool
	withoutLapseWait   bool
	withoutLeaseCheck  bool
	withoutLossReports bool
}

// withDefaults fills in what is optional and refuses what is missing.
func (o Options) withDefaults() (Options, error) {
	if o.FailureDomain == "" || o.Log == nil || o.Workers == nil || o.Config == nil || o.NewPlanner == nil {
		return o, errkind.New(errkind.BadInput, "set FailureDomain, Log, Workers, Config and NewPlanner",
			"the scheduler shell lacks a dependency")
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

// query is a JobQuery on its way to the loop.
type query struct {
	request inner.JobQuery
	reply   chan inner.JobQueryResponse
}

// Handle answers a JobQuery of a peer. It is an inner.Handler.
func (c *Control) Handle(ctx context.Context, _ inner.Member, req *inner.Request) (*inner.Response, error) {
	if req.JobQuery == nil {
		return nil, errkind.New(errkind.BadInput, "send this message to the gateway",
			"the scheduler answers job queries only")
	}
	q := query{request: *req.JobQuery, reply: make(chan inner.JobQueryResponse, 1)}
	select {
	case c.queries <- q:
	case <-c.stopped:
		return nil, errkind.New(errkind.ShuttingDown, "ask the other scheduler of the failure domain",
			"the scheduler of %s stops", c.FailureDomain)
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "retry", "job query not answered in time")
	}
	select {
	case answer := <-q.reply:
		return &inner.Response{JobQuery: &answer}, nil
	case <-c.stopped:
		return nil, errkind.New(errkind.ShuttingDown, "ask the other scheduler of the failure domain",
			"the scheduler of %s stops", c.FailureDomain)
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.DeadlineExceeded, "retry", "job query not answered in time")
	}
}
