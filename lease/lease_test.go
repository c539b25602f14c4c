package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// workerLease simulates a worker that grants its lease to one holder at a time, with increasing epochs.
type workerLease struct {
	epoch  uint64
	holder string
	until  time.Time
}

func (g *workerLease) handle(holder string, s Request, now time.Time) Response {
	free := !now.Before(g.until)
	granted := s.Epoch > 0 && (holder == g.holder && s.Epoch >= g.epoch || free && s.Epoch > g.epoch)
	if granted {
		g.epoch, g.holder, g.until = s.Epoch, holder, now.Add(s.Length)
	}
	return Response{Granted: granted, Epoch: g.epoch, Holder: g.holder, ExpiresIn: max(g.until.Sub(now), 0)}
}

// simulation steps candidates that share workers every 50 ms of simulated time.
type simulation struct {
	now     time.Time
	workers map[string]*workerLease
	cores   map[string]*Core
	// partitioned holds the candidates, or candidate/worker pairs, whose requests are lost. paused holds the candidates that
	// take no steps.
	partitioned map[string]bool
	paused      map[string]bool
	random      *rand.Rand
}

func newSimulation(count int, seed uint64, names ...string) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), workers: map[string]*workerLease{}, cores: map[string]*Core{}, partitioned: map[string]bool{},
		paused: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range count {
		sim.workers[fmt.Sprintf("w-%d", i)] = &workerLease{}
	}
	for _, name := range names {
		sim.cores[name] = New(name)
		sim.cores[name].SetWorkers(sim.ids(count), sim.now)
	}
	return sim
}

func (sim *simulation) ids(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("w-%d", i))
	}
	return ids
}

// run advances the time by d. It returns the largest number of candidates that were active at once and the number of
// requests that were sent.
func (sim *simulation) run(d time.Duration) (maxActive, sent int) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(50 * time.Millisecond) {
		for name, c := range sim.cores {
			if sim.paused[name] {
				continue
			}
			requests, _ := c.Step(sim.now, sim.random.Float64())
			// Candidates send to the workers in different orders, so that simultaneous claims split the workers.
			sim.random.Shuffle(len(requests), func(i, k int) { requests[i], requests[k] = requests[k], requests[i] })
			for _, s := range requests {
				sent++
				c.RequestSent(s.Worker, sim.now)
				g := sim.workers[s.Worker]
				if g == nil || sim.partitioned[name] || sim.partitioned[name+"/"+s.Worker] {
					c.RequestFailed(s.Worker)
					continue
				}
				c.ApplyResponse(s.Worker, s.Kind, s.Epoch, sim.now, g.handle(name, s, sim.now), sim.now)
			}
		}
		maxActive = max(maxActive, len(sim.active()))
	}
	return maxActive, sent
}

func (sim *simulation) active() (names []string) {
	for name, c := range sim.cores {
		if c.Active(sim.now) {
			names = append(names, name)
		}
	}
	return names
}

// TestCandidatesConverge guards against candidates that start at the same time and keep splitting the workers, so that none
// gets a majority, and against several that are active at once.
func TestCandidatesConverge(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(7, seed, "a", "b", "c")
		most, _ := sim.run(15 * time.Second)
		if len(sim.active()) != 1 || most > 1 {
			t.Fatalf("seed %d: active %v, at most %d at once; want one", seed, sim.active(), most)
		}
	}
}

// TestTakeover guards against a takeover from a live holder, against one that takes much longer than the holder lease after a
// crash, and against a holder that still reports after a pause that it is active.
func TestTakeover(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(9, seed, "a", "b")
		sim.run(10 * time.Second)
		first := sim.active()[0]
		sim.run(60 * time.Second)
		if got := sim.active(); len(got) != 1 || got[0] != first {
			t.Fatalf("seed %d: %v took over from the live holder %s", seed, got, first)
		}
		sim.paused[first] = true
		sim.run(Length + 500*time.Millisecond)
		if got := sim.active(); len(got) != 1 || got[0] == first {
			t.Fatalf("seed %d: active %v after the crash of %s, want the other candidate", seed, got, first)
		}
		// The paused holder must find its lease expired before it sends a command.
		if sim.cores[first].Active(sim.now) || sim.cores[first].Confirmed(sim.now) {
			t.Fatalf("seed %d: the paused holder still reports that it is active", seed)
		}
	}
}

// TestRelinquishFreesWorkers guards against a planned stop after which the standby has to wait for the leases to expire.
func TestRelinquishFreesWorkers(t *testing.T) {
	sim := newSimulation(9, 1, "a", "b")
	sim.run(10 * time.Second)
	first := sim.active()[0]
	for _, s := range sim.cores[first].Relinquish(sim.now) {
		sim.workers[s.Worker].handle(first, s, sim.now)
	}
	sim.paused[first] = true
	sim.run(ProbeInterval + 500*time.Millisecond)
	if got := sim.active(); len(got) != 1 || got[0] == first {
		t.Fatalf("active %v soon after %s relinquished its leases, want the other candidate", got, first)
	}
}

// TestMinorityPartitionKeepsHolder guards against a standby that claims workers or becomes active because the holder cannot
// reach a minority of the workers.
func TestMinorityPartitionKeepsHolder(t *testing.T) {
	sim := newSimulation(9, 1, "a", "b")
	sim.run(10 * time.Second)
	first := sim.active()[0]
	for i := range 4 {
		sim.partitioned[fmt.Sprintf("%s/w-%d", first, i)] = true
	}
	for range 30 {
		sim.run(time.Second)
		if got := sim.active(); len(got) != 1 || got[0] != first {
			t.Fatalf("active %v, want %s", got, first)
		}
	}
	for id, g := range sim.workers {
		if g.holder != first {
			t.Fatalf("worker %s was claimed by %s", id, g.holder)
		}
	}
}

// TestWorkerSetChangeKeepsOneActive guards against two active schedulers while the configured workers are replaced and the
// candidates see the change at different times.
func TestWorkerSetChangeKeepsOneActive(t *testing.T) {
	sim := newSimulation(10, 1, "a", "b")
	for _, c := range sim.cores {
		c.SetWorkers(sim.ids(5), sim.now)
	}
	sim.run(20 * time.Second)
	first := sim.active()[0]
	next := []string{"w-5", "w-6", "w-7", "w-8", "w-9"}
	// The other candidate sees the change first and must not become active on the new workers alone.
	for name, c := range sim.cores {
		if name != first {
			c.SetWorkers(next, sim.now)
		}
	}
	if most, _ := sim.run(4 * time.Second); most != 1 {
		t.Fatalf("%d active at once during the change, want 1", most)
	}
	sim.cores[first].SetWorkers(next, sim.now)
	if most, _ := sim.run(SetChangeOverlap + 10*time.Second); most != 1 || len(sim.active()) != 1 {
		t.Fatalf("%d active at once, then %v; want one", most, sim.active())
	}
}

// TestStandbyProbeRateIsBounded guards against a standby whose request rate grows with the number of workers, here because
// one of them is down.
func TestStandbyProbeRateIsBounded(t *testing.T) {
	sim := newSimulation(120, 1, "a", "b")
	sim.run(10 * time.Second)
	delete(sim.workers, "w-3")
	_, both := sim.run(60 * time.Second)
	standby := "a"
	if sim.active()[0] == "a" {
		standby = "b"
	}
	sim.paused[standby] = true
	_, holder := sim.run(60 * time.Second)
	if perMinute := both - holder; perMinute > 150 {
		t.Fatalf("the standby made %d requests in a minute, want at most 150", perMinute)
	}
}
