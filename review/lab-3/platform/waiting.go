package main

import (
	"fmt"
	"time"
)

// waiting plays two minions of a kind of their own that reject all starts with 503 for some seconds. The jobs that need this kind have not
// begun then and must be counted as waiting.
func (l *lab) waiting(trouble bool) int {
	const (
		minions = 24
		jobs    = 6
		busy    = 6500 * time.Millisecond
		visible = 5 * time.Second
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
	for _, m := range kind {
		m.busy.Store(trouble)
	}
	busySince := time.Now()
	if trouble {
		l.record("minions %s and %s reject all starts with 503 from now on", kind[0].id, kind[1].id)
	}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("00000000000000a%d", i)
		it := item{demand: capacity{CPU: 15000, Memory: 79000, GPU: 1}, work: 2 * time.Second}
		l.submit(tenantKey, "/q/", id, it, map[string]any{"count": 1, "required_label": "b"})
		ids = append(ids, id)
	}
	acked := time.Now()
	time.Sleep(visible + 100*time.Millisecond)
	broken := false
	for time.Since(busySince) < busy-300*time.Millisecond {
		for n := range l.nodes {
			before := l.notBegun(ids)
			_, answer := l.call(n, "GET", tenantKey, "/q/", nil)
			shown, _ := answer["waiting"].(float64)
			after := l.notBegun(ids)
			wrong := before == after && int(shown)*2 < before
			l.record("judged: %.1f s after the last ack %d of %d jobs have not begun, and %v are given as waiting", time.Since(acked).Seconds(), after, jobs, shown)
			broken = broken || wrong
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(busySince.Add(busy)))
	for _, m := range kind {
		m.busy.Store(false)
	}
	time.Sleep(8 * time.Second)
	l.record("%d jobs have not begun at the end", l.notBegun(ids))
	if broken {
		return exitBroken
	}
	return exitHeld
}

// notBegun returns how many of the jobs have had no start.
func (l *lab) notBegun(ids []string) (n int) {
	for _, id := range ids {
		if l.countStarts(id) == 0 {
			n++
		}
	}
	return n
}
