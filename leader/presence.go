package leader

import "time"

// maxMissedHeartbeats is the number of missed heartbeats after which the store removes an entry.
const maxMissedHeartbeats = 3

// presence distinguishes workers that removed their own entry from workers whose entry the store removed because they were silent, by
// the time between the last entry and its removal. An entry is as old as the last read that did not return it yet, however late it is
// read. Times are on the boot clock.
type presence struct {
	// interval is the time between two heartbeats of a worker.
	interval time.Duration
	// readAt is the start of the last read that reached the end of the list, failedAt the end of the last read that failed; 0 if there
	// was none.
	readAt, failedAt time.Duration
	// heardAt maps each worker to the time at which the newest entry that counts was read.
	heardAt map[string]time.Duration
	// storedAfter maps each worker to a time after which its newest entry was stored.
	storedAfter map[string]time.Duration
}

func newPresence(heartbeat time.Duration) presence {
	return presence{interval: heartbeat, heardAt: map[string]time.Duration{}, storedAfter: map[string]time.Duration{}}
}

// entryRead records that a new entry of the worker was read.
func (p *presence) entryRead(id string) { p.storedAfter[id] = p.readAt }

// heard records that an entry of the worker that counts was read.
func (p *presence) heard(id string, now time.Duration) { p.heardAt[id] = now }

// silent reports whether no entry of the worker that counts was read for so long that the store could have removed it.
func (p *presence) silent(id string, now time.Duration) bool {
	return now-p.heardAt[id] >= maxMissedHeartbeats*p.interval
}

// forget discards what is known of the time of the worker's entry.
func (p *presence) forget(id string) { delete(p.storedAfter, id) }

// removedByWorker reports whether a worker whose removal is read now has removed its entry itself: the store cannot have missed so
// many heartbeats yet. After an outage of the store that is not certain, because the store may then remove entries at any moment.
func (p *presence) removedByWorker(id string, now time.Duration) bool {
	storedAfter, known := p.storedAfter[id]
	if !known || p.failedAt >= storedAfter && p.failedAt > 0 {
		return false
	}
	return now-storedAfter < (maxMissedHeartbeats-1)*p.interval
}
