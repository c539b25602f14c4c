package joblog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

func earlyCancelRecord(t *testing.T, id workload.JobID, caller Caller) store.Record {
	t.Helper()
	r, err := EarlyCancelRecord(id, caller)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestEarlyCancelHoldsInAnyOrder guards against an early cancellation that has an effect only if its record is read before, or after, the
// submission, and against counts that drift with it.
func TestEarlyCancelHoldsInAnyOrder(t *testing.T) {
	early := earlyCancelRecord(t, "a", Caller{Queue: "q"})
	for _, records := range [][]store.Record{
		{early, submission(t, "a")}, {submission(t, "a"), early}, {early, early, submission(t, "a")}, {state("a", workload.PhaseRunning), early, submission(t, "a")},
	} {
		v := NewView()
		for _, r := range records {
			id, err := v.Apply(r)
			if id != "a" || err != nil {
				t.Errorf("the record %q is applied to job %q with error %v", r.Key, id, err)
			}
		}
		if e, known := v.Get("a"); !known || !e.Cancelled {
			t.Errorf("after %d records the job is %+v, known %v; want it cancelled", len(records), e, known)
		}
		if v.Charge() != overload.Charge(job("a")) || v.Waiting("q") != 0 {
			t.Errorf("a cancelled job counts %d units, %d jobs wait", v.Charge(), v.Waiting("q"))
		}
	}
}

// TestEarlyCancelsOfOthersHaveNoEffect guards against an early cancellation by another owner, which must not replace that of the owner either.
func TestEarlyCancelsOfOthersHaveNoEffect(t *testing.T) {
	v := NewView()
	own := job("a")
	own.Account = "acme"
	submitted, err := SubmissionRecord(own)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, v, earlyCancelRecord(t, "a", Caller{Queue: "q", Account: "rival"}))
	mustApply(t, v, earlyCancelRecord(t, "a", Caller{Queue: "other"}))
	mustApply(t, v, earlyCancelRecord(t, "a", Caller{Queue: "other", Account: "acme"}))
	mustApply(t, v, submitted)
	if e, _ := v.Get("a"); e.Cancelled || v.Charge() != overload.Charge(own) {
		t.Fatal("the job is cancelled by others")
	}
	mustApply(t, v, earlyCancelRecord(t, "a", Caller{Queue: "q", Account: "acme"}))
	if e, _ := v.Get("a"); !e.Cancelled {
		t.Fatal("the job is not cancelled by its owner")
	}
}

// TestEarlyCancelsAreDeleted guards against early cancellations that stay in the views and the store for good, and against the deletion of
// recent ones.
func TestEarlyCancelsAreDeleted(t *testing.T) {
	v := NewView()
	for i := range 10 {
		mustApply(t, v, earlyCancelRecord(t, workload.JobID(fmt.Sprint(i)), Caller{Account: "acme"}))
	}
	if n := v.EarlyCancels("acme"); n != 10 {
		t.Errorf("%d early cancellations are counted, want 10", n)
	}
	if tombstones := v.EarlyCancelTombstones(boottime.Now() - time.Minute); len(tombstones) != 0 {
		t.Errorf("early cancellations of less than a minute are deleted: %v", tombstones)
	}
	deleted := 0
	for stream, tombstones := range v.EarlyCancelTombstones(boottime.Now() + time.Second) {
		for _, r := range tombstones {
			id, err := v.Apply(r)
			if err != nil || IntakeStream(id) != stream {
				t.Errorf("the record that deletes the early cancellation of %q is for %v: %v", id, stream, err)
			}
			deleted++
		}
	}
	if deleted != 10 || v.EarlyCancels("acme") != 0 || len(v.earlyCancels.counts) != 0 {
		t.Errorf("%d records deleted, %d early cancellations are left", deleted, v.EarlyCancels("acme"))
	}
}

// TestUnreadableEarlyCancels guards against a record of another writer that stops the reader or cancels a job.
func TestUnreadableEarlyCancels(t *testing.T) {
	v := NewView()
	mustApply(t, v, submission(t, "a"))
	for _, r := range []store.Record{{Key: "e/a"}, {Key: "e//1", Value: []byte{1}}, {Key: "e/a/1", Value: []byte("junk")}, {Key: "e/a/1", Value: []byte{0xa0}}} {
		_, _ = v.Apply(r)
	}
	if e, _ := v.Get("a"); e.Cancelled {
		t.Error("the job is cancelled by an unreadable record")
	}
}

// TestAbandonedSubmissionIsNotBegun guards against a submission that is stored although its caller had left before its first append began:
// no answer was given, and the caller may have cancelled the job meanwhile.
func TestAbandonedSubmissionIsNotBegun(t *testing.T) {
	log := storetest.New()
	var appends atomic.Int64
	release := make(chan struct{})
	log.SetFault(func(string) (error, bool) {
		appends.Add(1)
		<-release
		return nil, true
	})
	w := NewWriter(log, &store.Hedge{}, 1<<18)
	blockers := make(chan error, maxInFlight)
	for range maxInFlight {
		before := appends.Load()
		go func() { blockers <- w.Submit(context.Background(), job("a")) }()
		for appends.Load() == before {
			time.Sleep(time.Millisecond)
		}
	}
	ctx, leave := context.WithCancel(t.Context())
	result := make(chan error, 2)
	stream := IntakeStream("a")
	left := job("a")
	go func() { result <- w.Submit(ctx, left) }()
	go func() {
		_, err := w.Cancel(ctx, "a")
		result <- err
	}()
	part := &w.parts[stream.Part]
	for pending := 0; pending < 2; time.Sleep(time.Millisecond) {
		part.mu.Lock()
		pending = len(part.pending)
		part.mu.Unlock()
	}
	leave()
	close(release)
	outcomes := []error{<-result, <-result}
	refused := 0
	for _, err := range outcomes {
		if errors.Is(err, store.ErrNotExecuted) && !errors.Is(err, store.ErrUnknown) {
			refused++
		}
	}
	if refused != 1 || outcomes[0] != nil && outcomes[1] != nil {
		t.Errorf("the submission and the cancellation of a caller that has left returned %v, want that only the cancellation is stored", outcomes)
	}
	for range maxInFlight {
		if err := <-blockers; err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkEarlyCancel measures the memory of an early cancellation in a view.
func BenchmarkEarlyCancel(b *testing.B) {
	const count = 16_384
	for range b.N {
		v := NewView()
		before := footprinttest.LiveHeap()
		for i := range count {
			r, err := EarlyCancelRecord(workload.JobID(fmt.Sprintf("%016x", i)), Caller{Queue: "a-queue-of-24-characters", Account: "an-account-of-24-letters", Origin: workload.Origin{URL: 1 << 63, Key: 1 << 63}})
			if err != nil {
				b.Fatal(err)
			}
			if _, err := v.Apply(r); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((footprinttest.LiveHeap()-before)/count, "B/cancellation")
		runtime.KeepAlive(v)
	}
}

// TestEarlyCancelIsNoRecordOfEarlierVersions guards against a program of an earlier version that takes an early cancellation for one of its own
// records, and cancels a job of any owner by it. What it cancels itself holds beside early cancellations.
func TestEarlyCancelIsNoRecordOfEarlierVersions(t *testing.T) {
	record := earlyCancelRecord(t, "a", Caller{Queue: "q"})
	for _, prefix := range []string{"s/", "c/", "j/", "q/", "l/"} {
		if strings.HasPrefix(record.Key, prefix) {
			t.Errorf("the key %q begins like a record of earlier versions", record.Key)
		}
	}
	v := NewView()
	mustApply(t, v, earlyCancelRecord(t, "a", Caller{Queue: "other"}))
	mustApply(t, v, submission(t, "a"))
	mustApply(t, v, store.Record{Key: "c/a", Value: []byte{1}})
	if e, _ := v.Get("a"); !e.Cancelled {
		t.Error("the cancellation of an earlier version has no effect")
	}
}

// TestEarlyCancelsOfOtherVersionsAreRead guards against an upgrade, or its undoing, after which an early cancellation does not hold: the version
// before stored neither URL nor key.
func TestEarlyCancelsOfOtherVersionsAreRead(t *testing.T) {
	const key = "e/a/347b4f2cac74d42a"
	own := job("a")
	own.Account, own.Origin = "acme", workload.NewOrigin("host", "/q/", "key-1", "a")
	submitted, err := SubmissionRecord(own)
	if err != nil {
		t.Fatal(err)
	}
	v := NewView()
	mustApply(t, v, store.Record{Key: key, Value: []byte("\xa2\x65Queue\x61q\x67Account\x64acme")})
	mustApply(t, v, submitted)
	if e, _ := v.Get("a"); !e.Cancelled {
		t.Error("the early cancellation of the version before has no effect")
	}
	record := earlyCancelRecord(t, "a", Caller{Queue: "q", Account: "acme", Origin: own.Origin})
	var earlier struct{ Queue, Account string }
	if err := cbor.Unmarshal(record.Value, &earlier); err != nil || earlier.Queue != "q" || earlier.Account != "acme" || record.Key != key {
		t.Errorf("the version before reads %+v (%v) under %q, want the queue and account under %q", earlier, err, record.Key, key)
	}
	former, err := SubmissionRecord(job("a"))
	if err != nil {
		t.Fatal(err)
	}
	// The version before encoded the same map without this field.
	former.Value = bytes.Replace(former.Value, []byte("\x66Origin\xa0"), nil, 1)
	former.Value[0]--
	v = NewView()
	mustApply(t, v, former)
	if e, known := v.Get("a"); !known || e.Job.Origin != (workload.Origin{}) {
		t.Errorf("a submission of the version before is known %v, %+v", known, e.Job)
	}
}
