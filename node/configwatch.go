package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

const (
	// configPoll is how long a read of the configuration waits at the store. Each completed read confirms the
	// configuration as of its start.
	configPoll = 500 * time.Millisecond
	// configRetry is the pause after a failed read.
	configRetry = 100 * time.Millisecond
)

// configWatch follows the configuration.
type configWatch struct {
	log     store.Log
	decoder Decoder
	out     zerolog.Logger
	// changed is called with each new version.
	changed func(*workload.Config)

	mu     sync.Mutex
	config *workload.Config
	// confirmedAt is the start of the read that last confirmed the configuration, on the boot clock.
	confirmedAt time.Duration

	loaded  bool
	next    int64
	failing bool
}

// current returns the newest configuration and its age; nil before the first one.
func (w *configWatch) current() (*workload.Config, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config, boottime.Now() - w.confirmedAt
}

func (w *configWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.read(ctx)
		w.noteDependency(err)
		if err != nil {
			boottime.Sleep(ctx, configRetry)
			continue
		}
		if config, _ := w.current(); config == nil {
			boottime.Sleep(ctx, configRetry)
		}
	}
}

func (w *configWatch) read(ctx context.Context) error {
	if !w.loaded {
		return w.load(ctx)
	}
	startedAt := boottime.Now()
	batch, err := w.log.Read(ctx, store.Config, w.next, configPoll)
	if errors.Is(err, store.ErrExpired) {
		w.out.Warn().Int64("offset", w.next).Msg("configuration records were dropped before they were read; reading the newest")
		return w.load(ctx)
	}
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		w.apply(r)
	}
	w.next += int64(len(batch.Records))
	if w.next >= batch.End {
		w.confirm(startedAt)
	}
	return nil
}

// load reads the newest records.
func (w *configWatch) load(ctx context.Context) error {
	startedAt := boottime.Now()
	records, next, err := store.ReadNewest(ctx, w.log, store.Config)
	if err != nil {
		return err
	}
	for _, r := range records {
		w.apply(r)
	}
	w.next = next
	w.loaded = true
	w.confirm(startedAt)
	return nil
}

func (w *configWatch) confirm(startedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt = max(w.confirmedAt, startedAt)
}

// apply takes a record of the operators. An older version than the current one is ignored.
func (w *configWatch) apply(r store.Record) {
	if !w.decoder.IsConfig(r) || len(r.Value) == 0 {
		return
	}
	config, err := w.decoder.Config(r.Value)
	if err != nil {
		w.out.Error().Err(err).Int64("offset", r.Offset).Msg("configuration cannot be read; the last one stays in force")
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
	w.out.Info().Int64("version", config.Version).Int64("offset", r.Offset).Int("queues", len(config.Queues)).
		Int("keys", len(config.KeyAccounts)).Msg("configuration in force")
	w.changed(config)
}

func (w *configWatch) noteDependency(err error) {
	if (err != nil) == w.failing {
		return
	}
	w.failing = err != nil
	if w.failing {
		w.out.Warn().Err(err).Str("dependency", "store").Stringer("stream", store.Config).Msg("dependency lost")
		return
	}
	w.out.Info().Str("dependency", "store").Stringer("stream", store.Config).Msg("dependency regained")
}
