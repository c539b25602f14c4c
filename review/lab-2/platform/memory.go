package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// memoryCheck is the time between two looks at the memory of the processes, restartPause the time after which the platform starts a
	// process again that it has killed.
	memoryCheck  = 50 * time.Millisecond
	restartPause = time.Second
)

// warden does what the platform does with memory: a process that exceeds its memory_mb is killed, and started again after a short
// delay. Only anonymous memory counts here, which leaves out the program file.
type warden struct {
	mu    sync.Mutex
	kills map[string]int
	peak  map[string]int
}

func (s *system) guardMemory() *warden {
	w := &warden{kills: map[string]int{}, peak: map[string]int{}}
	for _, n := range s.nodes {
		go func() {
			for range time.Tick(memoryCheck) {
				used := n.anonymousMB()
				w.mu.Lock()
				w.peak[n.name] = max(w.peak[n.name], used)
				w.mu.Unlock()
				if used <= n.memoryMB {
					continue
				}
				s.record.line("node %s uses %d MB of anonymous memory, more than its memory_mb of %d", n.name, used, n.memoryMB)
				w.mu.Lock()
				w.kills[n.name]++
				w.mu.Unlock()
				n.mu.Lock()
				exited := n.exited
				n.mu.Unlock()
				s.signal(n, syscall.SIGKILL)
				<-exited
				time.Sleep(restartPause)
				if err := s.start(n); err != nil {
					s.record.line("%v", err)
				}
			}
		}()
	}
	return w
}

// report writes the peaks and the kills to the record, and returns the number of nodes that were killed at least three times.
func (w *warden) report(s *system) (often int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range s.nodes {
		s.record.line("node %s: at most %d MB of %d, killed %d times", n.name, w.peak[n.name], n.memoryMB, w.kills[n.name])
		if w.kills[n.name] >= 3 {
			often++
		}
	}
	return often
}
