package overload

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestForecast guards against forecasts that count work which a new job would pass, or leave out work that goes before it.
func TestForecast(t *testing.T) {
	capacity := Load{Accelerators: 10, Cores: 100}
	waits := func(priority int, class Class, seconds float64, left time.Duration) Waiting {
		return Waiting{Priority: priority, Class: class, Work: Load{Accelerators: 10 * seconds}, TimeLeft: left}
	}
	cases := []struct {
		name    string
		inflow  map[int]Load
		waiting []Waiting
		want    map[int]time.Duration
	}{
		{
			"work ahead", nil, []Waiting{waits(0, OnTime, 2, time.Minute), waits(1, OnTime, 3, time.Minute)},
			map[int]time.Duration{0: 2 * time.Second, 1: 5 * time.Second, 2: 5 * time.Second},
		},
		{
			"late work lets it pass", nil, []Waiting{waits(1, OnTime, 3, time.Minute), waits(1, Late, 9, 0)},
			map[int]time.Duration{1: 3 * time.Second},
		},
		{
			"hopeless work has its share", nil, []Waiting{waits(1, OnTime, 7, time.Minute), waits(2, Hopeless, 99, 0)},
			map[int]time.Duration{1: 8 * time.Second},
		},
		{
			"a flood becomes late", nil, []Waiting{waits(2, OnTime, 8, 5*time.Second), waits(2, OnTime, 50, 5*time.Second)},
			map[int]time.Duration{2: 8 * time.Second},
		},
		{
			"more urgent work arrives", map[int]Load{0: {Accelerators: 5}}, []Waiting{waits(1, OnTime, 3, time.Minute)},
			map[int]time.Duration{0: 0, 1: 6 * time.Second},
		},
		{
			"more urgent work takes all", map[int]Load{0: {Accelerators: 50}}, []Waiting{waits(0, OnTime, 3, time.Minute), waits(1, OnTime, 0, 0)},
			map[int]time.Duration{0: 3 * time.Second, 1: time.Minute},
		},
	}
	for _, c := range cases {
		f := &Forecast{Services: []Service{{Name: "svc", Levels: Levels(capacity, c.inflow, c.waiting)}}}
		for priority, want := range c.want {
			if got := f.Delay("svc", priority, maxObjective, true); got.Round(time.Millisecond) != want {
				t.Errorf("%s: the delay of priority %d is %v, want %v", c.name, priority, got, want)
			}
			if got := f.Delay("svc", priority, maxObjective, false); got != 0 {
				t.Errorf("%s: the delay of jobs without accelerators is %v, want 0", c.name, got)
			}
		}
		if got := f.Delay("other", 2, maxObjective, true); got != 0 {
			t.Errorf("%s: the delay of another service is %v, want 0", c.name, got)
		}
	}
	if levels := Levels(Load{}, nil, []Waiting{waits(1, OnTime, 3, time.Minute)}); levels[0].Accelerators != 0 {
		t.Errorf("without known workers, the delay is %v, want 0 since it is not known", levels[0].Accelerators)
	}
}

// TestForecastOfAShortJob guards against a short job that is refused because of work that goes after it, or of long tasks that leave it most
// of the capacity.
func TestForecastOfAShortJob(t *testing.T) {
	capacity := Load{Accelerators: 10, Cores: 100}
	waits := func(priority int, demand float64, duration, left time.Duration) Waiting {
		return Waiting{Priority: priority, Work: Load{Accelerators: demand * duration.Seconds()}, Duration: duration, TimeLeft: left}
	}
	cases := []struct {
		name        string
		waiting     []Waiting
		short, long time.Duration
	}{
		{"work with more time left", []Waiting{waits(1, 20, 100*time.Second, 400*time.Second)}, 0, 200 * time.Second},
		{"work with less time left", []Waiting{waits(1, 20, 10*time.Second, 7*time.Second)}, 20 * time.Second, 20 * time.Second},
		{"more urgent work", []Waiting{waits(0, 20, 100*time.Second, 400*time.Second)}, 200 * time.Second, 200 * time.Second},
		{"a long task beside room", []Waiting{waits(0, 1, 10*time.Hour, 100*time.Hour)}, 0, 0},
		{
			"a long task beside short ones", []Waiting{waits(0, 35, 2*time.Second, time.Minute), waits(0, 3, 10*time.Hour, 100*time.Hour)},
			10 * time.Second, 10 * time.Second,
		},
		{"long tasks on all accelerators", []Waiting{waits(0, 10, time.Hour, 100*time.Hour)}, time.Hour, time.Hour},
	}
	for _, c := range cases {
		f := &Forecast{Services: []Service{{Name: "svc", Levels: Levels(capacity, nil, c.waiting)}}}
		short, long := f.Delay("svc", 1, 20*time.Second, true), f.Delay("svc", 1, time.Hour, true)
		if short.Round(time.Millisecond) != c.short || long.Round(time.Millisecond) != c.long {
			t.Errorf("%s: the delay is %v with an objective of 20 s and %v with one of 1 h, want %v and %v", c.name, short, long, c.short, c.long)
		}
	}
}

// TestForecastIsDeterministic guards against a forecast that depends on the order in which a map is read.
func TestForecastIsDeterministic(t *testing.T) {
	inflow := map[int]Load{0: {Accelerators: 0.1}, 1: {Accelerators: 0.7}, 2: {Accelerators: 1e-9}, 3: {Accelerators: 3.3}, 4: {Accelerators: 1e-3}}
	waiting := []Waiting{{Priority: 5, Work: Load{Accelerators: 1e9}, TimeLeft: time.Minute}}
	first := Levels(Load{Accelerators: 10}, inflow, waiting)
	for range 100 {
		if got := Levels(Load{Accelerators: 10}, inflow, waiting); !slices.Equal(got, first) {
			t.Fatalf("the same work gives %+v and %+v", first, got)
		}
	}
}

// TestBacklogIsTheDelayOfItsSteps guards against rounding and an order of steps that change the delay: it is the time by which the steps, each
// for at most that time, fill the capacity.
func TestBacklogIsTheDelayOfItsSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := backlog{rate: 10}
		var demands, durations []float64
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			demand, duration := rapid.Float64Range(0.5, 8).Draw(t, "demand"), rapid.Float64Range(0.1, 1000).Draw(t, "duration")
			demands, durations = append(demands, demand), append(durations, duration)
			before := b.delay
			b.add(demand*duration, time.Duration(duration*float64(time.Second)))
			if b.delay < before-time.Microsecond {
				t.Fatalf("a further step shortens the delay from %v to %v", before, b.delay)
			}
		}
		taken := 0.0
		for i, demand := range demands {
			taken += demand * min(durations[i], b.delay.Seconds())
		}
		if offered := b.rate * b.delay.Seconds(); math.Abs(taken-offered) > 1e-5*(1+offered) {
			t.Fatalf("within the delay of %v, the steps take %v of %v", b.delay, taken, offered)
		}
	})
}

// TestInflowIsARate guards against an inflow that depends on when it is asked for, or that keeps counting work of long ago.
func TestInflowIsARate(t *testing.T) {
	var inflow Inflow
	for i := range 1000 {
		inflow.Add(Load{Accelerators: 2}, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	end := start.Add(100 * time.Second)
	if rate := inflow.Rate(end).Accelerators; math.Abs(rate-20) > 0.5 {
		t.Errorf("the rate of 20 per second is taken for %.1f", rate)
	}
	if rate := inflow.Rate(end.Add(2 * time.Minute)).Accelerators; rate > 0.1 {
		t.Errorf("the rate is %.1f two minutes after the last arrival, want 0", rate)
	}
}

// TestForecastsAreStoredSparingly guards against appends in calm times, more than one per second, and a forecast that stays in force after
// the overload or grows too old while it lasts.
func TestForecastsAreStoredSparingly(t *testing.T) {
	forecast := func(age, delay time.Duration) *Forecast {
		f := &Forecast{MadeAt: start.Add(age), Tasks: 100}
		if delay > 0 {
			f.Services = []Service{{Name: "svc", Accelerators: 8, Levels: []Level{{Priority: 1, Accelerators: delay}}}}
		}
		return f
	}
	const s = time.Second
	cases := []struct {
		name      string
		stored, f *Forecast
		want      bool
	}{
		{"calm", nil, forecast(0, 0), false},
		{"still calm", forecast(0, 0), forecast(time.Hour, 0), false},
		{"first", nil, forecast(0, 5*s), true},
		{"unchanged", forecast(0, 20*s), forecast(s, 21*s), false},
		{"changed", forecast(0, 20*s), forecast(s, 23*s), true},
		{"changed too soon", forecast(0, 20*s), forecast(s-1, 30*s), false},
		{"old", forecast(0, 20*s), forecast(renewInterval, 20*s), true},
		{"over", forecast(0, 20*s), forecast(s/2, 0), true},
		{"clock set back", forecast(time.Hour, 20*s), forecast(0, 20*s), true},
	}
	for _, c := range cases {
		if got := c.f.ShouldStore(c.stored); got != c.want {
			t.Errorf("%s: stored is %v, want %v", c.name, got, c.want)
		}
	}
}
