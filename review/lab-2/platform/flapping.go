package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["flapping"] = playFlapping }

// The disruption srv_flap as the site files have it: a tenth of the minions go down and up by turns, with a period of 1.4 s, for 6.5 s.
const (
	flapMinions = 10
	flapPeriod  = 1400 * time.Millisecond
	flapDown    = 400 * time.Millisecond
	flapTime    = 6500 * time.Millisecond
	// flapWatch is how long the job is watched after the disruption.
	flapWatch = 25 * time.Second
)

// playFlapping lets one of ten minions flap under a job that lasts and fills all of them. The job must be running again afterwards; it
// must not be shown as failed, because no run has ended `failed`.
func playFlapping(s *system, trouble bool) int {
	if !s.addMinions(flapMinions, amount{32000, 65536, 8}) || !s.setUp(3, 284) {
		return notRun
	}
	const id = "00000000000a1a57"
	demand := amount{16000, 8192, 8}
	s.prepare(id, work{demand: demand, lasts: true})
	failedEnds := 0
	s.fleet.mu.Lock()
	s.fleet.onEnd = func(_ *minion, _ string, _ int64, how string) {
		if how == "failed" {
			failedEnds++
		}
	}
	s.fleet.mu.Unlock()
	body := submission(flapMinions, demand, 0, map[string]any{"long_running": true})
	if status, _ := s.logged(s.nodes[0], http.MethodPost, "/normal/"+id, body, 3*time.Second); status != http.StatusOK {
		return notRun
	}
	if !s.awaitRunning(id, flapMinions, 10*time.Second) {
		s.record.line("the job does not run on all minions")
		return notRun
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.flap(s.fleet.minions[3])
	}
	return s.watchLasting(id, &failedEnds)
}

// flap lets the minion go down and up by turns.
func (s *system) flap(m *minion) {
	s.record.line("trouble: minion %s flaps", m.id)
	for until := time.Now().Add(flapTime); time.Now().Before(until); {
		m.crash()
		time.Sleep(flapDown)
		if err := m.restart(); err != nil {
			s.record.line("%v", err)
			return
		}
		s.record.line("minion %s is up again", m.id)
		time.Sleep(flapPeriod - flapDown)
	}
	s.record.line("end of trouble: minion %s stays up", m.id)
}

// watchLasting asks for the state of the job until it is shown as failed or the time is over.
func (s *system) watchLasting(id string, failedEnds *int) int {
	for until := time.Now().Add(flapWatch); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		status, text := s.call(s.nodes[1], http.MethodGet, "/normal/"+id, nil, 3*time.Second)
		if status != http.StatusOK || !strings.Contains(text, `"failed"`) {
			continue
		}
		s.record.line("client gets %d %s for GET /normal/%s from %s", status, text, id, s.nodes[1].name)
		s.fleet.mu.Lock()
		ends := *failedEnds
		s.fleet.mu.Unlock()
		s.record.line("%d runs of the job have ended as failed", ends)
		time.Sleep(3 * time.Second)
		s.record.line("%d of %d work items run 3 s later", s.running(id), flapMinions)
		if ends == 0 {
			return broken
		}
		return notRun
	}
	s.record.line("%d of %d work items run at the end", s.running(id), flapMinions)
	if s.running(id) < flapMinions {
		return notRun
	}
	return held
}

// running returns the number of work items of the job that run.
func (s *system) running(id string) (count int) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, m := range s.fleet.minions {
		for name := range m.runs {
			if strings.HasPrefix(name, id+".") {
				count++
			}
		}
	}
	return count
}

// awaitRunning waits until so many work items of the job run.
func (s *system) awaitRunning(id string, count int, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if s.running(id) >= count {
			return true
		}
	}
	return false
}
