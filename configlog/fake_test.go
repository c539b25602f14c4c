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

var errUnreachable = errkind.Wrap(errors.New("injected fault"), errkind.Unavailable, "try again", "not reachable")

// fakeLog simulates the log service with limited retention, outages, lost responses, late appends and unresponsive
// connections. All followers of a run share it.
type fakeLog struct {
	mu sync.Mutex
	// rng and everything below is guarded by mu.
	rng       *rand.Rand
	retention time.Duration
	records   []infra.Record
	times     []time.Time
	oldest    uint64
	// down makes all requests fail. silent makes reads hang instead of failing while the log is down.
	down, silent bool
	slow         time.Duration
	// lossPercent is the percentage of appends whose response is lost, latePercent that of appends that fail and take
	// effect up to 20 s later, and hangPercent that of reads that get no response.
	lossPercent, latePercent, hangPercent int
	appended                              chan struct{}
	// drop selects records that are discarded although the append succeeds; nil selects none. Only runs that must fail
	// set it.
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

// add appends records and returns the offset of the first. The caller must hold mu.
func (l *fakeLog) add(records [][]byte) uint64 {
	first := uint64(len(l.records))
	for _, data := range records {
		if r, err := decode(data); err == nil && l.drop != nil && l.drop(r) {
			continue
		}
		l.records = append(l.records, infra.Record{Offset: uint64(len(l.records)), Data: data})
		l.times = append(l.times, time.Now())
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

// expire moves oldest past the records that are older than the retention. The caller must hold mu.
func (l *fakeLog) expire() {
	for l.oldest < uint64(len(l.records)) && time.Since(l.times[l.oldest]) > l.retention {
		l.oldest++
	}
}

// logClient is the infra.Log of one follower.
type logClient struct {
	log *fakeLog
	// connected reports whether the network connects the follower to the log.
	connected func() bool
	// rewrite changes the records that this follower reads; nil changes none. Only runs that must fail set it.
	rewrite func(infra.Record) infra.Record
	// hung is set if the last read got no response; guarded by log.mu.
	hung bool
}

func (p *logClient) delay(ctx context.Context) {
	var d time.Duration
	p.log.withLock(func() { d = p.log.slow + time.Duration(1+p.log.rng.Int64N(30))*time.Millisecond })
	boottime.Sleep(ctx, d)
}

func (p *logClient) Append(ctx context.Context, _ string, records [][]byte) (uint64, error) {
	p.delay(ctx)
	l := p.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.down || !p.connected() {
		return 0, errUnreachable
	}
	draw := l.rng.IntN(100)
	if draw < l.latePercent {
		late := time.Duration(l.rng.Int64N(int64(20 * time.Second)))
		time.AfterFunc(late, func() { l.withLock(func() { l.add(records) }) })
		return 0, errUnreachable
	}
	first := l.add(records)
	if draw < l.latePercent+l.lossPercent {
		return 0, errUnreachable
	}
	return first, nil
}

func (p *logClient) Read(ctx context.Context, _ string, from uint64, limit, waitMS int) (infra.ReadResponse, error) {
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	p.delay(ctx)
	for {
		l := p.log
		l.mu.Lock()
		if l.down || !p.connected() {
			silent := l.down && l.silent
			l.mu.Unlock()
			if silent {
				<-ctx.Done()
			}
			return infra.ReadResponse{}, errUnreachable
		}
		// The read after one without a response always gets a response, as over a new connection.
		if !p.hung && l.rng.IntN(100) < l.hangPercent {
			p.hung = true
			l.mu.Unlock()
			<-ctx.Done()
			return infra.ReadResponse{}, ctx.Err()
		}
		p.hung = false
		resp, appended := p.readNow(from, limit), l.appended
		l.mu.Unlock()
		if len(resp.Records) > 0 || !time.Now().Before(deadline) {
			p.delay(ctx)
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

// readNow returns the available records without waiting. The caller must hold log.mu.
func (p *logClient) readNow(from uint64, limit int) infra.ReadResponse {
	l := p.log
	l.expire()
	next := uint64(len(l.records))
	resp := infra.ReadResponse{Oldest: l.oldest, Next: next}
	for o := max(from, l.oldest); o < next && len(resp.Records) < limit; o++ {
		r := l.records[o]
		if p.rewrite != nil {
			r = p.rewrite(r)
		}
		resp.Records = append(resp.Records, r)
	}
	return resp
}

// node is one VM of a run with the follower of its current incarnation.
type node struct {
	id, domain int
	cluster    *cluster
	logClient  *logClient

	mu sync.Mutex
	// follower is nil while the VM is down. mu guards it and the fields below.
	follower    *Follower
	stop        context.CancelFunc
	incarnation int
}

// current returns the follower of the current incarnation, nil while the VM is down.
func (n *node) current() *Follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower
}

// peerLink is the inner.Requester for requests from one node to another.
type peerLink struct{ from, to *node }

// Call returns the response of the other node's follower after a network delay. It blocks until ctx ends if the other
// node is down or not reachable.
func (l peerLink) Call(ctx context.Context, _ string, req *inner.Request) (*inner.Response, error) {
	boottime.Sleep(ctx, time.Duration(1+l.from.cluster.randomInt(5))*time.Millisecond)
	f := l.to.current()
	if f == nil || !l.from.cluster.connected(l.from, l.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Handle(req)
}
