package telemetry

import "github.com/rs/zerolog"

// Dependency logs when requests to a service that the process depends on start to fail and when they succeed again. It
// is not safe for concurrent use.
type Dependency struct {
	// failing reports whether the last request failed.
	failing bool
}

// Note records the outcome of a request to the dependency with the given name and logs a change.
func (d *Dependency) Note(out zerolog.Logger, name string, err error) {
	if (err != nil) == d.failing {
		return
	}
	d.failing = err != nil
	if d.failing {
		out.Warn().Err(err).Str("dependency", name).Msg("dependency lost")
		return
	}
	out.Info().Str("dependency", name).Msg("dependency regained")
}
