package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/platform"
	"github.com/redwingthread/redwingthread/vmsettings"
)

// reloadInterval is the interval at which the settings file is read again, because it may change without a signal.
const reloadInterval = 5 * time.Second

// reloader applies changes of the settings file. Only the address of the store can change in a running process. Other
// changes take effect at the next start; for the listen addresses, the reloader logs restart_needed.
type reloader struct {
	path     string
	settings *vmsettings.Settings
	store    *platform.Store
	logger   zerolog.Logger
}

// subscribeSIGHUP returns a channel that receives SIGHUP, the signal to reload the settings. From then on SIGHUP no
// longer ends the process.
func subscribeSIGHUP() <-chan os.Signal {
	reloadSignal := make(chan os.Signal, 1)
	signal.Notify(reloadSignal, syscall.SIGHUP)
	return reloadSignal
}

// run reloads the settings at each SIGHUP and every reloadInterval, until ctx ends.
func (r *reloader) run(ctx context.Context, reloadSignal <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignal:
			r.logger.Info().Msg("settings reload requested by SIGHUP")
			r.reload(ctx)
		case <-ticker.C:
			r.reload(ctx)
		}
	}
}

// reload reads the settings file and applies its changes. If the file cannot be read or is not valid, the previous settings
// stay in force.
func (r *reloader) reload(ctx context.Context) {
	settings, err := platform.AwaitSettings(ctx, r.path)
	if err != nil {
		r.logger.Error().Err(err).Msg("settings reload failed; the previous settings stay in force")
		return
	}
	if *settings == *r.settings {
		return
	}
	if settings.StoreAddress != r.settings.StoreAddress {
		r.store.SetAddress(settings.StoreAddress)
	}
	r.logger.Info().Str("store", settings.StoreAddress).
		Bool("restart_needed", settings.CallerListen != r.settings.CallerListen || settings.ReadyListen != r.settings.ReadyListen).
		Msg("settings reloaded")
	r.settings = settings
}
