package endpoint

import (
	"net"
	"syscall"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT of linux/tcp.h; package syscall lacks it.
const tcpUserTimeout = 0x12

// setUserTimeout closes the connection when sent data stays unacknowledged for ms milliseconds.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedBound.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// quiet reports whether an idle connection is open and has nothing to read. Data or an end of stream on an idle
// connection belongs to no exchange of ours. Connections that are not sockets count as quiet.
func quiet(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}
