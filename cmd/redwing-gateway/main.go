// Command redwing-gateway is the gateway daemon of an entry VM, which runs a gateway and a scheduler. It serves the
// caller API and the operator API.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/redwingthread/redwingthread/daemon"
	"github.com/redwingthread/redwingthread/settings"
)

func main() {
	path := flag.String("settings", "gateway.toml", "settings `file`")
	flag.Parse()
	os.Exit(daemon.Main(func(ctx context.Context) error {
		s, err := settings.LoadGateway(*path)
		if err != nil {
			return err
		}
		return daemon.StartGateway(ctx, s, os.Stderr)
	}))
}
