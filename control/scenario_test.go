package control

import (
	"context"
	"fmt"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/invariant"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/scheduler"
)

const (
	scenarioWorkers = 7
	scenarioJobs    = 60
	faultTime       = 150 * time.Second
	// recoveryTime is the time allowed after the faults for all leases to expire and the remaining jobs to end: up to 60 jobs
	// of 40 s, of which some need half of the workers and some run three times.
	recoveryTime = 600 * time.Second
)

// scenario simulates one failure domain with two schedulers in virtual time.
type scenario struct {
	random    *random
	doc       atomic.Pointer[config.Document]
	workers   map[string]*fakeWorker
	log       *fakeLog
	processes [2]*process
	options   func(*Options)
	// faultKinds holds the kinds of faults to inject, as numbered in injectFault, with repeats for a higher probability;
	// empty for all.
	faultKinds []int
	// submitted holds the ids of all accepted jobs.
	submitted []string

	mu         sync.Mutex
	events     []string
	violations []string
	// epochs holds the holder whose commands took effect in each epoch.
	epochs map[uint64]string
	// onceRuns holds the number of starts without a checkpoint of each member of a run-once job, by "job/member".
	onceRuns map[string]int
	// partialSince holds the time since which only some members of an attempt run.
	partialSince map[infra.AttemptID]time.Time
	// ran and done hold the members of attempts that were released and that completed. An entry of done with attempt number 0
	// means that the member completed in any attempt.
	ran, done map[taskKey]bool
	start     time.Time
}

// process is one scheduler process.
type process struct {
	control *Control
	net     *fakeNet
	gate    *gate
	cancel  context.CancelFunc
	done    chan struct{}
	// incarnation counts the launches of the process.
	incarnation int
	stopped     bool
}

func (s *scenario) tracef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.2fs ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

func (s *scenario) recordViolation(format string, args ...any) {
	s.tracef("VIOLATION "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// Write adds a log line of a scheduler to the trace.
func (s *scenario) Write(line []byte) (int, error) {
	s.tracef("%s", line[:len(line)-1])
	return len(line), nil
}

func newScenario(seed uint64) *scenario {
	s := &scenario{random: newRandom(seed), workers: map[string]*fakeWorker{}, start: time.Now(),
		epochs: map[uint64]string{}, onceRuns: map[string]int{}, ran: map[taskKey]bool{}, done: map[taskKey]bool{}, partialSince: map[infra.AttemptID]time.Time{}}
	capacity := resource.Resources{Accelerators: 8, MilliCPU: 32000, MemoryMB: 64000}
	doc := &config.Document{Workers: map[string]resource.Worker{},
		FailureDomains: map[string]config.FailureDomain{"fd": {Name: "fd"}},
		Accounts:       map[string]config.Account{"a": {Name: "a", Weight: 1}},
		Policy: config.Policy{ReclaimBoundMS: 30_000, MaxWaitMS: 20_000, QuarantinePercent: 20,
			StandardLargeShape: resource.Shape{Members: 1, PerMember: capacity, Adjacency: resource.AdjacencyWorker}}}
	s.doc.Store(doc)
	for i := range scenarioWorkers {
		id := fmt.Sprintf("w-%d", i)
		doc.Workers[id] = resource.Worker{ID: id, FailureDomain: "fd", Capacity: capacity, Address: id}
		s.workers[id] = newFakeWorker(id, capacity, s.random)
		s.workers[id].onRun = s.onRun
		s.workers[id].onEffect = s.onEffect
		s.workers[id].onDone = s.onDone
	}
	s.log = newFakeLog(s.random)
	return s
}

// launch starts a new incarnation of process i.
func (s *scenario) launch(t *testing.T, i int) {
	p := s.processes[i]
	if p == nil {
		p = &process{}
		s.processes[i] = p
	}
	p.incarnation++
	p.stopped = false
	p.gate = &gate{}
	p.net = &fakeNet{workers: s.workers, random: s.random, gate: p.gate, requestsLost: map[string]bool{}, responsesLost: map[string]bool{}, connected: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	g := p.gate
	name := fmt.Sprintf("s%d.%d", i, p.incarnation)
	options := Options{FailureDomain: "fd", VM: name, Holder: name, Log: s.log, Workers: p.net,
		Config: s.doc.Load, NewPlanner: newPlanner, Metrics: metrics.NewRegistry(),
		Logger: zerolog.New(s).With().Str("proc", name).Logger(),
		Random: func() float64 { g.pass(context.Background()); return s.random.float() }}
	if s.options != nil {
		s.options(&options)
	}
	control, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	p.control, p.cancel, p.done = control, cancel, make(chan struct{})
	done := p.done
	go func() {
		defer close(done)
		_ = control.Run(ctx)
	}()
}

// stop ends process i: gracefully, or as SIGKILL does if kill is set.
func (s *scenario) stop(i int, kill bool) {
	p := s.processes[i]
	p.gate.resume(kill)
	p.cancel()
	<-p.done
	p.stopped = true
}

// submit appends a random job as number n. Its id consists of the class (o for run-once, p for others), the number of members
// and n. Some jobs are cancelled after a random time.
func (s *scenario) submit(n int) {
	job := jobs.Job{Account: "a", FailureDomain: "fd", Run: []string{"run"}, Submitted: time.Now()}
	job.Shape = resource.Shape{Members: 1 + s.random.intn(5), Adjacency: resource.AdjacencyNone,
		PerMember: resource.Resources{Accelerators: 1 + s.random.intn(4), MilliCPU: 1000, MemoryMB: 1000}}
	job.RunOnce = s.random.chance(0.4)
	job.CanCheckpoint = s.random.chance(0.5)
	job.Urgent = s.random.chance(0.2)
	class := "p"
	if job.RunOnce {
		class = "o"
	}
	job.ID = fmt.Sprintf("%s%d-%03d", class, job.Shape.Members, n)
	s.append(jobs.Record{Kind: jobs.RecordSubmit, Submit: &job})
	s.submitted = append(s.submitted, job.ID)
	if s.random.chance(0.1) {
		go func() {
			time.Sleep(s.random.between(0, 20*time.Second))
			s.append(jobs.Record{Kind: jobs.RecordCancel, Cancel: &jobs.Cancel{Job: job.ID}})
		}()
	}
}

func (s *scenario) append(r jobs.Record) {
	data, err := jobs.Encode(r)
	if err != nil {
		s.recordViolation("encode: %v", err)
		return
	}
	s.log.append([][]byte{data})
}

// injectFault injects one random fault and returns the function that ends it.
func (s *scenario) injectFault(t *testing.T) (undo func()) {
	i := s.random.intn(2)
	w := s.workers[fmt.Sprintf("w-%d", s.random.intn(scenarioWorkers))]
	p := s.processes[i]
	net := p.net
	setNet := func(change func(n *fakeNet)) {
		net.mu.Lock()
		defer net.mu.Unlock()
		change(net)
	}
	kind := s.random.intn(13)
	if len(s.faultKinds) > 0 {
		kind = s.faultKinds[s.random.intn(len(s.faultKinds))]
	}
	s.tracef("fault %d on scheduler %d or %s", kind, i, w.id)
	switch kind {
	case 0, 1: // kill or graceful stop of a scheduler
		if p.stopped {
			return func() {}
		}
		s.stop(i, kind == 0)
		return func() { s.launch(t, i) }
	case 2, 3: // pause of a scheduler process
		g := p.gate
		g.freeze()
		return func() { g.resume(false) }
	case 4: // death of a worker
		w.kill()
		return w.revive
	case 5: // loss of all requests of a scheduler to one worker
		setNet(func(n *fakeNet) { n.requestsLost[w.id] = true })
		return func() { setNet(func(n *fakeNet) { delete(n.requestsLost, w.id) }) }
	case 6: // loss of all responses of one worker to a scheduler
		setNet(func(n *fakeNet) { n.responsesLost[w.id] = true })
		return func() { setNet(func(n *fakeNet) { delete(n.responsesLost, w.id) }) }
	case 7: // loss of all requests of a scheduler
		setNet(func(n *fakeNet) { n.requestsLost["*"] = true })
		return func() { setNet(func(n *fakeNet) { delete(n.requestsLost, "*") }) }
	case 8: // random loss and delay of messages of a scheduler
		setNet(func(n *fakeNet) { n.lossProbability = 0.2 })
		return func() { setNet(func(n *fakeNet) { n.lossProbability = 0 }) }
	}
	switch kind {
	case 9: // drain of a worker
		s.setDrain(w.id, true)
		return func() { s.setDrain(w.id, false) }
	case 10: // failure of all tasks that a worker releases
		w.update(func() { w.failsTasks = true })
		return func() { w.update(func() { w.failsTasks = false }) }
	case 11: // worker that reports that it is leaving
		w.update(func() { w.leaving = true })
		return func() { w.update(func() { w.leaving = false }) }
	}
	// Any other kind: outage of the log, or random loss of reads and appends.
	s.setLog(s.random.chance(0.5), 0.3)
	return func() { s.setLog(false, 0) }
}

// setDrain publishes a configuration with or without a drain of a worker.
func (s *scenario) setDrain(worker string, on bool) {
	next := *s.doc.Load()
	next.Version++
	next.Drains = maps.Clone(next.Drains)
	if next.Drains == nil {
		next.Drains = map[string]config.Drain{}
	}
	delete(next.Drains, worker)
	if on {
		next.Drains[worker] = config.Drain{VM: worker}
	}
	s.doc.Store(&next)
}

func (s *scenario) setLog(down bool, lossProbability float64) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.down, s.log.lossProbability = down, lossProbability
}

// run submits jobs and injects faults for faultTime, then waits up to recoveryTime until all jobs have ended. It checks the
// workers every 250 ms.
func (s *scenario) run(t *testing.T) {
	s.launch(t, 0)
	s.launch(t, 1)
	undo := [2]func(){}
	next, n := [2]time.Time{}, 0
	for time.Since(s.start) < faultTime {
		time.Sleep(250 * time.Millisecond)
		s.checkWorkers()
		if n < scenarioJobs && s.random.chance(0.15) {
			s.submit(n)
			n++
		}
		// Two independent series of faults overlap.
		for i := range undo {
			if time.Now().Before(next[i]) {
				continue
			}
			next[i] = time.Now().Add(s.random.between(time.Second, 15*time.Second))
			if undo[i] != nil {
				undo[i]()
				undo[i] = nil
				continue
			}
			undo[i] = s.injectFault(t)
		}
	}
	for i := range undo {
		if undo[i] != nil {
			undo[i]()
		}
	}
	s.tracef("all faults ended")
	rounds := 0
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); {
		time.Sleep(250 * time.Millisecond)
		s.checkWorkers()
		if rounds++; rounds%8 == 0 && len(s.openJobs()) == 0 {
			break
		}
	}
	s.checkAllJobsEnded()
	s.stop(0, false)
	s.stop(1, false)
}

// runScenario runs the scenario of a seed in virtual time and returns its violations and trace. Each change modifies the
// scenario before the run.
func runScenario(t *testing.T, seed uint64, change ...func(*scenario)) (violations, events []string) {
	t.Helper()
	var collected invariant.Collector
	restore := invariant.SetRecorder(collected.Record)
	defer restore()
	var s *scenario
	synctest.Test(t, func(t *testing.T) {
		s = newScenario(seed)
		for _, apply := range change {
			apply(s)
		}
		s.run(t)
		time.Sleep(10 * time.Second)
	})
	for _, v := range collected.Violations() {
		s.violations = append(s.violations, v.String())
	}
	return s.violations, s.events
}

// TestScenario guards against gangs that run partially, run-once jobs that start twice, two schedulers that act at the same
// time, jobs that never end, and jobs that are lost when the log drops old records. Seeded random faults in schedulers,
// workers, network and log may cause them.
func TestScenario(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		changes := []func(*scenario){retain(20)}[:seed%2]
		violations, events := runScenario(t, seed, changes...)
		writeTrace(t, seed, events)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
		}
	}
}

func newPlanner(failureDomain string) scheduler.Planner { return scheduler.New(failureDomain) }

// retain limits the log to the newest 80 records and makes the schedulers append a snapshot after snapshotRecords records.
func retain(snapshotRecords uint64) func(*scenario) {
	return func(s *scenario) {
		s.log.retain = 80
		s.options = func(o *Options) { o.SnapshotRecords = snapshotRecords }
	}
}

// writeTrace writes the trace of a seed to the file named by CONTROL_TRACE.
func writeTrace(t *testing.T, seed uint64, events []string) {
	path := os.Getenv("CONTROL_TRACE")
	if path == "" {
		return
	}
	var text []byte
	for _, event := range events {
		text = append(append(text, event...), '\n')
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Log(err)
	}
	t.Logf("trace of seed %d is in %s", seed, path)
}
