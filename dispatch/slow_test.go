package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// listInterval is the time between two lists of a worker on which nothing ends.
	listInterval = 1500 * time.Millisecond
	slowFactor   = 5
	// guess is the callers' estimate for all tasks.
	guess = 3 * time.Second
)

// paced is a cluster whose workers work at different speeds. Members of a gang progress independently and end together.
type paced struct {
	*cluster
	// length is the run time of each job's tasks at full speed.
	length   map[workload.JobID]time.Duration
	speed    map[string]float64
	done     map[workload.RunRef]float64
	listedAt map[string]time.Duration
	// listDelay holds the next lists of workers back, with what they said; the ones after them follow at once.
	listDelay map[string]time.Duration
	late      []lateList
	// startsOn counts the starts on each worker.
	startsOn map[string]int
}

type lateList struct {
	at      time.Duration
	worker  string
	listing *workload.Listing
}

func newPaced(t testing.TB, workers int) *paced {
	p := &paced{
		cluster: newCluster(t, workers), length: map[workload.JobID]time.Duration{}, speed: map[string]float64{},
		done: map[workload.RunRef]float64{}, listedAt: map[string]time.Duration{}, startsOn: map[string]int{},
	}
	for i, id := range p.order {
		p.speed[id] = 1
		p.listedAt[id] = p.now + time.Duration(i)*listInterval/time.Duration(workers)
	}
	return p
}

func (p *paced) hand(id, queue string, length time.Duration, step workload.Step) {
	step.Estimate = guess
	p.length[workload.JobID(id)] = length
	p.submit(id, queue, "small", step)
}

// slow changes the speed of n workers, each the first of several.
func (p *paced) slow(n int, speed float64) {
	for i := range n {
		p.speed[p.order[i*len(p.order)/n]] = speed
	}
}

func (p *paced) run(d time.Duration) {
	for end := p.now + d; p.now < end; {
		for _, id := range p.order {
			p.work(id)
		}
		p.endDone()
		for len(p.late) > 0 && p.late[0].at <= p.now {
			p.core.Listing(p.late[0].worker, p.now, p.late[0].listing)
			p.late = p.late[1:]
		}
		for _, id := range p.order {
			if p.now-p.listedAt[id] >= listInterval {
				p.report(id)
			}
		}
		for _, start := range p.plan().Starts {
			p.startsOn[start.Worker]++
		}
		p.advance(playTick)
	}
}

func (p *paced) work(id string) {
	for ref, run := range p.workers[id].running {
		p.done[ref] += playTick.Seconds() * p.speed[id] / p.length[ref.Task.Job].Seconds()
		run.percent = min(100, int(100*p.done[ref]))
	}
}

// endDone ends single tasks that are done, and gangs of which all members are.
func (p *paced) endDone() {
	behind := map[string]bool{}
	for _, id := range p.order {
		for ref := range p.workers[id].running {
			if p.done[ref] < 1 {
				behind[p.group(ref)] = true
			}
		}
	}
	for _, id := range p.order {
		ended := false
		for ref := range p.workers[id].running {
			if p.done[ref] >= 1 && !behind[p.group(ref)] {
				p.end(id, ref, workload.EndDone)
				ended = true
			}
		}
		if ended {
			p.report(id)
		}
	}
}

// group names what ends together.
func (p *paced) group(ref workload.RunRef) string {
	if p.specs[ref.Task.Job].Steps[0].Gang {
		return string(ref.Task.Job)
	}
	return ref.Task.String()
}

func (p *paced) report(id string) {
	delay := p.listDelay[id]
	p.listedAt[id] = p.now + delay
	if delay == 0 {
		p.list(id)
		return
	}
	p.late = append(p.late, lateList{at: p.now + delay, worker: id, listing: p.listing(id)})
}

// slowWorkers returns the workers that the core leaves out as slow.
func (p *paced) slowWorkers() (ids []string) {
	p.core.countSuspects()
	for _, w := range p.core.order {
		if p.core.slow(w) {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// stream hands in a gang and some single tasks every second.
func (p *paced) stream(d time.Duration) {
	for end := p.now + d; p.now < end; p.run(time.Second) {
		p.hand(fmt.Sprintf("gang%d", p.now.Milliseconds()), "urgent", 2500*time.Millisecond, gangOf(3, 8))
		p.hand(fmt.Sprintf("task%d", p.now.Milliseconds()), "batch", 6*time.Second, tasks(4, 1))
	}
}

// TestQuarterOfTheWorkersSlow guards against work that goes on being given to workers that run it at a fifth of their
// speed: two lists of a run show the speed, and after that a slow worker gets work only to be tried again. The others
// have room for all, so that at most one gang a slow worker may be late.
func TestQuarterOfTheWorkersSlow(t *testing.T) {
	const workers, slowed = 24, 6
	// inTime is the slack factor of the queue times the length of the gangs, and its target.
	const inTime = 4 * time.Second
	p := newPaced(t, workers)
	p.stream(10 * time.Second)
	if ids := p.slowWorkers(); len(ids) > 0 {
		t.Fatalf("%v count as slow before any is", ids)
	}
	p.slow(slowed, 1.0/slowFactor)
	p.stream(5 * time.Second)
	began := p.now
	p.stream(16 * time.Second)
	late, handed := 0, 0
	for id := range p.length {
		at := p.handed[id]
		if p.specs[id].Queue != "urgent" || at < began || at > p.now-inTime {
			continue
		}
		handed++
		if end, ended := p.ends[id]; !ended || end-at > inTime {
			late++
		}
	}
	if late > slowed {
		t.Errorf("%d of %d urgent gangs were not done within %v", late, handed, inTime)
	}
	p.slow(slowed, 1)
	p.stream(slowTime + 5*time.Second)
	if ids := p.slowWorkers(); len(ids) > 0 {
		t.Errorf("%v still count as slow", ids)
	}
}

// TestHalfOfTheWorkersSlow guards against a service that gives up too much of its capacity: more workers than
// maxSlowShare are not left out.
func TestHalfOfTheWorkersSlow(t *testing.T) {
	p := newPaced(t, 8)
	p.hand("long", "batch", 10*time.Second, tasks(64, 1))
	p.run(3500 * time.Millisecond)
	p.slow(4, 1.0/slowFactor)
	p.run(5 * time.Second)
	if ids := p.slowWorkers(); len(ids) > 0 {
		t.Errorf("%v of 8 workers are left out", ids)
	}
}

// TestSlowMemberOfAGang guards against a gang that condemns the workers of all its members because one holds it back.
func TestSlowMemberOfAGang(t *testing.T) {
	p := newPaced(t, 8)
	p.slow(1, 1.0/slowFactor)
	p.hand("gang", "normal", 6*time.Second, gangOf(8, 8))
	p.run(8 * time.Second)
	if ids := p.slowWorkers(); !slices.Equal(ids, p.order[:1]) {
		t.Errorf("%v are left out, want %v", ids, p.order[:1])
	}
}

// TestHangingMemberOfAGang guards against a gang that waits for a member which stands still until all the others are done:
// the member is seen to hang as soon as a single task is.
func TestHangingMemberOfAGang(t *testing.T) {
	p := newPaced(t, 8)
	p.hand("gang", "normal", 20*time.Second, gangOf(4, 8))
	p.run(3 * time.Second)
	p.slow(1, 0)
	p.run(stallTime + 2*listInterval + stallInterval)
	if n := len(p.stops); n != 4 {
		t.Fatalf("%d of 4 members were stopped", n)
	}
}

// TestLateListsDoNotLookSlow guards against workers that are left out, and runs that are stopped, because lists reach the
// scheduler late, as after it was suspended: the time between two percentages is that of the worker's clock.
func TestLateListsDoNotLookSlow(t *testing.T) {
	p := newPaced(t, 8)
	p.hand("long", "batch", 20*time.Second, tasks(64, 1))
	p.run(5 * time.Second)
	p.listDelay = map[string]time.Duration{p.order[0]: 4 * time.Second, p.order[1]: 4 * time.Second}
	p.run(listInterval)
	p.listDelay = nil
	for range 80 {
		p.run(100 * time.Millisecond)
		if ids := p.slowWorkers(); len(ids) > 0 {
			t.Fatalf("%v count as slow", ids)
		}
		if len(p.stops) > 0 {
			t.Fatalf("%d runs were stopped, the first as %q", len(p.stops), p.stops[0].Reason)
		}
	}
}

// TestLongJobsDoNotLookSlow guards against workers that are left out because their jobs are longer than the others of
// the queue: tasks take between half and twice the usual time.
func TestLongJobsDoNotLookSlow(t *testing.T) {
	p := newPaced(t, 16)
	for i := range 60 {
		length := 3 * time.Second * time.Duration(50+37*i%150) / 100
		p.hand(fmt.Sprintf("job%d", i), "normal", length, gangOf(2, 4))
		p.run(250 * time.Millisecond)
		if ids := p.slowWorkers(); len(ids) > 0 {
			t.Fatalf("%v count as slow", ids)
		}
	}
}

// TestRemoteTasksDoNotLookSlow guards against workers that are left out because they run tasks away from their data, or
// a step that is spread over several racks; such tasks take several times as long.
func TestRemoteTasksDoNotLookSlow(t *testing.T) {
	cases := map[string]func(s *workload.Step){
		"away from the data": func(s *workload.Step) { s.DataRack = "r0" },
		"several racks":      func(s *workload.Step) { s.SameRack = true },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPaced(t, 2*workersPerRack)
			step := tasks(2*workersPerRack, 8)
			change(&step)
			p.hand("spread", "batch", 8*time.Second, step)
			for _, id := range p.order[workersPerRack:] {
				p.speed[id] = 1.0 / 3
			}
			p.slow(1, 1)
			p.run(4 * time.Second)
			if len(p.placed("spread")) <= workersPerRack {
				t.Fatal("the step did not leave its rack")
			}
			for range 80 {
				p.run(100 * time.Millisecond)
				if ids := p.slowWorkers(); len(ids) > 0 {
					t.Fatalf("%v count as slow", ids)
				}
			}
		})
	}
}

// TestSlowRunsMoveWithTheirCheckpoints guards against checkpointing tasks that stay on a slow worker beside free ones,
// and against work that is thrown away for a move: tasks without checkpoint stay, and so do all if there is no room.
func TestSlowRunsMoveWithTheirCheckpoints(t *testing.T) {
	cases := map[string]struct {
		checkpointing bool
		free          int
		moved         bool
	}{
		"checkpointing": {true, 1, true},
		"no checkpoint": {false, 1, false},
		"no room":       {true, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPaced(t, 4)
			step := tasks(4, 8)
			step.Checkpointing = c.checkpointing
			p.hand("job", "batch", 10*time.Second, step)
			p.run(1500 * time.Millisecond)
			p.slow(1, 1.0/slowFactor)
			for i := range c.free {
				p.addWorker(4 + i)
				id := p.order[4+i]
				p.speed[id] = 1
			}
			p.run(6 * time.Second)
			moved := false
			for _, stop := range p.stops {
				moved = moved || stop.Worker == p.order[0]
			}
			if moved != c.moved {
				t.Errorf("moved: %t, want %t", moved, c.moved)
			}
			if c.moved && p.startsOn[p.order[4]] != 1 {
				t.Errorf("%d runs began on the free worker", p.startsOn[p.order[4]])
			}
		})
	}
}
