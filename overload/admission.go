package overload

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// safetyFactor is the factor by which a forecast may be too long. Demand varies by half within 13 s, and estimates are wrong by half.
	safetyFactor = 2
	// MaxCharge limits what all jobs take that are kept, in units of the memory of one waiting task: jobs count as Charge and EndedCharge
	// say. On the holder they take 30 MB, or 60 MB before the garbage collector runs, of the 101 MB that the Go runtime may use on the
	// smallest VM; see package footprint. The largest expected load of a minute, 660 jobs of 78 tasks in up to 5 steps, counts 74,580.
	MaxCharge = 100_000
	// EndedCharge is the charge of a job that has ended and is kept until its state need not be readable any more.
	EndedCharge = 3
	// jobCharge is the number of waiting tasks that take as much memory as the specification and the other data of a job.
	jobCharge = 20
	// shortestRetry and longestRetry bound the time from which the time of a retry is derived.
	shortestRetry = 4 * time.Second
	longestRetry  = 20 * time.Second
)

// Charge returns how much a job that has not ended counts against MaxCharge.
func Charge(job *workload.Job) int {
	return job.Tasks() + jobCharge + footprint.StepUnits*len(job.Steps) + (textBytes(job)+stateCopies*repetitionBytes(job))/footprint.UnitBytes
}

// stateCopies is how often the holder has the state of a job in memory: as read, being encoded, and being appended.
const stateCopies = 3

// repetitionBytes bounds the stored state of the repetitions that are done.
func repetitionBytes(job *workload.Job) int { return job.RepetitionCount() * (len(job.Steps) + 1) }

// textBytes returns the size of what a caller may make long in the steps.
func textBytes(job *workload.Job) int {
	const indexBytes = 8
	n := 0
	for i := range job.Steps {
		s := &job.Steps[i]
		n += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + indexBytes*len(s.After)
	}
	return n
}

// Job is a submission that is to be accepted or refused.
type Job struct {
	ID       string
	Service  string
	Priority int
	// Objective is 0 if the job has none.
	Objective time.Duration
	// DueIn is the time until its first repetition is due; 0 if it may start at once. The delay runs meanwhile.
	DueIn time.Duration
	// Charge is the result of the function Charge.
	Charge int
	// Accelerators is true if some tasks need accelerators.
	Accelerators bool
}

// Reason is why a job is refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonDelay means that the job would be done later than LateFactor times its objective.
	ReasonDelay Reason = "delay"
	// ReasonLimit means that the accepted jobs leave no room for another one.
	ReasonLimit Reason = "limit"
)

// Decision is the outcome of Decide. Reason is empty if the job is accepted.
type Decision struct {
	Reason Reason
	// RetryAfter is the time after which a refused job should be submitted again, in whole seconds.
	RetryAfter time.Duration
	// Delay is the expected delay of the job.
	Delay time.Duration
}

// Decide decides whether a job is accepted. forecast is nil if there is no recent one. charge is that of all jobs that are kept.
func Decide(forecast *Forecast, charge int, j Job) Decision {
	var d Decision
	if forecast != nil {
		d.Delay = forecast.Delay(j.Service, j.Priority, j.Objective, j.Accelerators)
	}
	limit := footprint.Limit(MaxCharge, j.Priority)
	useful := safetyFactor*LateFactor*j.Objective + min(max(0, j.DueIn), maxObjective)
	switch {
	case charge+j.Charge > limit:
		d.Reason = ReasonLimit
		d.RetryAfter = retryAfter(j.ID, d.Delay)
	case j.Priority > 0 && j.Objective > 0 && d.Delay > useful:
		d.Reason = ReasonDelay
		d.RetryAfter = retryAfter(j.ID, d.Delay-useful)
	}
	return d
}

// retryAfter returns the time after which a job should be submitted again if there is room for it after wait. It differs between jobs, from
// half of that time on, so that callers that were refused together do not return together.
func retryAfter(id string, wait time.Duration) time.Duration {
	latest := uint64(math.Ceil(min(max(wait, shortestRetry), longestRetry).Seconds()))
	earliest := (latest + 1) / 2
	return time.Duration(earliest+xxhash.Sum64String(id)%(latest-earliest+1)) * time.Second
}
