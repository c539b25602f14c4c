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

// Fault decides the outcome of a request: it returns the error of the request, nil for none, and whether the store executes
// it. An error that matches store.ErrUnknown may be combined with execution. request is the name of the method of store.Log
// in lower case.
type Fault func(request string) (err error, execute bool)

// Fake is an in-memory store. Its zero value is not usable; see New.
type Fake struct {
	mu        sync.Mutex
	byStream  map[store.Stream]*streamData
	producers map[string]*producer
	groups    map[string]*group
	fault     Fault
	// changed is closed and replaced after each append.
	changed chan struct{}
	// PageSize is the maximum number of records in a page of Newest, BatchSize that of a Read; 0 means no limit for a Read.
	PageSize, BatchSize int
	// now returns the time at which memberships expire.
	now func() time.Time
}

// streamData holds the retained records of a stream from offset first on, and the newest record of each key.
type streamData struct {
	first   int64
	records []store.Record
	newest  map[string]store.Record
}

// producer is the state of a fenced writer. As in the platform's store, an append without records raises the epoch and
// leaves the sequence as it was. Repeats are detected by the sequence number alone, whichever epoch used it.
type producer struct {
	epoch int64
	// next is the sequence number that the store expects, recent holds those of the last appends.
	next   int64
	recent []int64
}

// recentAppends is the number of most recent appends whose repeats are detected.
const recentAppends = 5

// group is a group with one part.
type group struct {
	generation int64
	// holder is the member that holds the part; empty for none.
	holder string
	// members maps each member to the end of its ttl.
	members map[string]time.Time
}

// New returns an empty store.
func New() *Fake {
	return &Fake{
		byStream:  map[store.Stream]*streamData{},
		producers: map[string]*producer{},
		groups:    map[string]*group{},
		changed:   make(chan struct{}),
		PageSize:  500,
		now:       time.Now,
	}
}

// SetFault sets the fault of all later requests; nil removes it.
func (f *Fake) SetFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// injectFault returns the outcome that the fault decides for a request.
func (f *Fake) injectFault(request string) (error, bool) {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	if fault == nil {
		return nil, true
	}
	return fault(request)
}

// streamData returns the data of a stream, which it creates if needed. mu must be held.
func (f *Fake) streamData(stream store.Stream) *streamData {
	t := f.byStream[stream]
	if t == nil {
		t = &streamData{newest: map[string]store.Record{}}
		f.byStream[stream] = t
	}
	return t
}

// Append implements store.Log.
func (f *Fake) Append(_ context.Context, stream store.Stream, records []store.Record, p *store.Producer, _ time.Duration) (int64, error) {
	fault, execute := f.injectFault("append")
	if !execute {
		return 0, fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p != nil {
		repeat, err := f.checkProducer(p, len(records))
		if err != nil {
			return 0, err
		}
		if repeat {
			return store.UnknownOffset, fault
		}
	}
	return f.add(f.streamData(stream), records), fault
}

// AppendAt implements store.Log.
func (f *Fake) AppendAt(_ context.Context, stream store.Stream, records []store.Record, end int64, _ time.Duration) error {
	fault, execute := f.injectFault("appendat")
	if !execute {
		return fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.streamData(stream)
	if t.end() != end {
		return store.ErrMoved
	}
	f.add(t, records)
	return fault
}

// end returns the offset after the last record.
func (t *streamData) end() int64 { return t.first + int64(len(t.records)) }

// add appends the records and returns the offset of the first one. mu must be held.
func (f *Fake) add(t *streamData, records []store.Record) (offset int64) {
	offset = t.end()
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return offset
}

// checkProducer checks the epoch and the sequence number of a producer's append, and records them. repeat is true if there
// is nothing to append: the append has no records or is a repeat. mu must be held.
func (f *Fake) checkProducer(p *store.Producer, records int) (repeat bool, err error) {
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
func (f *Fake) Read(ctx context.Context, stream store.Stream, from int64, wait time.Duration) (*store.Batch, error) {
	if fault, execute := f.injectFault("read"); !execute || fault != nil {
		return nil, fault
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		t := f.streamData(stream)
		end := t.end()
		if from < t.first {
			f.mu.Unlock()
			return nil, store.ErrExpired
		}
		batch := &store.Batch{End: end, First: t.first}
		if from < end {
			batch.Records = append(batch.Records, t.records[from-t.first:]...)
			if f.BatchSize > 0 && len(batch.Records) > f.BatchSize {
				batch.Records = batch.Records[:f.BatchSize]
			}
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
func (f *Fake) Newest(_ context.Context, stream store.Stream, after string) (*store.Page, error) {
	if fault, execute := f.injectFault("newest"); !execute || fault != nil {
		return nil, fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.streamData(stream)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := &store.Page{End: t.end(), More: len(keys) > f.PageSize}
	for _, key := range keys[:min(len(keys), f.PageSize)] {
		page.Records = append(page.Records, t.newest[key])
	}
	return page, nil
}

// DropHistory expires all records of the stream; the newest record of each key stays available to Newest.
func (f *Fake) DropHistory(stream store.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.streamData(stream)
	t.first += int64(len(t.records))
	t.records = nil
}

// Value returns the newest value of a key in the stream; nil if there is none.
func (f *Fake) Value(stream store.Stream, key string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streamData(stream).newest[key].Value
}

// Join implements store.Log.
func (f *Fake) Join(_ context.Context, name, member string, ttl time.Duration, _ int64) (store.Assignment, error) {
	if fault, execute := f.injectFault("join"); !execute || fault != nil {
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

// group returns the group after removing the members whose ttl has expired. mu must be held.
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

// assign assigns the part to the first member by name if it has no holder or its holder is no longer a member. Join clears
// the holder when a new member joins, because the platform's store reassigns the parts then. mu must be held.
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
	if fault, execute := f.injectFault("leave"); !execute || fault != nil {
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

// Rebalance starts a new generation and reassigns the group's part, as the platform's store does now and then without a
// change of members.
func (f *Fake) Rebalance(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(name)
	g.generation++
	g.holder = ""
	f.assign(g)
}

// Streams returns the streams to which requests were sent, in no particular order.
func (f *Fake) Streams() (streams []store.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for stream := range f.byStream {
		streams = append(streams, stream)
	}
	return streams
}

// Holder implements store.Log.
func (f *Fake) Holder(_ context.Context, name string) (string, error) {
	if fault, execute := f.injectFault("holder"); !execute || fault != nil {
		return "", fault
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group(name).holder, nil
}
