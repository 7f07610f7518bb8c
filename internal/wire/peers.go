package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"cedarmast/internal/exchange"
	"cedarmast/internal/socket"
)

// maxDatagram is the size limit of a message between routers, in bytes.
const maxDatagram = 256

// Peers sends and receives UDP messages between routers. Messages may be lost.
type Peers struct {
	OnMessage func(from int, content []byte) // called for each message received; from is the peer's number
	Counters  *exchange.Counters

	conn    *net.UDPConn
	peers   []netip.AddrPort       // by number
	numbers map[netip.AddrPort]int // a peer's number by its address
	queue   chan datagram          // to be sent
	done    chan struct{}          // closed when Run returns
}

// datagram is a message to be sent.
type datagram struct {
	to      netip.AddrPort
	content []byte
}

// ListenPeers opens the UDP socket at listen. peers are the addresses of all routers, including this one, by number.
func ListenPeers(listen string, peers []string) (*Peers, error) {
	p := &Peers{numbers: map[netip.AddrPort]int{}, queue: make(chan datagram, 256),
		done: make(chan struct{})}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.peers = append(p.peers, addr)
		p.numbers[addr] = i
	}
	listenAddr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := socket.ReusePort.ListenPacket(context.Background(), "udp", listenAddr.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn = conn.(*net.UDPConn)
	return p, nil
}

// Run receives and sends messages until Close. Messages from unknown addresses are dropped.
func (p *Peers) Run() {
	defer close(p.done)
	go p.send()
	buf := make([]byte, 2*maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number, known := p.numbers[from]
		if err != nil || n > maxDatagram || !known {
			p.Counters.PeerMessagesDropped.Add(1)
			continue
		}
		p.Counters.PeerMessagesReceived.Add(1)
		p.OnMessage(number, append([]byte(nil), buf[:n]...))
	}
}

// send writes queued messages until Run returns.
func (p *Peers) send() {
	for {
		select {
		case d := <-p.queue:
			if _, err := p.conn.WriteToUDPAddrPort(d.content, d.to); err != nil {
				p.Counters.PeerMessagesDropped.Add(1)
				continue
			}
			p.Counters.PeerMessagesSent.Add(1)
		case <-p.done:
			return
		}
	}
}

// SendMessage queues a message to the peer with number to. It is dropped if it is too long, the peer is unknown or the queue is full.
func (p *Peers) SendMessage(to int, content []byte) {
	if to < 0 || to >= len(p.peers) || len(content) > maxDatagram {
		p.Counters.PeerMessagesDropped.Add(1)
		return
	}
	select {
	case p.queue <- datagram{p.peers[to], content}:
	default:
		p.Counters.PeerMessagesDropped.Add(1)
	}
}

// Close closes the socket, which ends Run.
func (p *Peers) Close() error { return p.conn.Close() }
