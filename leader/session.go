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
	// watchWait is how long a worker may wait for an end before it answers. It is also the interval of lease renewals.
	watchWait = 1500 * time.Millisecond
	// watchMargin is added to the wait for the deadline of a call.
	watchMargin = 700 * time.Millisecond
	// unnotedPause is the pause between two lists while ends cannot be stored.
	unnotedPause = 400 * time.Millisecond
	// watchRetry is the pause after a failed call; it grows up to maxWatchRetry.
	watchRetry    = 100 * time.Millisecond
	maxWatchRetry = 800 * time.Millisecond
	// orderTimeout bounds one attempt of an order, orderRetry is the pause before the next one.
	orderTimeout = 500 * time.Millisecond
	orderRetry   = 50 * time.Millisecond
	// maxStopBackOff bounds the growth of the pause between attempts of a stop.
	maxStopBackOff = 8
	// unhealthyAttempts is how often an order is sent to a worker that refuses all orders.
	unhealthyAttempts = 3
	// maxOrders is how many orders to one worker may be under way at once.
	maxOrders = 3
)

// session keeps one worker's lease, list and orders.
type session struct {
	id      string
	address string
	conn    WorkerConn
	leader  *Leader
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}

	mu    sync.Mutex
	lease leaseClock
	// dead reports that the core was told so since the last answer.
	dead  bool
	noted int64
	// notedChanged is closed and replaced when noted rises.
	notedChanged chan struct{}
	incarnation  int64
}

func (l *Leader) newSession(ctx context.Context, id, address string) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		id: id, address: address, leader: l, ctx: ctx, cancel: cancel,
		conn:         l.Workers.Connect(id, address),
		log:          l.out.With().Str("worker", id).Logger(),
		slots:        make(chan struct{}, maxOrders),
		lease:        leaseClock{lease: l.lease, end: l.startedAt + l.foreignLease()},
		notedChanged: make(chan struct{}),
	}
	l.sessions.Add(1)
	go func() {
		defer l.sessions.Done()
		s.watch(ctx)
	}()
	return s
}

// watch renews the lease and reports lists until ctx ends.
func (s *session) watch(ctx context.Context) {
	defer s.conn.Close()
	pause := watchRetry
	first := true
	var dependency telemetry.Dependency
	for ctx.Err() == nil {
		listing, sentAt, err := s.watchOnce(ctx, first)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrDeposed) {
			s.leader.deposed("worker " + s.id)
			return
		}
		dependency.Note(s.log, "worker", err)
		if err != nil {
			s.failed()
			boottime.Sleep(ctx, pause)
			pause = min(2*pause, maxWatchRetry)
			continue
		}
		first = false
		pause = watchRetry
		s.leader.post(func(c *dispatch.Core) { s.leader.noteListing(s, c.Listing(s.id, sentAt, listing)) })
		s.awaitNoted(ctx, listing)
	}
}

// watchOnce makes one call. The first call of a session and of a connection does not wait, and tells the worker nothing
// about ends: numbers of ends start anew in another incarnation.
func (s *session) watchOnce(ctx context.Context, first bool) (*workload.Listing, time.Duration, error) {
	watch := Watch{Fence: s.leader.Epoch, Wait: watchWait}
	fresh := first || !s.conn.SameConnection()
	s.mu.Lock()
	if fresh {
		watch.Wait = 0
	} else {
		watch.Noted = s.noted
	}
	s.mu.Unlock()
	if s.leader.mayRenew() {
		watch.LeaseUntilMS = s.leaseUntil()
	}
	sentAt := boottime.Now()
	listing, err := s.conn.Watch(ctx, watch, watch.Wait+watchMargin)
	if err != nil {
		return nil, sentAt, err
	}
	s.answered(listing)
	return listing, sentAt, nil
}

// answered takes in the worker's clock and incarnation.
func (s *session) answered(listing *workload.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = false
	s.lease.answered(boottime.Now(), listing.ClockMS)
	if s.incarnation != listing.Incarnation {
		s.incarnation = listing.Incarnation
		s.noted = 0
	}
}

// leaseUntil returns the time of the worker's clock until which a lease sent now lasts; 0 while the clock is unknown.
func (s *session) leaseUntil() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.renew(boottime.Now())
}

// failed tells the core that the worker does not answer, and once its lease has ended, that nothing runs there.
func (s *session) failed() {
	s.mu.Lock()
	s.lease.failed()
	expired := !s.dead && s.lease.over(boottime.Now())
	if expired {
		s.dead = true
	}
	s.mu.Unlock()
	s.leader.post(func(c *dispatch.Core) {
		c.SetReachable(s.id, false)
		if expired {
			c.WorkerDead(s.id)
		}
	})
}

// awaitNoted waits until the ends of the listing are stored, since the next call would only return them again.
func (s *session) awaitNoted(ctx context.Context, listing *workload.Listing) {
	if len(listing.Ended) == 0 {
		return
	}
	last := listing.Ended[len(listing.Ended)-1].Sequence
	timer := time.NewTimer(unnotedPause)
	defer timer.Stop()
	for {
		s.mu.Lock()
		reached := s.noted >= last
		changed := s.notedChanged
		s.mu.Unlock()
		if reached {
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

// setNoted tells the worker with the next call that ends up to noted are stored.
func (s *session) setNoted(incarnation, noted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation || noted <= s.noted {
		return
	}
	s.noted = noted
	close(s.notedChanged)
	s.notedChanged = make(chan struct{})
}

func (s *session) currentIncarnation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// start sends a start until it is answered.
func (s *session) start(ctx context.Context, o dispatch.Start) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	startedAt := boottime.Now()
	defer func() { observe(timerStart, boottime.Now()-startedAt) }()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		order := StartOrder{
			Ref: o.Ref, Specification: o.Specification, Checkpoint: o.Checkpoint,
			LeaseUntilMS: s.leaseUntil(), Fence: s.leader.Epoch,
		}
		err := s.conn.Start(ctx, order, orderTimeout)
		if s.startSettled(o, err, attempt) {
			return
		}
		boottime.Sleep(s.ctx, orderRetry)
		if s.ctx.Err() != nil {
			s.leader.post(func(c *dispatch.Core) { c.AbandonStart(s.id, o.Ref, "the worker has another address") })
			return
		}
		if !s.leader.ask(ctx, func(c *dispatch.Core) bool { return c.WantsStart(s.id, o.Ref) }) {
			return
		}
	}
}

// startSettled reports the outcome of a start to the core; false if there is none yet.
func (s *session) startSettled(o dispatch.Start, err error, attempt int) bool {
	ref := o.Ref
	switch {
	case err == nil, errors.Is(err, ErrRunIsOver):
		s.leader.post(func(c *dispatch.Core) { c.StartAccepted(s.id, ref) })
	case errors.Is(err, ErrDeposed):
		s.leader.deposed("worker " + s.id)
	case errors.Is(err, ErrNoAnswer), errors.Is(err, ErrLate):
		return false
	case errors.Is(err, ErrUnhealthy) && attempt < unhealthyAttempts:
		return false
	case attempt > 1:
		// An earlier attempt may have been carried out, or may be later. The worker must rule that out first.
		s.leader.post(func(c *dispatch.Core) { c.AbandonStart(s.id, ref, err.Error()) })
	default:
		s.leader.post(func(c *dispatch.Core) { c.StartRefused(s.id, ref, err.Error()) })
	}
	if err == nil {
		count(counterStartsAccepted)
	} else {
		count(counterStartsRefused)
	}
	s.log.Info().Str("job", string(ref.Task.Job)).Str("task", ref.Task.String()).Int64("run", ref.Run).
		Int("attempt", attempt).Bool("resumed", o.Checkpoint != "").AnErr("refusal", err).Msg("start answered")
	return true
}

// stop sends a stop until it is answered.
func (s *session) stop(ctx context.Context, o dispatch.Stop) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		err := s.conn.Stop(ctx, StopOrder{Ref: o.Ref, Fence: s.leader.Epoch}, orderTimeout)
		if errors.Is(err, ErrDeposed) {
			s.leader.deposed("worker " + s.id)
			return
		}
		if err == nil || errors.Is(err, ErrRunIsOver) {
			count(counterStops)
			s.log.Info().Str("job", string(o.Ref.Task.Job)).Str("task", o.Ref.Task.String()).Int64("run", o.Ref.Run).
				Int("attempt", attempt).Str("reason", o.Reason).Msg("stop answered")
			s.leader.post(func(c *dispatch.Core) { c.StopAnswered(s.id, o.Ref) })
			return
		}
		boottime.Sleep(s.ctx, orderRetry*time.Duration(min(attempt, maxStopBackOff)))
		if s.ctx.Err() != nil {
			s.leader.post(func(c *dispatch.Core) { c.StopUnanswered(s.id, o.Ref) })
			return
		}
		if !s.leader.ask(ctx, func(c *dispatch.Core) bool { return c.WantsStop(s.id, o.Ref) }) {
			return
		}
	}
}
