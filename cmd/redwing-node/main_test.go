package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// processVariable makes the test binary run the program instead of the tests.
const processVariable = "REDWING_NODE_TEST_PROCESS"

// startup is enough time for the test binary to reach the reading of its settings.
const startup = 500 * time.Millisecond

// TestMain runs the program if the test binary was started as one.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestReloadSignalDuringStart guards against a process that ends because a reload is asked for before it has read its settings.
// The settings are a pipe, so that the process waits in the middle of its start.
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
	time.Sleep(startup)
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startup)
	// The process ends by itself once it reads settings that lack everything.
	finishSettings(t, path)
	_ = process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || status.Signaled() {
		t.Fatalf("the process ended by %v", process.ProcessState)
	}
}

// finishSettings ends the pipe's content. Opened for both directions, the pipe does not block when nobody reads.
func finishSettings(t *testing.T, path string) {
	t.Helper()
	pipe, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString("\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startup)
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
}
