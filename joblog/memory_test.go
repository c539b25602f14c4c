package joblog

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// TestViewKeepsNoResponses guards against states that keep the whole response of the store in memory of which they were a part: the state
// of one job that waits would hold the states of all others that were read with it.
func TestViewKeepsNoResponses(t *testing.T) {
	const jobs, responseBytes = 50, 512 << 10
	v := NewView()
	before := footprinttest.LiveHeap()
	for i := range jobs {
		response := bytes.Repeat([]byte{0}, responseBytes)
		id := workload.JobID(fmt.Sprint(i))
		state := append(response[:0], (&workload.JobState{Phase: workload.PhaseRunning}).Encode()...)
		mustApply(t, v, submission(t, string(id)))
		mustApply(t, v, store.Record{Key: keyState + string(id), Value: state})
	}
	if used := footprinttest.LiveHeap() - before; used > jobs*responseBytes/10 {
		t.Errorf("%d jobs with states of a few bytes take %.1f MB", jobs, used/(1<<20))
	}
	runtime.KeepAlive(v)
}

// largeJob returns a job of legal size that takes much memory.
func largeJob(id string) *workload.Job {
	large := job(id)
	large.Specification = strings.Repeat("x", 4000)
	for len(large.Steps) < workload.MaxSteps {
		large.Steps = append(large.Steps, workload.Step{Tasks: 1, Image: "image"})
	}
	return large
}

// TestEndedJobsTakeLittleMemory guards against large jobs that are handed in and cancelled, which every VM kept whole for minutes: what they
// took was counted no more, so there was no end to it. The order in which a VM reads their records does not matter.
func TestEndedJobsTakeLittleMemory(t *testing.T) {
	const jobs = 200
	for _, stateFirst := range []bool{false, true} {
		v := NewView()
		before := footprinttest.LiveHeap()
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			submission, err := SubmissionRecord(largeJob(id))
			if err != nil {
				t.Fatal(err)
			}
			records := []store.Record{submission, CancelRecord(workload.JobID(id)), state(id, workload.PhaseCancelled)}
			if stateFirst {
				records = []store.Record{records[2], records[1], records[0]}
			}
			for _, r := range records {
				mustApply(t, v, r)
			}
		}
		used := footprinttest.LiveHeap() - before
		t.Logf("%.0f bytes for each job that has ended", used/jobs)
		if limit := overload.EndedCharge * footprint.UnitBytes; used > float64(jobs*limit) || v.Charge() != jobs*overload.EndedCharge {
			t.Errorf("%d jobs that have ended take %.0f bytes each and are charged %d units, want at most %d bytes", jobs, used/jobs, v.Charge(), limit)
		}
		if e, known := v.Get("0000000000000000"); !known || e.Phase != workload.PhaseCancelled || e.Job.Queue != "q" {
			t.Errorf("a job that has ended is %+v, known %v", e, known)
		}
		runtime.KeepAlive(v)
	}
}

// loadOrder is a store that notes when a stream of the intake is read before the states were.
type loadOrder struct {
	*storetest.Fake
	statesLoaded, early atomic.Bool
}

func (l *loadOrder) Newest(ctx context.Context, stream store.Stream, after string) (*store.Page, error) {
	page, err := l.Fake.Newest(ctx, stream, after)
	if stream == store.States && err == nil && !page.More {
		l.statesLoaded.Store(true)
	}
	if stream.Topic == store.TopicIntake && !l.statesLoaded.Load() {
		l.early.Store(true)
	}
	return page, err
}

// TestStatesAreLoadedFirst guards against a VM that starts beside many jobs that have ended, and holds all of them whole until it learns so.
func TestStatesAreLoadedFirst(t *testing.T) {
	log := &loadOrder{Fake: storetest.New()}
	for i := range 1200 {
		if _, err := log.Append(t.Context(), store.States, []store.Record{state(fmt.Sprint(i), workload.PhaseCancelled)}, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	f := NewFollower(log, NewView(), zerolog.Nop())
	go f.Run(t.Context())
	refresh(t, f)
	if log.early.Load() {
		t.Error("submissions are loaded before the states")
	}
}

// BenchmarkEndedJob measures the memory in a view of a job that has ended.
func BenchmarkEndedJob(b *testing.B) {
	const count = 10_000
	for range b.N {
		v := NewView()
		before := footprinttest.LiveHeap()
		for i := range count {
			id := fmt.Sprintf("%016x", i)
			record, err := SubmissionRecord(job(id))
			if err != nil {
				b.Fatal(err)
			}
			for _, r := range []store.Record{record, state(id, workload.PhaseCompleted)} {
				if _, err := v.Apply(r); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric((footprinttest.LiveHeap()-before)/count, "B/job")
		runtime.KeepAlive(v)
	}
}
