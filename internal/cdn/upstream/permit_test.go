package upstream

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"cedarmast/balance"
	"cedarmast/internal/exchange"

	"gotest.tools/v3/assert"
)

// An attempt runs for the tenant that its permit names, or does not leave: the permit is asked before it connects, and again before its last
// byte may leave. What is not let go has surely not run, and is told so.
func TestPermits(t *testing.T) {
	errGone := errors.New("the key is gone")
	type word struct {
		sender string
		err    error
	}
	cases := []struct {
		name  string
		words []word // of the permit, in order
		want  balance.Result
		shown string // of the tenant and of the client's own words, at a server that ran it
		dials int64
	}{
		{"nobody need be asked", nil, balance.OK, "Sender [me], Key [k-1]", 1},
		{"a route that needs no key", []word{{"", nil}, {"", nil}}, balance.OK, "Sender [me], Key [k-1]", 1},
		{"a tenant", []word{{"wax", nil}, {"wax", nil}}, balance.OK, "Sender [wax], Key []", 1},
		{"refused before it connects", []word{{"", errGone}}, balance.Moot, "", 0},
		{"refused before its last byte leaves", []word{{"wax", nil}, {"", errGone}}, balance.Moot, "", 1},
		{"moved before its last byte leaves", []word{{"wax", nil}, {"ink", nil}}, balance.Moot, "", 1},
		{"without a key before its last byte leaves", []word{{"wax", nil}, {"", nil}}, balance.Moot, "", 1},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			t.Run(c.name+map[bool]string{true: ", once only"}[once], func(t *testing.T) {
				shown := ""
				address := server(t, func(_ int, r *http.Request, _ string) string {
					shown = "Sender [" + strings.Join(r.Header["Sender"], " ") + "], Key [" + strings.Join(r.Header["Key"], " ") + "]"
					return text(200, r.Header.Get(HeaderID), stamp, "fine")
				})
				s, asked := NewSender(8, &exchange.Counters{}), 0
				o := &Order{ID: "try-1", OnceOnly: once, Stamped: true}
				if c.words != nil {
					o.Permit = func() (string, error) {
						asked++
						return c.words[asked-1].sender, c.words[asked-1].err
					}
				}
				got := attemptWith(t.Context(), s, o, address, http.Header{"Host": {"a"}, "Sender": {"me"}, "Key": {"k-1"}})
				assert.Equal(t, got.Result, c.want, "%v", got.Err)
				assert.Equal(t, shown, c.shown)
				assert.Equal(t, asked, len(c.words))
				assert.Equal(t, o.Sent() > 0, c.want == balance.OK)
				assert.Equal(t, s.Counts.Dials.Load(), c.dials)
				assert.Equal(t, s.Counts.ServerConnections.Load(), s.Counts.IdleConnections.Load(), "room is given back")
			})
		}
	}
}
