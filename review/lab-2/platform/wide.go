package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["wide"] = playWide }

const (
	// wideJobs large jobs come at once, wideRate a second, each with wideCount work items of a thousandth of a core and 1 MB.
	wideJobs  = 22
	wideRate  = 5
	wideCount = 4000
	wideWork  = 60 * time.Second
	wideWatch = 50 * time.Second
	// wideRoundTrip is that between two zones of the site: 0.9 ms one way.
	wideRoundTrip = 1800 * time.Microsecond
)

// playWide hands in a burst of large jobs of small work items, all of which the minions have room for, and watches the memory of the
// nodes. Without the disruption, the same jobs have one work item each.
func playWide(s *system, trouble bool) int {
	s.fleet.quiet, s.fleet.roundTrip = true, wideRoundTrip
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, smallMemoryMB) {
		return notRun
	}
	guard := s.guardMemory()
	until := time.Now().Add(wideWatch)
	count := 1
	if trouble {
		count = wideCount
	}
	go func() {
		for i := range wideJobs {
			id := fmt.Sprintf("%016x", 0xabc0000+i)
			demand := amount{1, 1, 0}
			s.prepare(id, work{demand: demand, duration: wideWork})
			s.logged(s.nodes[i%3], http.MethodPost, "/normal/"+id, submission(count, demand, wideWork, nil), 3*time.Second)
			time.Sleep(time.Second / wideRate)
		}
	}()
	return s.watchCrowd(guard, until)
}
