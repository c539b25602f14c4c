package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// maxLease is the longest lease that runs get. It must outlast a takeover, and ends the runs of a lost worker.
	maxLease = 6 * time.Second
	// RenewalWithoutStore is how long leases are renewed after the store last confirmed that this VM holds the schedule.
	// Together with the lease it outlasts an outage of the store; the next holder waits that long for workers that it
	// cannot reach.
	RenewalWithoutStore = 4 * time.Second
	// planInterval is the least time between two plans.
	planInterval = 5 * time.Millisecond
	// planShare bounds the processor time that plans take: a plan that took a while is followed by a longer pause.
	planShare = 4
	// idleInterval is the longest time between two plans.
	idleInterval = 150 * time.Millisecond
	// workersInterval is the time between two reads of the list of workers.
	workersInterval = 400 * time.Millisecond
	// postTimeout is how long an event waits for a loop that is behind.
	postTimeout = time.Second
	// eventQueue bounds the events that wait for the loop.
	eventQueue = 4096
	// dropInterval is the time between two searches for jobs whose records may be dropped.
	dropInterval = 10 * time.Second
	// dropMargin is added to the time for which the state of an ended job must be readable.
	dropMargin = 60 * time.Second
)

// Options of a Leader.
type Options struct {
	Epoch    int64
	Log      store.Log
	Hedge    *store.Hedge
	Follower *joblog.Follower
	View     *joblog.View
	Workers  Workers
	// DecodeWorker reads an entry of the list of workers.
	DecodeWorker func(id string, text []byte) (workload.WorkerInfo, error)
	Params       dispatch.Params
	MaxLease     time.Duration
	// HeartbeatInterval is the time between two entries of a worker in the list.
	HeartbeatInterval time.Duration
	// StatusRetention is how long the state of an ended job must be readable.
	StatusRetention time.Duration
	// ConfirmedAt returns when the store last confirmed that this VM holds the schedule, on the boot clock.
	ConfirmedAt func() time.Duration
	Out         zerolog.Logger
}

// Leader holds the schedule for one epoch.
type Leader struct {
	Options
	out       zerolog.Logger
	lease     time.Duration
	startedAt time.Duration

	events   chan func(*dispatch.Core)
	cancel   context.CancelFunc
	sessions sync.WaitGroup
	ended    atomic.Bool

	// The fields below belong to the loop.
	core    *dispatch.Core
	journal *journal
	byID    map[string]*session
	// journalDone is open while an append is under way.
	journalDone chan error
	// flight is what follows once the append under way is done.
	flight batch
	// starts wait for the next append.
	starts []dispatch.Start
	// listed holds the ends that the core took into account, to be noted with the next append.
	listed   map[*session]mark
	lastPlan time.Duration
	// planPause is the time from the start of the last plan to the earliest next one.
	planPause time.Duration

	configMu sync.Mutex
	config   *workload.Config
}

type mark struct{ incarnation, noted int64 }

// batch is what an append makes final.
type batch struct {
	starts []dispatch.Start
	noted  map[*session]mark
}

// New returns a leader for one epoch.
func New(o Options, config *workload.Config) *Leader {
	return &Leader{
		Options: o, out: o.Out.With().Int64("epoch", o.Epoch).Logger(),
		lease:  min(maxLease, o.MaxLease),
		events: make(chan func(*dispatch.Core), eventQueue),
		byID:   map[string]*session{},
		listed: map[*session]mark{},
		config: config,
	}
}

// foreignLease bounds the leases that an earlier holder may have granted, or may still grant to workers that only it can
// reach.
func (l *Leader) foreignLease() time.Duration {
	return RenewalWithoutStore + slowest(l.lease)
}

// SetConfig passes a new version of the configuration to the core.
func (l *Leader) SetConfig(config *workload.Config) {
	l.configMu.Lock()
	l.config = config
	l.configMu.Unlock()
	l.post(func(c *dispatch.Core) { c.SetConfig(config) })
}

// post hands an event to the loop. It blocks while the loop is behind, and drops the event once the leader has ended.
func (l *Leader) post(f func(*dispatch.Core)) {
	if l.ended.Load() {
		return
	}
	select {
	case l.events <- f:
		return
	default:
	}
	select {
	case l.events <- f:
	case <-time.After(postTimeout):
		if !l.ended.Load() {
			l.out.Error().Msg("event of the schedule dropped: the loop does not take events")
		}
	}
}

// deposed ends the leader because a newer one exists.
func (l *Leader) deposed(by string) {
	if l.ended.Swap(true) {
		return
	}
	l.out.Warn().Str("shown_by", by).Msg("schedule lost to a newer holder")
	l.cancel()
}

// mayRenew reports whether leases may be renewed: a holder that the store has not confirmed for long may have a
// successor, which waits for the leases of workers that it cannot reach.
func (l *Leader) mayRenew() bool {
	return boottime.Now()-l.ConfirmedAt() < RenewalWithoutStore
}

// Run holds the schedule until ctx ends or a newer holder exists.
func (l *Leader) Run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	defer l.cancel()
	l.startedAt = boottime.Now()
	l.journal = &journal{log: l.Log, hedge: l.Hedge, epoch: l.Epoch, retry: journalRetry, out: l.out.With().Stringer("stream", store.States).Logger()}
	if err := l.journal.open(ctx); err != nil {
		l.out.Warn().Err(err).Msg("schedule not taken")
		return
	}
	if err := l.Follower.Refresh(ctx, 0, l.Follower.Streams()...); err != nil {
		return
	}
	l.Follower.Subscribe(l.jobsChanged)
	defer l.Follower.Subscribe(nil)
	l.load()
	l.out.Info().Dur("took", boottime.Now()-l.startedAt).Int("unverified_workers", len(l.core.Unverified())).Msg("schedule taken")
	l.sessions.Add(1)
	go func() {
		defer l.sessions.Done()
		l.followWorkers(ctx)
	}()
	l.loop(ctx)
	l.ended.Store(true)
	l.cancel()
	l.drain()
	l.out.Info().Msg("schedule given up")
}

// drain takes events until all sessions have ended, so that none of them blocks.
func (l *Leader) drain() {
	done := make(chan struct{})
	go func() {
		l.sessions.Wait()
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

// load builds the core from what is stored. No earlier holder can change it any more.
func (l *Leader) load() {
	l.core = dispatch.New(l.Params)
	l.core.Advance(boottime.Now(), time.Now())
	l.configMu.Lock()
	l.core.SetConfig(l.config)
	l.configMu.Unlock()
	l.View.Each(func(e joblog.Entry) { l.admit(e) })
}

// admit passes a job's submission or cancellation to the core.
func (l *Leader) admit(e joblog.Entry) {
	id := e.Job.ID
	if !l.core.Knows(id) {
		state := l.decodeState(e)
		l.core.AddJob(e.Job, state)
		if state == nil && !e.Cancelled {
			l.out.Info().Str("job", string(id)).Str("queue", e.Job.Queue).Str("account", e.Job.Account).
				Dur("age", time.Since(e.Job.AcceptedAt)).Msg("job admitted")
		}
	}
	if e.Cancelled {
		l.core.CancelJob(id)
	}
}

func (l *Leader) decodeState(e joblog.Entry) *workload.JobState {
	if e.State == nil {
		return nil
	}
	state, err := workload.DecodeState(e.State)
	if err != nil {
		l.out.Error().Err(err).Str("job", string(e.Job.ID)).Msg("job state cannot be read; the job starts anew")
		return nil
	}
	return state
}

// jobsChanged is called by the follower.
func (l *Leader) jobsChanged(ids []workload.JobID) {
	l.post(func(c *dispatch.Core) {
		for _, id := range ids {
			if e, ok := l.View.Get(id); ok {
				l.admit(e)
			}
		}
	})
}

// loop takes events, plans, stores and sends until ctx ends.
func (l *Leader) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastDrop := boottime.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-l.events:
			l.take(f)
		case err := <-l.journalDone:
			l.journalEnded(ctx, err)
		case <-timer.C:
		}
		l.takeAll()
		if wait := l.planPause - (boottime.Now() - l.lastPlan); wait > 0 {
			timer.Reset(wait)
			continue
		}
		l.plan(ctx)
		if boottime.Now()-lastDrop > dropInterval {
			lastDrop = boottime.Now()
			l.dropEnded(ctx)
		}
		timer.Reset(l.nextPlan())
	}
	if l.journalDone != nil {
		<-l.journalDone
	}
}

func (l *Leader) take(f func(*dispatch.Core)) {
	l.core.Advance(boottime.Now(), time.Now())
	f(l.core)
}

func (l *Leader) takeAll() {
	for {
		select {
		case f := <-l.events:
			l.take(f)
		default:
			return
		}
	}
}

// nextPlan returns when to plan although nothing was reported.
func (l *Leader) nextPlan() time.Duration {
	due := l.core.NextDue()
	if due.IsZero() {
		return idleInterval
	}
	return max(planInterval, min(idleInterval, time.Until(due)+planInterval))
}

// plan decides, sends the stops and begins an append unless one is under way.
func (l *Leader) plan(ctx context.Context) {
	l.lastPlan = boottime.Now()
	l.core.Advance(l.lastPlan, time.Now())
	plan := l.core.Plan()
	observe(timerPlan, boottime.Now()-l.lastPlan)
	l.logEvents()
	for _, stop := range plan.Stops {
		if s := l.byID[stop.Worker]; s != nil {
			l.send(func() { s.stop(ctx, stop) })
		}
	}
	l.starts = append(l.starts, plan.Starts...)
	l.flush(ctx)
	l.planPause = max(planInterval, planShare*(boottime.Now()-l.lastPlan))
}

func (l *Leader) send(f func()) {
	l.sessions.Add(1)
	go func() {
		defer l.sessions.Done()
		f()
	}()
}

// flush stores what has changed. Starts are sent, and ends are noted at their workers, once the states are stored.
func (l *Leader) flush(ctx context.Context) {
	if l.journalDone != nil {
		return
	}
	l.flight = batch{starts: l.starts, noted: l.listed}
	l.starts = nil
	l.listed = map[*session]mark{}
	changes := l.core.TakeChanges()
	l.logChanges(changes)
	if len(changes) == 0 {
		l.land(ctx)
		return
	}
	done := make(chan error, 1)
	l.journalDone = done
	go func() { done <- l.journal.write(ctx, stateRecords(changes)) }()
}

func (l *Leader) journalEnded(ctx context.Context, err error) {
	l.journalDone = nil
	if err != nil {
		l.out.Warn().Err(err).Msg("job states were not stored")
		if ctx.Err() == nil {
			l.deposed("store")
		}
		return
	}
	l.land(ctx)
}

// land carries out what the stored states allow.
func (l *Leader) land(ctx context.Context) {
	for s, m := range l.flight.noted {
		s.setNoted(m.incarnation, m.noted)
	}
	for _, start := range l.flight.starts {
		s := l.byID[start.Worker]
		if s == nil || !l.core.WantsStart(start.Worker, start.Ref) {
			continue
		}
		l.send(func() { s.start(ctx, start) })
	}
	l.flight = batch{}
}

// noteListing records which ends of a worker the core has taken into account. It runs in the loop.
func (l *Leader) noteListing(s *session, noted int64) {
	l.listed[s] = mark{incarnation: s.currentIncarnation(), noted: noted}
}

// ask returns the core's answer to a question of another goroutine, false once ctx has ended.
func (l *Leader) ask(ctx context.Context, question func(*dispatch.Core) bool) bool {
	answer := make(chan bool, 1)
	l.post(func(c *dispatch.Core) { answer <- question(c) })
	select {
	case <-ctx.Done():
		return false
	case yes := <-answer:
		return yes
	}
}

func (l *Leader) logEvents() {
	for _, e := range l.core.TakeEvents() {
		l.out.Info().Str("event", e.Name).Str("job", string(e.Job)).Str("worker", e.Worker).Str("detail", e.Detail).Msg("decision")
	}
}

func (l *Leader) logChanges(changes []dispatch.Change) {
	for _, change := range changes {
		if !change.Phase.Final() {
			continue
		}
		l.out.Info().Str("job", string(change.ID)).Str("phase", change.Phase.String()).Msg("job ended")
	}
}

// dropEnded removes the records of jobs whose state need not be readable any more.
func (l *Leader) dropEnded(ctx context.Context) {
	if l.journalDone != nil {
		return
	}
	ended := l.core.TakeEnded(boottime.Now() - l.StatusRetention - dropMargin)
	if len(ended) == 0 {
		return
	}
	done := make(chan error, 1)
	l.journalDone = done
	go func() { done <- l.dropRecords(ctx, ended) }()
}

// dropRecords removes the states last, so that a job of which only the submission was removed does not start anew.
func (l *Leader) dropRecords(ctx context.Context, ids []workload.JobID) error {
	states := make([]store.Record, len(ids))
	for i, id := range ids {
		states[i] = joblog.DropState(id)
		err := l.Log.Append(ctx, joblog.IntakeOf(id), joblog.DropIntake(id), nil, journalTimeout)
		if err != nil {
			l.out.Warn().Err(err).Str("job", string(id)).Msg("records of an ended job were not removed; the next holder tries again")
			return nil
		}
	}
	return l.journal.write(ctx, states)
}
