package leader

import (
	"testing"
	"time"
)

const testLease = 6 * time.Second

// TestSilentWorkerIsGivenUp guards against renewals to a worker that does not respond: each attempt postponed the expiry of
// its lease, so its tasks were never started elsewhere. It also guards against a lease that counts as expired while the
// worker may still hold it.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	l := leaseClock{lease: testLease, expiresAt: 16 * time.Second}
	l.recordResponse(time.Second, 500)
	now := 2 * time.Second
	for l.renew(now); !l.allExpired(now); now += 500 * time.Millisecond {
		l.recordNoResponse()
		l.renew(now)
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
	l := leaseClock{lease: testLease}
	if until := l.renew(time.Second); until != 0 {
		t.Fatalf("got a lease until %d before the worker's clock was known, want 0", until)
	}
	l.recordResponse(10*time.Second, 1000)
	if until := l.renew(12 * time.Second); until != 1000+2000+6000 {
		t.Fatalf("the lease expires at %d, want 9000", until)
	}
	// The worker's clock may take 2% longer for the 8 s.
	if l.allExpired(18 * time.Second) {
		t.Fatal("the lease counts as expired before a slow clock has reached its expiry")
	}
	l.recordResponse(20*time.Second, 50)
	if until := l.renew(20 * time.Second); until != 50+6000 {
		t.Fatalf("the lease of a new incarnation expires at %d, want 6050", until)
	}
}

// TestEarlierHoldersLeaseCounts guards against a takeover that starts a task elsewhere while it still runs on a worker that
// only the earlier holder can reach.
func TestEarlierHoldersLeaseCounts(t *testing.T) {
	l := leaseClock{lease: testLease, expiresAt: 16 * time.Second}
	l.recordNoResponse()
	if l.allExpired(15 * time.Second) {
		t.Fatal("the lease of a worker that never responded counts as expired within the earlier holder's lease")
	}
	if !l.allExpired(17 * time.Second) {
		t.Fatal("the lease of a worker that never responded has not expired after the earlier holder's lease")
	}
}

// TestRunsSurviveACutFailureDomain guards against the loss of all work in a failure domain that is cut off from the holder of
// the schedule and whose workers run on: the lease must outlast the cut even if it begins just before a renewal.
func TestRunsSurviveACutFailureDomain(t *testing.T) {
	// longestCut is the longest cut of a failure domain on the standard days of the users' deployments.
	const longestCut = 6600 * time.Millisecond
	const renewalInterval = watchWait + watchMargin
	l := New(Options{MaxLease: 10 * time.Second}, nil)
	clock := leaseClock{lease: l.lease}
	now := time.Hour
	clock.recordResponse(now, 1000)
	granted := time.Duration(clock.renew(now)-1000) * time.Millisecond
	if survives := granted - renewalInterval; survives < longestCut {
		t.Errorf("runs survive a cut of %s, want %s", survives, longestCut)
	}
	if clock.expiresAt < now+granted {
		t.Error("runs are given up before their lease has ended")
	}
}
