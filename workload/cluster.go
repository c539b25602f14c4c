package workload

import (
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// Queue is where callers hand in jobs.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Public queues need no key.
	Public bool
	// Priority 0 is the highest; it may take capacity from the others.
	Priority int
	// MaxAttempts is how many runs of one task may fail.
	MaxAttempts int
	// SlackFactor times the job's longest chain of work, plus Target, is the time in which callers want it done.
	SlackFactor float64
	Target      time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// GuaranteedAccelerators belong to the account's jobs of priority 0 at all times.
	GuaranteedAccelerators int
}

// RequestLimits bound a caller's request.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	// KeyAccounts maps each key to the name of its account.
	KeyAccounts map[string]string
	Limits      RequestLimits

	byName map[string]*Queue
	byHost map[string][]*Queue
}

// Index builds the lookup tables; it must be called once before the configuration is shared.
func (c *Config) Index() {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
}

// Queue returns the queue of that name, nil if there is none.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// Match returns the queue with the longest path prefix that path begins with on host, nil if there is none.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID      string
	Address string
	Service string
	// FailureDomain is where the worker stands.
	FailureDomain string
	Rack          string
	Labels        []string
	Capacity      resource.Resources
	// Draining workers finish what runs and leave.
	Draining bool
	// RemainingLife is the least time that a draining worker still has; 0 if it has not said.
	RemainingLife time.Duration
	// Incarnation is the start time of the worker's process in Unix milliseconds.
	Incarnation int64
}

// HasLabel reports whether the worker carries the label.
func (w *WorkerInfo) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndLapsed: the lease of the worker's runs expired.
	EndLapsed EndReason = "lapsed"
	// EndBroken: another member of the gang ended.
	EndBroken EndReason = "broken"
	// EndAlone: the other members of the gang did not arrive in time.
	EndAlone EndReason = "alone"
)

// RunRef names one run of a task.
type RunRef struct {
	Task TaskID
	Run  int64
}

// RunningRun is a run that a worker lists as present.
type RunningRun struct {
	RunRef
	Checkpoint string
	// Percent is the progress, 0 to 100.
	Percent int
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	RunRef
	// Sequence numbers the ends of one incarnation, from 1.
	Sequence   int64
	Reason     EndReason
	Checkpoint string
}

// Listing is a worker's own account of its runs.
type Listing struct {
	Incarnation int64
	// ClockMS is the worker's steady clock in milliseconds.
	ClockMS int64
	Running []RunningRun
	Ended   []EndedRun
}
