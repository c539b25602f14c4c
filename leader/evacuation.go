package leader

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/evacuation"
)

// evacuationMargin is subtracted from Options.EvacuationBound: a start that is permitted reaches its worker within one attempt.
const evacuationMargin = requestTimeout

// EvacuationsChanged makes the loop plan soon. It does not block.
func (l *Leader) EvacuationsChanged() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// evacuations returns the evacuated failure domains as of now, and whether they are known well enough to start work by them: every
// request that is older than the bound, less the time that a start attempt takes, is included.
func (l *Leader) evacuations(now time.Duration) (set evacuation.Set, known bool) {
	if l.Evacuations == nil {
		return set, true
	}
	set, confirmedAt := l.Evacuations()
	return set, now-confirmedAt < l.EvacuationBound-evacuationMargin
}

// readEvacuations passes the present evacuations to the core. It runs in the loop, before each plan.
func (l *Leader) readEvacuations() {
	set, known := l.evacuations(boottime.Now())
	l.core.SetEvacuations(set)
	l.core.SuspendStarts(!known)
}

// startPermission says whether a start may be sent to a worker now.
type startPermission int

const (
	startPermitted startPermission = iota
	// startUnconfirmed means that the evacuations are not known well enough.
	startUnconfirmed
	// startEvacuated means that the failure domain of the worker is evacuated.
	startEvacuated
)

// startPermission reports whether a start may be sent to the worker as of now on the boot clock. It is asked before every attempt, by
// the goroutine that sends it, so that no queue is between the answer and the request. The time of the attempt counts from now: the VM
// may be frozen before it sends the request.
func (s *session) startPermission(now time.Duration) startPermission {
	set, known := s.leader.evacuations(now)
	s.mu.Lock()
	evacuated := set.Contains(s.failureDomain)
	s.mu.Unlock()
	switch {
	case evacuated:
		return startEvacuated
	case !known:
		return startUnconfirmed
	}
	return startPermitted
}

// setFailureDomain sets the failure domain that the worker's entry names.
func (s *session) setFailureDomain(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureDomain = domain
}

// awaitPermission waits until the start may be sent, and reports whether it is still wanted then. It gives up a start on an evacuated
// worker. It holds no request slot while the evacuations are not known, so that stops can pass.
func (s *session) awaitPermission(ctx context.Context, a *startAttempts) bool {
	for ctx.Err() == nil {
		now := boottime.Now()
		switch s.startPermission(now) {
		case startPermitted:
			a.permittedAt = now
			return true
		case startEvacuated:
			count(counterStartsEvacuated)
			s.logger.Info().Str("job", string(a.planned.Ref.Task.Job)).Str("task", a.planned.Ref.Task.String()).Int64("run", a.planned.Ref.Run).
				Int("attempts", a.count).Msg("start given up: the failure domain is evacuated")
			s.giveUpStart(a, "the failure domain is evacuated")
			return false
		case startUnconfirmed:
			count(counterStartsHeld)
			<-s.requestSlots
			wanted := s.awaitRetry(ctx, a)
			s.acquireRequestSlot()
			if !wanted {
				return false
			}
			if !s.wantsStart(ctx, a.planned) {
				s.reportUnsent(a)
				return false
			}
		}
	}
	return false
}
