package callerconn

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

// retryAfterSeconds is the value of the Retry-After header of refusals. Another VM may be able to serve the request at once.
const retryAfterSeconds = "1"

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

// connContext is the ConnContext hook of the server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// fromContext returns the connection of a request; nil if a Limiter does not serve it.
func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

// connState is the ConnState hook of the server. A connection becomes idle once its response is sent.
func connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	now := time.Now()
	c.enter(phaseIdle, now)
	c.due = now
}

// handler returns a handler that accounts for the requests to next.
func (l *Limiter) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r) {
			panic(http.ErrAbortHandler)
		}
		defer c.end()
		hasBody := r.ContentLength != 0
		if hasBody {
			// A response before the end of the body must close the connection: net/http would otherwise wait for the rest
			// of the body before it sends the response.
			w.Header().Set("Connection", "close")
		}
		if c.headerTooLarge(r) {
			l.report.add(reasonHeaderTooLarge)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if r.Method == http.MethodOptions && r.RequestURI == "*" {
			// The answer of net/http, whose own handler Prepare disables.
			w.Header().Set("Content-Length", "0")
			return
		}
		if hasBody {
			// The request of the server must keep its body, whose type net/http examines.
			outer := r
			r = r.WithContext(r.Context())
			r.Body = &requestBody{ReadCloser: outer.Body, conn: c, header: w.Header()}
		}
		next.ServeHTTP(w, r)
	})
}

// headerTooLarge reports whether the request line and the header exceed their limit. net/http has removed the white space, so
// that the size is known only up to two bytes a line: the space after the name, which is optional, and the carriage return.
// The number of received bytes decides if they matter.
func (c *conn) headerTooLarge(r *http.Request) bool {
	limit := c.limiter.options.Request().withDefaults().HeaderBytes
	size, fields := headerSizeAndFields(r)
	if size <= limit {
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	const otherLines = 3
	return c.headerBytes > limit || size-2*(fields+otherLines) > limit
}

// headerSizeAndFields returns the size of the request line and the header in the usual form, and the number of fields but Host.
func headerSizeAndFields(r *http.Request) (size, fields int) {
	const lineEnd, separator = 2, 2
	size = len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd + lineEnd
	if r.Host != "" {
		size += len("Host: ") + len(r.Host) + lineEnd
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
			fields++
		}
	}
	return size, fields
}

// begin records that the header of a request has arrived. It reports false if the connection was closed or the request
// refused before.
func (c *conn) begin(r *http.Request) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted || c.closed || c.phase == phaseRefused {
		return false
	}
	if c.phase != phaseHeader {
		// The header arrived together with the request before it.
		c.headerBytes = math.MaxInt
	}
	next := phaseServing
	if r.ContentLength != 0 {
		next = phaseBody
	}
	c.enter(next, time.Now())
	_ = c.Conn.SetReadDeadline(time.Time{})
	size, fields := headerSizeAndFields(r)
	if cost := int64(size*headerByteCost + fields*headerLineCost); cost > c.charged-connectionBytes {
		// A part of the header arrived together with the request before it.
		l.chargeNow(c, need{bytes: cost - (c.charged - connectionBytes)})
	}
	return true
}

// end records the end of the handler and returns what the request is charged.
func (c *conn) end() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseDraining, time.Now())
	}
	l.release(c, connectionBytes)
	if c.reserved > 0 {
		l.decode.Release(c.reserved)
		c.reserved = 0
	}
}

// bodyArrived records that the body has arrived completely. It reports false if the connection was closed before.
func (c *conn) bodyArrived() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.evicted {
		return false
	}
	if c.phase == phaseBody {
		c.enter(phaseServing, time.Now())
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return true
}

// requestBody is the body of a request. It reports the end of the body to the connection.
type requestBody struct {
	io.ReadCloser
	conn   *conn
	header http.Header
}

// Read implements io.Reader. Its end is an error if the connection was closed before.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if !b.conn.bodyArrived() {
			return 0, errEvicted
		}
		b.header.Del("Connection")
	}
	return n, err
}
