// Package workerlease keeps account of the leases that the holder of the schedule grants to a worker, and so of the time after which
// nothing that it has started there can still run.
//
// A lease belongs to one process of the worker: its expiry is a time on the clock of that process, which means nothing to the next one
// under the same id and address. A process shortens an expiry that is too far ahead to the longest lease that it accepts.
package workerlease

import "time"

// maxClockDrift is the fraction by which a worker's clock may run slower than the boot clock.
const maxClockDrift = 0.02

// Lease is the account of one worker. Times are on the boot clock; expiries are milliseconds on the clock of the worker's process.
type Lease struct {
	// length is the length of a lease, longest that of the longest lease that workers accept.
	length, longest time.Duration
	// incarnation is the start time of the worker's process, as of its last response; known is false before the first response.
	incarnation int64
	known       bool
	// The process has reported its clock: clockMS at clockAt.
	clockMS int64
	clockAt time.Duration
	// expiresAt is the latest time at which a lease of the worker expires.
	expiresAt time.Duration
	// untilMS is the expiry of the longest lease granted to the process; 0 if none was.
	untilMS int64
	// silent is true if the last request had no response. The renewal may still have arrived, so a retry with a later expiry would
	// postpone expiresAt for as long as the worker does not respond.
	silent bool
}

// New returns the account of a worker whose earlier leases, if any, expire at expiresAt at the latest. It grants leases of the given
// length; longest is the longest lease that workers accept.
func New(length, longest, expiresAt time.Duration) Lease {
	return Lease{length: length, longest: longest, expiresAt: expiresAt}
}

// MaxElapsed returns the longest time in which a worker's clock may advance by d.
func MaxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// minElapsed returns the time by which a worker's clock has advanced at least after d.
func minElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// Renew extends the lease of the worker's process and returns its expiry for a request that only that process can execute. The lease ends
// at now plus MaxElapsed(length) at the latest, however old the known reading of the process's clock is. Renew returns 0 if the last
// response is that of another process, or if there was none. After a request without response it extends nothing.
func (l *Lease) Renew(now time.Duration, incarnation int64) (untilMS int64) {
	if !l.known || l.incarnation != incarnation || l.silent {
		return l.Granted(incarnation)
	}
	l.expiresAt = max(l.expiresAt, now+MaxElapsed(l.length))
	l.untilMS = max(l.untilMS, l.clockMS+(minElapsed(now-l.clockAt)+l.length).Milliseconds())
	return l.untilMS
}

// Granted returns the expiry of the longest lease that was granted to the process; 0 if none was.
func (l *Lease) Granted(incarnation int64) (untilMS int64) {
	if !l.known || l.incarnation != incarnation {
		return 0
	}
	return l.untilMS
}

// RecordResponse records a response of the process with the given start time, which reports its clock. Whatever the process was granted
// before its first response, by this holder or an earlier one, expires within the longest lease.
func (l *Lease) RecordResponse(now time.Duration, incarnation, clockMS int64) {
	if !l.known || l.incarnation != incarnation {
		l.known, l.incarnation, l.untilMS = true, incarnation, 0
		l.expiresAt = now + MaxElapsed(l.longest)
	}
	l.clockMS, l.clockAt = clockMS, now
	l.silent = false
}

// RecordNoResponse records a request without response.
func (l *Lease) RecordNoResponse() { l.silent = true }

// Silent reports whether the last request had no response.
func (l *Lease) Silent() bool { return l.silent }

// ExpiresAt returns the latest time at which a lease of the worker expires.
func (l *Lease) ExpiresAt() time.Duration { return l.expiresAt }

// Expired reports whether every lease of the worker has expired.
func (l *Lease) Expired(now time.Duration) bool { return now > l.expiresAt }

// Clock returns the clock that the worker's process reported last, in milliseconds, and how long ago that was.
func (l *Lease) Clock(now time.Duration) (clockMS int64, age time.Duration) {
	return l.clockMS, now - l.clockAt
}
