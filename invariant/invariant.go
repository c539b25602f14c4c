// Package invariant holds the assertions of redwingthread.
//
// An assertion states one promise of the system at the place where the program relies on it. In production a violation
// is counted, the daemons install a Recorder that logs it, and the program goes on; a test installs one that fails the run.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// ID names a promise. The identifiers are those of section 1.2 of docs/design.md.
type ID string

// The promises.
const (
	GuaranteeReclaimable  ID = "P1"
	GangWhole             ID = "P2"
	AnswerWhole           ID = "P3"
	NotRunIsTrue          ID = "P4"
	AtMostOnce            ID = "P5"
	LeavingGetsNoWork     ID = "P6"
	ShutdownCutsNothing   ID = "P7"
	ConfigurationMonotone ID = "P8"
)

// Violation is one failed assertion.
type Violation struct {
	ID      ID
	Message string
}

// String returns the identifier and the message in one line.
func (v Violation) String() string { return string(v.ID) + ": " + v.Message }

// Recorder receives violations. It is called on the goroutine that found the violation and must not block.
type Recorder func(Violation)

var (
	recorder atomic.Pointer[Recorder]
	total    = metrics.GetOrRegisterCounter("invariant.violations", metrics.DefaultRegistry)
)

// SetRecorder installs r for the whole process and returns a function that restores the previous one. A nil r removes
// the recorder; violations are still counted.
func SetRecorder(r Recorder) (restore func()) {
	var next *Recorder
	if r != nil {
		next = &r
	}
	previous := recorder.Swap(next)
	return func() { recorder.Store(previous) }
}

// Check records a violation of id if ok is false and returns ok. The message is formatted only on a violation.
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

// Log collects violations in order. It is safe for concurrent use; its Record method is a Recorder.
type Log struct {
	mu sync.Mutex
	// violations is guarded by mu.
	violations []Violation
}

// Record appends v.
func (l *Log) Record(v Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, v)
}

// Violations returns a copy of the collected violations in order.
func (l *Log) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}
