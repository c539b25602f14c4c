package endpoint

import (
	"net"
	"syscall"
)

// isIntact reports whether an idle connection is open and has no data to read. Data or an end of stream on an idle
// connection does not belong to any exchange, so such a connection must not be reused. Connections that are not sockets
// count as intact.
func isIntact(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	intact := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		intact = err == syscall.EAGAIN
		return true
	})
	return err == nil && intact
}
