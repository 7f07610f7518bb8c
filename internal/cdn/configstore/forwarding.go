package configstore

import (
	"context"
	"sync"
	"time"

	"cedarmast/internal/cdn/peerrpc"
)

// Requests that any core machine accepts and passes to the leader, and batching of read barriers.

const defaultLeaderTimeout = 800 * time.Millisecond

// remainingMS returns the time until the deadline of a context in milliseconds, at least 1. Without a
// deadline it returns defaultLeaderTimeout.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultLeaderTimeout.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// callLoop sends a request to the loop goroutine and waits for its reply.
func callLoop[T any](ctx context.Context, s *Store, queue chan<- loopRequest[T], data []byte) (reply T, err error) {
	result := make(chan T, 1)
	select {
	case queue <- loopRequest[T]{data, func(r T) { result <- r }}:
	case <-ctx.Done():
		return reply, ctx.Err()
	}
	select {
	case reply = <-result:
		return reply, nil
	case <-s.done:
		return reply, errNoLeader
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}

// callLeader passes a request to the leader, by calling local if this machine leads and remote if another one does. It retries
// until one of the two returns true or the deadline is over. An error means that the request was never sent; false
// without an error means that its outcome is unknown.
func (s *Store) callLeader(ctx context.Context, forwarded bool, local func() bool, remote func(*peerrpc.Peer) bool) (done bool, err error) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = time.Now().Add(defaultLeaderTimeout)
	}
	request := NewLeaderRequest(forwarded, deadline)
	for {
		isLeader, address := s.waitForLeader(ctx)
		step := request.OnLeader(time.Now(), isLeader, address)
		switch step.Kind {
		case HandleLocally:
			known := local()
			step = request.OnReply(time.Now(), known)
		case ForwardToLeader:
			known := remote(s.peers.At(step.To))
			step = request.OnReply(time.Now(), known)
		}
		if !step.IsFinal() {
			step = waitBefore(ctx, request, step)
		}
		switch step.Kind {
		case EndAnswered:
			return true, nil
		case EndUnknown:
			return false, nil
		case EndNotSent:
			return false, errNoLeader
		}
	}
}

// waitBefore waits for the delay of the next step; it ends the request if the context is done first.
func waitBefore(ctx context.Context, request *LeaderRequest, next Step) Step {
	select {
	case <-ctx.Done():
		return request.Abandon()
	case <-time.After(next.After):
		return next
	}
}

// waitForLeader waits until a leader is known or the context is done. It returns whether this machine leads, otherwise the
// address of the leader, empty if none is known.
func (s *Store) waitForLeader(ctx context.Context) (isLeader bool, address string) {
	s.view.waitUntil(ctx, func() bool {
		isLeader, address = s.view.position.isLeader, s.view.position.leader
		return isLeader || address != ""
	})
	return isLeader, address
}

// barrierBatcher runs one barrier for all callers that have arrived since the last one began.
type barrierBatcher struct {
	mu      sync.Mutex
	running bool
	waiting []chan barrierResult
}

// barrierResult is the result of a barrier for one caller.
type barrierResult struct {
	index uint64
	err   error
}

// wait waits for a barrier that begins after the call, or for the end of the context. runBarrier performs the barrier.
func (b *barrierBatcher) wait(ctx context.Context, runBarrier func() (uint64, error)) (uint64, error) {
	result := make(chan barrierResult, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, result)
	first := !b.running
	b.running = true
	b.mu.Unlock()
	if first {
		go b.serve(runBarrier)
	}
	select {
	case got := <-result:
		return got.index, got.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// serve runs barriers one after the other as long as callers are waiting.
func (b *barrierBatcher) serve(runBarrier func() (uint64, error)) {
	for {
		b.mu.Lock()
		waiting := b.waiting
		if b.waiting = nil; len(waiting) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		index, err := runBarrier()
		for _, result := range waiting {
			result <- barrierResult{index, err}
		}
	}
}
