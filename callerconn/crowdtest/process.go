package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the interval at which the open descriptors of a process are counted.
const sampleInterval = 20 * time.Millisecond

// Process observes a running process through /proc.
type Process struct {
	pid  int
	stop chan struct{}
	done chan struct{}

	mu sync.Mutex
	// maxDescriptors is the largest number of open descriptors that was counted.
	maxDescriptors int
}

// Watch counts the open descriptors of the process until the test ends.
func Watch(t *testing.T, pid int) *Process {
	t.Helper()
	p := &Process{pid: pid, stop: make(chan struct{}), done: make(chan struct{})}
	go p.sample()
	t.Cleanup(func() {
		close(p.stop)
		<-p.done
	})
	return p
}

func (p *Process) sample() {
	defer close(p.done)
	for {
		// The process may have ended, which Check reports.
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, len(entries))
		p.mu.Unlock()
		select {
		case <-p.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// Check fails the test unless the process lives, and its peak resident memory in MB and its open descriptors have stayed
// under the bounds. It logs both.
func (p *Process) Check(t *testing.T, what string, memoryMB, descriptors int) {
	t.Helper()
	peak, err := p.peakMemory()
	if err != nil {
		t.Fatalf("%s: the process does not live: %v", what, err)
	}
	p.mu.Lock()
	open := p.maxDescriptors
	p.mu.Unlock()
	t.Logf("%s: peak resident memory %.1f MB of %d, %d descriptors of %d", what, peak, memoryMB, open, descriptors)
	if peak >= float64(memoryMB) {
		t.Errorf("%s: peak resident memory %.1f MB, want less than %d", what, peak, memoryMB)
	}
	if open >= descriptors {
		t.Errorf("%s: %d open descriptors, want less than %d", what, open, descriptors)
	}
}

// peakMemory returns the peak resident memory of the process in MB. A process that has ended and was not waited for has
// none.
func (p *Process) peakMemory() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", p.pid)
}
