// Package workerspeed learns the long-term speed of workers from the paces of their runs.
//
// All values are logarithms of ratios, since errors of estimates and differences between workers are factors. A Level is a robust,
// precision-weighted mean with a prior; an Estimator keeps one for each worker. The package does no I/O, reads no clock and starts no
// goroutines; its types are not safe for concurrent use.
package workerspeed

import "math"

const (
	// clipDeviations bounds the residual of one observation, in standard deviations of what was expected. About 3 in 100 tasks take 7
	// times as long as others: each moves a mean no further than a task that is somewhat longer than usual.
	clipDeviations = 1.5
	// memory is the number of observations after which the weight of an earlier one has fallen to 1/e, so that a lasting change
	// of the hardware under an unchanged id is learned.
	memory = 100
)

// Prior is what is assumed without observations: a mean and its standard deviation, both of the logarithm.
type Prior struct{ Mean, Spread float64 }

// UnknownWorker is the prior of a worker without observations: speed 1, with two thirds of all workers between 0.67 and 1.5.
var UnknownWorker = Prior{Mean: 0, Spread: 0.4}

// Level is a running mean of logarithms. The zero value has no observations.
type Level struct {
	// precision is the sum of the weights of the observations, the inverses of their variances. weighted is the sum of the observations
	// times their weights.
	precision, weighted float64
}

// Mean returns the mean of the prior and the observations, and its standard deviation.
func (l *Level) Mean(prior Prior) (mean, uncertainty float64) {
	weight := 1 / (prior.Spread * prior.Spread)
	total := weight + l.precision
	return (weight*prior.Mean + l.weighted) / total, 1 / math.Sqrt(total)
}

// Observe adds a value whose standard deviation is noise. A value far from the present mean counts as one at the limit of clipDeviations.
func (l *Level) Observe(value, noise float64, prior Prior) {
	mean, uncertainty := l.Mean(prior)
	limit := clipDeviations * math.Hypot(noise, uncertainty)
	value = min(max(value, mean-limit), mean+limit)
	weight := 1 / (noise * noise)
	const keep = 1 - 1.0/memory
	l.precision = keep*l.precision + weight
	l.weighted = keep*l.weighted + weight*value
}

// Estimator holds the learned speeds of workers by id.
type Estimator struct{ levels map[string]*Level }

// New returns an estimator that knows no worker.
func New() *Estimator { return &Estimator{levels: map[string]*Level{}} }

// Observe adds a measured rate, divided by the rate that was expected on a worker of speed 1. noise is the standard deviation of the
// ratio's logarithm that follows from the lengths of tasks and the error of the expected rate. A ratio or noise that is not a positive
// finite number is ignored.
func (e *Estimator) Observe(worker string, ratio, noise float64) {
	value := math.Log(ratio)
	if math.IsNaN(value) || math.IsInf(value, 0) || !(noise > 0) || math.IsInf(noise, 0) {
		return
	}
	l := e.levels[worker]
	if l == nil {
		l = &Level{}
		e.levels[worker] = l
	}
	l.Observe(value, noise, UnknownWorker)
}

// Speed returns the worker's speed as a factor, and the standard deviation of its logarithm. Those of an unknown worker follow from
// UnknownWorker.
func (e *Estimator) Speed(worker string) (speed, uncertainty float64) {
	l := e.levels[worker]
	if l == nil {
		l = &Level{}
	}
	mean, uncertainty := l.Mean(UnknownWorker)
	return math.Exp(mean), uncertainty
}

// Forget discards what was learned of the worker.
func (e *Estimator) Forget(worker string) { delete(e.levels, worker) }
