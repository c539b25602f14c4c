// Package storetest provides an in-memory store.Log with injectable faults for tests.
package storetest

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/store"
)

// Fault decides what happens to a call: nil lets it pass, an error is returned. A Fault that returns an error which
// matches store.ErrUnknown may ask for the call to be executed all the same.
type Fault func(call string) (err error, execute bool)

// Fake is an in-memory store. Its zero value is not usable; see New.
type Fake struct {
	mu        sync.Mutex
	topics    map[store.Stream]*topic
	producers map[string]*producer
	groups    map[string]*group
	fault     Fault
	changed   chan struct{}
	// PageSize is the number of records in a page of the newest.
	PageSize int
	now      func() time.Time
}

type topic struct {
	first   int64
	records []store.Record
	newest  map[string]store.Record
}

// producer is the state of a fenced writer. As in the platform's store, an append without records raises the epoch and
// leaves the sequence as it was. Repeats are told by the number alone, whichever epoch used it.
type producer struct {
	epoch  int64
	next   int64
	recent []int64
}

// recentAppends is how many of the last appends are recognised when they are repeated.
const recentAppends = 5

type group struct {
	generation int64
	holder     string
	members    map[string]time.Time
}

// New returns an empty store.
func New() *Fake {
	return &Fake{
		topics:    map[store.Stream]*topic{},
		producers: map[string]*producer{},
		groups:    map[string]*group{},
		changed:   make(chan struct{}),
		PageSize:  500,
		now:       time.Now,
	}
}

// SetFault installs the fault of all later calls; nil removes it.
func (f *Fake) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *Fake) check(call string) (error, bool) {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	if fault == nil {
		return nil, true
	}
	return fault(call)
}

func (f *Fake) topic(name store.Stream) *topic {
	t := f.topics[name]
	if t == nil {
		t = &topic{newest: map[string]store.Record{}}
		f.topics[name] = t
	}
	return t
}

// Append implements store.Log.
func (f *Fake) Append(_ context.Context, name store.Stream, records []store.Record, p *store.Producer, _ time.Duration) error {
	fault, execute := f.check("append")
	if !execute {
		return fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p != nil {
		repeat, err := f.admit(p, len(records))
		if err != nil {
			return err
		}
		if repeat {
			return fault
		}
	}
	t := f.topic(name)
	for _, r := range records {
		r.Offset = t.first + int64(len(t.records))
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return fault
}

// admit checks epoch and sequence of a producer's append.
func (f *Fake) admit(p *store.Producer, records int) (repeat bool, err error) {
	state := f.producers[p.Name]
	if state == nil {
		state = &producer{epoch: p.Epoch}
		f.producers[p.Name] = state
	}
	if p.Epoch < state.epoch {
		return false, store.ErrFenced
	}
	if p.Epoch > state.epoch {
		state.epoch = p.Epoch
		if records > 0 {
			state.next = p.Sequence
		}
	}
	if records == 0 || slices.Contains(state.recent, p.Sequence) {
		return true, nil
	}
	if p.Sequence != state.next {
		return false, &store.SequenceError{Expected: state.next}
	}
	state.recent = append(state.recent, p.Sequence)
	state.recent = state.recent[max(0, len(state.recent)-recentAppends):]
	state.next++
	return false, nil
}

// Read implements store.Log.
func (f *Fake) Read(ctx context.Context, name store.Stream, from int64, wait time.Duration) (*store.Batch, error) {
	if fault, execute := f.check("read"); !execute || fault != nil {
		return nil, fault
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		t := f.topic(name)
		end := t.first + int64(len(t.records))
		if from < t.first {
			f.mu.Unlock()
			return nil, store.ErrExpired
		}
		batch := &store.Batch{End: end, First: t.first}
		if from < end {
			batch.Records = append(batch.Records, t.records[from-t.first:]...)
		}
		changed := f.changed
		f.mu.Unlock()
		if len(batch.Records) > 0 || wait == 0 {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", store.ErrUnknown, ctx.Err())
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
	}
}

// Newest implements store.Log.
func (f *Fake) Newest(_ context.Context, name store.Stream, after string) (*store.Page, error) {
	if fault, execute := f.check("newest"); !execute || fault != nil {
		return nil, fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := &store.Page{End: t.first + int64(len(t.records)), More: len(keys) > f.PageSize}
	for _, key := range keys[:min(len(keys), f.PageSize)] {
		page.Records = append(page.Records, t.newest[key])
	}
	return page, nil
}

// DropHistory removes all records of the topic; the newest of each key stay.
func (f *Fake) DropHistory(name store.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Value returns the newest value of a key; nil if there is none.
func (f *Fake) Value(name store.Stream, key string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic(name).newest[key].Value
}

// Join implements store.Log.
func (f *Fake) Join(_ context.Context, name, member string, ttl time.Duration, _ int64) (store.Assignment, error) {
	if fault, execute := f.check("join"); !execute || fault != nil {
		return store.Assignment{}, fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(name)
	_, known := g.members[member]
	g.members[member] = f.now().Add(ttl)
	if !known {
		g.generation++
		g.holder = ""
	}
	f.assign(g)
	return store.Assignment{Generation: g.generation, Holds: g.holder == member}, nil
}

func (f *Fake) group(name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		f.groups[name] = g
	}
	for member, until := range g.members {
		if f.now().After(until) {
			delete(g.members, member)
			g.generation++
		}
	}
	f.assign(g)
	return g
}

// assign gives the part to the first member by name when its holder is gone, or when a new member has joined: the
// platform's store deals the parts anew then.
func (f *Fake) assign(g *group) {
	if _, alive := g.members[g.holder]; alive {
		return
	}
	g.holder = ""
	for member := range g.members {
		if g.holder == "" || member < g.holder {
			g.holder = member
		}
	}
}

// Leave implements store.Log.
func (f *Fake) Leave(_ context.Context, name, member string, _ int64) error {
	if fault, execute := f.check("leave"); !execute || fault != nil {
		return fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(name)
	if _, known := g.members[member]; known {
		delete(g.members, member)
		g.generation++
	}
	f.assign(g)
	return nil
}

// Redeal deals the group's part anew, as the platform's store does at times without being asked.
func (f *Fake) Redeal(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(name)
	g.generation++
	g.holder = ""
	f.assign(g)
}

// Streams returns the streams that hold records.
func (f *Fake) Streams() (streams []store.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for stream := range f.topics {
		streams = append(streams, stream)
	}
	return streams
}

// Holder implements store.Log.
func (f *Fake) Holder(_ context.Context, name string) (string, error) {
	if fault, execute := f.check("holder"); !execute || fault != nil {
		return "", fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(name).holder, nil
}
