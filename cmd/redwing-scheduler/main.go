// Command redwing-scheduler is the scheduler daemon of an entry VM, which runs a gateway and a scheduler. It plans the
// jobs of its failure domain. One scheduler of each failure domain is active, the others are on standby.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/redwingthread/redwingthread/daemon"
	"github.com/redwingthread/redwingthread/settings"
)

func main() {
	path := flag.String("settings", "scheduler.toml", "settings `file`")
	flag.Parse()
	os.Exit(daemon.Main(func(ctx context.Context) error {
		s, err := settings.LoadScheduler(*path)
		if err != nil {
			return err
		}
		return daemon.StartScheduler(ctx, s, os.Stderr)
	}))
}
