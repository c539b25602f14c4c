package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// stateLoad is the load of a large deployment: 540 workers, and jobs of three queues per second.
type stateLoad struct {
	*timedCluster
	rng  *rand.Rand
	jobs int
}

// loadPerSecond holds the mean number of jobs that callers submit to each queue in a second, and the largest number of tasks of a job.
var loadPerSecond = []struct {
	queue    string
	jobs     float64
	maxTasks int
}{{"urgent", 11, 9}, {"normal", 4.3, 25}, {"batch", 4.2, 75}}

func newStateLoad(t testing.TB) *stateLoad {
	return &stateLoad{timedCluster: newTimedCluster(t, 540), rng: rand.New(rand.NewPCG(1, 1))}
}

// submitTick submits the jobs of one tick.
func (l *stateLoad) submitTick() {
	for _, load := range loadPerSecond {
		if l.rng.Float64() >= load.jobs*simTick.Seconds() {
			continue
		}
		l.jobs++
		id := fmt.Sprintf("%016x", l.jobs)
		step := tasks(1+l.rng.IntN(load.maxTasks), 1)
		if load.queue != "batch" {
			step = gangOf(1+l.rng.IntN(load.maxTasks), 1<<l.rng.IntN(4))
		}
		l.runTime[workload.JobID(id)] = time.Duration((0.5 + l.rng.Float64()) * float64(l.duration[load.queue]))
		l.submitEstimated(id, load.queue, "large", step)
	}
}

// BenchmarkStatesOfALargeDeployment measures what the states of 20 s take at the store: records, bytes and appends a job, with an append at
// most every tick, and the time of the core.
func BenchmarkStatesOfALargeDeployment(b *testing.B) {
	var l *stateLoad
	for b.Loop() {
		l = newStateLoad(b)
		for range 400 {
			l.submitTick()
			l.runFor(simTick)
		}
	}
	jobs := float64(l.jobs)
	b.ReportMetric(float64(l.appends)/jobs, "appends/job")
	b.ReportMetric(float64(l.records)/jobs, "records/job")
	b.ReportMetric(float64(l.bytes)/jobs, "bytes/job")
	b.ReportMetric(float64(len(l.starts))/jobs, "starts/job")
}
