package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["quarantine"] = playQuarantine
	cases["crash"] = playCrash
}

// The disruption srv_grey (errors) as the site files have it: 0.085 of the minions fail all that they start, for 6.5 s.
const (
	greyMinions = 24
	greyTime    = 6500 * time.Millisecond
	greyJobs    = 4
	// afterLastRun, emptyTime and calmTime are those of the rule: from 6 s after its last run, a work item that lasts may not be without
	// a run for 3 s, if these and the 4 s before them are calm.
	afterLastRun = 6 * time.Second
	emptyTime    = 3 * time.Second
	calmTime     = 4 * time.Second
)

// gap is the longest time without a run of a work item.
type gap struct {
	job        string
	from, till time.Time
}

// playQuarantine lets the two minions of a kind fail what they start while jobs that last are handed in for this kind.
func playQuarantine(s *system, trouble bool) int {
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
	if !s.setUp(3, 284) {
		return notRun
	}
	began := time.Now()
	if trouble {
		s.record.line("trouble: minions %s and %s fail all that they start", special[0].id, special[1].id)
		s.setFailing(special, true)
	}
	time.Sleep(5 * time.Second)
	var ids []string
	demand := amount{4000, 4000, 1}
	for i := range greyJobs {
		id := fmt.Sprintf("%016x", 0xa1a0+i)
		ids = append(ids, id)
		s.prepare(id, work{demand: demand, lasts: true})
		status, _ := s.logged(s.nodes[i%3], http.MethodPost, "/normal/"+id, submission(1, demand, 0, map[string]any{"long_running": true, "required_label": "b"}), 3*time.Second)
		if status != http.StatusOK {
			return notRun
		}
	}
	time.Sleep(time.Until(began.Add(greyTime)))
	s.setFailing(special, false)
	calmFrom := time.Now()
	s.record.line("end of trouble")
	return s.watchGaps(ids, calmFrom, 40*time.Second)
}

// setFailing makes the minions fail all that they start, or no longer.
func (s *system) setFailing(minions []*minion, failing bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, m := range minions {
		m.failing = failing
	}
}

// watchGaps watches the runs of the jobs, each with one work item that lasts, and applies the rule.
func (s *system) watchGaps(ids []string, calmFrom time.Time, limit time.Duration) int {
	lastRun := map[string]time.Time{}
	longest := map[string]time.Duration{}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		for _, id := range ids {
			if s.running(id) > 0 || lastRun[id].IsZero() {
				lastRun[id] = now
			}
			// The time without a run that the rule counts begins 6 s after the last run, and 4 s after the begin of the calm.
			from := lastRun[id].Add(afterLastRun)
			if calm := calmFrom.Add(calmTime); calm.After(from) {
				from = calm
			}
			longest[id] = max(longest[id], now.Sub(from))
		}
	}
	result := held
	for _, id := range ids {
		s.record.line("job %s: %s without a run that the rule counts, more than %s breaks it", id, longest[id].Round(10*time.Millisecond), emptyTime)
		if longest[id] > emptyTime {
			result = broken
		}
	}
	return result
}

// playCrash lets a minion crash for good under a work item that lasts.
func playCrash(s *system, trouble bool) int {
	if !s.addMinions(8, amount{32000, 65536, 8}) || !s.setUp(3, 284) {
		return notRun
	}
	const id = "000000000000c4a5"
	demand := amount{4000, 4000, 1}
	s.prepare(id, work{demand: demand, lasts: true})
	if status, _ := s.logged(s.nodes[0], http.MethodPost, "/normal/"+id, submission(1, demand, 0, map[string]any{"long_running": true}), 3*time.Second); status != http.StatusOK {
		return notRun
	}
	if !s.awaitRunning(id, 1, 5*time.Second) {
		return notRun
	}
	time.Sleep(5 * time.Second)
	at := time.Now()
	if trouble {
		for _, m := range s.fleet.minions {
			s.fleet.mu.Lock()
			runs := len(m.runs)
			s.fleet.mu.Unlock()
			if runs > 0 {
				s.record.line("trouble: minion %s is lost for good", m.id)
				m.crash()
			}
		}
	}
	return s.watchGaps([]string{id}, at, 25*time.Second)
}
