package leader

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workerlease"
)

// TestRunsSurviveACutFailureDomain guards against the loss of all work in a failure domain that is cut off from the holder of
// the schedule and whose workers run on: the lease must outlast the cut even if it begins just before a renewal.
func TestRunsSurviveACutFailureDomain(t *testing.T) {
	// longestCut is the longest cut of a failure domain on the standard days of the users' deployments.
	const longestCut = 6600 * time.Millisecond
	const renewalInterval = watchWait + watchMargin
	l := New(Options{MaxLease: 10 * time.Second}, nil)
	lease := workerlease.New(l.lease, l.MaxLease, 0)
	now := time.Hour
	lease.RecordResponse(now, 1, 1000)
	granted := time.Duration(lease.Renew(now, 1)-1000) * time.Millisecond
	if survives := granted - renewalInterval; survives < longestCut {
		t.Errorf("runs survive a cut of %s, want %s", survives, longestCut)
	}
	if lease.ExpiresAt() < now+granted {
		t.Error("runs are given up before their lease has ended")
	}
}

// TestTakeoverOutwaitsTheLongestLease guards against a worker that the new holder cannot reach and that outlives the leases which it
// counts for the earlier one: a holder of a former version may have granted the longest lease that workers accept. Such a holder renews
// until RenewalWithoutStore after its last confirmation, and its successor starts no earlier than the membership's end.
func TestTakeoverOutwaitsTheLongestLease(t *testing.T) {
	l := New(Options{MaxLease: 10 * time.Second}, nil)
	successorWaits := testTTL + l.earlierLeaseBound()
	if held := RenewalWithoutStore + workerlease.MaxElapsed(l.MaxLease); successorWaits < held {
		t.Errorf("a lease of the earlier holder lasts up to %s, its successor waits %s", held, successorWaits)
	}
}
