package rig

import (
	"net"
	"testing"
)

// TestHomesAreFreeForTheirRouters guards against routers that can't start: the rig drew their ports, gave them back and then
// drew some hundred others at the same address, one of which took a router's home in every second start of 24.
func TestHomesAreFreeForTheirRouters(t *testing.T) {
	const routers = 24
	r := testRig(t)
	for range 40 {
		b, err := newBetween(r, routers)
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

// TestRunsSideBySideHaveTheirOwnHosts guards against days that are played side by side in one process and take one another's ports, as
// between the moment in which a rig gives a router's back and the router's start.
func TestRunsSideBySideHaveTheirOwnHosts(t *testing.T) {
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
