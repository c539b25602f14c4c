package dispatch

import (
	"math"
	"time"
)

const (
	// minRateSpan is the least time over which a run's rate is measured. minRateProgress is the least progress, in percent,
	// that must be expected in the measured time.
	minRateSpan     = time.Second
	minRateProgress = 6
	// minOwnProgress is the least progress, in percent, from which the pace of a run is known: progress is listed in whole percent.
	minOwnProgress = 4
	// slowRatio is the fraction of its own earlier pace below which a run is slow.
	slowRatio = 0.45
	// lowStartDeviations is the distance below the expected pace, in standard deviations, from which the first pace of a run is low.
	lowStartDeviations = 2.3
	// normalRatio is the fraction of its expected rate above which the first pace of a run shows that its worker is not slow. Between
	// this and a low pace, it shows nothing.
	normalRatio = 0.7
	// lowStartWindow is the time on the worker's clock within which low first paces of several runs are taken together.
	lowStartWindow = 4 * time.Second
	// minLowJobs is the number of jobs with low first paces from which a worker is slow, minLowRuns that of runs from which those runs
	// may also be moved: about 3 in 100 tasks are long, so that two of them meet on one worker now and then.
	minLowJobs = 2
	minLowRuns = 3
	// longTaskAfter is how long a run must have kept a low first pace to count as that of a long task.
	longTaskAfter = 8 * time.Second
	// minSlowStarts is the number of runs with low first paces that became faster, and slowStartOdds how many times more they must be
	// than those that did not, for one such run to show that its worker is slow.
	minSlowStarts = 3
	slowStartOdds = 3
	// lowStartMemory is the number of runs from which the counts of those with low first paces are halved, so that the counts follow a
	// deployment whose tasks become long.
	lowStartMemory = 64
	// slowExclusionDuration is how long a worker gets no work after a slow run was last measured there. For
	// probationDuration after that, only single tasks that are not urgent may be placed on the worker: a slow member would
	// hold back a whole gang.
	slowExclusionDuration = 2 * time.Second
	probationDuration     = 4 * time.Second
	// relapseDuration is how long after the probation a single low first pace still shows that the worker is slow again or still.
	relapseDuration = 10 * time.Second
	// maxSlowShare is the largest fraction of all workers that may be excluded as slow.
	maxSlowShare = 0.4
	// minSlowRate is the least rate assumed of a slow run, in percent per second.
	minSlowRate = 0.1
)

// rateWindow is the start of a rate measurement: the time on the worker's clock, since listings may arrive late, and the
// progress at that time. open is false if no measurement has begun.
type rateWindow struct {
	open    bool
	at      time.Duration
	percent int
}

// runPace is what is known of the pace of a run.
type runPace struct {
	// window is the start of the current rate measurement. rate is the highest steady rate measured on the worker's clock,
	// in percent per second; 0 if none was measured.
	window rateWindow
	rate   float64
	// startRate is a lower bound of the run's first rate; 0 if it is not known. startRateNoted is true once that has been decided.
	startRate      float64
	startRateNoted bool
	// learned is true once the end of the run was used, or is known to be of no use, to learn the speed of its worker.
	learned bool
	// lowStart is true if the first measured rate was far below the expected one and no later one was much higher. lowStartAt is the worker's
	// clock at that measurement. longNoted is true once the run has been counted as that of a long task.
	lowStart, longNoted bool
	lowStartAt          time.Duration
	// slowRate is the measured rate of a slow run and usualRate the rate expected of it, in percent per second; slowRate is
	// 0 for other runs.
	slowRate, usualRate float64
}

// slowEvidence is what one listing of a worker shows: the runs below their own earlier pace, the number of runs whose pace shows that the
// worker is not slow, and whether a run had a low first pace. first holds the first paces, which are learned from once it is known
// whether the worker is slow.
type slowEvidence struct {
	fell     []*placement
	steady   int
	lowStart bool
	first    []firstPace
}

// firstPace is the logarithm of the first measured relative pace of a run.
type firstPace struct {
	run  *placement
	pace float64
}

// excludedAsSlow reports whether the worker gets no work because it runs tasks slowly.
func (c *Core) excludedAsSlow(w *worker) bool { return w.slowUntil > c.now && !c.tooManySlow }

// slowRecently reports whether the worker was slow within the time in which it may be slow again or still.
func (w *worker) slowRecently(now time.Duration) bool {
	return w.probationUntil > 0 && now < w.probationUntil+relapseDuration
}

// allowedOnProbation reports whether probation allows the step to be placed on the worker. Probation lasts until a run on a
// formerly slow worker has a normal rate or probationDuration has passed.
func (c *Core) allowedOnProbation(w *worker, s *step) bool {
	return w.probationUntil <= c.now || c.tooManySlow || !s.spec.Gang && s.job.policy.Priority > 0
}

// measureRate measures the rate of a run from its listed progress once enough time has passed, and adds what it shows to the evidence
// of its worker's listing.
func (c *Core) measureRate(p *placement) {
	if c.cold(p.worker) {
		// The average from the start of the run says nothing of its pace on the warm worker.
		p.window, p.startRateNoted = rateWindow{}, true
		return
	}
	if p.live() && p.percent == 100 {
		c.learnFromEnd(p, p.worker.clock, false)
	}
	if !p.measurable() {
		p.window = rateWindow{}
		return
	}
	c.noteStartRate(p)
	if !p.window.open {
		p.openWindow()
		return
	}
	span := p.worker.clock - p.window.at
	if span < minRateSpan {
		return
	}
	if !p.unit.step.comparable(p) {
		// The time from the start of the run to its end cannot be compared either, also if the run is comparable by then.
		p.window, p.learned = rateWindow{}, true
		return
	}
	c.recordRate(p, float64(p.percent-p.window.percent), span.Seconds())
}

// openWindow begins a rate measurement with the latest listing.
func (p *placement) openWindow() {
	p.window = rateWindow{open: true, at: p.worker.clock, percent: p.percent}
}

// recordRate records what the progress of a run, in percent, within a span of seconds shows, and begins the next measurement. It waits
// for later listings if the progress is too little to tell.
func (c *Core) recordRate(p *placement, progress, span float64) {
	own, expected, rate := max(p.rate, p.startRate), c.expectedRate(p), progress/span
	switch {
	case own > 0 && own*span < minRateProgress && progress < minRateProgress:
		return
	case own == 0 && progress < minOwnProgress && expected*span < minRateProgress:
		return
	case own > 0 && rate < slowRatio*own:
		p.slowRate, p.usualRate = max(rate, minSlowRate), own
		p.worker.evidence.fell = append(p.worker.evidence.fell, p)
	case rate <= 0:
		return
	case p.rate > 0:
		c.recordSteadyRate(p, rate)
	default:
		c.recordFirstRate(p, rate, expected)
	}
	p.openWindow()
}

// noteStartRate records the average rate of a run from its start to its first listing with enough progress. It is a lower bound of its
// pace, since the run began after its start was decided and was listed before the listing arrived.
func (c *Core) noteStartRate(p *placement) {
	if p.startRateNoted || p.percent < minOwnProgress {
		return
	}
	p.startRateNoted = true
	if ran := c.now - p.unit.startedAt; !p.partial && ran >= minRateSpan {
		p.startRate = float64(p.percent) / ran.Seconds()
	}
}

// measurable reports whether the run's progress reflects the speed of its worker. This includes members of a gang, which
// progress independently and wait for the slowest only at the end.
func (p *placement) measurable() bool {
	if !p.live() {
		return false
	}
	s := p.unit.step.spec
	return !s.Filler && !s.LongRunning && p.percent > 0 && p.percent < 100
}

// comparable reports whether the rate of the run, which belongs to the step, can be compared with others: a task away from
// its data is slower, and so is a step that is spread over several racks although it should share one.
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

// expectedRate returns the rate, in percent per second, that a run of unknown length should have on its worker. Its step must have an
// estimate.
func (c *Core) expectedRate(p *placement) float64 {
	s := p.unit.step
	mean, _ := c.stepPace(s)
	return 100 * math.Exp(mean) * p.worker.speed / s.spec.Estimate.Seconds()
}

// recordSteadyRate records a rate of a run that is not below its earlier pace. It shows that the worker is not slow unless the run may
// have been slow from its start.
func (c *Core) recordSteadyRate(p *placement, rate float64) {
	if p.lowStart && rate*slowRatio < p.rate {
		c.noteLongTask(p)
		return
	}
	if p.lowStart {
		p.lowStart = false
		c.lowStarts.add(1, 0)
	}
	p.slowRate = 0
	p.rate = max(p.rate, rate)
	p.worker.evidence.steady++
}

// lowStarts counts the runs with low first paces that later became faster, because their workers had been slow, and those that did not,
// because their tasks are long.
type lowStarts struct{ slow, long int }

// add counts runs of either kind. Earlier ones count less as more are added.
func (l *lowStarts) add(slow, long int) {
	l.slow += slow
	l.long += long
	if l.slow+l.long > lowStartMemory {
		l.slow /= 2
		l.long /= 2
	}
}

// meanSlow reports whether a low first pace of a single run shows that its worker is slow: deployments without long tasks have hardly
// any other cause for it.
func (l lowStarts) meanSlow() bool { return l.slow >= minSlowStarts && l.slow >= slowStartOdds*l.long }

// noteLongTask counts a run with a low first pace once it has kept that pace for longer than workers are slow. The run does not count as
// slow any more.
func (c *Core) noteLongTask(p *placement) {
	if !p.longNoted && p.worker.clock-p.lowStartAt > longTaskAfter {
		p.longNoted = true
		p.slowRate = 0
		c.lowStarts.add(0, 1)
	}
}

// recordFirstRate records the first measured rate of a run. A low one means a long task, unless other runs on the worker show that it
// is slow, or has been slow just now.
func (c *Core) recordFirstRate(p *placement, rate, expected float64) {
	s, w := p.unit.step, p.worker
	ratio := math.Log(rate / expected)
	switch {
	case ratio < -max(math.Log(1/slowRatio), lowStartDeviations*c.paceDeviation(s, w)):
		p.lowStart = true
		p.lowStartAt, p.usualRate = w.clock, expected
		w.evidence.lowStart = true
	case ratio >= math.Log(normalRatio):
		w.evidence.steady++
	case w.slowUntil > c.now:
		// The pace of a run that begins on a slow worker is not that of the run.
		return
	}
	w.evidence.first = append(w.evidence.first, firstPace{p, s.relativePace(rate)})
	p.rate = rate
	p.slowRate = 0
}

// judge decides from the evidence of a listing whether the worker is slow now.
func (c *Core) judge(w *worker) {
	e := w.evidence
	w.evidence = slowEvidence{}
	switch {
	case len(e.fell) > 0 && len(e.fell) >= e.steady:
		c.markSlow(w, e.fell[0])
		w.suspectStarts()
	case e.steady > 0:
		// Runs that fell, or began at a low pace, on a worker that is not slow have tasks whose pace changes, or long ones.
		for _, p := range w.runs {
			p.slowRate = 0
		}
		w.normalAt = w.clock
		if w.probationUntil > c.now {
			w.slowUntil, w.probationUntil = 0, 0
			c.event(Event{Name: "worker no longer slow", Worker: w.id})
		}
	case e.lowStart:
		c.judgeLowStarts(w)
	}
	for _, f := range e.first {
		c.learn(f.run, f.pace)
	}
}

// judgeLowStarts decides whether low first paces of runs on the worker mean that it is slow.
func (c *Core) judgeLowStarts(w *worker) {
	var low []*placement
	jobs := 0
	for _, p := range w.sortedRuns() {
		if !p.lowStartNow() {
			continue
		}
		if len(low) == 0 || low[len(low)-1].ref.Task.Job != p.ref.Task.Job {
			jobs++
		}
		low = append(low, p)
	}
	certain := w.slowRecently(c.now) || c.lowStarts.meanSlow()
	if len(low) == 0 || jobs < minLowJobs && !certain {
		return
	}
	c.markSlow(w, low[0])
	if certain || len(low) >= minLowRuns {
		w.suspectStarts()
	}
}

// lowStartNow reports whether the run had a low first pace within lowStartWindow, and its worker has not been normal since.
func (p *placement) lowStartNow() bool {
	return p.lowStart && p.worker.clock-p.lowStartAt <= lowStartWindow && p.lowStartAt > p.worker.normalAt
}

// suspectStarts makes the runs with low first paces, which began while the worker was already slow, count as slow.
func (w *worker) suspectStarts() {
	for _, p := range w.runs {
		if p.lowStartNow() {
			p.slowRate = max(p.rate, minSlowRate)
		}
	}
}

// markSlow excludes the worker of a slow run from new work for a while.
func (c *Core) markSlow(w *worker, p *placement) {
	if w.slowUntil <= c.now {
		c.event(Event{Name: EventWorkerSlow, Job: p.ref.Task.Job, Worker: w.id, Detail: p.ref.Task.String()})
	}
	w.slowUntil = c.now + slowExclusionDuration
	w.probationUntil = w.slowUntil + probationDuration
}
