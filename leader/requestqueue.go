package leader

import (
	"context"
	"sync"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
)

// requestQueue holds the start and stop requests to one worker that wait for a request slot. A request has a goroutine only while it holds
// a slot: a goroutine takes several times as much memory as a queued request. The zero value is ready for use.
type requestQueue struct {
	mu sync.Mutex
	// Stops go first, since other work may wait for what they free, then the starts of urgent work.
	stops          []dispatch.Stop
	urgent, starts []queuedStart
	// running is true while a goroutine hands out the requests.
	running bool
}

// queuedStart is a start that waits for a request slot. waited is true if no slot was free when its turn might have come: the core may not
// want it any more.
type queuedStart struct {
	dispatch.Start
	waited bool
}

// queueStop queues a stop request.
func (s *session) queueStop(ctx context.Context, stop dispatch.Stop) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.stops = append(s.queue.stops, stop)
	s.handOut(ctx)
}

// queueStart queues a start request.
func (s *session) queueStart(ctx context.Context, start dispatch.Start) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	if start.Urgent {
		s.queue.urgent = append(s.queue.urgent, queuedStart{Start: start})
	} else {
		s.queue.starts = append(s.queue.starts, queuedStart{Start: start})
	}
	s.handOut(ctx)
}

// handOut starts a goroutine that hands out the queued requests, unless one runs. queue.mu must be held.
func (s *session) handOut(ctx context.Context) {
	if s.queue.running {
		return
	}
	s.queue.running = true
	s.leader.spawn(func() { s.handOutRequests(ctx) })
}

// handOutRequests sends each queued request once a slot is free, until none is left or ctx ends. While the evacuations are not known,
// starts stay in the queue, where they hold up no stop.
func (s *session) handOutRequests(ctx context.Context) {
	for {
		waited, ok := s.awaitRequestSlot(ctx)
		if !ok {
			return
		}
		startsPermitted := s.startPermission(boottime.Now()) != startUnconfirmed
		stop, start := s.queue.next(waited, startsPermitted)
		switch {
		case stop != nil:
			s.leader.spawn(func() { s.sendStop(ctx, *stop) })
		case start != nil:
			s.leader.spawn(func() { s.sendStart(ctx, start.Start, start.waited) })
		default:
			<-s.requestSlots
			if s.queue.finish() {
				return
			}
			if !startsPermitted {
				boottime.Sleep(ctx, requestRetryInterval)
			}
		}
	}
}

// awaitRequestSlot waits for a request slot and reports whether it had to wait; ok is false if ctx has ended first.
func (s *session) awaitRequestSlot(ctx context.Context) (waited, ok bool) {
	if ctx.Err() != nil {
		return false, false
	}
	select {
	case s.requestSlots <- struct{}{}:
		return false, true
	default:
	}
	select {
	case s.requestSlots <- struct{}{}:
		return true, true
	case <-ctx.Done():
		return true, false
	}
}

// next removes and returns the next request; both results are nil if none may be sent now. waited is true if the slot was not free at once.
func (q *requestQueue) next(waited, startsPermitted bool) (*dispatch.Stop, *queuedStart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waited {
		markWaited(q.urgent)
		markWaited(q.starts)
	}
	if len(q.stops) > 0 {
		stop := q.stops[0]
		q.stops = q.stops[1:]
		return &stop, nil
	}
	if !startsPermitted {
		markWaited(q.urgent)
		markWaited(q.starts)
		return nil, nil
	}
	queue := &q.urgent
	if len(*queue) == 0 {
		queue = &q.starts
	}
	if len(*queue) == 0 {
		return nil, nil
	}
	start := (*queue)[0]
	*queue = (*queue)[1:]
	return nil, &start
}

// markWaited marks the starts as having waited. Later ones are in the queue for less time, so those from the end to the
// first one that is marked already are new.
func markWaited(starts []queuedStart) {
	for i := len(starts) - 1; i >= 0 && !starts[i].waited; i-- {
		starts[i].waited = true
	}
}

// finish reports whether the queue is empty; the goroutine that hands out the requests must end then.
func (q *requestQueue) finish() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.stops)+len(q.urgent)+len(q.starts) > 0 {
		return false
	}
	q.stops, q.urgent, q.starts = nil, nil, nil
	q.running = false
	return true
}
