// Package dispatch decides when and on which workers the tasks of queued jobs run.
//
// Core is a deterministic state machine: it does no I/O, reads no clock and starts no goroutines. Its owner reports
// submissions, cancellations, worker listings and responses to start and stop commands, and calls Plan. The owner must
// store the changed job states before it sends the plan's starts. The same calls in the same order yield the same plans.
// A Core is not safe for concurrent use.
//
//   - core.go: the data structures, and updates of jobs and configuration
//   - event.go: what the owner logs and counts
//   - state.go: the durable state of jobs
//   - policy.go: the settings of queues that jobs keep
//   - workers.go: workers, their listings and their loss
//   - begin.go: what shows that a job has begun, and when that is stored
//   - units.go: the life cycle of a unit from start to end
//   - repetitions.go: which repetitions of a job have steps in memory
//   - plan.go: the order in which waiting steps are tried
//   - overload.go: the order while a service lacks capacity, and the forecast
//   - startlimit.go: how many tasks are under way at once
//   - place.go: placement of a step's tasks on workers
//   - fit.go: the penalties that rank workers, and the choice of the members of a gang
//   - utilization.go: what is in use of each service
//   - reserve.go: free capacity that is kept for blocked gangs
//   - search.go: cache of placement searches that failed within a plan
//   - reclaim.go: stops of running work for urgent work
//   - assert.go: assertions on starts
//   - health.go: quarantine of workers on which runs fail or stall
//   - pace.go: the speeds of workers and the paces of tasks that are learned from runs
//   - rate.go: detection of workers that are slow now, and their exclusion
//   - capacity.go: capacity that shrinks, and the age of what is known of it
//   - crash.go: attribution of a worker's crash to the tasks that ran there
//   - evacuation.go: failure domains whose workers get no work
//   - cold.go: the limit on the work of workers that are slow after their start
//   - move.go: migration of runs away from slow workers
//   - drain.go: migration of runs away from workers that are about to leave
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workerspeed"
	"github.com/redwingthread/redwingthread/workload"
)

// Options are the deployment settings that decisions depend on.
type Options struct {
	// StopTimeout is the longest time between a stop command and the end of the run.
	StopTimeout time.Duration
	// MaxActiveTasks bounds the tasks of one job whose repetitions overlap; 0 means no bound. A repetition that would exceed
	// it waits until earlier ones have ended.
	MaxActiveTasks int
	// A worker that is cold after its start may get at most ColdOverage times the tasks that a warm worker gets meanwhile, plus
	// ColdSlack; there is no limit if ColdOverage is 0.
	ColdOverage, ColdSlack float64
}

// Start is a command that tells a worker to begin a run, from the checkpoint unless that is empty. It is meant only for the worker's
// process with the given incarnation: what was decided by may not hold for another one, and its runs and leases are not known.
type Start struct {
	Ref           workload.RunRef
	Worker        string
	Incarnation   int64
	Specification string
	Checkpoint    string
	// Repeated is true if an earlier holder may have sent the start.
	Repeated bool
	// Urgent is true for work of priority 0.
	Urgent bool
}

// Stop is a command that tells a worker to end a run. Reason is only for the log.
type Stop struct {
	Ref    workload.RunRef
	Worker string
	Reason string
}

// Plan holds the commands to send. Starts must not be sent before the states returned by TakeChanges are stored; stops
// may be sent at once.
type Plan struct {
	Starts []Start
	Stops  []Stop
}

// Change is a changed job state that the owner must store.
type Change struct {
	ID    workload.JobID
	Phase workload.Phase
	State []byte
}

// Core holds the scheduling state of all unfinished jobs and known workers.
type Core struct {
	options Options
	config  *workload.Config
	now     time.Duration
	wall    time.Time
	workers map[string]*worker
	// sortedWorkers holds the same workers in order of id, so that equal inputs give equal plans.
	sortedWorkers []*worker
	jobs          map[workload.JobID]*job
	// ended holds the ended jobs. They are kept because a job may still be added again with a state from before its end, and
	// because workers may still list runs of it.
	ended map[workload.JobID]endedJob
	// overlap is what all active repetitions beyond the first one of each job take, in units of package footprint.
	overlap int
	// placed is the number of placements that belong to units, placedUrgent that of priority 0.
	placed, placedUrgent int
	// startsLimited is set if the step that is being tried would have started more but for a limit on starts.
	startsLimited bool
	// sortedJobs holds the same jobs as jobs in order of acceptance.
	sortedJobs []*job
	// changed holds the jobs whose states have changed since the last call of TakeChanges.
	changed map[workload.JobID]*job
	// unstoredBegins holds the jobs that have begun and whose states have not changed otherwise since; see markBegins.
	unstoredBegins map[workload.JobID]*job
	// policies maps the names of queues to their last policies, as far as they differ from those with which jobs were accepted.
	// changedPolicies holds the names of those that have changed since the last call of TakePolicyChanges.
	policies        map[string]workload.QueuePolicy
	changedPolicies map[string]bool
	// starts and stops hold the commands issued since the last call of Plan.
	starts []Start
	stops  []Stop
	// accountUse maps each account to the number of accelerators that its placed priority 0 work uses.
	accountUse map[string]int
	// freeAccelerators is the number of free accelerators on workers that accept work and are not excluded, as of the
	// current plan.
	freeAccelerators int
	// utilization is the fraction of accelerators in use, 0 to 1, as of the current plan.
	utilization     float64
	stallsCheckedAt time.Duration
	// workersReadAt is when the worker list was last known to be complete; 0 before that.
	workersReadAt time.Duration
	// startsSuspended is true while nothing is started or moved because the worker list is stale or the evacuations are not known.
	startsSuspended bool
	// evacuations holds the evacuated failure domains; evacuationsUnknown is true while they are not known for certain.
	evacuations        evacuation.Set
	evacuationsUnknown bool
	// racks is the number of racks with registered workers that are not evacuated, evacuatedRacks holds those of which all workers are.
	racks          int
	evacuatedRacks map[string]bool
	// warmShares maps each service to what its warm workers get.
	warmShares map[string]*warmShare
	// tooManyQuarantined is set if quarantine is not applied because it would exclude too many workers.
	tooManyQuarantined bool
	// tooManySlow is set if slow workers are not excluded because there are too many of them.
	tooManySlow bool
	// typicalPaces maps the name of each queue to the typical pace of its runs.
	typicalPaces map[string]*typicalPace
	// speeds holds the learned speeds of the workers, hardware that from which they were learned.
	speeds   *workerspeed.Estimator
	hardware map[string]hardware
	// serviceUse maps each service to what is in use of it, as of the current plan.
	serviceUse map[string]*serviceUse
	// lowStarts counts what became of runs with low first paces.
	lowStarts lowStarts
	// gangRemaining caches the expected remaining times of gangs for the current plan.
	gangRemaining map[*unit]time.Duration
	// searchCache caches the searches of the current plan that found no room.
	searchCache  failedSearches
	reservations reservations
	overload     overloadState
	events       []Event
}

type job struct {
	spec        *workload.Job
	policy      workload.QueuePolicy
	phase       workload.Phase
	repetitions repetitions
	// placements is the number of placements of all units of the job.
	placements int
	// begun is true once a worker has accepted a start of the job, or has listed one of its runs or the end of one; begunAt is when the
	// core learned of it.
	begun   bool
	begunAt time.Duration
	// unprovenRuns is the number of runs restored from the state of an earlier version that are yet to show whether the job has begun;
	// see restoreBegin.
	unprovenRuns int
	// chains and work describe one repetition of the job.
	chains overload.Chains
	work   overload.Load
}

// endedJob is a job that has ended. maxDemand is the largest demand of any of its tasks, endedAt when the core learned of the end.
type endedJob struct {
	maxDemand resource.Resources
	endedAt   time.Duration
}

type step struct {
	job        *job
	spec       *workload.Step
	repetition int
	index      int
	units      []*unit
	// done is true once all units have ended successfully.
	done bool
	// readySince is when the step's predecessors were found to be done; before that it is the constant never.
	readySince time.Duration
	// claim is the capacity that is kept for the step; nil for none.
	claim *claim
	// reclaimFailedAt is when the last search for work to stop for this step failed; the constant never if none has failed.
	reclaimFailedAt time.Duration
	// pace is what the measured runs of the step show of its relative pace on a worker of speed 1.
	pace workerspeed.Level
	// rank is the place of the step in the order of the current plan, class the class of its job; OnTime unless its service is overloaded.
	rank  overload.Rank
	class overload.Class
	// reservedAt is when the step last reserved capacity, reservedSince since when it has done so without a break; the constant never
	// before that.
	reservedAt, reservedSince time.Duration
}

// unit is a set of tasks that start and end together: one task, or all tasks of a gang.
type unit struct {
	step *step
	// index is the task's index within the step; 0 for a gang.
	index int
	// size is the number of tasks.
	size int
	// state is the durable state, except for Workers, which export derives from placements.
	state      workload.UnitState
	placements []*placement
	// aborting reports that the current run is being stopped; the unit waits until all its placements are gone.
	aborting bool
	// startedAt is when the start of the current run was decided.
	startedAt time.Duration
	// begun is true once a worker has shown that a member of the current run has begun.
	begun bool
	// turn is what the start of the current run counted as in the turns of an overloaded service.
	turn countedTurn
	// avoid counts for each worker id the runs of the unit that failed, stalled, were slow or were rejected there.
	avoid map[string]int
}

// placement is one member of a unit's run on a worker, or a listed run that belongs to no unit.
type placement struct {
	// unit is nil for a listed run that belongs to no unit.
	unit   *unit
	member int
	ref    workload.RunRef
	worker *worker
	// incarnation is that of the worker's process for which the start was decided; 0 if it is not known.
	incarnation int64
	// confirmedAt is when the worker responded to the start or a stop; the constant never before that. A listing that
	// contains the run does not count: another attempt of the start may arrive after the worker's process has restarted.
	confirmedAt time.Duration
	// beganAt is when the core learned that the run had begun: the worker accepted the start, or listed the run; the constant never before
	// that. Of a restored run it is the time of the takeover.
	beganAt time.Duration
	// restored is true if an earlier holder has started the run, at a time that is not known.
	restored bool
	// warmShare is what the start added to the share of the warm workers of its service.
	warmShare float64
	// awaiting is true while a start was issued and the worker has not responded to it.
	awaiting bool
	// unverified placements were restored after a takeover, and their worker has not listed its runs since.
	unverified bool
	// stopping is true once a stop has been issued. The capacity stays in use until the end of the run is listed.
	stopping   bool
	stopReason string
	// processEnded is true if the process that the start was meant for has ended, until a listing has the run.
	processEnded bool
	// restartUnhandled is true if that process has been replaced and handleRestart has not been called for the run yet.
	restartUnhandled bool
	// crashCounted is true once a crash of the worker was counted against the run's task.
	crashCounted bool
	// stopSentAt is when the stop command was last issued.
	stopSentAt time.Duration
	// gangDone is true if the gang of the placement is done but the end of this member has not been listed yet.
	gangDone bool
	// orphanDemand is the demand of a listed run that belongs to no unit; zero if its job is unknown.
	orphanDemand resource.Resources

	// percent is the latest listed progress, 0 to 100. percentAt is the worker's clock when that value was first listed;
	// the constant never before the first listing.
	percent   int
	percentAt time.Duration
	// firstPercent is the progress in the run's first listing, firstPercentAt the worker's clock at that listing.
	firstPercent   int
	firstPercentAt time.Duration
	// partial is true if the run had progress when the unit's startedAt began: it resumed from a checkpoint, or was restored.
	partial bool
	runPace
}

// never is the time of an event that has not happened yet.
const never = time.Duration(-1)

// New returns an empty core.
func New(options Options) *Core {
	return &Core{
		options: options,
		config:  &workload.Config{},
		workers: map[string]*worker{},
		jobs:    map[workload.JobID]*job{},
		ended:   map[workload.JobID]endedJob{},
		changed: map[workload.JobID]*job{}, unstoredBegins: map[workload.JobID]*job{},
		policies: map[string]workload.QueuePolicy{}, changedPolicies: map[string]bool{},
		accountUse:    map[string]int{},
		typicalPaces:  map[string]*typicalPace{},
		speeds:        workerspeed.New(),
		hardware:      map[string]hardware{},
		gangRemaining: map[*unit]time.Duration{},
		serviceUse:    map[string]*serviceUse{},
		reservations:  reservations{since: map[string]time.Duration{}},
		overload:      newOverloadState(),
		warmShares:    map[string]*warmShare{},
	}
}

// Advance sets the time for the calls that follow: now on a monotonic clock, which never goes back, and wall for due times.
func (c *Core) Advance(now time.Duration, wall time.Time) {
	c.now = max(c.now, now)
	c.wall = wall
}

// HasJob reports whether the core knows the job, be it unfinished or ended.
func (c *Core) HasJob(id workload.JobID) bool {
	_, ended := c.ended[id]
	return ended || c.jobs[id] != nil
}

// TakeEnded returns the ids of the jobs whose end the core learned of before the given time, and forgets them. Jobs with
// placements left are not included.
func (c *Core) TakeEnded(before time.Duration) []workload.JobID {
	var ids []workload.JobID
	for id, job := range c.ended {
		if job.endedAt < before && c.jobs[id] == nil {
			ids = append(ids, id)
			delete(c.ended, id)
		}
	}
	return ids
}

// AddJob adds a job unless the core already knows it. state is the job's stored state; nil if nothing of it was started.
func (c *Core) AddJob(spec *workload.Job, state *workload.JobState) {
	if c.HasJob(spec.ID) {
		return
	}
	if state != nil && state.Phase.Final() {
		c.ended[spec.ID] = endedJob{maxDemand: spec.MaxDemand(), endedAt: c.now}
		return
	}
	j := &job{spec: spec, policy: c.policyOf(spec), chains: overload.NewChains(spec.Steps), work: workOf(spec, overload.MaxEstimate)}
	c.keepPolicy(j)
	c.overload.noteJob(j, c.wall)
	if state != nil {
		c.restore(j, state)
	}
	c.jobs[spec.ID] = j
	at, _ := slices.BinarySearchFunc(c.sortedJobs, j, compareAcceptance)
	c.sortedJobs = slices.Insert(c.sortedJobs, at, j)
}

func compareAcceptance(a, b *job) int {
	return cmp.Or(a.spec.AcceptedAt.Compare(b.spec.AcceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
}

// CancelJob stops all runs of the job and starts no more. It has no effect on a job that is unknown or has ended.
func (c *Core) CancelJob(id workload.JobID) {
	j := c.jobs[id]
	if j == nil || j.phase.Final() {
		return
	}
	c.finishJob(j, workload.PhaseCancelled)
}

// finishJob sets a final phase and stops the job's remaining runs. Until these have ended, only what they need is kept of the job.
func (c *Core) finishJob(j *job, phase workload.Phase) {
	j.phase = phase
	c.ended[j.spec.ID] = endedJob{maxDemand: j.spec.MaxDemand(), endedAt: c.now}
	c.markChanged(j)
	for _, r := range j.repetitions.active {
		for _, s := range r.steps {
			s.claim = nil
			c.stopStep(s, phase.String())
		}
	}
	c.forgetUnplaced(j)
	c.removeIfFinished(j)
}

// stopStep stops the runs of all units of the step that are not done.
func (c *Core) stopStep(s *step, reason string) {
	for _, u := range s.units {
		if u.state.Status == workload.UnitDone {
			continue
		}
		for _, p := range slices.Clone(u.placements) {
			if !p.gangDone {
				c.stop(p, reason)
			}
		}
	}
}

// removeIfFinished removes a job that has ended and has no placements left.
func (c *Core) removeIfFinished(j *job) {
	if !j.phase.Final() || j.placements > 0 {
		return
	}
	if c.jobs[j.spec.ID] != j {
		return
	}
	delete(c.jobs, j.spec.ID)
	if at := slices.Index(c.sortedJobs, j); at >= 0 {
		c.sortedJobs = slices.Delete(c.sortedJobs, at, at+1)
	}
}

func (c *Core) markChanged(j *job) { c.changed[j.spec.ID] = j }

// TakeChanges returns the job states that changed since the last call, in order of job id. The begin of a job is returned up to
// beginStoreDelay later if nothing else of the job has changed.
func (c *Core) TakeChanges() []Change {
	c.markBegins()
	changes := make([]Change, 0, len(c.changed))
	for id, j := range c.changed {
		state := j.export()
		delete(c.unstoredBegins, id)
		changes = append(changes, Change{ID: id, Phase: j.phase, State: state.Encode()})
	}
	clear(c.changed)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

func newStep(j *job, repetition, index int) *step {
	s := &step{job: j, spec: &j.spec.Steps[index], repetition: repetition, index: index, readySince: never, reclaimFailedAt: never, reservedAt: never}
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
