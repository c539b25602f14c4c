package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// earlierView returns the view of a holder of a version that ignores early cancellations.
func earlierView(t *testing.T, log store.Log, id workload.JobID) *joblog.View {
	t.Helper()
	batch, err := log.Read(t.Context(), joblog.IntakeStream(id), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	view := joblog.NewView()
	for _, r := range batch.Records {
		if strings.HasPrefix(r.Key, "e/") {
			continue
		}
		if _, err := view.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	return view
}

// TestVoidedSubmissionIsCancelledForEarlierVersions guards against a job that a holder of an earlier version runs to its end, because it
// ignores the early cancellation that was answered with "no such job". The answering VM may be gone: another one has read both records.
func TestVoidedSubmissionIsCancelledForEarlierVersions(t *testing.T) {
	log := &lateLog{Fake: storetest.New(), losses: 8}
	publish(t, log.Fake, testConfig{Version: 1, Keys: map[string]string{testKey: "acme"}})
	first := newVM(t, log)
	access := first.access()
	ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer leave()
	if err := first.Submit(ctx, access, testJob()); !errkind.Is(err, errkind.DeadlineExceeded) {
		t.Fatalf("the submission returned %v, want that its outcome is unknown", err)
	}
	if err := first.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("the cancellation returned %v, want that there is no such job", err)
	}
	log.late()
	eventually(t, "the job is cancelled for a holder of an earlier version", func() bool {
		e, known := earlierView(t, log, testID).Get(testID)
		return known && e.Cancelled
	})
}

// TestOthersDoNotCancelForEarlierVersions guards against an early cancellation by another account that becomes one for a holder of an earlier
// version, which does not ask whose it is.
func TestOthersDoNotCancelForEarlierVersions(t *testing.T) {
	log := storetest.New()
	publish(t, log, testConfig{Version: 1, Keys: map[string]string{testKey: "acme", "key-2": "rival"}})
	v := newVM(t, log)
	own := v.access()
	rival, err := v.Authorize(testHost, testPath, "key-2")
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Cancel(t.Context(), rival, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("the cancellation returned %v, want that there is no such job", err)
	}
	if err := v.Submit(t.Context(), own, testJob()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if e, known := earlierView(t, log, testID).Get(testID); !known || e.Cancelled {
		t.Errorf("for a holder of an earlier version the job is known %v, cancelled %v; want it to run", known, e.Cancelled)
	}
}

// TestVoidedSubmissionIsCancelledOnce guards against a cancellation of a voided submission that every read, or every VM, stores again.
func TestVoidedSubmissionIsCancelledOnce(t *testing.T) {
	log, v := newConfiguredVM(t)
	access := v.access()
	if err := v.Cancel(t.Context(), access, testID); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("the cancellation returned %v, want that there is no such job", err)
	}
	if err := v.Submit(t.Context(), access, testJob()); err != nil {
		t.Fatal(err)
	}
	cancels := func() (count int) {
		batch, err := log.Read(t.Context(), joblog.IntakeStream(testID), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range batch.Records {
			if strings.HasPrefix(r.Key, "c/") {
				count++
			}
		}
		return count
	}
	eventually(t, "the cancellation is stored", func() bool { return cancels() > 0 })
	for range 3 {
		restarted := newVM(t, log)
		if phase, err := restarted.Phase(t.Context(), restarted.access(), testID); err != nil || phase != workload.PhaseCancelled {
			t.Errorf("a restarted VM returns %v, %v; want cancelled", phase, err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if n := cancels(); n != 1 {
		t.Errorf("the cancellation was stored %d times, want once", n)
	}
}
