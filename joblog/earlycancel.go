package joblog

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/boottime"
	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// Owner is whom a job belongs to. A job can be seen and cancelled only by callers with the same owner.
type Owner struct {
	Queue string
	// Account is the client account; empty on a public queue.
	Account string
}

// ownerOf returns the owner of the job.
func ownerOf(job *workload.Job) Owner { return Owner{Queue: job.Queue, Account: job.Account} }

// EarlyCancelRecord returns the record of a cancellation that is stored before the submission of its job was read: the submission may
// be in flight and be stored later. It cancels the job only if that has the given owner. Each owner has a key of its own, so that none
// replaces the cancellation of another. The error is that of the encoding.
func EarlyCancelRecord(id workload.JobID, owner Owner) (store.Record, error) {
	value, err := encoding.Marshal(owner)
	return store.Record{Key: earlyCancelKey(id, owner), Value: value}, err
}

func earlyCancelKey(id workload.JobID, owner Owner) string {
	hash := xxhash.Sum64String(owner.Queue + "\x00" + owner.Account)
	return keyEarlyCancel + string(id) + "/" + strconv.FormatUint(hash, 16)
}

// earlyCancel is an early cancellation and the boot-clock time at which it was read.
type earlyCancel struct {
	owner  Owner
	readAt time.Duration
}

// earlyCancels holds the early cancellations. The zero value is ready for use.
type earlyCancels struct {
	// byKey maps the keys of the records, without their prefix.
	byKey map[string]earlyCancel
	// counts maps each account to the number of its cancellations.
	counts map[string]int
}

func (c *earlyCancels) set(key string, owner Owner) {
	if c.byKey == nil {
		c.byKey, c.counts = map[string]earlyCancel{}, map[string]int{}
	}
	c.remove(key)
	c.byKey[key] = earlyCancel{owner: owner, readAt: boottime.Now()}
	c.counts[owner.Account]++
}

func (c *earlyCancels) remove(key string) {
	former, known := c.byKey[key]
	if !known {
		return
	}
	delete(c.byKey, key)
	c.counts[former.owner.Account]--
	if c.counts[former.owner.Account] == 0 {
		delete(c.counts, former.owner.Account)
	}
}

// removeMissing removes the cancellations whose records are in the stream, as far as keys lacks them, and returns their number.
func (c *earlyCancels) removeMissing(stream store.Stream, keys map[string]bool) (removed int) {
	for name := range c.byKey {
		if streamOf(name) == stream && !keys[keyEarlyCancel+name] {
			c.remove(name)
			removed++
		}
	}
	return removed
}

// streamOf returns the stream of an early cancellation. name is the key without its prefix.
func streamOf(name string) store.Stream {
	return IntakeStream(workload.JobID(name[:strings.LastIndexByte(name, '/')]))
}

// find returns the early cancellation of the job by the owner.
func (c *earlyCancels) find(id workload.JobID, owner Owner) (earlyCancel, bool) {
	found, known := c.byKey[strings.TrimPrefix(earlyCancelKey(id, owner), keyEarlyCancel)]
	return found, known && found.owner == owner
}

// foldEarlyCancel applies the record of an early cancellation at the offset, or the one that deletes it, and returns the id of the job. name
// is the key without its prefix. The error is BadInput if the record cannot be decoded. mu must be held.
func (v *View) foldEarlyCancel(name string, value []byte, offset int64) (workload.JobID, error) {
	at := strings.LastIndexByte(name, '/')
	if at <= 0 {
		return "", unreadable("the key of the early cancellation names no job")
	}
	id := workload.JobID(name[:at])
	if len(value) == 0 {
		v.earlyCancels.remove(name)
		return id, nil
	}
	var owner Owner
	if err := cbor.Unmarshal(value, &owner); err != nil {
		return id, unreadable(err.Error())
	}
	v.earlyCancels.set(name, owner)
	if e := v.entries[id]; e != nil && e.job != nil {
		v.adjustCounts(e, -1)
		v.cancelIfEarlyCancelled(e, offset)
		v.adjustCounts(e, 1)
	}
	return id, nil
}

// void is a submission that an early cancellation cancels, and the offset of the later one of their records.
type void struct {
	job    workload.JobID
	owner  Owner
	offset int64
}

// cancelIfEarlyCancelled cancels the job of the entry if its owner had done so before its submission was read. offset is that of the record
// that was read last. mu must be held.
func (v *View) cancelIfEarlyCancelled(e *entry, offset int64) {
	if _, cancelled := v.earlyCancels.find(e.job.ID, ownerOf(e.job)); !cancelled {
		return
	}
	if !e.cancelled() && !e.phase.Final() {
		v.newVoids = append(v.newVoids, void{job: e.job.ID, owner: ownerOf(e.job), offset: offset})
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

// EarlyCancelAge returns the time since which the view has an early cancellation of the job by the owner; false if it has none.
func (v *View) EarlyCancelAge(id workload.JobID, owner Owner) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	found, known := v.earlyCancels.find(id, owner)
	return boottime.Now() - found.readAt, known
}

// EarlyCancels returns the number of early cancellations of the account.
func (v *View) EarlyCancels(account string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.earlyCancels.counts[account]
}

// EarlyCancelTombstones returns the records that delete the early cancellations that were read before the given boot-clock time, by the
// streams that hold them.
func (v *View) EarlyCancelTombstones(before time.Duration) map[store.Stream][]store.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	tombstones := map[store.Stream][]store.Record{}
	for name, c := range v.earlyCancels.byKey {
		if c.readAt >= before {
			continue
		}
		stream := streamOf(name)
		tombstones[stream] = append(tombstones[stream], store.Record{Key: keyEarlyCancel + name})
	}
	return tombstones
}
