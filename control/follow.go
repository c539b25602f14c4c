package control

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/infra"
)

// Parameters of the follower of the job stream.
const (
	readLimit  = 500
	readWaitMS = 10_000
	// readSlack is added to the wait of a read before it counts as failed. An outage of the log that swallows requests
	// is noticed after readWaitMS + readSlack.
	readSlack      = 2 * time.Second
	readBackoff    = 200 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// batch is what one read of the job stream gave.
type batch struct {
	response infra.ReadResponse
	err      error
}

// follower reads the job stream. wake makes it read at once.
type follower struct {
	log    infra.Log
	stream string
	wake   chan struct{}
	out    chan batch
}

func newFollower(log infra.Log, stream string) *follower {
	return &follower{log: log, stream: stream, wake: make(chan struct{}, 1), out: make(chan batch)}
}

// poke asks for a read at once. It never blocks.
func (f *follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run reads from offset 0 on until ctx ends.
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
			next = after(response, next)
			waitMS = readWaitMS
		}
		select {
		case f.out <- batch{response: response, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			f.pause(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
			waitMS = 0
		}
	}
}

// after returns the offset to read next.
func after(r infra.ReadResponse, next uint64) uint64 {
	next = max(next, r.Oldest)
	if n := len(r.Records); n > 0 {
		next = max(next, r.Records[n-1].Offset+1)
	}
	return next
}

// errWoken ends the wait of a read that a wake interrupted.
var errWoken = errors.New("woken")

// read waits for records; a wake ends the wait with errWoken.
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

func (f *follower) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}
