package telemetry

import "github.com/rs/zerolog"

// Dependency logs when calls to something that the process depends on begin to fail and when they work again. It is not
// safe for concurrent use.
type Dependency struct {
	failing bool
}

// Note takes in the outcome of a call to the dependency of the given name.
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
