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
	"github.com/redwingthread/redwingthread/workerlease"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// watchWait is how long a worker may hold a watch request open until a run ends. It is also the interval of lease
	// renewals.
	watchWait = 1500 * time.Millisecond
	// watchMargin is added to the wait to give the timeout of a watch request.
	watchMargin = ListingTimeout
	// unstoredEndsPause is the pause between two watch requests while reported ends are not stored.
	unstoredEndsPause = 400 * time.Millisecond
	// watchRetryInterval is the pause after a failed watch request; it doubles with each failure up to
	// maxWatchRetryInterval.
	watchRetryInterval    = 100 * time.Millisecond
	maxWatchRetryInterval = 800 * time.Millisecond
)

// errInterrupted means that this VM ended a watch request, so that the lack of a response says nothing about the worker.
var errInterrupted = errors.New("leader: the watch request was ended because another process runs at the worker's address")

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
	queue        requestQueue

	mu    sync.Mutex
	lease workerlease.Lease
	// storedEnd is the sequence number up to which the ends of the current incarnation are stored.
	storedEnd int64
	// listedEnd is the highest sequence number of the ends that the current incarnation has listed.
	listedEnd int64
	// storedEndChanged is closed and replaced when storedEnd rises.
	storedEndChanged chan struct{}
	// incarnation is the worker's incarnation as of the last response.
	incarnation int64
	contact     contact
	// expiryLogged is true once the expiry of the lease has been logged, until the worker responds again.
	expiryLogged bool
	// failureDomain is the failure domain that the worker's entry names.
	failureDomain string
	// cancelWatch ends the watch request in flight, or the last one; nil if that is the first one on its connection.
	cancelWatch context.CancelFunc
	// reconnect is true if the connection of the watch requests leads to a process that has been replaced.
	reconnect bool

	// deregistered is true if the worker announced that it leaves and then removed its entry. It is used only by the loop's goroutine.
	deregistered bool
}

// newSession opens a session to the worker and starts to watch it. The leases that this holder and earlier ones have granted to the
// worker expire at leaseEnd at the latest.
func (l *Leader) newSession(ctx context.Context, id, address string, leaseEnd time.Duration) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		id: id, address: address, leader: l, ctx: ctx, cancel: cancel,
		conn:             l.Workers.Connect(id, address),
		logger:           l.logger.With().Str("worker", id).Logger(),
		requestSlots:     make(chan struct{}, maxRequests),
		lease:            workerlease.New(l.lease, l.MaxLease, leaseEnd),
		storedEndChanged: make(chan struct{}),
	}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		l.contain("watch a worker", func() { s.watch(ctx) })
	}()
	return s
}

// leaseEnd returns the latest time at which the leases that were granted in the session expire. That is final once the session has been
// cancelled.
func (s *session) leaseEnd() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.ExpiresAt()
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
		if errors.Is(err, errInterrupted) {
			continue
		}
		s.observe(&dependency, err)
		if err != nil {
			s.recordNoResponse(err)
			boottime.Sleep(ctx, pause)
			pause = min(2*pause, maxWatchRetryInterval)
			continue
		}
		first = false
		pause = watchRetryInterval
		s.leader.enqueue(func(c *dispatch.Core) { s.applyListing(c, sentAt, listing) })
		s.awaitStoredEnds(ctx, listing)
	}
}

// applyListing passes a listing to the core, unless the worker has another address now. It runs in the loop.
func (s *session) applyListing(c *dispatch.Core, sentAt time.Duration, listing *workload.Listing) {
	if s.leader.sessions[s.id] != s {
		return
	}
	processed := c.ApplyListing(s.id, sentAt, listing)
	s.leader.recordProcessedEnds(s, listing.Incarnation, processed)
}

// watchOnce sends one watch request and returns the listing and the time at which the request was sent. The first request
// of a session or connection does not wait, acknowledges no ends and renews no lease: it may reach another process, which numbers its
// ends from 1 again and has another clock.
func (s *session) watchOnce(ctx context.Context, first bool) (*workload.Listing, time.Duration, error) {
	request := WatchRequest{Epoch: s.leader.Epoch, Wait: watchWait}
	watchCtx, cancel, fresh := s.beginWatch(ctx, first)
	defer cancel()
	s.mu.Lock()
	if fresh {
		request.Wait = 0
	} else {
		request.StoredEnd = s.storedEnd
	}
	s.mu.Unlock()
	sentAt := boottime.Now()
	if !fresh && s.leader.mayRenew(sentAt) {
		request.LeaseUntilMS = s.leaseUntil(sentAt, s.currentIncarnation())
	}
	listing, err := s.conn.Watch(watchCtx, request, request.Wait+watchMargin)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, sentAt, errInterrupted
	}
	if err != nil {
		return nil, sentAt, err
	}
	s.recordResponse(listing, request.LeaseUntilMS)
	return listing, sentAt, nil
}

// beginWatch returns the context for a watch request, and whether the request is the first one of the session or its connection. Such a
// request reaches the process that runs now, and does not wait, so interruptWatch ends only the others.
func (s *session) beginWatch(ctx context.Context, first bool) (watchCtx context.Context, cancel context.CancelFunc, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconnect {
		s.reconnect = false
		s.conn.Close()
	}
	fresh = first || !s.conn.SameConnection()
	watchCtx, cancel = context.WithCancel(ctx)
	s.cancelWatch = nil
	if !fresh {
		s.cancelWatch = cancel
	}
	return watchCtx, cancel, fresh
}

// interruptWatch ends the watch request in flight and makes the next one use a new connection, if the process that has responded last is
// the given one, which has been replaced.
func (s *session) interruptWatch(process int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != process {
		return
	}
	s.reconnect = true
	if s.cancelWatch != nil {
		s.cancelWatch()
	}
}

// recordResponse records the worker's clock and incarnation from a listing. untilMS is the lease in the request for it.
func (s *session) recordResponse(listing *workload.Listing, untilMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.lease.RecordResponse(now, listing.Incarnation, listing.ClockMS)
	s.contact.recordResponse()
	s.expiryLogged = false
	if s.incarnation != listing.Incarnation {
		s.logProcess(listing, untilMS, now)
		s.incarnation = listing.Incarnation
		s.storedEnd, s.listedEnd = 0, 0
		s.reconnect = false
	}
	if n := len(listing.Ended); n > 0 {
		s.listedEnd = max(s.listedEnd, listing.Ended[n-1].Sequence)
	}
}

// logProcess logs and counts the first response of a worker's process. Of the lease in the request, the process grants what lies after
// its own clock. mu must be held.
func (s *session) logProcess(listing *workload.Listing, untilMS int64, now time.Duration) {
	if s.incarnation != 0 {
		count(counterWorkersRestarted)
	}
	s.logger.Info().Int64("incarnation", listing.Incarnation).Int64("former_incarnation", s.incarnation).
		Int64("clock_ms", listing.ClockMS).Int64("lease_until_ms", untilMS).Dur("lease_expires_in", s.lease.ExpiresAt()-now).
		Msg("first response of a worker's process")
}

// observe logs a change between responses and failures, the latter with the numbers of the last ends that the worker has listed and
// that are stored.
func (s *session) observe(dependency *telemetry.Dependency, err error) {
	logger := s.logger
	if err != nil {
		s.mu.Lock()
		logger = logger.With().Int64("listed_end", s.listedEnd).Int64("stored_end", s.storedEnd).Logger()
		s.mu.Unlock()
	}
	dependency.Observe(logger, "worker", err)
}

// leaseUntil returns the expiry of a lease that is sent now to the worker's process, in milliseconds of its clock; 0 if another
// process has responded last. If leases may not be extended, or the worker has another session by now, it is the expiry of the longest
// lease sent before.
func (s *session) leaseUntil(now time.Duration, process int64) int64 {
	mayRenew := s.leader.mayRenew(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !mayRenew || s.ctx.Err() != nil {
		return s.lease.Granted(process)
	}
	return s.lease.Renew(now, process)
}

// recordNoResponse records a watch request that failed with err. It reports the worker to the core as unreachable, and as gone
// if its lease has expired or another process has responded at its address. It repeats the report with each failed request,
// because the core may restore runs of the worker later.
func (s *session) recordNoResponse(err error) {
	s.mu.Lock()
	s.lease.RecordNoResponse()
	s.contact.recordFailure(err)
	now := boottime.Now()
	expired := s.lease.Expired(now)
	if expired && !s.expiryLogged {
		s.expiryLogged = true
		clockMS, age := s.lease.Clock(now)
		s.logger.Info().Int64("incarnation", s.incarnation).Int64("lease_until_ms", s.lease.Granted(s.incarnation)).
			Int64("clock_ms", clockMS).Dur("clock_age", age).Msg("lease of a silent worker has expired")
	}
	s.mu.Unlock()
	replaced, silent := errors.Is(err, ErrOtherIncarnation), timedOut(err)
	s.leader.enqueue(func(c *dispatch.Core) {
		if s.leader.sessions[s.id] != s {
			// The worker has another address now.
			return
		}
		c.SetUnreachable(s.id, silent)
		switch {
		case replaced:
			c.MarkWorkerGone(s.id, dispatch.GoneReplaced)
		case expired:
			c.MarkWorkerGone(s.id, dispatch.GoneLeaseExpired)
		}
		s.reportGoneIfDeregistered(c)
	})
}

// reportGoneIfDeregistered reports the worker as gone if it has removed its entry and its process has ended. A removal alone does not
// show that: the worker may still run what it was given. It runs in the loop.
func (s *session) reportGoneIfDeregistered(c *dispatch.Core) {
	if s.deregistered && s.processEnded() {
		c.MarkWorkerGone(s.id, dispatch.GoneDeregistered)
	}
}

// processEnded reports whether the requests to the worker show that its process has ended.
func (s *session) processEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact.processEnded()
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
