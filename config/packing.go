package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// packBudget bounds the work of one Pack call in worker inspections, about 0.1 s. It is a count and not a time, because
// the check is part of the fold and every process must come to the same result.
const packBudget = 20_000_000

// packRounds bounds the number of orders that Pack tries.
const packRounds = 64

// Demand is one guaranteed gang: one copy of one guarantee.
type Demand struct {
	Account string
	// Guarantee is the index into the account's guarantees, Copy counts from 0 to Count-1.
	Guarantee int
	Copy      int
	Shape     resource.Shape
}

// Cell is the capacity set aside for a demand: the worker of each member, by member index.
type Cell struct {
	Demand  Demand
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

// Pack places all demands on workers at once and returns one cell for each demand, in the order of demands. What it
// returns fits: no worker holds more than its capacity and every gang is as close as its adjacency demands. Since the
// problem is NP-hard, it may fail to find a packing that exists; the Infeasible error then names the account of a demand
// that found no place. The result depends only on the arguments and their order.
//
// The result is part of the rule set: a change of the method needs a new RuleSet.
func Pack(workers []resource.Worker, demands []Demand) ([]Cell, error) {
	p := newPacker(workers, demands)
	if err := p.shortage(); err != nil {
		return nil, err
	}
	order := p.initialOrder()
	firstFailed := -1
	for range packRounds {
		failed := p.tryOrder(order)
		if failed < 0 {
			return p.cells(), nil
		}
		if firstFailed < 0 {
			firstFailed = failed
		}
		if p.budget <= 0 {
			break
		}
		// A demand that found no place is placed earlier in the next round.
		promote(order, failed)
	}
	d := demands[firstFailed]
	return nil, errkind.New(errkind.Infeasible, "guarantee less, relax the adjacency or add workers",
		"account %s: no room for copy %d of guarantee %d (%s) next to all other guarantees",
		d.Account, d.Copy+1, d.Guarantee, describe(d.Shape))
}

// shortage returns an error if the demands need more than all workers have, or one needs more than any place can hold. It
// names the reason, where a failed search could only name a demand.
func (p *packer) shortage() error {
	var needed resource.Resources
	held := map[resource.Shape]bool{}
	for _, d := range p.demands {
		if !held[d.Shape] && !p.holdsAlone(d.Shape) {
			return errkind.New(errkind.Infeasible, "guarantee a smaller shape, relax the adjacency or add workers",
				"account %s: guarantee %d (%s) has no room even on empty workers", d.Account, d.Guarantee, describe(d.Shape))
		}
		held[d.Shape] = true
		needed = needed.Add(d.Shape.Total())
		if !needed.Fits(p.total) {
			return errkind.New(errkind.Infeasible, "guarantee less or add workers",
				"account %s: with copy %d of guarantee %d, guarantees need %s of %s", d.Account, d.Copy+1, d.Guarantee,
				amount(needed), amount(p.total))
		}
	}
	return nil
}

// holdsAlone reports whether empty workers hold the shape.
func (p *packer) holdsAlone(s resource.Shape) bool {
	p.empty()
	return p.place(s) != nil
}

// empty gives all capacity back.
func (p *packer) empty() {
	for i, w := range p.workers {
		p.free[i] = w.Capacity
	}
}

func amount(r resource.Resources) string {
	return fmt.Sprintf("%d accelerators, %d milli-CPU, %d MB", r.Accelerators, r.MilliCPU, r.MemoryMB)
}

func describe(s resource.Shape) string {
	return fmt.Sprintf("%d members of %s, adjacency %s", s.Members, amount(s.PerMember), s.Adjacency)
}

// promote moves demand to half its position.
func promote(order []int, demand int) {
	at := slices.Index(order, demand)
	to := at / 2
	copy(order[to+1:at+1], order[to:at])
	order[to] = demand
}

// packer holds one attempt to place all demands.
type packer struct {
	workers []resource.Worker
	demands []Demand
	// racks holds worker indexes by rack, both in the order of workers.
	racks [][]int
	all   []int
	// total is the capacity of all workers, the unit in which amounts are compared.
	total  resource.Resources
	free   []resource.Resources
	placed [][]int
	// budget counts the worker inspections left.
	budget int
}

func newPacker(workers []resource.Worker, demands []Demand) *packer {
	p := &packer{workers: workers, demands: demands, budget: packBudget}
	p.free = make([]resource.Resources, len(workers))
	p.placed = make([][]int, len(demands))
	byRack := map[string]int{}
	for i, w := range workers {
		p.total = p.total.Add(w.Capacity)
		p.all = append(p.all, i)
		at, ok := byRack[w.Rack]
		if !ok {
			at = len(p.racks)
			byRack[w.Rack] = at
			p.racks = append(p.racks, nil)
		}
		p.racks[at] = append(p.racks[at], i)
	}
	return p
}

// size compares amounts in millionths of the whole capacity, with the scarcest resource counting most. Integers are used
// because fused floating point operations differ between processors.
func (p *packer) size(r resource.Resources) int64 {
	share := func(amount, total int64) int64 {
		if total == 0 {
			return 0
		}
		return amount * 1_000_000_000 / total
	}
	a := share(int64(r.Accelerators), int64(p.total.Accelerators))
	c := share(r.MilliCPU, p.total.MilliCPU)
	m := share(r.MemoryMB, p.total.MemoryMB)
	return 4*max(a, c, m) + a + c + m
}

// unit is what must fit on one worker: the whole gang or one member.
func unit(s resource.Shape) resource.Resources {
	if s.Adjacency == resource.AdjacencyWorker {
		return s.Total()
	}
	return s.PerMember
}

// initialOrder puts large units first, then the tighter adjacency, then large gangs.
func (p *packer) initialOrder() []int {
	tightness := map[resource.Adjacency]int{resource.AdjacencyWorker: 0, resource.AdjacencyRack: 1, resource.AdjacencyNone: 2}
	order := make([]int, len(p.demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, b := p.demands[x].Shape, p.demands[y].Shape
		return cmp.Or(
			cmp.Compare(p.size(unit(b)), p.size(unit(a))),
			cmp.Compare(tightness[a.Adjacency], tightness[b.Adjacency]),
			cmp.Compare(p.size(b.Total()), p.size(a.Total())),
		)
	})
	return order
}

// tryOrder places the demands in order and returns the first that found no place, -1 if all did.
func (p *packer) tryOrder(order []int) int {
	p.empty()
	for _, d := range order {
		p.placed[d] = p.place(p.demands[d].Shape)
		if p.placed[d] == nil {
			return d
		}
	}
	return -1
}

// place returns the worker index of each member and takes the capacity, nil if there is no room.
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

// placeInRack uses the rack that has the least left afterwards.
func (p *packer) placeInRack(s resource.Shape) []int {
	best, bestLeft := -1, int64(0)
	for i, rack := range p.racks {
		room, left := 0, resource.Resources{}
		for _, w := range rack {
			room += fitting(p.free[w], s.PerMember, s.Members)
			left = left.Add(p.free[w])
		}
		p.budget -= len(rack)
		if room < s.Members {
			continue
		}
		if size := p.size(left); best < 0 || size < bestLeft {
			best, bestLeft = i, size
		}
	}
	if best < 0 {
		return nil
	}
	return p.placeAmong(p.racks[best], s)
}

// fitting returns how many copies of r fit into free, at most limit.
func fitting(free, r resource.Resources, limit int) int {
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

// placeAmong places member by member on the worker with the best fit; on failure it gives everything back.
func (p *packer) placeAmong(candidates []int, s resource.Shape) []int {
	members := make([]int, 0, s.Members)
	for len(members) < s.Members {
		w := p.bestFit(candidates, s.PerMember)
		if w < 0 {
			for _, taken := range members {
				p.free[taken] = p.free[taken].Add(s.PerMember)
			}
			return nil
		}
		for range fitting(p.free[w], s.PerMember, s.Members-len(members)) {
			p.free[w] = p.free[w].Sub(s.PerMember)
			members = append(members, w)
		}
	}
	return members
}

// bestFit returns the candidate that can hold r and has the least free, -1 if none can.
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

// CheckPacking returns an error if cells overfill a worker, use an unknown one or break an adjacency.
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
				return fmt.Errorf("worker %s is unknown or overfilled by account %s", id, c.Demand.Account)
			}
			first := byID[c.Workers[0]]
			if c.Demand.Shape.Adjacency == resource.AdjacencyWorker && id != first.ID ||
				c.Demand.Shape.Adjacency == resource.AdjacencyRack && w.Rack != first.Rack {
				return fmt.Errorf("cell of account %s is not adjacent", c.Demand.Account)
			}
		}
	}
	return nil
}
