package joblog

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// forecastName follows keyForecast in the key of the forecast.
const forecastName = "forecast"

// maxForecastBytes bounds the size of a forecast. It is in the same append as states, which the store would reject as a whole.
const maxForecastBytes = 64 << 10

// maxKeyBytes is the length of the longest key that the store accepts.
const maxKeyBytes = 255

// PolicyRecord returns the record of a queue's policy, or the one that deletes it if policy is nil, or the error of its encoding.
func PolicyRecord(queue string, policy *workload.QueuePolicy) (store.Record, error) {
	record := store.Record{Key: keyPolicy + queue}
	if len(record.Key) > maxKeyBytes {
		return record, errkind.New(errkind.TooLarge, "give the queue a shorter name", "the name of the queue has %d bytes", len(queue))
	}
	if policy == nil {
		return record, nil
	}
	value, err := encoding.Marshal(policy)
	record.Value = value
	return record, err
}

// ForecastRecord returns the record with the forecast, or a TooLarge error if the forecast has too many services.
func ForecastRecord(forecast *overload.Forecast) (store.Record, error) {
	record := store.Record{Key: keyForecast + forecastName}
	value, err := encoding.Marshal(forecast)
	if err != nil {
		return record, err
	}
	if len(value) > maxForecastBytes {
		return record, errkind.New(errkind.TooLarge, "use fewer services",
			"the forecast has %d bytes, at most %d can be stored", len(value), maxForecastBytes)
	}
	record.Value = value
	return record, nil
}

// foldPolicy applies the record of a queue's policy, or returns an error if it cannot be decoded. mu must be held.
func (v *View) foldPolicy(queue string, value []byte) error {
	if len(value) == 0 {
		delete(v.policies, queue)
		return nil
	}
	var policy workload.QueuePolicy
	if err := cbor.Unmarshal(value, &policy); err != nil {
		return unreadable(err.Error())
	}
	v.policies[queue] = policy
	return nil
}

// Policies returns the stored policies of queues by their names.
func (v *View) Policies() map[string]workload.QueuePolicy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.policies)
}

// foldForecast applies the record with the forecast, or returns an error if it cannot be decoded. mu must be held.
func (v *View) foldForecast(name string, value []byte) error {
	if name != forecastName || len(value) == 0 {
		return nil
	}
	forecast := &overload.Forecast{}
	if err := cbor.Unmarshal(value, forecast); err != nil {
		return unreadable(err.Error())
	}
	if v.forecast == nil || !v.forecast.MadeAt.Equal(forecast.MadeAt) {
		// A forecast that is read again does not become younger.
		v.forecastReadAt = v.now()
	}
	v.forecast = forecast
	return nil
}

// Forecast returns the newest forecast; nil if it is older than overload.MaxForecastAge, by the clock of its author or since it was read.
// It must not be changed.
func (v *View) Forecast() *overload.Forecast {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.forecast
	if f == nil || time.Since(f.MadeAt) > overload.MaxForecastAge || v.now()-v.forecastReadAt > overload.MaxForecastAge {
		return nil
	}
	return f
}
