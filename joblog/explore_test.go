package joblog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	exploredJob = "0123456789abcdef"
	// exploredRetention is the retention of early cancellations, and exploredTick the step of the clock. A write that is in flight is
	// executed within one step, or never.
	exploredRetention = 180 * time.Second
	exploredTick      = 61 * time.Second
)

// exploredVM is a VM that reads the records of one part of the intake, and the states, one request of the reader at a time.
type exploredVM struct {
	view           *View
	intake, states *reader
}

// inFlight is a write that the store has not executed yet.
type inFlight struct {
	sentAt  time.Duration
	execute func()
	// answers is true if the response to the write answers the cancellation.
	answers bool
}

// world is the state of one explored order.
type world struct {
	t     *testing.T
	log   *storetest.Fake
	clock time.Duration
	vms   map[string]*exploredVM
	// writes maps the names of writes in flight to them.
	writes map[string]inFlight
	// done holds the steps that were made, in order.
	done []string
	// submitted is true once the submission was sent, cancelled once a cancellation was answered after that.
	submitted, cancelled bool
}

// step is one step of an order. Each is made at most once, as far as ready returns true; nil stands for always.
type step struct {
	name  string
	ready func(w *world) bool
	do    func(w *world)
}

func newWorld(t *testing.T) *world {
	log := storetest.New()
	log.PageSize = 1
	return &world{t: t, log: log, vms: map[string]*exploredVM{}, writes: map[string]inFlight{}}
}

// vm returns the VM of that name, which has not read anything at first.
func (w *world) vm(name string) *exploredVM {
	if vm := w.vms[name]; vm != nil {
		return vm
	}
	vm := &exploredVM{view: NewView()}
	vm.view.now = func() time.Duration { return boottime.Now() + w.clock }
	vm.intake = newReader(w.log, IntakeStream(exploredJob), vm.view, zerolog.Nop())
	vm.states = newReader(w.log, store.States, vm.view, zerolog.Nop())
	w.vms[name] = vm
	return vm
}

// readAll reads to the end of both streams, the states first.
func (w *world) readAll(name string) {
	vm := w.vm(name)
	for _, r := range []*reader{vm.states, vm.intake} {
		w.read(r)
		for r.cursor.Loading() {
			w.read(r)
		}
		w.read(r)
	}
}

// read makes one request of the reader.
func (w *world) read(r *reader) {
	if err := r.read(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) append(stream store.Stream, records ...store.Record) {
	if _, err := w.log.Append(w.t.Context(), stream, records, nil, 0); err != nil {
		w.t.Fatal(err)
	}
}

// send puts a write into flight, under each of the names once: the store may execute it again, late.
func (w *world) send(execute func(), answers bool, names ...string) {
	for _, name := range names {
		w.writes[name] = inFlight{sentAt: w.clock, execute: execute, answers: answers}
	}
}

// answerCancel is the answer to a cancellation.
func (w *world) answerCancel() { w.cancelled = w.cancelled || w.submitted }

// has reports whether the step was made.
func (w *world) has(name string) bool { return slices.Contains(w.done, name) }

// check returns the rule that the order breaks: after an answered cancellation, neither a VM that reads on nor one that loads the records
// anew may take a job for runnable that was submitted before the answer.
func (w *world) check() string {
	if !w.cancelled {
		return ""
	}
	for _, name := range []string{"holder", "loader"} {
		w.readAll(name)
		if e, known := w.vm(name).view.Get(exploredJob); known && !e.Cancelled && !e.Phase.Final() {
			return name + " takes the cancelled job for runnable"
		}
	}
	return ""
}

// after returns a condition that holds once the steps were made.
func after(names ...string) func(*world) bool {
	return func(w *world) bool {
		return !slices.ContainsFunc(names, func(name string) bool { return !w.has(name) })
	}
}

// executes is the step in which the store executes a write in flight.
func executes(write string) step {
	return step{
		name: "execute " + write,
		ready: func(w *world) bool {
			sent, exists := w.writes[write]
			return exists && w.clock-sent.sentAt <= exploredTick
		},
		do: func(w *world) {
			w.writes[write].execute()
			if w.writes[write].answers {
				w.answerCancel()
			}
		},
	}
}

// submits is the step in which a caller submits the job; the write is sent under the names.
func submits(ready func(*world) bool, writes ...string) step {
	return step{name: "submit", ready: ready, do: func(w *world) {
		w.submitted = true
		record := submission(w.t, exploredJob)
		w.send(func() { w.append(IntakeStream(exploredJob), record) }, false, writes...)
	}}
}

// cancels is the step in which a caller cancels the job at a VM, which reads all records first. A write that this needs is sent under the
// names; the response to the first one answers the cancellation.
func cancels(name, vm string, ready func(*world) bool, writes ...string) step {
	return step{name: name, ready: ready, do: func(w *world) {
		w.readAll(vm)
		caller := Caller{Queue: "q"}
		var record store.Record
		switch w.vm(vm).view.DecideCancel(exploredJob, caller, exploredRetention) {
		case CancelStored, CancelEnded:
			w.answerCancel()
			return
		case CancelStoreEarly:
			record = earlyCancelRecord(w.t, exploredJob, caller)
		case CancelStore:
			record = CancelRecord(exploredJob)
		default:
			w.t.Fatal("the caller may not cancel the job")
		}
		execute := func() { w.append(IntakeStream(exploredJob), record) }
		w.send(execute, true, writes[0])
		w.send(execute, false, writes[1:]...)
	}}
}

// reads is the step in which a VM reads to the end.
func reads(vm string, ready func(*world) bool) step {
	return step{name: vm + " reads", ready: ready, do: func(w *world) { w.readAll(vm) }}
}

// requests is the step in which a reader of a VM makes one request, of one page or of what was appended.
func requests(name, vm string, states bool, ready func(*world) bool) step {
	return step{name: name, ready: ready, do: func(w *world) {
		if states {
			w.read(w.vm(vm).states)
			return
		}
		w.read(w.vm(vm).intake)
	}}
}

// ticks is the step in which time passes.
func ticks(name string, ready func(*world) bool) step {
	return step{name: name, ready: ready, do: func(w *world) { w.clock += exploredTick }}
}

// cleansUp is the step in which the holder sends the deletion of old early cancellations, under the names.
func cleansUp(name string, ready func(*world) bool, writes ...string) step {
	return step{name: name, ready: ready, do: func(w *world) {
		holder := w.vm("holder")
		follower := &Follower{readers: []*reader{holder.states, holder.intake}}
		for _, d := range follower.DeleteEarlyCancels(holder.view.now() - exploredRetention) {
			w.send(func() {
				err := w.log.AppendAt(w.t.Context(), d.Stream, d.Records, d.End, 0)
				if err != nil && !errors.Is(err, store.ErrMoved) {
					w.t.Fatal(err)
				}
			}, false, writes...)
		}
	}}
}

// storesState is the step in which the holder stores the state of the job as it sees it.
func storesState(ready func(*world) bool) step {
	return step{name: "holder stores the state", ready: ready, do: func(w *world) {
		e, known := w.vm("holder").view.Get(exploredJob)
		if !known || e.State != nil {
			return
		}
		phase := workload.PhaseRunning
		if e.Cancelled {
			phase = workload.PhaseCancelled
		}
		w.append(store.States, state(exploredJob, phase))
	}}
}

// losesHistory is the step in which the records of a stream expire.
func losesHistory(name string, stream store.Stream, ready func(*world) bool) step {
	return step{name: name, ready: ready, do: func(w *world) { w.log.DropHistory(stream) }}
}

// explorer makes the steps in every possible order.
type explorer struct {
	t      *testing.T
	setUp  func(w *world)
	steps  []step
	orders int
	// seen holds the sets of steps and outcomes that were explored.
	seen map[string]bool
}

// retained returns the records of the stream that can still be read, and its first and last offset.
func (w *world) retained(stream store.Stream) string {
	var b strings.Builder
	for from := int64(0); ; from++ {
		batch, err := w.log.Read(w.t.Context(), stream, from, 0)
		if err != nil {
			continue
		}
		fmt.Fprint(&b, from, batch.End, ":")
		for _, r := range batch.Records {
			fmt.Fprint(&b, r.Key, len(r.Value), ";")
		}
		break
	}
	for after := ""; ; {
		page, err := w.log.Newest(w.t.Context(), stream, after)
		if err != nil || len(page.Records) == 0 {
			return b.String()
		}
		after = page.Records[0].Key
		fmt.Fprint(&b, after, page.Records[0].Offset, ";")
	}
}

// run returns the world after the steps of the given numbers.
func (x *explorer) run(order []int) *world {
	w := newWorld(x.t)
	if x.setUp != nil {
		x.setUp(w)
	}
	for _, n := range order {
		x.steps[n].do(w)
		w.done = append(w.done, x.steps[n].name)
	}
	return w
}

// explore checks the order and all that begin with it.
func (x *explorer) explore(order []int) {
	if x.t.Failed() {
		return
	}
	x.orders++
	if rule := x.run(order).check(); rule != "" {
		x.t.Errorf("%s after: %s", rule, strings.Join(x.run(order).done, ", "))
		return
	}
	w := x.run(order)
	key := x.fingerprint(w, order)
	if x.seen[key] {
		return
	}
	x.seen[key] = true
	for n, s := range x.steps {
		if slices.Contains(order, n) || s.ready != nil && !s.ready(w) {
			continue
		}
		x.explore(append(slices.Clone(order), n))
	}
}

// fingerprint identifies what can follow: the steps that are left, the records, what each VM has read, and the writes in flight.
func (x *explorer) fingerprint(w *world, order []int) string {
	made := slices.Clone(order)
	slices.Sort(made)
	var b strings.Builder
	fmt.Fprint(&b, made, w.clock, w.cancelled)
	for _, stream := range []store.Stream{IntakeStream(exploredJob), store.States} {
		fmt.Fprint(&b, w.retained(stream))
	}
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		vm := w.vms[name]
		fmt.Fprint(&b, name)
		for _, r := range []*reader{vm.intake, vm.states} {
			next, loaded := r.cursor.Position()
			fmt.Fprint(&b, next, loaded, r.cursor.Loading(), slices.Sorted(maps.Keys(r.loadedKeys)))
		}
		if e := vm.view.entries[exploredJob]; e != nil {
			fmt.Fprint(&b, e.job != nil, e.cancelRequested, e.phase)
		}
		for _, e := range vm.view.earlyCancels.byJob[exploredJob] {
			fmt.Fprint(&b, e.readAt.Round(time.Minute))
		}
	}
	for _, s := range x.steps {
		name, _ := strings.CutPrefix(s.name, "execute ")
		if sent, exists := w.writes[name]; exists {
			fmt.Fprint(&b, name, sent.sentAt)
		}
	}
	return b.String()
}

// TestOrdersOfCancellations explores short orders of submissions, cancellations, writes that are lost and executed late, readers, holders
// and clean-up. It guards against a cancellation that was answered and does not hold for a job that was submitted before.
func TestOrdersOfCancellations(t *testing.T) {
	scenarios := []struct {
		name  string
		setUp func(w *world)
		steps []step
	}{
		{name: "submission and cancellation in flight", steps: []step{
			submits(nil, "s1", "s2"),
			executes("s1"), executes("s2"),
			cancels("cancel", "asked", nil, "c1", "c2"),
			executes("c1"), executes("c2"),
			reads("holder", nil),
			storesState(after("holder reads")),
			requests("loader requests a page", "loader", false, nil),
			requests("loader requests another page", "loader", false, after("loader requests a page")),
		}},
		{name: "cancelled twice beside the clean-up", setUp: func(w *world) {
			w.readAll("asked")
			w.append(IntakeStream(exploredJob), earlyCancelRecord(w.t, exploredJob, Caller{Queue: "q"}))
			w.readAll("asked")
			w.readAll("holder")
		}, steps: []step{
			ticks("tick 1", nil), ticks("tick 2", after("tick 1")), ticks("tick 3", after("tick 2")),
			cleansUp("clean-up", after("tick 2"), "t1", "t2"),
			executes("t1"), executes("t2"),
			submits(after("tick 2"), "s1"),
			executes("s1"),
			cancels("cancel", "asked", after("tick 2"), "c1", "c2"),
			executes("c1"), executes("c2"),
			reads("holder", after("tick 2")),
		}},
		{name: "cancelled at a VM that has loaded the records", setUp: func(w *world) {
			w.append(IntakeStream(exploredJob), earlyCancelRecord(w.t, exploredJob, Caller{Queue: "q"}))
			w.readAll("holder")
		}, steps: []step{
			ticks("tick 1", nil), ticks("tick 2", after("tick 1")), ticks("tick 3", after("tick 2")),
			reads("restarted", nil),
			cancels("cancel", "restarted", nil, "c1"),
			executes("c1"),
			submits(nil, "s1"),
			executes("s1"),
			cleansUp("clean-up", after("tick 3"), "t1"),
			executes("t1"),
		}},
		{name: "cancelled at a VM that was cut off", setUp: func(w *world) {
			w.readAll("asked")
			w.append(IntakeStream(exploredJob), earlyCancelRecord(w.t, exploredJob, Caller{Queue: "q"}))
			w.readAll("holder")
		}, steps: []step{
			ticks("tick 1", nil), ticks("tick 2", after("tick 1")), ticks("tick 3", after("tick 2")),
			reads("asked", nil),
			cancels("cancel", "asked", nil, "c1"),
			executes("c1"),
			submits(nil, "s1"),
			executes("s1"),
			cleansUp("clean-up", after("tick 3"), "t1"),
			executes("t1"),
		}},
		{name: "holder that cannot store states", steps: []step{
			submits(nil, "s1"),
			executes("s1"),
			cancels("cancel", "asked", nil, "c1"),
			executes("c1"),
			reads("holder", nil),
			ticks("tick 1", after("holder reads")), ticks("tick 2", after("tick 1")), ticks("tick 3", after("tick 2")),
			cleansUp("clean-up", after("tick 3"), "t1"),
			executes("t1"),
			storesState(after("tick 3")),
		}},
		{name: "lost history", setUp: func(w *world) {
			w.readAll("holder")
			w.append(store.States, state("other", workload.PhaseRunning))
		}, steps: []step{
			submits(nil, "s1"),
			executes("s1"),
			cancels("cancel", "asked", nil, "c1"),
			executes("c1"),
			losesHistory("intake lost", IntakeStream(exploredJob), nil),
			losesHistory("states lost", store.States, nil),
			requests("holder requests intake 1", "holder", false, nil),
			requests("holder requests intake 2", "holder", false, after("holder requests intake 1")),
			requests("holder requests states 1", "holder", true, nil),
			requests("holder requests states 2", "holder", true, after("holder requests states 1")),
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			x := &explorer{t: t, setUp: s.setUp, steps: s.steps, seen: map[string]bool{}}
			x.explore(nil)
			t.Logf("%d orders", x.orders)
		})
	}
}
