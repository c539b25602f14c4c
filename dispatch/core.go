// Package dispatch decides where the tasks of queued jobs run.
//
// Core is a state machine without I/O, clock or goroutines. Its owner reports submissions, cancellations, what workers
// list and how they answered orders, and asks for a Plan; it stores the changed job states, and only then sends the
// plan's starts. The same calls in the same order give the same plans. A Core is not safe for concurrent use.
//
//   - core.go: the records and the reports about jobs and configuration
//   - workers.go: workers, their listings and their loss
//   - units.go: the life of a unit from its start to its end
//   - plan.go: which steps are tried in which order
//   - place.go: where the tasks of a step fit
//   - search.go: searches for room that are known to fail
//   - reclaim.go: which work is stopped for urgent work
//   - assert.go: assertions on starts
//   - watch.go: workers that fail or hang what they run
//   - rate.go: workers that run tasks slowly
//   - move.go: runs that are taken off slow workers
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// Params are the bounds of the deployment that decisions depend on.
type Params struct {
	// StopTimeout bounds the time between a stop and the end of the run.
	StopTimeout time.Duration
}

// Start tells a worker to begin a run.
type Start struct {
	Ref           workload.RunRef
	Worker        string
	Specification string
	Checkpoint    string
}

// Stop tells a worker to end a run.
type Stop struct {
	Ref    workload.RunRef
	Worker string
	Reason string
}

// Plan is what has to be done. Starts must not be sent before the states of TakeChanges are stored; stops may be sent at
// once.
type Plan struct {
	Starts []Start
	Stops  []Stop
}

// Change is a job state to store.
type Change struct {
	ID    workload.JobID
	Phase workload.Phase
	State []byte
}

// Core holds the decisions' state.
type Core struct {
	params  Params
	config  *workload.Config
	now     time.Duration
	wall    time.Time
	workers map[string]*worker
	// order holds the workers sorted by id, so that equal inputs give equal plans.
	order []*worker
	jobs  map[workload.JobID]*job
	// ended holds when jobs were seen to have ended. Reports about them may still arrive, with states from before the end.
	ended map[workload.JobID]time.Duration
	// queue holds the unfinished jobs by time of acceptance.
	queue   []*job
	changed map[workload.JobID]*job
	starts  []Start
	stops   []Stop
	// accountUse counts the accelerators that running priority 0 work of each account holds.
	accountUse map[string]int
	// freeAccelerators are free on workers that take work, as of the current plan.
	freeAccelerators int
	// busyShare is the share of accelerators in use, as of the current plan.
	busyShare       float64
	stallsCheckedAt time.Duration
	// racks is the number of racks with workers in the list.
	racks int
	// manySuspects reports that quarantine is lifted, because too many workers would be left out.
	manySuspects bool
	// manySlow reports that slow workers take work all the same, because too many would be left out.
	manySlow bool
	// typical holds what the runs of each queue usually do.
	typical map[string]*typicalRate
	// failed remembers the searches of the current plan that found no room.
	failed failedSearches
	events []Event
}

// Event is a change of belief that the owner logs.
type Event struct {
	Name   string
	Job    workload.JobID
	Worker string
	Detail string
}

type job struct {
	spec  *workload.Job
	queue workload.Queue
	phase workload.Phase
	// runs holds one entry a repetition that was materialised.
	runs       [][]*step
	placements int
}

type step struct {
	job        *job
	spec       *workload.Step
	repetition int
	index      int
	units      []*unit
	done       bool
	// readySince is when the step's predecessors were done; -1 before that.
	readySince time.Duration
	claim      *claim
	// reclaimFailedAt is when no work worth stopping was last found for the step.
	reclaimFailedAt time.Duration
	// rank and turn are the step's place in the order of the current plan.
	rank int
	turn time.Time
}

type unit struct {
	step *step
	// index is the task's index; 0 for a gang.
	index      int
	size       int
	state      workload.UnitState
	placements []*placement
	// collapsing units wait until all their placements are gone.
	collapsing bool
	// startedAt is when the current run was decided.
	startedAt time.Duration
	avoid     map[string]int
}

// placement is one member of a run on a worker.
type placement struct {
	unit   *unit
	member int
	ref    workload.RunRef
	worker *worker
	// confirmedAt is when the worker answered the start or a stop; negative before that. A list that shows the run is no
	// such answer: another attempt of the start may arrive after the worker's process has restarted.
	confirmedAt time.Duration
	// unverified placements were restored after a takeover and not seen since.
	unverified bool
	stopping   bool
	stopReason string
	// stoppedAt is when the stop was last ordered.
	stoppedAt time.Duration
	// finished placements belong to a unit that is done; their own end is still to be listed.
	finished bool
	orphan   resource.Resources

	// percent is the progress last listed, percentAt when it was first listed, on the worker's clock; negative before that.
	percent   int
	percentAt time.Duration
	// window begins the measurement of the run's rate; rate is the last normal one, in percent a second, 0 if unknown.
	window rateWindow
	rate   float64
	// slowRate is the present rate of a slow run, usualRate what it should be; slowRate is 0 for other runs.
	slowRate, usualRate float64
}

// never stands for a time that has not come.
const never = time.Duration(-1)

// New returns an empty core.
func New(params Params) *Core {
	return &Core{
		params:     params,
		config:     &workload.Config{},
		workers:    map[string]*worker{},
		jobs:       map[workload.JobID]*job{},
		ended:      map[workload.JobID]time.Duration{},
		changed:    map[workload.JobID]*job{},
		accountUse: map[string]int{},
		typical:    map[string]*typicalRate{},
	}
}

// Advance sets the time of the following calls: now on a clock that never goes back, wall for due times.
func (c *Core) Advance(now time.Duration, wall time.Time) {
	c.now = max(c.now, now)
	c.wall = wall
}

// SetConfig makes a version of the configuration current.
func (c *Core) SetConfig(config *workload.Config) {
	c.config = config
	for _, j := range c.queue {
		if q := config.Queue(j.spec.Queue); q != nil {
			j.queue = *q
		}
	}
}

// Knows reports whether the core has the job, as unfinished or as ended.
func (c *Core) Knows(id workload.JobID) bool {
	_, ended := c.ended[id]
	return ended || c.jobs[id] != nil
}

// TakeEnded forgets the jobs that ended before the given time and returns their ids.
func (c *Core) TakeEnded(before time.Duration) []workload.JobID {
	var ids []workload.JobID
	for id, at := range c.ended {
		if at < before && c.jobs[id] == nil {
			ids = append(ids, id)
			delete(c.ended, id)
		}
	}
	return ids
}

// AddJob takes on a job unless the core knows it. state is nil for a job that was never started.
func (c *Core) AddJob(spec *workload.Job, state *workload.JobState) {
	if c.Knows(spec.ID) {
		return
	}
	if state != nil && state.Phase.Final() {
		c.ended[spec.ID] = c.now
		return
	}
	j := &job{spec: spec, queue: workload.Queue{Name: spec.Queue, Service: spec.Service, MaxAttempts: 1}}
	if q := c.config.Queue(spec.Queue); q != nil {
		j.queue = *q
	}
	if state != nil {
		c.restore(j, state)
	}
	c.jobs[spec.ID] = j
	at, _ := slices.BinarySearchFunc(c.queue, j, compareAcceptance)
	c.queue = slices.Insert(c.queue, at, j)
}

func compareAcceptance(a, b *job) int {
	return cmp.Or(a.spec.AcceptedAt.Compare(b.spec.AcceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
}

// CancelJob stops all that runs of the job and starts no more of it.
func (c *Core) CancelJob(id workload.JobID) {
	j := c.jobs[id]
	if j == nil || j.phase.Final() {
		return
	}
	c.finish(j, workload.PhaseCancelled)
}

// finish makes the phase final and stops what still runs.
func (c *Core) finish(j *job, phase workload.Phase) {
	j.phase = phase
	c.ended[j.spec.ID] = c.now
	c.markChanged(j)
	for _, steps := range j.runs {
		for _, s := range steps {
			s.claim = nil
			c.stopStep(s, phase.String())
		}
	}
	c.removeIfOver(j)
}

func (c *Core) stopStep(s *step, reason string) {
	for _, u := range s.units {
		if u.state.Status == workload.UnitDone {
			continue
		}
		for _, p := range slices.Clone(u.placements) {
			if !p.finished {
				c.stop(p, reason)
			}
		}
	}
}

// removeIfOver forgets a job that has ended and of which nothing runs any more.
func (c *Core) removeIfOver(j *job) {
	if !j.phase.Final() || j.placements > 0 {
		return
	}
	if c.jobs[j.spec.ID] != j {
		return
	}
	delete(c.jobs, j.spec.ID)
	if at := slices.Index(c.queue, j); at >= 0 {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

func (c *Core) markChanged(j *job) { c.changed[j.spec.ID] = j }

// TakeChanges returns the states that changed since the last call, in the order of job ids.
func (c *Core) TakeChanges() []Change {
	changes := make([]Change, 0, len(c.changed))
	for id, j := range c.changed {
		state := j.export()
		changes = append(changes, Change{ID: id, Phase: j.phase, State: state.Encode()})
	}
	clear(c.changed)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// TakeEvents returns the changes of belief since the last call.
func (c *Core) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Core) event(e Event) { c.events = append(c.events, e) }

// export returns the durable state of the job. A final state needs no units.
func (j *job) export() *workload.JobState {
	state := &workload.JobState{Phase: j.phase}
	if j.phase.Final() {
		return state
	}
	for _, steps := range j.runs {
		exported := make([]workload.StepState, len(steps))
		for i, s := range steps {
			exported[i] = s.export()
		}
		state.Runs = append(state.Runs, exported)
	}
	return state
}

func (s *step) export() workload.StepState {
	if s.done {
		return workload.StepState{Done: true}
	}
	var state workload.StepState
	for _, u := range s.units {
		state.Units = append(state.Units, u.export())
	}
	return state
}

func (u *unit) export() workload.UnitState {
	state := u.state
	state.Workers = nil
	if state.Status != workload.UnitActive {
		return state
	}
	state.Workers = make([]string, u.size)
	for _, p := range u.placements {
		state.Workers[p.member] = p.worker.id
	}
	return state
}

// materialise creates the records of the job's repetitions up to and including the given one.
func (j *job) materialise(repetition int) {
	for k := len(j.runs); k <= repetition; k++ {
		steps := make([]*step, len(j.spec.Steps))
		for i := range steps {
			steps[i] = newStep(j, k, i)
		}
		j.runs = append(j.runs, steps)
	}
}

func newStep(j *job, repetition, index int) *step {
	s := &step{job: j, spec: &j.spec.Steps[index], repetition: repetition, index: index, readySince: never, reclaimFailedAt: never}
	if s.spec.Gang {
		s.units = []*unit{{step: s, size: s.spec.Tasks}}
		return s
	}
	s.units = make([]*unit, s.spec.Tasks)
	for i := range s.units {
		s.units[i] = &unit{step: s, index: i, size: 1}
	}
	return s
}

// restore rebuilds the records of a job from its durable state. What was active counts as running until a listing or
// the end of the worker's lease says otherwise.
func (c *Core) restore(j *job, state *workload.JobState) {
	j.phase = state.Phase
	if len(state.Runs) > j.spec.Runs() {
		return
	}
	j.materialise(len(state.Runs) - 1)
	for k, steps := range state.Runs {
		for i := range min(len(steps), len(j.runs[k])) {
			c.restoreStep(j.runs[k][i], &steps[i])
		}
	}
}

func (c *Core) restoreStep(s *step, state *workload.StepState) {
	if state.Done {
		s.done = true
		for _, u := range s.units {
			u.state.Status = workload.UnitDone
		}
		return
	}
	for i := range min(len(state.Units), len(s.units)) {
		c.restoreUnit(s.units[i], state.Units[i])
	}
}

func (c *Core) restoreUnit(u *unit, state workload.UnitState) {
	u.state = state
	u.state.Workers = nil
	if state.Status != workload.UnitActive {
		return
	}
	u.startedAt = c.now
	for member, name := range state.Workers {
		if name == "" || member >= u.size {
			// The member had ended when the state was stored, so that the run was being ended.
			u.collapsing = true
			continue
		}
		p := u.newPlacement(member, c.workerOf(name))
		p.unverified = true
		c.attach(p)
	}
	if len(u.placements) == 0 {
		u.state.Status = workload.UnitWaiting
		u.collapsing = false
		return
	}
	if u.collapsing {
		c.collapse(u, "incomplete run after takeover")
	}
}
