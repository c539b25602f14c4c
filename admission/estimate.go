package admission

import "time"

// rateWindow is the length of a window of a rate estimate. An estimate covers the last one to two windows.
const rateWindow = 500 * time.Millisecond

// rate estimates events per second over the previous and the current window.
type rate struct {
	start    time.Time
	current  int
	previous int
}

// advance moves the windows forward to now.
func (r *rate) advance(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case elapsed < rateWindow:
		return
	case elapsed < 2*rateWindow:
		r.previous = r.current
		r.start = r.start.Add(rateWindow)
	default:
		r.previous = 0
		r.start = now
	}
	r.current = 0
}

// add counts one event.
func (r *rate) add(now time.Time) {
	r.advance(now)
	r.current++
}

// perSecond returns the estimate, 0 if there were no events in the previous window.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	if r.previous == 0 {
		return 0
	}
	covered := rateWindow + now.Sub(r.start)
	return float64(r.previous+r.current) / covered.Seconds()
}

// averageWeight is the weight of a new sample in an average.
const averageWeight = 0.05

// average is an exponentially weighted moving average of service times with a lower envelope, low.
type average struct {
	value time.Duration
	low   time.Duration
	// set is true once there is a sample.
	set bool
}

// add adds a sample.
func (a *average) add(sample time.Duration) {
	if !a.set {
		a.value, a.low, a.set = sample, sample, true
		return
	}
	a.value += time.Duration(averageWeight * float64(sample-a.value))
	if sample < a.low {
		a.low = sample
		return
	}
	// The envelope rises slowly, so that a single short service time does not keep the estimate low permanently.
	a.low += time.Duration(averageWeight / 10 * float64(sample-a.low))
}

// mean returns the average, 0 if there are no samples.
func (a *average) mean() time.Duration { return a.value }

// minimum returns a service time that nearly all requests take at least, 0 if there are no samples.
func (a *average) minimum() time.Duration { return a.low }
