package callerconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// phase is the part of a request in which a connection is.
type phase int

const (
	// phaseIdle is the time between two requests, phaseHeader that from the first byte of a header, or from the opening of
	// the connection, to its end.
	phaseIdle phase = iota
	phaseHeader
	// phaseBody is the time from the end of the header to the end of the body, if there is one.
	phaseBody
	// phaseServing is the time from the complete arrival of a request until its response is sent. net/http reads ahead then.
	phaseServing
	// phaseDraining is the time after the handler of a request whose body has not arrived completely.
	phaseDraining
	// phaseRefused is the time after a refusal that this package has sent.
	phaseRefused
)

// Ranks of connections in the order in which they are closed.
const (
	rankRefused = iota
	rankIdleFirst
	rankBehind
	rankIdleLast
	rankNever
)

// readAheadBytes is the size of the read buffer of net/http. So many bytes of a body may be read with its header.
const readAheadBytes = 4 << 10

// conn is a connection that is charged to the budgets of its limiter. The limiter's mu guards its fields.
type conn struct {
	net.Conn
	limiter *Limiter

	phase phase
	// reading is true while the process waits for bytes of the caller.
	reading bool
	// since is the begin of the phase.
	since time.Time
	// due is the time at which the connection falls behind minPace. Each received byte moves it on, up to progressWindow
	// after its arrival.
	due time.Time
	// writeEnd is the deadline that the server or a handler has set for writes, zero for none.
	writeEnd time.Time
	// headerBytes is the number of bytes received since the begin of the header, math.MaxInt if it began before.
	headerBytes int
	// charged is what the connection is charged, chargedBodies the part of it for bodies, reserved what its request has
	// reserved for decoding.
	charged, chargedBodies, reserved int64
	// evicted is true once the limiter has closed the connection, closed once its goroutine has.
	evicted, closed bool
}

// errEvicted is the error of reads of a connection that the limiter has closed. net/http sends no response after an error of
// this type.
var errEvicted error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// rank returns the place of the connection in the order in which connections are closed.
func (c *conn) rank(now time.Time, connsShort bool) int {
	if c.evicted || !c.reading {
		return rankNever
	}
	switch c.phase {
	case phaseRefused, phaseDraining:
		return rankRefused
	case phaseIdle:
		if connsShort {
			return rankIdleFirst
		}
		return rankIdleLast
	case phaseHeader, phaseBody:
		if now.Sub(c.due) >= steadyGap-progressWindow {
			return rankBehind
		}
	}
	return rankNever
}

// enter begins a phase. The limiter's mu must be held.
func (c *conn) enter(p phase, now time.Time) {
	c.phase, c.since = p, now
}

// deadline returns the time until which a read may take, zero for no limit; false if the phase has no rule of its own.
func (c *conn) deadline() (time.Time, bool) {
	limits := c.limiter.options.Request().withDefaults()
	switch c.phase {
	case phaseIdle:
		return c.since.Add(limits.IdleTimeout), true
	case phaseHeader:
		return c.since.Add(limits.HeaderTimeout), true
	case phaseBody:
		end := c.due.Add(stallTime)
		if limits.BodyTimeout > 0 && end.After(c.since.Add(limits.BodyTimeout)) {
			end = c.since.Add(limits.BodyTimeout)
		}
		return end, true
	case phaseDraining, phaseRefused:
		return c.since.Add(drainTime), true
	}
	return time.Time{}, false
}

// Read implements net.Conn. It applies the limits of the phase.
func (c *conn) Read(p []byte) (int, error) {
	l := c.limiter
	l.mu.Lock()
	if c.evicted {
		l.mu.Unlock()
		return 0, errEvicted
	}
	c.reading = true
	if end, ok := c.deadline(); ok {
		_ = c.Conn.SetReadDeadline(end)
	}
	l.mu.Unlock()
	n, err := c.Conn.Read(p)
	return c.received(p[:n], err)
}

// received records the result of a read and returns what net/http gets of it.
func (c *conn) received(p []byte, err error) (int, error) {
	l := c.limiter
	l.mu.Lock()
	c.reading = false
	if c.evicted {
		l.mu.Unlock()
		return 0, errEvicted
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.report.addTimeout(c.phase)
	}
	inHeader := len(p) > 0 && c.progress(len(p), time.Now())
	tooLarge := inHeader && c.headerBytes > l.options.Request().withDefaults().HeaderBytes+readAheadBytes
	l.mu.Unlock()
	if tooLarge && c.refuse(refusalHeaderTooLarge, p) {
		l.report.add(reasonHeaderTooLarge)
		return 0, errEvicted
	}
	if inHeader {
		cost := int64(len(p)*headerByteCost + bytes.Count(p, []byte{'\n'})*headerLineCost)
		if l.charge(c, need{bytes: cost}) != nil && c.refuse(refusalNoMemory, p) {
			return 0, errEvicted
		}
	}
	return len(p), err
}

// progress records the arrival of n bytes and reports whether they belong to a header. The limiter's mu must be held.
func (c *conn) progress(n int, now time.Time) (inHeader bool) {
	if c.phase == phaseIdle {
		c.enter(phaseHeader, now)
		c.headerBytes = 0
		c.due = now.Add(progressWindow)
	}
	if gain := time.Duration(n) * time.Second / minPace; now.Add(progressWindow).Sub(c.due) > gain {
		c.due = c.due.Add(gain)
	} else {
		c.due = now.Add(progressWindow)
	}
	if c.phase != phaseHeader {
		return false
	}
	c.headerBytes += n
	return true
}

// The responses to requests whose header is not read to its end.
const (
	refusalEnd            = "Content-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalHeaderTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalEnd
	refusalNoMemory       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterSeconds + "\r\n" + refusalEnd
)

// refuse sends a response and reads on for a moment, into buffer, because a caller that still sends might not receive the
// response from a connection that is closed at once. It reports false, and does nothing, if the header has ended meanwhile:
// net/http reads one byte ahead while it serves a request.
func (c *conn) refuse(response string, buffer []byte) bool {
	c.limiter.mu.Lock()
	refused := c.phase == phaseHeader && !c.evicted
	if refused {
		c.enter(phaseRefused, time.Now())
	}
	c.limiter.mu.Unlock()
	if !refused {
		return false
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if _, err := io.WriteString(c.Conn, response); err != nil || c.CloseWrite() != nil {
		return true
	}
	for {
		if _, err := c.Read(buffer); err != nil {
			return true
		}
	}
}

// CloseWrite ends the sending direction, so that the caller receives what was sent before the connection is closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Write implements net.Conn. It takes at most WriteTimeout, or until the time of SetWriteDeadline if that is earlier.
func (c *conn) Write(p []byte) (int, error) {
	if timeout := c.limiter.options.WriteTimeout; timeout > 0 {
		c.limiter.mu.Lock()
		end := time.Now().Add(timeout)
		if !c.writeEnd.IsZero() && c.writeEnd.Before(end) {
			end = c.writeEnd
		}
		_ = c.Conn.SetWriteDeadline(end)
		c.limiter.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(end time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writeEnd = end
	return c.Conn.SetWriteDeadline(end)
}

// Close implements net.Conn. It returns what the connection is charged.
func (c *conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		delete(l.conns, c)
		l.release(c, 0)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
