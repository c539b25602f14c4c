package control

import (
	"context"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// fakeLog is an in-memory log with simulated outages, lost responses and late appends.
type fakeLog struct {
	random *random

	mu              sync.Mutex
	records         []infra.Record
	oldest          uint64
	retain          int // number of records to retain; 0 for all
	down            bool
	lossProbability float64 // probability with which a read or an append fails
	appends         int
	appended        chan struct{} // closed by the next append
}

func newFakeLog(r *random) *fakeLog { return &fakeLog{random: r, appended: make(chan struct{})} }

func (l *fakeLog) append(data [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.oldest + uint64(len(l.records))
	for i, d := range data {
		l.records = append(l.records, infra.Record{Offset: first + uint64(i), Data: d})
	}
	if l.retain > 0 && len(l.records) > l.retain {
		drop := len(l.records) - l.retain
		l.records = append([]infra.Record(nil), l.records[drop:]...)
		l.oldest += uint64(drop)
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return first
}

func (l *fakeLog) health() (down bool, lossProbability float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.lossProbability
}

func (l *fakeLog) Append(ctx context.Context, _ string, data [][]byte) (uint64, error) {
	down, lossProbability := l.health()
	unavailable := errkind.New(errkind.Unavailable, "retry", "log is down")
	if down {
		return 0, unavailable
	}
	if l.random.chance(lossProbability) {
		if l.random.chance(0.7) {
			go func() {
				time.Sleep(l.random.between(0, 3*time.Second))
				l.append(data)
			}()
		}
		return 0, unavailable
	}
	time.Sleep(l.random.between(time.Millisecond, 5*time.Millisecond))
	return l.append(data), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, waitMS int) (infra.ReadResponse, error) {
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		if down, lossProbability := l.health(); down || l.random.chance(lossProbability) {
			return infra.ReadResponse{}, errkind.New(errkind.Unavailable, "retry", "log is down")
		}
		response, appended := l.read(from, limit)
		if len(response.Records) > 0 || waitMS == 0 {
			return response, nil
		}
		select {
		case <-appended:
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return infra.ReadResponse{}, ctx.Err()
		}
	}
}

func (l *fakeLog) read(from uint64, limit int) (infra.ReadResponse, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = max(from, l.oldest)
	response := infra.ReadResponse{Oldest: l.oldest, Next: l.oldest + uint64(len(l.records))}
	for i := from - l.oldest; i < uint64(len(l.records)) && len(response.Records) < limit; i++ {
		response.Records = append(response.Records, l.records[i])
	}
	return response, l.appended
}
