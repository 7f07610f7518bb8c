package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Shared listens at addresses that another process of the same user may listen at too, if it says so as well: of two
// processes of one router, one replaces the other.
var Shared = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}
