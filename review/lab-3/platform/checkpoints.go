package main

import (
	"fmt"
	"time"
)

// checkpoints plays a wide job whose work items save checkpoints of 64 hexadecimal digits, the length of a SHA-256 sum. Small jobs that are
// accepted afterwards must run: nearly all room is free. Without trouble the checkpoints have the 16 digits of the users' example.
func (l *lab) checkpoints(trouble bool) int {
	const (
		wideID     = "00000000000000d1"
		wideItems  = 4000
		smallJobs  = 4
		finish     = 14 * time.Second
		idle       = 3 * time.Second
		longLength = 64
		length     = 16
		// wideTime bounds the wait for the first rejected append, or for the end of the wide job.
		wideTime = 50 * time.Second
	)
	l.startSystem(oneQueue(1))
	size := capacity{CPU: 128000, Memory: 524288, GPU: 8}
	for i := range 12 {
		l.addMinion(i, []string{"lab-a", "lab-b", "lab-c"}[i%3], []string{"a"}, size)
	}
	time.Sleep(4 * time.Second)
	it := item{demand: capacity{CPU: 20, Memory: 20}, work: 9 * time.Second, checkpointLength: length}
	if trouble {
		it.checkpointLength = longLength
	}
	l.wide[wideID] = true
	l.submit(tenantKey, "/q/", wideID, it, map[string]any{"count": wideItems, "checkpointing": true})
	for end := time.Now().Add(wideTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if l.store.tooLarge.Load() > 0 || l.countEnds(wideID, "done") == wideItems {
			break
		}
	}
	time.Sleep(time.Second)
	l.record("%d starts of the wide job so far; %d appends were rejected for a record over record_bytes", l.countStarts(wideID), l.store.tooLarge.Load())
	var small []string
	for i := range smallJobs {
		id := fmt.Sprintf("00000000000000e%d", i)
		l.submit(tenantKey, "/q/", id, item{demand: capacity{CPU: 1000, Memory: 1000, GPU: 1}, work: time.Second}, map[string]any{"count": 1})
		small = append(small, id)
	}
	l.record("end of the traffic")
	endOfTraffic := time.Now()
	time.Sleep(finish)
	var busy time.Duration
	l.record("finish_s after the end of the traffic")
	for time.Since(endOfTraffic) < finish+idle {
		if cpu := l.usedCPU(); cpu*2 >= 12*size.CPU {
			busy = time.Since(endOfTraffic)
		}
		time.Sleep(50 * time.Millisecond)
	}
	broken := false
	for n, id := range small {
		starts := l.countStarts(id)
		_, answer := l.call(n, "GET", tenantKey, "/q/"+id, nil)
		l.record("judged: job %s, accepted, needs 1 of 96 GPUs: %d starts, shown as %v", id, starts, answer["state"])
		broken = broken || starts == 0
	}
	l.call(0, "GET", tenantKey, "/q/"+wideID, nil)
	l.record("judged: %d starts and %d ends of the wide job; %d appends were rejected for a record over record_bytes; half of the capacity in use: %v",
		l.countStarts(wideID), l.countEnds(wideID, "done"), l.store.tooLarge.Load(), busy > 0)
	if broken && busy == 0 {
		return exitBroken
	}
	return exitHeld
}

// countStarts returns how many runs of the job have begun.
func (l *lab) countStarts(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.starts {
		if id, _ := jobOf(s.task); id == job {
			n++
		}
	}
	return n
}

// usedCPU returns what is in use of the processors of all minions.
func (l *lab) usedCPU() (sum int64) {
	for _, m := range l.minion {
		m.mu.Lock()
		life := m.life
		m.mu.Unlock()
		if life == nil {
			continue
		}
		life.mu.Lock()
		sum += life.used().CPU
		life.mu.Unlock()
	}
	return sum
}
