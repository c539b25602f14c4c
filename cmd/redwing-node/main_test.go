package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// processVariable is the environment variable that makes the test binary run the program instead of the tests.
const processVariable = "REDWING_NODE_TEST_PROCESS"

// startupTime is enough for the test binary to start and to open its settings file.
const startupTime = 500 * time.Millisecond

// TestMain runs the program instead of the tests if processVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestReloadSignalDuringStart guards against a process that is killed by a SIGHUP which arrives before the settings are
// read. The settings file is a named pipe, so that the process blocks in the middle of its start.
func TestReloadSignalDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), processVariable+"=1", "REDWINGTHREAD_BOOT="+path)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startupTime)
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startupTime)
	// The process exits by itself once it has read settings without any field.
	finishSettings(t, path)
	_ = process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || status.Signaled() {
		t.Fatalf("the process did not exit by itself: %v", process.ProcessState)
	}
}

// finishSettings writes an empty line to the named pipe and closes it, so that its reader sees the end of the file.
// Opening the pipe for reading and writing does not block if there is no reader.
func finishSettings(t *testing.T, path string) {
	t.Helper()
	pipe, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString("\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startupTime)
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
}
