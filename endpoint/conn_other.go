//go:build !linux

package endpoint

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// quiet cannot look into a connection here; a stale one shows in its next exchange.
func quiet(net.Conn) bool { return true }
