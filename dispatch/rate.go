package dispatch

import (
	"slices"
	"time"
)

const (
	// rateSpan is the least time over which a run's rate is measured, ratePoints the least progress that is expected in it,
	// in percent.
	rateSpan   = time.Second
	ratePoints = 6
	// slowRatio of its expected rate makes a run slow. Tasks of one step differ by less.
	slowRatio = 0.45
	// slowTime is how long a worker gets no work after a slow run was last seen there. Until trialTime after it only single
	// tasks that are not urgent try the worker again: a slow member would hold back a gang.
	slowTime  = 2 * time.Second
	trialTime = 4 * time.Second
	// maxSlowShare bounds the workers that may be left out as slow, as a share of all.
	maxSlowShare = 0.4
	// siblingRates is the least number of other tasks of a step that tell the rate to expect of one.
	siblingRates = 3
	// typicalStep is how far one run moves the usual rate of its queue.
	typicalStep = 1.05
	// typicalRuns is the number of runs from which a usual rate is known.
	typicalRuns = 10
)

// rateWindow is the beginning of a measurement. Times are those of the worker's clock, since lists may be late.
type rateWindow struct {
	open    bool
	at      time.Duration
	percent int
}

// typicalRate follows the medians over the runs of a queue: of the rate in percent a second, and of the rate relative to
// the estimate. Estimates may be wrong and tasks may be long; a run that is slow by both measures is held back.
type typicalRate struct {
	runs            int
	rate, estimated float64
}

func (t *typicalRate) learn(rate, estimated float64) {
	if t.runs == 0 {
		t.rate, t.estimated = rate, estimated
	}
	t.runs++
	t.rate = towards(t.rate, rate)
	t.estimated = towards(t.estimated, estimated)
}

func towards(typical, value float64) float64 {
	if value > typical {
		return typical * typicalStep
	}
	return typical / typicalStep
}

// slow reports whether the worker is left out because it runs tasks slowly.
func (c *Core) slow(w *worker) bool { return w.slowUntil > c.now && !c.manySlow }

// triedBy reports whether the step may run on a worker that was slow a while ago and has run nothing at its usual rate
// since.
func (c *Core) triedBy(w *worker, s *step) bool {
	return w.trialUntil <= c.now || c.manySlow || !s.spec.Gang && s.job.queue.Priority > 0
}

// measureRate takes in the listed progress of a run, and judges its worker once enough time has passed.
func (c *Core) measureRate(p *placement) {
	if !p.measurable() {
		p.window = rateWindow{}
		return
	}
	from := p.window
	if !from.open {
		p.window = rateWindow{open: true, at: p.worker.clock, percent: p.percent}
		return
	}
	span := (p.worker.clock - from.at).Seconds()
	if span < rateSpan.Seconds() {
		return
	}
	if !p.unit.step.comparable(p) {
		p.window = rateWindow{}
		return
	}
	rate := float64(p.percent-from.percent) / span
	expected, known := c.expectedRate(p)
	if known && expected*span < ratePoints {
		return
	}
	p.window = rateWindow{open: true, at: p.worker.clock, percent: p.percent}
	switch {
	case !known:
		c.learnRate(p, rate)
	case rate < slowRatio*expected:
		p.slowRate, p.usualRate = rate, expected
		c.slowRun(p)
	default:
		c.normalRate(p, rate)
	}
}

// measurable reports whether the run's progress says something of its worker. The members of a gang progress
// independently, and wait for the slowest at the end.
func (p *placement) measurable() bool {
	if !p.live() {
		return false
	}
	s := p.unit.step.spec
	return !s.Filler && !s.LongRunning && p.percent > 0 && p.percent < 100
}

// expectedRate returns the rate that the run should have, false if nothing tells.
func (c *Core) expectedRate(p *placement) (rate float64, known bool) {
	s := p.unit.step
	if rates := c.siblingRates(s); len(rates) >= siblingRates {
		return max(p.rate, rates[len(rates)/2]), true
	}
	if p.rate > 0 {
		return p.rate, true
	}
	t := c.typical[s.job.queue.Name]
	if t == nil || t.runs < typicalRuns {
		return 0, false
	}
	return min(t.rate, t.estimated*100/s.spec.Estimate.Seconds()), true
}

// siblingRates returns the normal rates of the tasks of the step that run, in order.
func (c *Core) siblingRates(s *step) []float64 {
	var rates []float64
	for _, u := range s.units {
		for _, p := range u.placements {
			if p.rate > 0 {
				rates = append(rates, p.rate)
			}
		}
	}
	slices.Sort(rates)
	return rates
}

// comparable reports whether the run may be as fast as others of the step: a task away from its data is slower, and so
// is a step that runs in several racks where it should run in one.
func (s *step) comparable(p *placement) bool {
	if s.spec.Estimate <= 0 || s.spec.DataRack != "" && p.worker.info.Rack != s.spec.DataRack {
		return false
	}
	if !s.spec.SameRack {
		return true
	}
	for _, u := range s.units {
		for _, o := range u.placements {
			if o.worker.info.Rack != p.worker.info.Rack {
				return false
			}
		}
	}
	return true
}

// learnRate notes the first rate of a run unless it is on a slow worker.
func (c *Core) learnRate(p *placement, rate float64) {
	s := p.unit.step
	if p.rate > 0 || rate <= 0 || p.worker.slowUntil > c.now {
		return
	}
	p.rate = rate
	c.typicalOf(s).learn(rate, rate*s.spec.Estimate.Seconds()/100)
}

// normalRate notes that the run has a usual rate.
func (c *Core) normalRate(p *placement, rate float64) {
	c.learnRate(p, rate)
	p.slowRate = 0
	p.rate = max(p.rate, rate)
	if w := p.worker; w.trialUntil > c.now {
		w.slowUntil, w.trialUntil = 0, 0
		c.event(Event{Name: "worker no longer slow", Worker: w.id})
	}
}

func (c *Core) typicalOf(s *step) *typicalRate {
	name := s.job.queue.Name
	if c.typical[name] == nil {
		c.typical[name] = &typicalRate{}
	}
	return c.typical[name]
}

// slowRun leaves the worker of a slow run out for a while.
func (c *Core) slowRun(p *placement) {
	w := p.worker
	if w.slowUntil <= c.now {
		c.event(Event{Name: "worker slow", Job: p.ref.Task.Job, Worker: w.id, Detail: p.ref.Task.String()})
	}
	w.slowUntil = c.now + slowTime
	w.trialUntil = w.slowUntil + trialTime
}
