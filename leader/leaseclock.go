package leader

import "time"

// clockDrift is how much slower than ours a worker's clock may be, as a share.
const clockDrift = 0.02

// leaseClock bounds how long what was started on a worker can run. Times are on the boot clock, but for untilMS and
// clockMS, which are on the worker's.
type leaseClock struct {
	lease time.Duration
	// known reports that the worker has told its clock: clockMS at clockAt.
	known   bool
	clockMS int64
	clockAt time.Duration
	// end is when the longest lease that was sent has ended at the latest.
	end time.Duration
	// untilMS is the longest lease that was sent.
	untilMS int64
	// silent reports that the last call had no answer. An unanswered renewal may still have arrived, so that repeating
	// it with a later time would put off the end for as long as the worker is silent.
	silent bool
	// contacted reports that the worker has answered, and thereby refuses renewals of earlier holders.
	contacted bool
}

// slowest returns the longest time that the worker's clock may need for d.
func slowest(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - clockDrift)) }

// renew returns the time until which a lease sent now lasts; 0 while the worker's clock is not known.
func (l *leaseClock) renew(now time.Duration) int64 {
	if !l.known || l.silent {
		return l.untilMS
	}
	length := now - l.clockAt + l.lease
	l.end = max(l.end, l.clockAt+slowest(length))
	l.untilMS = max(l.untilMS, l.clockMS+length.Milliseconds())
	return l.untilMS
}

// answered takes in the worker's clock.
func (l *leaseClock) answered(now time.Duration, clockMS int64) {
	if !l.contacted {
		l.contacted = true
		l.end = now + slowest(l.lease)
	}
	if clockMS < l.clockMS {
		// Another incarnation, whose clock began anew.
		l.untilMS = 0
	}
	l.known = true
	l.clockMS = clockMS
	l.clockAt = now
	l.silent = false
}

// failed notes a call without an answer.
func (l *leaseClock) failed() { l.silent = true }

// over reports whether every lease has ended.
func (l *leaseClock) over(now time.Duration) bool { return now > l.end }
