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
	// urgentHold is how long the room of urgent work that has ended is kept for more of it before steps of priority 1; steps
	// of priority 2 and less wait twice as long.
	urgentHold      = 400 * time.Millisecond
	maxHoldPriority = 2
	// idlePatience is how long a step waits for its preferred rack while most of the service is idle.
	idlePatience = 1200 * time.Millisecond
	// minBusyPatience is the least time that a step waits for its preferred rack while the service is busy.
	minBusyPatience = 2500 * time.Millisecond
	// idleShare is the share of accelerators in use below which the service counts as idle.
	idleShare = 0.5
)

// Weights of a worker's fitness for a task; a lower sum is better.
const (
	weightAvoided  = 10_000
	weightRemote   = 1_000
	weightFailures = 100
)

// find returns where the unit can start now, one worker a member; nil if nowhere.
func (c *Core) find(u *unit) []*worker {
	if c.failed.includes(c, u) {
		return nil
	}
	if u.size > 1 {
		if workers := c.findGang(u); workers != nil {
			return workers
		}
	} else if w := c.findWorker(u); w != nil {
		return []*worker{w}
	}
	c.failed.add(c, u)
	return nil
}

func (w *worker) free() resource.Resources { return w.info.Capacity.Sub(w.used).Sub(w.claimed) }

// takesWork reports whether the worker is in the list, answers and stays.
func (w *worker) takesWork() bool { return w.registered && w.listed && w.reachable && !w.info.Draining }

// usable reports whether the worker may take new tasks of the step at all.
func (c *Core) usable(w *worker, s *step) bool {
	if !w.takesWork() {
		return false
	}
	if w.info.Service != s.job.queue.Service {
		return false
	}
	if s.spec.RequiredLabel != "" && !w.info.HasLabel(s.spec.RequiredLabel) {
		return false
	}
	return !c.quarantined(w) && c.triedBy(w, s)
}

// freeFor returns what is free on the worker for the step now.
func (c *Core) freeFor(w *worker, s *step) resource.Resources {
	if c.keptForUrgent(w, s) {
		return resource.Resources{}
	}
	return w.free()
}

// keptForUrgent reports whether urgent work has just ended on the worker and the step is less urgent. More urgent work is
// likely to come soon; a task that took the room would be stopped for it, with what it had done.
func (c *Core) keptForUrgent(w *worker, s *step) bool {
	hold := time.Duration(min(s.job.queue.Priority, maxHoldPriority)) * urgentHold
	return hold > 0 && w.urgentEndedAt > 0 && c.now-w.urgentEndedAt < hold
}

// placedOn counts the tasks of the step on the worker.
func (s *step) placedOn(w *worker) int {
	n := 0
	for _, p := range w.runs {
		if p.unit != nil && p.unit.step == s {
			n++
		}
	}
	return n
}

// roomFor returns how many more tasks of the step the worker can take from the given free resources.
func (s *step) roomFor(w *worker, free resource.Resources) int {
	room := fitting(free, charge(s.spec))
	if s.spec.MaxPerWorker > 0 {
		room = min(room, s.spec.MaxPerWorker-s.placedOn(w))
	}
	return max(0, room)
}

// fitting returns how many times demand fits into free.
func fitting(free, demand resource.Resources) int {
	n := int64(math.MaxInt32)
	n = min(n, quotient(int64(free.Accelerators), int64(demand.Accelerators)))
	n = min(n, quotient(free.MilliCPU, demand.MilliCPU))
	n = min(n, quotient(free.MemoryMB, demand.MemoryMB))
	return int(max(0, n))
}

func quotient(free, demand int64) int64 {
	if demand == 0 {
		return math.MaxInt32
	}
	if free < 0 {
		return 0
	}
	return free / demand
}

// impatient reports whether the step has waited long enough to run away from its preferred rack.
func (c *Core) impatient(s *step) bool {
	waited := c.now - s.readySince
	if c.busyShare < idleShare {
		return waited >= idlePatience
	}
	return waited >= max(minBusyPatience, s.spec.Estimate)
}

// countBusy computes the share of the workers' accelerators in use, and the number of racks.
func (c *Core) countBusy() {
	var used, capacity int
	racks := map[string]bool{}
	for _, w := range c.order {
		if w.registered {
			racks[w.info.Rack] = true
			used += w.used.Accelerators
			capacity += w.info.Capacity.Accelerators
		}
	}
	c.racks = len(racks)
	c.busyShare = 1
	if capacity > 0 {
		c.busyShare = float64(used) / float64(capacity)
	}
}

// findWorker returns the best worker for a single task.
func (c *Core) findWorker(u *unit) *worker {
	s := u.step
	var best *worker
	bestScore := math.MaxInt
	impatient := c.impatient(s)
	home := s.homeRack()
	for _, w := range c.order {
		free := c.freeFor(w, s)
		if !charge(s.spec).Fits(free) || !c.usable(w, s) || s.roomFor(w, free) == 0 {
			continue
		}
		remote := home != "" && w.info.Rack != home
		if remote && !impatient && c.rackServes(home, s) {
			continue
		}
		score := u.fitness(w)
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

// homeRack returns the rack in which the step's tasks run fastest; empty for any.
func (s *step) homeRack() string {
	if s.spec.DataRack != "" || !s.spec.SameRack {
		return s.spec.DataRack
	}
	for _, u := range s.units {
		for _, p := range u.placements {
			return p.worker.info.Rack
		}
	}
	return ""
}

// rackServes reports whether a worker of the rack could run tasks of the step once it has room.
func (c *Core) rackServes(rack string, s *step) bool {
	return slices.ContainsFunc(c.order, func(w *worker) bool {
		return w.info.Rack == rack && charge(s.spec).Fits(w.info.Capacity) && c.usable(w, s)
	})
}

// fitness rates a worker for a task. The worker that is left with the fewest accelerators is best, so that large tasks
// find whole workers.
func (u *unit) fitness(w *worker) int {
	left := w.free().Accelerators - u.step.spec.Demand.Accelerators
	return left + u.avoid[w.id]*weightAvoided + w.health.failures*weightFailures
}

// rackRoom is what one rack offers a gang.
type rackRoom struct {
	rack    string
	workers []*worker
	room    []int
	total   int
	// accelerators that are free in the rack.
	accelerators int
	avoided      int
}

// findGang returns workers for all members of a gang.
func (c *Core) findGang(u *unit) []*worker {
	s := u.step
	if !s.spec.SameRack && c.freeAccelerators < u.size*s.spec.Demand.Accelerators {
		return nil
	}
	racks := c.rackRooms(u)
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return fill(u, merge(racks))
	}
	home := s.spec.DataRack
	impatient := c.impatient(s)
	fits := slices.DeleteFunc(slices.Clone(racks), func(r *rackRoom) bool { return r.total < u.size })
	slices.SortStableFunc(fits, func(a, b *rackRoom) int { return a.compare(b, home) })
	if len(fits) > 0 && (home == "" || fits[0].rack == home || impatient) {
		return fill(u, fits[0])
	}
	if !impatient && c.anyRackCouldFit(u) {
		return nil
	}
	return fill(u, merge(racks))
}

// compare orders racks: the home rack, then those without shunned workers, then the one with the fewest free accelerators.
func (r *rackRoom) compare(o *rackRoom, home string) int {
	if home != "" && (r.rack == home) != (o.rack == home) {
		if r.rack == home {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(r.avoided, o.avoided), cmp.Compare(r.accelerators, o.accelerators))
}

// rackRooms returns what each rack offers the gang now.
func (c *Core) rackRooms(u *unit) []*rackRoom {
	return c.roomsWith(u, func(w *worker) resource.Resources { return c.freeFor(w, u.step) })
}

func (c *Core) roomsWith(u *unit, free func(*worker) resource.Resources) []*rackRoom {
	byRack := map[string]*rackRoom{}
	var racks []*rackRoom
	for _, w := range c.order {
		if !c.usable(w, u.step) {
			continue
		}
		r := byRack[w.info.Rack]
		if r == nil {
			r = &rackRoom{rack: w.info.Rack}
			byRack[w.info.Rack] = r
			racks = append(racks, r)
		}
		r.add(u, w, free(w))
	}
	return racks
}

// largestRoom returns the largest room in which the unit may run together: a rack, or everything; nil if there is none.
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

func (r *rackRoom) add(u *unit, w *worker, free resource.Resources) {
	room := u.step.roomFor(w, free)
	r.accelerators += max(0, free.Accelerators)
	if room == 0 {
		return
	}
	r.workers = append(r.workers, w)
	r.room = append(r.room, room)
	r.total += room
	r.avoided += u.avoid[w.id]
}

func merge(racks []*rackRoom) *rackRoom {
	all := &rackRoom{}
	for _, r := range racks {
		all.workers = append(all.workers, r.workers...)
		all.room = append(all.room, r.room...)
		all.total += r.total
	}
	return all
}

// anyRackCouldFit reports whether a rack of healthy workers could hold the gang if it were empty.
func (c *Core) anyRackCouldFit(u *unit) bool {
	key := searchOf(c, u.step)
	if room, known := c.failed.emptyRack[key]; known {
		return room >= u.size
	}
	room := c.largestEmptyRack(u)
	c.failed.rememberEmptyRack(key, room)
	return room >= u.size
}

// largestEmptyRack returns how many members of the gang the largest rack that suits it could hold if it were empty.
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

// fill spreads the members over the workers, the fittest first; nil if there is not enough room.
func fill(u *unit, r *rackRoom) []*worker {
	if r.total < u.size {
		return nil
	}
	places := make([]int, len(r.workers))
	for i := range places {
		places[i] = i
	}
	slices.SortStableFunc(places, func(a, b int) int {
		return cmp.Compare(u.fitness(r.workers[a]), u.fitness(r.workers[b]))
	})
	members := make([]*worker, 0, u.size)
	for _, place := range places {
		for range min(r.room[place], u.size-len(members)) {
			members = append(members, r.workers[place])
		}
	}
	return members
}

// reserve keeps the room that is free for a blocked step away from the steps behind it, in the rack where the least is
// missing. Single tasks start as soon as any room is free and need no reservation.
func (c *Core) reserve(s *step) {
	if !s.spec.Gang {
		return
	}
	u := s.units[0]
	best := c.largestRoom(u, func(w *worker) resource.Resources { return c.freeFor(w, s) })
	if best == nil || best.total == 0 {
		return
	}
	s.claim = &claim{step: s, members: map[*worker]int{}}
	left := u.size
	for i, w := range best.workers {
		n := min(best.room[i], left)
		s.claim.members[w] = n
		left -= n
	}
	c.hold(s.claim)
}

// waitingTasks returns the number of tasks of the step that wait.
func (s *step) waitingTasks() int {
	n := 0
	for _, u := range s.units {
		if u.state.Status == workload.UnitWaiting {
			n += u.size
		}
	}
	return n
}

// countFree sums the accelerators that are free on workers that take work.
func (c *Core) countFree() {
	c.freeAccelerators = 0
	for _, w := range c.order {
		if w.takesWork() && !c.quarantined(w) {
			c.freeAccelerators += max(0, w.free().Accelerators)
		}
	}
}
