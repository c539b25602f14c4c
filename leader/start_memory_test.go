package leader

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/footprint/footprinttest"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/store/storetest"
	"github.com/redwingthread/redwingthread/workload"
)

// hangingConn is a worker that responds to no start or stop before the request is withdrawn.
type hangingConn struct{ idleConn }

func (hangingConn) Start(ctx context.Context, _ StartRequest, _ time.Duration) error {
	<-ctx.Done()
	return ErrNoResponse
}

func (hangingConn) Stop(ctx context.Context, _ StopRequest, _ time.Duration) error {
	<-ctx.Done()
	return ErrNoResponse
}

type hangingWorkers struct{}

func (hangingWorkers) Connect(string, string) WorkerConn { return hangingConn{} }

// leaderWithWideWork returns a leader without a running loop, with the given number of workers that respond to no start, and jobs of
// small tasks for which the workers have room.
func leaderWithWideWork(t testing.TB, workers, jobs, tasks int) *Leader {
	t.Helper()
	l := New(Options{Epoch: 1, Log: storetest.New(), Workers: hangingWorkers{}, MaxLease: 10 * time.Second, Logger: zerolog.New(&bytes.Buffer{}).Level(zerolog.Disabled)},
		&workload.Config{})
	l.MembershipTTL = testTTL
	l.ConfirmedAt = boottime.Now
	l.View = joblog.NewView()
	config := &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "svc", Priority: 1, MaxFailedRuns: 1, SlackFactor: 3}}}
	config.Index()
	l.core = dispatch.New(l.DispatchOptions)
	l.core.Advance(boottime.Now(), time.Now())
	l.core.SetConfig(config)
	for i := range workers {
		id := fmt.Sprintf("worker-%04d", i)
		l.core.SetWorker(workload.WorkerInfo{ID: id, Service: "svc", Rack: "r1", Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 65_536}})
		l.core.ApplyListing(id, boottime.Now(), &workload.Listing{Incarnation: 1})
		l.sessions[id] = l.newSession(t.Context(), id, "127.0.0.1:1", 0)
		l.sessions[id].recordResponse(&workload.Listing{Incarnation: 1, ClockMS: 1000}, 0)
	}
	for i := range jobs {
		job := testJob()
		job.ID = workload.JobID(fmt.Sprintf("%016x", i))
		job.Priority = 1
		job.Steps[0].Tasks = tasks
		job.Steps[0].Demand = resource.Resources{MilliCPU: 1, MemoryMB: 1}
		l.core.AddJob(job, nil)
	}
	return l
}

// TestMemoryOfStartsInFlight guards against a holder whose memory grows with every start that waits for its worker: wide jobs of small
// tasks ended each holder of the schedule in turn.
func TestMemoryOfStartsInFlight(t *testing.T) {
	const jobs, tasks = 20, 1000
	l := leaderWithWideWork(t, 6, jobs, tasks)
	before := footprinttest.LiveHeapAndStacks()
	goroutines := runtime.NumGoroutine()
	started := 0
	for range 20 {
		l.core.Advance(boottime.Now(), time.Now())
		l.inFlight.starts = l.core.Plan().Starts
		started += len(l.inFlight.starts)
		l.applyEffects(t.Context())
	}
	time.Sleep(100 * time.Millisecond)
	used := footprinttest.LiveHeapAndStacks() - before
	t.Logf("%d starts in flight, %d goroutines, %.0f bytes for each start", started, runtime.NumGoroutine()-goroutines, used/float64(max(1, started)))
	if limit := 6 * (maxRequests + 1); runtime.NumGoroutine()-goroutines > limit {
		t.Errorf("%d starts have %d goroutines, want at most %d: those of the requests that a worker may get at once, and one that hands them out", started,
			runtime.NumGoroutine()-goroutines, limit)
	}
	if limit := float64(footprint.UnitBytes*jobs*tasks + footprint.PlacedBytes*started); used > limit {
		t.Errorf("%d jobs of %d tasks take %.1f MB more once they start, want at most %.1f MB", jobs, tasks, used/(1<<20), limit/(1<<20))
	}
	runtime.KeepAlive(l)
}

// TestMemoryOfStopsInFlight guards against the same growth when wide jobs that run are cancelled.
func TestMemoryOfStopsInFlight(t *testing.T) {
	const jobs, tasks = 10, 1000
	l := leaderWithWideWork(t, 6, jobs, tasks)
	for running := 0; running < jobs*tasks; {
		l.core.Advance(boottime.Now(), time.Now())
		l.core.WorkersRead(boottime.Now())
		starts := l.core.Plan().Starts
		for _, start := range starts {
			l.core.StartAccepted(start.Worker, start.Ref)
		}
		running += len(starts)
	}
	goroutines, before := runtime.NumGoroutine(), footprinttest.LiveHeapAndStacks()
	for i := range jobs {
		l.core.CancelJob(workload.JobID(fmt.Sprintf("%016x", i)))
	}
	l.decide(t.Context())
	time.Sleep(100 * time.Millisecond)
	if n, limit := runtime.NumGoroutine()-goroutines, 6*(maxRequests+1); n > limit {
		t.Errorf("%d stops have %d goroutines, want at most %d", jobs*tasks, n, limit)
	}
	if used := footprinttest.LiveHeapAndStacks() - before; used > footprint.UnitBytes*jobs*tasks {
		t.Errorf("%d stops take %.1f MB, want at most %.1f MB", jobs*tasks, used/(1<<20), float64(footprint.UnitBytes*jobs*tasks)/(1<<20))
	}
	runtime.KeepAlive(l)
}

// BenchmarkQueuedStart measures the memory of a start that waits for a request slot.
func BenchmarkQueuedStart(b *testing.B) {
	const count = 10_000
	for range b.N {
		l := leaderWithWideWork(b, 1, 0, 0)
		s := l.sessions["worker-0000"]
		for range maxRequests {
			s.acquireRequestSlot()
		}
		before := footprinttest.LiveHeapAndStacks()
		for i := range count {
			s.queueStart(b.Context(), dispatch.Start{Ref: testRun, Worker: s.id, Incarnation: int64(i)})
		}
		b.ReportMetric((footprinttest.LiveHeapAndStacks()-before)/count, "B/start")
		runtime.KeepAlive(l)
	}
}
