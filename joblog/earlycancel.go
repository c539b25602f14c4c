package joblog

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// Caller is who asks for a job.
type Caller struct {
	// Queue is the queue to which the URL belongs.
	Queue string
	// Account is the client account of the key; empty on a public queue.
	Account string
	// Origin is that of the request; its values are 0 in records of versions that did not store it.
	Origin workload.Origin
}

// MayAccess reports whether the caller may see and cancel the job. A call on a public queue needs no key, whenever its jobs were
// submitted, and a job that was submitted while its queue was public belongs to no account.
func (c Caller) MayAccess(job *workload.Job) bool {
	return c.sameQueue(job) && (c.Account == "" || job.Account == "" || c.Account == job.Account)
}

// HasSubmitted reports whether the job was submitted by the same URL with the same key. That key may belong to another account now.
func (c Caller) HasSubmitted(job *workload.Job) bool {
	return c.sameQueue(job) && c.Origin.SameKey(job.Origin)
}

// sameQueue reports whether the job is in the queue, or was submitted by the same URL while that belonged to another queue.
func (c Caller) sameQueue(job *workload.Job) bool {
	return c.Queue == job.Queue || c.Origin.SameURL(job.Origin)
}

// EarlyCancelRecord returns the record of a cancellation that is stored before the submission of its job was read: the submission may
// be in flight and be stored later. It cancels the job only if the caller may access it, or has submitted it. The callers of each queue and
// account have a key of their own, so that none replaces the cancellation of another. The error is that of the encoding.
func EarlyCancelRecord(id workload.JobID, c Caller) (store.Record, error) {
	value, err := encoding.Marshal(c)
	return store.Record{Key: earlyCancelKey(id, c.ownerHash()), Value: value}, err
}

// ownerHash returns the hash of queue and account in the key of an early cancellation.
func (c Caller) ownerHash() uint64 { return xxhash.Sum64String(c.Queue + "\x00" + c.Account) }

func earlyCancelKey(id workload.JobID, ownerHash uint64) string {
	return keyEarlyCancel + string(id) + "/" + strconv.FormatUint(ownerHash, 16)
}

// parseEarlyCancelKey returns the parts of the key of an early cancellation without its prefix.
func parseEarlyCancelKey(name string) (id workload.JobID, ownerHash uint64, err error) {
	at := strings.LastIndexByte(name, '/')
	if at <= 0 {
		return "", 0, unreadable("the key of the early cancellation names no job")
	}
	ownerHash, err = strconv.ParseUint(name[at+1:], 16, 64)
	if err != nil {
		return "", 0, unreadable("the key of the early cancellation names no owner")
	}
	return workload.JobID(name[:at]), ownerHash, nil
}

// unknownTime stands for a time of which nothing is known but that it is in the past.
const unknownTime = time.Duration(math.MinInt64 / 2)

// earlyCancel is an early cancellation. Many have the same queue and account, which are shared.
type earlyCancel struct {
	queue, account unique.Handle[string]
	origin         workload.Origin
	// readAt is the boot-clock time at which the record was read. It was stored after storedAfter, which may be unknownTime.
	readAt, storedAfter time.Duration
}

func newEarlyCancel(c Caller, readAt, storedAfter time.Duration) earlyCancel {
	return earlyCancel{
		queue: unique.Make(c.Queue), account: unique.Make(c.Account), origin: c.Origin, readAt: readAt, storedAfter: storedAfter,
	}
}

// caller returns who has cancelled the job.
func (e *earlyCancel) caller() Caller {
	return Caller{Queue: e.queue.Value(), Account: e.account.Value(), Origin: e.origin}
}

// cancels reports whether the cancellation holds for the submission.
func (e *earlyCancel) cancels(job *workload.Job) bool {
	caller := e.caller()
	return caller.MayAccess(job) || caller.HasSubmitted(job)
}

// earlyCancels holds the early cancellations. The zero value is ready for use.
type earlyCancels struct {
	// byJob maps each job to its cancellations, of which each is for another queue or account.
	byJob map[workload.JobID][]earlyCancel
	// counts maps each account to the number of its cancellations.
	counts map[string]int
}

func (c *earlyCancels) set(id workload.JobID, cancel earlyCancel) {
	if c.byJob == nil {
		c.byJob, c.counts = map[workload.JobID][]earlyCancel{}, map[string]int{}
	}
	c.remove(id, cancel.caller().ownerHash())
	c.byJob[id] = append(c.byJob[id], cancel)
	c.counts[cancel.account.Value()]++
}

func (c *earlyCancels) remove(id workload.JobID, ownerHash uint64) {
	ofJob := c.byJob[id]
	n := slices.IndexFunc(ofJob, func(e earlyCancel) bool { return e.caller().ownerHash() == ownerHash })
	if n < 0 {
		return
	}
	account := ofJob[n].account.Value()
	c.counts[account]--
	if c.counts[account] == 0 {
		delete(c.counts, account)
	}
	c.byJob[id] = slices.Delete(ofJob, n, n+1)
	if len(c.byJob[id]) == 0 {
		delete(c.byJob, id)
	}
}

// removeMissing removes the cancellations whose records are in the stream, as far as keys lacks them, and returns their number.
func (c *earlyCancels) removeMissing(stream store.Stream, keys map[string]bool) (removed int) {
	for id, ofJob := range c.byJob {
		if IntakeStream(id) != stream {
			continue
		}
		for _, e := range slices.Clone(ofJob) {
			hash := e.caller().ownerHash()
			if !keys[earlyCancelKey(id, hash)] {
				c.remove(id, hash)
				removed++
			}
		}
	}
	return removed
}

// find returns the early cancellation of the job by the caller.
func (c *earlyCancels) find(id workload.JobID, caller Caller) (earlyCancel, bool) {
	for _, e := range c.byJob[id] {
		if e.caller() == caller {
			return e, true
		}
	}
	return earlyCancel{}, false
}

// cancel reports whether one of the cancellations holds for the submission.
func (c *earlyCancels) cancel(job *workload.Job) bool {
	return slices.ContainsFunc(c.byJob[job.ID], func(e earlyCancel) bool { return e.cancels(job) })
}

// foldEarlyCancel applies the record of an early cancellation, or the one that deletes it, and returns the id of the job. name is the key
// without its prefix; the record was stored after storedAfter. The error is BadInput if the record cannot be decoded. mu must be held.
func (v *View) foldEarlyCancel(name string, r store.Record, storedAfter time.Duration) (workload.JobID, error) {
	id, ownerHash, err := parseEarlyCancelKey(name)
	if err != nil {
		return "", err
	}
	if len(r.Value) == 0 {
		v.earlyCancels.remove(id, ownerHash)
		return id, nil
	}
	var caller Caller
	if err := cbor.Unmarshal(r.Value, &caller); err != nil {
		return id, unreadable(err.Error())
	}
	if caller.ownerHash() != ownerHash {
		return id, unreadable("the early cancellation has the key of another queue or account")
	}
	v.earlyCancels.set(id, newEarlyCancel(caller, v.now(), storedAfter))
	if e := v.entries[id]; e != nil && e.job != nil {
		v.adjustCounts(e, -1)
		v.cancelIfEarlyCancelled(e, r.Offset)
		v.adjustCounts(e, 1)
	}
	return id, nil
}

// void is a submission that an early cancellation cancels, and the offset of the later one of their records.
type void struct {
	job            workload.JobID
	queue, account string
	offset         int64
}

// cancelIfEarlyCancelled cancels the job of the entry if that was cancelled before its submission was read. offset is that of the record
// that was read last. mu must be held.
func (v *View) cancelIfEarlyCancelled(e *entry, offset int64) {
	if !v.earlyCancels.cancel(e.job) {
		return
	}
	if !e.cancelled() && !e.phase.Final() {
		v.voided[e.job.ID] = true
		v.newVoids = append(v.newVoids, void{job: e.job.ID, queue: e.job.Queue, account: e.job.Account, offset: offset})
	}
	e.cancelRequested = true
}

// takeVoids returns the submissions that were cancelled by an early cancellation since the last call.
func (v *View) takeVoids() []void {
	v.mu.Lock()
	defer v.mu.Unlock()
	voids := v.newVoids
	v.newVoids = nil
	return voids
}

// Voided returns jobs, limit at most, that an early cancellation has cancelled and whose cancellation is stored in no other record.
func (v *View) Voided(limit int) []workload.JobID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []workload.JobID
	for id := range v.voided {
		if e := v.entries[id]; e == nil || e.job == nil || e.cancelRead || e.phase.Final() {
			delete(v.voided, id)
			continue
		}
		if ids = append(ids, id); len(ids) == limit {
			break
		}
	}
	return ids
}

// EarlyCancels returns the number of early cancellations of the account.
func (v *View) EarlyCancels(account string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.earlyCancels.counts[account]
}

// isUnsettled reports whether the early cancellation cancels the job, whose end is not stored yet. mu must be held.
func (v *View) isUnsettled(id workload.JobID, c *earlyCancel) bool {
	e := v.entries[id]
	return e != nil && e.job != nil && !e.phase.Final() && c.cancels(e.job)
}

// EarlyCancelTombstones returns the records that delete the early cancellations that were read before the given boot-clock time, by the
// streams that hold them. One that cancels a job stays until the end of that is stored: a later holder has only the record to tell.
func (v *View) EarlyCancelTombstones(before time.Duration) map[store.Stream][]store.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	tombstones := map[store.Stream][]store.Record{}
	for id, ofJob := range v.earlyCancels.byJob {
		for _, e := range ofJob {
			if e.readAt >= before || v.isUnsettled(id, &e) {
				continue
			}
			stream := IntakeStream(id)
			tombstones[stream] = append(tombstones[stream], store.Record{Key: earlyCancelKey(id, e.caller().ownerHash())})
		}
	}
	return tombstones
}
