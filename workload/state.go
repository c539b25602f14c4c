package workload

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Phase is where a job stands.
type Phase byte

// The phases of a job. The last three are final.
const (
	PhaseQueued Phase = iota
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the phase's name in log lines.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", byte(p))
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= PhaseCompleted }

// UnitStatus is where a unit stands.
type UnitStatus byte

// The statuses of a unit.
const (
	// UnitWaiting units have no run.
	UnitWaiting UnitStatus = iota
	// UnitActive units have a run that was decided and whose end is not known.
	UnitActive
	// UnitDone units have ended with success.
	UnitDone
)

// UnitState is the durable state of a unit, the tasks that start and end together: one task, or all tasks of a gang.
type UnitState struct {
	Status UnitStatus
	// Run is the highest run number given out.
	Run int64
	// Settled is the highest run whose end is counted. A worker lists an end again until it is told that the end was
	// noted, so the same end can be seen twice.
	Settled int64
	// Failures counts the runs that ended as failed.
	Failures int
	// Workers is where the active run was sent, one name a member.
	Workers []string
	// Checkpoint is the newest saved progress that is known; empty for none.
	Checkpoint string
}

// StepState is the durable state of one step of one repetition. Units is nil while nothing was started.
type StepState struct {
	Done  bool
	Units []UnitState
}

// JobState is the durable state of a job. Runs has an entry for each repetition up to the last one that was touched.
type JobState struct {
	Phase Phase
	Runs  [][]StepState
}

// stateFormat is the first byte of an encoded state; a reader refuses others.
const stateFormat = 1

// errCorrupt marks an encoded state that cannot be read.
var errCorrupt = errors.New("workload: the encoded job state is corrupt")

// Encode returns the durable form of the state. Its second byte is the phase, so that readers that need no more do not
// decode the rest.
func (s *JobState) Encode() []byte {
	e := encoder{workers: map[string]uint64{}}
	e.uint(uint64(len(s.Runs)))
	for _, steps := range s.Runs {
		e.uint(uint64(len(steps)))
		for i := range steps {
			e.step(&steps[i])
		}
	}
	head := []byte{stateFormat, byte(s.Phase)}
	head = binary.AppendUvarint(head, uint64(len(e.names)))
	for _, name := range e.names {
		head = appendString(head, name)
	}
	return append(head, e.body...)
}

// encoder collects the body and the table of worker names.
type encoder struct {
	body    []byte
	names   []string
	workers map[string]uint64
}

func (e *encoder) uint(v uint64) { e.body = binary.AppendUvarint(e.body, v) }

func (e *encoder) step(s *StepState) {
	if s.Done {
		e.uint(1)
		return
	}
	e.uint(0)
	e.uint(uint64(len(s.Units)))
	for i := range s.Units {
		e.unit(&s.Units[i])
	}
}

func (e *encoder) unit(u *UnitState) {
	e.body = append(e.body, byte(u.Status))
	e.uint(uint64(u.Run))
	e.uint(uint64(u.Settled))
	e.uint(uint64(u.Failures))
	e.uint(uint64(len(u.Workers)))
	for _, name := range u.Workers {
		e.uint(e.worker(name))
	}
	e.body = appendString(e.body, u.Checkpoint)
}

// worker returns the place of the name in the table, counted from 1; 0 stands for no worker.
func (e *encoder) worker(name string) uint64 {
	if name == "" {
		return 0
	}
	if place, ok := e.workers[name]; ok {
		return place
	}
	e.names = append(e.names, name)
	place := uint64(len(e.names))
	e.workers[name] = place
	return place
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// DecodePhase returns the phase of an encoded state.
func DecodePhase(b []byte) (Phase, error) {
	if len(b) < 2 || b[0] != stateFormat || b[1] > byte(PhaseCancelled) {
		return 0, errCorrupt
	}
	return Phase(b[1]), nil
}

// DecodeState reads the durable form of a state.
func DecodeState(b []byte) (*JobState, error) {
	phase, err := DecodePhase(b)
	if err != nil {
		return nil, err
	}
	d := decoder{rest: b[2:]}
	for range d.count() {
		d.names = append(d.names, d.string())
	}
	s := &JobState{Phase: phase}
	for range d.count() {
		s.Runs = append(s.Runs, d.steps())
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errCorrupt
	}
	return s, nil
}

type decoder struct {
	rest   []byte
	names  []string
	failed bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// count reads a length. Each element has at least one byte, so that a larger one is corrupt.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.rest)) {
		d.failed = true
		return 0
	}
	return int(n)
}

func (d *decoder) string() string {
	n := d.count()
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}

func (d *decoder) steps() []StepState {
	steps := make([]StepState, d.count())
	for i := range steps {
		if d.uint() == 1 {
			steps[i].Done = true
			continue
		}
		steps[i].Units = d.units()
	}
	return steps
}

func (d *decoder) units() []UnitState {
	n := d.count()
	if n == 0 {
		return nil
	}
	units := make([]UnitState, n)
	for i := range units {
		units[i] = d.unit()
	}
	return units
}

func (d *decoder) unit() UnitState {
	u := UnitState{
		Status:   UnitStatus(d.uint()),
		Run:      int64(d.uint()),
		Settled:  int64(d.uint()),
		Failures: int(d.uint()),
	}
	if u.Status > UnitDone {
		d.failed = true
	}
	for range d.count() {
		u.Workers = append(u.Workers, d.worker())
	}
	u.Checkpoint = d.string()
	return u
}

func (d *decoder) worker() string {
	place := d.uint()
	if place == 0 {
		return ""
	}
	if place > uint64(len(d.names)) {
		d.failed = true
		return ""
	}
	return d.names[place-1]
}
