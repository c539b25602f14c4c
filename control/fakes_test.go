package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
)

// random is a seeded source of random numbers. It is safe for concurrent use.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom(seed uint64) *random { return &random{r: rand.New(rand.NewPCG(seed, 7))} }

func (r *random) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.Float64()
}

func (r *random) intn(n int) int { return int(r.float() * float64(n)) }

func (r *random) chance(p float64) bool { return r.float() < p }

func (r *random) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.float()*float64(high-low))
}

// fakeTask is a task of a fake worker.
type fakeTask struct {
	infra.Task
	expires time.Time // expiry of the reservation or the task lease
	readyAt time.Time // time at which loading ends
	endsAt  time.Time // time at which the task completes or fails by itself; zero before its release
	fails   bool      // fails at endsAt instead of completing
	stopAt  time.Time // time at which the checkpoint of a stop is complete
	loading bool
	fresh   bool // started without a checkpoint
}

type taskKey struct {
	attempt infra.AttemptID
	member  int
}

// fakeWorker is an in-memory worker that implements fencing, leases and reservations.
type fakeWorker struct {
	id       string
	random   *random
	capacity resource.Resources
	onRun    func(w *fakeWorker, task *fakeTask)
	onDone   func(key taskKey)
	onEffect func(w *fakeWorker, epoch uint64, holder string)

	mu           sync.Mutex
	dead         bool
	leaving      bool
	failsTasks   bool // all tasks that it releases fail
	unfenced     bool // grants its lease to any holder at any epoch
	extraRunTime time.Duration
	incarnation  int
	revision     uint64
	epoch        uint64
	holder       string
	leaseUntil   time.Time
	tasks        map[taskKey]*fakeTask
}

func newFakeWorker(id string, capacity resource.Resources, r *random) *fakeWorker {
	return &fakeWorker{id: id, random: r, capacity: capacity, revision: 1, tasks: map[taskKey]*fakeTask{}}
}

// advance updates the tasks to the time now.
func (w *fakeWorker) advance(now time.Time) {
	for key, task := range w.tasks {
		before := task.State
		switch {
		case task.State.Ended():
		case task.State == infra.TaskReserved && !task.loading && now.After(task.expires):
			delete(w.tasks, key)
			w.revision++
		case task.State != infra.TaskReserved && now.After(task.expires):
			task.State = infra.TaskLeaseExpired
		case task.loading && now.After(task.readyAt):
			task.State, task.loading = infra.TaskHeld, false
		case task.State == infra.TaskCheckpointing && now.After(task.stopAt):
			task.State = infra.TaskStopped
			task.Checkpoint = fmt.Sprintf("cp-%s-%d-%d", key.attempt.Job, key.attempt.Attempt, key.member)
		case task.State == infra.TaskRunning && now.After(task.endsAt):
			task.State = infra.TaskDone
			if task.fails {
				task.State, task.Detail = infra.TaskFailed, "exit status 1"
			} else if w.onDone != nil {
				w.onDone(key)
			}
		}
		if before != task.State {
			w.revision++
		}
	}
}

func (w *fakeWorker) commands(req infra.CommandsRequest, now time.Time) (infra.CommandsResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return infra.CommandsResponse{}, errors.New("connection refused")
	}
	w.advance(now)
	free := !now.Before(w.leaseUntil)
	sameHolder := req.Holder == w.holder && req.Epoch >= w.epoch
	granted := req.Epoch > 0 && (w.unfenced || sameHolder || free && req.Epoch > w.epoch)
	response := infra.CommandsResponse{Granted: granted}
	if granted {
		w.epoch, w.holder = req.Epoch, req.Holder
		w.leaseUntil = now.Add(time.Duration(req.LeaseMS) * time.Millisecond)
		w.apply(req, &response, now)
	}
	response.Epoch, response.Holder = w.epoch, w.holder
	response.ExpiresInMS = max(w.leaseUntil.Sub(now).Milliseconds(), 0)
	if req.KnownRevision != w.revision {
		inventory := w.inventory()
		response.Inventory = &inventory
	}
	return response, nil
}

func (w *fakeWorker) apply(req infra.CommandsRequest, response *infra.CommandsResponse, now time.Time) {
	taskLease := time.Duration(req.TaskLeaseMS) * time.Millisecond
	for _, id := range req.Renew {
		for key, task := range w.tasks {
			if key.attempt == id && !task.State.Ended() && task.State != infra.TaskReserved {
				task.expires = now.Add(taskLease)
			}
		}
	}
	for _, command := range req.Commands {
		if w.onEffect != nil {
			w.onEffect(w, req.Epoch, req.Holder)
		}
		reason := w.applyOne(command, req.Epoch, taskLease, now)
		response.Results = append(response.Results, infra.CommandResult{OK: reason == "", Reason: reason})
	}
}

func (w *fakeWorker) applyOne(c infra.Command, epoch uint64, taskLease time.Duration, now time.Time) string {
	key := taskKey{c.Attempt, c.Member}
	task := w.tasks[key]
	if task == nil && c.Op != infra.OpReserve {
		return "no such task"
	}
	before := w.revision
	w.revision++
	switch c.Op {
	case infra.OpReserve:
		return w.reserve(key, c, epoch, now)
	case infra.OpStart:
		if task.State == infra.TaskReserved && !task.loading {
			task.loading = true
			task.fresh = c.Checkpoint == ""
			task.Checkpoint = c.Checkpoint
			task.readyAt = now.Add(w.random.between(20*time.Millisecond, 200*time.Millisecond))
			task.expires = now.Add(taskLease)
			return ""
		}
	case infra.OpRelease:
		if task.State == infra.TaskHeld {
			task.State = infra.TaskRunning
			task.endsAt = now.Add(w.random.between(3*time.Second, 40*time.Second) + w.extraRunTime)
			task.fails = w.failsTasks || w.random.chance(0.03)
			w.onRun(w, task)
			return ""
		}
	case infra.OpStop:
		w.stop(key, task, c, now)
		return ""
	case infra.OpForget:
		if task.State.Ended() {
			delete(w.tasks, key)
			return ""
		}
	}
	w.revision = before
	if task.State.Ended() || c.Op == infra.OpForget {
		return "task is " + string(task.State)
	}
	return ""
}

func (w *fakeWorker) reserve(key taskKey, c infra.Command, epoch uint64, now time.Time) string {
	if w.tasks[key] != nil {
		return ""
	}
	used := c.Resources
	for _, task := range w.tasks {
		if !task.State.Ended() {
			used = used.Add(task.Resources)
		}
	}
	if !used.Fits(w.capacity) {
		return "no capacity"
	}
	w.tasks[key] = &fakeTask{expires: now.Add(time.Duration(c.TTLMS) * time.Millisecond),
		Task: infra.Task{Attempt: c.Attempt, Member: c.Member, State: infra.TaskReserved, Resources: c.Resources,
			Epoch: epoch}}
	return ""
}

func (w *fakeWorker) stop(key taskKey, task *fakeTask, c infra.Command, now time.Time) {
	switch {
	case task.State.Ended() || task.State == infra.TaskCheckpointing:
	case task.State == infra.TaskReserved:
		delete(w.tasks, key)
	case c.Checkpoint != "" && task.State == infra.TaskRunning:
		task.State = infra.TaskCheckpointing
		task.stopAt = now.Add(min(w.random.between(100*time.Millisecond, 3*time.Second),
			time.Duration(c.CheckpointMS)*time.Millisecond))
	default:
		task.State = infra.TaskStopped
	}
}

func (w *fakeWorker) inventory() infra.Inventory {
	inventory := infra.Inventory{Worker: w.id, Incarnation: fmt.Sprint(w.incarnation), Revision: w.revision,
		Capacity: w.capacity, Leaving: w.leaving}
	for _, task := range w.tasks {
		inventory.Tasks = append(inventory.Tasks, task.Task)
	}
	sort.Slice(inventory.Tasks, func(i, k int) bool {
		a, b := inventory.Tasks[i], inventory.Tasks[k]
		return a.Attempt.Job < b.Attempt.Job || a.Attempt.Job == b.Attempt.Job && a.Member < b.Member
	})
	return inventory
}

// update changes the worker and increments its revision.
func (w *fakeWorker) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.revision++
}

// kill stops the worker and drops all of its tasks. revive starts a new incarnation without a lease holder.
func (w *fakeWorker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.dead = true
	w.tasks = map[taskKey]*fakeTask{}
}

func (w *fakeWorker) revive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dead {
		return
	}
	w.dead = false
	w.incarnation++
	w.revision = 1
	w.epoch, w.holder, w.leaseUntil = 0, "", time.Time{}
}

// fakeNet is the network between one scheduler process and the workers.
type fakeNet struct {
	workers map[string]*fakeWorker
	random  *random
	gate    *gate

	mu sync.Mutex
	// requestsLost and responsesLost hold the workers whose requests or responses are lost; the key "*" of requestsLost stands
	// for all workers. lossProbability is the probability with which any message is lost, or a request is late.
	requestsLost    map[string]bool
	responsesLost   map[string]bool
	lossProbability float64
	// connected maps each worker to the incarnation to which the scheduler's connection leads.
	connected map[string]int
}

func (n *fakeNet) faults(worker string) (requestsLost, responsesLost bool, lossProbability float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestsLost[worker] || n.requestsLost["*"], n.responsesLost[worker], n.lossProbability
}

// Commands delivers the request to the worker. According to the faults, the request may be lost or late, and the response may
// be lost.
func (n *fakeNet) Commands(ctx context.Context, address string, req infra.CommandsRequest) (infra.CommandsResponse, error) {
	if !n.gate.pass(ctx) {
		return infra.CommandsResponse{}, errors.New("killed")
	}
	requestsLost, responsesLost, lossProbability := n.faults(address)
	if requestsLost || n.random.chance(lossProbability) {
		<-ctx.Done()
		return infra.CommandsResponse{}, ctx.Err()
	}
	type result struct {
		response infra.CommandsResponse
		err      error
	}
	done := make(chan result, 1)
	delay := n.random.between(time.Millisecond, 4*time.Millisecond)
	if n.random.chance(lossProbability) {
		delay = n.random.between(100*time.Millisecond, 4*time.Second)
	}
	go func() {
		time.Sleep(delay)
		response, err := n.workers[address].commands(req, time.Now())
		response.NewConnection = n.connect(address)
		done <- result{response, err}
	}()
	select {
	case r := <-done:
		if responsesLost || n.random.chance(lossProbability) {
			<-ctx.Done()
			return infra.CommandsResponse{}, ctx.Err()
		}
		if !n.gate.pass(context.WithoutCancel(ctx)) {
			return infra.CommandsResponse{}, errors.New("killed")
		}
		return r.response, r.err
	case <-ctx.Done():
		return infra.CommandsResponse{}, ctx.Err()
	}
}

// connect reports whether a request to the worker's present process opens a connection.
func (n *fakeNet) connect(address string) (opened bool) {
	w := n.workers[address]
	w.mu.Lock()
	incarnation := w.incarnation
	w.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	known, connected := n.connected[address]
	n.connected[address] = incarnation
	return !connected || known != incarnation
}

func (n *fakeNet) Inventory(context.Context, string) (infra.Inventory, error) {
	return infra.Inventory{}, errors.New("not used")
}

// gate freezes or kills one scheduler process.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{} // closed on resume; nil while not frozen
	killed bool
}

// pass waits while the process is frozen and ctx has not ended. It reports whether the process may continue: false once it was
// killed.
func (g *gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		frozen, killed := g.frozen, g.killed
		g.mu.Unlock()
		if killed || frozen == nil {
			return !killed
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return true
		}
	}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) resume(kill bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = g.killed || kill
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}
