package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/redwingthread/redwingthread/errkind"
)

// Options configures a Limiter.
type Options struct {
	Limits Limits
	// Request returns the limits of a request that are in force; nil for the defaults.
	Request func() RequestLimits
	// WriteTimeout bounds each write to a caller; 0 for none.
	WriteTimeout time.Duration
	// Name is the name of the listener in metrics and log lines.
	Name    string
	Logger  zerolog.Logger
	Metrics metrics.Registry
}

// Limiter holds the budgets that all connections of a listener share. It is safe for concurrent use.
type Limiter struct {
	options Options
	report  *report
	decode  *semaphore.Weighted

	mu    sync.Mutex
	conns map[*conn]struct{}
	// used is what the connections are charged, usedBodies the part of it for bodies.
	used, usedBodies int64
	// waiters is the number of waits for the budgets, waitingBytes, waitingBodies and waitingConns what they wait for.
	waiters                     int
	waitingBytes, waitingBodies int64
	waitingConns                int
	// changed is closed and replaced when a part of a budget is returned while somebody waits.
	changed chan struct{}
	// checkedAt is when a wait last looked for connections to close.
	checkedAt time.Time
}

// New returns a limiter without connections.
func New(o Options) *Limiter {
	if o.Request == nil {
		o.Request = func() RequestLimits { return RequestLimits{} }
	}
	return &Limiter{options: o, report: newReport(o), decode: semaphore.NewWeighted(o.Limits.DecodeBytes),
		conns: map[*conn]struct{}{}, changed: make(chan struct{})}
}

// Prepare wraps the handler and sets the hooks of the server. It must be called once, before the server serves Listener. The
// server's own timeouts for headers and idle connections, and its limit of headers, do not apply.
func (l *Limiter) Prepare(server *http.Server) {
	server.Handler = l.handler(server.Handler)
	server.ConnContext = connContext
	server.ConnState = connState
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = 0, 0, 0
	// net/http would answer "OPTIONS *" without the handler, which accounts for the requests.
	server.DisableGeneralOptionsHandler = true
}

// Listener returns a listener whose connections share the budgets.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	return &limitListener{Listener: listener, limiter: l, done: make(chan struct{})}
}

// limitListener admits the connections of a listener.
type limitListener struct {
	net.Listener
	limiter *Limiter
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection and for room for it.
func (l *limitListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c, err := l.limiter.admit(raw, l.done)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the listener and ends a wait for room.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// need is a part of the budgets.
type need struct {
	bytes, bodies int64
	conns         int
}

// admit charges a new connection, after it has closed others if that is necessary. It waits until there is room.
func (l *Limiter) admit(raw net.Conn, done <-chan struct{}) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := need{bytes: connectionBytes, conns: 1}
	if !l.await(n, done, time.Time{}) {
		return nil, net.ErrClosed
	}
	now := time.Now()
	c := &conn{Conn: raw, limiter: l, since: now, phase: phaseHeader, due: now.Add(progressWindow), charged: connectionBytes}
	l.conns[c] = struct{}{}
	l.used += connectionBytes
	l.report.gauge(len(l.conns), l.used)
	return c, nil
}

// charge charges the connection for its current request. It waits for room, at most budgetWait, and returns an Overloaded
// error if there is none. The server may have closed the connection meanwhile, which is an error, too.
func (l *Limiter) charge(c *conn, n need) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := time.Now()
	fits := l.await(n, nil, began.Add(budgetWait))
	if c.closed {
		return errkind.Wrap(errEvicted, errkind.Overloaded, "send the request again", "the server has closed the connection")
	}
	if !fits {
		l.report.add(reasonNoMemory)
		return errkind.New(errkind.Overloaded, "try again after the time in Retry-After", "the memory for requests is in use")
	}
	// The caller could not send meanwhile.
	waited := time.Since(began)
	c.due, c.since = c.due.Add(waited), c.since.Add(waited)
	l.chargeNow(c, n)
	return nil
}

// chargeNow charges the connection without regard to the limits. mu must be held.
func (l *Limiter) chargeNow(c *conn, n need) {
	c.charged += n.bytes
	c.chargedBodies += n.bodies
	l.used += n.bytes
	l.usedBodies += n.bodies
	l.report.gauge(len(l.conns), l.used)
}

// release returns what the connection is charged beyond keep bytes, or all of it if the connection is closed. mu must be held.
func (l *Limiter) release(c *conn, keep int64) {
	if c.closed {
		keep = 0
	}
	l.used -= c.charged - keep
	l.usedBodies -= c.chargedBodies
	c.charged, c.chargedBodies = keep, 0
	l.report.gauge(len(l.conns), l.used)
	l.wake()
}

// wake ends the pause of all waits. mu must be held.
func (l *Limiter) wake() {
	if l.waiters > 0 {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// await waits until there is room for n, and closes connections for it. It reports false if done is closed or the deadline,
// if there is one, has passed. mu must be held; it is released during the wait.
func (l *Limiter) await(n need, done <-chan struct{}, deadline time.Time) bool {
	if l.waiters == 0 && l.fits(n) {
		return true
	}
	if !l.possible(n) {
		return false
	}
	l.wait(n, 1)
	defer l.wait(n, -1)
	for first := true; !l.fits(n); first = false {
		now := time.Now()
		if !deadline.IsZero() && now.After(deadline) {
			return false
		}
		// The search goes through all connections, so that many waits share it.
		if first || now.Sub(l.checkedAt) >= recheckInterval {
			l.checkedAt = now
			l.makeRoom(now)
		}
		changed := l.changed
		l.mu.Unlock()
		ended := pause(changed, done)
		l.mu.Lock()
		if ended {
			return false
		}
	}
	return true
}

// wait adds n to what is waited for, sign times.
func (l *Limiter) wait(n need, sign int) {
	l.waiters += sign
	l.waitingBytes += int64(sign) * n.bytes
	l.waitingBodies += int64(sign) * n.bodies
	l.waitingConns += sign * n.conns
}

// pause returns when changed is closed, after recheckInterval, or when done is closed, which it reports.
func pause(changed, done <-chan struct{}) (ended bool) {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-done:
		return true
	}
	return false
}

// bodyLimit returns the limit of all bodies together.
func (l *Limiter) bodyLimit() int64 {
	if limit := l.options.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return l.options.Limits.Bytes
}

// possible reports whether n fits if no other connection is open.
func (l *Limiter) possible(n need) bool {
	return n.bytes+connectionBytes <= l.options.Limits.Bytes && n.bodies <= l.bodyLimit()
}

// fits reports whether there is room for n. mu must be held.
func (l *Limiter) fits(n need) bool {
	return l.used+n.bytes <= l.options.Limits.Bytes && l.usedBodies+n.bodies <= l.bodyLimit() &&
		len(l.conns)+n.conns <= l.options.Limits.Connections
}

// makeRoom closes connections until there is room for all that is waited for, or none is left that may be closed. mu must be
// held.
func (l *Limiter) makeRoom(now time.Time) {
	bytes := l.used + l.waitingBytes - l.options.Limits.Bytes
	bodies := l.usedBodies + l.waitingBodies - l.bodyLimit()
	conns := len(l.conns) + l.waitingConns - l.options.Limits.Connections
	for c := range l.conns {
		// What a closed connection is charged is returned once its goroutine has ended.
		if c.evicted {
			bytes, bodies, conns = bytes-c.charged, bodies-c.chargedBodies, conns-1
		}
	}
	for bytes > 0 || bodies > 0 || conns > 0 {
		c := l.victim(now, conns > 0)
		if c == nil {
			return
		}
		l.evict(c)
		bytes, bodies, conns = bytes-c.charged, bodies-c.chargedBodies, conns-1
	}
}

// victim returns the connection to close next, nil if none may be closed: one whose request was refused, then the one that is
// furthest behind minPace. Idle connections come before the latter if connections are short, and after it if bytes are. mu
// must be held.
func (l *Limiter) victim(now time.Time, connsShort bool) *conn {
	var best *conn
	bestRank, bestLag := rankNever, time.Duration(0)
	for c := range l.conns {
		rank := c.rank(now, connsShort)
		if rank == rankNever || rank > bestRank {
			continue
		}
		lag := now.Sub(c.due)
		if rank < bestRank || lag > bestLag {
			best, bestRank, bestLag = c, rank, lag
		}
	}
	return best
}

// evict closes the connection. Its goroutine ends by the error of its read. mu must be held.
func (l *Limiter) evict(c *conn) {
	c.evicted = true
	reason := reasonLeastProgress
	if c.phase == phaseIdle {
		reason = reasonIdle
	}
	l.report.add(reason)
	_ = c.Conn.Close()
}
