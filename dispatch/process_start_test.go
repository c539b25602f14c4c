package dispatch

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// storeUnit changes the stored state of a job's only unit, as another version may have stored it.
func (c *cluster) storeUnit(id workload.JobID, change func(*workload.UnitState)) {
	state, err := c.storedState(id)
	if err != nil {
		c.t.Fatal(err)
	}
	change(&state.Repetitions[0][0].Units[0])
	c.stored[id] = state.Encode()
}

// TestRestoredStartGoesToTheListedProcess guards against a restored start that is never sent, or sent to a process that has ended,
// because the holder that stored it, of a former version, did not name the process; and against one that is sent to another process than
// the one that it is known to be meant for.
func TestRestoredStartGoesToTheListedProcess(t *testing.T) {
	const job = "0000000000000001"
	for _, test := range []struct {
		name         string
		incarnations []int64
		// restarted workers list their runs as process 7 after the takeover; the job was stored for process 1.
		restarted bool
		want      int64
	}{
		{name: "not named, same process", want: 1},
		{name: "not named, other process", restarted: true, want: 7},
		{name: "not known, same process", incarnations: []int64{0}, want: 1},
		{name: "not known, other process", incarnations: []int64{0}, restarted: true, want: 7},
		{name: "named, same process", incarnations: []int64{1}, want: 1},
		{name: "named, other process", incarnations: []int64{1}, restarted: true},
		{name: "its crash is counted", incarnations: []int64{workload.CountedIncarnation}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1)
			c.submit(job, "normal", "large", tasks(1, 1))
			planned := c.decide().Starts
			if len(planned) != 1 || planned[0].Incarnation != 1 || planned[0].Repeated {
				t.Fatalf("got starts %+v, want one for process 1", planned)
			}
			c.storeUnit(job, func(u *workload.UnitState) { u.Incarnations = test.incarnations })
			if test.restarted {
				c.workers["w00"].info.Incarnation = 7
			}
			c.takeOver()
			c.advance(10 * time.Millisecond)
			c.listAll()
			starts := c.decide().Starts
			if test.want == 0 {
				if len(starts) != 1 || starts[0].Repeated || starts[0].Ref == planned[0].Ref || starts[0].Incarnation != c.workers["w00"].info.Incarnation {
					t.Fatalf("got starts %+v, want a new run on the process that was listed", starts)
				}
				return
			}
			if len(starts) != 1 || !starts[0].Repeated || starts[0].Ref != planned[0].Ref || starts[0].Incarnation != test.want {
				t.Fatalf("got starts %+v, want the restored one for process %d", starts, test.want)
			}
			c.start(starts[0])
			c.advance(10 * time.Millisecond)
			c.listAll()
			c.endAll(job, workload.EndDone)
			c.advance(10 * time.Millisecond)
			c.listAll()
			c.decide()
			if phase := c.phases[job]; phase != workload.PhaseCompleted {
				t.Errorf("the job is %s, want completed", phase)
			}
		})
	}
}

// TestStartsNameTheProcessThatWasListed guards against a start that is meant for a former process, or for one that is known only from
// the worker's entry, and that the process which runs now never gets.
func TestStartsNameTheProcessThatWasListed(t *testing.T) {
	c := newCluster(t, 2)
	c.submit("0000000000000001", "normal", "large", gangOf(2, 8))
	w := c.workers["w01"]
	w.info.Incarnation = 5
	c.core.SetWorker(w.info)
	if starts := c.decide().Starts; len(starts) != 0 {
		t.Fatalf("got starts %+v while a worker's new process has not listed its runs", starts)
	}
	c.advance(10 * time.Millisecond)
	c.listAll()
	starts := c.decide().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	for _, start := range starts {
		if want := c.workers[start.Worker].info.Incarnation; start.Incarnation != want {
			t.Errorf("the start on %s is meant for process %d, want %d", start.Worker, start.Incarnation, want)
		}
	}
}
