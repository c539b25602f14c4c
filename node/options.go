// Package node runs the process of one VM: it serves callers' requests, follows the configuration and the jobs, takes part
// in the group that decides which VM holds the schedule, and runs a leader while this VM holds it.
//
//   - frontend.go: authorisation and callers' requests
//   - cancel.go: cancellations, also of jobs whose submissions may be in flight
//   - admission.go: refusal of submissions under overload
//   - configwatch.go: the configuration and its age
//   - evacuation.go: the evacuated failure domains and their age
//   - membership.go: which VM holds the schedule
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

// Decoder decodes the records that operators and workers keep in the store.
type Decoder struct {
	// IsConfig reports whether a record of the configuration stream holds a configuration.
	IsConfig func(store.Record) bool
	// Config decodes the value of a configuration record.
	Config func([]byte) (*workload.Config, error)
	// EvacuatedDomain returns the failure domain whose evacuation a record of the configuration stream requests or, without a value,
	// cancels; ok is false for other records.
	EvacuatedDomain func(store.Record) (domain string, ok bool)
	// WorkerRecord decodes the value of a worker's entry.
	WorkerRecord func(id string, text []byte) (workload.WorkerInfo, error)
}

// Options configures a Node.
type Options struct {
	Settings *vmsettings.Settings
	Log      store.Log
	// Workers connects the leader to workers.
	Workers leader.Workers
	Decoder Decoder
	Logger  zerolog.Logger
}

func (o *Options) dispatchOptions() dispatch.Options {
	return dispatch.Options{
		StopTimeout:    o.Settings.Bounds.StopTimeout,
		MaxActiveTasks: o.Settings.Store.MaxRecordBytes / workload.MaxTaskStateBytes,
		ColdOverage:    o.Settings.Bounds.ColdOverage,
		ColdSlack:      o.Settings.Bounds.ColdSlack,
	}
}

const (
	// revocationMargin is subtracted from the bound on the revocation of keys, for the time between the check of a key and
	// the end of its effect.
	revocationMargin = 500 * time.Millisecond
	// readyConfigAge is the age of the configuration above which the store counts as unreachable: the VM reports itself as
	// not ready to the balancer and tells callers to use another VM.
	readyConfigAge = 1900 * time.Millisecond
)
