package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["waiting"] = playWaiting }

const (
	waitingJobs = 6
	// visibleBound is visible_ms.
	visibleBound = 3 * time.Second
)

// playWaiting lets the two minions of a kind reject all starts while jobs for this kind are handed in, and asks for the number of
// waiting jobs. None of the jobs has begun, and more than half of them must be counted from 5 s after their acks on.
func playWaiting(s *system, trouble bool) int {
	if !s.addMinions(greyMinions-2, amount{32000, 65536, 8}) {
		return notRun
	}
	var special []*minion
	for i := range 2 {
		m, err := s.fleet.add(fmt.Sprintf("i-%08x", 0x9000+i), "zone-a", "r1-9", []string{"b"}, amount{32000, 65536, 8})
		if err != nil {
			return notRun
		}
		special = append(special, m)
	}
	if !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	began := time.Now()
	s.fleet.mu.Lock()
	for _, m := range special {
		m.busy = trouble
	}
	s.fleet.mu.Unlock()
	var last time.Time
	for i := range waitingJobs {
		id := fmt.Sprintf("%016x", 0xb0b0+i)
		demand := amount{4000, 4000, 1}
		s.prepare(id, work{demand: demand, duration: time.Second})
		if status, _ := s.logged(s.nodes[i%3], http.MethodPost, "/normal/"+id, submission(1, demand, time.Second, map[string]any{"required_label": "b"}), 3*time.Second); status != http.StatusOK {
			return notRun
		}
		last = time.Now()
	}
	time.Sleep(time.Until(last.Add(visibleBound + 2100*time.Millisecond)))
	s.fleet.mu.Lock()
	notBegun := waitingJobs - s.fleet.starts
	s.fleet.mu.Unlock()
	s.record.line("%d of %d jobs have not begun, %s after the begin", notBegun, waitingJobs, time.Since(began).Round(time.Millisecond))
	result := held
	for _, n := range s.nodes {
		status, text := s.logged(n, http.MethodGet, "/normal/", nil, 3*time.Second)
		var answer struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
			return notRun
		}
		if 2*answer.Waiting < notBegun {
			result = broken
		}
	}
	time.Sleep(time.Until(began.Add(greyTime)))
	s.fleet.mu.Lock()
	for _, m := range special {
		m.busy = false
	}
	s.fleet.mu.Unlock()
	s.record.line("end of trouble")
	time.Sleep(4 * time.Second)
	return result
}
