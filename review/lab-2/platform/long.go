package main

import (
	"net/http"
	"time"
)

func init() { cases["long"] = playLong }

const (
	// hoursWork is the work of an item of a job that runs for hours, shortWork that without the disruption.
	hoursWork = 2 * time.Hour
	shortWork = 12 * time.Second
	// finishTime is finish_s: the time after the end of the traffic from which the jobs are looked at.
	finishTime = 14 * time.Second
	longWatch  = 60 * time.Second
)

// playLong hands in one job that runs for two hours and needs the label of one of 12 minions. Nothing else happens, and there is no other
// work. The rule allows no 3 s without a run of it.
func playLong(s *system, trouble bool) int {
	if !s.addMinions(11, amount{32000, 65536, 8}) {
		return notRun
	}
	if _, err := s.fleet.add("i-00009000", "zone-a", "r1-1", []string{"b"}, amount{32000, 65536, 8}); err != nil {
		return notRun
	}
	if !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	const id = "0000000000001096"
	demand := amount{4000, 4000, 1}
	duration := shortWork
	if trouble {
		duration = hoursWork
	}
	s.prepare(id, work{demand: demand, duration: duration})
	body := submission(1, demand, duration, map[string]any{"required_label": "b"})
	if status, _ := s.logged(s.nodes[0], http.MethodPost, "/normal/"+id, body, 3*time.Second); status != http.StatusOK {
		return notRun
	}
	s.record.line("end of the traffic")
	time.Sleep(finishTime)
	longest, since := time.Duration(0), time.Time{}
	for until := time.Now().Add(longWatch); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if s.running(id) > 0 || !trouble {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	s.logged(s.nodes[1], http.MethodGet, "/normal/"+id, nil, 3*time.Second)
	s.record.line("%d runs have started; up to %s without a run, while one of 12 minions was wanted and all were empty", s.fleet.starts, longest.Round(10*time.Millisecond))
	if longest > emptyTime {
		return broken
	}
	return held
}
