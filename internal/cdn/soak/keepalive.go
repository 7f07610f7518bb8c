package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"cedarmast/internal/boundedhttp"
	"cedarmast/internal/cdn/localnet"
)

// How clients choose and use their keys.
const (
	removedKeyFraction   = 0.05 // of the requests carry a key that was removed
	refusedKeyFraction   = 0.02 // a key that only refused configurations held
	unknownKeyFraction   = 0.01 // a key that no configuration held
	noKeyFraction        = 0.01 // no key
	forgedTenantFraction = 0.1  // set the Sender header themselves
	maxKeepAlivePause    = 60 * time.Millisecond
	maxIdlePause         = 1500 * time.Millisecond // of an idler
	removedKeyUse        = 2 * time.Second         // how long after `revoke` a client still uses a removed key
	forgedTenantName     = "somebody-else"
)

// drawKey draws the key for one request of a client without a key of its own: mostly one of the newest configuration.
func (s *soakRun) drawKey(rng *rand.Rand) string {
	pick := func(keys []string) string {
		if len(keys) == 0 {
			return ""
		}
		return keys[rng.IntN(len(keys))]
	}
	switch p := rng.Float64(); {
	case p < noKeyFraction:
		return ""
	case p < noKeyFraction+unknownKeyFraction:
		return fmt.Sprint("nobody's-key-", rng.IntN(100))
	case p < noKeyFraction+unknownKeyFraction+refusedKeyFraction:
		return pick(s.operators.history.keysOnlyInRefused())
	case p < noKeyFraction+unknownKeyFraction+refusedKeyFraction+removedKeyFraction:
		return pick(s.operators.history.removedKeys())
	}
	return s.liveKey(rng)
}

// liveKey draws a key of the newest acknowledged configuration.
func (s *soakRun) liveKey(rng *rand.Rand) string {
	return pickKey(s.operators.history.newest().keys, rng)
}

// pickKey draws a key of a table, which must not be empty.
func pickKey(table keyTable, rng *rand.Rand) string {
	keys := slices.Sorted(maps.Keys(table))
	return keys[rng.IntN(len(keys))]
}

// connectionUse is how a client uses its keep-alive connection.
type connectionUse int

const (
	steady  connectionUse = iota // one request soon after the other
	idler                        // with long pauses, so that its proxy often shuts down while the connection is idle
	insists                      // sends on the connection even after an answer has announced its end, until it is closed
	connectionUses
)

// keepAliveClient is a client with its own key and keep-alive connection. It sends one request after the other until the connection
// ends, and then opens the next one, for as long as its proxy's process accepts one. It continues to use its key for a while after that was
// removed.
type keepAliveClient struct {
	soakRun      *soakRun
	n            int
	use          connectionUse
	edge         *localnet.Machine
	rng          *rand.Rand
	key          string
	removedSince time.Time // when the client saw that the newest configuration lacks its key; zero: it holds it

	conn   net.Conn // nil: not connected
	reader *boundedhttp.Reader
}

// runKeepAliveClient runs client number n with a keep-alive connection until the context ends.
func (s *soakRun) runKeepAliveClient(ctx context.Context, n int) {
	edges := s.net.EdgeMachines()
	c := &keepAliveClient{soakRun: s, n: n, use: connectionUse((n + n/len(edges)) % int(connectionUses)), edge: edges[n%len(edges)], rng: rand.New(rand.NewPCG(s.Seed, uint64(5000+n)))}
	c.key = s.liveKey(c.rng)
	defer c.close()
	for turn := 0; ctx.Err() == nil; turn++ {
		c.renewKey()
		if c.conn == nil && !c.open() {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.sendRequest(turn)
		pause := maxKeepAlivePause
		if c.use == idler {
			pause = maxIdlePause
		}
		sleep(ctx, time.Duration(c.rng.Int64N(int64(pause))))
	}
}

// renewKey replaces the client's key once that has been removed for `revoke` and removedKeyUse.
func (c *keepAliveClient) renewKey() {
	switch held := c.soakRun.operators.history.newest().keys[c.key] != ""; {
	case held:
		c.removedSince = time.Time{}
	case c.removedSince.IsZero():
		c.removedSince = time.Now()
	case time.Since(c.removedSince) > c.soakRun.Shape.Revoke+removedKeyUse:
		c.key, c.removedSince = c.soakRun.liveKey(c.rng), time.Time{}
	}
}

// open connects to the client's edge, and reports whether that succeeded.
func (c *keepAliveClient) open() bool {
	conn, err := net.DialTimeout("tcp", c.edge.ClientAddress(), dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, boundedhttp.NewReader(conn, answerLimits)
	return true
}

func (c *keepAliveClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// sendRequest sends one request over the keep-alive connection and waits for its complete answer.
func (c *keepAliveClient) sendRequest(turn int) {
	kind := requestKinds[c.rng.IntN(len(requestKinds))]
	path := fmt.Sprintf("/%s/kept-%d-%d", kind.name, c.n, turn)
	if kind.shared > 0 {
		path = fmt.Sprintf("/%s/kept-%d", kind.name, c.rng.IntN(kind.shared))
	}
	req := &request{id: fmt.Sprintf("%d-kept-%d-%d", c.soakRun.Seed, c.n, turn), path: path, kind: kind, edge: c.edge.Name, key: c.key, keepAlive: true}
	if c.rng.Float64() < forgedTenantFraction {
		req.forgedTenant = forgedTenantName
	}
	c.soakRun.recorder.requestStarted(req)
	defer c.soakRun.recorder.requestEnded(req)
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.conn.Write(req.encode()); err != nil {
		req.incomplete = true
		c.close()
		return
	}
	closed, err := req.readAnswer(c.reader)
	req.incomplete = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil || closed && c.use != insists {
		c.close()
	}
}
