package localnet

import (
	"fmt"
	"net"
)

// The range of subnets from which a network without a given subnet takes the first free one.
const (
	firstAutoSubnet byte = 100
	lastAutoSubnet  byte = 250
)

const (
	claimHost = 255   // a host number that no machine or server uses
	claimPort = 65001 // outside the range of ephemeral ports
)

// ClaimSubnet reserves the addresses 127.0.subnet.x for one network, exclusively among all processes of this machine, until the
// returned listener is closed. Subnet 0 reserves the first free one.
func ClaimSubnet(subnet byte) (byte, net.Listener, error) {
	first, last := subnet, subnet
	if subnet == 0 {
		first, last = firstAutoSubnet, lastAutoSubnet
	}
	var err error
	for subnet := first; subnet <= last; subnet++ {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", subnet, claimHost, claimPort)); err == nil {
			return subnet, l, nil
		}
	}
	return 0, nil, Error.New("no addresses are free for this network: %w", err)
}
