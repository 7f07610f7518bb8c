package wire

import (
	"net"
	"syscall"
)

// socketState is what the system holds of a connection that its reader has not been given yet.
type socketState int

const (
	unknown socketState = iota // not a socket
	quiet                      // nothing
	unread                     // bytes
	closed                     // the peer's close, or an error
)

// peek asks the system. It takes nothing and does not wait, also while the connection's reader does.
func peek(c net.Conn) socketState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	state := closed
	raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = quiet
		case err == nil && n > 0:
			state = unread
		}
	})
	return state
}
