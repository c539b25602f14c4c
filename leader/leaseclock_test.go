package leader

import (
	"testing"
	"time"
)

const testLease = 6 * time.Second

// TestSilentWorkerIsGivenUp guards against renewals to a worker that has gone: each attempt put off the end of its lease,
// so that its tasks were never started elsewhere.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	l := leaseClock{lease: testLease, end: 16 * time.Second}
	l.answered(time.Second, 500)
	now := 2 * time.Second
	for l.renew(now); !l.over(now); now += 500 * time.Millisecond {
		l.failed()
		l.renew(now)
		if now > 10*time.Second {
			t.Fatalf("the lease of a worker that was last heard at 1s has not ended at %v", now)
		}
	}
	if now < 8*time.Second {
		t.Fatalf("the worker was given up at %v, although its last renewal may last until 8s", now)
	}
}

// TestRenewalFollowsTheWorkersClock guards against leases that end early on the worker or late in our view.
func TestRenewalFollowsTheWorkersClock(t *testing.T) {
	l := leaseClock{lease: testLease}
	if until := l.renew(time.Second); until != 0 {
		t.Fatalf("a lease until %d was sent before the worker's clock was known", until)
	}
	l.answered(10*time.Second, 1000)
	if until := l.renew(12 * time.Second); until != 1000+2000+6000 {
		t.Fatalf("the lease lasts until %d, want 9000", until)
	}
	// The worker's clock may take 2% longer for the 8 s.
	if l.over(18 * time.Second) {
		t.Fatal("the lease counts as ended before a slow clock has reached it")
	}
	l.answered(20*time.Second, 50)
	if until := l.renew(20 * time.Second); until != 50+6000 {
		t.Fatalf("the lease of a new incarnation lasts until %d, want 6050", until)
	}
}

// TestEarlierHoldersLeaseCounts guards against a takeover that starts a task elsewhere while a worker that only the earlier
// holder can reach runs it.
func TestEarlierHoldersLeaseCounts(t *testing.T) {
	l := leaseClock{lease: testLease, end: 16 * time.Second}
	l.failed()
	if l.over(15 * time.Second) {
		t.Fatal("a worker that never answered was given up within the earlier holder's lease")
	}
	if !l.over(17 * time.Second) {
		t.Fatal("a worker that never answered was not given up after the earlier holder's lease")
	}
}
