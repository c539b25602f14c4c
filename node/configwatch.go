package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// configLongPollWait is how long a read of the configuration waits for new records. Each complete read confirms the
	// configuration as of its start.
	configLongPollWait = 500 * time.Millisecond
	// configRetryInterval is the pause after a failed read, or while there is no configuration yet.
	configRetryInterval = 100 * time.Millisecond
)

// configWatch follows the configuration in the store.
type configWatch struct {
	log     store.Log
	decoder Decoder
	logger  zerolog.Logger
	// onChange is called with each new version.
	onChange func(*workload.Config)
	// evacuations gets the same reads.
	evacuations *evacuationWatch
	// wait is how long a read waits for new records.
	wait time.Duration

	mu     sync.Mutex
	config *workload.Config
	// confirmedAt is the start of the read that last confirmed the configuration, on the boot clock.
	confirmedAt time.Duration

	// cursor, dependency and loaded are used only by the goroutine of run. loaded is true after a read that has loaded the newest
	// records.
	cursor     store.Cursor
	dependency telemetry.Dependency
	loaded     bool
}

// current returns the newest configuration, nil before the first one, and the time since it was last confirmed as the
// newest. That time has no meaning before the first confirmation.
func (w *configWatch) current() (*workload.Config, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config, boottime.Now() - w.confirmedAt
}

// run reads the configuration until ctx ends.
func (w *configWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.read(ctx)
		w.dependency.Observe(w.logger, "store", err)
		if err != nil {
			boottime.Sleep(ctx, configRetryInterval)
			continue
		}
		if config, _ := w.current(); config == nil {
			boottime.Sleep(ctx, configRetryInterval)
		}
	}
}

// read reads the records since the last read and applies them. The read after a load does not wait: it confirms the evacuations. They
// are folded first, since onChange may wait for a leader with a full event queue.
func (w *configWatch) read(ctx context.Context) error {
	wait := w.wait
	if w.loaded {
		wait = 0
	}
	update, err := w.cursor.Read(ctx, w.log, wait)
	if err != nil {
		return err
	}
	w.loaded = update.Loaded
	if w.evacuations.fold(update) {
		w.cursor = store.Cursor{Stream: store.Config, NewestOnly: true}
	}
	if update.Expired {
		w.logger.Warn().Msg("configuration records expired before they were read; the newest were loaded instead")
	}
	for _, r := range update.Records {
		w.apply(r)
	}
	if update.Complete {
		w.confirm(update.StartedAt)
	}
	return nil
}

// confirm records that the current configuration is the newest as of startedAt on the boot clock.
func (w *configWatch) confirm(startedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = max(w.confirmedAt, startedAt)
}

// decode decodes a configuration. A panic of the decoder is reported as an error.
func (w *configWatch) decode(r store.Record) (config *workload.Config, err error) {
	returned := telemetry.Contain(w.logger, "decode a configuration", func() { config, err = w.decoder.Config(r.Value) })
	if !returned {
		return nil, errkind.New(errkind.Internal, "publish the configuration without its last change", "the decoder of the configuration has panicked")
	}
	return config, err
}

// apply decodes a record and makes its configuration current. It ignores versions that are not newer than the current one.
func (w *configWatch) apply(r store.Record) {
	if !w.decoder.IsConfig(r) || len(r.Value) == 0 {
		return
	}
	config, err := w.decode(r)
	if err != nil {
		w.logger.Error().Err(err).Int64("offset", r.Offset).Msg("configuration cannot be decoded; the previous version stays in force")
		return
	}
	w.mu.Lock()
	old := w.config
	if old != nil && config.Version <= old.Version {
		w.mu.Unlock()
		return
	}
	w.config = config
	w.mu.Unlock()
	w.logger.Info().Int64("version", config.Version).Int64("offset", r.Offset).Int("queues", len(config.Queues)).
		Int("keys", len(config.KeyAccounts)).Msg("configuration in force")
	w.onChange(config)
}
