package rig

import (
	"net"
	"net/netip"
	"time"
)

// between carries datagrams from router to router. Each router sees each other one at an address of its own, so that a
// message can be late or lost between the two alone.
type between struct {
	rig   *Rig
	socks [][]*net.UDPConn // [router][peer]: where a router sends to a peer
	home  []netip.AddrPort // where routers listen
}

const maxMessage = 256

func newBetween(r *Rig, routers int) (*between, error) {
	b := &between{rig: r, home: make([]netip.AddrPort, routers)}
	if !r.set.Messages.On {
		return b, nil
	}
	for k := range routers {
		home, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.routersHost+":0")))
		if err != nil {
			return b, err
		}
		defer home.Close() // the router binds it, once all are drawn: no two have the same
		b.home[k] = home.LocalAddr().(*net.UDPAddr).AddrPort()
		b.socks = append(b.socks, make([]*net.UDPConn, routers))
	}
	for k := range routers {
		for peer := range routers {
			s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.host+":0")))
			if err != nil {
				return b, err
			}
			b.socks[k][peer] = s
		}
	}
	for k := range routers {
		for peer := range routers {
			if k != peer {
				r.background(func() { b.carry(k, peer) })
			}
		}
	}
	return b, nil
}

// carry takes what a router sends to a peer and brings it there, late, or not at all.
func (b *between) carry(from, to int) {
	buf := make([]byte, 2*maxMessage)
	for {
		n, _, err := b.socks[from][to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n > maxMessage {
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		b.rig.post(func() {
			for _, after := range b.rig.world.MessageDelays(b.rig.rng, from, to) {
				time.AfterFunc(after, func() {
					b.socks[to][from].WriteToUDPAddrPort(text, b.home[to]) // lost, if the router has gone
				})
			}
		})
	}
}

// peers are the addresses at which a router reaches the others, and where it is to listen; nothing without messages.
func (b *between) peers(router int) (listen string, peers []string) {
	if b.socks == nil {
		return "", nil
	}
	for _, s := range b.socks[router] {
		peers = append(peers, s.LocalAddr().String())
	}
	return b.home[router].String(), peers
}

func (b *between) close() {
	for _, row := range b.socks {
		for _, s := range row {
			if s != nil {
				s.Close()
			}
		}
	}
}
