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
	copyCount       = 2
	longPollTimeout = 200 * time.Millisecond
	pollTimeout     = 850 * time.Millisecond
	pollPause       = 40 * time.Millisecond
)

// stateCopy is a simulated registry's replica of the cluster state, which polls the core machines.
type stateCopy struct {
	w           *world
	address     string
	replica     *statesync.Replica
	version     clusterstate.Version
	currentAsOf time.Time // start of the last poll that a current machine answered
}

const connectedTimeout = 1500 * time.Millisecond // half of bootconfig.Limits.Contact

// connected reports whether a current machine answered a recent poll.
func (c *stateCopy) connected() bool { return c.w.now.Sub(c.currentAsOf) < connectedTimeout }

func (w *world) startCopies() {
	for i := range copyCount {
		c := &stateCopy{w: w, address: fmt.Sprint("edge-", i), replica: statesync.New()}
		c.replica.Log, c.replica.Peers = hclog.NewNullLogger(), peerrpc.NewPeers()
		c.replica.Took = func(s *clusterstate.State, _ clusterstate.Command, _ uint64, _ bool) {
			if s.Version < c.version {
				w.fail("%s: configuration went back from %s to %s", c.address, c.version, s.Version)
			}
			c.version = s.Version
		}
		w.copies = append(w.copies, c)
		w.after(time.Second, c.poll)
	}
}

// poll asks a core machine for changes, applies them and repeats.
func (c *stateCopy) poll() {
	w, h := c.w, c.w.randomHost()
	started, index, done := w.now, c.replica.Index(), false
	finish := func(n clusterstate.News, ok bool) {
		if done {
			return
		}
		done = true
		if ok {
			if c.replica.Apply(n, started) == statesync.CoverageComplete && n.Fresh {
				c.currentAsOf = started
			}
		}
		if c.replica.Index() < index {
			w.fail("%s: index went back from %d to %d", c.address, index, c.replica.Index())
		}
		pause := pollPause
		if ok && n.Fresh {
			pause = longPollTimeout
		}
		w.after(pause, c.poll)
	}
	w.deliver(c.address, h.address, func() {
		if h.machine == nil {
			return
		}
		h.enqueue(func() {
			h.machine.View.NoteStateOf(index)
			news := h.machine.View.ChangesSince(index, w.now, w.now)
			w.checkFreshness(h, news)
			w.deliver(h.address, c.address, func() { finish(news, true) })
		})
	})
	w.after(pollTimeout, func() { finish(clusterstate.News{}, false) })
}
