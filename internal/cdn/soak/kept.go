package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"cedarmast/internal/cdn/localnet"
)

// What clients do with their keys.
const (
	oldKeyPart    = 0.05 // of the requests bear a key that was taken away
	strayKeyPart  = 0.02 // one that refused configurations alone held
	unknownPart   = 0.01 // one that no configuration held
	noKeyPart     = 0.01 // none
	forgedPart    = 0.1  // name a tenant themselves
	keptPauseMost = 60 * time.Millisecond
	keyOutlived   = 2 * time.Second // past `revoke`, for which a client goes on with a key that was taken away
	forgedSender  = "somebody-else"
)

// drawKey draws the key of a client that has none of its own: mostly one of the newest configuration.
func (d *day) drawKey(rng *rand.Rand) string {
	pick := func(keys []string) string {
		if len(keys) == 0 {
			return ""
		}
		return keys[rng.IntN(len(keys))]
	}
	switch p := rng.Float64(); {
	case p < noKeyPart:
		return ""
	case p < noKeyPart+unknownPart:
		return fmt.Sprint("nobody's-key-", rng.IntN(100))
	case p < noKeyPart+unknownPart+strayKeyPart:
		return pick(d.operators.history.strayKeys())
	case p < noKeyPart+unknownPart+strayKeyPart+oldKeyPart:
		return pick(d.operators.history.hadKeys())
	}
	return d.liveKey(rng)
}

// liveKey draws a key of the newest acknowledged configuration.
func (d *day) liveKey(rng *rand.Rand) string {
	return pickKey(d.operators.history.newest().keys, rng)
}

func pickKey(table keyTable, rng *rand.Rand) string {
	keys := slices.Sorted(maps.Keys(table))
	return keys[rng.IntN(len(keys))]
}

// keptClient is a client with a key and a connection of its own, over which it asks again and again until the process at the other end is gone;
// then it opens the next one. It goes on with its key for a while after that was taken away.
type keptClient struct {
	day     *day
	n       int
	edge    *localnet.Machine
	rng     *rand.Rand
	key     string
	goneFor time.Time // since when its key is in no newest configuration; zero: it is

	conn net.Conn // nil: none is open
	in   *bufio.Reader
}

// keep plays one client with a kept connection until the context ends.
func (d *day) keep(ctx context.Context, n int) {
	edges := d.net.EdgeMachines()
	c := &keptClient{day: d, n: n, edge: edges[n%len(edges)], rng: rand.New(rand.NewPCG(d.Seed, uint64(5000+n)))}
	c.key = d.liveKey(c.rng)
	defer c.close()
	for turn := 0; ctx.Err() == nil; turn++ {
		c.renewKey()
		if c.conn == nil && !c.open() {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.ask(turn)
		sleep(ctx, time.Duration(c.rng.Int64N(int64(keptPauseMost))))
	}
}

// renewKey gives the client another key once its own is gone for long.
func (c *keptClient) renewKey() {
	switch held := c.day.operators.history.newest().keys[c.key] != ""; {
	case held:
		c.goneFor = time.Time{}
	case c.goneFor.IsZero():
		c.goneFor = time.Now()
	case time.Since(c.goneFor) > c.day.Shape.Revoke+keyOutlived:
		c.key, c.goneFor = c.day.liveKey(c.rng), time.Time{}
	}
}

func (c *keptClient) open() bool {
	conn, err := net.DialTimeout("tcp", c.edge.Client(), dialWithin)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *keptClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends one request over the kept connection and waits for its whole answer.
func (c *keptClient) ask(turn int) {
	k := kinds[c.rng.IntN(len(kinds))]
	path := fmt.Sprintf("/%s/kept-%d-%d", k.name, c.n, turn)
	if k.shared > 0 {
		path = fmt.Sprintf("/%s/kept-%d", k.name, c.rng.IntN(k.shared))
	}
	a := &ask{id: fmt.Sprintf("%d-kept-%d-%d", c.day.Seed, c.n, turn), path: path, kind: k, edge: c.edge.Name, key: c.key, kept: true}
	if c.rng.Float64() < forgedPart {
		a.forged = forgedSender
	}
	c.day.book.asked(a)
	defer c.day.book.over(a)
	c.conn.SetDeadline(time.Now().Add(answerWithin))
	if _, err := c.conn.Write(a.request()); err != nil {
		a.cut = true
		c.close()
		return
	}
	closes, err := c.readAnswer(a)
	a.cut = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil || closes {
		c.close()
	}
}

// readAnswer reads one whole answer; closes tells that the connection ends with it.
func (c *keptClient) readAnswer(a *ask) (closes bool, err error) {
	for {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return true, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return true, err
		}
		a.status, a.unstamped = resp.StatusCode, isUnstamped(resp)
		return resp.Close, nil
	}
}
