package main

import (
	"fmt"
	"time"
)

// quarantine plays two minions of a kind of their own that fail all that they start for some seconds. Work items that last and need this
// kind must run again once both are sound.
func (l *lab) quarantine(trouble bool) int {
	const (
		minions  = 24
		jobs     = 4
		failing  = 6500 * time.Millisecond
		rest     = 6 * time.Second
		calm     = 4 * time.Second
		idle     = 3 * time.Second
		watchFor = 24 * time.Second
	)
	l.startSystem(oneQueue(1))
	size := capacity{CPU: 128000, Memory: 524288, GPU: 8}
	var kind []*minion
	for i := range minions {
		labels := []string{"a"}
		if i < 2 {
			labels = []string{"b"}
		}
		m := l.addMinion(i, []string{"lab-a", "lab-b", "lab-c"}[i%3], labels, size)
		if i < 2 {
			kind = append(kind, m)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range kind {
			m.failing.Store(true)
		}
		l.record("minions %s and %s fail all that they start from now on", kind[0].id, kind[1].id)
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("00000000000000f%d", i)
		it := item{demand: capacity{CPU: 15000, Memory: 79000, GPU: 1}, work: time.Hour, lasts: true}
		l.submit(tenantKey, "/q/", id, it, map[string]any{"count": 1, "long_running": true, "required_label": "b"})
		ids = append(ids, id)
	}
	time.Sleep(failing)
	for _, m := range kind {
		m.failing.Store(false)
	}
	soundAt := time.Now()
	l.record("all minions are sound from now on")
	longest := map[string]time.Duration{}
	idleSince := map[string]time.Time{}
	for time.Since(soundAt) < watchFor {
		now := time.Now()
		running := map[string]bool{}
		for _, m := range kind {
			for _, task := range m.tasks() {
				id, _ := jobOf(task)
				running[id] = true
			}
		}
		for _, id := range ids {
			from := soundAt.Add(calm)
			if last := l.lastEnd(id).Add(rest); last.After(from) {
				from = last
			}
			switch {
			case running[id]:
				delete(idleSince, id)
			case now.After(from):
				if idleSince[id].IsZero() {
					idleSince[id] = from
				}
				longest[id] = max(longest[id], now.Sub(idleSince[id]))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	broken := false
	for n, id := range ids {
		l.call(n, "GET", tenantKey, "/q/"+id, nil)
		l.record("judged: job %s had nothing running for %.1f s on end that count (from 4 s after the last disruption and 6 s after its last run on)",
			id, longest[id].Seconds())
		broken = broken || longest[id] >= idle
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}

// lastEnd returns the time of the last end of a run of the job; the zero time if there was none.
func (l *lab) lastEnd(job string) (last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.ends {
		if id, _ := jobOf(e.task); id == job {
			last = e.at
		}
	}
	return last
}
