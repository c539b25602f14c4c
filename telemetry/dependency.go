package telemetry

import "github.com/rs/zerolog"

// Dependency logs when requests to a service that the process depends on start to fail and when they succeed again. It
// is not safe for concurrent use.
type Dependency struct {
	// failing reports whether the last request failed.
	failing bool
}

// Observe records the outcome of a request to the dependency with the given name and logs a change.
func (d *Dependency) Observe(logger zerolog.Logger, name string, err error) {
	if (err != nil) == d.failing {
		return
	}
	d.failing = err != nil
	if d.failing {
		logger.Warn().Err(err).Str("dependency", name).Msg("dependency lost")
		return
	}
	logger.Info().Str("dependency", name).Msg("dependency regained")
}
