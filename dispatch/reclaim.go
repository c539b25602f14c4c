package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/resource"
)

const (
	// acceleratorCores is the number of processor cores that one accelerator counts as when lost work is compared.
	acceleratorCores = 8
	// priority0CostFactor makes work of priority 0 the last to be stopped.
	priority0CostFactor = 50
	// priority1CostFactor makes work of priority 2 or lower be stopped before work of priority 1.
	priority1CostFactor = 2
	// urgentDelayFactor is the cost of a core second by which urgent work takes longer, in core seconds that are lost by stops.
	urgentDelayFactor = 2
	// restartLoss is the time that any unit loses between a stop and its new start, while its capacity is idle.
	restartLoss = 700 * time.Millisecond
	// maxStartUp bounds the start-up of a run that counts as lost with it. A longer one means that the start was refused for a while.
	maxStartUp = time.Second
	// reclaimRetryInterval is the least time between two searches for work to stop for the same step.
	reclaimRetryInterval = 100 * time.Millisecond
	// maxCheckpointLoss is the most run time that a checkpointing task is assumed to lose when it is stopped.
	maxCheckpointLoss = time.Second
	// hopelessCostFactor makes work be stopped earlier that is worth little to its caller, as it ends too late in any case.
	hopelessCostFactor = 0.5
)

// mayReclaim reports whether other work may be stopped for the step: only for urgent steps, those of priority 0. A step that comes too
// late in any case stops other work only within its account's guarantee.
func (c *Core) mayReclaim(s *step) bool {
	return s.job.policy.Priority == 0 && (s.class != overload.Hopeless || c.withinGuarantee(s))
}

// reclaim stops the cheapest set of units that makes room for an urgent step, and claims that room for the step. It
// reports whether the step holds a claim. Beyond the account's guarantee, only work of lower priority is stopped, and
// only if that loses no more work than the step has waiting.
func (c *Core) reclaim(s *step) bool {
	if s.claim != nil {
		return true
	}
	if s.reclaimFailedAt >= 0 && c.now-s.reclaimFailedAt < reclaimRetryInterval {
		return false
	}
	limit := math.Inf(1)
	if !c.withinGuarantee(s) {
		limit = c.waitingWork(s)
	}
	var best *reclaimPlan
	for _, area := range c.areas(s) {
		e := c.planReclaim(s, area, limit)
		if e != nil && (best == nil || e.cost+e.delay < best.cost+best.delay) {
			best = e
		}
	}
	if best == nil {
		s.reclaimFailedAt = c.now
		return false
	}
	s.claim = &claim{step: s, members: best.members, expiresAt: c.now + claimDuration}
	c.addClaim(s.claim)
	for _, u := range best.victims {
		c.event(Event{Name: "work stopped for urgent work", Job: u.step.job.spec.ID, Detail: string(s.job.spec.ID)})
		c.abortRun(u, "reclaimed for urgent work")
	}
	return true
}

// reclaimPlan is a set of units to stop for a step, the cost of that, and the number of members of the step that each
// worker can run afterwards. delay is the time that the step takes longer on these workers than on others, as a cost.
type reclaimPlan struct {
	victims []*unit
	members map[*worker]int
	cost    float64
	delay   float64
	// dearer is true if stops were chosen that cost more than others, for the speed of their workers.
	dearer bool
}

// areas returns the sets of eligible workers within which the step may be placed: each rack that could hold it if the step
// should share one rack, else all workers. All workers are also used if no single rack could hold the step.
func (c *Core) areas(s *step) [][]*worker {
	byRack := map[string][]*worker{}
	var racks []string
	var all []*worker
	for _, w := range c.sortedWorkers {
		if !c.eligible(w, s) {
			continue
		}
		if byRack[w.info.Rack] == nil {
			racks = append(racks, w.info.Rack)
		}
		byRack[w.info.Rack] = append(byRack[w.info.Rack], w)
		all = append(all, w)
	}
	if !s.spec.SameRack {
		return [][]*worker{all}
	}
	var areas [][]*worker
	for _, rack := range racks {
		if c.couldHold(s, byRack[rack]) {
			areas = append(areas, byRack[rack])
		}
	}
	if len(areas) == 0 {
		areas = append(areas, all)
	}
	return areas
}

// couldHold reports whether the workers could run all waiting tasks of the step if they were empty.
func (c *Core) couldHold(s *step, workers []*worker) bool {
	total := 0
	for _, w := range workers {
		total += s.roomFor(w, w.info.Capacity)
	}
	return total >= s.waitingTasks()
}

// planReclaim returns the cheapest plan found that fits the waiting tasks into the area at no more than the limit of its cost; nil if
// there is none. The speeds of workers count only within the limit.
func (c *Core) planReclaim(s *step, area []*worker, limit float64) *reclaimPlan {
	e := c.searchReclaim(s, area, true)
	if e != nil && e.dearer && e.cost > limit {
		e = c.searchReclaim(s, area, false)
	}
	if e == nil || e.cost > limit {
		return nil
	}
	return e
}

// searchReclaim searches for a plan that fits the waiting tasks into the area. It is greedy: it makes room for one task at a time, on the
// worker where that costs the least, with the cost of the worker's slowness if bySpeed is true.
func (c *Core) searchReclaim(s *step, area []*worker, bySpeed bool) *reclaimPlan {
	p := &reclaimSearch{core: c, step: s, area: area, free: map[*worker]resource.Resources{}, missing: s.waitingTasks(), bySpeed: bySpeed}
	p.result.members = map[*worker]int{}
	for _, w := range area {
		p.free[w] = w.freeAfterStops()
	}
	for p.placeInFree(); p.missing > 0; p.placeInFree() {
		if !p.selectCheapest() {
			return nil
		}
	}
	p.result.delay = p.delay()
	return &p.result
}

// reclaimSearch is the state of one search for a reclaimPlan. free is the capacity of each worker that is free after the
// stops and placements selected so far, missing the number of tasks that have no place yet.
type reclaimSearch struct {
	core    *Core
	step    *step
	area    []*worker
	free    map[*worker]resource.Resources
	missing int
	bySpeed bool
	result  reclaimPlan
}

// placeInFree assigns tasks that have no place yet to free room.
func (p *reclaimSearch) placeInFree() {
	demand := p.step.spec.EffectiveDemand()
	for _, w := range p.area {
		n := min(p.missing, p.step.roomFor(w, p.free[w])-p.assignedUnderLimit(w))
		if n <= 0 {
			continue
		}
		p.result.members[w] += n
		p.missing -= n
		p.free[w] = p.free[w].Sub(demand.Times(n))
	}
}

// assignedUnderLimit returns how many tasks this plan has assigned to the worker if their number there is limited, else 0;
// roomFor does not count them.
func (p *reclaimSearch) assignedUnderLimit(w *worker) int {
	if p.step.limitOn(w) == unlimited {
		return 0
	}
	return p.result.members[w]
}

// selectCheapest adds the units to the plan whose stops make room for one more task at the least cost; false if no stops do.
func (p *reclaimSearch) selectCheapest() bool {
	var best []*unit
	var bestCost, bestRank float64
	leastCost := math.Inf(1)
	work := p.core.taskWork(p.step)
	for _, w := range p.area {
		units, cost := p.victimsOn(w)
		if units == nil {
			continue
		}
		rank := cost
		if p.bySpeed {
			rank += slownessCost(work, w.band)
		}
		leastCost = min(leastCost, cost)
		if best == nil || rank < bestRank {
			best, bestCost, bestRank = units, cost, rank
		}
	}
	p.result.dearer = p.result.dearer || bestCost > leastCost
	for _, u := range best {
		p.result.victims = append(p.result.victims, u)
		for _, placed := range u.placements {
			if current, inArea := p.free[placed.worker]; inArea && !placed.stopping {
				p.free[placed.worker] = current.Add(placed.demand())
			}
		}
	}
	p.result.cost += bestCost
	return best != nil
}

// delay returns the cost of running the step on the workers of the plan rather than on workers of speed 1. A gang takes as long as its
// slowest member.
func (p *reclaimSearch) delay() float64 {
	work, sum, slowest, tasks := p.core.taskWork(p.step), 0.0, maxSpeedBand, 0
	for _, w := range p.area {
		n := p.result.members[w]
		if n == 0 {
			continue
		}
		sum += slownessCost(work, w.band) * float64(n)
		slowest = min(slowest, w.band)
		tasks += n
	}
	if p.step.spec.Gang {
		return slownessCost(work, slowest) * float64(tasks)
	}
	return sum
}

// slownessCost returns the cost of running a task with the given work on a worker of the class rather than on one of speed 1; it is
// negative for fast workers.
func slownessCost(work float64, band int) float64 {
	return urgentDelayFactor * work * (1/bandFactor(band) - 1)
}

// victimsOn returns the units to stop on the worker to make room for one more task, and the cost of stopping them. The
// units are nil if no stops make room.
func (p *reclaimSearch) victimsOn(w *worker) ([]*unit, float64) {
	demand := p.step.spec.EffectiveDemand()
	if !demand.Fits(w.info.Capacity) || p.result.members[w] >= p.step.limitOn(w) {
		return nil, 0
	}
	candidates := p.candidatesOn(w)
	free := p.free[w]
	n := 0
	for ; n < len(candidates) && !demand.Fits(free); n++ {
		free = free.Add(candidates[n].room)
	}
	if !demand.Fits(free) {
		return nil, 0
	}
	var units []*unit
	var cost float64
	for _, v := range slices.Backward(candidates[:n]) {
		if reduced := free.Sub(v.room); demand.Fits(reduced) {
			// The remaining, cheaper units make enough room without this one.
			free = reduced
			continue
		}
		units = append(units, v.unit)
		cost += v.cost
	}
	return units, cost
}

// victim is a unit that may be stopped, with the cost of stopping it.
type victim struct {
	unit *unit
	cost float64
	// room is the capacity that the unit uses on the worker in question.
	room resource.Resources
}

// candidatesOn returns the units on the worker that may be stopped, in ascending order of cost.
func (p *reclaimSearch) candidatesOn(w *worker) []victim {
	var candidates []victim
	for _, placed := range w.sortedRuns() {
		u := placed.unit
		if !placed.live() || u.aborting || slices.Contains(p.result.victims, u) || !p.core.mayStop(u, p.step) {
			continue
		}
		at := slices.IndexFunc(candidates, func(v victim) bool { return v.unit == u })
		if at >= 0 {
			candidates[at].room = candidates[at].room.Add(placed.demand())
			continue
		}
		candidates = append(candidates, victim{unit: u, cost: p.core.stopCost(u), room: placed.demand()})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	return candidates
}

// freeAfterStops returns the worker's free capacity once the runs that are being stopped have ended.
func (w *worker) freeAfterStops() resource.Resources {
	free := w.free()
	for _, p := range w.runs {
		if p.stopping {
			free = free.Add(p.demand())
		}
	}
	return free
}

// waitingWork returns the expected work of the step's waiting tasks, in core seconds on a worker of speed 1.
func (c *Core) waitingWork(s *step) float64 {
	return c.taskWork(s) * float64(s.waitingTasks())
}

// taskWork returns the expected work of a task of the step, in core seconds on a worker of speed 1.
func (c *Core) taskWork(s *step) float64 {
	return c.expectedDuration(s, 1).Seconds() * coreEquivalents(s.spec.Demand)
}

// coreEquivalents returns the number of processor cores that a demand counts as.
func coreEquivalents(d resource.Resources) float64 {
	return float64(d.MilliCPU)/1000 + float64(d.Accelerators*acceleratorCores)
}

// mayStop reports whether the unit may be stopped for the step. That holds for work of lower priority and, if the step is
// within its account's guarantee, also for work of priority 0 of an account that exceeds its own guarantee. Long-running
// work and other work of the same job may not be stopped. Beyond the guarantee, neither may work that went before the step because of
// its class: it would be started and stopped in turn.
func (c *Core) mayStop(u *unit, s *step) bool {
	j := u.step.job
	if u.step.spec.LongRunning || j == s.job {
		return false
	}
	if j.policy.Priority > 0 {
		return u.step.class >= s.class || u.startedAt < s.readySince || c.withinGuarantee(s)
	}
	return c.withinGuarantee(s) && c.accountUse[j.spec.Account] > c.guarantee(j.spec.Account)
}

// timeLost returns the run time that a stop of the unit loses: its work, and its start-up, which comes again; 0 if no worker has begun it.
func (c *Core) timeLost(u *unit) time.Duration {
	worked := c.workedFor(u)
	if worked == 0 {
		return 0
	}
	return worked + min(c.now-u.startedAt-worked, maxStartUp)
}

// stopCost returns the cost of stopping the unit: the work that is lost, in core seconds on a worker of speed 1, weighted by priority.
func (c *Core) stopCost(u *unit) float64 {
	lost := c.timeLost(u)
	if u.step.spec.Checkpointing {
		lost = min(lost, maxCheckpointLoss)
	}
	lost += restartLoss
	speeds := 0.0
	for _, p := range u.placements {
		speeds += p.worker.speed
	}
	cost := lost.Seconds() * coreEquivalents(u.step.spec.Demand) * speeds
	if c.endsHopeless(u) {
		cost *= hopelessCostFactor
	}
	switch u.step.job.policy.Priority {
	case 0:
		return cost * priority0CostFactor
	case 1:
		return cost * priority1CostFactor
	}
	return cost
}
