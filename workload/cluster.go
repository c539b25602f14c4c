package workload

import (
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/resource"
)

// Queue is a queue to which callers submit jobs.
type Queue struct {
	Name string
	// Host and PathPrefix are the host name and the start of the path of the requests that belong to the queue.
	Host       string
	PathPrefix string
	// Service is the service of the workers that run the queue's tasks.
	Service string
	// Public queues need no key.
	Public bool
	// Priority 0 is the highest; its jobs may preempt those of other priorities.
	Priority int
	// MaxFailedRuns is the number of failed runs of one unit after which its job fails; long-running tasks have no limit.
	MaxFailedRuns int
	// SlackFactor times the duration of the job's critical path, plus Target, is the time within which callers want the job
	// to be done.
	SlackFactor float64
	Target      time.Duration
}

// QueuePolicy holds the settings of a queue that its jobs depend on. The jobs keep the last ones if the queue leaves the
// configuration. Version is the version of the configuration from which they are; 0 if it is not known.
type QueuePolicy struct {
	Service       string
	Priority      int
	MaxFailedRuns int
	Version       int64
	// SlackFactor and Target are those of the queue; both are 0 in records of versions that did not store them.
	SlackFactor float64
	Target      time.Duration
}

// Policy returns the queue's policy as of the given version of the configuration.
func (q *Queue) Policy(version int64) QueuePolicy {
	return QueuePolicy{
		Service: q.Service, Priority: q.Priority, MaxFailedRuns: q.MaxFailedRuns, Version: version,
		SlackFactor: q.SlackFactor, Target: q.Target,
	}
}

// SameTerms reports whether the policies are equal apart from their versions.
func (p QueuePolicy) SameTerms(o QueuePolicy) bool {
	o.Version = p.Version
	return p == o
}

// Account is a client account.
type Account struct {
	Name string
	// GuaranteedAccelerators is the number of accelerators that the account's jobs of priority 0 can use at any time.
	GuaranteedAccelerators int
}

// RequestLimits are the limits on a caller's HTTP request. A limit of 0 is not set.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. A higher Version is newer.
type Config struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	// KeyAccounts maps each API key to the name of its account.
	KeyAccounts map[string]string
	Limits      RequestLimits

	// queueByName and queuesByHost are built by Index; the hosts are in lower case.
	queueByName  map[string]*Queue
	queuesByHost map[string][]*Queue
}

// Index builds the lookup tables. It must be called once, before the configuration is used or shared.
func (c *Config) Index() {
	c.queueByName = make(map[string]*Queue, len(c.Queues))
	c.queuesByHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.queueByName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.queuesByHost[host] = append(c.queuesByHost[host], q)
	}
}

// Queue returns the queue of that name; nil if there is none.
func (c *Config) Queue(name string) *Queue { return c.queueByName[name] }

// Match returns the queue of the host, in any case of letters, with the longest path prefix that matches path; nil if there
// is none.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for _, q := range c.queuesByHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// WorkerInfo describes a worker, as registered by the worker itself.
type WorkerInfo struct {
	ID string
	// Address is the host:port for requests to the worker.
	Address string
	// Service is the kind of the worker: tasks run only on workers of their queue's service.
	Service string
	// FailureDomain is the failure domain of the worker's VM.
	FailureDomain string
	// Rack is empty if the worker names none.
	Rack     string
	Labels   []string
	Capacity resource.Resources
	// Draining workers finish their runs, get no new ones and then leave.
	Draining bool
	// RemainingLife is the least time until a draining worker leaves; 0 if unknown.
	RemainingLife time.Duration
	// ColdRemaining is how much longer the worker is slow after its start; 0 if it is warm.
	ColdRemaining time.Duration
	// Incarnation is the start time of the worker's process in Unix milliseconds.
	Incarnation int64
	// Sequence is the number of the entry among those of the incarnation; 0 if unknown.
	Sequence int64
}

// Precedes reports whether the entry was written before o, by the same process or an earlier one. Processes are not compared if the
// start of one is unknown.
func (w *WorkerInfo) Precedes(o *WorkerInfo) bool {
	if w.Incarnation != o.Incarnation {
		return w.Incarnation != 0 && w.Incarnation < o.Incarnation
	}
	return w.Sequence != 0 && w.Sequence < o.Sequence
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

// EndReason is the way in which a run ended.
type EndReason string

// The reasons for the end of a run.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped means that the worker received a stop command for the run.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the lease of the worker's runs expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberEnded means that another member of the gang ended before the gang was done.
	EndGangMemberEnded EndReason = "broken"
	// EndGangNotStarted means that the other members of the gang did not start in time.
	EndGangNotStarted EndReason = "alone"
)

// RunRef identifies one run of a task. Run is the number of the run, which rises with each run of the task.
type RunRef struct {
	Task TaskID
	Run  int64
}

// RunningRun is a run that a worker lists as running.
type RunningRun struct {
	RunRef
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress of the run, 0 to 100.
	Percent int
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	RunRef
	// Sequence is the number of the end among those of one incarnation, starting at 1.
	Sequence int64
	Reason   EndReason
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
}

// Listing is a worker's report of its running runs and of the ends that were not acknowledged before, in order of their
// sequence numbers.
type Listing struct {
	// Incarnation is the start time of the worker's process in Unix milliseconds.
	Incarnation int64
	// ClockMS is the worker's monotonic clock in milliseconds.
	ClockMS int64
	Running []RunningRun
	Ended   []EndedRun
	// MoreEnds is true if further ends may follow that the worker lists only once these are acknowledged. A run that is missing may
	// have ended then.
	MoreEnds bool
}
