package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// maxLease is the longest lease of a worker's runs, where the workers accept it. Runs survive a takeover, or a cut between
	// the holder and their worker, of up to this time less the interval of renewals. A run that is lost with its worker starts
	// again only after it.
	maxLease = 9 * time.Second
	// planInterval is the minimum time between two plans.
	planInterval = 5 * time.Millisecond
	// planPauseFactor bounds the share of processor time spent on planning: the time between the starts of two plans is at
	// least planPauseFactor times the duration of the first.
	planPauseFactor = 4
	// idleInterval is the maximum time between two plans.
	idleInterval = 150 * time.Millisecond
	// workersInterval is the time between two reads of the worker list.
	workersInterval = 400 * time.Millisecond
	// fullQueueInterval is the time between two log lines about an event that waits for space in a full event queue.
	fullQueueInterval = time.Second
	// eventQueueCapacity bounds the number of events that wait for the loop.
	eventQueueCapacity = 4096
)

// Options configures a Leader.
type Options struct {
	// Epoch is the fencing token of all appends and requests to workers; it is higher than that of every earlier holder.
	Epoch    int64
	Log      store.Log
	Hedge    *store.Hedge
	Follower *joblog.Follower
	View     *joblog.View
	Workers  Workers
	// DecodeWorker decodes an entry of the worker list.
	DecodeWorker    func(id string, text []byte) (workload.WorkerInfo, error)
	DispatchOptions dispatch.Options
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// HeartbeatInterval is the time between two updates of a worker's entry in the list.
	HeartbeatInterval time.Duration
	// StatusRetention is how long the state of an ended job must be readable.
	StatusRetention time.Duration
	// ConfirmedAt returns the boot-clock time at which the store last confirmed that this VM holds the schedule.
	ConfirmedAt func() time.Duration
	// MembershipTTL is the time after such a confirmation during which no other VM can hold the schedule.
	MembershipTTL time.Duration
	// Evacuations returns the evacuated failure domains, and the boot-clock time of the start of the read that last confirmed them. It
	// is nil if the deployment has no evacuations. It must not block.
	Evacuations func() (set evacuation.Set, confirmedAt time.Duration)
	// EvacuationBound is the time after the request for an evacuation from which nothing may start in the domain.
	EvacuationBound time.Duration
	Logger          zerolog.Logger
}

// Leader holds the schedule for one epoch.
type Leader struct {
	Options
	logger    zerolog.Logger
	lease     time.Duration
	startedAt time.Duration

	// events holds the events that wait for the loop.
	events chan func(*dispatch.Core)
	// wake holds an element if the loop should plan although no event waits.
	wake chan struct{}
	// cancel ends the context of Run, goroutines counts the goroutines that Run waits for.
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// ended is set once a newer holder is known or the loop has ended.
	ended atomic.Bool

	// The fields below are used only by the loop's goroutine.
	core    *dispatch.Core
	journal *journal
	// sessions maps the id of each worker to its session.
	sessions map[string]*session
	// appendDone receives the result of the append in flight; nil when none is.
	appendDone chan error
	// inFlight holds the effects of the append in flight.
	inFlight effects
	// starts holds the starts to send after the next append.
	starts []dispatch.Start
	// processedEnds holds the run ends that the core has processed and that the next append stores.
	processedEnds map[*session]endMark
	// lastPlan is the start of the last plan on the boot clock.
	lastPlan time.Duration
	// planPause is the time from the start of the last plan to the earliest next one.
	planPause time.Duration
	forecasts forecasts

	// configMu guards config.
	configMu sync.Mutex
	config   *workload.Config
}

// New returns a leader for the epoch in o. Run starts it.
func New(o Options, config *workload.Config) *Leader {
	return &Leader{
		Options: o, logger: o.Logger.With().Int64("epoch", o.Epoch).Logger(),
		lease:         min(maxLease, o.MaxLease),
		events:        make(chan func(*dispatch.Core), eventQueueCapacity),
		wake:          make(chan struct{}, 1),
		sessions:      map[string]*session{},
		processedEnds: map[*session]endMark{},
		config:        config,
	}
}

// earlierLeaseBound returns the time within which all leases expire, both those that an earlier holder has granted and
// those that it may still grant to workers that only it can reach.
func (l *Leader) earlierLeaseBound() time.Duration {
	return RenewalWithoutStore + workerlease.MaxElapsed(l.lease)
}

// SetConfig passes a version of the configuration to the core, unless that has the same or a newer one.
func (l *Leader) SetConfig(config *workload.Config) {
	l.configMu.Lock()
	if config.Version <= l.config.Version {
		l.configMu.Unlock()
		return
	}
	l.config = config
	l.configMu.Unlock()
	l.enqueue(func(c *dispatch.Core) { c.SetConfig(l.newestConfig()) })
}

// newestConfig returns the newest version of the configuration that was set.
func (l *Leader) newestConfig() *workload.Config {
	l.configMu.Lock()
	defer l.configMu.Unlock()
	return l.config
}

// enqueue adds an event to the loop's queue and reports whether it did. While the queue is full it waits: a lost event could bind a
// task to a worker for good. It returns false once the leader has ended.
func (l *Leader) enqueue(f func(*dispatch.Core)) bool {
	for !l.ended.Load() {
		select {
		case l.events <- f:
			return true
		default:
		}
		select {
		case l.events <- f:
			return true
		case <-time.After(fullQueueInterval):
			l.logger.Error().Msg("event delayed: the event queue of the schedule loop is full")
		}
	}
	return false
}

// stepDown ends the leader because a newer holder of the schedule exists; evidence names the component that detected it, for
// the log.
func (l *Leader) stepDown(evidence string) {
	if l.ended.Swap(true) {
		return
	}
	l.logger.Warn().Str("shown_by", evidence).Msg("schedule lost to a newer holder")
	l.cancel()
}

// Superseded reports whether another VM has held the schedule since this leader took it: each holder registers its epoch with the store
// before it does anything else.
func (l *Leader) Superseded(ctx context.Context) (bool, error) { return l.newJournal().superseded(ctx) }

// newJournal returns a journal that is not open.
func (l *Leader) newJournal() *journal {
	return &journal{log: l.Log, hedge: l.Hedge, epoch: l.Epoch, retryInterval: journalRetryInterval, logger: l.logger.With().Stringer("stream", store.States).Logger()}
}

// Run holds the schedule until ctx ends or a newer holder exists.
func (l *Leader) Run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.startedAt = boottime.Now()
	l.journal = l.newJournal()
	if err := l.journal.open(ctx); err != nil {
		l.logger.Warn().Err(err).Msg("schedule not taken: epoch not registered with the store")
		return
	}
	if err := l.Follower.Refresh(ctx, 0, l.Follower.Streams()...); err != nil {
		return
	}
	l.Follower.Subscribe(l.jobsChanged)
	defer l.Follower.Subscribe(nil)
	l.contain("load the stored jobs", l.load)
	if ctx.Err() != nil {
		return
	}
	l.logger.Info().Dur("took", boottime.Now()-l.startedAt).Int("unverified_workers", len(l.core.UnverifiedWorkers())).Msg("schedule taken")
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.contain("follow the worker list", func() { l.followWorkers(ctx) })
	}()
	l.loop(ctx)
	l.ended.Store(true)
	l.cancel()
	l.discardEvents()
	l.logger.Info().Msg("leader stopped")
}

// discardEvents discards events until all goroutines of the leader have ended, so that none blocks on a full queue.
func (l *Leader) discardEvents() {
	done := make(chan struct{})
	go func() {
		l.goroutines.Wait()
		close(done)
	}()
	for {
		select {
		case <-l.events:
		case <-done:
			return
		}
	}
}

// load builds the core from the stored jobs. Earlier holders are fenced and can no longer change the states.
func (l *Leader) load() {
	l.core = dispatch.New(l.DispatchOptions)
	l.core.Advance(boottime.Now(), time.Now())
	l.core.SetConfig(l.newestConfig())
	l.readEvacuations()
	for queue, policy := range l.View.Policies() {
		l.core.RestorePolicy(queue, policy)
	}
	l.View.Each(func(e joblog.Entry) { l.admit(e) })
}

// admit adds a job to the core unless the core knows it, and passes on its cancellation.
func (l *Leader) admit(e joblog.Entry) {
	id := e.Job.ID
	if !l.core.HasJob(id) {
		state := l.decodeState(e)
		l.core.AddJob(e.Job, state)
		if state == nil && !e.Cancelled {
			l.logger.Info().Str("job", string(id)).Str("queue", e.Job.Queue).Str("account", e.Job.Account).
				Dur("age", time.Since(e.Job.AcceptedAt)).Msg("job admitted")
		}
	}
	if e.Cancelled {
		l.core.CancelJob(id)
	}
}

// decodeState returns the stored state of the job; nil if there is none or it cannot be decoded.
func (l *Leader) decodeState(e joblog.Entry) *workload.JobState {
	if e.State == nil {
		return nil
	}
	state, err := workload.DecodeState(e.State)
	if err != nil {
		l.logger.Error().Err(err).Str("job", string(e.Job.ID)).Msg("stored job state cannot be decoded; the job starts again from the beginning")
		return nil
	}
	return state
}

// jobsChanged passes the changed jobs to the core. The follower calls it after each read with records.
func (l *Leader) jobsChanged(ids []workload.JobID) {
	l.enqueue(func(c *dispatch.Core) {
		for _, id := range ids {
			if e, ok := l.View.Get(id); ok {
				l.admit(e)
			}
		}
	})
}

// loop applies events, plans, stores changed states and sends requests to workers until ctx ends.
func (l *Leader) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastCleanup := boottime.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-l.events:
			l.apply(f)
		case err := <-l.appendDone:
			l.appendEnded(ctx, err)
		case <-l.wake:
		case <-timer.C:
		}
		l.applyPending()
		if wait := l.planPause - (boottime.Now() - l.lastPlan); wait > 0 {
			timer.Reset(wait)
			continue
		}
		l.plan(ctx)
		if boottime.Now()-lastCleanup > cleanupInterval {
			lastCleanup = boottime.Now()
			l.cleanUp(ctx)
		}
		timer.Reset(l.nextPlan())
	}
	if l.appendDone != nil {
		<-l.appendDone
	}
}

// apply runs an event on the core at the current time.
func (l *Leader) apply(f func(*dispatch.Core)) {
	l.core.Advance(boottime.Now(), time.Now())
	l.contain("apply an event", func() { f(l.core) })
}

// contain calls f and ends the leader if f panics: the state of the core may be inconsistent then, and the next holder of
// the schedule starts from the stored states. The process continues to serve callers. task says what f does, for the log.
func (l *Leader) contain(task string, f func()) {
	if !telemetry.Contain(l.logger, task, f) {
		l.stepDown("a panic")
	}
}

// applyPending applies the events that wait in the queue.
func (l *Leader) applyPending() {
	for {
		select {
		case f := <-l.events:
			l.apply(f)
		default:
			return
		}
	}
}

// nextPlan returns the time until the next plan if no event arrives before it.
func (l *Leader) nextPlan() time.Duration {
	due := l.core.NextDue()
	if due.IsZero() {
		return idleInterval
	}
	return max(planInterval, min(idleInterval, time.Until(due)+planInterval))
}

// plan runs the planner if this VM is certain to hold the schedule, and begins an append unless one is in flight.
func (l *Leader) plan(ctx context.Context) {
	l.lastPlan = boottime.Now()
	l.core.Advance(l.lastPlan, time.Now())
	l.contain("read the evacuations", l.readEvacuations)
	if l.mayDecide(l.lastPlan) {
		l.contain("plan", func() { l.decide(ctx) })
	}
	l.logEvents()
	l.flush(ctx)
	l.planPause = max(planInterval, planPauseFactor*(boottime.Now()-l.lastPlan))
}

// decide runs the planner, sends the stops, and keeps the starts until their states are stored.
func (l *Leader) decide(ctx context.Context) {
	plan := l.core.Plan()
	observe(timerPlan, boottime.Now()-l.lastPlan)
	for _, stop := range plan.Stops {
		if s := l.sessions[stop.Worker]; s != nil {
			s.queueStop(ctx, stop)
		}
	}
	l.starts = append(l.starts, plan.Starts...)
}

// spawn runs f in a goroutine that Run waits for.
func (l *Leader) spawn(f func()) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.contain("send a request", f)
	}()
}

// query evaluates predicate in the loop for another goroutine and returns its result; false once ctx or the leader has ended.
func (l *Leader) query(ctx context.Context, predicate func(*dispatch.Core) bool) bool {
	result := make(chan bool, 1)
	if !l.enqueue(func(c *dispatch.Core) { result <- predicate(c) }) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case ok := <-result:
		return ok
	}
}

func (l *Leader) logEvents() {
	for _, e := range l.core.TakeEvents() {
		if counter, counted := countedEvents[e.Name]; counted {
			count(counter)
		}
		l.logger.Info().Str("event", e.Name).Str("job", string(e.Job)).Str("worker", e.Worker).Str("detail", e.Detail).Msg("decision")
	}
}

func (l *Leader) logChanges(changes []dispatch.Change) {
	for _, change := range changes {
		if !change.Phase.Final() {
			continue
		}
		l.logger.Info().Str("job", string(change.ID)).Str("phase", change.Phase.String()).Msg("job ended")
	}
}
