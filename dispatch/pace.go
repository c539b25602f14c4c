package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workerspeed"
	"github.com/redwingthread/redwingthread/workload"
)

// A relative pace is the rate of a run in multiples of the rate that follows from the estimate. On a worker of speed 1 it depends on
// the error of the estimate and on the length of the task. The constants are standard deviations of its logarithm.
const (
	// taskSpread covers the lengths of the tasks of a step.
	taskSpread = 0.4
	// jobSpread covers the error of an estimate that all tasks of a step share: estimates may be off by half.
	jobSpread = 0.4
	// queueSpread covers the error that is common to the estimates of a queue, before any run was measured.
	queueSpread = 0.7
	// minEndSpan is the least time from the last listing of a run to its end from which its pace is derived.
	minEndSpan = 300 * time.Millisecond
	// minTypicalRuns is the number of measured runs of a queue after which the speeds of workers are learned from its runs.
	minTypicalRuns = 10
)

const (
	// speedBand is the width of the classes of speeds, as a logarithm, that placement tells apart.
	speedBand = 0.2
	// maxSpeedBand bounds the classes: a factor of 2.2 either way.
	maxSpeedBand = 4
	// bandDeviations is the part of the uncertainty, in standard deviations, that the class of a speed leaves out as chance. More would
	// make placement use speeds later.
	bandDeviations = 0.5
	// notableSpeed is the factor by which a worker's speed must differ from 1, with certainty, to be reported. It must come closer to 1
	// than usualSpeed to be reported as usual.
	notableSpeed = 1.25
	usualSpeed   = 1.15
	// notableDeviations is the distance from notableSpeed, in standard deviations, that counts as certain.
	notableDeviations = 2
	// speedRetention is how long the speed of a worker that is no longer known is kept: workers return under their ids.
	speedRetention = 10 * time.Minute
)

// typicalPace is the typical relative pace of the runs of a queue, as the logarithm on a worker of speed 1.
type typicalPace struct {
	runs  int
	level workerspeed.Level
}

// hardware is what a worker's speed is bound to. goneAt is when the worker was last known; the constant never while it is known.
type hardware struct {
	service  string
	labels   []string
	capacity resource.Resources
	goneAt   time.Duration
}

func hardwareOf(info *workload.WorkerInfo) hardware {
	labels := slices.Clone(info.Labels)
	slices.Sort(labels)
	return hardware{service: info.Service, labels: labels, capacity: info.Capacity, goneAt: never}
}

func (h hardware) equal(o hardware) bool {
	return h.service == o.service && h.capacity == o.capacity && slices.Equal(h.labels, o.labels)
}

// noteHardware discards the speed of a worker whose hardware differs from that from which it was learned.
func (c *Core) noteHardware(w *worker) {
	now := hardwareOf(&w.info)
	if known, ok := c.hardware[w.id]; ok && (!known.equal(now) || c.outlived(known)) {
		c.speeds.Forget(w.id)
		w.notable = 0
	}
	c.hardware[w.id] = now
	c.updateSpeed(w)
}

// noteGone records that the worker is no longer known, and discards the speeds of those that have been gone for long.
func (c *Core) noteGone(w *worker) {
	if h, ok := c.hardware[w.id]; ok {
		h.goneAt = c.now
		c.hardware[w.id] = h
	}
	for id, h := range c.hardware {
		if c.outlived(h) {
			delete(c.hardware, id)
			c.speeds.Forget(id)
		}
	}
}

// outlived reports whether the hardware has been gone for so long that its speed is not kept.
func (c *Core) outlived(h hardware) bool { return h.goneAt >= 0 && c.now-h.goneAt > speedRetention }

// updateSpeed copies the worker's learned speed into its record. The class of its speed leaves out what may be chance, so that workers
// of equal speed stay in one class.
func (c *Core) updateSpeed(w *worker) {
	speed, uncertainty := c.speeds.Speed(w.id)
	w.speed, w.logSpeed, w.speedUncertainty = speed, math.Log(speed), uncertainty
	certain := math.Copysign(max(0, math.Abs(w.logSpeed)-bandDeviations*uncertainty), w.logSpeed)
	w.band = int(min(max(math.Round(certain/speedBand), -maxSpeedBand), maxSpeedBand))
}

// bandFactor returns the speed that placement assumes for the class.
func bandFactor(band int) float64 { return math.Exp(float64(band) * speedBand) }

// queuePace returns the logarithm of the typical relative pace of the step's queue on a worker of speed 1, and its uncertainty.
func (c *Core) queuePace(s *step) (mean, uncertainty float64) {
	t := c.typicalPaces[s.job.spec.Queue]
	if t == nil {
		return 0, queueSpread
	}
	return t.level.Mean(queuePrior)
}

var queuePrior = workerspeed.Prior{Spread: queueSpread}

// pacePrior returns what is assumed of the relative pace of the step's runs before any of them was measured.
func (c *Core) pacePrior(s *step) workerspeed.Prior {
	mean, uncertainty := c.queuePace(s)
	return workerspeed.Prior{Mean: mean, Spread: math.Hypot(jobSpread, uncertainty)}
}

// stepPace returns the logarithm of the relative pace of the step's runs on a worker of speed 1, from its measured runs first and from
// those of its queue second, and its uncertainty.
func (c *Core) stepPace(s *step) (mean, uncertainty float64) { return s.pace.Mean(c.pacePrior(s)) }

// expectedDuration estimates the run time of a task of the step on a worker of the given speed.
func (c *Core) expectedDuration(s *step, speed float64) time.Duration {
	mean, _ := c.stepPace(s)
	return seconds(s.spec.Estimate.Seconds() / (math.Exp(mean) * speed))
}

// relativePace returns the logarithm of the relative pace of a run of the step with the rate in percent per second.
func (s *step) relativePace(rate float64) float64 {
	return math.Log(rate / 100 * s.spec.Estimate.Seconds())
}

// paceDeviation returns the standard deviation of the relative paces that runs of the step may have on the worker.
func (c *Core) paceDeviation(s *step, w *worker) float64 {
	_, uncertainty := c.stepPace(s)
	return math.Hypot(math.Hypot(taskSpread, uncertainty), w.speedUncertainty)
}

// learnFromEnd learns from a run that was done before its rate was measured. Leaving these runs out would make fast workers look slower
// than they are, since their runs are measured only if the task is long. clock is the worker's clock at which the run was done at the
// latest; exact is true if it was done just then.
func (c *Core) learnFromEnd(p *placement, clock time.Duration, exact bool) {
	s := p.unit.step
	if p.rate > 0 || p.learned || c.cold(p.worker) || s.spec.Filler || s.spec.LongRunning || !s.comparable(p) {
		return
	}
	p.learned = true
	progress, took := float64(100-p.window.percent), clock-p.window.at
	if !p.window.open {
		if p.partial {
			return
		}
		// The run began after its start was decided.
		progress, took, exact = 100, c.now-p.unit.startedAt, false
	}
	if took < minEndSpan || progress < minRateProgress {
		return
	}
	pace := s.relativePace(progress / took.Seconds())
	if !exact {
		mean, _ := c.stepPace(s)
		pace = meanAbove(mean+p.worker.logSpeed, c.paceDeviation(s, p.worker), pace)
	}
	p.worker.evidence.first = append(p.worker.evidence.first, firstPace{p, pace})
}

// meanAbove returns the mean of the values above bound of a normal distribution.
func meanAbove(mean, deviation, bound float64) float64 {
	z := (bound - mean) / deviation
	if z > 4 {
		return bound
	}
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean + deviation*density/(math.Erfc(z/math.Sqrt2)/2)
}

// learn takes the first measured rate of a run, as the logarithm of its relative pace, into the speed of its worker and the typical
// paces of its step and queue. A worker that was slow just now is left out: its speed would be taken for its usual one. Without an entry
// of the worker, its hardware is not known, to which a speed is bound.
func (c *Core) learn(p *placement, pace float64) {
	s, w := p.unit.step, p.worker
	if w.slowRecently(c.now) {
		return
	}
	t := c.typicalPaces[s.job.spec.Queue]
	if t == nil {
		t = &typicalPace{}
		c.typicalPaces[s.job.spec.Queue] = t
	}
	expected, uncertainty := c.stepPace(s)
	if t.runs >= minTypicalRuns && w.registered {
		// A common factor of all speeds cannot be told from one of all paces. The mean of the speeds is kept near 1.
		common := c.useOf(w.info.Service).meanLogSpeed()
		c.speeds.Observe(w.id, math.Exp(pace-expected-common), math.Hypot(taskSpread, uncertainty))
		c.updateSpeed(w)
		c.reportSpeed(w)
	}
	noise := math.Hypot(taskSpread, w.speedUncertainty)
	s.pace.Observe(pace-w.logSpeed, noise, c.pacePrior(s))
	t.runs++
	t.level.Observe(pace-w.logSpeed, math.Hypot(noise, jobSpread), queuePrior)
}

// reportSpeed reports that a worker's learned speed is certain to differ from the usual one, or no longer does.
func (c *Core) reportSpeed(w *worker) {
	notable := w.notable
	switch distance := math.Abs(w.logSpeed); {
	case distance-notableDeviations*w.speedUncertainty > math.Log(notableSpeed):
		notable = 1
		if w.logSpeed < 0 {
			notable = -1
		}
	case distance < math.Log(usualSpeed):
		notable = 0
	}
	if notable == w.notable {
		return
	}
	w.notable = notable
	name := map[int]string{-1: "speed below usual", 0: "usual speed", 1: "speed above usual"}[notable]
	c.event(Event{Name: EventWorkerSpeed, Worker: w.id, Detail: fmt.Sprintf("%s: %.2f, uncertainty %.2f", name, w.speed, w.speedUncertainty)})
}
