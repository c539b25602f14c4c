package endpoint

import (
	"net"
	"syscall"
)

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
