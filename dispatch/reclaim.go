package dispatch

import (
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

const (
	// acceleratorCores is how many processor cores one accelerator counts as when lost work is compared.
	acceleratorCores = 8
	// foreignGuaranteeFactor makes work of priority 0 the last to be stopped.
	foreignGuaranteeFactor = 50
	// maxCheckpointLoss bounds what a checkpointing task loses when it is stopped.
	maxCheckpointLoss = time.Second
)

// reclaim stops the cheapest work in the way of a guaranteed step and keeps the room for it.
func (c *Core) reclaim(s *step) {
	if s.claim != nil {
		return
	}
	var best *eviction
	for _, area := range c.areas(s) {
		e := c.planEviction(s, area)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return
	}
	s.claim = &claim{step: s, members: best.members, until: c.now + claimTime}
	c.hold(s.claim)
	for _, u := range best.victims {
		c.event(Event{Name: "work stopped for a guarantee", Job: u.step.job.spec.ID, Detail: string(s.job.spec.ID)})
		c.collapse(u, "reclaimed for guaranteed work")
	}
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

// planEviction returns the cheapest way found to fit the waiting tasks into the area; nil if there is none.
func (c *Core) planEviction(s *step, area []*worker) *eviction {
	free := map[*worker]resource.Resources{}
	for _, w := range area {
		free[w] = w.freeSoon()
	}
	e := &eviction{}
	for {
		members, missing := s.spread(area, free)
		if missing == 0 {
			e.members = members
			return e
		}
		victim, cost := c.cheapestVictim(s, area, free, e.victims)
		if victim == nil {
			return nil
		}
		e.victims = append(e.victims, victim)
		e.cost += cost
		for _, p := range victim.placements {
			if at, ok := free[p.worker]; ok && !p.stopping {
				free[p.worker] = at.Add(p.demand())
			}
		}
	}
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

// spread puts the step's waiting tasks on the workers and returns how many found no room.
func (s *step) spread(area []*worker, free map[*worker]resource.Resources) (members map[*worker]int, missing int) {
	members = map[*worker]int{}
	missing = s.waitingTasks()
	for _, w := range area {
		n := min(missing, s.roomFor(w, free[w]))
		if n > 0 {
			members[w] = n
			missing -= n
		}
	}
	return members, missing
}

// cheapestVictim returns the unit whose stop loses the least work for the accelerators that it frees in the area.
func (c *Core) cheapestVictim(s *step, area []*worker, free map[*worker]resource.Resources, taken []*unit) (*unit, float64) {
	var best *unit
	var bestCost, bestRatio float64
	for _, w := range area {
		if s.roomFor(w, w.info.Capacity) == 0 {
			continue
		}
		for _, p := range w.sortedRuns() {
			u := p.unit
			if u == nil || p.stopping || p.finished || u.collapsing || slices.Contains(taken, u) || !c.mayStop(u, s) {
				continue
			}
			cost := c.stopCost(u)
			ratio := cost / float64(1+u.freedIn(free))
			if best == nil || ratio < bestRatio {
				best, bestCost, bestRatio = u, cost, ratio
			}
		}
	}
	return best, bestCost
}

// freedIn returns the accelerators that the unit holds on the given workers.
func (u *unit) freedIn(free map[*worker]resource.Resources) int {
	n := 0
	for _, p := range u.placements {
		if _, ok := free[p.worker]; ok {
			n += p.demand().Accelerators
		}
	}
	return n
}

// mayStop reports whether the unit may be stopped for the guaranteed step: work of lower priority, or work of priority 0
// of an account that uses more than its guarantee.
func (c *Core) mayStop(u *unit, s *step) bool {
	j := u.step.job
	if u.step.spec.LongRunning || j == s.job {
		return false
	}
	if j.queue.Priority > 0 {
		return true
	}
	return c.accountUse[j.spec.Account] > c.guarantee(j.spec.Account)
}

// stopCost returns the work that a stop loses, in core seconds.
func (c *Core) stopCost(u *unit) float64 {
	lost := c.now - u.startedAt
	if u.step.spec.Checkpointing {
		lost = min(lost, maxCheckpointLoss)
	}
	d := u.step.spec.Demand
	cores := float64(d.MilliCPU)/1000 + float64(d.Accelerators*acceleratorCores)
	cost := lost.Seconds() * cores * float64(u.size)
	if u.step.job.queue.Priority == 0 {
		cost = (cost + 1) * foreignGuaranteeFactor
	}
	return cost
}
