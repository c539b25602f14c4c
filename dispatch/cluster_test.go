package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

// cluster drives a core with simulated workers that execute commands at once and list their runs when asked to.
type cluster struct {
	t         testing.TB
	core      *Core
	now       time.Duration
	wallStart time.Time
	config    *workload.Config
	// evacuated holds the failure domains that the core knows as evacuated. Each rack is a domain.
	evacuated evacuation.Set
	workers   map[string]*simWorker
	// workerIDs holds the workers' ids in the order in which they were added.
	workerIDs []string
	// stored is the latest encoded state of each job, as a store would hold it, and phases the phase in it.
	stored   map[workload.JobID][]byte
	policies map[string]workload.QueuePolicy
	specs    map[workload.JobID]*workload.Job
	phases   map[workload.JobID]workload.Phase
	// submitted and endedAt are the times at which each job was submitted and its final phase was stored.
	submitted, endedAt map[workload.JobID]time.Duration
	// starts and stops hold the commands of all plans.
	starts []Start
	stops  []Stop
	// events holds all events.
	events []Event
	// appends is the number of appends with states, records and bytes that of the states and of their bytes.
	appends, records, bytes int
}

// simWorker is a simulated worker.
type simWorker struct {
	info         workload.WorkerInfo
	running      map[workload.RunRef]*simRun
	ended        []workload.EndedRun
	lastSequence int64
}

type simRun struct {
	percent    int
	checkpoint string
}

// workerSize is the capacity of a simulated worker.
var workerSize = resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 65_536}

const workersPerRack = 8

// newCluster returns a cluster of equal workers. A failed assertion of its core fails the test.
func newCluster(t testing.TB, workers int) *cluster {
	log := collectViolations(t)
	t.Cleanup(func() {
		for _, v := range log.Violations() {
			t.Errorf("assertion failed: %v", v)
		}
	})
	c := &cluster{
		t: t, core: New(Options{StopTimeout: time.Second}),
		wallStart: time.Unix(1_700_000_000, 0), now: time.Hour,
		workers: map[string]*simWorker{}, stored: map[workload.JobID][]byte{},
		policies: map[string]workload.QueuePolicy{},
		specs:    map[workload.JobID]*workload.Job{}, phases: map[workload.JobID]workload.Phase{},
		submitted: map[workload.JobID]time.Duration{}, endedAt: map[workload.JobID]time.Duration{},
	}
	c.config = &workload.Config{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "urgent", Service: "svc", Priority: 0, MaxFailedRuns: 2, SlackFactor: 1.5, Target: 250 * time.Millisecond},
			{Name: "normal", Service: "svc", Priority: 1, MaxFailedRuns: 3, SlackFactor: 3, Target: time.Second},
			{Name: "batch", Service: "svc", Priority: 2, MaxFailedRuns: 2, SlackFactor: 3, Target: 3 * time.Second},
		},
		Accounts: []workload.Account{{Name: "large", GuaranteedAccelerators: 32}, {Name: "small", GuaranteedAccelerators: 8}},
	}
	c.config.Index()
	c.configureCore()
	for i := range workers {
		c.addWorker(i)
	}
	return c
}

// configureCore sets the time and configuration of the core.
func (c *cluster) configureCore() {
	c.core.Advance(c.now, c.wall())
	c.core.SetConfig(c.config)
	c.core.SetEvacuations(c.evacuated)
}

// evacuate replaces the evacuated failure domains.
func (c *cluster) evacuate(domains ...string) {
	c.evacuated = evacuation.NewSet(domains...)
	c.core.SetEvacuations(c.evacuated)
}

func (c *cluster) wall() time.Time { return c.wallStart.Add(c.now) }

func (c *cluster) addWorker(i int) {
	id := fmt.Sprintf("w%02d", i)
	info := workload.WorkerInfo{
		ID: id, Address: id + ":1", Service: "svc", Rack: fmt.Sprintf("r%d", i/workersPerRack), Capacity: workerSize, Incarnation: 1,
		FailureDomain: fmt.Sprintf("d%d", i/workersPerRack),
	}
	c.workers[id] = &simWorker{info: info, running: map[workload.RunRef]*simRun{}}
	c.workerIDs = append(c.workerIDs, id)
	c.core.SetWorker(info)
	c.list(id)
}

// submit submits a job with one step.
func (c *cluster) submit(id, queue, account string, step workload.Step) {
	job := &workload.Job{ID: workload.JobID(id), Queue: queue, Service: "svc", Account: account, Steps: []workload.Step{step}, AcceptedAt: c.wall()}
	c.submitJob(job)
}

func (c *cluster) submitJob(job *workload.Job) {
	if err := job.Validate(); err != nil {
		c.t.Fatal(err)
	}
	if q := c.config.Queue(job.Queue); q != nil {
		job.SetPolicy(q.Policy(c.config.Version))
	}
	c.specs[job.ID] = job
	c.submitted[job.ID] = c.now
	c.core.AddJob(job, nil)
}

// advance moves the time forward by d.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	c.core.Advance(c.now, c.wall())
}

// plan makes a plan, stores the changed states and executes the plan's commands.
func (c *cluster) plan() Plan {
	plan := c.decide()
	for _, start := range plan.Starts {
		c.start(start)
	}
	for _, stop := range plan.Stops {
		c.stop(stop)
	}
	return plan
}

// decide makes a plan and stores the changed states without executing any command.
func (c *cluster) decide() Plan {
	plan := c.core.Plan()
	c.store()
	c.starts = append(c.starts, plan.Starts...)
	c.stops = append(c.stops, plan.Stops...)
	return plan
}

func (c *cluster) store() {
	for _, change := range c.core.TakePolicyChanges() {
		delete(c.policies, change.Queue)
		if change.Policy != nil {
			c.policies[change.Queue] = *change.Policy
		}
	}
	changes := c.core.TakeChanges()
	if len(changes) > 0 {
		c.appends++
	}
	for _, change := range changes {
		c.records++
		c.bytes += len(change.State)
		c.stored[change.ID] = change.State
		c.phases[change.ID] = change.Phase
		if _, known := c.endedAt[change.ID]; change.Phase.Final() && !known {
			c.endedAt[change.ID] = c.now
		}
	}
	c.events = append(c.events, c.core.TakeEvents()...)
}

func (c *cluster) start(start Start) {
	w := c.workers[start.Worker]
	if w == nil {
		return
	}
	w.running[start.Ref] = &simRun{checkpoint: start.Checkpoint}
	c.core.StartAccepted(start.Worker, start.Ref)
}

func (c *cluster) stop(stop Stop) {
	w := c.workers[stop.Worker]
	if w == nil {
		return
	}
	if w.running[stop.Ref] != nil {
		c.end(stop.Worker, stop.Ref, workload.EndStopped)
	}
	c.core.StopConfirmed(stop.Worker, stop.Ref)
}

// end makes a worker end a run; the core learns of it from the next listing.
func (c *cluster) end(worker string, ref workload.RunRef, reason workload.EndReason) {
	w := c.workers[worker]
	run := w.running[ref]
	if run == nil {
		c.t.Fatalf("%s does not run %v", worker, ref)
	}
	delete(w.running, ref)
	w.lastSequence++
	w.ended = append(w.ended, workload.EndedRun{RunRef: ref, Sequence: w.lastSequence, Reason: reason, Checkpoint: run.checkpoint})
}

// list passes a worker's listing to the core.
func (c *cluster) list(worker string) {
	c.core.ApplyListing(worker, c.now, c.listing(worker))
}

// listing returns a worker's current listing.
func (c *cluster) listing(worker string) *workload.Listing {
	w := c.workers[worker]
	listing := &workload.Listing{Incarnation: w.info.Incarnation, ClockMS: c.now.Milliseconds(), Ended: w.ended}
	for ref, run := range w.running {
		listing.Running = append(listing.Running, workload.RunningRun{RunRef: ref, Percent: run.percent, Checkpoint: run.checkpoint})
	}
	slices.SortFunc(listing.Running, func(a, b workload.RunningRun) int { return compareRefs(a.RunRef, b.RunRef) })
	return listing
}

func (c *cluster) listAll() {
	for _, id := range c.workerIDs {
		c.list(id)
	}
}

// placed maps the running runs of a job to their workers.
func (c *cluster) placed(id string) map[workload.RunRef]string {
	placed := map[workload.RunRef]string{}
	for worker, w := range c.workers {
		for ref := range w.running {
			if ref.Task.Job == workload.JobID(id) {
				placed[ref] = worker
			}
		}
	}
	return placed
}

// endAll ends all runs of a job.
func (c *cluster) endAll(id string, reason workload.EndReason) {
	for ref, worker := range c.placed(id) {
		c.end(worker, ref, reason)
	}
}

// takeOver replaces the core by a new one that knows only the stored states and the registered workers.
func (c *cluster) takeOver() {
	c.core = New(Options{StopTimeout: time.Second})
	c.configureCore()
	for _, id := range c.workerIDs {
		c.core.SetWorker(c.workers[id].info)
	}
	for queue, policy := range c.policies {
		c.core.RestorePolicy(queue, policy)
	}
	for _, id := range slices.Sorted(maps.Keys(c.specs)) {
		spec := c.specs[id]
		state, err := c.storedState(id)
		if err != nil {
			c.t.Fatal(err)
		}
		c.core.AddJob(spec, state)
	}
}

func (c *cluster) storedState(id workload.JobID) (*workload.JobState, error) {
	if c.stored[id] == nil {
		return nil, nil
	}
	return workload.DecodeState(c.stored[id])
}

func tasks(n, accelerators int) workload.Step {
	return workload.Step{
		Tasks: n, Estimate: 2 * time.Second,
		Demand: resource.Resources{Accelerators: accelerators, MilliCPU: 1000, MemoryMB: 1000},
	}
}

func gangOf(n, accelerators int) workload.Step {
	s := tasks(n, accelerators)
	s.Gang = true
	s.SameRack = true
	return s
}
