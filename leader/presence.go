package leader

import "time"

const (
	// silentHeartbeats is after how many missing heartbeats the store removes an entry.
	silentHeartbeats = 3
	// maxReadGap is the time between two reads above which the order of a worker's last entries says nothing.
	maxReadGap = 1200 * time.Millisecond
)

// presence tells workers that have left from workers that fell silent, by the time between a worker's last entry and the
// removal of the entry. Times are on the boot clock.
type presence struct {
	interval time.Duration
	// readAt is when the list was last read, seenAt when the newest entry of a worker was read.
	readAt time.Duration
	seenAt map[string]time.Duration
}

func newPresence(heartbeat time.Duration) presence {
	return presence{interval: heartbeat, seenAt: map[string]time.Duration{}}
}

// left reports whether a worker whose removal is read now has removed its entry itself.
func (p *presence) left(id string, now time.Duration) bool {
	seenAt, known := p.seenAt[id]
	if !known || now-p.readAt > maxReadGap {
		return false
	}
	return now-seenAt < (silentHeartbeats-1)*p.interval
}
