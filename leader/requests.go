package leader

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
)

const (
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

// start sends a start request until its outcome is known or the core no longer wants the start. It gives the start up if the
// address of the worker changes, if its process is not the one for which the start was decided, or if its failure domain is evacuated.
// Nothing is sent while the worker does not respond to watch requests: the lease in the start could not be extended.
func (s *session) start(ctx context.Context, planned dispatch.Start) {
	waited := s.acquireRequestSlot()
	s.sendStart(ctx, planned, waited)
}

// sendStart is start with a request slot, which it releases. waited is true if the core may not want the start any more.
func (s *session) sendStart(ctx context.Context, planned dispatch.Start, waited bool) {
	attempts := startAttempts{planned: planned, sent: planned.Repeated}
	defer func() { <-s.requestSlots }()
	if waited && !s.wantsStart(ctx, planned) {
		s.reportUnsent(&attempts)
		return
	}
	startedAt := boottime.Now()
	defer func() { observe(timerStart, boottime.Now()-startedAt) }()
	if !s.responding() && !s.awaitRetry(ctx, &attempts) {
		return
	}
	for s.awaitPermission(ctx, &attempts) {
		if s.processReplaced(planned.Incarnation) {
			s.giveUpStart(&attempts, ErrProcessReplaced.Error())
			return
		}
		request := StartRequest{
			Ref: planned.Ref, Incarnation: planned.Incarnation, Specification: planned.Specification, Checkpoint: planned.Checkpoint,
			LeaseUntilMS: s.leaseUntil(boottime.Now(), planned.Incarnation), Epoch: s.leader.Epoch,
			Withdraw: s.leader.Evacuations != nil,
		}
		err := s.conn.Start(ctx, request, requestTimeout-(boottime.Now()-attempts.permittedAt))
		attempts.count++
		attempts.sent = attempts.sent || !errors.Is(err, ErrNotSent)
		attempts.leaseUntilMS = request.LeaseUntilMS
		if errors.Is(err, ErrProcessReplaced) {
			s.reportReplaced(&attempts)
			return
		}
		if s.reportStartOutcome(&attempts, err) {
			return
		}
		s.logFailedAttempt(&attempts, err)
		if !s.awaitRetry(ctx, &attempts) {
			return
		}
	}
}

// startAttempts holds the attempts of a start that had no response so far.
type startAttempts struct {
	planned dispatch.Start
	count   int
	// sent is true if part of an attempt, be it an earlier holder's, may have reached the worker.
	sent bool
	// permittedAt is the time as of which the last attempt was permitted.
	permittedAt time.Duration
	// leaseUntilMS is the lease in the last attempt.
	leaseUntilMS int64
}

// awaitRetry waits until a start without response may be sent again, and reports whether it may. While the worker does not
// respond to watch requests, its process may have ended with the start. A start that was never sent does not wait for such a worker.
func (s *session) awaitRetry(ctx context.Context, a *startAttempts) bool {
	for {
		boottime.Sleep(s.ctx, requestRetryInterval)
		if s.ctx.Err() != nil {
			s.giveUpStart(a, "the address of the worker has changed")
			return false
		}
		if !s.wantsStart(ctx, a.planned) {
			s.reportUnsent(a)
			return false
		}
		responding := s.responding()
		switch {
		case s.processReplaced(a.planned.Incarnation):
			s.giveUpStart(a, ErrProcessReplaced.Error())
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

// reportUnsent reports a start that is not wanted any more and was never sent. Its run cannot begin, so the core need not wait for its
// worker to confirm a stop, which a worker that cannot be reached would not do before its lease has expired.
func (s *session) reportUnsent(a *startAttempts) {
	if !a.sent {
		s.giveUpStart(a, ErrNotSent.Error())
	}
}

// reportReplaced gives up a start that was not sent because the worker's process has been replaced. Unless the session has noticed that
// already, the open watch request still waits for the former process; it is ended, so that the runs of the new one are listed soon.
func (s *session) reportReplaced(a *startAttempts) {
	s.logAttempt(a).Msg("start not sent: the worker's process has been replaced")
	s.leader.enqueue(func(c *dispatch.Core) {
		if s.leader.sessions[s.id] == s && !s.processReplaced(a.planned.Incarnation) {
			c.SetUnreachable(s.id, false)
		}
	})
	s.giveUpStart(a, ErrProcessReplaced.Error())
	s.interruptWatch(a.planned.Incarnation)
}

// processReplaced reports whether another process than the given one has responded last in the session.
func (s *session) processReplaced(incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation != 0 && s.incarnation != incarnation
}

// responding reports whether the worker has responded to the latest watch request that ended.
func (s *session) responding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lease.Silent()
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
func (s *session) reportStartOutcome(a *startAttempts, err error) bool {
	ref := a.planned.Ref
	switch {
	case err == nil:
		s.leader.enqueue(func(c *dispatch.Core) { c.StartAccepted(s.id, ref) })
	case errors.Is(err, ErrRunEnded):
		s.leader.enqueue(func(c *dispatch.Core) { c.StartClosed(s.id, ref) })
	case errors.Is(err, ErrStaleEpoch):
		s.leader.stepDown("worker " + s.id)
	case errors.Is(err, ErrOtherIncarnation):
		// The next watch request reports the worker as gone.
	case errors.Is(err, ErrNoResponse), errors.Is(err, ErrLeaseExpired):
		return false
	case errors.Is(err, ErrUnhealthy) && a.count < maxUnhealthyAttempts:
		return false
	case a.count > 1 || a.planned.Repeated:
		// An earlier attempt may have been executed, or may be executed later; the worker must rule that out first.
		s.leader.enqueue(func(c *dispatch.Core) { c.AbandonStart(s.id, ref, err.Error()) })
	default:
		s.leader.enqueue(func(c *dispatch.Core) { c.StartRejected(s.id, ref, err.Error()) })
	}
	s.logOutcome(a, err)
	return true
}

// logOutcome logs and counts the outcome of a start.
func (s *session) logOutcome(a *startAttempts, err error) {
	if err == nil {
		count(counterStartsAccepted)
	} else {
		count(counterStartsRefused)
	}
	s.logAttempt(a).Bool("resumed", a.planned.Checkpoint != "").AnErr("refusal", err).Msg("start answered")
	s.logIfCancelled(a, err)
}

// logIfCancelled logs and counts an accepted start whose job was cancelled, as far as this VM has read: its stop follows.
func (s *session) logIfCancelled(a *startAttempts, err error) {
	if err != nil || s.leader.View == nil {
		return
	}
	if entry, known := s.leader.View.Get(a.planned.Ref.Task.Job); known && entry.Cancelled {
		count(counterStartsCancelled)
		s.logAttempt(a).Msg("start answered after the cancellation of its job")
	}
}

// logFailedAttempt logs the first attempt of a start and then one in loggedAttempts of those that have to be repeated.
func (s *session) logFailedAttempt(a *startAttempts, err error) {
	if a.count%loggedAttempts != 1 {
		return
	}
	s.logAttempt(a).Err(err).Msg("start not answered")
}

// logAttempt begins a log line about the last attempt of a start.
func (s *session) logAttempt(a *startAttempts) *zerolog.Event {
	ref := a.planned.Ref
	return s.logger.Info().Str("job", string(ref.Task.Job)).Str("task", ref.Task.String()).Int64("run", ref.Run).
		Int("attempt", a.count).Int64("incarnation", s.currentIncarnation()).Int64("lease_until_ms", a.leaseUntilMS)
}

// stop sends a stop request until the worker confirms it or the core no longer wants it. It sends nothing while this VM may
// have been replaced as holder of the schedule. It reports the stop as unconfirmed if the address of the worker changes.
func (s *session) stop(ctx context.Context, planned dispatch.Stop) {
	s.acquireRequestSlot()
	s.sendStop(ctx, planned)
}

// sendStop is stop with a request slot, which it releases.
func (s *session) sendStop(ctx context.Context, planned dispatch.Stop) {
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
