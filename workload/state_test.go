package workload

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestStateEncodingRoundTrips guards against a takeover that reads a state that differs from the one that was stored.
func TestStateEncodingRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := drawState(t)
		got, err := DecodeState(state.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(state, got) {
			t.Fatalf("stored %+v, decoded %+v", state, got)
		}
	})
}

func drawState(t *rapid.T) *JobState {
	state := &JobState{Phase: Phase(rapid.IntRange(0, 4).Draw(t, "phase"))}
	for range rapid.IntRange(0, 3).Draw(t, "runs") {
		var steps []StepState
		for range rapid.IntRange(1, 3).Draw(t, "steps") {
			steps = append(steps, drawStep(t))
		}
		state.Repetitions = append(state.Repetitions, steps)
	}
	return state
}

func drawStep(t *rapid.T) StepState {
	if rapid.Bool().Draw(t, "done") {
		return StepState{Done: true}
	}
	var step StepState
	for range rapid.IntRange(0, 4).Draw(t, "units") {
		step.Units = append(step.Units, UnitState{
			Status:         UnitStatus(rapid.IntRange(0, 2).Draw(t, "status")),
			Run:            rapid.Int64Range(0, 1<<40).Draw(t, "run"),
			LastCountedRun: rapid.Int64Range(0, 1<<40).Draw(t, "settled"),
			Failures:       rapid.IntRange(0, 9).Draw(t, "failures"),
			Workers:        rapid.SliceOfN(rapid.SampledFrom([]string{"", "w1", "w2"}), 1, 3).Draw(t, "workers"),
			Checkpoint:     rapid.StringN(0, 16, -1).Draw(t, "checkpoint"),
		})
	}
	return step
}

// TestCorruptStateIsRejected guards against a VM that crashes on bytes that are no encoded state, such as a record of
// another writer, or that accepts a truncated state.
func TestCorruptStateIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		if state, err := DecodeState(garbage); err == nil && state == nil {
			t.Fatal("DecodeState returned neither a state nor an error")
		}
	})
	encoded := (&JobState{Repetitions: [][]StepState{{{Units: []UnitState{{Status: UnitActive, Run: 3, Workers: []string{"w"}}}}}}}).Encode()
	for length := range encoded {
		if _, err := DecodeState(encoded[:length]); err == nil {
			t.Fatalf("a state truncated to %d of %d bytes was accepted", length, len(encoded))
		}
	}
}
