package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/vmsettings"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	testEvacuationBound = 2 * time.Second
	// evacuationKey is the prefix of the keys of evacuations.
	evacuationKey = "evacuated:"
)

// evacuate requests or cancels the evacuation of a domain; the store acknowledges it at once.
func evacuate(t *testing.T, log store.Log, domain string, on bool) {
	t.Helper()
	record := store.Record{Key: evacuationKey + domain}
	if on {
		record.Value = []byte("{}")
	}
	if _, err := log.Append(t.Context(), store.Config, []store.Record{record}, nil, time.Second); err != nil {
		t.Fatal(err)
	}
}

// evacuated returns the domains that the VM knows as evacuated.
func (v *vm) evacuated() []string {
	set, _ := v.config.evacuations.current()
	return set.Domains()
}

// confirmedSince reports whether the VM's evacuations are confirmed as of a time after at.
func (v *vm) confirmedSince(at time.Duration) bool {
	_, confirmedAt := v.config.evacuations.current()
	return confirmedAt > at
}

func (v *vm) awaitEvacuated(domains ...string) {
	v.t.Helper()
	eventually(v.t, fmt.Sprintf("evacuated are %v", domains), func() bool { return slices.Equal(v.evacuated(), domains) })
}

// TestEvacuationsFollowTheStore guards against a VM that misses a second evacuation, a cancellation, or one of several changes within
// seconds.
func TestEvacuationsFollowTheStore(t *testing.T) {
	log, v := newConfiguredVM(t)
	evacuate(t, log, "a", true)
	v.awaitEvacuated("a")
	evacuate(t, log, "b", true)
	v.awaitEvacuated("a", "b")
	evacuate(t, log, "a", false)
	evacuate(t, log, "a", true)
	evacuate(t, log, "b", false)
	v.awaitEvacuated("a")
	evacuate(t, log, "a", false)
	v.awaitEvacuated()
	now := boottime.Now()
	eventually(t, "the evacuations are confirmed", func() bool { return v.confirmedSince(now) })
}

// TestExpiredHistoryLosesNoEvacuation guards against a VM that keeps an evacuation for good, or misses one, because the records between
// expired before it read them.
func TestExpiredHistoryLosesNoEvacuation(t *testing.T) {
	log, v := newConfiguredVM(t)
	evacuate(t, log, "a", true)
	v.awaitEvacuated("a")
	log.SetFault(func(request string) (error, bool) { return store.ErrUnknown, request == "append" })
	_, _ = log.Append(t.Context(), store.Config, []store.Record{{Key: evacuationKey + "a"}}, nil, time.Second)
	_, _ = log.Append(t.Context(), store.Config, []store.Record{{Key: evacuationKey + "b", Value: []byte("{}")}}, nil, time.Second)
	log.DropHistory(store.Config)
	log.SetFault(nil)
	v.awaitEvacuated("b")
}

// TestStartingVMKnowsNothing guards against a VM that takes the set as known before it has read it completely, or after a load alone,
// whose pages may be of an earlier state.
func TestStartingVMKnowsNothing(t *testing.T) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
	evacuate(t, log, "a", true)
	log.SetFault(func(request string) (error, bool) {
		if request == "read" {
			return store.ErrUnknown, false
		}
		return nil, true
	})
	v := newVM(t, log)
	v.awaitEvacuated("a")
	if v.confirmedSince(neverConfirmed) {
		t.Error("the set is confirmed before the first complete read")
	}
	log.SetFault(nil)
	eventually(t, "the set is confirmed", func() bool { return v.confirmedSince(0) })
}

// switchedStore is one VM's connection to the store: it serves reads from earlier while that is set, and delays the responses to reads
// of the configuration stream.
type switchedStore struct {
	store.Log
	earlier atomic.Pointer[storetest.Fake]
	delay   atomic.Int64
}

func (s *switchedStore) source() store.Log {
	if earlier := s.earlier.Load(); earlier != nil {
		return earlier
	}
	return s.Log
}

func (s *switchedStore) Read(ctx context.Context, stream store.Stream, from int64, wait time.Duration) (*store.Batch, error) {
	batch, err := s.source().Read(ctx, stream, from, min(wait, 20*time.Millisecond))
	if stream == store.Config {
		boottime.Sleep(ctx, time.Duration(s.delay.Load()))
	}
	return batch, err
}

func (s *switchedStore) Newest(ctx context.Context, stream store.Stream, after string) (*store.Page, error) {
	return s.source().Newest(ctx, stream, after)
}

// TestEarlierStateConfirmsNothing guards against a VM that ends an evacuation, or takes its set as known, by a state of the store from
// before the request that it has already seen; whether it reads on from there or loads it.
func TestEarlierStateConfirmsNothing(t *testing.T) {
	for _, expired := range []bool{false, true} {
		log, earlier := storetest.New(), storetest.New()
		for _, l := range []*storetest.Fake{log, earlier} {
			publish(t, l, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
		}
		evacuate(t, log, "a", true)
		link := &switchedStore{Log: log}
		v := newVM(t, link)
		v.awaitEvacuated("a")
		eventually(t, "the set is confirmed", func() bool { return v.confirmedSince(0) })
		if expired {
			evacuate(t, log, "b", true)
			v.awaitEvacuated("a", "b")
			earlier.DropHistory(store.Config)
			log.DropHistory(store.Config)
			evacuate(t, log, "b", false)
			log.DropHistory(store.Config)
		}
		link.earlier.Store(earlier)
		time.Sleep(100 * time.Millisecond)
		now := boottime.Now()
		time.Sleep(300 * time.Millisecond)
		if v.confirmedSince(now) || !slices.Contains(v.evacuated(), "a") {
			t.Errorf("expired %v: evacuated are %v, confirmed by an earlier state: %v", expired, v.evacuated(), v.confirmedSince(now))
		}
		link.earlier.Store(nil)
		eventually(t, "the set is confirmed again", func() bool { return v.confirmedSince(now) })
		v.awaitEvacuated("a")
	}
}

// watchOf returns a watch that has confirmed the evacuation of domain a at offset 9 of a stream that ends at 10.
func watchOf(t *testing.T) *evacuationWatch {
	t.Helper()
	o := testOptions(storetest.New())
	w := newEvacuationWatch(&o, func() {})
	w.fold(&store.Update{Records: evacuationRecord("a", 9), StartedAt: time.Second, Complete: true, Loaded: true, Next: 10, End: 10})
	w.fold(&store.Update{StartedAt: time.Second, Complete: true, Next: 10, End: 10})
	if set, confirmedAt := w.current(); !set.Contains("a") || confirmedAt != time.Second {
		t.Fatalf("evacuated are %v as of %s, want a as of 1 s", set.Domains(), confirmedAt)
	}
	return w
}

func evacuationRecord(domain string, offset int64) []store.Record {
	return []store.Record{{Key: evacuationKey + domain, Value: []byte("{}"), Offset: offset}}
}

// TestLostHistoryStopsStartsForALimitedTime guards against a VM that starts nothing for good, or ignores new requests for their low
// offsets, because the store has lost history; and against one that takes a late replica for that after a short time or a freeze.
func TestLostHistoryStopsStartsForALimitedTime(t *testing.T) {
	w := watchOf(t)
	read := &store.Update{StartedAt: time.Hour, Complete: true, Next: 10, End: 4}
	reads := 0
	for ; reads < 1000 && !w.fold(read); reads++ {
		if set, confirmedAt := w.current(); !set.Contains("a") || confirmedAt != time.Second {
			t.Fatalf("after %d reads evacuated are %v as of %s, want a as of 1 s", reads, set.Domains(), confirmedAt)
		}
		read.StartedAt += testEvacuationBound / 4
	}
	if lost := read.StartedAt - time.Hour; lost != lostHistoryBounds*testEvacuationBound {
		t.Fatalf("the store counts as having lost history after %s, want %s", lost, lostHistoryBounds*testEvacuationBound)
	}
	at := read.StartedAt + time.Second
	w.fold(&store.Update{Records: evacuationRecord("b", 3), StartedAt: at, Complete: true, Loaded: true, Next: 4, End: 4})
	w.fold(&store.Update{Records: evacuationRecord("c", 4), StartedAt: at, Complete: true, Next: 5, End: 5})
	if set, confirmedAt := w.current(); !slices.Equal(set.Domains(), []string{"b", "c"}) || confirmedAt != at {
		t.Errorf("evacuated are %v as of %s, want b and c as of %s", set.Domains(), confirmedAt, at)
	}

	frozen := watchOf(t)
	for i := range 4 {
		if frozen.fold(&store.Update{StartedAt: time.Duration(i) * time.Hour, Complete: true, Next: 10, End: 4}) {
			t.Error("a freeze between reads of an earlier state counts as lost history")
		}
	}
}

// TestStoreThatWasBehindIsLoadedAgain guards against a request that is missed because the store has lost records and has given their
// offsets to others before the next read, so that its end is as high as before.
func TestStoreThatWasBehindIsLoadedAgain(t *testing.T) {
	w := watchOf(t)
	w.fold(&store.Update{StartedAt: 2 * time.Second, Complete: true, Next: 10, End: 6})
	if !w.fold(&store.Update{StartedAt: 3 * time.Second, Complete: true, Next: 12, End: 12}) {
		t.Error("the stream is not loaded again")
	}
	if _, confirmedAt := w.current(); confirmedAt != time.Second {
		t.Errorf("the set is confirmed as of %s by a read that may lack records, want 1 s", confirmedAt)
	}
	w.fold(&store.Update{StartedAt: 4 * time.Second, Complete: true, Loaded: true, Next: 5, End: 5})
	if set, _ := w.current(); !set.Contains("a") {
		t.Error("a load of an earlier state ends the evacuation")
	}
	w.fold(&store.Update{Records: evacuationRecord("b", 7), StartedAt: 5 * time.Second, Complete: true, Loaded: true, Next: 12, End: 12})
	if w.fold(&store.Update{StartedAt: 6 * time.Second, Complete: true, Next: 12, End: 12}) {
		t.Error("the stream is loaded again although it was")
	}
	if set, confirmedAt := w.current(); !slices.Equal(set.Domains(), []string{"b"}) || confirmedAt != 6*time.Second {
		t.Errorf("evacuated are %v as of %s, want b as of 6 s", set.Domains(), confirmedAt)
	}
}

// TestPagesOfDifferentStatesEndNoEvacuation guards against an evacuation that ends because a later page of a load, which lacks its
// record, is of an earlier state than the first one.
func TestPagesOfDifferentStatesEndNoEvacuation(t *testing.T) {
	w := watchOf(t)
	w.fold(&store.Update{StartedAt: 2 * time.Second, Complete: true, Loaded: true, Next: 12, End: 11})
	if !w.fold(&store.Update{StartedAt: 3 * time.Second, Complete: true, Next: 12, End: 12}) {
		t.Error("the stream is not loaded again")
	}
	if set, confirmedAt := w.current(); !set.Contains("a") || confirmedAt != time.Second {
		t.Errorf("evacuated are %v as of %s, want a as of 1 s", set.Domains(), confirmedAt)
	}
}

// TestConfirmationCountsFromTheStartOfTheRead guards against a set that counts as newer than it is because the store is slow, or the VM
// was frozen between the request and its response.
func TestConfirmationCountsFromTheStartOfTheRead(t *testing.T) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1})
	link := &switchedStore{Log: log}
	const delay = 400 * time.Millisecond
	link.delay.Store(int64(delay))
	v := newVM(t, link)
	eventually(t, "the set is confirmed", func() bool { return v.confirmedSince(0) })
	for range 20 {
		if _, confirmedAt := v.config.evacuations.current(); boottime.Now()-confirmedAt < delay {
			t.Fatalf("the set counts as confirmed %s ago, the response took %s", boottime.Now()-confirmedAt, delay)
		}
		time.Sleep(delay / 20)
	}
}

// TestNoBoundNoEvacuations guards against a deployment without evacuations whose starts depend on them.
func TestNoBoundNoEvacuations(t *testing.T) {
	n := New(Options{Settings: &vmsettings.Settings{}, Log: storetest.New(), Decoder: Decoder{
		EvacuatedDomain: func(store.Record) (string, bool) { return "a", true },
	}})
	n.config.evacuations.fold(&store.Update{Records: []store.Record{{Key: "a", Value: []byte("{}")}}})
	if set, _ := n.config.evacuations.current(); n.config.evacuations.enabled() || len(set.Domains()) != 0 {
		t.Errorf("evacuated are %v without a bound in the settings", set.Domains())
	}
}

// decodeTestWorker decodes the entry of a worker, which is its failure domain.
func decodeTestWorker(id string, text []byte) (workload.WorkerInfo, error) {
	return workload.WorkerInfo{
		ID: id, Address: "127.0.0.1:1", Service: "svc", FailureDomain: string(text),
		Capacity: resource.Resources{Accelerators: 8, MilliCPU: 8000, MemoryMB: 8000},
	}, nil
}

// testFleet is a set of workers that run whatever they are told to start, until the test ends.
type testFleet struct {
	mu     sync.Mutex
	starts map[string][]workload.RunRef
}

func (f *testFleet) Connect(id, _ string) leader.WorkerConn { return &testConn{fleet: f, id: id} }

// count returns the number of starts on a worker.
func (f *testFleet) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts[id])
}

type testConn struct {
	fleet *testFleet
	id    string
}

func (c *testConn) Watch(ctx context.Context, r leader.WatchRequest, _ time.Duration) (*workload.Listing, error) {
	boottime.Sleep(ctx, min(r.Wait, 20*time.Millisecond))
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	listing := &workload.Listing{Incarnation: 1, ClockMS: boottime.Now().Milliseconds()}
	for _, ref := range c.fleet.starts[c.id] {
		listing.Running = append(listing.Running, workload.RunningRun{RunRef: ref})
	}
	return listing, ctx.Err()
}

func (c *testConn) Start(_ context.Context, r leader.StartRequest, _ time.Duration) error {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if !slices.Contains(c.fleet.starts[c.id], r.Ref) {
		c.fleet.starts[c.id] = append(c.fleet.starts[c.id], r.Ref)
	}
	return nil
}

func (c *testConn) Stop(context.Context, leader.StopRequest, time.Duration) error { return nil }
func (c *testConn) SameConnection() bool                                          { return true }
func (c *testConn) Close()                                                        {}

// newFleetVM returns a VM in the given domain that can hold the schedule of the fleet's workers.
func newFleetVM(t *testing.T, log store.Log, fleet *testFleet, domain string) *vm {
	v := newVM(t, log)
	v.Workers, v.Settings.FailureDomain = fleet, domain
	return v
}

// submit submits a job of one task.
func (v *vm) submit(id workload.JobID) {
	v.t.Helper()
	job := testJob()
	job.ID = id
	if err := v.Submit(v.t.Context(), v.access(), job); err != nil {
		v.t.Fatal(err)
	}
}

// TestHoldersKnowTheEvacuations guards against a start in an evacuated domain by a holder that is in that domain itself, by one that
// takes over between the request and its first plan, and by one that cannot read the evacuations.
func TestHoldersKnowTheEvacuations(t *testing.T) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
	for id, domain := range map[string]string{"worker-a": "a", "worker-b": "b"} {
		if _, err := log.Append(t.Context(), store.Workers, []store.Record{{Key: id, Value: []byte(domain)}}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	fleet := &testFleet{starts: map[string][]workload.RunRef{}}
	started := func(what string, id string, n int) {
		t.Helper()
		eventually(t, what, func() bool { return fleet.count(id) == n })
	}
	first := newFleetVM(t, log, fleet, "a")
	stopFirst := startMembership(t, first, "a")
	eventually(t, "the first VM holds the schedule", func() bool { return first.holdsSchedule() })
	evacuate(t, log, "a", true)
	first.awaitEvacuated("a")
	first.submit("0000000000000001")
	started("the holder in the evacuated domain has started the job elsewhere", "worker-b", 1)

	link := &switchedStore{Log: log}
	second := newFleetVM(t, link, fleet, "b")
	second.access()
	evacuate(t, log, "b", true)
	evacuate(t, log, "a", false)
	stopFirst()
	// The second VM reads the evacuations only after it has taken over.
	second.submit("0000000000000002")
	startMembership(t, second, "b")
	started("the next holder has started the job in the domain that is not evacuated any more", "worker-a", 1)

	link.delay.Store(int64(testEvacuationBound))
	time.Sleep(testEvacuationBound)
	evacuate(t, log, "a", true)
	evacuate(t, log, "b", false)
	evacuate(t, log, "b", true)
	first.submit("0000000000000003")
	time.Sleep(testEvacuationBound)
	if a, b := fleet.count("worker-a"), fleet.count("worker-b"); a != 1 || b != 1 {
		t.Errorf("%d and %d starts, want one each: none by a holder whose evacuations are as old as the bound", a, b)
	}
	link.delay.Store(0)
	evacuate(t, log, "b", false)
	started("the job has started once the evacuations are known", "worker-b", 2)
}
