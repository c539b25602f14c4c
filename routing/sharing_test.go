package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
)

// simEvent is one step of the driver.
type simEvent struct {
	at   time.Time
	seq  int
	step func()
}

type simHeap []simEvent

func (h simHeap) Len() int      { return len(h) }
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h simHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simEndpoint is an endpoint with slots and a queue of its own for what exceeds them.
type simEndpoint struct {
	busy    int
	waiting []func()
}

// sim drives gateways over 50 endpoints of 8 slots. Messages take 1 ms one way, service times are exponential.
type sim struct {
	now       time.Time
	seq       int
	events    simHeap
	random    *rand.Rand
	endpoints map[string]*simEndpoint
	domain    []string
	queues    [][]func(id string)
	waits     []time.Duration
	overfull  int
	lent      int
}

const (
	simDelay   = time.Millisecond
	simService = 50 * time.Millisecond
	simSlots   = 8
)

func (s *sim) after(d time.Duration, step func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, step})
}

// exchange runs one request at an endpoint and calls done with the reported load when the response arrives.
func (s *sim) exchange(id string, arrived time.Time, done func(inflight int)) {
	s.after(simDelay, func() {
		e := s.endpoints[id]
		e.busy++
		load := e.busy
		took := time.Duration(s.random.ExpFloat64() * float64(simService))
		run := func() {
			s.after(took, func() {
				load := e.busy
				e.busy--
				if len(e.waiting) > 0 {
					next := e.waiting[0]
					e.waiting = e.waiting[1:]
					next()
				}
				s.after(simDelay, func() {
					s.waits = append(s.waits, s.now.Sub(arrived)-took-2*simDelay)
					done(load)
				})
			})
		}
		if load <= simSlots {
			run()
			return
		}
		s.overfull++
		e.waiting = append(e.waiting, run)
	})
}

// runSim returns the driver after requests were served at the share of capacity, with owned slots or by reported load.
func runSim(gateways int, load float64, owned, ownerDead bool) *sim {
	s := &sim{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(3, uint64(gateways))), endpoints: map[string]*simEndpoint{}}
	doc := &config.Document{Services: map[string]config.Service{"s": {Endpoints: map[string]config.Endpoint{}}}}
	byDomain := map[string][]string{}
	for i := range 50 {
		id, domain := fmt.Sprintf("e-%02d", i), fmt.Sprintf("fd-%d", i%3)
		doc.Services["s"].Endpoints[id] = config.Endpoint{ID: id, FailureDomain: domain, Address: id, Slots: simSlots, MaxConnections: 64}
		s.endpoints[id] = &simEndpoint{}
		byDomain[domain] = append(byDomain[domain], id)
	}
	members := map[string][]int{}
	for g := range gateways {
		s.domain = append(s.domain, fmt.Sprintf("fd-%d", g%3))
		members[s.domain[g]] = append(members[s.domain[g]], g)
	}
	s.queues = make([][]func(string), gateways)
	tables, stocks := make([]*Table, gateways), make([]*Owned, gateways)
	for g := range gateways {
		tables[g] = NewTable(s.domain[g], uint64(g)+1)
		tables[g].SetConfig(doc)
		peers := members[s.domain[g]]
		var ids []string
		slots := map[string]int{}
		for i, id := range byDomain[s.domain[g]] {
			if peers[i%len(peers)] == g {
				ids = append(ids, id)
				slots[id] = simSlots
			}
		}
		stocks[g] = NewOwned(slots, ids, uint64(g)+1)
	}
	for g := range gateways {
		if g == 0 && ownerDead {
			continue
		}
		// The balancer's share per gateway keeps each failure domain at the same load.
		share := float64(len(byDomain[s.domain[g]])*simSlots) / float64(len(members[s.domain[g]]))
		if ownerDead && s.domain[g] == s.domain[0] {
			share *= float64(len(members[s.domain[0]])) / float64(len(members[s.domain[0]])-1)
		}
		gap := float64(simService) / share / load
		var pump func()
		if owned {
			pump = s.pumpOwned(g, stocks, members[s.domain[g]], ownerDead)
		} else {
			pump = s.pumpReported(g, tables[g])
		}
		var arrive func()
		arrive = func() {
			arrived := s.now
			s.queues[g] = append(s.queues[g], func(id string) { s.start(g, id, arrived, owned, stocks, tables, pump) })
			pump()
			s.after(time.Duration(s.random.ExpFloat64()*gap), arrive)
		}
		s.after(time.Duration(s.random.ExpFloat64()*gap), arrive)
	}
	for s.events.Len() > 0 && len(s.waits) < 60000 {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.step()
	}
	slices.Sort(s.waits)
	return s
}

// start dispatches a request of gateway g.
func (s *sim) start(g int, id string, arrived time.Time, owned bool, stocks []*Owned, tables []*Table, pump func()) {
	s.exchange(id, arrived, func(inflight int) {
		if !owned {
			c := Choice{Service: "s", Endpoint: id, Address: id}
			tables[g].Done(c, Report{Inflight: inflight, Incarnation: "i", Took: simService}, s.now)
			pump()
			return
		}
		if _, own := stocks[g].slots[id]; own {
			stocks[g].Return(id)
			pump()
			return
		}
		for _, stock := range stocks {
			if _, own := stock.slots[id]; own {
				s.after(simDelay, func() { stock.Return(id) })
			}
		}
		pump()
	})
}

// pumpReported dispatches by reported load.
func (s *sim) pumpReported(g int, table *Table) func() {
	armed := false
	var pump func()
	pump = func() {
		for len(s.queues[g]) > 0 {
			c, ok := table.Pick("s", nil, false, s.now)
			if !ok {
				break
			}
			head := s.queues[g][0]
			s.queues[g] = s.queues[g][1:]
			head(c.Endpoint)
		}
		if len(s.queues[g]) > 0 && !armed {
			armed = true
			s.after(10*time.Millisecond, func() { armed = false; pump() })
		}
	}
	return pump
}

// pumpOwned dispatches to owned slots and borrows from the other gateways of the failure domain when none is free.
func (s *sim) pumpOwned(g int, stocks []*Owned, members []int, ownerDead bool) func() {
	borrowing := 0
	var pump func()
	pump = func() {
		for len(s.queues[g]) > 0 {
			id, ok := stocks[g].Take()
			if !ok {
				break
			}
			head := s.queues[g][0]
			s.queues[g] = s.queues[g][1:]
			head(id)
		}
		for len(members) > 1 && borrowing < len(s.queues[g]) && borrowing < 8 {
			peer := members[s.random.IntN(len(members))]
			if peer == g {
				continue
			}
			borrowing++
			s.after(simDelay, func() {
				id, ok := "", false
				if len(s.queues[peer]) == 0 && !(peer == 0 && ownerDead) {
					id, ok = stocks[peer].Take()
				}
				s.after(simDelay, func() {
					borrowing--
					switch {
					case ok && len(s.queues[g]) > 0:
						s.lent++
						head := s.queues[g][0]
						s.queues[g] = s.queues[g][1:]
						head(id)
					case ok:
						s.after(simDelay, func() { stocks[peer].Return(id) })
					default:
						s.after(5*time.Millisecond, pump)
					}
				})
			})
		}
	}
	return pump
}

// TestSharing compares both ways of sharing slots.
func TestSharing(t *testing.T) {
	for _, gateways := range []int{6, 7} {
		for _, load := range []float64{0.7, 0.9, 0.95, -0.7} {
			for _, owned := range []bool{true, false} {
				s := runSim(gateways, max(load, -load), owned, load < 0)
				n := len(s.waits)
				var sum time.Duration
				for _, w := range s.waits {
					sum += w
				}
				t.Logf("%d gateways, load %.2f, owned %5v: wait mean %6.2f p50 %6.2f p99 %6.2f ms, over slots %.2f%%, lent %.1f%%",
					gateways, load, owned, float64(sum.Microseconds())/float64(n)/1000,
					float64(s.waits[n/2].Microseconds())/1000, float64(s.waits[n*99/100].Microseconds())/1000,
					float64(s.overfull)*100/float64(n), float64(s.lent)*100/float64(n))
			}
		}
	}
}
