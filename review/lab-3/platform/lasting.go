package main

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// oneQueue returns a configuration with one queue of the priority and one tenant.
func oneQueue(priority int) map[string]any {
	return map[string]any{
		"version": 1, "limits": map[string]any{},
		"services": []any{map[string]any{"name": "lab", "rejects_overload": true}},
		"routes": []any{map[string]any{
			"name": "q", "host": queueHost, "path_prefix": "/q/", "service": "lab", "priority": priority, "max_attempts": 4, "slack_factor": 3,
			"target_runtime_ms": 1000,
		}},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{tenantKey}, "guaranteed_gpus": 16}},
	}
}

// lasting plays minions that lose power for good while they run work items that last. Each of these must run again within 9 s: there is
// room for it on all other minions.
func (l *lab) lasting(trouble bool) int {
	const (
		jobID    = "00000000000000c1"
		minions  = 48
		lost     = 6
		items    = 24
		finish   = 14 * time.Second
		restPart = 6 * time.Second
		idlePart = 3 * time.Second
		// startGap is the time between the starts of two minions, so that their leases are not renewed at the same moments.
		startGap = 130 * time.Millisecond
	)
	l.startSystem(oneQueue(1))
	size := capacity{CPU: 128000, Memory: 524288, GPU: 8}
	for i := range minions {
		l.addMinion(i, []string{"lab-a", "lab-b", "lab-c"}[i%3], []string{"a"}, size)
		time.Sleep(startGap)
	}
	time.Sleep(4 * time.Second)
	it := item{demand: capacity{CPU: 15000, Memory: 79000, GPU: 2}, work: time.Hour, lasts: true}
	l.submit(tenantKey, "/q/", jobID, it, map[string]any{"count": items, "long_running": true, "max_per_server": 1})
	endOfTraffic := time.Now()
	l.record("end of the traffic")
	time.Sleep(finish - restPart)
	if !l.allRun(jobID, items) {
		l.cannotRun("not all work items run before the disruption")
	}
	var victims []*minion
	for _, i := range rand.Perm(minions) {
		if m := l.minion[fmt.Sprintf("i-%04d", i)]; m.runs() > 0 && len(victims) < lost {
			victims = append(victims, m)
		}
	}
	lostTasks := map[string]bool{}
	lostAt := time.Now()
	if trouble {
		for _, m := range victims {
			for _, task := range m.tasks() {
				lostTasks[task] = true
			}
			m.losePower()
		}
	}
	time.Sleep(time.Until(endOfTraffic.Add(finish)))
	l.record("finish_s after the end of the traffic: from here on each work item that lasts is judged")
	for time.Since(lostAt) < restPart+idlePart+8*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	l.call(0, "GET", tenantKey, "/q/"+jobID, nil)
	broken := false
	for task := range lostTasks {
		at, again := l.startAfter(task, lostAt)
		idle := at.Sub(lostAt)
		l.record("judged: %s: its last run ended with its minion; started again: %v, after %.2f s; at most %v allowed", task, again, idle.Seconds(),
			restPart+idlePart)
		broken = broken || !again || idle > restPart+idlePart
	}
	if broken {
		return exitBroken
	}
	if !l.allRun(jobID, items) {
		l.cannotRun("not all work items run at the end")
	}
	return exitHeld
}

// tasks returns the names of the work items that run on the minion.
func (m *minion) tasks() (names []string) {
	m.mu.Lock()
	life := m.life
	m.mu.Unlock()
	if life == nil {
		return nil
	}
	life.mu.Lock()
	defer life.mu.Unlock()
	for task := range life.runs {
		names = append(names, task)
	}
	return names
}

func (m *minion) runs() int { return len(m.tasks()) }

// allRun reports whether n work items of the job run.
func (l *lab) allRun(job string, n int) bool {
	running := map[string]bool{}
	for _, m := range l.minion {
		for _, task := range m.tasks() {
			running[task] = strings.HasPrefix(task, job)
		}
	}
	return len(running) == n
}

// startAfter returns the time of the first start of the work item after t.
func (l *lab) startAfter(task string, t time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.starts {
		if s.task == task && s.at.After(t) {
			return s.at, true
		}
	}
	return time.Now(), false
}
