package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["checkpoint"] = playCheckpoint }

const (
	checkpointItems = 4000
	// usualCheckpoint is the length of the checkpoint in the users' example, longCheckpoint that with the disruption.
	usualCheckpoint = 16
	longCheckpoint  = 64
	checkpointWork  = 25 * time.Second
)

// playCheckpoint runs one large job whose work items save checkpoints, and looks whether ordinary jobs are started afterwards.
func playCheckpoint(s *system, trouble bool) int {
	s.fleet.quiet = true
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	const id = "0000000000cec401"
	length := usualCheckpoint
	if trouble {
		length = longCheckpoint
	}
	demand := amount{1, 1, 0}
	s.prepare(id, work{demand: demand, duration: checkpointWork, checkpointBytes: length})
	body := submission(checkpointItems, demand, checkpointWork, map[string]any{"checkpointing": true})
	if status, _ := s.logged(s.nodes[0], http.MethodPost, "/batch/"+id, body, 3*time.Second); status != http.StatusOK {
		return notRun
	}
	time.Sleep(checkpointWork)
	var accepted []string
	for i := range 5 {
		urgent := fmt.Sprintf("%016x", 0xdef0000+i)
		s.prepare(urgent, work{demand: amount{1000, 1000, 0}, duration: urgentWork})
		if status, _ := s.logged(s.nodes[i%3], http.MethodPost, "/urgent/"+urgent, submission(1, amount{1000, 1000, 0}, urgentWork, nil), 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, urgent)
		}
		time.Sleep(time.Second)
	}
	s.record.line("end of the traffic")
	time.Sleep(finishTime + 10*time.Second)
	done := 0
	for i, urgent := range accepted {
		if _, text := s.logged(s.nodes[i%3], http.MethodGet, "/urgent/"+urgent, nil, 3*time.Second); strings.Contains(text, "completed") {
			done++
		}
	}
	s.logged(s.nodes[0], http.MethodGet, "/batch/"+id, nil, 3*time.Second)
	s.record.line("%d of %d accepted urgent jobs of %s are completed; %d runs have started in all, %d are done", done, len(accepted), urgentWork, s.fleet.starts, s.fleet.dones)
	if done < len(accepted) {
		return broken
	}
	return held
}
