package leader

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/workload"
)

// replaceableConn is a worker whose processes follow each other under one id and address. As with connections over TCP, a watch request
// on a connection to a process that has ended waits for its timeout, and a start reaches only the process that it is meant for.
type replaceableConn struct {
	// latency is the time that a connect takes, and a response.
	latency time.Duration

	mu sync.Mutex
	// process is the one at the address, watched the one at the other end of the connection of Watch, 0 if that is closed.
	process, watched int64
	// cut workers do not respond to watch requests on new connections.
	cut bool
	// ends are listed by each process until they are acknowledged.
	ends []workload.EndedRun
	// runs holds the runs of the process at the address.
	runs []workload.RunRef
	// answers holds the processes that have answered watch requests, watches counts the requests.
	answers []int64
	watches int
	// rejected counts the starts for a former process.
	rejected int
	// responseTo, if set, decides the outcome of an attempt of a start; false leaves it to the worker.
	responseTo func(r StartRequest) (error, bool)
}

func newReplaceableConn() *replaceableConn {
	return &replaceableConn{process: 1, latency: 2 * time.Millisecond}
}

// replace replaces the process by the next one.
func (c *replaceableConn) replace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process++
	c.runs, c.ends = nil, nil
}

// with calls f with the fields locked.
func (c *replaceableConn) with(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *replaceableConn) Watch(ctx context.Context, r WatchRequest, timeout time.Duration) (*workload.Listing, error) {
	startedAt := time.Now()
	opened := false
	c.with(func() {
		c.watches++
		if c.watched == 0 && !c.cut {
			c.watched, opened = c.process, true
		}
	})
	wait := max(r.Wait, c.latency)
	if opened {
		wait += c.latency
	}
	for ; ; time.Sleep(time.Millisecond) {
		if listing := c.answer(r, time.Since(startedAt) >= wait); listing != nil && ctx.Err() == nil {
			return listing, nil
		}
		if ctx.Err() != nil || time.Since(startedAt) > timeout {
			c.Close()
			return nil, fmt.Errorf("0 bytes of the response were read: %w", os.ErrDeadlineExceeded)
		}
	}
}

// answer returns the listing of the process that is watched, if that is due; nil if not.
func (c *replaceableConn) answer(r WatchRequest, waited bool) (listing *workload.Listing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watched == 0 || c.watched != c.process {
		return nil
	}
	for len(c.ends) > 0 && c.ends[0].Sequence <= r.StoredEnd {
		c.ends = c.ends[1:]
	}
	if !waited && len(c.ends) == 0 {
		return nil
	}
	c.answers = append(c.answers, c.process)
	listing = &workload.Listing{Incarnation: c.process, ClockMS: boottime.Now().Milliseconds(), Ended: append([]workload.EndedRun(nil), c.ends...)}
	for _, ref := range c.runs {
		listing.Running = append(listing.Running, workload.RunningRun{RunRef: ref})
	}
	return listing
}

func (c *replaceableConn) SameConnection() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watched != 0
}

func (c *replaceableConn) Close() { c.with(func() { c.watched = 0 }) }

// Start takes a connect and a listing if it is for a former process. The requests in flight do not end at the same time.
func (c *replaceableConn) Start(_ context.Context, r StartRequest, _ time.Duration) error {
	latency := c.latency
	c.with(func() {
		if r.Incarnation != c.process {
			latency += c.latency + time.Duration(c.rejected%maxRequests)*c.latency/maxRequests
		}
	})
	time.Sleep(latency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseTo != nil {
		if err, decided := c.responseTo(r); decided {
			return err
		}
	}
	if r.Incarnation != c.process {
		c.rejected++
		return errors.Join(ErrNotSent, ErrProcessReplaced)
	}
	c.runs = append(c.runs, r.Ref)
	return nil
}

func (c *replaceableConn) Stop(context.Context, StopRequest, time.Duration) error { return nil }

// answeredBy returns the number of watch requests that the process has answered.
func (c *replaceableConn) answeredBy(process int64) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.answers {
		if p == process {
			n++
		}
	}
	return n
}

// await waits up to limit until the condition holds and reports whether it does.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// watchedConn returns a worker that a leader has begun to watch: its second request, which waits for an end, is in flight.
func watchedConn(t *testing.T, capacity int, configure ...func(*Leader)) (*replaceableConn, *Leader) {
	conn := newReplaceableConn()
	l := runTestLeader(t, testWorkers{"w": conn}, map[string]int{"w": capacity}, configure...)
	inFlight := func() (yes bool) {
		conn.with(func() { yes = conn.watches == 2 })
		return yes
	}
	if !await(time.Second, inFlight) {
		t.Fatal("the worker is not watched")
	}
	return conn, l
}

// listedSoon is how soon the runs of a new process must be listed once a start has shown it. A watch request that is not interrupted
// waits 2.2 s.
const listedSoon = 700 * time.Millisecond

// drain applies the events of a leader whose loop does not run.
func drain(l *Leader) {
	l.core.Advance(boottime.Now(), time.Now())
	l.applyPending()
}
