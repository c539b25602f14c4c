package tcpopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT of linux/tcp.h; package syscall lacks it.
const tcpUserTimeout = 0x12

// UserTimeout returns a net.Dialer.Control function that closes the connection when sent data stays unacknowledged for
// bound.
func UserTimeout(bound time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
