package rig

import (
	"net"
	"testing"
)

// TestRouterPortsStayFree guards against routers that can't start because their port is taken: the rig drew the routers'
// ports, released them and then drew some hundred others at the same address, which took a router's port in every second start of 24.
func TestRouterPortsStayFree(t *testing.T) {
	const routers = 24
	r := testRig(t)
	for range 40 {
		b, err := newDatagramRelay(r, routers)
		if err != nil {
			t.Fatal(err)
		}
		var bound []net.PacketConn
		for k := range routers {
			listen, peers := b.peers(k)
			c, err := net.ListenPacket("udp4", listen)
			if err != nil {
				t.Errorf("router %d: %v", k, err)
				continue
			}
			bound = append(bound, c)
			if len(peers) != routers {
				t.Errorf("router %d has %d peers", k, len(peers))
			}
		}
		for _, c := range bound {
			c.Close()
		}
		if b.close(); t.Failed() {
			return
		}
	}
}

// TestConcurrentRunsClaimDistinctHosts guards against concurrent runs in one process that take each other's ports, as in the time
// between a rig's release of a router's port and the router's start.
func TestConcurrentRunsClaimDistinctHosts(t *testing.T) {
	seen := map[string]bool{}
	for range 5 {
		host, routers, giveBack, err := claimHosts()
		if err != nil {
			t.Fatal(err)
		}
		defer giveBack()
		if seen[host] || seen[routers] || host == routers {
			t.Errorf("%s and %s are another run's", host, routers)
		}
		seen[host], seen[routers] = true, true
	}
}
