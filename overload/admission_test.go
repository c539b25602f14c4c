package overload

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/footprint"
	"github.com/redwingthread/redwingthread/workload"
)

// TestDecide guards against refusals of work that could still be served or that is urgent, and against work without bound.
func TestDecide(t *testing.T) {
	forecast := &Forecast{Services: []Service{{Name: "svc", Levels: []Level{{Priority: 1, Accelerators: time.Minute}}}}}
	job := func(priority int, objective time.Duration) Job {
		return Job{ID: "a", Service: "svc", Priority: priority, Objective: objective, Charge: 21, Accelerators: true}
	}
	other := job(1, time.Second)
	other.Service = "idle"
	noAccelerators := job(1, time.Second)
	noAccelerators.Accelerators = false
	cases := []struct {
		name       string
		forecast   *Forecast
		unfinished int
		job        Job
		want       Reason
	}{
		{"calm", nil, 0, job(2, time.Second), ""},
		{"hopeless", forecast, 0, job(1, 9*time.Second), ReasonDelay},
		{"hopeless at a lower priority", forecast, 0, job(2, 9*time.Second), ReasonDelay},
		{"not certainly hopeless", forecast, 0, job(1, 10*time.Second), ""},
		{"urgent", forecast, 0, job(0, time.Millisecond), ""},
		{"without an objective", forecast, 0, job(2, 0), ""},
		{"another service", forecast, 0, other, ""},
		{"no accelerators needed", forecast, 0, noAccelerators, ""},
		{"limit", nil, MaxCharge, job(0, time.Second), ReasonLimit},
		{"room for urgent work", nil, 9 * MaxCharge / 10, job(0, time.Second), ""},
		{"limit of other work", nil, 9 * MaxCharge / 10, job(1, time.Second), ReasonLimit},
		{"largest expected load", nil, 660 * Charge(&workload.Job{Steps: []workload.Step{{Tasks: 78}, {}, {}, {}, {}}}), job(2, time.Second), ""},
	}
	for _, c := range cases {
		d := Decide(c.forecast, c.unfinished, c.job)
		if d.Reason != c.want {
			t.Errorf("%s: the reason is %q, want %q", c.name, d.Reason, c.want)
		}
		if (d.RetryAfter >= time.Second) != (c.want != "") || d.RetryAfter%time.Second != 0 || d.RetryAfter > longestRetry {
			t.Errorf("%s: the time of the retry is %v", c.name, d.RetryAfter)
		}
	}
}

// TestRefusedCallersReturnSimultaneously guards against callers that are refused together and all return together, and against retry times
// that do not follow the forecast.
func TestRefusedCallersReturnSimultaneously(t *testing.T) {
	const callers = 1000
	mean := func(delay time.Duration) (sum float64) {
		forecast := &Forecast{Services: []Service{{Name: "svc", Levels: []Level{{Priority: 1, Accelerators: delay}}}}}
		returning := map[time.Duration]int{}
		for i := range callers {
			d := Decide(forecast, 0, Job{ID: fmt.Sprintf("%016x", i), Service: "svc", Priority: 1, Objective: time.Second, Accelerators: true})
			returning[d.RetryAfter]++
			sum += d.RetryAfter.Seconds() / callers
		}
		for after, n := range returning {
			if n > 2*callers/len(returning) {
				t.Errorf("delay %v: %d of %d callers return after %v", delay, n, callers, after)
			}
		}
		if len(returning) < 3 {
			t.Errorf("delay %v: the callers return within %d different seconds", delay, len(returning))
		}
		return sum
	}
	if short, long := mean(7*time.Second), mean(20*time.Second); short >= long {
		t.Errorf("callers return after %.1f s if the delay is short, and after %.1f s if it is long", short, long)
	}
}

// TestChargeCoversWhatACallerMayMakeLong guards against jobs whose memory exceeds what they are charged for: those with long texts or many
// repetitions, whose stored states grow with each one that is done.
func TestChargeCoversWhatACallerMayMakeLong(t *testing.T) {
	plain := Charge(&workload.Job{Steps: []workload.Step{{Tasks: 1}}})
	texts := workload.Step{Tasks: 1, RequiredLabel: strings.Repeat("l", 50_000), DataRack: strings.Repeat("r", 50_000), Image: strings.Repeat("i", 50_000)}
	if got, bytes := Charge(&workload.Job{Steps: []workload.Step{texts}})-plain, 150_000; got*footprint.UnitBytes < bytes-footprint.UnitBytes {
		t.Errorf("texts of %d bytes are charged %d units of %d bytes", bytes, got, footprint.UnitBytes)
	}
	many := &workload.Job{Steps: []workload.Step{{Tasks: 1}}, Repetitions: 10_000}
	state := &workload.JobState{Phase: workload.PhaseRunning, Repetitions: make([][]workload.StepState, many.Repetitions)}
	for k := range state.Repetitions {
		state.Repetitions[k] = []workload.StepState{{Done: true}}
	}
	if got, bytes := Charge(many)-plain, len(state.Encode()); got*footprint.UnitBytes < stateCopies*bytes-footprint.UnitBytes {
		t.Errorf("%d copies of a state of %d bytes are charged %d units of %d bytes", stateCopies, bytes, got, footprint.UnitBytes)
	}
}
