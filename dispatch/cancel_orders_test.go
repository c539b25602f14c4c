package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// orderedWorld is one worker with at most one run of a job, its holder, and the commands between them, in one order of steps.
type orderedWorld struct {
	core *Core
	now  time.Duration
	// decided holds the starts that wait for the states to be stored, sendable those that may be sent, stops the stops to be sent.
	decided, sendable []Start
	stops             []Stop
	// state is the stored state of the job; nil for none.
	state []byte
	// sent holds the starts that were sent, which may be executed again, late, with the epoch of their holder.
	sent []sentStart
	// epoch is that of the holder, workerEpoch the highest that the worker has seen.
	epoch, workerEpoch int64
	incarnation        int64
	// runs holds the runs on the worker, refused the highest run that was stopped or has ended there.
	runs    []workload.RunRef
	refused int64
	ended   []workload.EndedRun
	// cancelled is true once the cancellation is stored, which every holder reads.
	cancelled bool
	done      []string
	broken    string
}

type sentStart struct {
	start              Start
	epoch, incarnation int64
}

const orderedWorkerID = "w00"

func orderedJob() *workload.Job {
	step := tasks(1, 1)
	return &workload.Job{ID: "a", Queue: "normal", Service: "svc", Account: "small", Steps: []workload.Step{step}, MaxFailedRuns: 3, Priority: 1}
}

func newOrderedWorld() *orderedWorld {
	w := &orderedWorld{now: time.Hour, incarnation: 1}
	w.takeOver()
	w.list()
	return w
}

// takeOver replaces the holder. The new one knows what is stored.
func (w *orderedWorld) takeOver() {
	w.epoch++
	w.core = New(Options{StopTimeout: time.Second})
	w.advance(time.Millisecond)
	config := &workload.Config{
		Version:  1,
		Queues:   []workload.Queue{{Name: "normal", Service: "svc", Priority: 1, MaxFailedRuns: 3, SlackFactor: 3, Target: time.Second}},
		Accounts: []workload.Account{{Name: "small", GuaranteedAccelerators: 8}},
	}
	config.Index()
	w.core.SetConfig(config)
	w.core.SetWorker(workload.WorkerInfo{ID: orderedWorkerID, Address: "w00:1", Service: "svc", Rack: "r0", Capacity: workerSize, Incarnation: w.incarnation})
	var state *workload.JobState
	if w.state != nil {
		state, _ = workload.DecodeState(w.state)
	}
	w.core.AddJob(orderedJob(), state)
	w.decided, w.sendable, w.stops = nil, nil, nil
	if w.cancelled {
		w.core.CancelJob("a")
	}
}

func (w *orderedWorld) advance(d time.Duration) {
	w.now += d
	w.core.Advance(w.now, time.Unix(1_700_000_000, 0).Add(w.now))
}

// decide plans.
func (w *orderedWorld) decide() {
	plan := w.core.Plan()
	w.decided = append(w.decided, plan.Starts...)
	w.stops = append(w.stops, plan.Stops...)
}

// store stores the state of the job. What was decided before may be sent then.
func (w *orderedWorld) store() {
	for _, change := range w.core.TakeChanges() {
		w.state = change.State
	}
	w.core.TakePolicyChanges()
	w.core.TakeEvents()
	w.sendable = append(w.sendable, w.decided...)
	w.decided = nil
}

// send sends the starts that are still wanted, whose first attempts are executed if executed is true. A holder that knows of the cancellation
// must send none.
func (w *orderedWorld) send(executed bool) {
	for _, start := range w.sendable {
		if !w.core.WantsStart(start.Worker, start.Ref) {
			continue
		}
		if w.cancelled {
			w.broken = "a start is sent after the cancellation"
		}
		sent := sentStart{start: start, epoch: w.epoch, incarnation: start.Incarnation}
		w.sent = append(w.sent, sent)
		if executed && w.execute(sent) {
			w.core.StartAccepted(start.Worker, start.Ref)
		}
	}
	w.sendable = nil
}

// execute executes a start on the worker and reports whether the run is there then.
func (w *orderedWorld) execute(s sentStart) bool {
	ref := s.start.Ref
	if s.epoch < w.workerEpoch || s.incarnation != w.incarnation || ref.Run <= w.refused {
		return false
	}
	w.workerEpoch = s.epoch
	if !slices.Contains(w.runs, ref) {
		w.runs = append(w.runs, ref)
	}
	return true
}

// executeLate executes all starts that were sent once more.
func (w *orderedWorld) executeLate() {
	for _, s := range w.sent {
		w.execute(s)
	}
}

// stop executes the stops.
func (w *orderedWorld) stop() {
	for _, stop := range w.stops {
		w.workerEpoch = max(w.workerEpoch, w.epoch)
		w.refused = max(w.refused, stop.Ref.Run)
		if n := slices.Index(w.runs, stop.Ref); n >= 0 {
			w.runs = slices.Delete(w.runs, n, n+1)
			w.ended = append(w.ended, workload.EndedRun{RunRef: stop.Ref, Sequence: int64(len(w.ended) + 1), Reason: workload.EndStopped})
		}
		w.core.StopConfirmed(stop.Worker, stop.Ref)
	}
	w.stops = nil
}

// list passes the listing of the worker to the holder.
func (w *orderedWorld) list() {
	w.workerEpoch = max(w.workerEpoch, w.epoch)
	listing := &workload.Listing{Incarnation: w.incarnation, ClockMS: w.now.Milliseconds(), Ended: w.ended}
	for _, ref := range w.runs {
		listing.Running = append(listing.Running, workload.RunningRun{RunRef: ref})
	}
	w.core.ApplyListing(orderedWorkerID, w.now, listing)
	w.advance(10 * time.Millisecond)
}

// restart replaces the process of the worker.
func (w *orderedWorld) restart() {
	w.incarnation++
	w.runs, w.ended, w.refused, w.workerEpoch = nil, nil, 0, 0
}

// cancel stores the cancellation and passes it to the holder.
func (w *orderedWorld) cancel() {
	w.cancelled = true
	w.core.CancelJob("a")
}

// settle lets the holder work on until the cancellation should have taken effect, and checks that it has. The starts that were sent are
// executed once more meanwhile.
func (w *orderedWorld) settle() {
	for round := range 8 {
		if round == 3 {
			w.executeLate()
		}
		w.advance(400 * time.Millisecond)
		w.list()
		w.decide()
		w.store()
		w.send(true)
		w.stop()
	}
	w.list()
	if w.broken == "" && len(w.runs) > 0 {
		w.broken = "a run of the cancelled job goes on"
	}
}

// TestOrdersOfACancelledStart explores all orders in which a start is decided, stored, sent, executed, lost and executed late while its job
// is cancelled, the holder changes and the worker restarts. It guards against a job that starts, or runs on, after its cancellation was stored.
func TestOrdersOfACancelledStart(t *testing.T) {
	after := func(names ...string) func(*orderedWorld) bool {
		return func(w *orderedWorld) bool {
			return !slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(w.done, name) })
		}
	}
	steps := []struct {
		name  string
		ready func(w *orderedWorld) bool
		do    func(w *orderedWorld)
	}{
		{"decide", after(), (*orderedWorld).decide},
		{"store", after("decide"), (*orderedWorld).store},
		{"send", after("store"), func(w *orderedWorld) { w.send(true) }},
		{"send without execution", after("store"), func(w *orderedWorld) { w.send(false) }},
		{"execute late", after("store"), (*orderedWorld).executeLate},
		{"cancel", after(), (*orderedWorld).cancel},
		{"list", after(), (*orderedWorld).list},
		{"decide again", after("cancel"), (*orderedWorld).decide},
		{"store again", after("cancel"), (*orderedWorld).store},
		{"stop", after("decide again"), (*orderedWorld).stop},
		{"take over", after(), (*orderedWorld).takeOver},
		{"restart", after(), (*orderedWorld).restart},
	}
	orders := 0
	var explore func(order []int)
	explore = func(order []int) {
		if t.Failed() {
			return
		}
		w := newOrderedWorld()
		for _, n := range order {
			steps[n].do(w)
			w.done = append(w.done, steps[n].name)
		}
		var next []int
		for n, s := range steps {
			if !slices.Contains(order, n) && s.ready(w) {
				next = append(next, n)
			}
		}
		orders++
		if w.cancelled {
			w.settle()
		}
		if w.broken != "" {
			t.Errorf("%s after: %s", w.broken, strings.Join(w.done, ", "))
		}
		const maxSteps = 8
		if len(order) == maxSteps {
			return
		}
		for _, n := range next {
			explore(append(slices.Clone(order), n))
		}
	}
	explore(nil)
	t.Logf("%d orders", orders)
}
