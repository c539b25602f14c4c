package configlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/inner"
)

// errRequestFailed is the error of every request to the log that fails by an injected fault, so that a client cannot
// distinguish a lost response from an outage.
var errRequestFailed = errkind.Wrap(errors.New("injected fault"), errkind.Unavailable, "try again", "request to the log failed")

// fakeLog simulates the log service with limited retention, outages, lost responses, late appends and reads without a
// response. All followers of a run share it.
type fakeLog struct {
	mu sync.Mutex
	// rng and everything below is guarded by mu.
	rng       *rand.Rand
	retention time.Duration
	// records holds all records, expired ones too, and appendTimes the times of their appends. oldest is the offset of the
	// oldest record that has not expired.
	records     []infra.Record
	appendTimes []time.Time
	oldest      uint64
	// down makes all requests fail. hangWhenDown makes reads hang instead of failing while the log is down.
	down, hangWhenDown bool
	// extraDelay is an additional delay of every request and response.
	extraDelay time.Duration
	// lossPercent is the percentage of appends whose response is lost, latePercent that of appends that fail and take
	// effect up to 20 s later, and hangPercent that of reads that get no response.
	lossPercent, latePercent, hangPercent int
	// appended is closed and replaced at every append.
	appended chan struct{}
	// drop is options.drop.
	drop func(Record) bool
}

func newFakeLog(seed uint64, retention time.Duration) *fakeLog {
	return &fakeLog{rng: rand.New(rand.NewPCG(seed, 1)), retention: retention, appended: make(chan struct{})}
}

func (l *fakeLog) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// add appends records and returns the offset of the first. mu must be held.
func (l *fakeLog) add(records [][]byte) uint64 {
	first := uint64(len(l.records))
	for _, data := range records {
		if r, err := decode(data); err == nil && l.drop != nil && l.drop(r) {
			continue
		}
		l.records = append(l.records, infra.Record{Offset: uint64(len(l.records)), Data: data})
		l.appendTimes = append(l.appendTimes, time.Now())
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

// expire moves oldest past the records that are older than the retention. mu must be held.
func (l *fakeLog) expire() {
	for l.oldest < uint64(len(l.records)) && time.Since(l.appendTimes[l.oldest]) > l.retention {
		l.oldest++
	}
}

// logClient is the infra.Log of one follower.
type logClient struct {
	log *fakeLog
	// reachesLog reports whether the network connects the follower to the log.
	reachesLog func() bool
	// rewrite changes the records that this follower reads; nil changes none.
	rewrite func(infra.Record) infra.Record
	// hung reports whether the last read got no response. log.mu guards it.
	hung bool
}

// delay waits for the network delay and the additional delay of the log, or until ctx ends.
func (c *logClient) delay(ctx context.Context) {
	var d time.Duration
	c.log.withLock(func() { d = c.log.extraDelay + time.Duration(1+c.log.rng.Int64N(30))*time.Millisecond })
	boottime.Sleep(ctx, d)
}

func (c *logClient) Append(ctx context.Context, _ string, records [][]byte) (uint64, error) {
	c.delay(ctx)
	l := c.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.down || !c.reachesLog() {
		return 0, errRequestFailed
	}
	draw := l.rng.IntN(100)
	if draw < l.latePercent {
		late := time.Duration(l.rng.Int64N(int64(20 * time.Second)))
		time.AfterFunc(late, func() { l.withLock(func() { l.add(records) }) })
		return 0, errRequestFailed
	}
	first := l.add(records)
	if draw < l.latePercent+l.lossPercent {
		return 0, errRequestFailed
	}
	return first, nil
}

func (c *logClient) Read(ctx context.Context, _ string, from uint64, limit, waitMS int) (infra.ReadResponse, error) {
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	c.delay(ctx)
	for {
		l := c.log
		l.mu.Lock()
		if l.down || !c.reachesLog() {
			hangs := l.down && l.hangWhenDown
			l.mu.Unlock()
			if hangs {
				<-ctx.Done()
			}
			return infra.ReadResponse{}, errRequestFailed
		}
		// The read after one without a response always gets a response, as over a new connection.
		if !c.hung && l.rng.IntN(100) < l.hangPercent {
			c.hung = true
			l.mu.Unlock()
			<-ctx.Done()
			return infra.ReadResponse{}, ctx.Err()
		}
		c.hung = false
		resp, appended := c.readNow(from, limit), l.appended
		l.mu.Unlock()
		if len(resp.Records) > 0 || !time.Now().Before(deadline) {
			c.delay(ctx)
			return resp, ctx.Err()
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
		case <-appended:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return infra.ReadResponse{}, ctx.Err()
		}
	}
}

// readNow returns the available records without waiting. log.mu must be held.
func (c *logClient) readNow(from uint64, limit int) infra.ReadResponse {
	l := c.log
	l.expire()
	next := uint64(len(l.records))
	resp := infra.ReadResponse{Oldest: l.oldest, Next: next}
	for o := max(from, l.oldest); o < next && len(resp.Records) < limit; o++ {
		r := l.records[o]
		if c.rewrite != nil {
			r = c.rewrite(r)
		}
		resp.Records = append(resp.Records, r)
	}
	return resp
}

// node is one process of a run with the Follower of its current incarnation. A restart starts a new incarnation.
type node struct {
	id, domain int
	cluster    *cluster
	logClient  *logClient

	mu sync.Mutex
	// follower is nil while the node is down. mu guards it and the fields below.
	follower         *Follower
	stop             context.CancelFunc
	incarnationCount int
}

// current returns the follower of the current incarnation, nil while the node is down.
func (n *node) current() *Follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower
}

// peerLink is the inner.Requester for requests from one node to another.
type peerLink struct{ from, to *node }

// Call returns the response of the other node's follower after a network delay. It blocks until ctx ends if the other
// node is down or not reachable.
func (p peerLink) Call(ctx context.Context, _ string, req *inner.Request) (*inner.Response, error) {
	boottime.Sleep(ctx, time.Duration(1+p.from.cluster.randomInt(5))*time.Millisecond)
	f := p.to.current()
	if f == nil || !p.from.cluster.linked(p.from, p.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Handle(req)
}
