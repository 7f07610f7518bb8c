package configstore

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/peerrpc"
)

// This file brings questions to the leader, from whichever core machine they came to.

const (
	askLeaderWithin = 800 * time.Millisecond
	askLeaderAgain  = 25 * time.Millisecond
)

// left is how much of a context's time is left, in milliseconds.
func left(ctx context.Context) int64 {
	until, ok := ctx.Deadline()
	if !ok {
		return askLeaderWithin.Milliseconds()
	}
	return max(time.Until(until).Milliseconds(), 1)
}

// askLoop brings a question to the loop and waits for its reply.
func askLoop[T any](ctx context.Context, s *Store, questions chan<- asked[T], data []byte) (reply T, err error) {
	answer := make(chan T, 1)
	select {
	case questions <- asked[T]{data, func(r T) { answer <- r }}:
	case <-ctx.Done():
		return reply, ctx.Err()
	}
	select {
	case reply = <-answer:
		return reply, nil
	case <-s.done:
		return reply, errNoLeader
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}

// askLeader asks the leader, here or there, again and again until one of the two says that it is done or the time is over. A
// question that was forwarded is asked here once and goes no further. An error says that nothing was begun.
func (s *Store) askLeader(ctx context.Context, forwarded bool, here func() bool, there func(*peerrpc.Peer) bool) (done bool, err error) {
	begun := false
	for {
		leads, at := s.whereLeader(ctx)
		switch {
		case leads:
			begun = true
			done = here()
		case forwarded:
			return false, errNoLeader
		case at != "":
			begun = true
			done = there(s.peers.At(at))
		}
		if done || forwarded {
			return done, nil
		}
		select {
		case <-ctx.Done():
			if begun {
				return false, nil // in the log, perhaps
			}
			return false, errNoLeader
		case <-time.After(askLeaderAgain):
		}
	}
}

// whereLeader waits for a leader: here, or at an address.
func (s *Store) whereLeader(ctx context.Context) (here bool, at string) {
	s.view.wait(ctx, func() bool {
		here, at = s.view.position.leads, s.view.position.leader
		return here || at != ""
	})
	return here, at
}

// gather runs one barrier for all who have asked since the last one began.
type gather struct {
	mu      sync.Mutex
	running bool
	waiting []chan gathered
}

type gathered struct {
	index uint64
	err   error
}

func (g *gather) ask(ctx context.Context, run func() (uint64, error)) (uint64, error) {
	mine := make(chan gathered, 1)
	g.mu.Lock()
	g.waiting = append(g.waiting, mine)
	first := !g.running
	g.running = true
	g.mu.Unlock()
	if first {
		go g.serve(run)
	}
	select {
	case got := <-mine:
		return got.index, got.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (g *gather) serve(run func() (uint64, error)) {
	for {
		g.mu.Lock()
		all := g.waiting
		if g.waiting = nil; len(all) == 0 {
			g.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		index, err := run()
		for _, w := range all {
			w <- gathered{index, err}
		}
	}
}
