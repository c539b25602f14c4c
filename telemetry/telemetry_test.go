package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
)

var self = inner.Member{FailureDomain: "fd-a", VM: "vm-1", Role: "gateway", Incarnation: "i1"}

// TestViolationsAreLoggedAsErrors guards against a violated invariant that is missing from the log.
func TestViolationsAreLoggedAsErrors(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info", self)
	if err != nil {
		t.Fatal(err)
	}
	defer LogViolations(logger)()
	invariant.Check(false, invariant.AtMostOnce, "key %d ran twice", 7)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%q: %v", out.String(), err)
	}
	if line["level"] != "error" || line["invariant"] != "P5" || line["detail"] != "key 7 ran twice" || line["vm"] != "vm-1" {
		t.Fatalf("got line %v, want an error line with the invariant, the detail and the VM", line)
	}
}

// TestUnusableSettingsAreRejected guards against a daemon that starts without logs or spans because of an unusable
// setting.
func TestUnusableSettingsAreRejected(t *testing.T) {
	if _, err := NewLogger(&bytes.Buffer{}, "loud", self); !errkind.Is(err, errkind.BadInput) {
		t.Errorf("log level: got error %v, want a BadInput error", err)
	}
	missing := filepath.Join(t.TempDir(), "missing", "spans.json")
	if _, err := SetupTracing(TraceOptions{Exporter: ExporterFile, Path: missing}, self); !errkind.Is(err, errkind.BadInput) {
		t.Errorf("trace file: got error %v, want a BadInput error", err)
	}
}

// TestSpansAreWrittenToFile guards against spans that are lost when the process ends, or that do not name their
// process.
func TestSpansAreWrittenToFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	shutdown, err := SetupTracing(TraceOptions{Exporter: ExporterFile, Path: path, SampleRatio: 1}, self)
	if err != nil {
		t.Fatal(err)
	}
	_, span := otel.Tracer("test").Start(context.Background(), "hop")
	span.End()
	if err := shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(text), `"Name":"hop"`) || !strings.Contains(string(text), "redwing-gateway") {
		t.Fatalf("got trace file %q, error %v, want the span hop of redwing-gateway", text, err)
	}
}

// TestMetricsIncludeProcessUsage guards against missing process gauges, with which the control budget is measured.
func TestMetricsIncludeProcessUsage(t *testing.T) {
	metrics.GetOrRegisterCounter("telemetry.test", nil).Inc(3)
	recorder := httptest.NewRecorder()
	MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var all map[string]map[string]float64
	if err := json.Unmarshal(recorder.Body.Bytes(), &all); err != nil {
		t.Fatal(err)
	}
	if all["telemetry.test"]["count"] != 3 || all[gaugeMaxRSSBytes]["value"] <= 0 || all[gaugeGoroutines]["value"] < 1 {
		t.Fatalf("got metrics %v, want a count of 3, a resident set size and a number of goroutines", all)
	}
}
