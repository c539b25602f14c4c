package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancelled"] = playCancelled }

const (
	// thinMemoryMB is memory_mb of the smallest machines of both grown deployments.
	thinMemoryMB = 184
	// cancelledJobs jobs of cancelledSteps steps each are handed in and cancelled, by cancelledClients clients at once.
	cancelledJobs    = 1300
	cancelledSteps   = 1000
	cancelledClients = 8
)

// playCancelled hands in jobs of legal size and cancels each of them after its ack, and watches the memory of the nodes. Without the
// disruption, the same number of jobs has one step each.
func playCancelled(s *system, trouble bool) int {
	s.fleet.quiet = true
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, thinMemoryMB) {
		return notRun
	}
	guard := s.guardMemory()
	until := time.Now().Add(crowdWatch)
	steps := make([]any, 1)
	if trouble {
		steps = make([]any, cancelledSteps)
	}
	for i := range steps {
		steps[i] = map[string]any{"count": 1, "cpu": 1000}
	}
	numbers := make(chan int)
	var clients sync.WaitGroup
	for range cancelledClients {
		clients.Go(func() {
			for i := range numbers {
				s.submitAndCancel(i, steps)
			}
		})
	}
	go func() {
		for i := range cancelledJobs {
			numbers <- i
		}
		close(numbers)
	}()
	return s.watchCrowd(guard, until)
}

func (s *system) submitAndCancel(i int, steps []any) {
	id := fmt.Sprintf("%016x", 0xabc0000+i)
	s.prepare(id, work{demand: amount{1000, 0, 0}, duration: 20 * time.Second})
	if status, _ := s.logged(s.nodes[i%3], http.MethodPost, "/batch/"+id, map[string]any{"specification": "(text)", "steps": steps}, 3*time.Second); status != http.StatusOK {
		return
	}
	s.logged(s.nodes[i%3], http.MethodDelete, "/batch/"+id, nil, 3*time.Second)
}
