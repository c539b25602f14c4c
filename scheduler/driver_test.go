package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// driver carries out plans in virtual time: it starts, ends and stops attempts after fixed delays and reports the
// results. It takes the place of the caller of the core and simulates nothing else.
type driver struct {
	planner Planner
	now     time.Time
	// pending holds the timers in descending order of time, so the next one is last.
	pending []timer
	jobs    map[string]*simJob
	// live holds the jobs that have not ended.
	live map[string]*simJob
	// used holds the resources of placed jobs by worker id, counted independently of the core.
	used map[string]resource.Resources
	// silent holds the ids of the workers that send no reports.
	silent map[string]bool
	// startDelay is the time from a plan until its members run; stopDelay and checkpointDelay are the times of a stop
	// without and with a checkpoint.
	startDelay, stopDelay, checkpointDelay time.Duration
	// onStart, onStop, onEnd, onAdvance and onPlan are optional callbacks.
	onStart func(*simJob, Start)
	// failsOn returns the worker on which an attempt fails, if any. A nil function means that no attempt fails.
	failsOn   func(*simJob) (string, bool)
	onStop    func(*simJob, Stop)
	onEnd     func(*simJob, Result)
	onAdvance func(from, to time.Time)
	onPlan    func(Plan)
	// callTime is the real time spent in calls of the planner since the last plan. onDecision receives it, including
	// the time of the plan itself.
	callTime   time.Duration
	onDecision func(time.Duration)
	// nextWake is the time of the latest timer for Plan.NextCheck.
	nextWake time.Time
}

// simJob is the driver's record of a job and its true run time.
type simJob struct {
	jobs.Job
	// runTime is the true run time, and remaining what is left of it after checkpoints.
	runTime, remaining time.Duration
	// faulty makes every attempt fail.
	faulty    bool
	arrivedAt time.Time
	attempt   uint64
	placement Placement
	// runningSince is when the members began to run, zero before that.
	runningSince time.Time
	// stopping reports whether the stop of the current attempt is in progress.
	stopping bool
	ended    bool
	starts   int
	// mayRunAgain reports whether the job may start again under the rules for run-once jobs.
	mayRunAgain         bool
	cancelRequested     bool
	firstStart, endedAt time.Time
	// lostTime is the run time of attempts whose progress was lost.
	lostTime time.Duration
}

type timer struct {
	at time.Time
	fn func()
}

func newDriver(p Planner) *driver {
	return &driver{
		planner: p, now: testStart,
		jobs: map[string]*simJob{}, live: map[string]*simJob{}, used: map[string]resource.Resources{}, silent: map[string]bool{},
		startDelay: time.Second, stopDelay: time.Second, checkpointDelay: 3 * time.Second,
	}
}

// after schedules fn to run after a delay.
func (d *driver) after(delay time.Duration, fn func()) {
	t := timer{d.now.Add(delay), fn}
	i, _ := slices.BinarySearchFunc(d.pending, t, func(a, b timer) int { return cmp.Or(b.at.Compare(a.at), 1) })
	d.pending = slices.Insert(d.pending, i, t)
}

// timeCall adds the real time of one call of the planner to callTime.
func (d *driver) timeCall(f func()) {
	began := time.Now()
	f()
	d.callTime += time.Since(began)
}

// run processes timers until none is left or the next one is later than until.
func (d *driver) run(until time.Time) {
	for len(d.pending) > 0 {
		last := len(d.pending) - 1
		t := d.pending[last]
		if t.at.After(until) {
			return
		}
		d.pending = d.pending[:last]
		if t.at.After(d.now) {
			if d.onAdvance != nil {
				d.onAdvance(d.now, t.at)
			}
			d.now = t.at
		}
		t.fn()
		d.plan()
	}
}

// plan asks for a plan and carries it out.
func (d *driver) plan() {
	var p Plan
	d.timeCall(func() { p = d.planner.Plan(d.now) })
	if d.onDecision != nil {
		d.onDecision(d.callTime)
	}
	d.callTime = 0
	for _, s := range p.Stops {
		d.stop(s)
	}
	for _, s := range p.Starts {
		d.start(s)
	}
	for _, s := range p.PermanentFailures {
		d.jobs[s.Job].ended = true
		delete(d.live, s.Job)
	}
	if d.onPlan != nil {
		d.onPlan(p)
	}
	if next := p.NextCheck; !next.IsZero() && (!d.nextWake.After(d.now) || next.Before(d.nextWake)) {
		d.nextWake = next
		d.after(next.Sub(d.now), func() {})
	}
}

// submit submits a job now. It reports whether the planner accepted it.
func (d *driver) submit(j *simJob) bool {
	j.arrivedAt = d.now
	j.remaining = j.runTime
	j.mayRunAgain = true
	var err error
	d.timeCall(func() { err = d.planner.Submit(j.Job, d.now) })
	if err != nil {
		return false
	}
	d.jobs[j.ID] = j
	d.live[j.ID] = j
	return true
}

// addUsage adds the resources of the placement of j to used, or subtracts them if sign is -1.
func (d *driver) addUsage(j *simJob, sign int) {
	for _, id := range j.placement {
		d.used[id] = d.used[id].Add(j.Shape.PerMember.Times(sign))
	}
}

// start begins an attempt: its members run after startDelay and end by themselves after the remaining run time.
func (d *driver) start(s Start) {
	j := d.jobs[s.Job.ID]
	if d.onStart != nil {
		d.onStart(j, s)
	}
	j.attempt, j.placement, j.stopping = s.Attempt, s.Placement, false
	j.runningSince = time.Time{}
	j.starts++
	j.mayRunAgain = !j.RunOnce
	if j.firstStart.IsZero() {
		j.firstStart = d.now
	}
	d.addUsage(j, 1)
	attempt := j.attempt
	d.after(d.startDelay, func() { d.becomeRunning(j, attempt) })
}

// responsive reports whether the attempt is in progress and all its workers send reports.
func (d *driver) responsive(j *simJob, attempt uint64) bool {
	if j.attempt != attempt || j.placement == nil {
		return false
	}
	for _, id := range j.placement {
		if d.silent[id] {
			return false
		}
	}
	return true
}

// becomeRunning reports the members of an attempt as running and schedules its end. It has no effect if the attempt has
// ended, is being stopped or has a silent worker.
func (d *driver) becomeRunning(j *simJob, attempt uint64) {
	if !d.responsive(j, attempt) || j.stopping {
		return
	}
	j.runningSince = d.now
	d.timeCall(func() { d.planner.Started(j.ID, attempt, d.now) })
	if d.failsOn != nil {
		if id, ok := d.failsOn(j); ok {
			d.after(d.startDelay, func() { d.failAttempt(j, attempt, id) })
			return
		}
	}
	d.after(j.remaining, func() { d.completeAttempt(j, attempt) })
}

// failAttempt ends the attempt as failed on the given worker.
func (d *driver) failAttempt(j *simJob, attempt uint64, id string) {
	if d.responsive(j, attempt) && !j.stopping {
		d.endAttempt(j, Result{Kind: ResultFailed, Workers: []string{id}, Detail: "exit status 1"})
	}
}

// completeAttempt ends the attempt as completed, as soon as all its workers send reports.
func (d *driver) completeAttempt(j *simJob, attempt uint64) {
	if j.attempt != attempt || j.placement == nil || j.stopping {
		return
	}
	if !d.responsive(j, attempt) {
		d.after(time.Second, func() { d.completeAttempt(j, attempt) })
		return
	}
	d.endAttempt(j, Result{Kind: ResultCompleted})
}

// endAttempt ends the current attempt and reports the result.
func (d *driver) endAttempt(j *simJob, r Result) {
	if j.placement == nil {
		return
	}
	d.recordEnd(j, r)
	attempt := j.attempt
	d.timeCall(func() { d.planner.Ended(j.ID, attempt, r, d.now) })
}

// recordEnd ends the current attempt without reporting it to the planner.
func (d *driver) recordEnd(j *simJob, r Result) {
	d.addUsage(j, -1)
	if d.onEnd != nil {
		d.onEnd(j, r)
	}
	j.placement = nil
	ran := time.Duration(0)
	if !j.runningSince.IsZero() {
		ran = d.now.Sub(j.runningSince)
	}
	switch {
	case r.Kind == ResultCompleted:
		j.remaining = 0
	case r.Checkpointed:
		j.remaining = max(j.remaining-ran, 0)
	default:
		j.lostTime += ran
	}
	final := r.Kind == ResultFailed || r.Kind == ResultLost || r.Kind == ResultStopped && !r.Checkpointed
	j.ended = r.Kind == ResultCompleted || r.Kind == ResultUnknown || j.cancelRequested || j.RunOnce && final
	if j.ended {
		j.endedAt = d.now
		delete(d.live, j.ID)
	}
	j.mayRunAgain = j.mayRunAgain || r.Kind == ResultNotStarted || r.Kind == ResultStopped && r.Checkpointed
}

// stop ends the attempt after stopDelay, or after checkpointDelay if it saves its progress.
func (d *driver) stop(s Stop) {
	j := d.jobs[s.Job]
	if j == nil || j.attempt != s.Attempt || j.placement == nil {
		return
	}
	if d.onStop != nil {
		d.onStop(j, s)
	}
	j.stopping = true
	delay := d.stopDelay
	if s.Checkpoint {
		delay = d.checkpointDelay
	}
	d.after(delay, func() { d.finishStop(j, s) })
}

// finishStop ends the attempt as stopped, or as not started if its members never ran, as soon as all its workers send
// reports.
func (d *driver) finishStop(j *simJob, s Stop) {
	if j.attempt != s.Attempt || j.placement == nil {
		return
	}
	if !d.responsive(j, s.Attempt) {
		d.after(time.Second, func() { d.finishStop(j, s) })
		return
	}
	if j.runningSince.IsZero() {
		d.endAttempt(j, Result{Kind: ResultNotStarted})
		return
	}
	d.endAttempt(j, Result{Kind: ResultStopped, Checkpointed: s.Checkpoint})
}
