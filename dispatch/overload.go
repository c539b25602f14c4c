package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workerspeed"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// overloadInterval is the time between two checks for services that lack capacity.
	overloadInterval = 250 * time.Millisecond
	// overloadDelay is how long a service must lack room for its waiting work to count as overloaded, and calmDelay how long it must have
	// had room to count as calm again: an order that changes from plan to plan would keep gangs from collecting room.
	overloadDelay = time.Second
	calmDelay     = 3 * time.Second
	// reservationBreak is the longest break between two reservations of a step after which it still counts as reserving.
	reservationBreak = 500 * time.Millisecond
	// turnCredit bounds the hopeless work that starts at once when its turn comes, in seconds of the service's capacity.
	turnCredit = 2
	// meanWorkJobs is the number of the latest jobs of a queue that its mean work follows.
	meanWorkJobs = 100
)

// overloadState tracks which services lack capacity, and what the order of their work depends on. All of it is in memory: the next
// holder of the schedule derives it anew.
type overloadState struct {
	checkedAt time.Duration
	services  map[string]*serviceLoad
	// meanWork maps the name of each queue to the mean work of its jobs, in seconds of cores.
	meanWork map[string]*meanWork
	// durations maps the name of each queue to the durations of its runs.
	durations map[string]*queueDuration
	// inflow maps each service to the work that arrives of each priority.
	inflow map[string]map[int]*overload.Inflow
	// ready holds the ready steps of the current plan in their order.
	ready []*step
}

func newOverloadState() overloadState {
	return overloadState{
		services: map[string]*serviceLoad{}, meanWork: map[string]*meanWork{}, durations: map[string]*queueDuration{},
		inflow: map[string]map[int]*overload.Inflow{},
	}
}

// serviceLoad is what is known of the load of a service for which work has waited.
type serviceLoad struct {
	// overloaded is true while the service lacks room for its waiting work.
	overloaded bool
	// changedAt is when waiting work last ceased to fit, or fitted again, contrary to overloaded; the constant never if it has not.
	changedAt time.Duration
	// waiting is the demand of the waiting tasks, free and capacity that of the workers that accept work, as of the last check.
	waiting, free, capacity resource.Resources
	turns                   overload.Turns
	margins                 overload.Margins
}

// meanWork is a running mean over the jobs of a queue.
type meanWork struct {
	jobs  int
	value float64
}

func (m *meanWork) observe(work float64) {
	m.jobs = min(m.jobs+1, meanWorkJobs)
	m.value += (work - m.value) / float64(m.jobs)
}

// queueDuration is how long the runs of a queue take on a worker of speed 1, relative to their estimates, as a logarithm. A gang takes as
// long as its slowest member, so this differs from the typical pace of its tasks.
type queueDuration struct {
	runs  int
	level workerspeed.Level
}

// workOf returns the work of one repetition of the job, by the estimates of its caller. Tasks that run until they are cancelled count
// as none, others for at most the limit.
func workOf(spec *workload.Job, limit time.Duration) overload.Load {
	var work overload.Load
	for i := range spec.Steps {
		work = work.Add(taskWork(&spec.Steps[i], limit).Times(float64(spec.Steps[i].Tasks)))
	}
	return work
}

// taskWork returns the work of one task of the step within the limit.
func taskWork(s *workload.Step, limit time.Duration) overload.Load {
	if s.LongRunning {
		return overload.Load{}
	}
	return loadOf(s.EffectiveDemand()).Times(min(max(0, s.Estimate), limit).Seconds())
}

func loadOf(r resource.Resources) overload.Load {
	return overload.Load{Accelerators: float64(r.Accelerators), Cores: float64(r.MilliCPU) / 1000}
}

// inCores returns the work in seconds of cores, so that works can be compared.
func inCores(l overload.Load) float64 { return l.Cores + l.Accelerators*acceleratorCores }

// noteJob counts the work of a new job.
func (o *overloadState) noteJob(j *job, wall time.Time) {
	mean := o.meanWork[j.spec.Queue]
	if mean == nil {
		mean = &meanWork{}
		o.meanWork[j.spec.Queue] = mean
	}
	mean.observe(inCores(j.work))
	service := j.policy.Service
	if o.inflow[service] == nil {
		o.inflow[service] = map[int]*overload.Inflow{}
	}
	inflow := o.inflow[service][j.policy.Priority]
	if inflow == nil {
		inflow = &overload.Inflow{}
		o.inflow[service][j.policy.Priority] = inflow
	}
	at := j.spec.AcceptedAt
	if at.After(wall) {
		// The clock of the VM that accepted the job is ahead.
		at = wall
	}
	// A longer task takes no more than its demand meanwhile.
	inflow.Add(workOf(j.spec, overload.InflowPeriod), at)
}

// updateOverload determines which services lack room for their waiting steps.
func (c *Core) updateOverload(ready []*step) {
	o := &c.overload
	o.ready = ready
	if c.now-o.checkedAt < overloadInterval {
		return
	}
	o.checkedAt = c.now
	for _, load := range o.services {
		load.waiting, load.free, load.capacity = resource.Resources{}, resource.Resources{}, resource.Resources{}
		load.margins.Update()
	}
	for _, s := range ready {
		if o.services[s.job.policy.Service] == nil {
			o.services[s.job.policy.Service] = &serviceLoad{changedAt: never}
		}
	}
	for _, w := range c.sortedWorkers {
		load := o.services[w.info.Service]
		if load == nil || !w.acceptsWork() || c.excluded(w) {
			continue
		}
		load.capacity = load.capacity.Add(w.info.Capacity)
		if free := w.info.Capacity.Sub(w.used); (resource.Resources{}).Fits(free) {
			load.free = load.free.Add(free)
		}
	}
	for _, s := range ready {
		load := o.services[s.job.policy.Service]
		if !load.lacksWorkersFor(s) {
			load.waiting = load.waiting.Add(s.spec.EffectiveDemand().Times(s.waitingTasks()))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(o.services)) {
		c.updateService(service, o.services[service])
	}
}

// lacksWorkersFor reports whether the step is a gang that the workers cannot hold even if all of them are free.
func (l *serviceLoad) lacksWorkersFor(s *step) bool {
	return s.spec.Gang && !s.spec.EffectiveDemand().Times(s.waitingTasks()).Fits(l.capacity)
}

// updateService changes whether the service counts as overloaded, if its waiting work has not fitted, or has fitted again, for long enough.
func (c *Core) updateService(service string, load *serviceLoad) {
	fits := load.waiting.Fits(load.free)
	if fits != load.overloaded {
		load.changedAt = never
		if fits && load.waiting.IsZero() {
			delete(c.overload.services, service)
		}
		return
	}
	if load.changedAt < 0 {
		load.changedAt = c.now
	}
	delay := overloadDelay
	if load.overloaded {
		delay = calmDelay
	}
	if c.now-load.changedAt < delay {
		return
	}
	load.overloaded, load.changedAt = !load.overloaded, never
	load.turns, load.margins = overload.Turns{}, overload.Margins{}
	name := "service calm"
	if load.overloaded {
		name = "service overloaded"
	}
	c.event(Event{Name: name, Detail: service})
}

// orderOverloaded completes the rank of a step of an overloaded service.
func (c *Core) orderOverloaded(s *step, load *serviceLoad, rank *overload.Rank) {
	outlook := c.outlook(s, s.job.chains.From(s.index))
	rank.Reserving = c.keepsReservation(s)
	s.class = outlook.Class(s.class)
	if s.class == overload.OnTime && outlook.Objective > 0 {
		load.margins.Observe(rank.Priority, outlook.TimeLeft(overload.OnTime))
	}
	rank.Class = load.margins.Place(s.class, rank.Priority)
	if rank.Reserving {
		rank.Class = min(rank.Class, s.rank.Class)
	}
	rank.Turn = rank.Class == overload.Hopeless && load.turns.Due()
	mean := 0.0
	if m := c.overload.meanWork[s.job.spec.Queue]; m != nil {
		mean = m.value
	}
	rank.Due = overload.Due(outlook, rank.Class, s.deferral(), c.wall)
	rank.WorkPerValue = overload.WorkPerValue(inCores(s.job.work), mean)
}

// outlook returns when the job of the step can end if the chain with the given duration is still ahead of it. Repetitions with due times
// count from these.
func (c *Core) outlook(s *step, ahead time.Duration) overload.Outlook {
	j := s.job
	since := j.spec.AcceptedAt
	if due := j.spec.DueAt(s.repetition); due.After(since) {
		since = due
	}
	outlook := overload.Outlook{
		Objective: j.chains.Objective(j.policy), Age: c.wall.Sub(since), Need: ahead,
	}
	return outlook.Corrected(c.estimateCorrection(j.spec.Queue), j.policy.Target)
}

// estimateCorrection returns the factor by which the runs of the queue have shown its estimates to be wrong; 1 if too few are known.
func (c *Core) estimateCorrection(queue string) float64 {
	d := c.overload.durations[queue]
	if d == nil || d.runs < minTypicalRuns {
		return 1
	}
	mean, _ := d.level.Mean(queuePrior)
	return overload.Correction(math.Exp(-mean))
}

// noteDuration records how long a run that is done took. Runs away from their data or rack take longer and say nothing of the estimate.
func (c *Core) noteDuration(p *placement) {
	s := p.unit.step
	if s.spec.LongRunning || p.partial || p.beganAt < 0 || c.now <= p.beganAt || !s.comparable(p) {
		return
	}
	slowest := p.worker.speed
	for _, o := range p.unit.placements {
		slowest = min(slowest, o.worker.speed)
	}
	queue := s.job.spec.Queue
	d := c.overload.durations[queue]
	if d == nil {
		d = &queueDuration{}
		c.overload.durations[queue] = d
	}
	d.runs++
	took := (c.now - p.beganAt).Seconds() * slowest
	d.level.Observe(math.Log(took/s.spec.Estimate.Seconds()), math.Hypot(taskSpread, jobSpread), queuePrior)
}

// endsHopeless reports whether the job of a running unit will end too late in any case.
func (c *Core) endsHopeless(u *unit) bool {
	s := u.step
	ahead := s.job.chains.From(s.index) - min(max(0, s.spec.Estimate), c.workedFor(u))
	return c.outlook(s, max(0, ahead)).Class(overload.OnTime) == overload.Hopeless
}

// countedTurn is the work of a start that was counted against the share of its class, while the service was overloaded.
type countedTurn struct {
	load  *serviceLoad
	class overload.Class
	work  float64
}

// noteOverloadedStart counts the start of a unit against the share of its class.
func (c *Core) noteOverloadedStart(u *unit) {
	u.turn = countedTurn{}
	load := c.overload.services[u.step.job.policy.Service]
	if load == nil || !load.overloaded {
		return
	}
	u.turn = countedTurn{load: load, class: u.step.rank.Class, work: inCores(taskWork(u.step.spec, overload.MaxEstimate)) * float64(u.size)}
	load.countTurn(u.turn.class, u.turn.work)
}

// returnTurn reverts noteOverloadedStart for a run of which nothing has begun.
func (c *Core) returnTurn(u *unit) {
	if u.turn.load != nil && u.turn.load.overloaded {
		u.turn.load.countTurn(u.turn.class, -u.turn.work)
	}
	u.turn = countedTurn{}
}

// countTurn counts work against the share of its class.
func (l *serviceLoad) countTurn(class overload.Class, work float64) {
	l.turns.Started(class, work, turnCredit*inCores(loadOf(l.capacity)))
}

// noteReservation records that the step reserves capacity in the current plan.
func (c *Core) noteReservation(s *step) {
	if s.reservedAt < 0 || c.now-s.reservedAt > reservationBreak {
		s.reservedSince = c.now
	}
	s.reservedAt = c.now
}

// keepsReservation reports whether the step has reserved capacity in the latest plans, and not for too long. It does not go with a worse
// class meanwhile, or the room that it has collected would be lost.
func (c *Core) keepsReservation(s *step) bool {
	return s.reservedAt >= 0 && c.now-s.reservedAt <= reservationBreak && c.now-s.reservedSince < maxReservationTime
}

// Forecast returns how long jobs that are accepted now are expected to wait, for each overloaded service.
func (c *Core) Forecast() *overload.Forecast {
	f := &overload.Forecast{MadeAt: c.wall}
	for _, j := range c.sortedJobs {
		if !j.phase.Final() {
			f.Tasks += j.spec.Tasks()
		}
	}
	waiting := map[string][]overload.Waiting{}
	for _, s := range c.overload.ready {
		service := s.job.policy.Service
		if load := c.overload.services[service]; load == nil || !load.overloaded || s.job.phase.Final() || load.lacksWorkersFor(s) {
			continue
		}
		if tasks := s.waitingTasks(); tasks > 0 {
			waiting[service] = append(waiting[service], c.forecastStep(s, tasks))
		}
	}
	for service, steps := range waiting {
		capacity := loadOf(c.overload.services[service].capacity)
		inflow := map[int]overload.Load{}
		for priority, arriving := range c.overload.inflow[service] {
			inflow[priority] = arriving.Rate(c.wall)
		}
		f.Services = append(f.Services, overload.Service{
			Name: service, Accelerators: capacity.Accelerators, Cores: capacity.Cores, Levels: overload.Levels(capacity, inflow, steps),
		})
	}
	slices.SortFunc(f.Services, func(a, b overload.Service) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

// forecastStep returns a waiting step as the forecast sees it.
func (c *Core) forecastStep(s *step, tasks int) overload.Waiting {
	outlook := c.outlook(s, s.job.chains.From(s.index))
	correction := c.estimateCorrection(s.job.spec.Queue)
	return overload.Waiting{
		Priority: s.job.policy.Priority, Guaranteed: s.rank.Guaranteed, Class: s.rank.Class,
		Work:     taskWork(s.spec, overload.MaxEstimate).Times(float64(tasks) * correction),
		Duration: time.Duration(float64(min(max(0, s.spec.Estimate), overload.MaxEstimate)) * correction),
		TimeLeft: outlook.TimeLeft(overload.OnTime), Endless: outlook.Objective <= 0,
	}
}
