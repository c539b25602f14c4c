package scheduler

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// The rules for bad workers and bad jobs.
const (
	// suspectJobs is the number of different jobs whose failure on one worker quarantines it, and confirmedJobs the
	// number of those that must run elsewhere by then. In a burst of bad jobs none does.
	suspectJobs   = 3
	confirmedJobs = 2
	// confirmTime is how long a job must run elsewhere to confirm that its failure was the worker's.
	confirmTime = time.Minute
	// suspicionWindow is how long a failure counts against a worker.
	suspicionWindow = time.Hour
	// vouchWindow is how long a completed job counts in favour of a worker.
	vouchWindow = time.Hour
	// vouchedFailures is the number of workers in good standing on which a job must fail to be condemned.
	vouchedFailures = 3
	// anyFailures is the number of different workers of any standing that condemns a job, and allAttempts that of
	// failed attempts; without them a bad job on an idle failure domain would run for ever.
	anyFailures = 5
	allAttempts = 8
	// quarantineTime is the first spell of quarantine; each failed trial doubles it up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 4 * time.Hour
	// trialTime is how long a trial job must run to end the trial without completing.
	trialTime = 10 * time.Minute
	// retryDelay is the first delay before another attempt; each failure doubles it up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = time.Minute
)

// phase is the standing of a worker.
type phase int

const (
	phaseTrusted phase = iota
	phaseQuarantined
	// phaseTrial gives the worker one restartable job at a time.
	phaseTrial
)

// conduct is the record of failures on a worker.
type conduct struct {
	phase phase
	// suspicions holds the jobs that failed here and, as far as known, nowhere else.
	suspicions []suspicion
	// until is the end of the quarantine; spell its length.
	until time.Time
	spell time.Duration
	trial *job
	// good is when a job that completed here was started.
	good time.Time
}

// suspicion is a failure of a job on a worker.
type suspicion struct {
	job *job
	at  time.Time
	// confirmed marks a job that completed on another worker, doubtful one that failed on several.
	confirmed, doubtful bool
}

// failure is a worker to be avoided by a job.
type failure struct {
	worker *worker
	// refused marks a worker that did not start the job; it is avoided only while others are free.
	refused bool
	at      time.Time
}

// acceptsTrial reports whether a worker on trial may get j: one restartable job without earlier failures, on this
// worker alone.
func (w *worker) acceptsTrial(j *job) bool {
	return w.healthy() && w.conduct.phase == phaseTrial && w.conduct.trial == nil && mayTry(j)
}

// mayTry reports whether a failure of j on a worker on trial would harm nothing.
func mayTry(j *job) bool {
	return !j.RunOnce && j.Shape.Members == 1 && len(j.failures) == 0
}

// vouch records that a job completed on the workers, which speaks for them since its start and against
// those where it failed.
func (c *Core) vouch(j *job, placement []*worker) {
	for _, f := range j.failures {
		for i := range f.worker.conduct.suspicions {
			s := &f.worker.conduct.suspicions[i]
			s.confirmed = s.confirmed || s.job == j
		}
	}
	for _, w := range placement {
		w.conduct.good = j.began
		w.conduct.suspicions = slices.DeleteFunc(w.conduct.suspicions, func(s suspicion) bool {
			return !s.at.After(j.began)
		})
	}
}

// inGoodStanding reports whether other work than j succeeds on w and none failed there without explanation.
func (c *Core) inGoodStanding(w *worker, j *job) bool {
	if w.conduct.phase != phaseTrusted {
		return false
	}
	for _, s := range w.conduct.suspicions {
		if s.job != j {
			return false
		}
	}
	if !w.conduct.good.IsZero() && c.now.Sub(w.conduct.good) < vouchWindow {
		return true
	}
	for _, o := range w.occupants {
		if !o.job.ranSince.IsZero() && c.now.Sub(o.job.ranSince) >= trialTime {
			return true
		}
	}
	return false
}

// failed handles an attempt that failed by itself.
func (c *Core) failed(j *job, placement []*worker, result Result) {
	j.failureCount++
	for _, w := range c.blamed(placement, result) {
		if j.failedOn(w) {
			continue
		}
		j.failures = append(j.failures, failure{worker: w, at: c.now})
		c.suspect(w, j)
	}
	c.doubt(j)
	switch {
	case j.cancelled:
		c.finish(j, jobs.StateCancelled, "cancelled")
	case j.RunOnce && !c.options.restartRunOnce:
		c.finish(j, jobs.StateFailed, result.Detail)
	case c.condemnable(j):
		c.finish(j, jobs.StateFailed, "failed on several workers: "+result.Detail)
		c.plan.Condemned = append(c.plan.Condemned, Condemned{Job: j.ID, Detail: j.reason})
	default:
		c.delay(j)
		c.requeue(j)
	}
}

// blamed returns the workers named by the result, or the only worker of the placement.
func (c *Core) blamed(placement []*worker, result Result) []*worker {
	var blamed []*worker
	for _, w := range placement {
		if slices.Contains(result.Workers, w.id) && !slices.Contains(blamed, w) {
			blamed = append(blamed, w)
		}
	}
	if blamed == nil && len(result.Workers) == 0 && len(placement) > 0 && onOneWorker(placement) {
		return placement[:1]
	}
	return blamed
}

// onOneWorker reports whether the whole placement is on one worker.
func onOneWorker(placement []*worker) bool {
	for _, w := range placement {
		if w != placement[0] {
			return false
		}
	}
	return true
}

// delay postpones the next attempt of a job, longer after each failure.
func (c *Core) delay(j *job) {
	d := retryDelay << min(j.failureCount, 6)
	j.notBefore = c.now.Add(min(d, maxRetryDelay))
}

// refused handles workers that did not start the job.
func (c *Core) refused(j *job, placement []*worker, result Result) {
	for _, w := range placement {
		if slices.Contains(result.Workers, w.id) && !j.failedOn(w) {
			j.failures = append(j.failures, failure{worker: w, refused: true, at: c.now})
			c.suspect(w, j)
		}
	}
	c.delay(j)
}

// forgetRefusals lets a job try workers again that refused it. It reports whether there were any.
func (c *Core) forgetRefusals(j *job) bool {
	n := len(j.failures)
	j.failures = slices.DeleteFunc(j.failures, func(f failure) bool { return f.refused })
	return len(j.failures) < n
}

// condemnable reports whether the job itself is at fault: it failed on several workers on which others succeed, on many
// of any standing, or on all that could hold it.
func (c *Core) condemnable(j *job) bool {
	if c.options.noCondemnation {
		return false
	}
	vouched, different := 0, 0
	for _, f := range j.failures {
		if f.refused {
			continue
		}
		different++
		if c.inGoodStanding(f.worker, j) {
			vouched++
		}
	}
	// Several workers that turn bad at once look like a bad job until other jobs have failed there too.
	settled := len(j.failures) > 0 && c.now.Sub(j.failures[0].at) >= confirmTime
	return settled && (vouched >= vouchedFailures || different >= anyFailures) || j.failureCount >= allAttempts ||
		different > 1 && !c.holdsElsewhere(j)
}

// doubt puts the failures of a job on several workers in doubt: the job may be at fault. If it runs elsewhere after all,
// they count against all those workers.
func (c *Core) doubt(j *job) {
	if len(j.failures) < 2 {
		return
	}
	for _, f := range j.failures {
		for i := range f.worker.conduct.suspicions {
			s := &f.worker.conduct.suspicions[i]
			s.doubtful = s.doubtful || s.job == j
		}
	}
}

// suspect records a failure of j on w and quarantines w if several different jobs failed there of which some run
// elsewhere. A burst of bad jobs fails everywhere alike and quarantines nothing.
func (c *Core) suspect(w *worker, j *job) {
	w.conduct.suspicions = append(c.recent(w), suspicion{job: j, at: c.now})
	if w.conduct.phase != phaseTrusted || c.options.noQuarantine {
		return
	}
	confirmed, open := c.weigh(w)
	if confirmed+open >= suspectJobs && (c.options.blameEveryWorker || confirmed >= confirmedJobs) && c.mayQuarantine() {
		c.quarantine(w)
	}
}

// recent returns the suspicions that still count.
func (c *Core) recent(w *worker) []suspicion {
	return slices.DeleteFunc(w.conduct.suspicions, func(s suspicion) bool {
		return c.now.Sub(s.at) > suspicionWindow
	})
}

// weigh counts the jobs that failed on w and run, or completed, elsewhere, and those of which nothing is known yet.
func (c *Core) weigh(w *worker) (confirmed, open int) {
	for _, s := range w.conduct.suspicions {
		runs := s.job.placed() && !s.job.ranSince.IsZero() && c.now.Sub(s.job.ranSince) >= confirmTime
		switch {
		case s.confirmed || runs:
			confirmed++
		case !s.doubtful:
			open++
		}
	}
	return confirmed, open
}

// underSuspicion reports whether a failure on w speaks against work that cannot be repeated.
func (c *Core) underSuspicion(w *worker) bool {
	for _, s := range w.conduct.suspicions {
		if c.now.Sub(s.at) <= suspicionWindow && (s.confirmed || !s.doubtful) {
			return true
		}
	}
	return false
}

// mayQuarantine reports whether one more suspended worker stays within policy.quarantine_percent.
func (c *Core) mayQuarantine() bool {
	return c.options.noQuarantineBound || (c.suspended+1)*100 <= c.policy.QuarantinePercent*len(c.ordered)
}

// quarantine takes a worker out of use. Jobs that failed there are free of that failure.
func (c *Core) quarantine(w *worker) {
	if w.conduct.phase == phaseTrusted {
		c.suspended++
	}
	w.conduct.phase = phaseQuarantined
	w.conduct.spell = min(max(2*w.conduct.spell, quarantineTime), maxQuarantineTime)
	w.conduct.until = c.now.Add(w.conduct.spell)
	for _, s := range w.conduct.suspicions {
		s.job.failures = slices.DeleteFunc(s.job.failures, func(f failure) bool { return f.worker == w })
	}
	w.conduct.suspicions = nil
	c.bindingStale = true
	c.touch(w, false)
}

// reviewQuarantine starts the trials that are due and ends those that went well.
func (c *Core) reviewQuarantine() {
	if c.suspended == 0 {
		return
	}
	for _, w := range c.ordered {
		d := &w.conduct
		switch {
		case d.phase == phaseQuarantined && !c.now.Before(d.until):
			d.phase = phaseTrial
			d.trial = nil
			c.touch(w, true)
		case d.phase == phaseTrial && d.trial != nil && !d.trial.ranSince.IsZero() &&
			c.now.Sub(d.trial.ranSince) >= trialTime:
			c.trust(w)
		}
	}
}

// trust ends the quarantine of a worker.
func (c *Core) trust(w *worker) {
	c.suspended--
	w.conduct = conduct{good: c.now}
	c.bindingStale = true
	c.touch(w, true)
}

// endTrial judges a worker on trial by the end of its trial job.
func (c *Core) endTrial(j *job, placement []*worker, kind ResultKind) {
	w := placement[0]
	if w.conduct.phase != phaseTrial || w.conduct.trial != j {
		return
	}
	w.conduct.trial = nil
	switch kind {
	case ResultCompleted:
		c.trust(w)
	case ResultFailed, ResultNotStarted:
		c.quarantine(w)
	}
}
