package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReusePort listens with SO_REUSEPORT: another process of the same user that sets it as well may listen on the same address, so that a
// router's new process can take over from the old one.
var ReusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}}
