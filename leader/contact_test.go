package leader

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
)

// TestProcessEndNeedsMoreThanOneEndedConnection guards against tasks that run twice because the network has ended the connection to a
// worker that runs on, and against tasks that wait for the lease of a process that has ended.
func TestProcessEndNeedsMoreThanOneEndedConnection(t *testing.T) {
	refused := fmt.Errorf("dial: %w", os.NewSyscallError("connect", syscall.ECONNREFUSED))
	silent := context.DeadlineExceeded
	cases := []struct {
		name     string
		failures []error
		want     bool
	}{
		{"no failure", nil, false},
		{"one closed connection", []error{io.ErrUnexpectedEOF}, false},
		{"closed, then refused", []error{io.ErrUnexpectedEOF, refused}, true},
		{"closed, then silent", []error{io.EOF, silent}, true},
		{"silent, then refused", []error{silent, refused}, true},
		{"silent all the while", []error{silent, silent, silent}, false},
		{"closed, then an error from the worker", []error{io.EOF, ErrUnhealthy}, false},
		{"closed, an error from the worker, then silent", []error{io.EOF, ErrUnhealthy, silent, silent}, false},
	}
	for _, c := range cases {
		var contact contact
		for _, err := range c.failures {
			contact.recordFailure(err)
		}
		if got := contact.processEnded(); got != c.want {
			t.Errorf("%s: processEnded returned %v", c.name, got)
		}
		contact.recordResponse()
		if contact.processEnded() {
			t.Errorf("%s: a process that has responded since counts as ended", c.name)
		}
	}
	if endedByPeer(errors.New("other")) {
		t.Error("any error counts as an ended connection")
	}
}
