package leader

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// maxChargeBytes is the memory of one unit of overload.Charge from which overload.MaxCharge is derived.
const maxChargeBytes = 300

// TestMemoryOfWaitingTasks guards against a limit on unfinished work that the smallest VM cannot hold: the memory of waiting jobs of every
// size, in the view and in the core of a holder, must be within what overload.MaxCharge assumes.
func TestMemoryOfWaitingTasks(t *testing.T) {
	for _, shape := range [][2]int{{1, 1}, {1, 5}, {1, 78}, {1, 1000}, {5, 1}, {100, 1}} {
		steps, tasks := shape[0], shape[1]
		for _, specification := range []int{100, 4000} {
			l := newTestLeader(t, storetest.New(), &bytes.Buffer{})
			l.logger = zerolog.Nop()
			l.View = joblog.NewView()
			l.core = dispatch.New(l.DispatchOptions)
			before := footprinttest.LiveHeap()
			for i := 0; l.View.Charge() < 20_000; i++ {
				job := testJob()
				job.ID = workload.JobID(fmt.Sprintf("%016x", i))
				job.Steps[0].Tasks = tasks
				for len(job.Steps) < steps {
					job.Steps = append(job.Steps, job.Steps[0])
					job.Steps[len(job.Steps)-1].After = []int{len(job.Steps) - 2}
				}
				job.Specification = strings.Repeat("x", specification)
				record, err := joblog.SubmissionRecord(job)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := l.View.Apply(record); err != nil {
					t.Fatal(err)
				}
			}
			l.core.Advance(boottime.Now(), time.Now())
			l.View.Each(func(e joblog.Entry) { l.admit(e) })
			l.core.Plan()
			used := footprinttest.LiveHeap() - before
			perUnit := used / float64(l.View.Charge())
			t.Logf("%3d steps of %4d tasks, specification of %4d bytes: %.0f bytes per unit", steps, tasks, specification, perUnit)
			if perUnit > maxChargeBytes {
				t.Errorf("jobs of %d steps of %d tasks with a specification of %d bytes take %.0f bytes per unit, at most %d are assumed",
					steps, tasks, specification, perUnit, maxChargeBytes)
			}
			runtime.KeepAlive(l)
		}
	}
	if size := overload.MaxCharge * maxChargeBytes; size > 32<<20 {
		t.Errorf("unfinished work up to the limit takes %d bytes, want at most 32 MB on a VM of 144 MB", size)
	}
}
