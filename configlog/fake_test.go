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

var errDown = errkind.Wrap(errors.New("fault of the test"), errkind.Unavailable, "try again", "not reachable")

// fakeLog is the log service with limited retention, outages, lost responses, late appends and silent connections. It is
// shared by all followers of a run.
type fakeLog struct {
	mu sync.Mutex
	// rng and everything below is guarded by mu.
	rng       *rand.Rand
	retention time.Duration
	records   []infra.Record
	times     []time.Time
	oldest    uint64
	// silent lets reads hang while the log is down.
	down, silent bool
	slow         time.Duration
	// lossPercent is the share of appends whose response is lost, latePercent that of appends which fail at first and
	// take effect up to 20 s later, hangPercent that of reads which get no response.
	lossPercent, latePercent, hangPercent int
	appended                              chan struct{}
	// swallow drops records that it reports true for, as if they had been appended. It is a switch of the broken runs.
	swallow func(Record) bool
}

func newFakeLog(seed uint64, retention time.Duration) *fakeLog {
	return &fakeLog{rng: rand.New(rand.NewPCG(seed, 1)), retention: retention, appended: make(chan struct{})}
}

func (l *fakeLog) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// add appends records; the caller holds mu.
func (l *fakeLog) add(records [][]byte) uint64 {
	first := uint64(len(l.records))
	for _, data := range records {
		if r, err := decode(data); err == nil && l.swallow != nil && l.swallow(r) {
			continue
		}
		l.records = append(l.records, infra.Record{Offset: uint64(len(l.records)), Data: data})
		l.times = append(l.times, time.Now())
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

// expire moves oldest over records past the retention; the caller holds mu.
func (l *fakeLog) expire() {
	for l.oldest < uint64(len(l.records)) && time.Since(l.times[l.oldest]) > l.retention {
		l.oldest++
	}
}

// port is one follower's way to the log.
type port struct {
	log *fakeLog
	// reach reports whether the network lets the follower through.
	reach func() bool
	// mangle changes what this follower reads; nil for nothing. It is a switch of the broken runs.
	mangle func(infra.Record) infra.Record
	// hung is set while the last read got no response; guarded by log.mu.
	hung bool
}

func (p *port) delay(ctx context.Context) {
	var d time.Duration
	p.log.locked(func() { d = p.log.slow + time.Duration(1+p.log.rng.Int64N(30))*time.Millisecond })
	boottime.Sleep(ctx, d)
}

func (p *port) Append(ctx context.Context, _ string, records [][]byte) (uint64, error) {
	p.delay(ctx)
	l := p.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.down || !p.reach() {
		return 0, errDown
	}
	roll := l.rng.IntN(100)
	if roll < l.latePercent {
		late := time.Duration(l.rng.Int64N(int64(20 * time.Second)))
		time.AfterFunc(late, func() { l.locked(func() { l.add(records) }) })
		return 0, errDown
	}
	first := l.add(records)
	if roll < l.latePercent+l.lossPercent {
		return 0, errDown
	}
	return first, nil
}

func (p *port) Read(ctx context.Context, _ string, from uint64, limit, waitMS int) (infra.ReadResponse, error) {
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	p.delay(ctx)
	for {
		l := p.log
		l.mu.Lock()
		if l.down || !p.reach() {
			silent := l.down && l.silent
			l.mu.Unlock()
			if silent {
				<-ctx.Done()
			}
			return infra.ReadResponse{}, errDown
		}
		// A connection that goes silent is followed by one that works.
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

// readNow returns what is there; the caller holds log.mu.
func (p *port) readNow(from uint64, limit int) infra.ReadResponse {
	l := p.log
	l.expire()
	next := uint64(len(l.records))
	resp := infra.ReadResponse{Oldest: l.oldest, Next: next}
	for o := max(from, l.oldest); o < next && len(resp.Records) < limit; o++ {
		r := l.records[o]
		if p.mangle != nil {
			r = p.mangle(r)
		}
		resp.Records = append(resp.Records, r)
	}
	return resp
}

// node is one VM of a run: the follower of its present incarnation.
type node struct {
	id, domain int
	cluster    *cluster
	port       *port

	mu sync.Mutex
	// follower is nil while the VM is down; guarded by mu, as is what follows.
	follower    *Follower
	stop        context.CancelFunc
	incarnation int
}

func (n *node) current() *Follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.follower
}

// link is one node's way to another, an inner.Caller.
type link struct{ from, to *node }

// Call answers as the other node's follower does, after the network delay.
func (l link) Call(ctx context.Context, _ string, req *inner.Request) (*inner.Response, error) {
	boottime.Sleep(ctx, time.Duration(1+l.from.cluster.roll(5))*time.Millisecond)
	f := l.to.current()
	if f == nil || !l.from.cluster.connected(l.from, l.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.Handle(req)
}
