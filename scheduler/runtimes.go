package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// Parameters of run time estimates.
const (
	// runSamples is the number of latest run times kept per account and size class.
	runSamples = 64
	// minRunSamples is the number of run times required for an estimate.
	minRunSamples = 5
	// runQuantilePercent is the percentage of jobs that end within the estimated run time.
	runQuantilePercent = 80
)

// runTimes holds the latest run times of one account and size class. Declared run times are not used, because they are
// wrong by a factor of up to ten in either direction.
type runTimes struct {
	samples []time.Duration
	// next is the index of the oldest sample once runSamples are kept.
	next int
	// quantile is the estimated run time, 0 while there are too few samples.
	quantile time.Duration
}

// add records one run time.
func (r *runTimes) add(d time.Duration) {
	if len(r.samples) < runSamples {
		r.samples = append(r.samples, d)
	} else {
		r.samples[r.next] = d
		r.next = (r.next + 1) % runSamples
	}
	if len(r.samples) < minRunSamples {
		return
	}
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	r.quantile = sorted[(len(sorted)-1)*runQuantilePercent/100]
}

// sizeClass groups shapes by their accelerators, or by their members if they have none, in powers of two.
func sizeClass(s resource.Shape) int {
	if n := s.Total().Accelerators; n > 0 {
		return bits.Len(uint(n))
	}
	return -bits.Len(uint(s.Members))
}

// recordRunTime records the run time of the completed attempt of j. It has no effect if the start of the members was
// never reported.
func (c *Core) recordRunTime(j *job, now time.Time) {
	if j.runningSince.IsZero() {
		return
	}
	a := j.owner
	k := sizeClass(j.Shape)
	if a.runs[k] == nil {
		a.runs[k] = &runTimes{}
	}
	a.runs[k].add(now.Sub(j.runningSince))
}

// estimatedRunTime returns the run time within which most jobs of the account and size class of j end; ok is false
// while too few of them have ended.
func (c *Core) estimatedRunTime(j *job) (d time.Duration, ok bool) {
	r := j.owner.runs[sizeClass(j.Shape)]
	if r == nil || len(r.samples) < minRunSamples {
		return 0, false
	}
	return r.quantile, true
}
