package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// TestPanicIsContained guards against one malformed message that takes down the process, and against a panic that leaves no
// trace in log and metrics.
func TestPanicIsContained(t *testing.T) {
	counter := metrics.GetOrRegisterCounter(counterPanics, nil)
	before := counter.Count()
	var logged bytes.Buffer
	logger := zerolog.New(&logged)
	if !Contain(logger, "a sound message", func() {}) || counter.Count() != before || logged.Len() > 0 {
		t.Errorf("a call that returns was logged as %q, or counted", logged.String())
	}
	if Contain(logger, "a malformed message", func() { _ = [1]int{}[len(logged.Bytes())+1] }) {
		t.Error("the call that panicked is reported as returned")
	}
	if line := logged.String(); !strings.Contains(line, "a malformed message") || !strings.Contains(line, "out of range") {
		t.Errorf("the panic is logged as %q, want its task and cause", line)
	}
	if got := counter.Count() - before; got != 1 {
		t.Errorf("%d panics were counted, want 1", got)
	}
}
