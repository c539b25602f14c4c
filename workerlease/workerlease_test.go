package workerlease

import (
	"testing"
	"time"
)

const testLease = 6 * time.Second

// TestSilentWorkerIsGivenUp guards against renewals to a worker that does not respond: each attempt postponed the expiry of
// its lease, so its tasks were never started elsewhere. It also guards against a lease that counts as expired while the
// worker may still hold it.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	l := New(testLease, testLease, 16*time.Second)
	l.RecordResponse(time.Second, 1, 500)
	now := 2 * time.Second
	for l.Renew(now, 1); !l.Expired(now); now += 500 * time.Millisecond {
		l.RecordNoResponse()
		l.Renew(now, 1)
		if now > 10*time.Second {
			t.Fatalf("the lease of a worker that last responded at 1s has not expired at %v", now)
		}
	}
	if now < 8*time.Second {
		t.Fatalf("the lease counts as expired at %v, although the last renewal may last until 8s", now)
	}
}

// TestRenewalFollowsTheWorkersClock guards against leases that expire too early on the worker or too late at the holder of
// the schedule, because the worker's clock has another origin and rate.
func TestRenewalFollowsTheWorkersClock(t *testing.T) {
	l := New(testLease, testLease, 0)
	if until := l.Renew(time.Second, 1); until != 0 {
		t.Fatalf("got a lease until %d before the worker's clock was known, want 0", until)
	}
	l.RecordResponse(10*time.Second, 1, 1000)
	if until := l.Renew(12*time.Second, 1); until != 1000+2000+6000 {
		t.Fatalf("the lease expires at %d, want 9000", until)
	}
	// The worker's clock may take 2% longer for the 8 s.
	if l.Expired(18 * time.Second) {
		t.Fatal("the lease counts as expired before a slow clock has reached its expiry")
	}
	l.RecordResponse(20*time.Second, 2, 50)
	if until := l.Renew(20*time.Second, 2); until != 50+6000 {
		t.Fatalf("the lease of a new incarnation expires at %d, want 6050", until)
	}
}

// TestEarlierHoldersLeaseCounts guards against a takeover that starts a task elsewhere while it still runs on a worker that
// only the earlier holder can reach.
func TestEarlierHoldersLeaseCounts(t *testing.T) {
	l := New(testLease, testLease, 16*time.Second)
	l.RecordNoResponse()
	if l.Expired(15 * time.Second) {
		t.Fatal("the lease of a worker that never responded counts as expired within the earlier holder's lease")
	}
	if !l.Expired(17 * time.Second) {
		t.Fatal("the lease of a worker that never responded has not expired after the earlier holder's lease")
	}
}
