// Package exchange holds a router's in-memory state: the requests in progress, the event loop that owns the balancer,
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

// Request is a client's request as the client-facing side hands it over. It is not modified afterwards.
type Request struct {
	ID            string // chosen by the client, unique for every request
	Class, Tenant string
	Key           uint64
	HasKey        bool
	Write         bool
	Arrived       time.Time     // when its first byte was received
	Timeout       time.Duration // how long the client waits, counted from sending the request; 0 if it did not say

	Method, Target string      // from the request line, unchanged
	Header         http.Header // end-to-end headers only
	Body           []byte
}

// Kind is the kind of a final answer to the client.
type Kind int

// The kinds of final answer.
const (
	Served  Kind = iota // a server's answer, forwarded completely
	Refused             // a retry by the client is harmless
	Failed              // no promise: the request may have run, and a retry may run it again
)

// Answer is the final answer of an exchange; each exchange has exactly one.
type Answer struct {
	Kind       Kind
	Header     http.Header   // end-to-end headers only, if served
	Body       []byte        // if served
	Rest       io.ReadCloser // if served: the remainder of a long answer after Body; nil if Body is complete
	Length     int64         // with Rest: length of Body and Rest together, in bytes; -1 if unknown
	RetryAfter time.Duration // if refused: when the client is advised to retry
	TimedOut   bool          // if failed: no answer arrived before the deadline
}

// Exchange is a client's request in progress. It is the only state that the client-facing and the server-facing side share.
// Everything except the answer channel is owned by the loop.
type Exchange struct {
	Request
	Deadline time.Time // deadline of the answer; set by Submit

	answer    chan Answer // buffered, capacity 1
	requestID balance.RequestID
	attempts  []*Attempt
	inFlight  int // number of attempts whose outcome the loop has not processed yet
	answered  bool
}

// New returns a new exchange for a request.
func New(r Request) *Exchange { return &Exchange{Request: r, answer: make(chan Answer, 1)} }

// Answer returns the channel that delivers the final answer, once.
func (x *Exchange) Answer() <-chan Answer { return x.answer }

// SetAnswer sets the final answer and reports whether it was the first; later answers are ignored. Only the loop's goroutine may call it.
func (x *Exchange) SetAnswer(a Answer) bool {
	if x.answered {
		return false
	}
	x.answered = true
	x.answer <- a
	return true
}

// releaseUnreadAnswer releases the resources of an answer that the client side has not received.
func (x *Exchange) releaseUnreadAnswer() {
	select {
	case a := <-x.answer:
		a.Release()
	default:
	}
}

// Release releases the answer's resources: it closes Rest.
func (a Answer) Release() {
	if a.Rest != nil {
		a.Rest.Close()
	}
}

// ErrAttemptCancelled is the cancellation cause of an attempt whose result the router no longer needs.
var ErrAttemptCancelled = errors.New("withdrawn")

// Attempt is one send of an exchange to one server. Its context ends at the exchange's deadline or when the attempt is
// cancelled.
type Attempt struct {
	*Exchange
	Server      balance.ServerID
	Address     string
	Context     context.Context
	ConnectTime time.Duration // time spent opening a connection for it; set by the Sender before Finish

	number         int
	sent           time.Time
	cancel         context.CancelCauseFunc
	ended          atomic.Bool
	outcomeApplied bool // the loop has passed its outcome to the balancer
	loop           *Loop
}

// SentAt returns the time at which the loop started the attempt.
func (a *Attempt) SentAt() time.Time { return a.sent }

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Result       balance.Result
	FetchPending bool          // a cache miss while the server waits for another request's fetch of the same key
	Header       http.Header   // with OK: end-to-end headers only
	Body         []byte        // with OK
	Err          error         // without OK: the cause, for the log
	Rest         io.ReadCloser // with OK: the remainder of a long answer after Body; nil if Body is complete
	Length       int64         // with Rest: length of Body and Rest together, in bytes; -1 if unknown
}

// Finish reports the attempt's result. Only the first call has an effect, so that an attempt has exactly one outcome when an answer,
// a timeout and a cancellation race.
func (a *Attempt) Finish(r AttemptResult) {
	if a.ended.CompareAndSwap(false, true) {
		a.cancel(nil)
		a.loop.post(attemptEnded{a, r})
	}
}
