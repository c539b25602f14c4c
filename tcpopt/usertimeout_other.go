//go:build !linux

package tcpopt

import (
	"syscall"
	"time"
)

// UserTimeout returns a function that does nothing, because only Linux has TCP_USER_TIMEOUT.
func UserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, _ syscall.RawConn) error { return nil }
}
