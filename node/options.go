// Package node runs one VM's process: it accepts callers' requests, follows the configuration and the jobs, takes part
// in the group that holds the schedule, and leads while it holds it.
//
//   - frontend.go: what callers may do, and the answers
//   - configwatch.go: the configuration and its age
//   - membership.go: who holds the schedule
//   - node.go: start and shutdown
package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/leader"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/vmsettings"
	"github.com/redwingthread/redwingthread/workload"
)

// Decoder reads what operators and workers keep in the store.
type Decoder struct {
	IsConfig     func(store.Record) bool
	Config       func([]byte) (*workload.Config, error)
	WorkerRecord func(id string, text []byte) (workload.WorkerInfo, error)
}

// Options of a Node.
type Options struct {
	Settings *vmsettings.Settings
	Log      store.Log
	Workers  leader.Workers
	Decoder  Decoder
	Out      zerolog.Logger
}

func (o *Options) dispatchParams() dispatch.Params {
	return dispatch.Params{StopTimeout: o.Settings.Bounds.StopTimeout}
}

const (
	// keyMargin is taken off the revocation bound for the time between a check and its effect.
	keyMargin = 500 * time.Millisecond
	// readyConfigAge is the age of the configuration above which the store counts as out of reach: the balancer is told to
	// choose another VM, and callers are sent there.
	readyConfigAge = 1900 * time.Millisecond
)
