package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// urgentHold is how long steps of priority 1 may not use a worker on which urgent work has just ended; steps of priority
	// maxHoldPriority and lower priorities wait maxHoldPriority times as long.
	urgentHold      = 400 * time.Millisecond
	maxHoldPriority = 2
	// idleLocalityWait is how long a step waits for its preferred rack while most accelerators are idle.
	idleLocalityWait = 1200 * time.Millisecond
	// minBusyLocalityWait is the least time that a step waits for its preferred rack while the workers are busy.
	minBusyLocalityWait = 2500 * time.Millisecond
	// idleUtilization is the fraction of accelerators in use below which the workers count as idle.
	idleUtilization = 0.5
)

// findPlacement returns the workers on which the unit can start now, one per member; nil if there is no room.
func (c *Core) findPlacement(u *unit) []*worker {
	if c.searchCache.includes(c, u) {
		return nil
	}
	if u.size > 1 {
		if workers := c.findGang(u); workers != nil {
			return workers
		}
	} else if w := c.findWorker(u); w != nil {
		return []*worker{w}
	}
	if !c.startsLimited {
		c.searchCache.add(c, u)
	}
	return nil
}

// free returns the worker's capacity minus that of its runs and of claims; components may be negative.
func (w *worker) free() resource.Resources { return w.info.Capacity.Sub(w.used).Sub(w.claimed) }

// acceptsWork reports whether the worker is registered, has listed its runs, is reachable, is not draining and not evacuated, and its
// entry is not that of an earlier process.
func (w *worker) acceptsWork() bool {
	return w.registered && w.listed && w.reachable && !w.info.Draining && !w.evacuated && !w.entryOutdated()
}

// entryOutdated reports whether the worker's entry is of another process than its latest listing; false if the entry does not tell.
func (w *worker) entryOutdated() bool {
	return w.info.Incarnation != 0 && w.info.Incarnation != w.incarnation
}

// eligible reports whether the worker may run tasks of the step, regardless of its free capacity.
func (c *Core) eligible(w *worker, s *step) bool {
	if !w.acceptsWork() {
		return false
	}
	if w.info.Service != s.job.policy.Service {
		return false
	}
	if s.spec.RequiredLabel != "" && !w.info.HasLabel(s.spec.RequiredLabel) {
		return false
	}
	return !c.excluded(w) && c.allowedOnProbation(w, s)
}

// freeFor returns the capacity of the worker that is free for the step now; zero if it is held for urgent work. Long-running tasks
// may use what gangs have reserved: users expect them to start at once wherever there is room.
func (c *Core) freeFor(w *worker, s *step) resource.Resources {
	if c.heldForUrgent(w, s) {
		return resource.Resources{}
	}
	if s.spec.LongRunning {
		return w.free().Add(w.reserved)
	}
	return w.free()
}

// heldForUrgent reports whether urgent work has just ended on the worker and the step is less urgent. Further urgent work
// is likely to arrive soon; a task placed here would be stopped for it and lose its progress. A service that is not busy has other
// room for urgent work.
func (c *Core) heldForUrgent(w *worker, s *step) bool {
	if !c.busy(s.job.policy.Service) {
		return false
	}
	hold := time.Duration(min(s.job.policy.Priority, maxHoldPriority)) * urgentHold
	return hold > 0 && w.urgentEndedAt > 0 && c.now-w.urgentEndedAt < hold
}

// countOn returns the number of the step's tasks on the worker.
func (s *step) countOn(w *worker) int {
	n := 0
	for _, p := range w.runs {
		if p.unit != nil && p.unit.step == s {
			n++
		}
	}
	return n
}

// roomFor returns how many more tasks of the step the worker can run in the given free resources.
func (s *step) roomFor(w *worker, free resource.Resources) int {
	return max(0, min(fitCount(free, s.spec.EffectiveDemand()), s.limitOn(w)))
}

// fitCount returns how many times demand fits into free.
func fitCount(free, demand resource.Resources) int {
	n := int64(math.MaxInt32)
	n = min(n, quotient(int64(free.Accelerators), int64(demand.Accelerators)))
	n = min(n, quotient(free.MilliCPU, demand.MilliCPU))
	n = min(n, quotient(free.MemoryMB, demand.MemoryMB))
	return int(max(0, n))
}

// quotient returns how many times demand fits into free: 0 if free is negative, else math.MaxInt32 if demand is 0.
func quotient(free, demand int64) int64 {
	if free < 0 {
		return 0
	}
	if demand == 0 {
		return math.MaxInt32
	}
	return free / demand
}

// localityWaitOver reports whether the step has waited long enough to run outside its preferred rack.
func (c *Core) localityWaitOver(s *step) bool {
	waited := c.now - s.readySince
	if c.utilization < idleUtilization {
		return waited >= idleLocalityWait
	}
	return waited >= max(minBusyLocalityWait, s.spec.Estimate)
}

// findWorker returns the best worker for a single task; nil if none has room.
func (c *Core) findWorker(u *unit) *worker {
	s := u.step
	var best *worker
	bestScore := math.MaxInt
	localityWaitOver := c.localityWaitOver(s)
	preferred := s.preferredRack()
	for _, w := range c.sortedWorkers {
		free := c.freeFor(w, s)
		if !s.spec.EffectiveDemand().Fits(free) || !c.eligible(w, s) || s.roomFor(w, free) == 0 {
			continue
		}
		if !c.mayAwait(w, s) {
			continue
		}
		remote := preferred != "" && w.info.Rack != preferred
		if remote && !localityWaitOver && c.rackCanServe(preferred, s) {
			continue
		}
		score := c.penalty(u, w)
		if remote {
			score += weightRemote
		}
		if score < bestScore {
			best = w
			bestScore = score
		}
	}
	return best
}

// preferredRack returns the rack in which the step's tasks run fastest: that of their data, else that of the step's first
// placement that is not evacuated if its tasks should share a rack. It is empty if there is none.
func (s *step) preferredRack() string {
	if s.spec.DataRack != "" || !s.spec.SameRack {
		return s.spec.DataRack
	}
	for _, u := range s.units {
		for _, p := range u.placements {
			if !p.worker.evacuated {
				return p.worker.info.Rack
			}
		}
	}
	return ""
}

// rackCanServe reports whether some worker of the rack could run tasks of the step once it has room.
func (c *Core) rackCanServe(rack string, s *step) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool {
		return w.info.Rack == rack && s.spec.EffectiveDemand().Fits(w.info.Capacity) && c.eligible(w, s)
	})
}

// rackRoom describes how many members of a gang one rack, or all racks together, can run. rack, accelerators, avoided
// and cold are zero for all racks together.
type rackRoom struct {
	rack string
	// workers holds the workers that can run at least one member.
	workers []*worker
	// room is the number of members that each of the workers can run, total their sum.
	room  []int
	total int
	// accelerators is the number of free accelerators in the rack.
	accelerators int
	// avoided is the sum of the unit's avoid counts of the workers, cold the number of them that are slow after their start.
	avoided, cold int
	// cost rates a rack that has room for the unit; lower is better.
	cost int
}

// findGang returns workers for all members of a gang; nil if there is no room, or if the gang should wait for a rack.
func (c *Core) findGang(u *unit) []*worker {
	s := u.step
	if !s.spec.SameRack && c.freeAccelerators+s.claimedAccelerators() < u.size*s.spec.Demand.Accelerators {
		return nil
	}
	racks := c.roomsNow(u)
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return c.assignMembers(u, merge(racks))
	}
	preferred := c.dataRack(s)
	localityWaitOver := c.localityWaitOver(s)
	fits := slices.DeleteFunc(slices.Clone(racks), func(r *rackRoom) bool { return r.total < u.size })
	for _, r := range fits {
		r.cost = r.accelerators*fitUnit + u.size*speedPenalty(s, r.fastestBand(u.size))
	}
	slices.SortStableFunc(fits, func(a, b *rackRoom) int { return a.compare(b, preferred) })
	if len(fits) > 0 && (preferred == "" || fits[0].rack == preferred || localityWaitOver) {
		return c.assignMembers(u, fits[0])
	}
	if !localityWaitOver && c.anyRackCouldFit(u) {
		return nil
	}
	return c.assignMembers(u, merge(racks))
}

// compare orders racks: the preferred rack first, then those with the fewest avoided and cold workers, then those with the least cost: the
// fewest free accelerators, and the speed that suits the step.
func (r *rackRoom) compare(o *rackRoom, preferred string) int {
	if preferred != "" && (r.rack == preferred) != (o.rack == preferred) {
		if r.rack == preferred {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.avoided, o.avoided), cmp.Compare(r.cold, o.cold), cmp.Compare(r.cost, o.cost))
}

// roomsNow returns the room that each rack has for the gang now.
func (c *Core) roomsNow(u *unit) []*rackRoom {
	return c.roomsOf(u, func(w *worker) bool { return c.mayAwait(w, u.step) }, func(w *worker) resource.Resources { return c.freeFor(w, u.step) })
}

// roomsWith returns the room that each rack has for the unit if free returns the free capacity of its workers.
func (c *Core) roomsWith(u *unit, free func(*worker) resource.Resources) []*rackRoom {
	return c.roomsOf(u, func(*worker) bool { return true }, free)
}

// roomsOf is roomsWith for the workers that admits selects.
func (c *Core) roomsOf(u *unit, admits func(*worker) bool, free func(*worker) resource.Resources) []*rackRoom {
	byRack := map[string]*rackRoom{}
	var racks []*rackRoom
	for _, w := range c.sortedWorkers {
		if !c.eligible(w, u.step) || !admits(w) {
			continue
		}
		r := byRack[w.info.Rack]
		if r == nil {
			r = &rackRoom{rack: w.info.Rack}
			byRack[w.info.Rack] = r
			racks = append(racks, r)
		}
		r.add(u, w, free(w), c.cold(w))
	}
	return racks
}

// largestRoom returns the largest room for the unit: that of one rack if its members should share one, else that of all
// racks together. It returns nil if the members should share a rack and no worker is eligible.
func (c *Core) largestRoom(u *unit, free func(*worker) resource.Resources) *rackRoom {
	racks := c.roomsWith(u, free)
	if !u.step.spec.SameRack {
		return merge(racks)
	}
	var largest *rackRoom
	for _, r := range racks {
		if largest == nil || r.total > largest.total {
			largest = r
		}
	}
	return largest
}

func (r *rackRoom) add(u *unit, w *worker, free resource.Resources, cold bool) {
	room := u.step.roomFor(w, free)
	r.accelerators += max(0, free.Accelerators)
	if room == 0 {
		return
	}
	r.workers = append(r.workers, w)
	r.room = append(r.room, room)
	r.total += room
	r.avoided += u.avoid[w.id]
	if cold {
		r.cold++
	}
}

// merge returns the room of all racks together.
func merge(racks []*rackRoom) *rackRoom {
	all := &rackRoom{}
	for _, r := range racks {
		all.workers = append(all.workers, r.workers...)
		all.room = append(all.room, r.room...)
		all.total += r.total
	}
	return all
}

// anyRackCouldFit reports whether the eligible workers of some suitable rack could hold the gang if they were empty.
func (c *Core) anyRackCouldFit(u *unit) bool {
	key := searchKeyOf(c, u.step)
	if room, known := c.searchCache.emptyRack[key]; known {
		return room >= u.size
	}
	room := c.largestEmptyRack(u)
	c.searchCache.addEmptyRack(key, room)
	return room >= u.size
}

// largestEmptyRack returns how many members of the gang the largest suitable rack could hold if it were empty; 0 if no rack
// is suitable. Only the rack of the data is suitable unless the members should share a rack.
func (c *Core) largestEmptyRack(u *unit) int {
	racks := c.roomsWith(u, func(w *worker) resource.Resources { return w.info.Capacity })
	largest := 0
	for _, r := range racks {
		if u.step.spec.SameRack || r.rack == u.step.spec.DataRack {
			largest = max(largest, r.total)
		}
	}
	return largest
}

// waitingTasks returns the number of the step's tasks that are waiting.
func (s *step) waitingTasks() int {
	n := 0
	for _, u := range s.units {
		if u.state.Status == workload.UnitWaiting {
			n += u.size
		}
	}
	return n
}

// claimedAccelerators returns the number of accelerators that the step has claimed; Core.freeAccelerators does not include them.
func (s *step) claimedAccelerators() int {
	if s.claim == nil {
		return 0
	}
	n := 0
	for _, members := range s.claim.members {
		n += members * s.spec.Demand.Accelerators
	}
	return n
}
