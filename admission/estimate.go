package admission

import "time"

// rateWindow is the length of one window of a rate estimate. The estimate covers the last one to two windows.
const rateWindow = 500 * time.Millisecond

// rate estimates events per second over two adjoining windows.
type rate struct {
	start    time.Time
	current  int
	previous int
}

// roll moves the windows up to now.
func (r *rate) roll(now time.Time) {
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
	r.roll(now)
	r.current++
}

// perSecond returns the estimate, 0 if there is too little to tell.
func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	if r.previous == 0 {
		return 0
	}
	covered := rateWindow + now.Sub(r.start)
	return float64(r.previous+r.current) / covered.Seconds()
}

// averageWeight is the share of a new sample in an average.
const averageWeight = 0.05

// average is an exponentially weighted mean of service times with a lower envelope.
type average struct {
	value time.Duration
	low   time.Duration
	set   bool
}

// add takes in a sample.
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
	// The envelope rises slowly, so that one short service time does not hold for good.
	a.low += time.Duration(averageWeight / 10 * float64(sample-a.low))
}

// mean returns the average, 0 without a sample.
func (a *average) mean() time.Duration { return a.value }

// minimum returns a service time that nearly all requests need at least, 0 without a sample.
func (a *average) minimum() time.Duration { return a.low }
