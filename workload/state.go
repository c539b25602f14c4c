package workload

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Phase is the phase of a job's life cycle.
type Phase byte

// The phases of a job. The last three are final.
const (
	// PhaseQueued jobs have no run that a worker is known to have begun.
	PhaseQueued Phase = iota
	// PhaseRunning jobs have, or have had, such a run.
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the phase's name as used in log lines; phase(N) for an unknown phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase(%d)", byte(p))
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= PhaseCompleted }

// UnitStatus is the status of a unit.
type UnitStatus byte

// The statuses of a unit.
const (
	// UnitWaiting units have no run.
	UnitWaiting UnitStatus = iota
	// UnitActive units have a run whose start was decided and whose end is not known.
	UnitActive
	// UnitDone units have ended successfully.
	UnitDone
)

// CountedIncarnation stands for a process that has ended and whose end is counted in UnitState.Crashes.
const CountedIncarnation = -1

// UnitState is the durable state of a unit, the tasks that start and end together: one task, or all tasks of a gang.
type UnitState struct {
	Status UnitStatus
	// Run is the highest run number that was assigned.
	Run int64
	// LastCountedRun is the highest run whose failure is counted in Failures. A worker lists an end again until it is
	// acknowledged, so the same end can be seen twice.
	LastCountedRun int64
	// Failures is the number of runs that failed.
	Failures int
	// Workers holds the ids of the workers that the active run was sent to, one per member; empty for a member that has
	// ended.
	Workers []string
	// Incarnations holds the incarnations of the workers' processes that the starts were meant for, in the order of Workers; 0 if not
	// known, CountedIncarnation if the process has ended and is counted in Crashes. It may be nil.
	Incarnations []int64
	// Checkpoint is the latest known checkpoint; empty for none.
	Checkpoint string
	// Crashes holds the members during whose runs the process of their worker ended, or may have, in order of member.
	Crashes []MemberCrashes
}

// MemberCrashes is the number of crashes during the runs of one member; the member of a single task is 0. Certain is the number of
// those at which the run was certainly under way.
type MemberCrashes struct{ Member, Count, Certain int }

// AddCrash counts a crash during a run of the member and returns the new counts.
func (u *UnitState) AddCrash(member int, certain bool) MemberCrashes {
	at, found := slices.BinarySearchFunc(u.Crashes, member, func(c MemberCrashes, member int) int { return cmp.Compare(c.Member, member) })
	// The slice may be shared with an exported state.
	u.Crashes = slices.Clone(u.Crashes)
	if !found {
		u.Crashes = slices.Insert(u.Crashes, at, MemberCrashes{Member: member})
	}
	u.Crashes[at].Count++
	if certain {
		u.Crashes[at].Certain++
	}
	return u.Crashes[at]
}

// ClearCrashes discards the crashes of the member and reports whether there were any.
func (u *UnitState) ClearCrashes(member int) bool {
	kept := slices.DeleteFunc(slices.Clone(u.Crashes), func(c MemberCrashes) bool { return c.Member == member })
	if len(kept) == len(u.Crashes) {
		return false
	}
	u.Crashes = kept
	return true
}

// Untouched reports whether no run of the unit was ever started.
func (u *UnitState) Untouched() bool {
	return u.Status == UnitWaiting && u.Run == 0 && u.LastCountedRun == 0 && u.Failures == 0 && u.Checkpoint == "" && len(u.Crashes) == 0
}

// StepState is the durable state of one step of one repetition. Units is nil if the step is done or nothing of it was
// started.
type StepState struct {
	Done  bool
	Units []UnitState
}

// JobState is the durable state of a job. Repetitions has an entry for each repetition that has been due, with one
// StepState per step.
type JobState struct {
	Phase Phase
	// Begun is true if a worker has shown that a run of the job has begun. Running jobs without it were stored by an earlier version, in
	// which a job runs from the decision to start it.
	Begun       bool
	Repetitions [][]StepState
}

// The first byte of an encoded state; states with another first byte are rejected. States that name neither processes nor crashes keep
// the older format.
const (
	stateFormat        = 1
	stateFormatCrashes = 2
)

// errCorrupt reports an encoded state that cannot be decoded.
var errCorrupt = errors.New("workload: the encoded job state is corrupt")

// Encode returns the encoded state. Its second byte is the phase, so that a reader that needs only the phase can skip the
// rest.
func (s *JobState) Encode() []byte {
	enc := encoder{format: s.format(), processNumbers: map[process]uint64{}}
	enc.uint(uint64(len(s.Repetitions)))
	for _, steps := range s.Repetitions {
		enc.uint(uint64(len(steps)))
		for i := range steps {
			enc.step(&steps[i])
		}
	}
	if s.Begun {
		enc.processes = append(enc.processes, begunMark)
	}
	header := []byte{enc.format, byte(s.Phase)}
	header = binary.AppendUvarint(header, uint64(len(enc.processes)))
	for _, p := range enc.processes {
		header = appendString(header, p.worker)
		if enc.format >= stateFormatCrashes {
			header = binary.AppendUvarint(header, uint64(p.incarnation-CountedIncarnation))
		}
	}
	return append(header, enc.body...)
}

// format returns the format in which the state is encoded.
func (s *JobState) format() byte {
	for _, steps := range s.Repetitions {
		for _, step := range steps {
			if slices.ContainsFunc(step.Units, func(u UnitState) bool { return len(u.Crashes)+len(u.Incarnations) > 0 }) {
				return stateFormatCrashes
			}
		}
	}
	return stateFormat
}

// process is a process of a worker. incarnation is 0 if it is not known.
type process struct {
	worker      string
	incarnation int64
}

// begunMark is the last entry in the table of processes of a state with Begun. No unit refers to it, so that earlier versions skip it.
var begunMark = process{}

// encoder collects the body of an encoded state and the table of processes that the body refers to.
type encoder struct {
	format         byte
	body           []byte
	processes      []process
	processNumbers map[process]uint64
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
	e.uint(uint64(u.LastCountedRun))
	e.uint(uint64(u.Failures))
	e.uint(uint64(len(u.Workers)))
	for i, name := range u.Workers {
		p := process{worker: name}
		if i < len(u.Incarnations) {
			p.incarnation = u.Incarnations[i]
		}
		e.uint(e.process(p))
	}
	e.body = appendString(e.body, u.Checkpoint)
	if e.format < stateFormatCrashes {
		return
	}
	e.uint(uint64(len(u.Crashes)))
	for _, c := range u.Crashes {
		e.uint(uint64(c.Member))
		e.uint(uint64(c.Count))
		e.uint(uint64(c.Certain))
	}
}

// process returns the number of the process in the table, starting at 1; 0 stands for no worker. It adds a process that is missing.
func (e *encoder) process(p process) uint64 {
	if p.worker == "" {
		return 0
	}
	if number, ok := e.processNumbers[p]; ok {
		return number
	}
	e.processes = append(e.processes, p)
	number := uint64(len(e.processes))
	e.processNumbers[p] = number
	return number
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// DecodePhase returns the phase of an encoded state; errCorrupt if the header is invalid. It does not check the rest.
func DecodePhase(b []byte) (Phase, error) {
	if len(b) < 2 || b[0] != stateFormat && b[0] != stateFormatCrashes || b[1] > byte(PhaseCancelled) {
		return 0, errCorrupt
	}
	return Phase(b[1]), nil
}

// DecodeState decodes a state; it returns errCorrupt if the bytes are not a valid encoding.
func DecodeState(b []byte) (*JobState, error) {
	phase, err := DecodePhase(b)
	if err != nil {
		return nil, err
	}
	d := decoder{format: b[0], rest: b[2:]}
	for range d.count() {
		p := process{worker: d.string()}
		if d.format >= stateFormatCrashes {
			p.incarnation = int64(d.uint()) + CountedIncarnation
		}
		d.processes = append(d.processes, p)
	}
	s := &JobState{Phase: phase, Begun: len(d.processes) > 0 && d.processes[len(d.processes)-1] == begunMark}
	for range d.count() {
		s.Repetitions = append(s.Repetitions, d.steps())
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errCorrupt
	}
	return s, nil
}

// decoder decodes the encoded state in rest.
type decoder struct {
	format    byte
	rest      []byte
	processes []process
	// failed is set if the encoding is corrupt. All further values are then without meaning.
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

// count reads a number of elements. Each element takes at least one byte, so a count beyond the remaining bytes is
// corrupt.
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
		Status:         UnitStatus(d.uint()),
		Run:            int64(d.uint()),
		LastCountedRun: int64(d.uint()),
		Failures:       int(d.uint()),
	}
	if u.Status > UnitDone {
		d.failed = true
	}
	incarnationsKnown := false
	for range d.count() {
		p := d.process()
		u.Workers = append(u.Workers, p.worker)
		u.Incarnations = append(u.Incarnations, p.incarnation)
		incarnationsKnown = incarnationsKnown || p.incarnation != 0
	}
	if !incarnationsKnown {
		u.Incarnations = nil
	}
	u.Checkpoint = d.string()
	if d.format < stateFormatCrashes {
		return u
	}
	for range d.count() {
		u.Crashes = append(u.Crashes, MemberCrashes{Member: int(d.uint()), Count: int(d.uint()), Certain: int(d.uint())})
	}
	return u
}

func (d *decoder) process() process {
	number := d.uint()
	if number == 0 {
		return process{}
	}
	if number > uint64(len(d.processes)) {
		d.failed = true
		return process{}
	}
	return d.processes[number-1]
}
