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

// Control is the scheduler shell of one failure domain. All fields below the channels belong to the goroutine of Run.
type Control struct {
	Options
	log     zerolog.Logger
	cost    *cost
	queries chan query
	// stopped is closed when Run ends.
	stopped chan struct{}
	// state holds the epoch of the tenure, 0 for a standby.
	state atomic.Uint64

	follower  *follower
	appender  *appender
	responses chan response
	// requests counts the request goroutines.
	requests sync.WaitGroup

	doc      *config.Document
	lease    *lease.Core
	fold     *jobs.Fold
	workers  map[string]*worker
	tenure   *tenure
	leaseDue time.Time
	// readTail is true once the job stream was read up to its end.
	readTail bool
	// tailAt is the time of the last read that reached the end of the stream.
	tailAt time.Time
	// readFailed and appendFailed hold the health of the log as last seen.
	readFailed   bool
	appendFailed bool
	// snapshotAt is the time of the last own snapshot, or of the start.
	snapshotAt time.Time
	// conditions are those last logged.
	conditions conditions
}

// worker is what is known about one configured worker.
type worker struct {
	id      string
	address string
	// outstanding is set while a request is under way; there is at most one, so that commands stay in order.
	outstanding bool
	retryAt     time.Time
	// leaseSend is the lease request to make next; nil if there is none.
	leaseSend *lease.Request
	// wanted is set if a gang or stray task has commands for the worker.
	wanted bool

	// revision is that of the inventory in tasks; probeRevision is the one last seen by a standby's probe.
	revision      uint64
	probeRevision uint64
	incarnation   string
	tasks         []infra.Task
	leaving       bool
	// claimEpoch is that of the claim whose answer brought the inventory; 0 for none.
	claimEpoch uint64
	// read is set once the inventory was read in this tenure.
	read bool
	// health is what the planner was told.
	health scheduler.Health
	// answeredAt is the time of the last granted answer.
	answeredAt time.Time
	// touchedAt is the time at which the last request that can extend a task's life was sent.
	touchedAt time.Time
	// renewedAt is the time of the last confirmed renewal of task leases.
	renewedAt time.Time
	// strays are the commands that remove tasks without a gang.
	strays []infra.Command
	// kept lists attempts without a gang whose tasks are kept alive because their job is not known yet.
	kept []infra.AttemptID
}

// tenure is the state of the active scheduler. A new one starts with each takeover.
type tenure struct {
	epoch   uint64
	since   time.Time
	planner scheduler.Planner
	// adopted is set once the inventories were taken over and planning has begun.
	adopted bool
	// lapseAt is the time at which tasks on workers that were never read must have lapsed.
	lapseAt time.Time
	// gangs holds the present attempt of each job.
	gangs map[string]*gang.Gang
	// plannerAttempt is the planner's number of the present attempt.
	plannerAttempt map[string]uint64
	// closing holds the jobs whose ended record is not read back yet.
	closing map[string]bool
	// blocked holds the jobs that may still run on a worker that was never read.
	blocked map[string]bool
	// released holds the run-once jobs of which a release may have been sent in this tenure.
	released map[string]bool
	// intentSent holds the jobs whose intent was queued for the present attempt.
	intentSent map[string]uint64
	// checkpoints holds the checkpoints of jobs that were stopped in this tenure.
	checkpoints map[string][]string
	// guessed holds the placement that the planner was told of adopted gangs with members that were not found yet.
	guessed map[string]scheduler.Placement
	// unsettled holds the gangs that need time to pass or members to be found; the others only need events.
	unsettled map[string]*gang.Gang
	// onWorker lists the gangs on each worker in order of job id; nil after a change of placements.
	onWorker map[string][]*gang.Gang
	// resolved is set once no adopted gang and no job waits for workers that were not read.
	resolved bool
	// healthAt is the time of the next check of all workers' health.
	healthAt time.Time
	// spans holds the trace span of each start under way.
	spans     map[string]startSpan
	planDue   bool
	planAt    time.Time
	snapshots bool
}

// New returns a scheduler shell. The error is of kind BadInput if a dependency is missing.
func New(options Options) (*Control, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	stream := infra.JobStream(options.FailureDomain)
	return &Control{
		Options:   options,
		log:       options.Logger,
		cost:      newCost(options.Metrics),
		queries:   make(chan query),
		stopped:   make(chan struct{}),
		follower:  newFollower(options.Log, stream),
		appender:  newAppender(options.Log, stream),
		responses: make(chan response, 64),
		lease:     lease.New(options.Holder),
		fold:      jobs.NewFold(),
		workers:   map[string]*worker{},
	}, nil
}

// Active reports whether the scheduler is active, and the epoch of its tenure.
func (c *Control) Active() (active bool, epoch uint64) {
	epoch = c.state.Load()
	return epoch > 0, epoch
}

// Run works until ctx ends, then gives the lease up and returns nil. It must be called once.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.stopped)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	background.Go(func() { c.follower.run(workCtx) })
	background.Go(func() { c.appender.run(workCtx) })
	c.snapshotAt = time.Now()
	c.loop(ctx, workCtx)
	c.giveUp(workCtx)
	cancel()
	background.Wait()
	c.drainResponses()
	return nil
}

func (c *Control) loop(ctx, workCtx context.Context) {
	timer := time.NewTimer(c.settle(workCtx, time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case b := <-c.follower.out:
			c.applyBatch(b, time.Now())
		case r := <-c.responses:
			c.applyResponse(r, time.Now())
		case err := <-c.appender.out:
			c.applyAppend(err)
		case q := <-c.queries:
			q.reply <- c.answer(q.request)
		case <-c.ConfigChanged:
		}
		timer.Reset(c.settle(workCtx, time.Now()))
	}
}

// settle does all that is due and returns the time until the next step without an event.
func (c *Control) settle(ctx context.Context, now time.Time) time.Duration {
	c.cost.updateCPU(now)
	c.applyConfig(now)
	c.stepLease(now)
	if c.tenure != nil {
		c.stepTenure(ctx, now)
	}
	c.sendAll(ctx, now)
	return c.untilNext(now)
}

func (c *Control) untilNext(now time.Time) time.Duration {
	next := now.Add(maxIdle)
	earlier := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	earlier(c.leaseDue)
	for _, w := range c.workers {
		if w.outstanding {
			continue
		}
		if w.wanted || w.leaseSend != nil {
			earlier(w.retryAt)
		}
	}
	if t := c.tenure; t != nil {
		earlier(t.planAt)
		for _, g := range t.unsettled {
			earlier(g.Next())
			earlier(g.RepeatAt())
		}
	}
	return max(next.Sub(now), time.Millisecond)
}

// applyConfig takes over a changed configuration.
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
		if c.tenure == nil && !w.outstanding && !c.configured(id) {
			delete(c.workers, id)
		}
	}
	c.lease.SetWorkers(ids, now)
	c.leaseDue = now
	if t := c.tenure; t != nil {
		t.planner.SetConfig(doc, now)
		t.planDue = true
	}
}

func (c *Control) configured(id string) bool {
	if c.doc == nil {
		return false
	}
	w, ok := c.doc.Workers[id]
	return ok && w.FailureDomain == c.FailureDomain
}

// logUp reports whether the log answered last time.
func (c *Control) logUp() bool { return !c.readFailed && !c.appendFailed }

// stepLease advances the lease and starts or ends the tenure.
func (c *Control) stepLease(now time.Time) {
	random := c.Random()
	if c.tenure != nil && now.Before(c.leaseDue) && c.lease.Active(now) {
		return
	}
	sends, next := c.lease.Step(now, random)
	if !c.withoutLeaseCheck && c.tenure != nil && !c.lease.Active(now) {
		c.endTenure("the majority of worker leases is lost")
	}
	for i := range sends {
		if w := c.workers[sends[i].Worker]; w != nil {
			w.leaseSend = &sends[i]
		}
	}
	if c.tenure == nil && c.lease.Active(now) {
		c.startTenure(now)
	}
	c.leaseDue = next
	if soonest := now.Add(minLeaseStep); c.tenure != nil && next.Before(soonest) {
		c.leaseDue = soonest
	}
}

func (c *Control) startTenure(now time.Time) {
	c.tenure = &tenure{
		epoch:          c.lease.Epoch(),
		since:          now,
		planner:        c.NewPlanner(c.FailureDomain),
		lapseAt:        now.Add(gang.TaskLease + lapseMargin),
		gangs:          map[string]*gang.Gang{},
		plannerAttempt: map[string]uint64{},
		closing:        map[string]bool{},
		blocked:        map[string]bool{},
		released:       map[string]bool{},
		intentSent:     map[string]uint64{},
		checkpoints:    map[string][]string{},
		guessed:        map[string]scheduler.Placement{},
		unsettled:      map[string]*gang.Gang{},
		spans:          map[string]startSpan{},
	}
	for _, w := range c.workers {
		// The answers that completed the majority came after the worker had refused all older epochs.
		w.read = w.claimEpoch == c.tenure.epoch
	}
	c.state.Store(c.tenure.epoch)
	c.cost.tenures.Inc(1)
	c.tenure.planner.SetConfig(c.doc, now)
	c.follower.poke()
	c.log.Info().Uint64("epoch", c.tenure.epoch).Str("holder", c.Holder).Msg("scheduler active")
}

// endTenure forgets everything that only the active scheduler may rely on. Queued records are dropped: the next holder
// derives them from the inventories, since tasks are forgotten only after their record was read back.
func (c *Control) endTenure(reason string) {
	t := c.tenure
	c.tenure = nil
	c.state.Store(0)
	c.appender.drop()
	for _, span := range t.spans {
		span.span.End()
	}
	for _, w := range c.workers {
		*w = worker{id: w.id, address: w.address, outstanding: w.outstanding, leaseSend: w.leaseSend,
			health: scheduler.HealthUnreachable}
	}
	c.log.Info().Uint64("epoch", t.epoch).Str("reason", reason).Msg("scheduler standby")
}
