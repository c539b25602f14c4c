// Package telemetry sets up logs, metrics and traces for the daemons.
package telemetry

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/invariant"
)

// Names of log fields that all packages share.
const (
	FieldRequest       = "request"
	FieldJob           = "job"
	FieldAccount       = "account"
	FieldFailureDomain = "failure_domain"
	FieldTrace         = "trace"
)

// NewLogger returns a logger that writes JSON lines with the fields of self to w. level is a zerolog level name; an
// unknown one is a BadInput error.
func NewLogger(w io.Writer, level string, self inner.Member) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errkind.Wrap(err, errkind.BadInput, `use "debug", "info", "warn" or "error" as log.level`,
			"log level %q", level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().
		Str(FieldFailureDomain, self.FailureDomain).
		Str("vm", self.VM).
		Str("role", self.Role).
		Str("incarnation", self.Incarnation).
		Logger(), nil
}

// LogViolations logs every violated invariant as an error, for the whole process. The returned function restores the
// previous recorder.
func LogViolations(logger zerolog.Logger) (restore func()) {
	return invariant.SetRecorder(func(v invariant.Violation) {
		logger.Error().Str("invariant", string(v.ID)).Str("detail", v.Message).Msg("invariant violated")
	})
}
