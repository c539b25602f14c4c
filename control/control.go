package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/gang"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/lease"
	"github.com/redwingthread/redwingthread/scheduler"
)

// Control runs the scheduler of one failure domain. The goroutine of Run owns doc and all fields below it.
type Control struct {
	Options
	logger      zerolog.Logger
	instruments *instruments
	queries     chan query
	// stopped is closed when Run ends.
	stopped chan struct{}
	// activeEpoch is the epoch of the tenure; 0 for a standby.
	activeEpoch atomic.Uint64

	follower  *follower
	appender  *appender
	responses chan requestResult
	// requests counts the goroutines that are sending requests to workers.
	requests sync.WaitGroup

	doc           *config.Document
	lease         *lease.Core
	fold          *jobs.Fold
	workers       map[string]*worker
	tenure        *tenure
	nextLeaseStep time.Time
	// caughtUp is set once a read has reached the end of the job stream.
	caughtUp bool
	// caughtUpAt is the time of the last read that reached the end of the job stream.
	caughtUpAt time.Time
	// readFailed and appendFailed are set if the last read from the log or the last append to it failed.
	readFailed   bool
	appendFailed bool
	// lastSnapshotAt is the time at which this process last queued a snapshot, or the time of the start.
	lastSnapshotAt time.Time
	// conditions holds the conditions of the last plan, which have been logged.
	conditions conditions
}

// worker is the known state of one configured worker.
type worker struct {
	id      string
	address string
	// inFlight is set while a request is in flight. There is at most one, so that commands stay in order.
	inFlight bool
	// retryAt is the time before which no request is sent because the last one failed; zero if it succeeded.
	retryAt time.Time
	// leaseRequest is the lease request to send next; nil if there is none.
	leaseRequest *lease.Request
	// requestDue is set if there are commands or task renewals to send to the worker.
	requestDue bool

	// revision is the revision of the inventory in tasks; 0 makes the worker send its whole inventory. probeRevision is the
	// revision that a probe last returned.
	revision      uint64
	probeRevision uint64
	// incarnation, tasks and leaving are those of the last inventory. incarnation is empty before the first one; leaving is
	// set if the inventory says that the worker is leaving.
	incarnation string
	tasks       []infra.Task
	leaving     bool
	// claimEpoch is the epoch of the claim whose response brought the inventory; 0 for none.
	claimEpoch uint64
	// inventoryRead is set once the inventory was read in this tenure.
	inventoryRead bool
	// health is the health last reported to the planner.
	health scheduler.Health
	// lastResponseAt is the time at which the last response that granted the lease arrived. For a response to a claim that had
	// no majority yet, it is the time at which the claim was sent.
	lastResponseAt time.Time
	// lastExtendedAt is the time at which the last request that may start or extend a task lease was sent.
	lastExtendedAt time.Time
	// lastRenewedAt is the time at which the last confirmed renewal of task leases was sent, or the last confirmed request
	// while no gang was on the worker. Zero makes a renewal due at once.
	lastRenewedAt time.Time
	// orphanCommands holds the commands that stop or forget the tasks that belong to no gang.
	orphanCommands []infra.Command
	// unknownAttempts holds the attempts whose task leases are renewed although their job is not known yet.
	unknownAttempts []infra.AttemptID
}

// tenure is the state of the active scheduler. A new tenure starts with each takeover.
type tenure struct {
	epoch     uint64
	startedAt time.Time
	planner   scheduler.Planner
	// adopted is set once the running attempts were adopted and planning has started.
	adopted bool
	// unreadLeasesExpireAt is the time at which the leases of tasks on workers that were never read must have expired.
	unreadLeasesExpireAt time.Time
	// gangs holds the current attempt of each job by job id.
	gangs map[string]*gang.Gang
	// plannerAttempt holds the planner's number of the current attempt of each job by job id.
	plannerAttempt map[string]uint64
	// endPending holds the ids of the jobs whose ended record was queued but not read back yet.
	endPending map[string]bool
	// blocked holds the ids of the jobs that are not submitted to the planner yet, because they may still run on a worker whose
	// inventory was never read.
	blocked map[string]bool
	// released holds the ids of the jobs for which a release may have been sent in this tenure.
	released map[string]bool
	// queuedIntents holds, by job id, the attempt for which an intent was last queued.
	queuedIntents map[string]uint64
	// checkpoints holds, by job id, the checkpoint of each member of the jobs that were checkpointed and stopped in this
	// tenure.
	checkpoints map[string][]string
	// provisional holds, by job id, the placement that the planner was given of an adopted gang of which not all
	// members have been found. It has assumed workers for the others.
	provisional map[string]scheduler.Placement
	// unsettled holds, by job id, the gangs that need steps as time passes, or of which not all members have been found. The
	// others need a step only after an event.
	unsettled map[string]*gang.Gang
	// gangsByWorker holds the gangs on each worker in order of job id; nil after a change of placements.
	gangsByWorker map[string][]*gang.Gang
	// unreadResolved is set while no adopted gang and no job waits for workers whose inventory has not been read.
	unreadResolved bool
	// nextHealthCheck is the time of the next check of the health of all workers.
	nextHealthCheck time.Time
	// startSpans holds, by job id, the trace span of each attempt that is starting.
	startSpans map[string]startSpan
	// planDue is set if an event requires a plan. nextPlan is the time at which the planner needs one without an event; zero
	// if there is none.
	planDue  bool
	nextPlan time.Time
	// snapshotQueued is set once this tenure has queued a snapshot.
	snapshotQueued bool
}

// New returns a Control that Run starts. The error is of kind BadInput if a dependency is missing.
func New(options Options) (*Control, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	stream := infra.JobStream(options.FailureDomain)
	return &Control{
		Options:     options,
		logger:      options.Logger,
		instruments: newInstruments(options.Metrics),
		queries:     make(chan query),
		stopped:     make(chan struct{}),
		follower:    newFollower(options.Log, stream),
		appender:    newAppender(options.Log, stream),
		responses:   make(chan requestResult, 64),
		lease:       lease.New(options.Holder),
		fold:        jobs.NewFold(),
		workers:     map[string]*worker{},
	}, nil
}

// Active reports whether the scheduler is active, and the epoch of its tenure.
func (c *Control) Active() (active bool, epoch uint64) {
	epoch = c.activeEpoch.Load()
	return epoch > 0, epoch
}

// Run runs the scheduler until ctx ends, then relinquishes the lease and returns nil. It must be called at most once.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.stopped)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	background.Go(func() { c.follower.run(workCtx) })
	background.Go(func() { c.appender.run(workCtx) })
	c.lastSnapshotAt = time.Now()
	c.loop(ctx, workCtx)
	c.relinquishLease(workCtx)
	cancel()
	background.Wait()
	c.discardResponses()
	return nil
}

func (c *Control) loop(ctx, workCtx context.Context) {
	timer := time.NewTimer(c.step(workCtx, time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case result := <-c.follower.results:
			c.applyRead(result, time.Now())
		case r := <-c.responses:
			c.applyResponse(r, time.Now())
		case err := <-c.appender.results:
			c.applyAppend(err)
		case q := <-c.queries:
			q.reply <- c.handleQuery(q.request)
		case <-c.ConfigChanged:
		}
		timer.Reset(c.step(workCtx, time.Now()))
	}
}

// step does everything that is due and returns the duration after which it must be called again if there is no event before.
func (c *Control) step(ctx context.Context, now time.Time) time.Duration {
	c.instruments.updateCPU(now)
	c.applyConfig(now)
	c.stepLease(now)
	if c.tenure != nil {
		c.stepTenure(ctx, now)
	}
	c.sendAll(ctx, now)
	return c.untilNext(now)
}

// untilNext returns the duration until the next step that is due without an event, between 1 ms and maxIdle.
func (c *Control) untilNext(now time.Time) time.Duration {
	next := now.Add(maxIdle)
	considerTime := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	considerTime(c.nextLeaseStep)
	for _, w := range c.workers {
		if w.inFlight {
			continue
		}
		if w.requestDue || w.leaseRequest != nil {
			considerTime(w.retryAt)
		}
	}
	if t := c.tenure; t != nil {
		considerTime(t.nextPlan)
		for _, g := range t.unsettled {
			considerTime(g.Next())
			considerTime(g.RepeatAt())
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// applyConfig applies the configuration in force if it has changed.
func (c *Control) applyConfig(now time.Time) {
	doc := c.Config()
	if doc == nil || doc == c.doc {
		return
	}
	c.doc = doc
	var ids []string
	for id, configured := range doc.Workers {
		if configured.FailureDomain != c.FailureDomain {
			continue
		}
		ids = append(ids, id)
		w := c.workers[id]
		if w == nil {
			w = &worker{id: id, health: scheduler.HealthUnreachable}
			c.workers[id] = w
		}
		w.address = configured.Address
	}
	for id, w := range c.workers {
		if c.tenure == nil && !w.inFlight && !c.configured(id) {
			delete(c.workers, id)
		}
	}
	c.lease.SetWorkers(ids, now)
	c.nextLeaseStep = now
	if t := c.tenure; t != nil {
		t.planner.SetConfig(doc, now)
		t.planDue = true
	}
}

// configured reports whether the configuration has the worker in this failure domain.
func (c *Control) configured(id string) bool {
	if c.doc == nil {
		return false
	}
	w, ok := c.doc.Workers[id]
	return ok && w.FailureDomain == c.FailureDomain
}

// logAvailable reports whether the last read from and append to the log succeeded.
func (c *Control) logAvailable() bool { return !c.readFailed && !c.appendFailed }

// stepLease advances the lease and starts or ends the tenure.
func (c *Control) stepLease(now time.Time) {
	random := c.Random()
	if c.tenure != nil && now.Before(c.nextLeaseStep) && c.lease.Active(now) {
		return
	}
	leaseRequests, next := c.lease.Step(now, random)
	if !c.withoutLeaseCheck && c.tenure != nil && !c.lease.Active(now) {
		c.endTenure("lost the leases of a majority of workers")
	}
	for i := range leaseRequests {
		if w := c.workers[leaseRequests[i].Worker]; w != nil {
			w.leaseRequest = &leaseRequests[i]
		}
	}
	if c.tenure == nil && c.lease.Active(now) {
		c.startTenure(now)
	}
	c.nextLeaseStep = next
	if soonest := now.Add(minLeaseStep); c.tenure != nil && next.Before(soonest) {
		c.nextLeaseStep = soonest
	}
}

func (c *Control) startTenure(now time.Time) {
	c.tenure = &tenure{
		epoch:                c.lease.Epoch(),
		startedAt:            now,
		planner:              c.NewPlanner(c.FailureDomain),
		unreadLeasesExpireAt: now.Add(gang.TaskLease + expiryMargin),
		gangs:                map[string]*gang.Gang{},
		plannerAttempt:       map[string]uint64{},
		endPending:           map[string]bool{},
		blocked:              map[string]bool{},
		released:             map[string]bool{},
		queuedIntents:        map[string]uint64{},
		checkpoints:          map[string][]string{},
		provisional:          map[string]scheduler.Placement{},
		unsettled:            map[string]*gang.Gang{},
		startSpans:           map[string]startSpan{},
	}
	for _, w := range c.workers {
		// An inventory that came with this claim is current: from then on, the worker has rejected all older epochs.
		w.inventoryRead = w.claimEpoch == c.tenure.epoch
	}
	c.activeEpoch.Store(c.tenure.epoch)
	c.instruments.tenures.Inc(1)
	c.tenure.planner.SetConfig(c.doc, now)
	c.follower.requestRead()
	c.logger.Info().Uint64("epoch", c.tenure.epoch).Str("holder", c.Holder).Msg("scheduler active")
}

// endTenure discards all state that only the active scheduler may rely on, and all queued records. The next holder derives
// these records again from the inventories, since tasks are forgotten only after their ended record was read back.
func (c *Control) endTenure(reason string) {
	t := c.tenure
	c.tenure = nil
	c.activeEpoch.Store(0)
	c.appender.drop()
	for _, span := range t.startSpans {
		span.span.End()
	}
	for _, w := range c.workers {
		*w = worker{id: w.id, address: w.address, inFlight: w.inFlight, leaseRequest: w.leaseRequest,
			health: scheduler.HealthUnreachable}
	}
	c.logger.Info().Uint64("epoch", t.epoch).Str("reason", reason).Msg("scheduler standby")
}
