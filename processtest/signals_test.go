package processtest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// stopDeadline bounds the time until the kernel has stopped all threads of a process.
const stopDeadline = 5 * time.Second

// stopProcess sends SIGSTOP and waits until the kernel shows every thread of the process as stopped: on a busy machine a
// process still handles requests for a moment after the signal was sent.
func stopProcess(t *testing.T, process *os.Process) {
	t.Helper()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < stopDeadline; time.Sleep(time.Millisecond) {
		if allThreadsStopped(process.Pid) {
			return
		}
	}
	t.Fatalf("process %d is still running %s after SIGSTOP", process.Pid, stopDeadline)
}

// allThreadsStopped reports whether the kernel shows all threads of a process in state T. The state follows the name in
// the thread's stat file; the name is in parentheses and may contain any character.
func allThreadsStopped(pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		_, state, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" "))
		if !bytes.HasPrefix(state, []byte("T")) {
			return false
		}
	}
	return true
}
