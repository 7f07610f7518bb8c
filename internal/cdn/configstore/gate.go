package configstore

import (
	"net"
	"sync/atomic"
)

// gate is a listener that closes each connection at once until it is opened. A config store takes its address before it opens its journal,
// so that no process that still runs there writes the same journal; meanwhile callers are refused without delay.
type gate struct {
	net.Listener
	opened atomic.Bool
}

// open lets connections through from now on.
func (g *gate) open() { g.opened.Store(true) }

// Accept returns the next connection that arrives after the gate was opened.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil || g.opened.Load() {
			return conn, err
		}
		conn.Close()
	}
}
