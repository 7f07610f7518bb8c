package configstore

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/peerrpc"
)

// This file brings questions to the leader, from whichever core machine they came to.

const askLeaderWithin = 800 * time.Millisecond

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

// askLeader asks the leader, here or there, again and again until one of the two says that it is done or the time is over. An error says that
// nothing was begun.
func (s *Store) askLeader(ctx context.Context, forwarded bool, here func() bool, there func(*peerrpc.Peer) bool) (done bool, err error) {
	due, bounded := ctx.Deadline()
	if !bounded {
		due = time.Now().Add(askLeaderWithin)
	}
	q := NewQuestion(forwarded, due)
	for {
		leads, at := s.whereLeader(ctx)
		move := q.Led(time.Now(), leads, at)
		switch move.Kind {
		case AskHere:
			clear := here()
			move = q.Answered(time.Now(), clear)
		case AskThere:
			clear := there(s.peers.At(move.To))
			move = q.Answered(time.Now(), clear)
		}
		if !move.Ends() {
			move = pauseBefore(ctx, q, move)
		}
		switch move.Kind {
		case EndAnswered:
			return true, nil
		case EndUnclear:
			return false, nil
		case EndNotBegun:
			return false, errNoLeader
		}
	}
}

// pauseBefore waits before a question is asked again; it ends with its context.
func pauseBefore(ctx context.Context, q *Question, next Move) Move {
	select {
	case <-ctx.Done():
		return q.End()
	case <-time.After(next.After):
		return next
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
