package leader

import "time"

// RenewalWithoutStore is how long leases are renewed after the store last confirmed that this VM holds the schedule. Runs
// survive an outage of the store of up to this time plus the lease. The next holder waits that long before it reports workers
// that it cannot reach as gone.
const RenewalWithoutStore = 4 * time.Second

// mayRenew reports whether a request may extend leases, as of now on the boot clock. A holder that the store has not
// confirmed for RenewalWithoutStore may have a successor, which waits until the leases of workers that it cannot reach have
// expired. The caller must compute the extension from the same now: the process may be paused before it sends the request.
func (l *Leader) mayRenew(now time.Duration) bool {
	return now-l.ConfirmedAt() < RenewalWithoutStore
}

// mayDecide reports whether this VM is certain to hold the schedule, as of now on the boot clock. A holder that may have been
// replaced plans nothing and stops no run: its successor may need that run, and starts could not be stored.
func (l *Leader) mayDecide(now time.Duration) bool {
	return now-l.ConfirmedAt() < l.MembershipTTL
}
