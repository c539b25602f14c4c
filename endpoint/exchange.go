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

// Request describes one attempt to send a request to an endpoint.
type Request struct {
	// ID is the request id that the endpoint must echo. It must be unique for each attempt, so that the response to an
	// earlier attempt is not taken for that to a later one.
	ID     string
	Method string
	// Path is the escaped path with the query, starting with a slash.
	Path string
	// Header holds the end-to-end header fields. Attempt modifies it by adding the fields of the endpoint contract.
	Header http.Header
	Body   []byte
	// Deadline is the caller's deadline. It is sent to the endpoint as the remaining time.
	Deadline time.Time
	// Timeout is the maximum duration of the exchange.
	Timeout time.Duration
	// BufferBytes is the maximum size of a response body that is buffered. Larger bodies are streamed; 0 buffers none.
	BufferBytes int64
	// NewConnection requires a new connection.
	NewConnection bool
	// BeforeWrite is called right before the first byte is written. If it returns an error, the attempt ends and
	// nothing is written.
	BeforeWrite func() error
}

// Failure is the reason why an attempt has no response.
type Failure int

// The failures.
const (
	// NoFailure marks an attempt with a response.
	NoFailure Failure = iota
	// Busy means that all connections allowed to the endpoint were in use, or that the pools were closed.
	Busy
	// NoConnection means that no connection could be opened.
	NoConnection
	// Timeout means that the exchange exceeded its timeout or deadline.
	Timeout
	// Broken means that the connection failed during the exchange.
	Broken
	// Invalid means that the response did not belong to the request or failed another check.
	Invalid
	// NotSent means that the request was not written because BeforeWrite returned an error or its path is malformed.
	NotSent
)

// Response is a complete response, or the checked header of a streamed one.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, nil if Stream is set or if HTTP allows no body in the response.
	Body []byte
	// Stream is the body of a streamed response, nil otherwise. It must be closed. If the body is incomplete or
	// corrupted, it returns an error instead of the last bytes.
	Stream io.ReadCloser
	// Length is the length of the body in bytes.
	Length int64
}

// Result is the result of an attempt.
type Result struct {
	// Response is nil if Failure is not NoFailure.
	Response *Response
	Failure  Failure
	Err      error
	// Written reports whether any byte of the request may have reached the endpoint.
	Written bool
	// NotRun reports whether the endpoint stated that the request did not run.
	NotRun bool
	// Reused reports whether the connection had carried an exchange before this one.
	Reused bool
	// Inflight is the number of exchanges that the endpoint reported, -1 if it reported none.
	Inflight int
	// Incarnation and Leaving are what the endpoint reported about itself; Incarnation is empty if it reported none.
	Incarnation string
	Leaving     bool
	// Took is the duration of the attempt, 0 if it ended before the exchange.
	Took time.Duration
}

// Attempt makes one attempt to send a request to the endpoint at address, with at most maxOpen connections open to it.
// It writes the request at most once.
func (p *Pools) Attempt(ctx context.Context, address string, maxOpen int, r *Request) Result {
	start := time.Now()
	result := Result{Inflight: -1}
	pool := p.acquire(address)
	if pool == nil {
		return withFailure(result, Busy, errBusy)
	}
	defer p.release(pool)
	c, err := pool.get(ctx, maxOpen, r.NewConnection)
	if err != nil {
		kind := NoConnection
		if errors.Is(err, errBusy) {
			kind = Busy
		}
		return withFailure(result, kind, err)
	}
	result.Reused = c.used
	message, err := buildRequest(address, r)
	if err == nil {
		err = r.BeforeWrite()
	}
	if err != nil {
		pool.putUnused(c)
		return withFailure(result, NotSent, err)
	}
	result = p.exchange(pool, c, r, message, start, result)
	result.Took = time.Since(start)
	return result
}

// withFailure returns the result with Failure and Err set.
func withFailure(result Result, kind Failure, err error) Result {
	result.Failure = kind
	result.Err = err
	return result
}

// exchange writes the request and reads the response on a connection. It then returns the connection to the pool or
// closes it, unless the response is streamed.
func (p *Pools) exchange(pool *pool, c *conn, r *Request, message *http.Request, start time.Time, result Result) Result {
	c.written = 0
	c.SetDeadline(exchangeDeadline(r, start))
	err := message.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	result.Written = c.written > 0
	if err != nil {
		return p.failExchange(pool, c, start, result, err)
	}
	c.limit.N = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, message)
	if err != nil {
		return p.failExchange(pool, c, start, result, err)
	}
	// The limit applies to the header only: the body is limited by its length.
	c.limit.N = 1 << 62
	return p.receiveResponse(pool, c, r, response, start, result)
}

// exchangeDeadline returns the deadline of the exchange: the end of its timeout or the caller's deadline, whichever is
// earlier.
func exchangeDeadline(r *Request, start time.Time) time.Time {
	end := start.Add(r.Timeout)
	if r.Deadline.Before(end) {
		return r.Deadline
	}
	return end
}

// failExchange closes the connection of an exchange that failed or timed out and returns the result.
func (p *Pools) failExchange(pool *pool, c *conn, start time.Time, result Result, err error) Result {
	pool.discard(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		pool.recordTimeout(start)
		return withFailure(result, Timeout, errkind.Wrap(err, errkind.DeadlineExceeded, "see the outcome",
			"exchange with the endpoint timed out"))
	}
	return withFailure(result, Broken, errkind.Wrap(err, errkind.Unavailable, "see the outcome",
		"connection to the endpoint failed"))
}

// buildRequest returns the HTTP request of an attempt, with the header fields of the endpoint contract.
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
		// An empty value keeps net/http from adding its own User-Agent.
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

// receiveResponse checks the response and reads its body, or returns the body as a stream if it is larger than
// BufferBytes.
func (p *Pools) receiveResponse(pool *pool, c *conn, r *Request, response *http.Response, start time.Time, result Result) Result {
	digest, fault := checkHeader(r, response)
	if fault != nil && !p.skipChecks {
		pool.discard(c)
		return withFailure(result, Invalid, fault)
	}
	keep := !response.Close
	hasBody := bodyAllowed(r.Method, response.StatusCode)
	received := &Response{Status: response.StatusCode, Header: response.Header, Length: max(0, response.ContentLength)}
	if hasBody && response.ContentLength > r.BufferBytes && digest != nil {
		received.Stream = newStream(pool, c, response.Body, response.ContentLength, digest, keep)
		return p.completeResult(result, received)
	}
	if hasBody {
		body, err := readBody(response)
		if err != nil && !p.skipChecks {
			return p.failExchange(pool, c, start, result, err)
		}
		received.Body = body
		fault = errors.Join(fault, err, checkBody(body, response.ContentLength, digest))
	}
	if fault != nil && !p.skipChecks {
		pool.discard(c)
		return withFailure(result, Invalid, fault)
	}
	invariant.Check(fault == nil, invariant.ResponseComplete, "invalid response to request %s is passed on: %v", r.ID, fault)
	if keep && c.reader.Buffered() == 0 {
		pool.put(c)
	} else {
		pool.discard(c)
	}
	return p.completeResult(result, received)
}

// readBody reads a response body into memory.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength < 0 {
		return io.ReadAll(response.Body)
	}
	body := make([]byte, response.ContentLength)
	n, err := io.ReadFull(response.Body, body)
	if err != nil {
		return body[:n], err
	}
	// Reading the end of the body makes net/http check that it is complete.
	_, err = response.Body.Read(make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return body, err
}

// completeResult returns the result with the response and with what its header reports about the endpoint.
func (p *Pools) completeResult(result Result, received *Response) Result {
	result.Response = received
	result.NotRun = received.Status == http.StatusServiceUnavailable && received.Header.Get(HeaderOutcome) == outcomeNotRun
	result.Incarnation = received.Header.Get(HeaderIncarnation)
	result.Leaving = received.Header.Get(HeaderState) == stateLeaving
	if n, err := strconv.Atoi(received.Header.Get(HeaderInflight)); err == nil && n >= 0 {
		result.Inflight = n
	}
	return result
}
