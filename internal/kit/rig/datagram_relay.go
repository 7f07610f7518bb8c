package rig

import (
	"net"
	"net/netip"
	"time"
)

// datagramRelay forwards datagrams from router to router. Each router reaches each peer at a separate address, so that a message
// can be delayed or lost on one link only.
type datagramRelay struct {
	rig         *Rig
	sockets     [][]*net.UDPConn // [router][peer]: the socket that a router sends to for a peer
	listenAddrs []netip.AddrPort // by router: where it listens
}

const maxDatagramBytes = 256

func newDatagramRelay(r *Rig, routers int) (*datagramRelay, error) {
	b := &datagramRelay{rig: r, listenAddrs: make([]netip.AddrPort, routers)}
	if !r.scenario.Messages.On {
		return b, nil
	}
	for k := range routers {
		listener, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.routersHost+":0")))
		if err != nil {
			return b, err
		}
		defer listener.Close() // the router binds the port later; open until all are drawn so that all differ
		b.listenAddrs[k] = listener.LocalAddr().(*net.UDPAddr).AddrPort()
		b.sockets = append(b.sockets, make([]*net.UDPConn, routers))
	}
	for k := range routers {
		for peer := range routers {
			socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.host+":0")))
			if err != nil {
				return b, err
			}
			b.sockets[k][peer] = socket
		}
	}
	for k := range routers {
		for peer := range routers {
			if k != peer {
				r.background(func() { b.forward(k, peer) })
			}
		}
	}
	return b, nil
}

// forward forwards what a router sends to a peer, after the delays that the model gives, or drops it.
func (b *datagramRelay) forward(from, to int) {
	buf := make([]byte, 2*maxDatagramBytes)
	for {
		n, _, err := b.sockets[from][to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n > maxDatagramBytes {
			continue
		}
		message := append([]byte(nil), buf[:n]...)
		b.rig.post(func() {
			for _, delay := range b.rig.world.MessageDelays(b.rig.rng, from, to) {
				time.AfterFunc(delay, func() {
					b.sockets[to][from].WriteToUDPAddrPort(message, b.listenAddrs[to]) // lost if the router is not running
				})
			}
		})
	}
}

// peers returns the address at which a router listens and those at which it reaches its peers; both empty when messages are off.
func (b *datagramRelay) peers(router int) (listen string, peers []string) {
	if b.sockets == nil {
		return "", nil
	}
	for _, s := range b.sockets[router] {
		peers = append(peers, s.LocalAddr().String())
	}
	return b.listenAddrs[router].String(), peers
}

func (b *datagramRelay) close() {
	for _, row := range b.sockets {
		for _, s := range row {
			if s != nil {
				s.Close()
			}
		}
	}
}
