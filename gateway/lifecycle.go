package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// phase is a step of a gateway's life.
type phase int

const (
	// serving gateways accept requests and are ready.
	serving phase = iota
	// unready gateways accept requests that the balancer still sends.
	unready
	// refusing gateways finish accepted requests and accept no new ones.
	refusing
)

// lifecycle counts the accepted requests and guards the order of a shutdown.
type lifecycle struct {
	mu sync.Mutex
	// phase is guarded by mu.
	phase phase
	// active counts accepted requests that have not been answered; guarded by mu.
	active int
	// idle is closed when the phase is refusing and active is 0.
	idle     chan struct{}
	idleOnce sync.Once
}

// init makes the zero value ready for use.
func (l *lifecycle) init() { l.idle = make(chan struct{}) }

// enter accepts a request unless the gateway refuses new ones. An accepted request must call leave.
func (l *lifecycle) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == refusing {
		return false
	}
	l.active++
	return true
}

// leave counts a request as answered.
func (l *lifecycle) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.closeIfIdle()
}

// closeIfIdle reports that the last accepted request was answered. The caller holds mu.
func (l *lifecycle) closeIfIdle() {
	if l.phase == refusing && l.active == 0 {
		l.idleOnce.Do(func() { close(l.idle) })
	}
}

// advance moves to a later phase.
func (l *lifecycle) advance(to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = max(l.phase, to)
	l.closeIfIdle()
}

// state returns the phase and the number of accepted requests.
func (l *lifecycle) state() (phase, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase, l.active
}

// Ready reports whether the balancer should send requests here, and why not.
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
	if g.options.Drained != nil && g.options.Drained() {
		return false, "the configuration drains this VM"
	}
	return true, ""
}

// Shutdown stops the gateway without cutting off a request: it turns unready, goes on accepting for the balancer's
// reaction time, answers what it accepted, and closes. It returns an error if ctx ends before that.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.lifecycle.advance(unready)
	g.options.Log.Info().Str("failure_domain", g.owner.FailureDomain).Msg("turned unready for shutdown")
	select {
	case <-time.After(g.options.ReactionTime):
	case <-ctx.Done():
	}
	g.lifecycle.advance(refusing)
	if !g.unsafe.cut {
		select {
		case <-g.lifecycle.idle:
		case <-ctx.Done():
		}
	}
	_, active := g.lifecycle.state()
	whole := invariant.Check(active == 0, invariant.ShutdownCutsNothing,
		"%d accepted requests are unanswered at the end of a shutdown", active)
	err := g.server.Shutdown(ctx)
	g.pools.Close()
	if !whole {
		return errkind.New(errkind.DeadlineExceeded, "allow the shutdown more time",
			"shutdown cut off %d requests", active)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.DeadlineExceeded, "allow the shutdown more time", "close of caller connections")
	}
	return nil
}

// errShuttingDown is the refusal of a gateway that stops.
func errShuttingDown() error {
	return errkind.New(errkind.ShuttingDown, "send the request to another gateway", "gateway is shutting down")
}
