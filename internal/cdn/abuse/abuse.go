// Package abuse plays callers that send what no client, server, operator or process of the network would: heads and bodies that never end,
// messages of any size, and calls whose answers nobody reads. It shows whether the processes keep within their memory.
package abuse

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cedarmast/internal/cdn/localnet"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 200 * time.Millisecond // for a process that does not read
	redialPause  = 20 * time.Millisecond
)

// Attack is one kind of abuse of a port.
type Attack struct {
	Name string
	// Addresses returns the addresses on a machine that are attacked; none if the machine has no such port.
	Addresses func(m *localnet.Machine) []string
	// Send sends on one connection until it fails, or there is no more to send. The connection is held open afterwards.
	Send func(conn net.Conn, rng *rand.Rand)
	// SpeaksAsPeer means that some of what is sent is understood as another process's, server's or operator's, and changes what the network
	// holds.
	SpeaksAsPeer bool
}

// Run plays an attack on a machine from so many connections at once, until the context ends. Connections that the process closes are
// opened anew.
func (a Attack) Run(ctx context.Context, m *localnet.Machine, connections int, seed uint64) {
	addresses := a.Addresses(m)
	if len(addresses) == 0 {
		return
	}
	var callers sync.WaitGroup
	for i := range connections {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go(func() {
			for ctx.Err() == nil {
				a.call(ctx, addresses[i%len(addresses)], rng)
				pause(ctx, redialPause)
			}
		})
	}
	callers.Wait()
}

// call opens one connection, sends on it, and holds it until the process closes it or the context ends.
func (a Attack) call(ctx context.Context, address string, rng *rand.Rand) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	a.Send(conn, rng)
	waitForClose(ctx, conn)
}

// waitForClose waits until the process has closed the connection. It reads nothing, so that answers stay unread.
func waitForClose(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(nil); err != nil || isClosed(conn) {
			return
		}
		pause(ctx, writeTimeout)
	}
}

// write writes with a timeout, and reports whether the connection took all.
func write(conn net.Conn, data []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(data)
	return err == nil
}

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
