package peerrpc

import (
	"errors"
	"time"
)

// This file tells a peer that works for long from one that is gone. A machine without power or behind a cut says nothing at all, and a call
// that may take seconds would wait for it to its end: while a watched call is out and its connection brings nothing, the peer is asked for a
// word; one that has none is taken for gone, and all calls under way to it fail at once.

const (
	listenFor  = 300 * time.Millisecond // without a byte, then the peer is asked
	answerIn   = 400 * time.Millisecond // and without one for so long after that it is gone; a fifth of a core may be away for a tenth of a second
	watchEvery = 100 * time.Millisecond
	slowDial   = 150 * time.Millisecond // a dial that fails after so long got no word
	dialPause  = 250 * time.Millisecond // after such a one nobody dials for so long
)

// ErrGone is the cause where a peer was found gone while a call was under way: it may have been carried out.
var ErrGone = errors.New("the peer is gone")

// liveness is what a watch thinks of a peer. Its one function for changes is turn.
type liveness struct {
	asked time.Time // when it was asked for a word; zero: it was not
}

// turn takes the time at which the connection last brought a byte, and tells whether to ask the peer now, or that it is gone.
func (l *liveness) turn(now, heard time.Time) (ask, gone bool) {
	switch {
	case !l.asked.IsZero() && heard.After(l.asked), now.Sub(heard) < listenFor:
		l.asked = time.Time{}
	case l.asked.IsZero():
		l.asked = now
		return true, false
	case now.Sub(l.asked) >= answerIn:
		return false, true
	}
	return false, false
}

// start is what the times of a connection's bytes are counted from, by the steady clock.
var start = time.Now()

func sinceStart() int64 { return int64(time.Since(start)) }

// watch looks after a link while watched calls are out on it.
func (p *Peer) watch(k *link) {
	var l liveness
	turn := time.NewTicker(watchEvery)
	defer turn.Stop()
	begun := time.Now()
	for now := range turn.C {
		p.mu.Lock()
		if k.watched == 0 {
			k.watching = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		heard := start.Add(time.Duration(k.conn.heard.Load()))
		if heard.Before(begun) {
			heard = begun
		}
		switch ask, gone := l.turn(now, heard); {
		case ask:
			k.client.Go(wordCall, new(bool), new(bool), nil)
		case gone:
			k.gone.Store(true)
			p.drop(k)
		}
	}
}
