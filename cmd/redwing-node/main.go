// Command redwing-node is the process of one VM: it serves callers and takes its turn in holding the schedule.
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
	// logBuffer bounds the log lines that wait to be written; more are dropped and counted.
	logBuffer = 4096
	// memoryShare is the part of the VM's memory that the garbage collector keeps within.
	memoryShare = 0.7
	mebibyte    = 1 << 20
)

func main() {
	// A signal that arrives while the process starts must not end it.
	hangup := takeHangups()
	check := flag.Bool("check", false, "read and check the settings, then exit")
	level := flag.String("log", "info", "least level of log lines: debug, info, warn or error")
	flag.Parse()
	os.Exit(daemon.Main(func(ctx context.Context) error { return run(ctx, hangup, *check, *level) }))
}

func run(ctx context.Context, hangup <-chan os.Signal, check bool, level string) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil || check {
		return err
	}
	out, closeLog, err := newLog(settings, level)
	if err != nil {
		return err
	}
	defer closeLog()
	defer telemetry.LogViolations(out)()
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * mebibyte))
	out.Info().Str("address", settings.CallerListen).Str("store", settings.StoreAddress).Msg("process started")
	log := platform.NewStore(settings.StoreAddress)
	go (&reloader{path: path, settings: settings, store: log, out: out}).run(ctx, hangup)
	n := node.New(node.Options{
		Settings: settings,
		Log:      log,
		Workers:  platform.Workers{},
		Decoder: node.Decoder{
			IsConfig:     platform.IsConfiguration,
			Config:       platform.DecodeConfiguration,
			WorkerRecord: platform.DecodeWorker,
		},
		Out: out,
	})
	err = n.Run(ctx, &platform.Ingress{Front: n, Out: out}, platform.ReadyPath)
	out.Info().AnErr("error", err).Msg("process stopped")
	return err
}

// newLog returns a logger that never blocks: lines that standard output does not take in time are dropped and counted.
func newLog(settings *vmsettings.Settings, level string) (zerolog.Logger, func(), error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), nil, errkind.Wrap(err, errkind.BadInput, "use debug, info, warn or error", "log level %q", level)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	writer := diode.NewWriter(os.Stdout, logBuffer, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", missed)
	})
	log := zerolog.New(io.Writer(writer)).Level(parsed).With().Timestamp().
		Str("failure_domain", settings.FailureDomain).Str("vm", settings.VM).Logger()
	return log, func() { _ = writer.Close() }, nil
}
