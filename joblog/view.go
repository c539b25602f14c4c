// Package joblog keeps jobs in the store and every VM's view of them.
//
// A job has up to three records, each under a key of its own, so that a repeated append overwrites itself. The submission
// and the cancellation are in a part of the intake topic, which any VM writes before it answers the caller; the parts
// share the load, since a part executes one append at a time and a slow store makes each take long. The state is in the
// states topic, which only the fenced holder of the schedule writes, so that callers' appends do not hold it up.
package joblog

import (
	"hash/fnv"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// Prefixes of the keys.
const (
	keySubmission = "s/"
	keyCancel     = "c/"
	keyState      = "j/"
)

// IntakeParts is how many parts the intake has.
const IntakeParts = 4

// IntakeOf returns the stream of a job's submission and cancellation.
func IntakeOf(id workload.JobID) store.Stream {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return store.Stream{Topic: store.TopicIntake, Part: int(hash.Sum32() % IntakeParts)}
}

var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// SubmissionRecord returns the record of a submission.
func SubmissionRecord(job *workload.Job) (store.Record, error) {
	value, err := encoding.Marshal(job)
	return store.Record{Key: keySubmission + string(job.ID), Value: value}, err
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id workload.JobID) store.Record {
	return store.Record{Key: keyCancel + string(id), Value: []byte{1}}
}

// StateRecord returns the record of a job's state.
func StateRecord(id workload.JobID, state []byte) store.Record {
	return store.Record{Key: keyState + string(id), Value: state}
}

// DropIntake returns the records that remove a job from the intake.
func DropIntake(id workload.JobID) []store.Record {
	return []store.Record{{Key: keyCancel + string(id)}, {Key: keySubmission + string(id)}}
}

// DropState returns the record that removes a job's state.
func DropState(id workload.JobID) store.Record { return store.Record{Key: keyState + string(id)} }

// Entry is what a VM knows of a job.
type Entry struct {
	// Job is nil while only other records of the job were read.
	Job *workload.Job
	// Phase includes the effect of a cancellation that the holder of the schedule has not acted on yet.
	Phase workload.Phase
	// Cancelled reports that the job is to be stopped, or was.
	Cancelled bool
	// State is the encoded state; nil for a job that was never started.
	State []byte
}

type entry struct {
	job   *workload.Job
	phase workload.Phase
	state []byte
	// cancelAsked reports that a caller has cancelled the job; its end may have been stored before.
	cancelAsked bool
}

func (e *entry) cancelled() bool {
	return e.phase == workload.PhaseCancelled || e.cancelAsked && !e.phase.Final()
}

func (e *entry) export() Entry {
	out := Entry{Job: e.job, Phase: e.phase, Cancelled: e.cancelled(), State: e.state}
	if out.Cancelled {
		out.Phase = workload.PhaseCancelled
	}
	return out
}

// View is the fold of all records of jobs. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	entries map[workload.JobID]*entry
	// waiting counts the accepted jobs of each queue of which nothing was started.
	waiting map[string]int
	// unreadable counts records that could not be read.
	unreadable int
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[workload.JobID]*entry{}, waiting: map[string]int{}}
}

// Apply folds one record and returns the id of the job that it belongs to; empty if it cannot be read.
func (v *View) Apply(r store.Record) workload.JobID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(r.Key) <= len(keySubmission) {
		v.unreadable++
		return ""
	}
	prefix, id := r.Key[:len(keySubmission)], workload.JobID(r.Key[len(keySubmission):])
	e := v.entries[id]
	if e == nil {
		if len(r.Value) == 0 {
			return id
		}
		e = &entry{}
		v.entries[id] = e
	}
	v.count(e, -1)
	if !v.fold(e, id, prefix, r) {
		v.unreadable++
	}
	if v.entries[id] != nil {
		v.count(e, 1)
	}
	return id
}

func (v *View) fold(e *entry, id workload.JobID, prefix string, r store.Record) bool {
	switch prefix {
	case keySubmission:
		if len(r.Value) == 0 {
			delete(v.entries, id)
			return true
		}
		return e.foldSubmission(id, r)
	case keyCancel:
		e.cancelAsked = e.cancelAsked || len(r.Value) > 0
		return true
	case keyState:
		return len(r.Value) == 0 || e.foldState(r)
	}
	return false
}

func (e *entry) foldSubmission(id workload.JobID, r store.Record) bool {
	if e.job != nil {
		return true
	}
	job := &workload.Job{}
	if err := cbor.Unmarshal(r.Value, job); err != nil || job.ID != id || job.Validate() != nil {
		return false
	}
	e.job = job
	return true
}

func (e *entry) foldState(r store.Record) bool {
	phase, err := workload.DecodePhase(r.Value)
	if err != nil {
		return false
	}
	if e.phase.Final() {
		return true
	}
	e.phase = phase
	e.state = r.Value
	return true
}

// count adds the job to the number of its queue's waiting jobs.
func (v *View) count(e *entry, sign int) {
	if e.job != nil && e.phase == workload.PhaseQueued && !e.cancelled() {
		v.waiting[e.job.Queue] += sign
	}
}

// Get returns what is known of a job.
func (v *View) Get(id workload.JobID) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil || e.job == nil {
		return Entry{}, false
	}
	return e.export(), true
}

// Waiting returns how many accepted jobs of the queue have nothing started.
func (v *View) Waiting(queue string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.waiting[queue]
}

// Each calls f for every job with a submission.
func (v *View) Each(f func(Entry)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.entries {
		if e.job != nil {
			f(e.export())
		}
	}
}

// Unreadable returns how many records could not be read.
func (v *View) Unreadable() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unreadable
}
