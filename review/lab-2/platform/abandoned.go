package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["abandoned"] = playAbandoned }

// The disruption platform_lost as the site files have it: for 4.5 s, 0.35 of the writes get no answer and are done 1 to 6 s later; and
// give_up: clients leave within half of their objective, which is 250 ms for this queue.
const (
	lostTime  = 4500 * time.Millisecond
	lostShare = 0.35
	lateBy    = 5 * time.Second
	leaveAt   = 110 * time.Millisecond
	// lostWrites is the number of writes of the submission that are lost: the first ones that the node sends.
	lostWrites = 2
	// cancelBound and stopBound are cancel_ms and stop_timeout_ms, contactWindow is contact_window_ms.
	cancelBound   = 3 * time.Second
	stopBound     = 900 * time.Millisecond
	contactWindow = 3 * time.Second
	abandonedWork = 30 * time.Second
)

// lostCount counts the writes during the disruption.
type lostCount struct {
	mu           sync.Mutex
	writes, lost int
}

// playAbandoned lets a client hand in a job, leave before the answer, and cancel the job at another node. The cancelling is
// acknowledged; the job must not run on after that.
func playAbandoned(s *system, trouble bool) int {
	if !s.addMinions(6, amount{32000, 65536, 8}) || !s.setUp(3, 284) {
		return notRun
	}
	const id = "00000000000aba9d"
	demand := amount{2000, 2000, 1}
	s.prepare(id, work{demand: demand, duration: abandonedWork})
	stopTraffic := s.ordinaryTraffic()
	defer stopTraffic()
	var count lostCount
	began := time.Now()
	if trouble {
		s.record.line("trouble: some writes to the store get no answer and are done %s later", lateBy)
		s.loseWrites(id, &count)
	}
	time.Sleep(lostTime - 600*time.Millisecond)
	holder := s.holder()
	if holder == nil {
		return notRun
	}
	first := s.other(holder)
	second := s.third(holder, first)
	go s.logged(first, http.MethodPost, "/urgent/"+id, submission(1, demand, abandonedWork, nil), leaveAt)
	time.Sleep(leaveAt + 10*time.Millisecond)
	status, _ := s.logged(second, http.MethodDelete, "/urgent/"+id, nil, 3*time.Second)
	cancelledAt := time.Now()
	time.Sleep(time.Until(began.Add(lostTime)))
	s.store.mu.Lock()
	s.store.lose = nil
	s.store.mu.Unlock()
	ended := time.Now()
	s.record.line("end of trouble: %d of %d writes were lost", count.lost, count.writes)
	if status/100 != 2 && status != http.StatusGone || float64(count.lost) > lostShare*float64(count.writes) {
		s.record.line("the cancelling was not acknowledged, or too many writes were lost")
		return notRun
	}
	// From here on, the work item may not run: cancel_ms and stop_timeout_ms after the ack, and with no disruption near.
	from := cancelledAt.Add(cancelBound + stopBound)
	if calm := ended.Add(contactWindow + time.Second); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from))
	running := s.running(id)
	s.record.line("%d work items of the cancelled job run %s after the ack of its cancelling", running, time.Since(cancelledAt).Round(time.Millisecond))
	s.logged(second, http.MethodGet, "/urgent/"+id, nil, 3*time.Second)
	time.Sleep(2 * time.Second)
	s.record.line("%d work items of it run 2 s later", s.running(id))
	if running > 0 && s.running(id) > 0 {
		return broken
	}
	return held
}

// loseWrites loses the first writes that carry the submission of the job.
func (s *system) loseWrites(id string, count *lostCount) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	mine := 0
	s.store.lose = func(_ string, records [][]byte) (time.Duration, bool) {
		count.mu.Lock()
		defer count.mu.Unlock()
		count.writes++
		for _, content := range records {
			if bytes.Contains(content, []byte("s/"+id)) && mine < lostWrites {
				mine++
				count.lost++
				s.record.line("store: a write with the submission gets no answer")
				return lateBy, true
			}
		}
		return 0, false
	}
}

// ordinaryTraffic hands in small jobs, 3 a second, until the function that it returns is called.
func (s *system) ordinaryTraffic() (stop func()) {
	done := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(330 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0x7700000+i)
			demand := amount{2000, 2000, 1}
			s.prepare(id, work{demand: demand, duration: time.Second})
			if status, text := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, "/normal/"+id, submission(1, demand, time.Second, nil), 3*time.Second); status != http.StatusOK {
				s.record.line("an ordinary job got %d %s", status, strings.TrimSpace(text))
			}
		}
	}()
	return func() { close(done) }
}
