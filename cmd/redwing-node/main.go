// Command redwing-node is the process that runs on each VM. It serves callers. One VM at a time holds the schedule, the
// right to schedule tasks; the process of that VM also schedules. The subcommand config-check checks a configuration before it is
// sent and starts nothing.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/redwingthread/redwingthread/daemon"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/node"
	"github.com/redwingthread/redwingthread/platform"
	"github.com/redwingthread/redwingthread/telemetry"
	"github.com/redwingthread/redwingthread/vmsettings"
)

const (
	// logBuffer is the number of log lines that can wait to be written. Further lines are dropped and counted.
	logBuffer = 4096
	// memoryShare is the fraction of the VM's memory that is set as the soft memory limit of the Go runtime.
	memoryShare = 0.7
	mebibyte    = 1 << 20
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == configCheckCommand {
		os.Exit(runConfigCheck(os.Args[2:]))
	}
	// Subscribe before anything else: a SIGHUP that arrives during the start must not end the process.
	reloadSignal := subscribeSIGHUP()
	check := flag.Bool("check", false, "read and check the settings, then exit")
	level := flag.String("log", "info", "minimum level of log lines: debug, info, warn or error")
	flag.Parse()
	os.Exit(daemon.Main(func(ctx context.Context) error { return run(ctx, reloadSignal, *check, *level) }))
}

// run loads the settings and runs the node until ctx ends. If check is set, it returns after it has checked the settings.
func run(ctx context.Context, reloadSignal <-chan os.Signal, check bool, level string) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	if check {
		_, err := platform.LoadSettings(path)
		return err
	}
	settings, err := platform.AwaitSettings(ctx, path)
	if err != nil {
		return err
	}
	logger, closeLog, err := newLogger(settings, level)
	if err != nil {
		return err
	}
	defer closeLog()
	defer telemetry.LogViolations(logger)()
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * mebibyte))
	logger.Info().Str("address", settings.CallerListen).Str("store", settings.StoreAddress).Msg("process started")
	storeClient := platform.NewStore(settings.StoreAddress)
	go (&reloader{path: path, settings: settings, store: storeClient, logger: logger}).run(ctx, reloadSignal)
	n := node.New(node.Options{
		Settings: settings,
		Log:      storeClient,
		Workers:  platform.Workers{},
		Decoder: node.Decoder{
			IsConfig:        platform.IsConfiguration,
			Config:          platform.DecodeConfiguration,
			EvacuatedDomain: platform.EvacuatedDomain,
			WorkerRecord:    platform.DecodeWorker,
		},
		Logger: logger,
	})
	err = n.Run(ctx, &platform.Ingress{Frontend: n, Logger: logger}, platform.ReadyPath)
	logger.Info().AnErr("error", err).Msg("process stopped")
	return err
}

// newLogger returns a logger to standard output that never blocks, and a function that closes it. Lines that cannot be
// written in time are dropped and counted.
func newLogger(settings *vmsettings.Settings, level string) (zerolog.Logger, func(), error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), nil, errkind.Wrap(err, errkind.BadInput, "use debug, info, warn or error", "unknown log level %q", level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	writer := diode.NewWriter(os.Stdout, logBuffer, 0, func(dropped int) {
		fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped)
	})
	logger := zerolog.New(io.Writer(writer)).Level(parsed).With().Timestamp().
		Str("failure_domain", settings.FailureDomain).Str("vm", settings.VM).Logger()
	return logger, func() { _ = writer.Close() }, nil
}
