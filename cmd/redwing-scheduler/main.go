// Command redwing-scheduler plans the jobs of a failure domain; of those in one failure domain one is active.
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
