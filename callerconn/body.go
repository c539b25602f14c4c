package callerconn

import (
	"context"
	"io"
	"net/http"

	"github.com/redwingthread/redwingthread/errkind"
)

const (
	// firstBufferBytes is the size of the first buffer for a body, maxBufferBytes that of the largest. A body whose length is
	// known has no buffer beyond it.
	firstBufferBytes = 4 << 10
	maxBufferBytes   = 32 << 10
)

// ReadBody reads the body of a request, at most limit bytes, and charges the connection for it as it arrives. The charge ends
// with the request. The error is TooLarge for a longer body, Overloaded if there is no memory for it, and BadInput if it does
// not arrive completely.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errTooLarge(limit)
	}
	reader := bodyReader{conn: fromContext(r.Context()), body: r.Body, limit: limit, length: r.ContentLength}
	if err := reader.read(); err != nil {
		return nil, err
	}
	return reader.join(r.Context())
}

func errTooLarge(limit int64) error {
	return errkind.New(errkind.TooLarge, "send a smaller body", "request body exceeds %d bytes", limit)
}

// bodyReader reads a body into buffers.
type bodyReader struct {
	conn *conn
	body io.Reader
	// length is the length of the body, negative if it is unknown; limit is its maximum.
	length, limit int64
	buffers       [][]byte
	total         int64
}

// read reads the body to its end.
func (b *bodyReader) read() error {
	for end := false; !end; {
		size, err := b.nextSize()
		if err != nil {
			return err
		}
		if size == 0 {
			return b.expectEnd()
		}
		buffer := make([]byte, size)
		n, err := b.fill(buffer)
		if end = err == io.EOF; err != nil && !end {
			return errkind.Wrap(err, errkind.BadInput, "send the whole body", "request body could not be read completely")
		}
		b.buffers = append(b.buffers, buffer[:n])
		b.total += int64(n)
	}
	return nil
}

// nextSize returns the size of the next buffer, for which the connection is charged; 0 if no more bytes are allowed.
func (b *bodyReader) nextSize() (int64, error) {
	rest := b.limit - b.total
	if b.length >= 0 {
		rest = b.length - b.total
	}
	size := min(max(firstBufferBytes, b.total), maxBufferBytes, rest)
	if size <= 0 || b.conn == nil {
		return max(0, size), nil
	}
	return size, b.conn.limiter.charge(b.conn, need{bytes: size, bodies: size})
}

// fill reads until the buffer is full or the body has ended, which it reports by io.EOF.
func (b *bodyReader) fill(buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = b.body.Read(buffer[n:])
		n += m
	}
	return n, err
}

// expectEnd returns an error unless the body has ended at its limit.
func (b *bodyReader) expectEnd() error {
	var next [1]byte
	n, err := b.fill(next[:])
	if n > 0 {
		return errTooLarge(b.limit)
	}
	if err == io.EOF {
		return nil
	}
	return errkind.Wrap(err, errkind.BadInput, "send the whole body", "request body could not be read completely")
}

// join returns the body in one buffer.
func (b *bodyReader) join(ctx context.Context) ([]byte, error) {
	if len(b.buffers) == 1 {
		return b.buffers[0], nil
	}
	release, err := b.conn.reserve(ctx, b.total)
	if err != nil {
		return nil, err
	}
	defer release()
	whole := make([]byte, 0, b.total)
	for _, buffer := range b.buffers {
		whole = append(whole, buffer...)
	}
	return whole, nil
}

// Reserve waits until the request of ctx may use so many bytes to decode its body. The reservation ends with the request, or in
// part by Keep. It returns an Overloaded error if ctx ends before. A request reserves once.
func Reserve(ctx context.Context, size int64) error {
	c := fromContext(ctx)
	if c == nil {
		return nil
	}
	size = c.limiter.decodeSize(size)
	if err := c.limiter.reserve(ctx, size); err != nil {
		return err
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.reserved += size
	return nil
}

// Keep returns what the request of ctx has reserved beyond size.
func Keep(ctx context.Context, size int64) {
	c := fromContext(ctx)
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if rest := c.reserved - size; rest > 0 {
		c.limiter.decode.Release(rest)
		c.reserved = size
	}
}

// reserve reserves memory until release is called. A nil connection has no limit.
func (c *conn) reserve(ctx context.Context, size int64) (release func(), err error) {
	if c == nil {
		return func() {}, nil
	}
	size = c.limiter.decodeSize(size)
	if err := c.limiter.reserve(ctx, size); err != nil {
		return nil, err
	}
	return func() { c.limiter.decode.Release(size) }, nil
}

// decodeSize returns the part of size that can be reserved. One request is served alone, whatever it needs.
func (l *Limiter) decodeSize(size int64) int64 { return min(size, l.options.Limits.DecodeBytes) }

func (l *Limiter) reserve(ctx context.Context, size int64) error {
	if err := l.decode.Acquire(ctx, size); err != nil {
		l.report.add(reasonNoMemory)
		return errkind.Wrap(err, errkind.Overloaded, "try again after the time in Retry-After", "the memory for decoded requests is in use")
	}
	return nil
}
