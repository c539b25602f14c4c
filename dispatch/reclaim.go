package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// acceleratorCores is how many processor cores one accelerator counts as when lost work is compared.
	acceleratorCores = 8
	// foreignGuaranteeFactor makes work of priority 0 the last to be stopped.
	foreignGuaranteeFactor = 50
	// middlePriorityFactor makes the lowest priority give way first.
	middlePriorityFactor = 2
	// restartLoss is what a stop and a new start cost any unit, whose room is idle meanwhile.
	restartLoss = 700 * time.Millisecond
	// reclaimRetry is the pause between two searches for work to stop for a step.
	reclaimRetry = 100 * time.Millisecond
	// maxCheckpointLoss bounds what a checkpointing task loses when it is stopped.
	maxCheckpointLoss = time.Second
)

// mayReclaim reports whether other work may be stopped for the step.
func (c *Core) mayReclaim(s *step) bool { return s.job.queue.Priority == 0 }

// reclaim stops the cheapest work in the way of an urgent step and keeps the room for it. It reports whether room is kept.
// Beyond the account's guarantee only work of lower priority is stopped, and no more of it than the step itself does.
func (c *Core) reclaim(s *step) bool {
	if s.claim != nil {
		return true
	}
	if s.reclaimFailedAt >= 0 && c.now-s.reclaimFailedAt < reclaimRetry {
		return false
	}
	var best *eviction
	for _, area := range c.areas(s) {
		e := c.planEviction(s, area)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || !c.entitled(s) && best.cost > s.waitingWork() {
		s.reclaimFailedAt = c.now
		return false
	}
	s.claim = &claim{step: s, members: best.members, until: c.now + claimTime}
	c.hold(s.claim)
	for _, u := range best.victims {
		c.event(Event{Name: "work stopped for urgent work", Job: u.step.job.spec.ID, Detail: string(s.job.spec.ID)})
		c.collapse(u, "reclaimed for urgent work")
	}
	return true
}

// eviction is a way to make room for a step.
type eviction struct {
	victims []*unit
	members map[*worker]int
	cost    float64
}

// areas returns the sets of workers within which the step may be placed together. The last one is everything, for
// steps that no single rack can hold.
func (c *Core) areas(s *step) [][]*worker {
	byRack := map[string][]*worker{}
	var racks []string
	var all []*worker
	for _, w := range c.order {
		if !c.usable(w, s) {
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
		if c.holds(s, byRack[rack]) {
			areas = append(areas, byRack[rack])
		}
	}
	if len(areas) == 0 {
		areas = append(areas, all)
	}
	return areas
}

// holds reports whether the workers could take the whole step if they were empty.
func (c *Core) holds(s *step, workers []*worker) bool {
	total := 0
	for _, w := range workers {
		total += s.roomFor(w, w.info.Capacity)
	}
	return total >= s.waitingTasks()
}

// planEviction returns the cheapest way found to fit the waiting tasks into the area; nil if there is none. It finds
// room for one task at a time, on the worker where that loses the least work.
func (c *Core) planEviction(s *step, area []*worker) *eviction {
	p := &evictionPlan{core: c, step: s, area: area, free: map[*worker]resource.Resources{}, missing: s.waitingTasks()}
	p.result.members = map[*worker]int{}
	for _, w := range area {
		p.free[w] = w.freeSoon()
	}
	for p.fill(); p.missing > 0; p.fill() {
		if !p.evictCheapest() {
			return nil
		}
	}
	return &p.result
}

// evictionPlan is the state of one search.
type evictionPlan struct {
	core    *Core
	step    *step
	area    []*worker
	free    map[*worker]resource.Resources
	missing int
	result  eviction
}

// fill gives the tasks without a place the room that is free.
func (p *evictionPlan) fill() {
	demand := charge(p.step.spec)
	for _, w := range p.area {
		n := min(p.missing, p.step.roomFor(w, p.free[w])-p.taken(w))
		if n <= 0 {
			continue
		}
		p.result.members[w] += n
		p.missing -= n
		p.free[w] = p.free[w].Sub(demand.Times(n))
	}
}

// taken returns how many of the places that roomFor allows by MaxPerWorker are given away.
func (p *evictionPlan) taken(w *worker) int {
	if p.step.spec.MaxPerWorker == 0 {
		return 0
	}
	return p.result.members[w]
}

// evictCheapest stops the units that make room for one more task at the least cost; false if none can.
func (p *evictionPlan) evictCheapest() bool {
	var best []*unit
	var bestCost float64
	for _, w := range p.area {
		units, cost := p.victimsOn(w)
		if units != nil && (best == nil || cost < bestCost) {
			best, bestCost = units, cost
		}
	}
	for _, u := range best {
		p.result.victims = append(p.result.victims, u)
		for _, placed := range u.placements {
			if at, inArea := p.free[placed.worker]; inArea && !placed.stopping {
				p.free[placed.worker] = at.Add(placed.demand())
			}
		}
	}
	p.result.cost += bestCost
	return best != nil
}

// victimsOn returns the units on the worker whose end makes room for one more task, and what stopping them costs.
func (p *evictionPlan) victimsOn(w *worker) ([]*unit, float64) {
	demand := charge(p.step.spec)
	if !demand.Fits(w.info.Capacity) || p.step.spec.MaxPerWorker > 0 && p.step.placedOn(w)+p.result.members[w] >= p.step.spec.MaxPerWorker {
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
		if less := free.Sub(v.room); demand.Fits(less) {
			// Cheaper units make enough room without this one.
			free = less
			continue
		}
		units = append(units, v.unit)
		cost += v.cost
	}
	return units, cost
}

// victim is a unit that may be stopped.
type victim struct {
	unit *unit
	cost float64
	// room is what the unit uses on one worker.
	room resource.Resources
}

// candidatesOn returns the units on the worker that may be stopped, the cheapest first.
func (p *evictionPlan) candidatesOn(w *worker) []victim {
	var candidates []victim
	for _, placed := range w.sortedRuns() {
		u := placed.unit
		if !placed.live() || u.collapsing || slices.Contains(p.result.victims, u) || !p.core.mayStop(u, p.step) {
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

// freeSoon is the worker's free room once the runs that are being stopped have ended.
func (w *worker) freeSoon() resource.Resources {
	free := w.free()
	for _, p := range w.runs {
		if p.stopping {
			free = free.Add(p.demand())
		}
	}
	return free
}

// waitingWork returns the estimated work of the step's waiting tasks, in core seconds.
func (s *step) waitingWork() float64 {
	return s.spec.Estimate.Seconds() * cores(s.spec.Demand) * float64(s.waitingTasks())
}

// cores returns how many processor cores a demand counts as.
func cores(d resource.Resources) float64 {
	return float64(d.MilliCPU)/1000 + float64(d.Accelerators*acceleratorCores)
}

// mayStop reports whether the unit may be stopped for the step: work of lower priority, or for a guarantee also work of
// priority 0 of an account that uses more than its own.
func (c *Core) mayStop(u *unit, s *step) bool {
	j := u.step.job
	if u.step.spec.LongRunning || j == s.job {
		return false
	}
	if j.queue.Priority > 0 {
		return true
	}
	return c.entitled(s) && c.accountUse[j.spec.Account] > c.guarantee(j.spec.Account)
}

// stopCost returns what a stop loses, in core seconds.
func (c *Core) stopCost(u *unit) float64 {
	lost := c.now - u.startedAt
	if u.step.spec.Checkpointing {
		lost = min(lost, maxCheckpointLoss)
	}
	lost += restartLoss
	cost := lost.Seconds() * cores(u.step.spec.Demand) * float64(u.size)
	switch u.step.job.queue.Priority {
	case 0:
		return cost * foreignGuaranteeFactor
	case 1:
		return cost * middlePriorityFactor
	}
	return cost
}
