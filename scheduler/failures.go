package scheduler

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
)

// Limits for distinguishing faulty workers from faulty jobs.
const (
	// minFailedJobs is the number of different jobs that must fail on a worker to quarantine it. At least
	// minConfirmedJobs of them must have run on other workers by then. Jobs that are themselves faulty do not, so a
	// series of them quarantines no worker.
	minFailedJobs    = 3
	minConfirmedJobs = 2
	// confirmTime is how long a job must run elsewhere to confirm that the worker caused its failure.
	confirmTime = time.Minute
	// suspicionWindow is how long a failure counts against a worker.
	suspicionWindow = time.Hour
	// successWindow is how long after its start a completed job counts as evidence that a worker is healthy.
	successWindow = time.Hour
	// goodStandingFailures is the number of workers in good standing on which a job must fail before it is failed
	// permanently. A worker is in good standing if other jobs succeed on it and none of them has failed there without
	// explanation.
	goodStandingFailures = 3
	// maxFailedWorkers is the number of different workers, in good standing or not, on which a job may fail, and
	// maxFailedAttempts the number of its failed attempts, before it is failed permanently. Without these limits a
	// faulty job would be retried forever in an idle failure domain, where no worker is known to be in good standing.
	maxFailedWorkers  = 5
	maxFailedAttempts = 8
	// quarantineTime is the duration of the first quarantine; each failed trial doubles it, up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 4 * time.Hour
	// trialTime is how long a trial job must run to end the trial before the job completes.
	trialTime = 10 * time.Minute
	// retryDelay is the delay before another attempt of a job whose start was rejected; each failed attempt of the job
	// doubles it, up to maxRetryDelay.
	retryDelay    = time.Second
	maxRetryDelay = time.Minute
)

// phase says whether jobs may be placed on a worker in view of the failures there.
type phase int

const (
	// phaseNormal permits all jobs, phaseQuarantined none.
	phaseNormal phase = iota
	phaseQuarantined
	// phaseTrial follows a quarantine and permits one restartable job at a time.
	phaseTrial
)

// standing records the failures on a worker and its quarantine or trial.
type standing struct {
	phase phase
	// suspicions lists the failures of jobs on this worker that may have been caused by the worker.
	suspicions []suspicion
	// until is the end of the quarantine, and duration its length. trial is the job of the trial, nil while there is
	// none.
	until    time.Time
	duration time.Duration
	trial    *job
	// lastGoodStart is the start time of the job that completed here last. The end of a quarantine sets it to that
	// time.
	lastGoodStart time.Time
}

// suspicion is a job failure that the worker may have caused.
type suspicion struct {
	job *job
	at  time.Time
	// confirmed marks a job that completed on another worker; inconclusive marks one that failed on several workers.
	confirmed, inconclusive bool
}

// avoidedWorker is a worker that a job must avoid since the time at.
type avoidedWorker struct {
	worker *worker
	// notStarted marks a worker that rejected the start of the job. It is avoided only as long as other workers have
	// capacity.
	notStarted bool
	at         time.Time
}

// acceptsTrial reports whether a worker on trial accepts j: it is usable, has no trial job, and j suits a trial.
func (w *worker) acceptsTrial(j *job) bool {
	return w.usable() && w.standing.phase == phaseTrial && w.standing.trial == nil && suitsTrial(j)
}

// suitsTrial reports whether j may be placed on a worker on trial: it can be restarted, has one member and must avoid
// no worker.
func suitsTrial(j *job) bool {
	return !j.RunOnce && j.Shape.Members == 1 && len(j.avoided) == 0
}

// recordSuccess records that a job completed. This clears the suspicions against its workers from before its start, and
// confirms those against the workers that it avoided.
func (c *Core) recordSuccess(j *job, placement []*worker) {
	for _, f := range j.avoided {
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

// inGoodStanding reports whether w is not suspended, jobs other than j succeed on it, and none of them failed there
// without explanation.
func (c *Core) inGoodStanding(w *worker, j *job) bool {
	if w.standing.phase != phaseNormal {
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

// handleFailure processes the end of an attempt in which a task failed: it records the failure and requeues the job, or
// ends the job if it was cancelled, must not run again or is faulty.
func (c *Core) handleFailure(j *job, placement []*worker, result Result) {
	j.failedAttempts++
	for _, w := range c.blamed(placement, result) {
		if j.mustAvoid(w) {
			continue
		}
		j.avoided = append(j.avoided, avoidedWorker{worker: w, at: c.now})
		c.addSuspicion(w, j)
	}
	c.markInconclusive(j)
	switch {
	case j.cancelRequested:
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

// blamed returns the workers of the placement that the result names. If it names none and the whole placement is on one
// worker, it returns that worker.
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

// backOff postpones the next attempt of a job, for longer after each failed attempt.
func (c *Core) backOff(j *job) {
	d := retryDelay << min(j.failedAttempts, 6)
	j.notBefore = c.now.Add(min(d, maxRetryDelay))
}

// notStarted records the workers that rejected the start of the job, and postpones its next attempt.
func (c *Core) notStarted(j *job, placement []*worker, result Result) {
	for _, w := range placement {
		if slices.Contains(result.Workers, w.id) && !j.mustAvoid(w) {
			j.avoided = append(j.avoided, avoidedWorker{worker: w, notStarted: true, at: c.now})
			c.addSuspicion(w, j)
		}
	}
	c.backOff(j)
}

// clearNotStarted lets the job use workers again that rejected its start. It reports whether there were any.
func (c *Core) clearNotStarted(j *job) bool {
	n := len(j.avoided)
	j.avoided = slices.DeleteFunc(j.avoided, func(f avoidedWorker) bool { return f.notStarted })
	return len(j.avoided) < n
}

// isFaulty reports whether the job itself causes its failures: it failed on several workers in good standing, on too
// many workers of any standing, too many times, or on all workers that could hold it.
func (c *Core) isFaulty(j *job) bool {
	if c.options.noPermanentFailure {
		return false
	}
	inStanding, different := 0, 0
	for _, f := range j.avoided {
		if f.notStarted {
			continue
		}
		different++
		if c.inGoodStanding(f.worker, j) {
			inStanding++
		}
	}
	// If several workers become faulty at once, a good job that fails on them looks faulty until other jobs have failed
	// there as well. Until confirmTime has passed, it is therefore judged only by the number of its failed attempts and
	// by whether other workers can hold it.
	settled := len(j.avoided) > 0 && c.now.Sub(j.avoided[0].at) >= confirmTime
	return settled && (inStanding >= goodStandingFailures || different >= maxFailedWorkers) ||
		j.failedAttempts >= maxFailedAttempts || different > 1 && !c.fitsOtherWorkers(j)
}

// markInconclusive marks the failures of a job that must avoid several workers as inconclusive, since the job itself
// may cause them. If the job runs on another worker later, the failures count against all of these workers.
func (c *Core) markInconclusive(j *job) {
	if len(j.avoided) < 2 {
		return
	}
	for _, f := range j.avoided {
		for i := range f.worker.standing.suspicions {
			s := &f.worker.standing.suspicions[i]
			s.inconclusive = s.inconclusive || s.job == j
		}
	}
}

// addSuspicion records a failure of j on w, or that w rejected its start. It quarantines w if several different jobs
// failed there and some of them have run on other workers. Faulty jobs fail on every worker and run on none, so they
// cause no quarantine.
func (c *Core) addSuspicion(w *worker, j *job) {
	w.standing.suspicions = append(c.recentSuspicions(w), suspicion{job: j, at: c.now})
	if w.standing.phase != phaseNormal || c.options.noQuarantine {
		return
	}
	confirmed, open := c.countSuspicions(w)
	if confirmed+open >= minFailedJobs && (c.options.noFailureConfirmation || confirmed >= minConfirmedJobs) &&
		c.mayQuarantine() {
		c.quarantine(w)
	}
}

// recentSuspicions returns the suspicions against w that are not older than suspicionWindow.
func (c *Core) recentSuspicions(w *worker) []suspicion {
	return slices.DeleteFunc(w.standing.suspicions, func(s suspicion) bool {
		return c.now.Sub(s.at) > suspicionWindow
	})
}

// countSuspicions counts the jobs that failed on w and have since completed or run for confirmTime on another worker
// (confirmed), and those of which this is not known yet (open). It leaves out jobs with inconclusive failures that are
// not confirmed.
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

// underSuspicion reports whether w has a recent failure that the worker itself may have caused. Run-once jobs avoid
// such a worker.
func (c *Core) underSuspicion(w *worker) bool {
	for _, s := range w.standing.suspicions {
		if c.now.Sub(s.at) <= suspicionWindow && (s.confirmed || !s.inconclusive) {
			return true
		}
	}
	return false
}

// mayQuarantine reports whether policy.quarantine_percent permits one more suspended worker.
func (c *Core) mayQuarantine() bool {
	return c.options.noQuarantineBound || (c.suspended+1)*100 <= c.policy.QuarantinePercent*len(c.ordered)
}

// quarantine stops placing jobs on a worker for the duration of its quarantine. The jobs that failed there need not
// avoid it afterwards.
func (c *Core) quarantine(w *worker) {
	if w.standing.phase == phaseNormal {
		c.suspended++
	}
	w.standing.phase = phaseQuarantined
	w.standing.duration = min(max(2*w.standing.duration, quarantineTime), maxQuarantineTime)
	w.standing.until = c.now.Add(w.standing.duration)
	for _, s := range w.standing.suspicions {
		s.job.avoided = slices.DeleteFunc(s.job.avoided, func(f avoidedWorker) bool { return f.worker == w })
	}
	w.standing.suspicions = nil
	c.bindingStale = true
	c.markChanged(w, false)
}

// reviewQuarantines starts the trials that are due and ends those whose job has run for trialTime.
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

// endQuarantine returns a worker to normal use and clears its record of failures.
func (c *Core) endQuarantine(w *worker) {
	c.suspended--
	w.standing = standing{lastGoodStart: c.now}
	c.bindingStale = true
	c.markChanged(w, true)
}

// endTrial processes the end of a trial job: it returns the worker to normal use if the job completed, and quarantines
// it again if the job failed or was not started. After any other end the worker gets another trial job.
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
