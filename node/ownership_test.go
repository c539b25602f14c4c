package node

import (
	"context"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// scanQueue returns the queue of testPath with another name or setting.
func scanQueue(name string, public bool) workload.Queue {
	return workload.Queue{Name: name, Host: testHost, PathPrefix: "/scan/", Service: "svc", MaxFailedRuns: 2, Public: public}
}

// ownershipChange is a change of the configuration between the submission of a job and a request for it.
type ownershipChange struct {
	name          string
	before, after testConfig
	// submitKey and key are those of the submission and of the request.
	submitKey, key string
	// want is the answer to the request for a known job; empty if the caller may see and cancel it.
	want errkind.Kind
	// stranger is true if the caller has not submitted the job: its cancellation must have no effect on a submission in flight either.
	stranger bool
}

// ownershipChanges are the changes to the keys and queues of a job. Nobody is told that a job of theirs is over while it goes on, and nobody
// sees or cancels a job of others.
func ownershipChanges() []ownershipChange {
	own := map[string]string{testKey: "acme", "key-2": "rival", "key-3": "acme"}
	moved := map[string]string{testKey: "rival", "key-2": "rival", "key-3": "acme"}
	before := testConfig{Keys: own}
	public := testConfig{Keys: own, Scan: scanQueue("scan", true)}
	renamed := testConfig{Keys: own, Scan: scanQueue("scan-2", false)}
	return []ownershipChange{
		{name: "no change", before: before, after: before, submitKey: testKey, key: testKey},
		{name: "another key of the account", before: before, after: before, submitKey: testKey, key: "key-3"},
		{name: "key of another account", before: before, after: before, submitKey: testKey, key: "key-2", want: errkind.NotFound, stranger: true},
		{name: "key moved to another account", before: before, after: testConfig{Keys: moved}, submitKey: testKey, key: testKey, want: errkind.Forbidden},
		{name: "key moved, other key of its new account", before: before, after: testConfig{Keys: moved}, submitKey: testKey, key: "key-2",
			want: errkind.NotFound, stranger: true},
		{name: "key moved, other key of its former account", before: before, after: testConfig{Keys: moved}, submitKey: testKey, key: "key-3"},
		{name: "queue became public", before: before, after: public, submitKey: testKey, key: testKey},
		{name: "queue became public, no key", before: before, after: public, submitKey: testKey},
		{name: "public queue", before: public, after: public},
		{name: "public queue, key sent", before: public, after: public, submitKey: testKey},
		{name: "public queue became private", before: public, after: before, key: testKey},
		{name: "public queue became private, key sent before", before: public, after: before, submitKey: testKey, key: testKey},
		{name: "queue renamed", before: before, after: renamed, submitKey: testKey, key: testKey},
		{name: "queue renamed, another key of the account", before: before, after: renamed, submitKey: testKey, key: "key-3"},
		{name: "queue renamed, key of another account", before: before, after: renamed, submitKey: testKey, key: "key-2", want: errkind.NotFound, stranger: true},
		{name: "queue renamed and key moved", before: before, after: testConfig{Keys: moved, Scan: scanQueue("scan-2", false)}, submitKey: testKey, key: testKey,
			want: errkind.Forbidden},
		{name: "queue renamed and public", before: before, after: testConfig{Keys: own, Scan: scanQueue("scan-2", true)}, submitKey: testKey},
	}
}

// TestKnownJobAfterAChangeOfOwnership guards against a caller that is told that its job does not exist while that goes on, because its key
// or its queue has changed since the submission, and against callers that see or cancel jobs of others.
func TestKnownJobAfterAChangeOfOwnership(t *testing.T) {
	for _, c := range ownershipChanges() {
		t.Run(c.name, func(t *testing.T) {
			log := storetest.New()
			c.before.Version, c.after.Version = 1, 2
			publish(t, log, c.before)
			v := newVM(t, log)
			if err := v.Submit(t.Context(), v.accessOf(1, c.submitKey), testJob()); err != nil {
				t.Fatal(err)
			}
			publish(t, log, c.after)
			access := v.accessOf(2, c.key)
			if _, err := v.Phase(t.Context(), access, testID); kindOf(err) != c.want {
				t.Errorf("the query returned %v, want kind %q", err, c.want)
			}
			if err := v.Cancel(t.Context(), access, testID); kindOf(err) != c.want {
				t.Errorf("the cancellation returned %v, want kind %q", err, c.want)
			}
			if err := v.refresh(t.Context(), 0, v.follower.Streams()...); err != nil {
				t.Fatal(err)
			}
			if e, known := v.view.Get(testID); !known || e.Cancelled != (c.want == "") {
				t.Errorf("the job is known %v, cancelled %v; want cancelled %v", known, e.Cancelled, c.want == "")
			}
		})
	}
}

// TestCancelInFlightAfterAChangeOfOwnership guards against a cancellation that is answered with "no such job" while the submission is in
// flight, and does not hold for it because the key or the queue has changed between the two; and against one that holds for the job of
// another caller.
func TestCancelInFlightAfterAChangeOfOwnership(t *testing.T) {
	for _, c := range ownershipChanges() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			log := &lateLog{Fake: storetest.New(), losses: 8}
			c.before.Version, c.after.Version = 1, 2
			publish(t, log.Fake, c.before)
			first, second := newVM(t, log), newVM(t, log)
			access := first.accessOf(1, c.submitKey)
			ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer leave()
			if err := first.Submit(ctx, access, testJob()); !errkind.Is(err, errkind.DeadlineExceeded) {
				t.Fatalf("the submission returned %v, want that its outcome is unknown", err)
			}
			publish(t, log.Fake, c.after)
			if err := second.Cancel(t.Context(), second.accessOf(2, c.key), testID); !errkind.Is(err, errkind.NotFound) {
				t.Fatalf("the cancellation returned %v, want that there is no such job", err)
			}
			log.late()
			for _, v := range []*vm{first, second, newVM(t, log)} {
				eventually(t, "the VM has read the submission", func() bool {
					_ = v.refresh(t.Context(), 0, v.follower.Streams()...)
					_, known := v.view.Get(testID)
					return known
				})
				if e, _ := v.view.Get(testID); e.Cancelled == c.stranger {
					t.Errorf("after the late submission the job is cancelled: %v, want %v", e.Cancelled, !c.stranger)
				}
			}
		})
	}
}

// kindOf returns the kind of the error; empty for none.
func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.As(err).Kind
}
