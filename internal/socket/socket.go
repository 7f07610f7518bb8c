// Package socket asks the system what it holds of a connection, without taking anything.
package socket

import (
	"net"
	"syscall"
)

// State is what the system holds of a connection that its reader has not been given yet.
type State int

// The states.
const (
	Unknown State = iota // not a socket
	Quiet                // nothing
	Unread               // bytes
	Closed               // the peer's close, or an error
)

// Peek asks the system. It takes nothing and does not wait, also while the connection's reader does.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Quiet
		case err == nil && n > 0:
			state = Unread
		}
	})
	return state
}
