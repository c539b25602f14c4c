package main

import (
	"net/http"
	"time"
)

func init() { cases["public"] = playPublic }

// playPublic hands in a job, takes its route out of the configuration, and adds the route again as a public one. Without the
// disruption, the route comes back as it was.
func playPublic(s *system, trouble bool) int {
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	const id = "0000000000009b1c"
	demand := amount{4000, 4000, 1}
	s.prepare(id, work{demand: demand, duration: 60 * time.Second})
	if status, _ := s.logged(s.nodes[0], http.MethodPost, "/normal/"+id, submission(1, demand, 60*time.Second, nil), 3*time.Second); status != http.StatusOK {
		return notRun
	}
	time.Sleep(4 * time.Second)
	s.without = "normal"
	s.publish()
	s.record.line("the configuration leaves the route out")
	time.Sleep(4 * time.Second)
	s.without, s.public = "", map[bool]string{true: "normal"}[trouble]
	s.publish()
	s.record.line("the configuration has the route again, public: %t", trouble)
	time.Sleep(4 * time.Second)
	result := held
	for _, n := range s.nodes {
		if status, _ := s.logged(n, http.MethodGet, "/normal/"+id, nil, 3*time.Second); status == http.StatusGone {
			result = broken
		}
	}
	s.logged(s.nodes[1], http.MethodDelete, "/normal/"+id, nil, 3*time.Second)
	time.Sleep(8 * time.Second)
	s.record.line("%d work items of the job run 8 s after the ack of its cancelling", s.running(id))
	return result
}
