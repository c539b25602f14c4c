package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// packBudget limits the work of one Pack call to this number of worker inspections, which take about 0.1 s. The limit is a
// count and not a time because the check is part of the deterministic fold of the configuration log: every process must
// reach the same result.
const packBudget = 20_000_000

// packRounds is the largest number of demand orders that Pack tries.
const packRounds = 64

// Demand is the resource demand of one guaranteed gang, which is one copy of one guarantee.
type Demand struct {
	Account string
	// Guarantee is the index into the account's guarantees; Copy counts from 0 to Count-1.
	Guarantee int
	Copy      int
	Shape     resource.Shape
}

// Cell is the capacity that Pack assigns to one demand.
type Cell struct {
	Demand Demand
	// Workers holds the worker id of each member, by member index.
	Workers []string
}

// Demands returns the guaranteed gangs of a failure domain, ordered by account, guarantee and copy.
func Demands(doc *Document, failureDomain string) []Demand {
	var demands []Demand
	for _, name := range sortedKeys(doc.Accounts) {
		for i, g := range doc.Accounts[name].Guarantees {
			if g.FailureDomain != failureDomain {
				continue
			}
			for c := range g.Count {
				demands = append(demands, Demand{Account: name, Guarantee: i, Copy: c, Shape: g.Shape})
			}
		}
	}
	return demands
}

// DomainWorkers returns the workers of a failure domain, ordered by id.
func DomainWorkers(doc *Document, failureDomain string) []resource.Worker {
	var workers []resource.Worker
	for _, id := range sortedKeys(doc.Workers) {
		if doc.Workers[id].FailureDomain == failureDomain {
			workers = append(workers, doc.Workers[id])
		}
	}
	return workers
}

// Pack places all demands on workers simultaneously and returns one cell for each demand, in the order of demands.
// The cells keep every worker within its capacity and satisfy the adjacency of every gang. Since the problem is
// NP-hard, Pack may fail to find a packing that exists. It then returns an Infeasible error that names the account of a
// demand that could not be placed. The result depends only on the arguments and their order.
//
// The result is part of the rule set: a change of the algorithm requires a new RuleSet.
func Pack(workers []resource.Worker, demands []Demand) ([]Cell, error) {
	p := newPacker(workers, demands)
	if err := p.checkFeasible(); err != nil {
		return nil, err
	}
	order := p.initialOrder()
	firstUnplaced := -1
	for range packRounds {
		unplaced := p.tryOrder(order)
		if unplaced < 0 {
			return p.cells(), nil
		}
		if firstUnplaced < 0 {
			firstUnplaced = unplaced
		}
		if p.budget <= 0 {
			break
		}
		// The demand that could not be placed comes earlier in the next round.
		promote(order, unplaced)
	}
	d := demands[firstUnplaced]
	return nil, errkind.New(errkind.Infeasible, "guarantee less, relax the adjacency or add workers",
		"account %s: no room for copy %d of guarantee %d (%s) next to all other guarantees",
		d.Account, d.Copy+1, d.Guarantee, formatShape(d.Shape))
}

// checkFeasible returns an Infeasible error if the demands exceed the total capacity of the workers, or if a demand does not
// fit even on empty workers. The error states the reason, whereas a failed search can only name a demand.
func (p *packer) checkFeasible() error {
	var needed resource.Resources
	feasible := map[resource.Shape]bool{}
	for _, d := range p.demands {
		if !feasible[d.Shape] && !p.fitsEmptyWorkers(d.Shape) {
			return errkind.New(errkind.Infeasible, "guarantee a smaller shape, relax the adjacency or add workers",
				"account %s: guarantee %d (%s) has no room even on empty workers", d.Account, d.Guarantee, formatShape(d.Shape))
		}
		feasible[d.Shape] = true
		needed = needed.Add(d.Shape.Total())
		if !needed.Fits(p.total) {
			return errkind.New(errkind.Infeasible, "guarantee less or add workers",
				"account %s: with copy %d of guarantee %d, guarantees need %s of %s",
				d.Account, d.Copy+1, d.Guarantee, formatResources(needed), formatResources(p.total))
		}
	}
	return nil
}

// fitsEmptyWorkers reports whether the shape fits when nothing else is placed. It resets the packer.
func (p *packer) fitsEmptyWorkers(s resource.Shape) bool {
	p.reset()
	return p.place(s) != nil
}

// reset makes the full capacity of every worker available again.
func (p *packer) reset() {
	for i, w := range p.workers {
		p.free[i] = w.Capacity
	}
}

func formatResources(r resource.Resources) string {
	return fmt.Sprintf("%d accelerators, %d milli-CPU, %d MB", r.Accelerators, r.MilliCPU, r.MemoryMB)
}

func formatShape(s resource.Shape) string {
	return fmt.Sprintf("%d members of %s, adjacency %s", s.Members, formatResources(s.PerMember), s.Adjacency)
}

// promote moves demand to half its current position in order.
func promote(order []int, demand int) {
	from := slices.Index(order, demand)
	to := from / 2
	copy(order[to+1:from+1], order[to:from])
	order[to] = demand
}

// packer holds the state of one Pack call.
type packer struct {
	workers []resource.Worker
	demands []Demand
	// racks holds worker indexes by rack, both in the order of workers.
	racks [][]int
	// all holds the index of every worker.
	all []int
	// total is the capacity of all workers combined; size compares amounts relative to it.
	total resource.Resources
	// free is the unused capacity of each worker, by worker index.
	free []resource.Resources
	// placed holds the worker index of each member, by demand index.
	placed [][]int
	// budget is the number of worker inspections left.
	budget int
}

func newPacker(workers []resource.Worker, demands []Demand) *packer {
	p := &packer{workers: workers, demands: demands, budget: packBudget}
	p.free = make([]resource.Resources, len(workers))
	p.placed = make([][]int, len(demands))
	rackIndex := map[string]int{}
	for i, w := range workers {
		p.total = p.total.Add(w.Capacity)
		p.all = append(p.all, i)
		rack, ok := rackIndex[w.Rack]
		if !ok {
			rack = len(p.racks)
			rackIndex[w.Rack] = rack
			p.racks = append(p.racks, nil)
		}
		p.racks[rack] = append(p.racks[rack], i)
	}
	return p
}

// size returns a measure of r relative to the total capacity. It adds the share of each resource in billionths, and counts
// the largest share, that of the scarcest resource, four more times. It uses integers because fused floating-point
// operations give different results on different processors.
func (p *packer) size(r resource.Resources) int64 {
	share := func(amount, total int64) int64 {
		if total == 0 {
			return 0
		}
		return amount * 1_000_000_000 / total
	}
	accelerators := share(int64(r.Accelerators), int64(p.total.Accelerators))
	cpu := share(r.MilliCPU, p.total.MilliCPU)
	memory := share(r.MemoryMB, p.total.MemoryMB)
	return 4*max(accelerators, cpu, memory) + accelerators + cpu + memory
}

// placementUnit returns the resources that must fit on one worker: those of the complete gang or of one member.
func placementUnit(s resource.Shape) resource.Resources {
	if s.Adjacency == resource.AdjacencyWorker {
		return s.Total()
	}
	return s.PerMember
}

// initialOrder returns the demand indexes with the largest placement units first, then the tightest adjacency, then the
// largest gangs.
func (p *packer) initialOrder() []int {
	tightness := map[resource.Adjacency]int{resource.AdjacencyWorker: 0, resource.AdjacencyRack: 1, resource.AdjacencyNone: 2}
	order := make([]int, len(p.demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := p.demands[x].Shape, p.demands[y].Shape
		return cmp.Or(
			cmp.Compare(p.size(placementUnit(b)), p.size(placementUnit(a))),
			cmp.Compare(tightness[a.Adjacency], tightness[b.Adjacency]),
			cmp.Compare(p.size(b.Total()), p.size(a.Total())),
		)
	})
	return order
}

// tryOrder places the demands in order on empty workers. It returns the index of the first demand that cannot be placed, or
// -1 if all are placed.
func (p *packer) tryOrder(order []int) int {
	p.reset()
	for _, d := range order {
		p.placed[d] = p.place(p.demands[d].Shape)
		if p.placed[d] == nil {
			return d
		}
	}
	return -1
}

// place allocates capacity for a gang and returns the worker index of each member, or nil if the gang does not fit.
func (p *packer) place(s resource.Shape) []int {
	switch s.Adjacency {
	case resource.AdjacencyWorker:
		w := p.bestFit(p.all, s.Total())
		if w < 0 {
			return nil
		}
		p.free[w] = p.free[w].Sub(s.Total())
		return slices.Repeat([]int{w}, s.Members)
	case resource.AdjacencyRack:
		return p.placeInRack(s)
	default:
		return p.placeAmong(p.all, s)
	}
}

// placeInRack places a gang in the rack that has the least free capacity among those that can hold the gang. It returns the
// worker index of each member, or nil if no rack can hold the gang.
func (p *packer) placeInRack(s resource.Shape) []int {
	best, bestSize := -1, int64(0)
	for i, rack := range p.racks {
		members, rackFree := 0, resource.Resources{}
		for _, w := range rack {
			members += countFitting(p.free[w], s.PerMember, s.Members)
			rackFree = rackFree.Add(p.free[w])
		}
		p.budget -= len(rack)
		if members < s.Members {
			continue
		}
		if size := p.size(rackFree); best < 0 || size < bestSize {
			best, bestSize = i, size
		}
	}
	if best < 0 {
		return nil
	}
	return p.placeAmong(p.racks[best], s)
}

// countFitting returns how many copies of r fit into free, at most limit.
func countFitting(free, r resource.Resources, limit int) int {
	n := int64(limit)
	if r.Accelerators > 0 {
		n = min(n, int64(free.Accelerators/r.Accelerators))
	}
	if r.MilliCPU > 0 {
		n = min(n, free.MilliCPU/r.MilliCPU)
	}
	if r.MemoryMB > 0 {
		n = min(n, free.MemoryMB/r.MemoryMB)
	}
	return int(n)
}

// placeAmong places the members of a gang on the best-fitting candidates, which are worker indexes, and returns the worker
// index of each member. If not all fit, it releases the allocated capacity and returns nil.
func (p *packer) placeAmong(candidates []int, s resource.Shape) []int {
	members := make([]int, 0, s.Members)
	for len(members) < s.Members {
		w := p.bestFit(candidates, s.PerMember)
		if w < 0 {
			for _, allocated := range members {
				p.free[allocated] = p.free[allocated].Add(s.PerMember)
			}
			return nil
		}
		for range countFitting(p.free[w], s.PerMember, s.Members-len(members)) {
			p.free[w] = p.free[w].Sub(s.PerMember)
			members = append(members, w)
		}
	}
	return members
}

// bestFit returns the candidate with the least free capacity that can hold r, or -1 if there is none. It uses up budget.
func (p *packer) bestFit(candidates []int, r resource.Resources) int {
	p.budget -= len(candidates)
	best, bestSize := -1, int64(0)
	for _, w := range candidates {
		if !r.Fits(p.free[w]) {
			continue
		}
		if size := p.size(p.free[w]); best < 0 || size < bestSize {
			best, bestSize = w, size
		}
	}
	return best
}

func (p *packer) cells() []Cell {
	cells := make([]Cell, len(p.demands))
	for i, d := range p.demands {
		cells[i] = Cell{Demand: d, Workers: make([]string, len(p.placed[i]))}
		for m, w := range p.placed[i] {
			cells[i].Workers[m] = p.workers[w].ID
		}
	}
	return cells
}

// CheckPacking returns an error if cells exceed the capacity of a worker, use an unknown worker, violate an adjacency or
// omit a member.
func CheckPacking(workers []resource.Worker, cells []Cell) error {
	byID := make(map[string]resource.Worker, len(workers))
	used := make(map[string]resource.Resources, len(workers))
	for _, w := range workers {
		byID[w.ID] = w
	}
	for _, c := range cells {
		if len(c.Workers) != c.Demand.Shape.Members {
			return fmt.Errorf("cell of account %s has %d of %d members", c.Demand.Account, len(c.Workers), c.Demand.Shape.Members)
		}
		for _, id := range c.Workers {
			w, ok := byID[id]
			used[id] = used[id].Add(c.Demand.Shape.PerMember)
			if !ok || !used[id].Fits(w.Capacity) {
				return fmt.Errorf("worker %s is unknown, or its capacity is exceeded by account %s", id, c.Demand.Account)
			}
			first := byID[c.Workers[0]]
			if c.Demand.Shape.Adjacency == resource.AdjacencyWorker && id != first.ID ||
				c.Demand.Shape.Adjacency == resource.AdjacencyRack && w.Rack != first.Rack {
				return fmt.Errorf("cell of account %s violates its adjacency", c.Demand.Account)
			}
		}
	}
	return nil
}
