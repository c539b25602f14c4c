package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// workerLease simulates a worker that grants its lease.
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
	// partitioned is keyed by candidate or by candidate/worker pair, paused by candidate.
	partitioned map[string]bool
	paused      map[string]bool
	random      *rand.Rand
}

func newSimulation(count int, seed uint64, names ...string) *simulation {
	w := &simulation{now: time.Unix(1000, 0), workers: map[string]*workerLease{}, cores: map[string]*Core{}, partitioned: map[string]bool{},
		paused: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range count {
		w.workers[fmt.Sprintf("w-%d", i)] = &workerLease{}
	}
	for _, name := range names {
		w.cores[name] = New(name)
		w.cores[name].SetWorkers(w.ids(count), w.now)
	}
	return w
}

func (w *simulation) ids(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("w-%d", i))
	}
	return ids
}

// run advances the time by d. It returns the largest number of candidates that were active at once and the number of
// requests that were sent.
func (w *simulation) run(d time.Duration) (maxActive, sent int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for name, c := range w.cores {
			if w.paused[name] {
				continue
			}
			requests, _ := c.Step(w.now, w.random.Float64())
			// Candidates send to the workers in different orders, so that simultaneous claims split the workers.
			w.random.Shuffle(len(requests), func(i, k int) { requests[i], requests[k] = requests[k], requests[i] })
			for _, s := range requests {
				sent++
				c.RequestSent(s.Worker, w.now)
				g := w.workers[s.Worker]
				if g == nil || w.partitioned[name] || w.partitioned[name+"/"+s.Worker] {
					c.RequestFailed(s.Worker)
					continue
				}
				c.ApplyResponse(s.Worker, s.Kind, s.Epoch, w.now, g.handle(name, s, w.now), w.now)
			}
		}
		maxActive = max(maxActive, len(w.active()))
	}
	return maxActive, sent
}

func (w *simulation) active() (names []string) {
	for name, c := range w.cores {
		if c.Active(w.now) {
			names = append(names, name)
		}
	}
	return names
}

// TestCandidatesConverge guards against candidates that start at the same time and keep splitting the workers, so that none
// gets a majority.
func TestCandidatesConverge(t *testing.T) {
	for seed := range uint64(50) {
		w := newSimulation(7, seed, "a", "b", "c")
		most, _ := w.run(15 * time.Second)
		if len(w.active()) != 1 || most > 1 {
			t.Fatalf("seed %d: active %v, at most %d at once", seed, w.active(), most)
		}
	}
}

// TestTakeover guards against a takeover from a live holder, and against one that takes much longer than the holder lease
// after a crash.
func TestTakeover(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(9, seed, "a", "b")
		w.run(10 * time.Second)
		first := w.active()[0]
		w.run(60 * time.Second)
		if got := w.active(); len(got) != 1 || got[0] != first {
			t.Fatalf("seed %d: %v took over from the live holder %s", seed, got, first)
		}
		w.paused[first] = true
		w.run(Length + 500*time.Millisecond)
		if got := w.active(); len(got) != 1 || got[0] == first {
			t.Fatalf("seed %d: active %v after the crash of %s", seed, got, first)
		}
		// The paused holder must find its lease expired before it sends a command.
		if w.cores[first].Active(w.now) || w.cores[first].Confirmed(w.now) {
			t.Fatalf("seed %d: the paused holder still reports that it is active", seed)
		}
	}
}

// TestRelinquishFreesWorkers guards against a planned stop after which the standby has to wait for the leases to expire.
func TestRelinquishFreesWorkers(t *testing.T) {
	w := newSimulation(9, 1, "a", "b")
	w.run(10 * time.Second)
	first := w.active()[0]
	for _, s := range w.cores[first].Relinquish(w.now) {
		w.workers[s.Worker].handle(first, s, w.now)
	}
	w.paused[first] = true
	w.run(ProbeInterval + 500*time.Millisecond)
	if got := w.active(); len(got) != 1 || got[0] == first {
		t.Fatalf("active %v soon after %s relinquished its leases", got, first)
	}
}

// TestMinorityPartitionKeepsHolder guards against a standby that claims workers of a holder that is cut off from a minority
// of them.
func TestMinorityPartitionKeepsHolder(t *testing.T) {
	w := newSimulation(9, 1, "a", "b")
	w.run(10 * time.Second)
	first := w.active()[0]
	for i := range 4 {
		w.partitioned[fmt.Sprintf("%s/w-%d", first, i)] = true
	}
	for range 30 {
		w.run(time.Second)
		if got := w.active(); len(got) != 1 || got[0] != first {
			t.Fatalf("active %v, want %s", got, first)
		}
	}
	for id, g := range w.workers {
		if g.holder != first {
			t.Fatalf("worker %s was claimed by %s", id, g.holder)
		}
	}
}

// TestWorkerSetChangeKeepsOneActive guards against two active schedulers while the configured workers are replaced and the
// candidates see the change at different times.
func TestWorkerSetChangeKeepsOneActive(t *testing.T) {
	w := newSimulation(10, 1, "a", "b")
	for _, c := range w.cores {
		c.SetWorkers(w.ids(5), w.now)
	}
	w.run(20 * time.Second)
	first := w.active()[0]
	next := []string{"w-5", "w-6", "w-7", "w-8", "w-9"}
	// The other candidate sees the change first and must not become active on the new workers alone.
	for name, c := range w.cores {
		if name != first {
			c.SetWorkers(next, w.now)
		}
	}
	if most, _ := w.run(4 * time.Second); most != 1 {
		t.Fatalf("%d active during the change", most)
	}
	w.cores[first].SetWorkers(next, w.now)
	if most, _ := w.run(SetChangeOverlap + 10*time.Second); most != 1 || len(w.active()) != 1 {
		t.Fatalf("%d active at once, then %v", most, w.active())
	}
}

// TestStandbyProbeRateIsBounded guards against a standby whose request rate grows with the number of workers, here because
// one of them is down.
func TestStandbyProbeRateIsBounded(t *testing.T) {
	w := newSimulation(120, 1, "a", "b")
	w.run(10 * time.Second)
	delete(w.workers, "w-3")
	_, both := w.run(60 * time.Second)
	standby := "a"
	if w.active()[0] == "a" {
		standby = "b"
	}
	w.paused[standby] = true
	_, holder := w.run(60 * time.Second)
	if perMinute := both - holder; perMinute > 150 {
		t.Fatalf("the standby made %d requests in a minute", perMinute)
	}
}
