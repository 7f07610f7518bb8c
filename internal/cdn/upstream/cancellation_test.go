package upstream

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cedarmast/balance"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/exchange"

	"gotest.tools/v3/assert"
)

// attemptAt makes one attempt of an order at a server, without decisions.
func attemptAt(ctx context.Context, s *Sender, o *Order, address string) exchange.Reply {
	return attemptWith(ctx, s, o, address, http.Header{"Host": {"a"}})
}

// attemptWith is attemptAt with a head.
func attemptWith(ctx context.Context, s *Sender, o *Order, address string, head http.Header) exchange.Reply {
	due := time.Now().Add(3 * time.Second)
	x := exchange.New(exchange.Request{ID: o.ID, Method: "POST", Target: "/x", Header: head, Body: []byte("hello")})
	x.Due = due
	ctx, done := context.WithDeadline(ctx, due)
	defer done()
	return s.attempt(&exchange.Attempt{Exchange: x, Server: "i-1", Address: address, Context: ctx}, o)
}

// What becomes of an attempt whose caller leaves or that is withdrawn, by the moment and by the kind of request: nothing is sent after a leave,
// what may be repeated is broken off, what may run once or becomes a copy is finished, the server is not blamed, and a connection whose answer
// is not out of it is not used again.
func TestEveryMomentOfALeave(t *testing.T) {
	type kind struct{ once, keep bool }
	safe, once, copied := kind{}, kind{once: true}, kind{keep: true}
	const before, atWork, withdrawn = "before it is sent", "while the server works", "withdrawn while the server works"
	cases := []struct {
		kind   kind
		moment string
		want   balance.Result
		ran    int
		idle   int64 // connections that lie idle afterwards
	}{
		{safe, before, balance.Moot, 0, 0},
		{once, before, balance.Moot, 0, 0},
		{copied, before, balance.Moot, 0, 0},
		{safe, atWork, balance.Cancelled, 1, 0},
		{once, atWork, balance.OK, 1, 1},
		{copied, atWork, balance.OK, 1, 1},
		{safe, withdrawn, balance.Cancelled, 1, 0},
		{once, withdrawn, balance.OK, 1, 1},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%+v %s", c.kind, c.moment), func(t *testing.T) {
			ledger := departure.NewLedger()
			client, leave := context.WithCancel(t.Context())
			defer leave()
			attempt, withdraw := context.WithCancelCause(t.Context())
			defer withdraw(nil)
			ran, answer := 0, make(chan struct{})
			address := server(t, func(_ int, r *http.Request, _ string) string {
				ran++
				if c.moment == withdrawn {
					withdraw(exchange.ErrWithdrawn)
				} else {
					leave()
				}
				if c.want == balance.OK {
					return text(200, r.Header.Get(HeaderID), stamp, "fine")
				}
				<-answer // nothing comes until the attempt has ended
				return ""
			})
			s := NewSender(8, &exchange.Counters{})
			o := &Order{ID: "try-1", OnceOnly: c.kind.once, Keep: c.kind.keep, Stamped: true, Caller: ledger.Open(client, departure.Client, "r")}
			if c.moment == before {
				leave()
			}
			got := attemptAt(attempt, s, o, address)
			close(answer)
			o.Caller.Close()
			assert.Equal(t, got.Result, c.want, "%v", got.Err)
			assert.Equal(t, ran, c.ran)
			assert.Equal(t, o.Sent(), c.ran)
			assert.Equal(t, s.Counts.IdleConnections.Load(), c.idle)
			assert.Equal(t, s.Counts.ServerConnections.Load(), c.idle, "room is given back once")
			assert.Equal(t, ledger.Violations(), int64(0))
		})
	}
}

// A caller that leaves while its attempt waits for room among the connections waits no longer, and takes none.
func TestALeaveWhileWaitingForRoom(t *testing.T) {
	s := NewSender(1, &exchange.Counters{})
	_, err := s.Pool.Get(t.Context(), "i-1", "127.0.0.1:1", false, time.Second) // the only room
	assert.NilError(t, err)
	client, leave := context.WithCancel(t.Context())
	caller := departure.NewLedger().Open(client, departure.Client, "r")
	ended := make(chan exchange.Reply, 1)
	go func() { ended <- attemptAt(t.Context(), s, &Order{ID: "try-1", Caller: caller}, "127.0.0.1:1") }()
	leave()
	begun := time.Now()
	got := <-ended
	assert.Equal(t, got.Result, balance.Moot)
	assert.Assert(t, time.Since(begun) < connectWithin/2)
	s.Pool.Release()
	assert.Equal(t, s.Counts.ServerConnections.Load(), int64(0))
}
