package leader

import "time"

const (
	// maxMissedHeartbeats is the number of missed heartbeats after which the store removes an entry.
	maxMissedHeartbeats = 3
	// maxReadGap is the longest time between two reads of the list for which the time of a worker's last entry is
	// meaningful: after a longer gap, an old entry and its removal are read together.
	maxReadGap = 1200 * time.Millisecond
)

// presence distinguishes workers that removed their own entry from workers that stopped sending heartbeats, by the time
// between the last entry and its removal. Times are on the boot clock.
type presence struct {
	// interval is the time between two heartbeats of a worker.
	interval time.Duration
	// readAt is when the list was last read, seenAt when the newest entry of each worker was read.
	readAt time.Duration
	seenAt map[string]time.Duration
}

func newPresence(heartbeat time.Duration) presence {
	return presence{interval: heartbeat, seenAt: map[string]time.Duration{}}
}

// removedByWorker reports whether a worker whose removal is read now has removed its entry itself.
func (p *presence) removedByWorker(id string, now time.Duration) bool {
	seenAt, known := p.seenAt[id]
	if !known || now-p.readAt > maxReadGap {
		return false
	}
	return now-seenAt < (maxMissedHeartbeats-1)*p.interval
}
