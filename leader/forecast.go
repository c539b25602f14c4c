package leader

import (
	"time"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
)

const (
	// forecastInterval is the time between two forecasts. One that has no job states to be stored with waits for twice as long: its append
	// would delay the states of the next plan.
	forecastInterval = time.Second
	// forecastLogInterval is the time between two log lines with the forecast.
	forecastLogInterval = 5 * time.Second
)

// forecasts tracks the forecasts that the leader has made.
type forecasts struct {
	// stored is the last one that was passed to the journal; nil for none.
	stored           *overload.Forecast
	madeAt, loggedAt time.Duration
}

// forecastRecords returns the record with the forecast if it is due. withStates reports whether other records are stored in any case.
func (l *Leader) forecastRecords(withStates bool) []store.Record {
	now := boottime.Now()
	age := now - l.forecasts.madeAt
	if age < forecastInterval || !withStates && age < 2*forecastInterval {
		return nil
	}
	l.forecasts.madeAt = now
	forecast := l.core.Forecast()
	l.logForecast(now, forecast)
	if !forecast.ShouldStore(l.forecasts.stored) {
		return nil
	}
	l.forecasts.stored = forecast
	record, err := joblog.ForecastRecord(forecast)
	if err != nil {
		l.logger.Error().Err(err).Msg("forecast cannot be stored; all submissions are accepted")
		return nil
	}
	return []store.Record{record}
}

// logForecast logs the forecast while work waits.
func (l *Leader) logForecast(now time.Duration, forecast *overload.Forecast) {
	if len(forecast.Services) == 0 || now-l.forecasts.loggedAt < forecastLogInterval {
		return
	}
	l.forecasts.loggedAt = now
	for _, s := range forecast.Services {
		for _, level := range s.Levels {
			l.logger.Info().Str("service", s.Name).Int("priority", level.Priority).Dur("objective_from", level.Within).
				Dur("delay", level.Accelerators).Dur("delay_without_accelerators", level.Cores).
				Float64("accelerators", s.Accelerators).Float64("cores", s.Cores).Int("unfinished_tasks", forecast.Tasks).Msg("forecast")
		}
	}
}
