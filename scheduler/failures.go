package scheduler

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// Limits that tell faulty workers from faulty jobs.
const (
	// minFailedJobs is the number of different jobs that must fail on a worker to quarantine it. At least
	// minConfirmedJobs of them must by then have run elsewhere, which no job of a burst of faulty jobs does.
	minFailedJobs    = 3
	minConfirmedJobs = 2
	// confirmTime is how long a job must run elsewhere to confirm that the worker caused its failure.
	confirmTime = time.Minute
	// suspicionWindow is how long a failure counts against a worker.
	suspicionWindow = time.Hour
	// successWindow is how long a completed job counts as evidence that a worker is healthy.
	successWindow = time.Hour
	// trustedFailures is the number of workers in good standing on which a job must fail before it is failed
	// permanently.
	trustedFailures = 3
	// maxFailedWorkers is the number of different workers, in good standing or not, on which a job may fail, and
	// maxFailedAttempts the number of its failed attempts, before it is failed permanently. Without these limits a
	// faulty job would be retried for ever in an idle failure domain, where no worker is known to be in good standing.
	maxFailedWorkers  = 5
	maxFailedAttempts = 8
	// quarantineTime is the duration of the first quarantine; each failed trial doubles it, up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 4 * time.Hour
	// trialTime is how long a trial job must run to end the trial before the job completes.
	trialTime = 10 * time.Minute
	// retryDelay is the first delay before another attempt; each failure doubles it, up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = time.Minute
)

// phase says whether a worker is trusted with work.
type phase int

const (
	phaseTrusted phase = iota
	phaseQuarantined
	// phaseTrial gives the worker one restartable job at a time.
	phaseTrial
)

// standing records the failures on a worker and its quarantine.
type standing struct {
	phase phase
	// suspicions lists the failures of jobs on this worker that may have been caused by the worker.
	suspicions []suspicion
	// until is the end of the quarantine, and duration its length.
	until    time.Time
	duration time.Duration
	trial    *job
	// lastGoodStart is the start time of the last job that completed here.
	lastGoodStart time.Time
}

// suspicion is a job failure that the worker may have caused.
type suspicion struct {
	job *job
	at  time.Time
	// confirmed marks a job that completed on another worker; inconclusive marks one that failed on several workers.
	confirmed, inconclusive bool
}

// failure records a worker that the job must avoid.
type failure struct {
	worker *worker
	// notStarted marks a worker that refused to start the job. It is avoided only as long as other workers have
	// capacity.
	notStarted bool
	at         time.Time
}

// acceptsTrial reports whether a worker on trial may get j. It accepts one restartable single-member job without
// earlier failures at a time.
func (w *worker) acceptsTrial(j *job) bool {
	return w.healthy() && w.standing.phase == phaseTrial && w.standing.trial == nil && suitsTrial(j)
}

// suitsTrial reports whether j can be risked on a worker on trial: it can be restarted, has one member and has not
// failed.
func suitsTrial(j *job) bool {
	return !j.RunOnce && j.Shape.Members == 1 && len(j.failures) == 0
}

// recordSuccess records that a job completed. This clears the suspicions against its workers from before its start, and
// confirms those against the workers on which it had failed.
func (c *Core) recordSuccess(j *job, placement []*worker) {
	for _, f := range j.failures {
		for i := range f.worker.standing.suspicions {
			s := &f.worker.standing.suspicions[i]
			s.confirmed = s.confirmed || s.job == j
		}
	}
	for _, w := range placement {
		w.standing.lastGoodStart = j.startedAt
		w.standing.suspicions = slices.DeleteFunc(w.standing.suspicions, func(s suspicion) bool {
			return !s.at.After(j.startedAt)
		})
	}
}

// inGoodStanding reports whether jobs other than j succeed on w and none of them failed there without explanation.
func (c *Core) inGoodStanding(w *worker, j *job) bool {
	if w.standing.phase != phaseTrusted {
		return false
	}
	for _, s := range w.standing.suspicions {
		if s.job != j {
			return false
		}
	}
	if !w.standing.lastGoodStart.IsZero() && c.now.Sub(w.standing.lastGoodStart) < successWindow {
		return true
	}
	for _, o := range w.occupants {
		if !o.job.runningSince.IsZero() && c.now.Sub(o.job.runningSince) >= trialTime {
			return true
		}
	}
	return false
}

// handleFailure processes the end of an attempt in which a task failed.
func (c *Core) handleFailure(j *job, placement []*worker, result Result) {
	j.failureCount++
	for _, w := range c.blamed(placement, result) {
		if j.failedOn(w) {
			continue
		}
		j.failures = append(j.failures, failure{worker: w, at: c.now})
		c.addSuspicion(w, j)
	}
	c.markInconclusive(j)
	switch {
	case j.cancelled:
		c.finish(j, jobs.StateCancelled, "cancelled")
	case j.RunOnce && !c.options.restartRunOnce:
		c.finish(j, jobs.StateFailed, result.Detail)
	case c.isFaulty(j):
		c.finish(j, jobs.StateFailed, "failed on several workers: "+result.Detail)
		c.plan.PermanentFailures = append(c.plan.PermanentFailures, PermanentFailure{Job: j.ID, Detail: j.reason})
	default:
		c.backOff(j)
		c.requeue(j)
	}
}

// blamed returns the workers named by the result, or the only worker of the placement if the result names none.
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

// onOneWorker reports whether all members of the placement are on one worker.
func onOneWorker(placement []*worker) bool {
	for _, w := range placement {
		if w != placement[0] {
			return false
		}
	}
	return true
}

// backOff postpones the next attempt of a job, for longer after each failure.
func (c *Core) backOff(j *job) {
	d := retryDelay << min(j.failureCount, 6)
	j.notBefore = c.now.Add(min(d, maxRetryDelay))
}

// notStarted records the workers that refused to start the job.
func (c *Core) notStarted(j *job, placement []*worker, result Result) {
	for _, w := range placement {
		if slices.Contains(result.Workers, w.id) && !j.failedOn(w) {
			j.failures = append(j.failures, failure{worker: w, notStarted: true, at: c.now})
			c.addSuspicion(w, j)
		}
	}
	c.backOff(j)
}

// clearNotStarted lets the job use workers again that refused to start it. It reports whether there were any.
func (c *Core) clearNotStarted(j *job) bool {
	n := len(j.failures)
	j.failures = slices.DeleteFunc(j.failures, func(f failure) bool { return f.notStarted })
	return len(j.failures) < n
}

// isFaulty reports whether the job itself is at fault: it failed on several workers on which other jobs succeed, on too
// many workers of any standing, too many times, or on all workers that could hold it.
func (c *Core) isFaulty(j *job) bool {
	if c.options.noPermanentFailure {
		return false
	}
	trusted, different := 0, 0
	for _, f := range j.failures {
		if f.notStarted {
			continue
		}
		different++
		if c.inGoodStanding(f.worker, j) {
			trusted++
		}
	}
	// While several workers become faulty at once, a good job that fails on them looks faulty, until other jobs have
	// failed there as well.
	settled := len(j.failures) > 0 && c.now.Sub(j.failures[0].at) >= confirmTime
	return settled && (trusted >= trustedFailures || different >= maxFailedWorkers) || j.failureCount >= maxFailedAttempts ||
		different > 1 && !c.fitsUnfailedWorkers(j)
}

// markInconclusive marks the failures of a job that failed on several workers as inconclusive, since the job may be at
// fault. If the job runs elsewhere later, the failures count against all of these workers.
func (c *Core) markInconclusive(j *job) {
	if len(j.failures) < 2 {
		return
	}
	for _, f := range j.failures {
		for i := range f.worker.standing.suspicions {
			s := &f.worker.standing.suspicions[i]
			s.inconclusive = s.inconclusive || s.job == j
		}
	}
}

// addSuspicion records a failure of j on w. It quarantines w if several different jobs failed there and some of them
// run elsewhere. Jobs of a faulty burst fail on every worker, so they quarantine none.
func (c *Core) addSuspicion(w *worker, j *job) {
	w.standing.suspicions = append(c.recentSuspicions(w), suspicion{job: j, at: c.now})
	if w.standing.phase != phaseTrusted || c.options.noQuarantine {
		return
	}
	confirmed, open := c.countSuspicions(w)
	if confirmed+open >= minFailedJobs && (c.options.noFailureConfirmation || confirmed >= minConfirmedJobs) &&
		c.mayQuarantine() {
		c.quarantine(w)
	}
}

// recentSuspicions returns the suspicions within suspicionWindow.
func (c *Core) recentSuspicions(w *worker) []suspicion {
	return slices.DeleteFunc(w.standing.suspicions, func(s suspicion) bool {
		return c.now.Sub(s.at) > suspicionWindow
	})
}

// countSuspicions counts the jobs that failed on w and have since run or completed elsewhere (confirmed), and those
// about which nothing is known yet (open).
func (c *Core) countSuspicions(w *worker) (confirmed, open int) {
	for _, s := range w.standing.suspicions {
		runs := s.job.placed() && !s.job.runningSince.IsZero() && c.now.Sub(s.job.runningSince) >= confirmTime
		switch {
		case s.confirmed || runs:
			confirmed++
		case !s.inconclusive:
			open++
		}
	}
	return confirmed, open
}

// underSuspicion reports whether w has a recent failure that may be its own fault. Work that cannot be repeated avoids
// it.
func (c *Core) underSuspicion(w *worker) bool {
	for _, s := range w.standing.suspicions {
		if c.now.Sub(s.at) <= suspicionWindow && (s.confirmed || !s.inconclusive) {
			return true
		}
	}
	return false
}

// mayQuarantine reports whether one more suspended worker stays within policy.quarantine_percent.
func (c *Core) mayQuarantine() bool {
	return c.options.noQuarantineBound || (c.suspended+1)*100 <= c.policy.QuarantinePercent*len(c.ordered)
}

// quarantine takes a worker out of use. Jobs that failed there no longer count that failure.
func (c *Core) quarantine(w *worker) {
	if w.standing.phase == phaseTrusted {
		c.suspended++
	}
	w.standing.phase = phaseQuarantined
	w.standing.duration = min(max(2*w.standing.duration, quarantineTime), maxQuarantineTime)
	w.standing.until = c.now.Add(w.standing.duration)
	for _, s := range w.standing.suspicions {
		s.job.failures = slices.DeleteFunc(s.job.failures, func(f failure) bool { return f.worker == w })
	}
	w.standing.suspicions = nil
	c.bindingStale = true
	c.markChanged(w, false)
}

// reviewQuarantines starts the trials that are due and ends those that succeeded.
func (c *Core) reviewQuarantines() {
	if c.suspended == 0 {
		return
	}
	for _, w := range c.ordered {
		s := &w.standing
		switch {
		case s.phase == phaseQuarantined && !c.now.Before(s.until):
			s.phase = phaseTrial
			s.trial = nil
			c.markChanged(w, true)
		case s.phase == phaseTrial && s.trial != nil && !s.trial.runningSince.IsZero() &&
			c.now.Sub(s.trial.runningSince) >= trialTime:
			c.endQuarantine(w)
		}
	}
}

// endQuarantine returns a worker to normal use.
func (c *Core) endQuarantine(w *worker) {
	c.suspended--
	w.standing = standing{lastGoodStart: c.now}
	c.bindingStale = true
	c.markChanged(w, true)
}

// endTrial ends the quarantine of a worker on trial, or quarantines it again, depending on how its trial job ended.
func (c *Core) endTrial(j *job, placement []*worker, kind ResultKind) {
	w := placement[0]
	if w.standing.phase != phaseTrial || w.standing.trial != j {
		return
	}
	w.standing.trial = nil
	switch kind {
	case ResultCompleted:
		c.endQuarantine(w)
	case ResultFailed, ResultNotStarted:
		c.quarantine(w)
	}
}
