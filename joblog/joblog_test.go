package joblog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

func job(id string) *workload.Job {
	return &workload.Job{ID: workload.JobID(id), Queue: "q", Steps: []workload.Step{{Tasks: 1}}, AcceptedAt: time.UnixMilli(1_700_000_000_123)}
}

func submission(t *testing.T, id string) store.Record {
	r, err := SubmissionRecord(job(id))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// mustApply applies a record that can be decoded.
func mustApply(t *testing.T, v *View, r store.Record) {
	t.Helper()
	if _, err := v.Apply(r); err != nil {
		t.Fatal(err)
	}
}

func state(id string, phase workload.Phase) store.Record {
	return StateRecord(workload.JobID(id), (&workload.JobState{Phase: phase}).Encode())
}

// TestViewFoldsInAnyOrder guards against a job whose state depends on the order in which a VM reads its records: they come
// from different streams.
func TestViewFoldsInAnyOrder(t *testing.T) {
	records := []store.Record{submission(t, "a"), CancelRecord("a"), state("a", workload.PhaseRunning)}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		v := NewView()
		for _, i := range order {
			mustApply(t, v, records[i])
		}
		e, ok := v.Get("a")
		if !ok || e.Phase != workload.PhaseCancelled || !e.Cancelled || !e.Job.AcceptedAt.Equal(job("a").AcceptedAt) {
			t.Errorf("order %v: got %+v, known %v; want a cancelled job with its time of acceptance", order, e, ok)
		}
		if v.Waiting("q") != 0 {
			t.Errorf("order %v: %d jobs wait, want 0", order, v.Waiting("q"))
		}
	}
}

// TestFinalStateStays guards against an older state that revives an ended job, against a late cancellation that turns a
// completed job into a cancelled one, and against tombstones that leave a job in the view.
func TestFinalStateStays(t *testing.T) {
	v := NewView()
	for _, r := range []store.Record{submission(t, "a"), state("a", workload.PhaseCompleted), state("a", workload.PhaseRunning), CancelRecord("a"), submission(t, "a")} {
		mustApply(t, v, r)
	}
	if e, _ := v.Get("a"); e.Phase != workload.PhaseCompleted {
		t.Fatalf("the job is %v, want completed", e.Phase)
	}
	for _, r := range IntakeTombstones("a") {
		mustApply(t, v, r)
	}
	mustApply(t, v, StateTombstone("a"))
	if _, known := v.Get("a"); known {
		t.Fatal("the deleted job is still in the view")
	}
}

// TestWaitingCountIgnoresRepeats guards against a count of waiting jobs that drifts when records are repeated.
func TestWaitingCountIgnoresRepeats(t *testing.T) {
	v := NewView()
	for range 2 {
		for i := range 5 {
			mustApply(t, v, submission(t, fmt.Sprint(i)))
		}
	}
	mustApply(t, v, state("0", workload.PhaseRunning))
	mustApply(t, v, CancelRecord("1"))
	mustApply(t, v, CancelRecord("1"))
	if n := v.Waiting("q"); n != 3 {
		t.Fatalf("%d jobs wait, want 3", n)
	}
}

// TestUnreadableRecordsAreReported guards against a view that stops at records of other writers, takes them for jobs, or
// ignores them without a log line and a count.
func TestUnreadableRecordsAreReported(t *testing.T) {
	records := []store.Record{{}, {Key: "x"}, {Key: "s/a", Value: []byte("junk")}, {Key: "j/a", Value: []byte{9}}, {Key: "z/a", Value: []byte{1}}}
	counter := metrics.GetOrRegisterCounter(counterUnreadable, nil)
	before := counter.Count()
	var logged bytes.Buffer
	v := NewView()
	r := newReader(storetest.New(), store.States, v, zerolog.New(&logged))
	r.apply(append(records, submission(t, "b")), unknownTime)
	if got := counter.Count() - before; got != 5 || strings.Count(logged.String(), "\n") != 5 {
		t.Errorf("%d of 5 unreadable records were counted; the log has %q", got, logged.String())
	}
	if _, known := v.Get("a"); known {
		t.Error("the view has a job for an unreadable submission")
	}
	if _, known := v.Get("b"); !known {
		t.Error("the view lacks the job whose record follows the unreadable ones")
	}
}

// FuzzRecord guards against a stored record that takes down every VM that reads it.
func FuzzRecord(f *testing.F) {
	sound, err := SubmissionRecord(job("a"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound.Key, sound.Value)
	f.Add("s/a", (&workload.JobState{Phase: workload.PhaseRunning}).Encode())
	f.Add("c/a", []byte{1})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v := NewView()
		if _, err := v.Apply(sound); err != nil {
			t.Fatal(err)
		}
		_, _ = v.Apply(store.Record{Key: key, Value: value})
		_, _ = v.Apply(store.Record{Key: key})
		if n := v.Waiting("q"); n < 0 {
			t.Fatalf("%d jobs wait", n)
		}
		v.Each(func(Entry) {})
	})
}

// TestWriterGroupsAppends guards against one append per caller: a slow store cannot keep up with that.
func TestWriterGroupsAppends(t *testing.T) {
	log := storetest.New()
	var appends atomic.Int64
	log.SetFault(func(string) (error, bool) {
		appends.Add(1)
		time.Sleep(50 * time.Millisecond)
		return nil, true
	})
	w := NewWriter(log, &store.Hedge{}, 1<<18)
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			if err := w.Submit(t.Context(), job(fmt.Sprint(i))); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	if n := appends.Load(); n > 60 {
		t.Fatalf("%d appends for 200 callers, want at most 60", n)
	}
}

// TestWriterTellsRefusedFromUnknown guards against a record that is reported as not executed although it may be stored:
// after one attempt of unknown outcome, a later rejection leaves the outcome unknown.
func TestWriterTellsRefusedFromUnknown(t *testing.T) {
	log := storetest.New()
	w := NewWriter(log, &store.Hedge{}, 1<<18)
	log.SetFault(func(string) (error, bool) { return store.ErrNotExecuted, false })
	if err := w.Submit(t.Context(), job("a")); !errors.Is(err, store.ErrNotExecuted) || errors.Is(err, store.ErrUnknown) {
		t.Errorf("rejected: got %v, want only ErrNotExecuted", err)
	}
	var calls atomic.Int64
	log.SetFault(func(string) (error, bool) {
		if calls.Add(1) == 1 {
			return store.ErrUnknown, false
		}
		return store.ErrNotExecuted, false
	})
	if err := w.Submit(t.Context(), job("b")); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("unknown, then rejected: got %v, want ErrUnknown", err)
	}
	calls.Store(0)
	log.SetFault(func(string) (error, bool) {
		if calls.Add(1) == 1 {
			return store.ErrUnknown, true
		}
		return nil, true
	})
	if err := w.Submit(t.Context(), job("c")); err != nil {
		t.Errorf("unknown, then stored: got %v, want no error", err)
	}
}

// TestWriterKeepsTryingWhileTheCallerWaits guards against writes that fail with an unknown outcome within milliseconds when
// connections to the store are reset briefly: callers cannot always submit such a job again.
func TestWriterKeepsTryingWhileTheCallerWaits(t *testing.T) {
	log := storetest.New()
	w := NewWriter(log, &store.Hedge{}, 1<<18)
	var calls atomic.Int64
	log.SetFault(func(string) (error, bool) {
		switch n := calls.Add(1); {
		case n <= 3:
			return store.ErrUnknown, false
		case n <= 8:
			return store.ErrNotExecuted, false
		}
		return nil, true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if err := w.Submit(ctx, job("a")); err != nil {
		t.Errorf("3 appends without response, then 5 rejections: got %v, want no error", err)
	}
}

// TestPoliciesAreNoJobs guards against the record of a queue that is taken for one of a job, and against a policy that is lost on its way
// through the store.
func TestPoliciesAreNoJobs(t *testing.T) {
	want := workload.QueuePolicy{Service: "svc", Priority: 1, MaxFailedRuns: 4, Version: 9}
	v := NewView()
	for _, policy := range []*workload.QueuePolicy{&want, nil} {
		record, err := PolicyRecord("scan", policy)
		if err != nil {
			t.Fatal(err)
		}
		if id, err := v.Apply(record); id != "" || err != nil {
			t.Errorf("the record of a queue is applied to job %q with error %v", id, err)
		}
		got, known := v.Policies()["scan"]
		if known != (policy != nil) || known && got != want {
			t.Errorf("got policy %+v, known %v, want %+v", got, known, policy)
		}
	}
	if _, err := PolicyRecord(strings.Repeat("q", 254), &want); err == nil {
		t.Error("a name that does not fit into a key gives a record, which would make the store reject the whole append")
	}
}

// TestPoliciesOfOtherVersionsAreRead guards against an upgrade, or its undoing, that loses the policies of queues: earlier versions do not
// store the settings of objectives.
func TestPoliciesOfOtherVersionsAreRead(t *testing.T) {
	type earlierPolicy struct {
		Service       string
		Priority      int
		MaxFailedRuns int
		Version       int64
	}
	stored, err := encoding.Marshal(earlierPolicy{"svc", 1, 4, 9})
	if err != nil {
		t.Fatal(err)
	}
	v := NewView()
	mustApply(t, v, store.Record{Key: "q/scan", Value: stored})
	want := workload.QueuePolicy{Service: "svc", Priority: 1, MaxFailedRuns: 4, Version: 9}
	if got := v.Policies()["scan"]; got != want {
		t.Errorf("the policy of an earlier version is read as %+v, want %+v", got, want)
	}
	want.SlackFactor, want.Target = 3, time.Second
	record, err := PolicyRecord("scan", &want)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierPolicy
	if err := cbor.Unmarshal(record.Value, &earlier); err != nil || earlier != (earlierPolicy{"svc", 1, 4, 9}) {
		t.Errorf("an earlier version reads %+v (%v)", earlier, err)
	}
	mustApply(t, v, record)
	if got := v.Policies()["scan"]; got != want {
		t.Errorf("got policy %+v, want %+v", got, want)
	}
}

func forecastRecord(t *testing.T, f *overload.Forecast) store.Record {
	record, err := ForecastRecord(f)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// TestForecastExpires guards against refusals by a forecast of a holder that is gone, or by one that a VM reads long after it was made.
func TestForecastExpires(t *testing.T) {
	v := NewView()
	if v.Forecast() != nil {
		t.Error("there is a forecast before one was read")
	}
	want := &overload.Forecast{MadeAt: time.Now(), Tasks: 7, Services: []overload.Service{{
		Name: "svc", Accelerators: 8, Cores: 64, Levels: []overload.Level{{Priority: 1, Accelerators: time.Minute, Cores: time.Second}},
	}}}
	mustApply(t, v, forecastRecord(t, want))
	if got := v.Forecast(); got == nil || !got.MadeAt.Equal(want.MadeAt) || got.Tasks != 7 || !reflect.DeepEqual(got.Services, want.Services) {
		t.Errorf("got the forecast %+v, want %+v", got, want)
	}
	// The clock of the author is ahead by an hour, or the view was read long ago.
	mustApply(t, v, forecastRecord(t, &overload.Forecast{MadeAt: time.Now().Add(time.Hour)}))
	if v.Forecast() == nil {
		t.Error("a forecast of a VM whose clock is ahead is ignored")
	}
	v.forecastReadAt -= overload.MaxForecastAge + time.Second
	if v.Forecast() != nil {
		t.Error("a forecast that was read more than 10 s ago is used")
	}
	ahead := forecastRecord(t, &overload.Forecast{MadeAt: time.Now().Add(time.Hour)})
	mustApply(t, v, ahead)
	v.forecastReadAt -= overload.MaxForecastAge + time.Second
	mustApply(t, v, ahead)
	if v.Forecast() != nil {
		t.Error("a forecast that was first read more than 10 s ago is used because it was read again")
	}
	mustApply(t, v, forecastRecord(t, &overload.Forecast{MadeAt: time.Now().Add(-overload.MaxForecastAge)}))
	if v.Forecast() != nil {
		t.Error("a forecast that was made 10 s ago is used")
	}
}

// TestUnknownKindsChangeNothing guards against a VM that takes a record of a kind that a later version has added for a job, or stops at it.
func TestUnknownKindsChangeNothing(t *testing.T) {
	v := NewView()
	for _, key := range []string{"y/forecast", "l/other"} {
		id, _ := v.Apply(store.Record{Key: key, Value: []byte{1}})
		if id != "" {
			t.Errorf("the record %q is taken for one of job %q", key, id)
		}
	}
	mustApply(t, v, submission(t, "a"))
	if len(v.entries) != 1 || v.Forecast() != nil {
		t.Errorf("the view has %d jobs and the forecast %v, want one job", len(v.entries), v.Forecast())
	}
}

// TestChargeOfAllJobs guards against a limit on what jobs take that drifts until nothing is accepted, or everything is. A job that is
// cancelled is kept whole until its end is stored, and one that has ended takes some memory until it is deleted, so both count.
func TestChargeOfAllJobs(t *testing.T) {
	v := NewView()
	charge := overload.Charge(job("a"))
	expect := func(what string, jobs, ended int) {
		t.Helper()
		if got := v.Charge(); got != jobs*charge+ended*overload.EndedCharge {
			t.Errorf("%s: %d units are counted, want those of %d jobs and of %d that have ended", what, got, jobs, ended)
		}
	}
	for range 2 {
		for _, id := range []string{"a", "b", "c"} {
			mustApply(t, v, submission(t, id))
		}
		expect("submitted", 3, 0)
	}
	mustApply(t, v, state("a", workload.PhaseRunning))
	expect("started", 3, 0)
	for range 2 {
		mustApply(t, v, state("a", workload.PhaseCompleted))
		expect("completed", 2, 1)
	}
	for range 2 {
		mustApply(t, v, CancelRecord("b"))
		expect("cancelled", 2, 1)
	}
	mustApply(t, v, state("b", workload.PhaseCancelled))
	expect("the end of the cancelled job is stored", 1, 2)
	for _, id := range []workload.JobID{"a", "b", "c"} {
		for _, r := range append(IntakeTombstones(id), StateTombstone(id)) {
			mustApply(t, v, r)
		}
	}
	expect("deleted", 0, 0)
}
