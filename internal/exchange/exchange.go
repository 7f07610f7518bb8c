// Package exchange holds what a router keeps in memory: the exchanges in hand, the loop that owns the decisions,
// the servers' addresses, the pool of connections to them and the counters. It reads and writes no sockets.
package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"cedarmast/balance"
)

// Request is a client's request as the client side hands it over. It is not changed afterwards.
type Request struct {
	ID            string // the client's: new with every request
	Class, Tenant string
	Key           uint64
	HasKey        bool
	Write         bool
	Arrived       time.Time     // when its first byte was seen
	TimeLeft      time.Duration // how long the client waits from its sending; 0 if it did not say

	Method, Target string      // the request line's, unchanged
	Header         http.Header // end to end only
	Body           []byte
}

// Kind is the kind of a final answer.
type Kind int

// The kinds of final answer.
const (
	Served  Kind = iota // a server's answer, passed on whole
	Refused             // trying again is harmless
	Failed              // nothing is promised
)

// Answer is the one final answer of an exchange.
type Answer struct {
	Kind       Kind
	Header     http.Header   // end to end only, if served
	Body       []byte        // if served
	Rest       io.ReadCloser // if served: what follows the body of a long answer; nil if that is all
	Length     int64         // with Rest: of the body and what follows, in bytes; -1 if nobody tells
	RetryAfter time.Duration // advice, if refused
	TimedOut   bool          // if failed: nothing came in time
}

// Exchange is one client's request on its way: the one thing that client side and server side share. All but the
// answer belongs to the loop.
type Exchange struct {
	Request
	Due time.Time // the answer is out by then; set by Submit

	answer   chan Answer // holds one
	id       balance.RequestID
	attempts []*Attempt
	out      int // attempts without their outcome
	answered bool
}

// New returns the exchange of a request.
func New(r Request) *Exchange { return &Exchange{Request: r, answer: make(chan Answer, 1)} }

// Answer brings the final answer, once.
func (x *Exchange) Answer() <-chan Answer { return x.answer }

// Settle gives the final answer unless there is one. Only the one goroutine that decides calls it.
func (x *Exchange) Settle(a Answer) bool {
	if x.answered {
		return false
	}
	x.answered = true
	x.answer <- a
	return true
}

// let gives back what an answer holds that nobody has taken.
func (x *Exchange) let() {
	select {
	case a := <-x.answer:
		a.Let()
	default:
	}
}

// Let gives back what the answer holds.
func (a Answer) Let() {
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// ErrWithdrawn is the cause of an attempt's end when the router has stopped waiting for it.
var ErrWithdrawn = errors.New("withdrawn")

// Attempt is one send of an exchange to one server. Its context ends when the exchange is due or the attempt is
// withdrawn.
type Attempt struct {
	*Exchange
	Server  balance.ServerID
	Address string
	Context context.Context
	Connect time.Duration // that opening a connection for it took; set by the Sender before End

	number int
	sent   time.Time
	cancel context.CancelCauseFunc
	ended  atomic.Bool
	taken  bool // by the loop: its outcome has reached the decisions
	loop   *Loop
}

// Sent is when the attempt was decided on.
func (a *Attempt) Sent() time.Time { return a.sent }

// Reply is how an attempt ended.
type Reply struct {
	Result   balance.Result
	Fetching bool          // a miss behind another request's fetch of the key
	Header   http.Header   // with OK: end to end only
	Body     []byte        // with OK
	Err      error         // without OK: what went wrong, for the log
	Rest     io.ReadCloser // with OK: what follows, of a long answer; nil if Body is all
	Length   int64         // with Rest: of all; -1 if nobody tells
}

// End reports how the attempt ended. Only the first call counts: whatever races, an attempt has one outcome.
func (a *Attempt) End(r Reply) {
	if a.ended.CompareAndSwap(false, true) {
		a.cancel(nil)
		a.loop.post(ended{a, r})
	}
}
