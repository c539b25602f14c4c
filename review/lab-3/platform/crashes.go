package main

import "time"

// crashes plays a minion that crashes and comes back a few times, while a work item runs that only this minion may run. No run of it
// ends failed, so the job must not be shown as failed.
func (l *lab) crashes(trouble bool) int {
	const (
		jobID     = "00000000000000a1"
		otherID   = "00000000000000b1"
		work      = 25 * time.Second
		downTime  = 4500 * time.Millisecond
		ranBefore = 3 * time.Second
		crashes   = 4
	)
	l.startSystem(oneQueue(1))
	size := capacity{CPU: 128000, Memory: 524288, GPU: 8}
	special := l.addMinion(0, "lab-a", []string{"a", "licensed"}, size)
	for i := 1; i < 8; i++ {
		l.addMinion(i, []string{"lab-a", "lab-b", "lab-c"}[i%3], []string{"a"}, size)
	}
	time.Sleep(4 * time.Second)
	it := item{demand: capacity{CPU: 15000, Memory: 79000, GPU: 2}, work: work}
	l.submit(tenantKey, "/q/", jobID, it, map[string]any{"count": 1, "required_label": "licensed"})
	l.submit(tenantKey, "/q/", otherID, it, map[string]any{"count": 3})
	if trouble {
		for range crashes {
			if !l.awaitRun(jobID, ranBefore) {
				break
			}
			special.crash()
			time.Sleep(downTime)
			special.start()
		}
	}
	shown := ""
	for end := time.Now().Add(work + 20*time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, answer := l.call(0, "GET", tenantKey, "/q/"+jobID, nil)
		if status != 200 {
			continue
		}
		if shown, _ = answer["state"].(string); shown == "completed" || shown == "failed" || shown == "cancelled" {
			break
		}
	}
	l.call(1, "GET", tenantKey, "/q/"+otherID, nil)
	failed := l.countEnds(jobID, "failed")
	l.record("judged: the job is shown as %q; %d of its runs have ended failed, of 4 that it may", shown, failed)
	if shown == "failed" && failed < 4 || shown == "cancelled" {
		return exitBroken
	}
	if shown != "completed" {
		l.cannotRun("the job has not ended within the time of the case")
	}
	return exitHeld
}

// awaitRun waits until a run of the job has been under way for d, and returns false if none is within 15 s: the job has ended.
func (l *lab) awaitRun(job string, d time.Duration) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l.oldestRun(job) >= d {
			return true
		}
	}
	return false
}

// oldestRun returns how long the longest run of the job has been under way.
func (l *lab) oldestRun(job string) time.Duration {
	var oldest time.Duration
	for _, m := range l.minion {
		m.mu.Lock()
		life := m.life
		m.mu.Unlock()
		if life == nil {
			continue
		}
		life.mu.Lock()
		for task, r := range life.runs {
			if id, _ := jobOf(task); id == job {
				oldest = max(oldest, time.Since(r.startedAt))
			}
		}
		life.mu.Unlock()
	}
	return oldest
}

// countEnds returns how many runs of the job the minions have listed as ended so.
func (l *lab) countEnds(job, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.ends {
		if id, _ := jobOf(e.task); id == job && e.how == how {
			n++
		}
	}
	return n
}
