package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
)

// driver carries out plans in virtual time: it starts, ends and stops attempts after fixed delays and reports back. It
// stands for the shell at the core's interface and models nothing below it.
type driver struct {
	planner Planner
	now     time.Time
	// pending holds the timers, the next one last.
	pending []timer
	tasks   map[string]*task
	// live holds the tasks that have not ended.
	live map[string]*task
	// used sums what attempts use on each worker by the driver's own account.
	used map[string]resource.Resources
	// quiet lists workers from which no report comes.
	quiet map[string]bool
	// startDelay is the time from a plan to running members; stopDelay and checkpointDelay are those of a stop.
	startDelay, stopDelay, checkpointDelay time.Duration
	// onStart, onStop, onEnd and onPlan observe; afterPlan runs after every plan was applied. Nil for none.
	onStart func(*task, Start)
	// fails names the worker on which an attempt fails, nil for none.
	fails     func(*task) (string, bool)
	onStop    func(*task, Stop)
	onEnd     func(*task, Result)
	onAdvance func(from, to time.Time)
	onPlan    func(Plan)
	// spent is the real time of the calls since the last plan; decided receives it with the plan's own.
	spent   time.Duration
	decided func(time.Duration)
	wake    time.Time
}

// task is the driver's record of a job: what it really needs and how it fares.
type task struct {
	jobs.Job
	// length is the true run time, left what of it remains after checkpoints.
	length, left time.Duration
	// bad makes every attempt fail.
	bad       bool
	arrived   time.Time
	attempt   uint64
	placement Placement
	// ran is when the members began to run, zero before.
	ran               time.Time
	stopping          bool
	ended             bool
	starts            int
	mayRunAgain       bool
	cancelled         bool
	firstStart, endAt time.Time
	wasted            time.Duration
}

type timer struct {
	at time.Time
	do func()
}

func newDriver(p Planner) *driver {
	return &driver{
		planner: p, now: testStart,
		tasks: map[string]*task{}, live: map[string]*task{}, used: map[string]resource.Resources{}, quiet: map[string]bool{},
		startDelay: time.Second, stopDelay: time.Second, checkpointDelay: 3 * time.Second,
	}
}

// after schedules do.
func (d *driver) after(delay time.Duration, do func()) {
	t := timer{d.now.Add(delay), do}
	i, _ := slices.BinarySearchFunc(d.pending, t, func(a, b timer) int { return cmp.Or(b.at.Compare(a.at), 1) })
	d.pending = slices.Insert(d.pending, i, t)
}

// call measures one call of the planner.
func (d *driver) call(f func()) {
	began := time.Now()
	f()
	d.spent += time.Since(began)
}

// run handles events until none is left or the time is reached.
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
		t.do()
		d.plan()
	}
}

// plan asks for a plan and carries it out.
func (d *driver) plan() {
	var p Plan
	d.call(func() { p = d.planner.Plan(d.now) })
	if d.decided != nil {
		d.decided(d.spent)
	}
	d.spent = 0
	for _, s := range p.Stops {
		d.stop(s)
	}
	for _, s := range p.Starts {
		d.start(s)
	}
	for _, s := range p.Condemned {
		d.tasks[s.Job].ended = true
		delete(d.live, s.Job)
	}
	if d.onPlan != nil {
		d.onPlan(p)
	}
	if next := p.NextCheck; !next.IsZero() && (!d.wake.After(d.now) || next.Before(d.wake)) {
		d.wake = next
		d.after(next.Sub(d.now), func() {})
	}
}

// submit hands in a task now. It reports whether the planner took it.
func (d *driver) submit(t *task) bool {
	t.arrived = d.now
	t.left = t.length
	t.mayRunAgain = true
	var err error
	d.call(func() { err = d.planner.Submit(t.Job, d.now) })
	if err != nil {
		return false
	}
	d.tasks[t.ID] = t
	d.live[t.ID] = t
	return true
}

func (d *driver) account(t *task, sign int) {
	for _, id := range t.placement {
		d.used[id] = d.used[id].Add(t.Shape.PerMember.Times(sign))
	}
}

// start begins an attempt: the members run after startDelay and end by themselves after what is left.
func (d *driver) start(s Start) {
	t := d.tasks[s.Job.ID]
	if d.onStart != nil {
		d.onStart(t, s)
	}
	t.attempt, t.placement, t.stopping = s.Attempt, s.Placement, false
	t.ran = time.Time{}
	t.starts++
	t.mayRunAgain = !t.RunOnce
	if t.firstStart.IsZero() {
		t.firstStart = d.now
	}
	d.account(t, 1)
	attempt := t.attempt
	d.after(d.startDelay, func() { d.running(t, attempt) })
}

// present reports whether the attempt is under way and its workers report.
func (d *driver) present(t *task, attempt uint64) bool {
	if t.attempt != attempt || t.placement == nil {
		return false
	}
	for _, id := range t.placement {
		if d.quiet[id] {
			return false
		}
	}
	return true
}

func (d *driver) running(t *task, attempt uint64) {
	if !d.present(t, attempt) || t.stopping {
		return
	}
	t.ran = d.now
	d.call(func() { d.planner.Started(t.ID, attempt, d.now) })
	if d.fails != nil {
		if id, ok := d.fails(t); ok {
			d.after(d.startDelay, func() { d.fail(t, attempt, id) })
			return
		}
	}
	d.after(t.left, func() { d.complete(t, attempt) })
}

// fail ends the attempt as failed on a worker.
func (d *driver) fail(t *task, attempt uint64, id string) {
	if d.present(t, attempt) && !t.stopping {
		d.end(t, Result{Kind: ResultFailed, Workers: []string{id}, Detail: "exit status 1"})
	}
}

func (d *driver) complete(t *task, attempt uint64) {
	if t.attempt != attempt || t.placement == nil || t.stopping {
		return
	}
	if !d.present(t, attempt) {
		d.after(time.Second, func() { d.complete(t, attempt) })
		return
	}
	d.end(t, Result{Kind: ResultCompleted})
}

// end reports the end of the present attempt.
func (d *driver) end(t *task, r Result) {
	if t.placement == nil {
		return
	}
	d.settle(t, r)
	attempt := t.attempt
	d.call(func() { d.planner.Ended(t.ID, attempt, r, d.now) })
}

// settle records the end of the present attempt without a report.
func (d *driver) settle(t *task, r Result) {
	d.account(t, -1)
	if d.onEnd != nil {
		d.onEnd(t, r)
	}
	t.placement = nil
	ran := time.Duration(0)
	if !t.ran.IsZero() {
		ran = d.now.Sub(t.ran)
	}
	switch {
	case r.Kind == ResultCompleted:
		t.left = 0
	case r.Checkpointed:
		t.left = max(t.left-ran, 0)
	default:
		t.wasted += ran
	}
	final := r.Kind == ResultFailed || r.Kind == ResultLost || r.Kind == ResultStopped && !r.Checkpointed
	t.ended = r.Kind == ResultCompleted || r.Kind == ResultUnknown || t.cancelled || t.RunOnce && final
	if t.ended {
		t.endAt = d.now
		delete(d.live, t.ID)
	}
	t.mayRunAgain = t.mayRunAgain || r.Kind == ResultNotStarted || r.Kind == ResultStopped && r.Checkpointed
}

// stop ends the attempt after the delay of a stop, longer with a checkpoint.
func (d *driver) stop(s Stop) {
	t := d.tasks[s.Job]
	if t == nil || t.attempt != s.Attempt || t.placement == nil {
		return
	}
	if d.onStop != nil {
		d.onStop(t, s)
	}
	t.stopping = true
	delay := d.stopDelay
	if s.Checkpoint {
		delay = d.checkpointDelay
	}
	d.after(delay, func() { d.stopped(t, s) })
}

func (d *driver) stopped(t *task, s Stop) {
	if t.attempt != s.Attempt || t.placement == nil {
		return
	}
	if !d.present(t, s.Attempt) {
		d.after(time.Second, func() { d.stopped(t, s) })
		return
	}
	if t.ran.IsZero() {
		d.end(t, Result{Kind: ResultNotStarted})
		return
	}
	d.end(t, Result{Kind: ResultStopped, Checkpointed: s.Checkpoint})
}
