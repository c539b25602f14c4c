package control

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// Parameters of the follower.
const (
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// readWaitMS is the time for which a read waits for a record at the end of the stream.
	readWaitMS = 10_000
	// readSlack is added to the wait of a read before the read counts as failed. An outage in which the log does not respond
	// at all is noticed after readWaitMS + readSlack.
	readSlack      = 2 * time.Second
	readBackoff    = 200 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// readResult is the outcome of one read of the job stream.
type readResult struct {
	response infra.ReadResponse
	err      error
}

// follower reads the job stream and sends the outcome of each read to results.
type follower struct {
	log     infra.Log
	stream  string
	wake    chan struct{}
	results chan readResult
}

func newFollower(log infra.Log, stream string) *follower {
	return &follower{log: log, stream: stream, wake: make(chan struct{}, 1), results: make(chan readResult)}
}

// requestRead requests an immediate read, also if the follower is waiting for a record or backing off. It never blocks.
func (f *follower) requestRead() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run reads the stream from offset 0 on until ctx ends.
func (f *follower) run(ctx context.Context) {
	var next uint64
	backoff := readBackoff
	waitMS := 0
	for ctx.Err() == nil {
		response, err := f.read(ctx, next, waitMS)
		if ctx.Err() != nil {
			return
		}
		if err == errWoken {
			waitMS = 0
			continue
		}
		if err == nil {
			backoff = readBackoff
			next = nextOffset(response, next)
			waitMS = readWaitMS
		}
		select {
		case f.results <- readResult{response: response, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			f.backOff(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
			waitMS = 0
		}
	}
}

// nextOffset returns the offset of the next read after response r to a read at offset next.
func nextOffset(r infra.ReadResponse, next uint64) uint64 {
	next = max(next, r.Oldest)
	if n := len(r.Records); n > 0 {
		next = max(next, r.Records[n-1].Offset+1)
	}
	return next
}

// errWoken is returned by a read whose wait was interrupted by requestRead.
var errWoken = errors.New("woken")

// read reads records from the offset next on and waits up to waitMS for one. With a positive waitMS, it
// returns errWoken if requestRead is called before there is a response.
func (f *follower) read(ctx context.Context, next uint64, waitMS int) (infra.ReadResponse, error) {
	timeout := time.Duration(waitMS)*time.Millisecond + readSlack
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		response infra.ReadResponse
		err      error
	}
	done := make(chan result, 1)
	go func() {
		response, err := f.log.Read(readCtx, f.stream, next, readLimit, waitMS)
		done <- result{response, err}
	}()
	wake := f.wake
	if waitMS == 0 {
		wake = nil
	}
	select {
	case r := <-done:
		return r.response, r.err
	case <-wake:
		return infra.ReadResponse{}, errWoken
	case <-readCtx.Done():
		return infra.ReadResponse{}, context.DeadlineExceeded
	}
}

// backOff waits for the given time, until requestRead is called or until ctx ends.
func (f *follower) backOff(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}
