package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// phase is a phase of a gateway's life cycle. Phases only advance.
type phase int

const (
	// serving gateways accept requests and report ready.
	serving phase = iota
	// notReady gateways report not ready, but accept the requests that the load balancer still sends.
	notReady
	// rejecting gateways finish accepted requests and reject new ones.
	rejecting
)

// lifecycle holds the phase of the gateway and counts the accepted requests.
type lifecycle struct {
	mu sync.Mutex
	// phase is guarded by mu.
	phase phase
	// active is the number of accepted requests that are not finished; guarded by mu.
	active int
	// idle is closed when the phase is rejecting and active is 0.
	idle     chan struct{}
	idleOnce sync.Once
}

// init prepares the zero value for use.
func (l *lifecycle) init() { l.idle = make(chan struct{}) }

// enter counts a request as accepted and returns true, unless the gateway rejects new ones. If it returns true, leave
// must be called at the end of the request.
func (l *lifecycle) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == rejecting {
		return false
	}
	l.active++
	return true
}

// leave counts an accepted request as finished.
func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.closeIfIdle()
}

// closeIfIdle closes idle if the gateway rejects new requests and has finished all accepted ones. mu must be held.
func (l *lifecycle) closeIfIdle() {
	if l.phase == rejecting && l.active == 0 {
		l.idleOnce.Do(func() { close(l.idle) })
	}
}

// advance moves to the phase, unless that would be a step back.
func (l *lifecycle) advance(to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = max(l.phase, to)
	l.closeIfIdle()
}

// state returns the phase and the number of accepted requests that are not finished.
func (l *lifecycle) state() (phase, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase, l.active
}

// Ready reports whether the load balancer should send requests to this gateway. If not, reason says why.
func (g *Gateway) Ready() (ok bool, reason string) {
	g.refresh()
	if at, _ := g.lifecycle.state(); at != serving {
		return false, "shutting down"
	}
	if g.snapshot.Load() == nil {
		return false, "no configuration yet"
	}
	if !g.seated.Load() {
		return false, "more live gateways than seats"
	}
	if g.options.DrainRequested != nil && g.options.DrainRequested() {
		return false, "the configuration drains this VM"
	}
	return true, ""
}

// Shutdown stops the gateway gracefully: it reports not ready, accepts requests for another Options.ReactionTime,
// finishes the accepted requests, and closes all connections. It returns a DeadlineExceeded error if ctx ends before
// that.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.lifecycle.advance(notReady)
	g.options.Logger.Info().Str("failure_domain", g.owner.FailureDomain).Msg("shutdown started, gateway reports not ready")
	select {
	case <-time.After(g.options.ReactionTime):
	case <-ctx.Done():
	}
	g.lifecycle.advance(rejecting)
	if !g.unsafe.skipShutdownWait {
		select {
		case <-g.lifecycle.idle:
		case <-ctx.Done():
		}
	}
	_, active := g.lifecycle.state()
	completed := invariant.Check(active == 0, invariant.ShutdownDropsNothing,
		"%d accepted requests have no response at the end of a shutdown", active)
	err := g.server.Shutdown(ctx)
	g.pools.Close()
	if !completed {
		return errkind.New(errkind.DeadlineExceeded, "allow the shutdown more time",
			"shutdown aborted %d requests", active)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "allow the shutdown more time",
			"caller connections could not be closed in time")
	}
	return nil
}

// errShuttingDown returns the error of a gateway that is shutting down.
func errShuttingDown() error {
	return errkind.New(errkind.ShuttingDown, "send the request to another gateway", "gateway is shutting down")
}
