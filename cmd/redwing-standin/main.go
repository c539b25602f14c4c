// Command redwing-standin runs stand-ins for the platform's services and for endpoints, for trials and tests.
//
// Usage: redwing-standin -settings FILE
//
// It prints "ready" when all services listen and ends on SIGINT or SIGTERM.
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

// closeTimeout bounds the time that calls under way have at the end.
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

// run serves until ctx ends.
func run(ctx context.Context, path string) error {
	if path == "" {
		return errkind.New(errkind.BadInput, "name a settings file with -settings", "no settings file")
	}
	settings, err := standin.LoadSettings(path)
	if err != nil {
		return err
	}
	set, err := standin.Start(settings)
	if err != nil {
		return err
	}
	fmt.Printf("ready: %d services, control at %s\n", set.Len(), set.Address("control"))
	<-ctx.Done()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	set.Close(closing)
	return nil
}
