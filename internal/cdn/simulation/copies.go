package simulation

import (
	"fmt"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
)

const (
	copyCount   = 2
	holdFor     = 200 * time.Millisecond
	newsWithin  = 850 * time.Millisecond
	pauseOfCopy = 40 * time.Millisecond
)

// stateCopy is the state as a registry holds it.
type stateCopy struct {
	w       *world
	address string
	replica *statesync.Replica
	version clusterstate.Version
	fresh   time.Time // the begin of the last question that was answered by a current machine
}

const inTouchFor = 1500 * time.Millisecond // half of contact

func (c *stateCopy) inTouch() bool { return c.w.now.Sub(c.fresh) < inTouchFor }

func (w *world) beginCopies() {
	for i := range copyCount {
		c := &stateCopy{w: w, address: fmt.Sprint("edge-", i), replica: statesync.New()}
		c.replica.Log, c.replica.Peers = hclog.NewNullLogger(), peerrpc.NewPeers()
		c.replica.Took = func(s *clusterstate.State, _ clusterstate.Command, _ uint64, _ bool) {
			if s.Version < c.version {
				w.fail("%s goes back from %s to %s", c.address, c.version, s.Version)
			}
			c.version = s.Version
		}
		w.copies = append(w.copies, c)
		w.after(time.Second, c.ask)
	}
}

// ask asks a core machine for news, then again.
func (c *stateCopy) ask() {
	w, h := c.w, c.w.anyHost()
	begun, have, done := w.now, c.replica.Index(), false
	finish := func(n clusterstate.News, ok bool) {
		if done {
			return
		}
		done = true
		if ok {
			if c.replica.Take(n, begun) == statesync.All && n.Fresh {
				c.fresh = begun
			}
		}
		if c.replica.Index() < have {
			w.fail("%s goes back from entry %d to %d", c.address, have, c.replica.Index())
		}
		pause := pauseOfCopy
		if ok && n.Fresh {
			pause = holdFor
		}
		w.after(pause, c.ask)
	}
	w.carry(c.address, h.address, func() {
		if h.machine == nil {
			return
		}
		h.run(func() {
			news := h.machine.View.Since(have, w.now, w.now)
			w.checkFresh(h, news)
			w.carry(h.address, c.address, func() { finish(news, true) })
		})
	})
	w.after(newsWithin, func() { finish(clusterstate.News{}, false) })
}
