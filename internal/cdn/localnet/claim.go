package localnet

import (
	"fmt"
	"net"
)

// Networks that nobody names are at the first free one of these.
const (
	firstFree byte = 100
	lastFree  byte = 250
)

const (
	claimHost = 255   // none that a machine or a server has
	claimPort = 65001 // none that the system draws
)

// claim takes the addresses 127.0.at.x for one network alone, of this process or any other, until the listener is closed. 0 takes the first free
// ones.
func claim(at byte) (byte, net.Listener, error) {
	first, last := at, at
	if at == 0 {
		first, last = firstFree, lastFree
	}
	var err error
	for at := first; at <= last; at++ {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", at, claimHost, claimPort)); err == nil {
			return at, l, nil
		}
	}
	return 0, nil, Error.New("no addresses are free for this network: %w", err)
}
