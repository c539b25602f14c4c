package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxForecastAge is the age from which a forecast is not used any more.
	MaxForecastAge = 10 * time.Second
	// leastRate is the part of the capacity that is assumed to be left to each priority, however much more urgent work arrives.
	leastRate = 0.05
	// InflowPeriod is the time over which the rate of arriving work is averaged. Demand varies by half within 13 s.
	InflowPeriod = 15 * time.Second
	// changeShare is the part by which a forecast must have changed to be stored again; leastChange is the least change of a delay.
	changeShare = 0.1
	leastChange = 500 * time.Millisecond
	// renewInterval is the age at which an unchanged forecast is stored again.
	renewInterval = 5 * time.Second
	// storeInterval is the least time between two forecasts that are stored.
	storeInterval = time.Second
)

// levelBounds are the values of Level.Within.
var levelBounds = [...]time.Duration{
	0, 2 * time.Second, 8 * time.Second, 32 * time.Second, 128 * time.Second, 512 * time.Second, 2048 * time.Second, maxObjective,
}

// Load is work, in seconds of accelerators and of processor cores, or capacity or a rate of work, in accelerators and cores.
type Load struct{ Accelerators, Cores float64 }

// Add returns the sum of l and o.
func (l Load) Add(o Load) Load { return Load{l.Accelerators + o.Accelerators, l.Cores + o.Cores} }

// Times returns l multiplied by factor.
func (l Load) Times(factor float64) Load { return Load{l.Accelerators * factor, l.Cores * factor} }

// Forecast is what the holder of the schedule expects for jobs that are accepted now. Services without an entry have room.
type Forecast struct {
	// MadeAt is the wall time of the holder.
	MadeAt time.Time `cbor:"1,keyasint"`
	// Tasks is the number of tasks of accepted unfinished jobs.
	Tasks    int       `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
}

// Service is the forecast for one overloaded service.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Accelerators and Cores are the capacity of the workers that accept work.
	Accelerators float64 `cbor:"2,keyasint"`
	Cores        float64 `cbor:"3,keyasint"`
	// Levels holds the delays of the priorities of which work waits, in ascending order of Priority, then Within.
	Levels []Level `cbor:"4,keyasint"`
}

// Level is the forecast for one priority: the time after which a job that is accepted now is expected to start if its objective is at
// least Within.
type Level struct {
	Priority int `cbor:"1,keyasint"`
	// Accelerators is the delay of jobs that need accelerators, Cores that of other jobs.
	Accelerators time.Duration `cbor:"2,keyasint"`
	Cores        time.Duration `cbor:"3,keyasint"`
	// Within is the most time left of the work of the same priority that is counted. Work with more time left goes after a job whose
	// objective is that short.
	Within time.Duration `cbor:"4,keyasint,omitempty"`
}

// Delay returns the expected delay of a job; 0 if there is room. A priority of which no work waits has the delay of the next higher one.
func (f *Forecast) Delay(service string, priority int, objective time.Duration, accelerators bool) time.Duration {
	for i := range f.Services {
		if f.Services[i].Name == service {
			return f.Services[i].delay(priority, objective, accelerators)
		}
	}
	return 0
}

func (s *Service) delay(priority int, objective time.Duration, accelerators bool) time.Duration {
	var delay time.Duration
	for _, level := range s.Levels {
		if level.Priority > priority || level.Priority == priority && level.Within > objective {
			break
		}
		delay = level.Cores
		if accelerators {
			delay = max(level.Accelerators, level.Cores)
		}
	}
	return delay
}

// ShouldStore reports whether the forecast should be stored if stored is the last one that was. In calm times nothing is stored, except
// for one forecast that says so.
func (f *Forecast) ShouldStore(stored *Forecast) bool {
	if stored == nil {
		return len(f.Services) > 0
	}
	if len(f.Services) == 0 {
		return len(stored.Services) > 0
	}
	age := f.MadeAt.Sub(stored.MadeAt)
	// The age is negative if the clock was set back.
	return age < 0 || age >= renewInterval || age >= storeInterval && f.differs(stored)
}

// differs reports whether the forecasts differ by more than a tenth.
func (f *Forecast) differs(o *Forecast) bool {
	if len(f.Services) != len(o.Services) || differ(float64(f.Tasks), float64(o.Tasks), 0) {
		return true
	}
	for i := range f.Services {
		if f.Services[i].differs(&o.Services[i]) {
			return true
		}
	}
	return false
}

func (s *Service) differs(o *Service) bool {
	if s.Name != o.Name || len(s.Levels) != len(o.Levels) || differ(s.Accelerators, o.Accelerators, 0) || differ(s.Cores, o.Cores, 0) {
		return true
	}
	for i := range s.Levels {
		if s.Levels[i].differs(&o.Levels[i]) {
			return true
		}
	}
	return false
}

func (l *Level) differs(o *Level) bool {
	return l.Priority != o.Priority || l.Within != o.Within || l.delaysDiffer(o)
}

func (l *Level) delaysDiffer(o *Level) bool {
	return differ(float64(l.Accelerators), float64(o.Accelerators), float64(leastChange)) ||
		differ(float64(l.Cores), float64(o.Cores), float64(leastChange))
}

// differ reports whether a and b differ by more than changeShare of the larger one, and by more than least.
func differ(a, b, least float64) bool {
	difference := max(a, b) - min(a, b)
	return difference > least && difference > changeShare*max(a, b)
}

// Waiting is a waiting step in a forecast.
type Waiting struct {
	Priority   int
	Guaranteed bool
	Class      Class
	// Work is the work of its waiting tasks, Duration how long each of them takes; 0 if it is not known.
	Work     Load
	Duration time.Duration
	// TimeLeft is the result of Outlook.TimeLeft; Endless is true if the step has no objective and remains on time after it.
	TimeLeft time.Duration
	Endless  bool
}

// Levels returns the forecast for each priority of which work waits. waiting holds the steps in their order, and inflow the rate of the
// work that arrives of each priority.
//
// A job that is accepted now goes after the work on time of more urgent priorities, after that of its own which has no more time left, and
// after what arrives of more urgent ones. Steps that have left their class by the time of their turn let it pass. Late work goes after it,
// and hopeless work gets its share. Running work is left out, so the forecast is low rather than high.
func Levels(capacity Load, inflow map[int]Load, waiting []Waiting) []Level {
	var levels []Level
	rate := capacity
	for i := range waiting {
		if waiting[i].Class == Hopeless {
			rate = capacity.Times(1 - hopelessShare)
			break
		}
	}
	for _, priority := range priorities(waiting) {
		left := rate
		// In a fixed order, as the sum depends on it.
		for _, other := range slices.Sorted(maps.Keys(inflow)) {
			if other < priority {
				left = left.Add(inflow[other].Times(-1))
			}
		}
		left.Accelerators = max(left.Accelerators, leastRate*capacity.Accelerators)
		left.Cores = max(left.Cores, leastRate*capacity.Cores)
		for i, within := range levelBounds {
			next := level(priority, within, left, waiting)
			// Levels that are nearly equal are left out, which makes the record smaller.
			if i == 0 || next.delaysDiffer(&levels[len(levels)-1]) {
				levels = append(levels, next)
			}
		}
	}
	return levels
}

// priorities returns the priorities of the steps in ascending order.
func priorities(waiting []Waiting) []int {
	var found []int
	for i := range waiting {
		at, known := slices.BinarySearch(found, waiting[i].Priority)
		if !known {
			found = slices.Insert(found, at, waiting[i].Priority)
		}
	}
	return found
}

// level returns the forecast for the priority if more urgent work that waits, and its own with at most the given time left, is done at the
// rate.
func level(priority int, within time.Duration, rate Load, waiting []Waiting) Level {
	accelerators, cores := backlog{rate: rate.Accelerators}, backlog{rate: rate.Cores}
	for i := range waiting {
		w := &waiting[i]
		if w.Priority > priority || w.Class != OnTime || w.Priority == priority && !w.Guaranteed && w.TimeLeft > within {
			continue
		}
		if !w.Guaranteed && !w.Endless && max(accelerators.delay, cores.delay) > w.TimeLeft {
			continue
		}
		accelerators.add(w.Work.Accelerators, w.Duration)
		cores.add(w.Work.Cores, w.Duration)
	}
	return Level{Priority: priority, Within: within, Accelerators: accelerators.delay, Cores: cores.delay}
}

// timeFor returns the time that work takes at the rate, which is positive.
func timeFor(work, rate float64) time.Duration { return scale(time.Second, work/rate) }

// Inflow is the rate at which work arrives, averaged over InflowPeriod. The zero value is ready for use.
type Inflow struct {
	work Load
	at   time.Time
}

// Add counts work that arrived at the given time.
func (i *Inflow) Add(work Load, at time.Time) {
	if at.After(i.at) {
		i.work, i.at = i.decayed(at), at
	}
	i.work = i.work.Add(work.Times(math.Exp(-i.at.Sub(at).Seconds() / InflowPeriod.Seconds())))
}

// Rate returns the rate at the given time.
func (i *Inflow) Rate(at time.Time) Load { return i.decayed(at).Times(1 / InflowPeriod.Seconds()) }

func (i *Inflow) decayed(at time.Time) Load {
	return i.work.Times(math.Exp(-max(0, at.Sub(i.at).Seconds()) / InflowPeriod.Seconds()))
}
