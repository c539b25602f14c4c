package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// watchWait is how long a worker may hold a watch request open until a run ends. It is also the interval of lease
	// renewals.
	watchWait = 1500 * time.Millisecond
	// watchMargin is added to the wait to give the timeout of a watch request.
	watchMargin = 700 * time.Millisecond
	// unstoredEndsPause is the pause between two watch requests while reported ends are not stored.
	unstoredEndsPause = 400 * time.Millisecond
	// watchRetryInterval is the pause after a failed watch request; it doubles with each failure up to
	// maxWatchRetryInterval.
	watchRetryInterval    = 100 * time.Millisecond
	maxWatchRetryInterval = 800 * time.Millisecond
	// requestTimeout bounds one attempt of a start or stop request, requestRetryInterval is the pause before the next one.
	requestTimeout       = 500 * time.Millisecond
	requestRetryInterval = 50 * time.Millisecond
	// maxStopBackoff bounds the pause between attempts of a stop request, in multiples of requestRetryInterval.
	maxStopBackoff = 8
	// maxUnhealthyAttempts is how often a start request is sent to a worker that reports that it is unhealthy.
	maxUnhealthyAttempts = 3
	// maxUnsentAttempts is how often a start is tried at a worker that responds to watch requests but not to new connections.
	maxUnsentAttempts = 3
	// loggedAttempts is the number of attempts of a start without response of which one is logged.
	loggedAttempts = 20
	// maxRequests is how many start and stop requests to one worker may be in flight at once.
	maxRequests = 3
)

// errHolderUnconfirmed means that a request was not sent because another VM may hold the schedule.
var errHolderUnconfirmed = errors.New("leader: the store has not confirmed that this VM holds the schedule")

// session manages one worker: it renews the lease, watches the worker's runs, and sends start and stop requests.
type session struct {
	id      string
	address string
	conn    WorkerConn
	leader  *Leader
	logger  zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	// requestSlots holds an element for each start or stop request in flight.
	requestSlots chan struct{}

	mu    sync.Mutex
	lease leaseClock
	// storedEnd is the sequence number up to which the ends of the current incarnation are stored.
	storedEnd int64
	// storedEndChanged is closed and replaced when storedEnd rises.
	storedEndChanged chan struct{}
	// incarnation is the worker's incarnation as of the last response.
	incarnation int64
}

// newSession opens a session to the worker and starts to watch it.
func (l *Leader) newSession(ctx context.Context, id, address string) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		id: id, address: address, leader: l, ctx: ctx, cancel: cancel,
		conn:             l.Workers.Connect(id, address),
		logger:           l.logger.With().Str("worker", id).Logger(),
		requestSlots:     make(chan struct{}, maxRequests),
		lease:            leaseClock{lease: l.lease, expiresAt: l.startedAt + l.earlierLeaseBound()},
		storedEndChanged: make(chan struct{}),
	}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.contain("watch a worker", func() { s.watch(ctx) })
	}()
	return s
}

// watch renews the lease and reports the worker's listings to the core until ctx ends.
func (s *session) watch(ctx context.Context) {
	defer s.conn.Close()
	pause := watchRetryInterval
	first := true
	var dependency telemetry.Dependency
	for ctx.Err() == nil {
		listing, sentAt, err := s.watchOnce(ctx, first)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrStaleEpoch) {
			s.leader.stepDown("worker " + s.id)
			return
		}
		dependency.Observe(s.logger, "worker", err)
		if err != nil {
			s.recordNoResponse(err)
			boottime.Sleep(ctx, pause)
			pause = min(2*pause, maxWatchRetryInterval)
			continue
		}
		first = false
		pause = watchRetryInterval
		s.leader.enqueue(func(c *dispatch.Core) { s.leader.recordProcessedEnds(s, c.ApplyListing(s.id, sentAt, listing)) })
		s.awaitStoredEnds(ctx, listing)
	}
}

// watchOnce sends one watch request and returns the listing and the time at which the request was sent. The first request
// of a session or connection does not wait, and acknowledges no ends: it may reach another incarnation, which numbers its
// ends from 1 again.
func (s *session) watchOnce(ctx context.Context, first bool) (*workload.Listing, time.Duration, error) {
	request := WatchRequest{Epoch: s.leader.Epoch, Wait: watchWait}
	fresh := first || !s.conn.SameConnection()
	s.mu.Lock()
	if fresh {
		request.Wait = 0
	} else {
		request.StoredEnd = s.storedEnd
	}
	s.mu.Unlock()
	sentAt := boottime.Now()
	if s.leader.mayRenew(sentAt) {
		request.LeaseUntilMS = s.leaseUntil(sentAt)
	}
	listing, err := s.conn.Watch(ctx, request, request.Wait+watchMargin)
	if err != nil {
		return nil, sentAt, err
	}
	s.recordResponse(listing)
	return listing, sentAt, nil
}

// recordResponse records the worker's clock and incarnation from a listing.
func (s *session) recordResponse(listing *workload.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.recordResponse(boottime.Now(), listing.ClockMS)
	if s.incarnation != listing.Incarnation {
		s.incarnation = listing.Incarnation
		s.storedEnd = 0
	}
}

// leaseUntil returns the expiry of a lease sent now, in milliseconds of the worker's clock; 0 while that clock is unknown. If
// leases may not be extended, it is the expiry of the longest lease sent before.
func (s *session) leaseUntil(now time.Duration) int64 {
	mayRenew := s.leader.mayRenew(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !mayRenew {
		return s.lease.untilMS
	}
	return s.lease.renew(now)
}

// recordNoResponse records a watch request that failed with err. It reports the worker to the core as unreachable, and as gone
// if its lease has expired or another process has responded at its address. It repeats the report with each failed request,
// because the core may restore runs of the worker later.
func (s *session) recordNoResponse(err error) {
	s.mu.Lock()
	s.lease.recordNoResponse()
	expired := s.lease.allExpired(boottime.Now())
	s.mu.Unlock()
	replaced := errors.Is(err, ErrOtherIncarnation)
	s.leader.enqueue(func(c *dispatch.Core) {
		c.SetReachable(s.id, false)
		switch {
		case replaced:
			c.MarkWorkerGone(s.id, dispatch.GoneReplaced)
		case expired:
			c.MarkWorkerGone(s.id, dispatch.GoneLeaseExpired)
		}
	})
}

// awaitStoredEnds waits up to unstoredEndsPause until the ends of the listing are stored: before that, the next watch request
// would only return them again.
func (s *session) awaitStoredEnds(ctx context.Context, listing *workload.Listing) {
	if len(listing.Ended) == 0 {
		return
	}
	last := listing.Ended[len(listing.Ended)-1].Sequence
	timer := time.NewTimer(unstoredEndsPause)
	defer timer.Stop()
	for {
		s.mu.Lock()
		stored := s.storedEnd >= last
		changed := s.storedEndChanged
		s.mu.Unlock()
		if stored {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// setStoredEnd makes the next watch request acknowledge the ends up to storedEnd. It has no effect on another incarnation
// of the worker.
func (s *session) setStoredEnd(incarnation, storedEnd int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation || storedEnd <= s.storedEnd {
		return
	}
	s.storedEnd = storedEnd
	close(s.storedEndChanged)
	s.storedEndChanged = make(chan struct{})
}

// currentIncarnation returns the worker's incarnation as of its last response; 0 before the first one.
func (s *session) currentIncarnation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// start sends a start request until its outcome is known or the core no longer wants the start. It abandons the start if the
// address or the process of the worker changes.
func (s *session) start(ctx context.Context, planned dispatch.Start) {
	waited := s.acquireRequestSlot()
	defer func() { <-s.requestSlots }()
	if waited && !s.wantsStart(ctx, planned) {
		return
	}
	startedAt := boottime.Now()
	defer func() { observe(timerStart, boottime.Now()-startedAt) }()
	attempts := startAttempts{planned: planned, incarnation: s.currentIncarnation()}
	for ctx.Err() == nil {
		request := StartRequest{
			Ref: planned.Ref, Specification: planned.Specification, Checkpoint: planned.Checkpoint,
			LeaseUntilMS: s.leaseUntil(boottime.Now()), Epoch: s.leader.Epoch,
		}
		err := s.conn.Start(ctx, request, requestTimeout)
		attempts.count++
		attempts.sent = attempts.sent || !errors.Is(err, ErrNotSent)
		if s.reportStartOutcome(planned, err, attempts.count) {
			return
		}
		s.logFailedAttempt(planned, err, attempts.count)
		if !s.awaitRetry(ctx, &attempts) {
			return
		}
	}
}

// startAttempts holds the attempts of a start that had no response so far.
type startAttempts struct {
	planned dispatch.Start
	// incarnation is the worker's incarnation before the first attempt.
	incarnation int64
	count       int
	// sent is true if part of an attempt may have reached the worker.
	sent bool
}

// awaitRetry waits until a start without response may be sent again, and reports whether it may. While the worker does not
// respond to watch requests, its process may have ended with the start; another process must not get the same start. A start that
// was never sent does not wait for such a worker.
func (s *session) awaitRetry(ctx context.Context, a *startAttempts) bool {
	for {
		boottime.Sleep(s.ctx, requestRetryInterval)
		if s.ctx.Err() != nil {
			s.giveUpStart(a, "the address of the worker has changed")
			return false
		}
		if !s.wantsStart(ctx, a.planned) {
			return false
		}
		incarnation, responding := s.process()
		switch {
		case incarnation != a.incarnation:
			s.giveUpStart(a, "the worker has restarted")
			return false
		case !a.sent && (!responding || a.count >= maxUnsentAttempts):
			s.giveUpStart(a, ErrNotSent.Error())
			return false
		case responding:
			return true
		}
	}
}

// giveUpStart makes the core give up a start without response: at once if it was never sent, otherwise once the worker has
// confirmed a stop of the run.
func (s *session) giveUpStart(a *startAttempts, reason string) {
	s.leader.enqueue(func(c *dispatch.Core) {
		if a.sent {
			c.AbandonStart(s.id, a.planned.Ref, reason)
			return
		}
		c.StartRejected(s.id, a.planned.Ref, reason)
	})
}

// process returns the worker's incarnation as of its last response to a watch request, and whether the worker has responded to
// the latest one that ended.
func (s *session) process() (incarnation int64, responding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation, !s.lease.noResponse
}

// acquireRequestSlot waits for a request slot and reports whether it had to wait.
func (s *session) acquireRequestSlot() (waited bool) {
	select {
	case s.requestSlots <- struct{}{}:
		return false
	default:
		s.requestSlots <- struct{}{}
		return true
	}
}

// wantsStart reports whether the core still wants the start; false once ctx has ended.
func (s *session) wantsStart(ctx context.Context, planned dispatch.Start) bool {
	return s.leader.query(ctx, func(c *dispatch.Core) bool { return c.WantsStart(s.id, planned.Ref) })
}

// reportStartOutcome reports the outcome of a start request to the core. It returns false if the request has to be retried.
func (s *session) reportStartOutcome(planned dispatch.Start, err error, attempt int) bool {
	ref := planned.Ref
	switch {
	case err == nil, errors.Is(err, ErrRunEnded):
		s.leader.enqueue(func(c *dispatch.Core) { c.StartAccepted(s.id, ref) })
	case errors.Is(err, ErrStaleEpoch):
		s.leader.stepDown("worker " + s.id)
	case errors.Is(err, ErrOtherIncarnation):
		// The next watch request reports the worker as gone.
	case errors.Is(err, ErrNoResponse), errors.Is(err, ErrLeaseExpired):
		return false
	case errors.Is(err, ErrUnhealthy) && attempt < maxUnhealthyAttempts:
		return false
	case attempt > 1:
		// An earlier attempt may have been executed, or may be executed later; the worker must rule that out first.
		s.leader.enqueue(func(c *dispatch.Core) { c.AbandonStart(s.id, ref, err.Error()) })
	default:
		s.leader.enqueue(func(c *dispatch.Core) { c.StartRejected(s.id, ref, err.Error()) })
	}
	s.logOutcome(planned, err, attempt)
	return true
}

// logOutcome logs and counts the outcome of a start.
func (s *session) logOutcome(planned dispatch.Start, err error, attempt int) {
	if err == nil {
		count(counterStartsAccepted)
	} else {
		count(counterStartsRefused)
	}
	ref := planned.Ref
	s.logger.Info().Str("job", string(ref.Task.Job)).Str("task", ref.Task.String()).Int64("run", ref.Run).
		Int("attempt", attempt).Bool("resumed", planned.Checkpoint != "").AnErr("refusal", err).Msg("start answered")
}

// logFailedAttempt logs the first attempt of a start and then one in loggedAttempts of those that have to be repeated.
func (s *session) logFailedAttempt(planned dispatch.Start, err error, attempt int) {
	if attempt%loggedAttempts != 1 {
		return
	}
	s.logger.Info().Str("job", string(planned.Ref.Task.Job)).Str("task", planned.Ref.Task.String()).Int64("run", planned.Ref.Run).
		Int("attempt", attempt).Int64("incarnation", s.currentIncarnation()).Err(err).Msg("start not answered")
}

// stop sends a stop request until the worker confirms it or the core no longer wants it. It sends nothing while this VM may
// have been replaced as holder of the schedule. It reports the stop as unconfirmed if the address of the worker changes.
func (s *session) stop(ctx context.Context, planned dispatch.Stop) {
	s.acquireRequestSlot()
	defer func() { <-s.requestSlots }()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		err := errHolderUnconfirmed
		if s.leader.mayDecide(boottime.Now()) {
			err = s.conn.Stop(ctx, StopRequest{Ref: planned.Ref, Epoch: s.leader.Epoch}, requestTimeout)
		}
		if errors.Is(err, ErrStaleEpoch) {
			s.leader.stepDown("worker " + s.id)
			return
		}
		if errors.Is(err, ErrOtherIncarnation) {
			// The next watch request reports the worker as gone.
			return
		}
		if err == nil || errors.Is(err, ErrRunEnded) {
			count(counterStops)
			s.logger.Info().Str("job", string(planned.Ref.Task.Job)).Str("task", planned.Ref.Task.String()).Int64("run", planned.Ref.Run).
				Int("attempt", attempt).Str("reason", planned.Reason).Msg("stop answered")
			s.leader.enqueue(func(c *dispatch.Core) { c.StopConfirmed(s.id, planned.Ref) })
			return
		}
		boottime.Sleep(s.ctx, requestRetryInterval*time.Duration(min(attempt, maxStopBackoff)))
		if s.ctx.Err() != nil {
			s.leader.enqueue(func(c *dispatch.Core) { c.StopUnconfirmed(s.id, planned.Ref) })
			return
		}
		if !s.leader.query(ctx, func(c *dispatch.Core) bool { return c.WantsStop(s.id, planned.Ref) }) {
			return
		}
	}
}
