package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["repetitions"] = playRepetitions }

const (
	// smallMemoryMB is memory_mb of the users' small deployments.
	smallMemoryMB = 284
	// overdueJobs is the number of jobs that come at once, overdueRate how many of them come a second.
	overdueJobs = 240
	overdueRate = 20
	// A check every 10 s for a day that is handed in 18 hours after its first run.
	overdueRepetitions = 8640
	overdueInterval    = 10 * time.Second
	overdueBy          = 18 * time.Hour
	// crowdWatch is how long the nodes are watched from the first of these jobs on.
	crowdWatch = 95 * time.Second
	// urgentInterval is the time between two ordinary jobs of priority 0.
	urgentInterval = 6 * time.Second
	urgentWork     = 500 * time.Millisecond
)

// playRepetitions hands in jobs whose occurrences are overdue, each with a body of about 170 bytes, and watches the memory of the nodes.
// Without the disruption, the same jobs have one occurrence.
func playRepetitions(s *system, trouble bool) int {
	s.fleet.quiet = true
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	guard := s.guardMemory()
	until := time.Now().Add(crowdWatch)
	go func() {
		for i := range overdueJobs {
			s.submitOverdue(i, trouble)
			time.Sleep(time.Second / overdueRate)
		}
	}()
	return s.watchCrowd(guard, until)
}

func (s *system) submitOverdue(i int, trouble bool) {
	id := fmt.Sprintf("%016x", 0xabc0000+i)
	demand := amount{1000, 1000, 0}
	s.prepare(id, work{demand: demand, duration: 2 * time.Second})
	body := submission(1, demand, 2*time.Second, nil)
	body["first_run_ms"], body["interval_ms"] = time.Now().Add(-overdueBy).UnixMilli(), overdueInterval.Milliseconds()
	body["repetitions"] = 1
	if trouble {
		body["repetitions"] = overdueRepetitions
	}
	s.logged(s.nodes[i%3], http.MethodPost, "/batch/"+id, body, 3*time.Second)
}

// watchCrowd hands in ordinary urgent jobs until the given time. Then it judges how often the platform has killed the nodes for their
// memory: the rule allows no two machines, and no tenth of them, to end three times.
func (s *system) watchCrowd(guard *warden, until time.Time) int {
	var accepted []string
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%016x", 0xdef0000+i)
		demand := amount{1000, 1000, 0}
		s.prepare(id, work{demand: demand, duration: urgentWork})
		if status, _ := s.logged(s.nodes[i%3], http.MethodPost, "/urgent/"+id, submission(1, demand, urgentWork, nil), 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		for next := time.Now().Add(urgentInterval); time.Now().Before(next); time.Sleep(time.Second) {
			s.fleet.mu.Lock()
			starts, dones := s.fleet.starts, s.fleet.dones
			s.fleet.mu.Unlock()
			s.record.line("anonymous memory: %d, %d, %d MB; %d runs started, %d done", s.nodes[0].anonymousMB(), s.nodes[1].anonymousMB(),
				s.nodes[2].anonymousMB(), starts, dones)
		}
	}
	done := 0
	for i, id := range accepted {
		if _, text := s.logged(s.nodes[i%3], http.MethodGet, "/urgent/"+id, nil, 3*time.Second); strings.Contains(text, "completed") {
			done++
		}
	}
	s.record.line("%d of %d accepted urgent jobs of %s are completed", done, len(accepted), urgentWork)
	if guard.report(s) >= 2 {
		return broken
	}
	return held
}
