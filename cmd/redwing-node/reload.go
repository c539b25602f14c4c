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

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 5 * time.Second

// reloader follows changes of the settings file. Only the address of the store can change in a running process; other
// changes are reported and take effect at the next start.
type reloader struct {
	path     string
	settings *vmsettings.Settings
	store    *platform.Store
	out      zerolog.Logger
}

// takeHangups makes the process take the signal for a reload instead of ending on it.
func takeHangups() <-chan os.Signal {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	return hangup
}

// run reloads at each signal and looks for changes in between until ctx ends.
func (r *reloader) run(ctx context.Context, hangup <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.out.Info().Msg("reload asked for by signal")
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

func (r *reloader) reload() {
	settings, err := platform.LoadSettings(r.path)
	if err != nil {
		r.out.Error().Err(err).Msg("settings not reloaded; the last ones stay in force")
		return
	}
	if *settings == *r.settings {
		return
	}
	if settings.StoreAddress != r.settings.StoreAddress {
		r.store.SetAddress(settings.StoreAddress)
	}
	r.out.Info().Str("store", settings.StoreAddress).
		Bool("restart_needed", settings.CallerListen != r.settings.CallerListen || settings.ReadyListen != r.settings.ReadyListen).
		Msg("settings reloaded")
	r.settings = settings
}
