// Command redwing-standin runs stand-ins for the services of the platform, the workers and the endpoints, for tests and
// local runs.
//
// Usage: redwing-standin -settings FILE
//
// It prints a line that begins with "ready" once all services listen, and exits on SIGINT or SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/standin"
)

// closeTimeout is the time that requests in progress have to finish at shutdown.
const closeTimeout = time.Second

func main() {
	path := flag.String("settings", "", "TOML `file` that names the stand-ins and their addresses")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx, *path); err != nil {
		fmt.Fprintln(os.Stderr, "redwing-standin:", err)
		os.Exit(errkind.KindOf(err).ExitCode())
	}
}

// run loads the settings file at path and runs the stand-ins until ctx ends.
func run(ctx context.Context, path string) error {
	if path == "" {
		return errkind.New(errkind.BadInput, "name a settings file with -settings", "no settings file is named")
	}
	settings, err := standin.LoadSettings(path)
	if err != nil {
		return err
	}
	services, err := standin.Start(settings)
	if err != nil {
		return err
	}
	fmt.Printf("ready: %d services, control at %s\n", services.Len(), services.Address("control"))
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	services.Close(closeCtx)
	return nil
}
