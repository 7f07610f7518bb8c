// Package socket inspects connections in the kernel without reading from them, and listens on addresses shared between processes.
package socket

import (
	"net"
	"syscall"
)

// State describes what the kernel holds for a connection that has not been read yet.
type State int

// The states of a connection.
const (
	Unknown State = iota // not a socket
	Idle                 // nothing to read
	Unread               // unread bytes
	Closed               // closed by the peer, or an error
)

// Peek returns the state of a connection. It consumes no data and does not block, even while another goroutine blocks in Read.
func Peek(c net.Conn) State {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	rawConn.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Unread
		}
	})
	return state
}
