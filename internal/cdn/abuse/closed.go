package abuse

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClosed reports whether the other side has closed a connection, without reading from it.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(poll, 0); err == nil && n > 0 {
			closed = poll[0].Revents&(unix.POLLRDHUP|unix.POLLERR|unix.POLLHUP) != 0
		}
	})
	return closed || err != nil
}
