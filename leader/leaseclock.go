package leader

import "time"

// maxClockDrift is the fraction by which a worker's clock may run slower than the boot clock.
const maxClockDrift = 0.02

// leaseClock computes when the lease of a worker, and with it every run started there, has expired. Times are on the boot
// clock, except untilMS and clockMS, which are milliseconds of the worker's clock.
type leaseClock struct {
	// lease is the length of a lease.
	lease time.Duration
	// clockKnown is true once the worker has reported its clock: clockMS at clockAt.
	clockKnown bool
	clockMS    int64
	clockAt    time.Duration
	// expiresAt is the latest time at which the longest lease sent expires.
	expiresAt time.Duration
	// untilMS is the expiry of the longest lease sent to the current incarnation; 0 if none was sent.
	untilMS int64
	// noResponse is true if the last request had no response. The renewal may still have arrived, so a retry with a later
	// expiry would postpone expiresAt for as long as the worker does not respond.
	noResponse bool
	// contacted is true once the worker has responded; from then on it rejects renewals of earlier holders.
	contacted bool
}

// maxElapsed returns the longest time in which a worker's clock may advance by d.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// renew returns the expiry of a lease sent now, in milliseconds of the worker's clock; 0 while that clock is unknown. After a
// request without response it returns the expiry of the longest lease again.
func (l *leaseClock) renew(now time.Duration) int64 {
	if !l.clockKnown || l.noResponse {
		return l.untilMS
	}
	length := now - l.clockAt + l.lease
	l.expiresAt = max(l.expiresAt, l.clockAt+maxElapsed(length))
	l.untilMS = max(l.untilMS, l.clockMS+length.Milliseconds())
	return l.untilMS
}

// recordResponse records a response that reports the worker's clock.
func (l *leaseClock) recordResponse(now time.Duration, clockMS int64) {
	if !l.contacted {
		l.contacted = true
		l.expiresAt = now + maxElapsed(l.lease)
	}
	if clockMS < l.clockMS {
		// This is the clock of another incarnation, which has another origin.
		l.untilMS = 0
	}
	l.clockKnown = true
	l.clockMS = clockMS
	l.clockAt = now
	l.noResponse = false
}

// recordNoResponse records a request without response.
func (l *leaseClock) recordNoResponse() { l.noResponse = true }

// allExpired reports whether every lease sent has expired.
func (l *leaseClock) allExpired(now time.Duration) bool { return now > l.expiresAt }
