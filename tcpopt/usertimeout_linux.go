package tcpopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h, which package syscall does not define.
const tcpUserTimeout = 0x12

// UserTimeout returns a net.Dialer.Control function that makes the kernel close the connection when sent data stays
// unacknowledged for timeout, with a resolution of milliseconds.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
