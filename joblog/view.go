// Package joblog stores the records of jobs and keeps a view of all jobs on every VM.
//
// Beside those of jobs, the states topic has a record for each queue whose policy has changed since its jobs were accepted, and one with
// the forecast of the holder of the schedule.
//
// A job has up to three records, each under its own key, so that a repeated append overwrites the first one with the same
// value. The submission and the cancellation are in one part of the intake topic, to which any VM appends before it responds
// to the caller. A cancellation of a job that is not known is a record of its own there, which applies to a submission that is
// stored later. The parts share the load: a part executes one append at a time, and each takes long on a slow store. The
// state is in the states topic, to which only the fenced holder of the schedule appends, so that callers' appends do not
// delay it.
//
//   - view.go: the records and the view
//   - earlycancel.go: cancellations of jobs whose submissions were not read
//   - cancel.go: what to do about a cancellation
//   - policy.go: policies of queues and the forecast
//   - follower.go, reader.go: reading the records into the view
//   - writer.go: appends of submissions and cancellations
package joblog

import (
	"bytes"
	"hash/fnv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/overload"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// Prefixes of record keys. All have the same length.
const (
	keySubmission = "s/"
	keyCancel     = "c/"
	keyState      = "j/"
	// keyEarlyCancel is the prefix of a cancellation that may precede the submission of its job; a hash of its owner follows the id.
	keyEarlyCancel = "e/"
	// keyPolicy is the prefix of the record of a queue, which names no job.
	keyPolicy = "q/"
	// keyForecast is the prefix of the record with the forecast, which names no job.
	keyForecast = "l/"
)

// IntakeParts is the number of parts of the intake topic.
const IntakeParts = 4

// IntakeStream returns the stream that holds a job's submission and cancellation.
func IntakeStream(id workload.JobID) store.Stream {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return store.Stream{Topic: store.TopicIntake, Part: int(hash.Sum32() % IntakeParts)}
}

// encoding is deterministic CBOR with times that keep nanoseconds.
var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// SubmissionRecord returns the record of a submission, or the error of its encoding.
func SubmissionRecord(job *workload.Job) (store.Record, error) {
	value, err := encoding.Marshal(job)
	return store.Record{Key: keySubmission + string(job.ID), Value: value}, err
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id workload.JobID) store.Record {
	return store.Record{Key: keyCancel + string(id), Value: []byte{1}}
}

// StateRecord returns the record of a job's encoded state.
func StateRecord(id workload.JobID, state []byte) store.Record {
	return store.Record{Key: keyState + string(id), Value: state}
}

// IntakeTombstones returns the records that delete a job's cancellation and submission.
func IntakeTombstones(id workload.JobID) []store.Record {
	return []store.Record{{Key: keyCancel + string(id)}, {Key: keySubmission + string(id)}}
}

// StateTombstone returns the record that deletes a job's state.
func StateTombstone(id workload.JobID) store.Record { return store.Record{Key: keyState + string(id)} }

// Entry is the view of one job.
type Entry struct {
	// Job is nil until the job's submission is read. Of a job that has ended it holds only what workload.Job.Ended returns.
	Job *workload.Job
	// Phase includes the effect of a cancellation that the holder of the schedule has not processed yet.
	Phase workload.Phase
	// Cancelled is true if the job was cancelled, even if its runs have not stopped yet.
	Cancelled bool
	// State is the encoded state; nil for a job that was never started.
	State []byte
}

// entry is the fold of the records of one job.
type entry struct {
	job   *workload.Job
	phase workload.Phase
	state []byte
	// cancelRequested is true if a caller has cancelled the job; it has no effect on a job whose phase is final. cancelRead is true once
	// the record of a cancellation, not just of an early one, was read.
	cancelRequested, cancelRead bool
}

// cancelled reports whether the job was cancelled before it ended otherwise.
func (e *entry) cancelled() bool {
	return e.phase == workload.PhaseCancelled || e.cancelRequested && !e.phase.Final()
}

// export returns the entry as seen by users of the view.
func (e *entry) export() Entry {
	out := Entry{Job: e.job, Phase: e.phase, Cancelled: e.cancelled(), State: e.state}
	if out.Cancelled {
		out.Phase = workload.PhaseCancelled
	}
	return out
}

// View is the fold of the records of all jobs. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	entries map[workload.JobID]*entry
	// waiting maps the name of each queue to its number of accepted jobs that are queued and not cancelled.
	waiting      map[string]int
	earlyCancels earlyCancels
	// newVoids are those that takeVoids has not returned yet.
	newVoids []void
	// voided holds the jobs that an early cancellation has cancelled, and possibly some that were settled since; see Voided.
	voided map[workload.JobID]bool
	// charge is that of all jobs, reserved maps the jobs that this VM accepts and whose submissions were not read yet to theirs, and
	// reservedCharge is the sum of these; see Charge.
	charge         int
	reserved       map[workload.JobID]int
	reservedCharge int
	// policies maps the names of queues to their stored policies.
	policies map[string]workload.QueuePolicy
	// forecast is the newest forecast, nil if none was read, and forecastReadAt when it was read, on the boot clock.
	forecast       *overload.Forecast
	forecastReadAt time.Duration
	// now returns the time on the boot clock.
	now func() time.Duration
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[workload.JobID]*entry{}, waiting: map[string]int{}, policies: map[string]workload.QueuePolicy{},
		reserved: map[workload.JobID]int{}, voided: map[workload.JobID]bool{}, now: boottime.Now}
}

// Apply folds one record, of which it is not known when it was stored, and returns the id of its job; empty if the key names none. It returns a
// BadInput error for a record that cannot be decoded, which has no effect.
func (v *View) Apply(r store.Record) (workload.JobID, error) { return v.apply(r, unknownTime) }

// apply is Apply of a record that was stored after the given boot-clock time.
func (v *View) apply(r store.Record, storedAfter time.Duration) (workload.JobID, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(r.Key) <= len(keySubmission) {
		return "", unreadable("the key names no job")
	}
	prefix, id := r.Key[:len(keySubmission)], workload.JobID(r.Key[len(keySubmission):])
	switch prefix {
	case keyPolicy:
		return "", v.foldPolicy(string(id), r.Value)
	case keyForecast:
		return "", v.foldForecast(string(id), r.Value)
	case keyEarlyCancel:
		return v.foldEarlyCancel(string(id), r, storedAfter)
	case keySubmission, keyCancel, keyState:
	default:
		return "", unreadable("the key is of an unknown kind")
	}
	e := v.entries[id]
	if e == nil {
		if len(r.Value) == 0 {
			return id, nil
		}
		e = &entry{}
		v.entries[id] = e
	}
	v.adjustCounts(e, -1)
	err := v.fold(e, id, prefix, r)
	if v.entries[id] != nil {
		v.adjustCounts(e, 1)
	}
	return id, err
}

// RemoveMissing removes the jobs and early cancellations whose records are in the stream, as far as keys lacks them: they were deleted. It
// returns their number. keys are those of all records of the stream.
func (v *View) RemoveMissing(stream store.Stream, keys map[string]bool) (removed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, e := range v.entries {
		if e.missing(id, stream, keys) {
			v.adjustCounts(e, -1)
			delete(v.entries, id)
			removed++
		}
	}
	for id := range v.reserved {
		if stream == IntakeStream(id) && !keys[keySubmission+string(id)] {
			v.release(id)
		}
	}
	return removed + v.earlyCancels.removeMissing(stream, keys)
}

// missing reports whether the records of the job that are in the stream were deleted, as keys lacks them. A job whose submission was not read
// exists for its cancellation, in the intake, or its state.
func (e *entry) missing(id workload.JobID, stream store.Stream, keys map[string]bool) bool {
	switch {
	case stream == IntakeStream(id):
		return e.job != nil && !keys[keySubmission+string(id)] || e.job == nil && e.cancelRequested && !keys[keyCancel+string(id)]
	case stream == store.States:
		return e.job == nil && !e.cancelRequested && !keys[keyState+string(id)]
	}
	return false
}

// unreadable returns the error for a record that cannot be decoded.
func unreadable(reason string) error {
	return errkind.New(errkind.BadInput, "check which program wrote the record", "unreadable job record: %s", reason)
}

// fold applies a record to the entry of its job, or returns an error if it cannot be decoded. mu must be held.
func (v *View) fold(e *entry, id workload.JobID, prefix string, r store.Record) error {
	switch prefix {
	case keySubmission:
		if len(r.Value) == 0 {
			delete(v.entries, id)
			return nil
		}
		v.release(id)
		if err := e.foldSubmission(id, r); err != nil {
			return err
		}
		v.cancelIfEarlyCancelled(e, r.Offset)
		return nil
	case keyCancel:
		e.cancelRead = e.cancelRead || len(r.Value) > 0
		e.cancelRequested = e.cancelRequested || e.cancelRead
		return nil
	}
	if len(r.Value) == 0 {
		return nil
	}
	return e.foldState(r)
}

// foldSubmission applies a submission unless the job has one already, or returns an error if it cannot be decoded.
func (e *entry) foldSubmission(id workload.JobID, r store.Record) error {
	if e.job != nil {
		return nil
	}
	job := &workload.Job{}
	if err := cbor.Unmarshal(r.Value, job); err != nil {
		return unreadable(err.Error())
	}
	if job.ID != id {
		return unreadable("the submission is that of another job")
	}
	if err := job.Validate(); err != nil {
		return unreadable(err.Error())
	}
	e.job = job
	e.shrinkEnded()
	return nil
}

// shrinkEnded drops what nobody needs of a job that has ended: its records are kept for minutes after that.
func (e *entry) shrinkEnded() {
	if e.job != nil && e.phase.Final() {
		e.job = e.job.Ended()
	}
}

// foldState applies a state unless the job has ended, or returns an error if it cannot be decoded.
func (e *entry) foldState(r store.Record) error {
	phase, err := workload.DecodePhase(r.Value)
	if err != nil {
		return unreadable(err.Error())
	}
	if e.phase.Final() {
		return nil
	}
	e.phase = phase
	// The value is part of the response that it was read with, of which nothing else may be kept.
	e.state = bytes.Clone(r.Value)
	e.shrinkEnded()
	return nil
}

// adjustCounts adds sign times the job to the counts of waiting jobs and of what the jobs take. mu must be held.
func (v *View) adjustCounts(e *entry, sign int) {
	switch {
	case e.job == nil:
		return
	case e.phase.Final():
		v.charge += sign * overload.EndedCharge
		return
	}
	v.charge += sign * overload.Charge(e.job)
	if e.phase == workload.PhaseQueued && !e.cancelled() {
		v.waiting[e.job.Queue] += sign
	}
}

// Charge returns the charge of all jobs that are kept and of those that this VM is about to accept; see overload.MaxCharge. A job that is
// cancelled counts in full until the holder of the schedule has stored its end.
func (v *View) Charge() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.charge + v.reservedCharge
}

// Reserve counts a job that this VM is about to accept until its submission is read or Release is called. It returns the charge of all other
// jobs, and that of the jobs that this VM has reserved.
func (v *View) Reserve(id workload.JobID, charge int) (others, reserved int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.release(id)
	others = v.charge + v.reservedCharge
	if e := v.entries[id]; e == nil || e.job == nil {
		v.reserved[id] = charge
		v.reservedCharge += charge
	}
	return others, v.reservedCharge
}

// Release ends the reservation of a job that is not accepted, or whose outcome is not known. It has no effect on other jobs.
func (v *View) Release(id workload.JobID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.release(id)
}

// release is Release. mu must be held.
func (v *View) release(id workload.JobID) {
	v.reservedCharge -= v.reserved[id]
	delete(v.reserved, id)
}

// Get returns the view of a job; false if its submission was not read.
func (v *View) Get(id workload.JobID) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil || e.job == nil {
		return Entry{}, false
	}
	return e.export(), true
}

// Waiting returns how many accepted jobs of the queue are not known to have begun and are not cancelled.
func (v *View) Waiting(queue string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.waiting[queue]
}

// Each calls f for every job whose submission was read. f must not call methods of the view.
func (v *View) Each(f func(Entry)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.entries {
		if e.job != nil {
			f(e.export())
		}
	}
}
