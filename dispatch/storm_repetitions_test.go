package dispatch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

const (
	// repetitionsStream separates the random numbers of repetitions from those of the other faults of a seed.
	repetitionsStream = 7
	// maxStormRepetitions bounds the repetitions of a job.
	maxStormRepetitions = 6
)

// scheduledJobs makes jobs of a storm repeat; nil in a storm whose jobs run once.
type scheduledJobs struct{ rng *rand.Rand }

// schedule gives half of the jobs repetitions. Some are due when the job is submitted.
func (f *scheduledJobs) schedule(job *workload.Job) {
	if f == nil || f.rng.IntN(2) == 0 {
		return
	}
	job.Repetitions = 1 + f.rng.IntN(maxStormRepetitions)
	job.Interval = time.Duration(1+f.rng.IntN(40)) * stormTick
	job.FirstRun = job.AcceptedAt.Add(time.Duration(f.rng.IntN(200)-100) * stormTick)
}

// checkRepetitions fails the test if the core keeps steps of repetitions that are done, counts them wrongly, or has begun one that is not due.
func (s *storm) checkRepetitions() {
	if s.scheduled == nil {
		return
	}
	overlap := 0
	for id, j := range s.core.jobs {
		if j.phase.Final() {
			continue
		}
		overlap += max(0, len(j.repetitions.active)-1) * j.overlapUnits()
		for _, r := range j.repetitions.active {
			if r.allDone() && !placedIn(r) {
				s.t.Fatalf("job %s keeps the steps of repetition %d, which is done", id, r.index)
			}
			if due := j.spec.DueAt(r.index); due.After(s.wall()) {
				s.t.Fatalf("job %s has begun repetition %d before %s", id, r.index, due)
			}
		}
	}
	if s.core.overlap != overlap {
		s.t.Fatalf("%d units of overlapping repetitions are counted, want %d", s.core.overlap, overlap)
	}
}

func placedIn(r repetition) bool {
	for _, s := range r.steps {
		if s.placed() {
			return true
		}
	}
	return false
}

var repetitionSeeds = flag.Uint64("storm.repetitionseeds", 100, "number of seeds of TestStormOfRepetitions")

// TestStormOfRepetitions guards against repetitions that are lost, run twice or begin early, and against steps of theirs that stay in memory,
// under the faults of TestStorm.
func TestStormOfRepetitions(t *testing.T) {
	for seed := range *repetitionSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newStorm(t, seed)
			s.scheduled = &scheduledJobs{rng: rand.New(rand.NewPCG(seed, repetitionsStream))}
			s.run()
		})
	}
}
