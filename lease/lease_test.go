package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// grantor is a worker's side of the lease.
type grantor struct {
	epoch  uint64
	holder string
	until  time.Time
}

func (g *grantor) answer(holder string, s Send, now time.Time) Answer {
	free := !now.Before(g.until)
	granted := s.Epoch > 0 && (holder == g.holder && s.Epoch >= g.epoch || free && s.Epoch > g.epoch)
	if granted {
		g.epoch, g.holder, g.until = s.Epoch, holder, now.Add(s.Length)
	}
	return Answer{Granted: granted, Epoch: g.epoch, Holder: g.holder, ExpiresIn: max(g.until.Sub(now), 0)}
}

// world steps candidates over shared workers every 50 ms.
type world struct {
	now     time.Time
	workers map[string]*grantor
	cores   map[string]*Core
	// cut and paused name candidates, or candidate/worker pairs.
	cut    map[string]bool
	paused map[string]bool
	random *rand.Rand
}

func newWorld(count int, seed uint64, names ...string) *world {
	w := &world{now: time.Unix(1000, 0), workers: map[string]*grantor{}, cores: map[string]*Core{}, cut: map[string]bool{},
		paused: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range count {
		w.workers[fmt.Sprintf("w-%d", i)] = &grantor{}
	}
	for _, name := range names {
		w.cores[name] = New(name)
		w.cores[name].SetWorkers(w.ids(count), w.now)
	}
	return w
}

func (w *world) ids(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("w-%d", i))
	}
	return ids
}

// run lets time pass and returns the largest number of candidates that were active at once, and the sends.
func (w *world) run(d time.Duration) (most, sent int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for name, c := range w.cores {
			if w.paused[name] {
				continue
			}
			sends, _ := c.Step(w.now, w.random.Float64())
			// Candidates reach the workers in different orders, so that claims at the same time split them.
			w.random.Shuffle(len(sends), func(i, k int) { sends[i], sends[k] = sends[k], sends[i] })
			for _, s := range sends {
				sent++
				c.Sent(s.Worker, w.now)
				g := w.workers[s.Worker]
				if g == nil || w.cut[name] || w.cut[name+"/"+s.Worker] {
					c.Failed(s.Worker)
					continue
				}
				c.Answered(s.Worker, s.Kind, s.Epoch, w.now, g.answer(name, s, w.now), w.now)
			}
		}
		most = max(most, len(w.active()))
	}
	return most, sent
}

func (w *world) active() (names []string) {
	for name, c := range w.cores {
		if c.Active(w.now) {
			names = append(names, name)
		}
	}
	return names
}

// TestCandidatesConverge guards against candidates that start at once and keep splitting the workers.
func TestCandidatesConverge(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(7, seed, "a", "b", "c")
		most, _ := w.run(15 * time.Second)
		if len(w.active()) != 1 || most > 1 {
			t.Fatalf("seed %d: active %v, at most %d at once", seed, w.active(), most)
		}
	}
}

// TestTakeover guards against a takeover later than the holder lease after a crash, and one at all from a live holder.
func TestTakeover(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(9, seed, "a", "b")
		w.run(10 * time.Second)
		first := w.active()[0]
		w.run(60 * time.Second)
		if got := w.active(); len(got) != 1 || got[0] != first {
			t.Fatalf("seed %d: %v took over from the live holder %s", seed, got, first)
		}
		w.paused[first] = true
		w.run(Length + 500*time.Millisecond)
		if got := w.active(); len(got) != 1 || got[0] == first {
			t.Fatalf("seed %d: active %v after the death of %s", seed, got, first)
		}
		// The paused holder finds out that it is stale before it acts.
		if w.cores[first].Active(w.now) || w.cores[first].Confirmed(w.now) {
			t.Fatalf("seed %d: the paused holder believes to be active", seed)
		}
	}
}

// TestGiveUpFreesWorkers guards against a planned stop after which the standby waits for the leases to lapse.
func TestGiveUpFreesWorkers(t *testing.T) {
	w := newWorld(9, 1, "a", "b")
	w.run(10 * time.Second)
	first := w.active()[0]
	for _, s := range w.cores[first].GiveUp(w.now) {
		w.workers[s.Worker].answer(first, s, w.now)
	}
	w.paused[first] = true
	w.run(ProbeInterval + 500*time.Millisecond)
	if got := w.active(); len(got) != 1 || got[0] == first {
		t.Fatalf("active %v soon after %s gave up", got, first)
	}
}

// TestMinorityCutKeepsHolder guards against a standby that takes workers away from a holder which lost a few of them.
func TestMinorityCutKeepsHolder(t *testing.T) {
	w := newWorld(9, 1, "a", "b")
	w.run(10 * time.Second)
	first := w.active()[0]
	for i := range 4 {
		w.cut[fmt.Sprintf("%s/w-%d", first, i)] = true
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

// TestWorkerSetChange guards against two active schedulers while the configured workers are replaced.
func TestWorkerSetChange(t *testing.T) {
	w := newWorld(10, 1, "a", "b")
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

// TestStandbyIsCheap guards against a standby whose probes grow with the failure domain.
func TestStandbyIsCheap(t *testing.T) {
	w := newWorld(120, 1, "a", "b")
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
