package telemetry

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
)

// Trace exporters.
const (
	ExporterOff    = "off"
	ExporterStdout = "stdout"
	ExporterFile   = "file"
)

// TraceOptions are the settings of the span exporter.
type TraceOptions struct {
	// Exporter is ExporterOff, ExporterStdout or ExporterFile.
	Exporter string
	// Path is the file to which ExporterFile appends spans as JSON.
	Path string
	// SampleRatio is the share of traces that are recorded, 0 to 1. It applies only to traces without a
	// sampling decision in the received trace context.
	SampleRatio float64
}

// SetupTracing installs W3C trace context propagation and the exporter for the whole process. The returned function
// exports the remaining spans and must be called before the process ends. A trace file that cannot be opened is a
// BadInput error.
func SetupTracing(options TraceOptions, self inner.Member) (shutdown func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if options.Exporter == ExporterOff || options.Exporter == "" {
		return func(context.Context) error { return nil }, nil
	}
	writer, err := traceWriter(options)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(writer))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this as a bug", "create span exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "redwing-"+self.Role),
			attribute.String("service.instance.id", self.VM+"/"+self.Incarnation),
			attribute.String("failure_domain", self.FailureDomain),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// traceWriter returns the writer of the span exporter. A trace file that cannot be opened is a BadInput error.
func traceWriter(options TraceOptions) (io.Writer, error) {
	if options.Exporter == ExporterStdout {
		return os.Stdout, nil
	}
	file, err := os.OpenFile(options.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errkind.Wrap(err, errkind.BadInput, "check trace.path in the settings", "open trace file")
}
