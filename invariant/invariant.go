// Package invariant checks the invariants of redwingthread at run time.
//
// An assertion checks one invariant of the system at a place where the program relies on it. In production a violation
// is counted and logged by a Recorder that the daemons install, and the program continues; tests install a Recorder
// that fails the test.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// ID identifies an invariant. The identifiers are those of section 1.2 of docs/design.md.
type ID string

// The invariants.
const (
	// GuaranteeReclaimable means that a client account's guaranteed shape can always be reclaimed from work that borrows it.
	GuaranteeReclaimable ID = "P1"
	// GangAllOrNothing means that either all members of a gang run or none.
	GangAllOrNothing ID = "P2"
	// ResponseComplete means that a caller gets the complete response to its own request.
	ResponseComplete ID = "P3"
	// NotRunIsTrue means that a request that is reported as not run has not run.
	NotRunIsTrue ID = "P4"
	// AtMostOnce means that a non-idempotent request runs at most once.
	AtMostOnce ID = "P5"
	// LeavingGetsNoWork means that a leaving endpoint gets no new work after a bounded time.
	LeavingGetsNoWork ID = "P6"
	// ShutdownDropsNothing means that a graceful shutdown interrupts no accepted request.
	ShutdownDropsNothing ID = "P7"
	// ConfigurationMonotone means that a configuration version in force is never replaced by an earlier one.
	ConfigurationMonotone ID = "P8"
)

// Violation describes one failed assertion.
type Violation struct {
	ID      ID
	Message string
}

// String returns the identifier and the message in one line.
func (v Violation) String() string { return string(v.ID) + ": " + v.Message }

// Recorder receives violations. It is called on the goroutine that detected the violation and must not block.
type Recorder func(Violation)

var (
	recorder atomic.Pointer[Recorder]
	total    = metrics.GetOrRegisterCounter("invariant.violations", metrics.DefaultRegistry)
)

// SetRecorder installs r for the whole process and returns a function that restores the previous recorder. If r is nil,
// violations are counted but not recorded.
func SetRecorder(r Recorder) (restore func()) {
	var next *Recorder
	if r != nil {
		next = &r
	}
	previous := recorder.Swap(next)
	return func() { recorder.Store(previous) }
}

// Check counts and records a violation of id if ok is false, and returns ok. The message is formatted only if there is a
// violation and a recorder.
func Check(ok bool, id ID, format string, args ...any) bool {
	if ok {
		return true
	}
	total.Inc(1)
	metrics.GetOrRegisterCounter("invariant.violations."+string(id), metrics.DefaultRegistry).Inc(1)
	if r := recorder.Load(); r != nil {
		(*r)(Violation{ID: id, Message: fmt.Sprintf(format, args...)})
	}
	return false
}

// Collector collects violations in order. Its method Record can be installed as the Recorder. It is safe for concurrent
// use.
type Collector struct {
	mu sync.Mutex
	// violations is guarded by mu.
	violations []Violation
}

// Record appends v to the collected violations.
func (c *Collector) Record(v Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, v)
}

// Violations returns a copy of the collected violations in order.
func (c *Collector) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
