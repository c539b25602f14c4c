package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// Header fields of the endpoint contract.
const (
	HeaderRequestID   = "Redwing-Request-Id"
	HeaderDeadline    = "Redwing-Deadline-Ms"
	HeaderOutcome     = "Redwing-Outcome"
	HeaderInflight    = "Redwing-Endpoint-Inflight"
	HeaderIncarnation = "Redwing-Endpoint-Incarnation"
	HeaderState       = "Redwing-Endpoint-State"
	HeaderDigest      = "Content-Digest"
	stateLeaving      = "leaving"
	outcomeNotRun     = "not_run"
)

// Request is one attempt.
type Request struct {
	// ID is the request id that the endpoint must echo. Each attempt has its own, so that the response of an earlier
	// attempt is not taken for that of a later one.
	ID     string
	Method string
	// Path is the escaped path with the query, starting with a slash.
	Path string
	// Header holds the end-to-end header fields. Attempt takes it over and adds the fields of the contract.
	Header http.Header
	Body   []byte
	// Deadline is the caller's deadline; it is told to the endpoint.
	Deadline time.Time
	// Timeout bounds the exchange.
	Timeout time.Duration
	// BufferBytes is the size up to which the response's body is buffered. Larger bodies are streamed; 0 buffers none.
	BufferBytes int64
	// Fresh asks for a new connection.
	Fresh bool
	// BeforeWrite is called once right before the first byte may be written. An error ends the attempt unwritten.
	BeforeWrite func() error
}

// Failure says why an attempt has no response.
type Failure int

// The failures.
const (
	// NoFailure marks an attempt with a response.
	NoFailure Failure = iota
	// Busy means that the bound of connections left none.
	Busy
	// NoConnection means that no connection could be opened.
	NoConnection
	// Timeout means that the exchange exceeded its time.
	Timeout
	// Broken means that the connection failed.
	Broken
	// Invalid means that the response was not whole or not that of the request.
	Invalid
	// Withheld means that the request itself must not be written, by the word of BeforeWrite or by its form.
	Withheld
)

// Response is a whole response, or the checked start of a large one.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body unless Stream is set.
	Body []byte
	// Stream is the body of a large response. It must be closed. It returns an error in place of the last bytes if the
	// body is not whole.
	Stream io.ReadCloser
	// Length is the length of the body in bytes.
	Length int64
}

// Result is what came of an attempt.
type Result struct {
	// Response is nil if Failure is set.
	Response *Response
	Failure  Failure
	Err      error
	// Written reports whether any byte of the request may have reached the endpoint.
	Written bool
	// NotRun reports the endpoint's statement that the request did not run.
	NotRun bool
	// Reused reports whether the connection had carried an exchange before.
	Reused bool
	// Inflight is the load that the endpoint reported, -1 without a valid response.
	Inflight    int
	Incarnation string
	Leaving     bool
	Took        time.Duration
}

// Attempt makes one attempt at the endpoint of address, with at most maxOpen connections to it. It writes the request at
// most once.
func (p *Pools) Attempt(ctx context.Context, address string, maxOpen int, r *Request) Result {
	start := time.Now()
	result := Result{Inflight: -1}
	pool := p.pool(address)
	if pool == nil {
		return fail(result, Busy, errBusy)
	}
	c, err := pool.get(ctx, maxOpen, r.Fresh)
	if err != nil {
		kind := NoConnection
		if errors.Is(err, errBusy) {
			kind = Busy
		}
		return fail(result, kind, err)
	}
	result.Reused = c.used
	message, err := buildRequest(address, r)
	if err == nil {
		err = r.BeforeWrite()
	}
	if err != nil {
		pool.putUnused(c)
		return fail(result, Withheld, err)
	}
	result = p.exchange(pool, c, r, message, start, result)
	result.Took = time.Since(start)
	return result
}

// fail returns the result with a failure.
func fail(result Result, kind Failure, err error) Result {
	result.Failure = kind
	result.Err = err
	return result
}

// exchange writes the request and reads the response on a connection, which it gives back or closes.
func (p *Pools) exchange(pool *pool, c *conn, r *Request, message *http.Request, start time.Time, result Result) Result {
	c.written = 0
	c.SetDeadline(exchangeDeadline(r, start))
	err := message.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	result.Written = c.written > 0
	if err != nil {
		return p.broken(pool, c, start, result, err)
	}
	c.limit.N = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, message)
	if err != nil {
		return p.broken(pool, c, start, result, err)
	}
	// The header is read; the body is bounded by its length.
	c.limit.N = 1 << 62
	return p.receive(pool, c, r, response, start, result)
}

// exchangeDeadline returns the end of the exchange.
func exchangeDeadline(r *Request, start time.Time) time.Time {
	end := start.Add(r.Timeout)
	if r.Deadline.Before(end) {
		return r.Deadline
	}
	return end
}

// broken ends an exchange whose connection failed.
func (p *Pools) broken(pool *pool, c *conn, start time.Time, result Result, err error) Result {
	pool.discard(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		pool.timedOut(start)
		return fail(result, Timeout, errkind.Wrap(err, errkind.DeadlineExceeded, "see the outcome",
			"endpoint did not respond in time"))
	}
	return fail(result, Broken, errkind.Wrap(err, errkind.Unavailable, "see the outcome",
		"connection to the endpoint failed"))
}

// buildRequest returns the message of an attempt.
func buildRequest(address string, r *Request) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "send a valid path", "path is malformed")
	}
	header := r.Header
	if header == nil {
		header = http.Header{}
	}
	header[HeaderRequestID] = []string{r.ID}
	left := max(0, time.Until(r.Deadline).Milliseconds())
	header[HeaderDeadline] = []string{strconv.FormatInt(left, 10)}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	message := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          address,
		Header:        header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return message, nil
}

// receive checks the response and reads its body.
func (p *Pools) receive(pool *pool, c *conn, r *Request, response *http.Response, start time.Time, result Result) Result {
	digest, fault := checkHeader(r, response)
	if fault != nil && !p.trust {
		pool.discard(c)
		return fail(result, Invalid, fault)
	}
	keep := !response.Close
	hasBody := bodyAllowed(r.Method, response.StatusCode)
	out := &Response{Status: response.StatusCode, Header: response.Header, Length: max(0, response.ContentLength)}
	if hasBody && response.ContentLength > r.BufferBytes && digest != nil {
		out.Stream = newStream(pool, c, response.Body, response.ContentLength, digest, keep)
		return p.finish(result, out)
	}
	if hasBody {
		body, err := readBody(response)
		if err != nil && !p.trust {
			return p.broken(pool, c, start, result, err)
		}
		out.Body = body
		fault = errors.Join(fault, err, checkBody(body, response.ContentLength, digest))
	}
	if fault != nil && !p.trust {
		pool.discard(c)
		return fail(result, Invalid, fault)
	}
	invariant.Check(fault == nil, invariant.AnswerWhole, "response to request %s is passed on: %v", r.ID, fault)
	if keep && c.reader.Buffered() == 0 {
		pool.put(c)
	} else {
		pool.discard(c)
	}
	return p.finish(result, out)
}

// readBody reads a body that is to be buffered.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 {
		return io.ReadAll(response.Body)
	}
	body := make([]byte, response.ContentLength)
	n, err := io.ReadFull(response.Body, body)
	if err != nil {
		return body[:n], err
	}
	// The read at the end makes net/http check that nothing is missing.
	_, err = response.Body.Read(make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return body, err
}

// finish fills in what the response states about the endpoint.
func (p *Pools) finish(result Result, out *Response) Result {
	result.Response = out
	result.NotRun = out.Status == http.StatusServiceUnavailable && out.Header.Get(HeaderOutcome) == outcomeNotRun
	result.Incarnation = out.Header.Get(HeaderIncarnation)
	result.Leaving = out.Header.Get(HeaderState) == stateLeaving
	if n, err := strconv.Atoi(out.Header.Get(HeaderInflight)); err == nil && n >= 0 {
		result.Inflight = n
	}
	return result
}
