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

// An attempt runs for the tenant that Permit returns, or is not sent. Permit is called before the attempt connects and again before
// its last byte is sent. An attempt that is not permitted has certainly not run and is reported so.
func TestPermits(t *testing.T) {
	errKeyRemoved := errors.New("the key is gone")
	type permitResult struct {
		tenant string
		err    error
	}
	cases := []struct {
		name     string
		results  []permitResult // returned by Permit, in order
		want     balance.Result
		received string // headers of the tenant and of the client as the server received them
		dials    int64
	}{
		{"no permission needed", nil, balance.OK, "Sender [me], Key [k-1]", 1},
		{"a route that needs no key", []permitResult{{"", nil}, {"", nil}}, balance.OK, "Sender [me], Key [k-1]", 1},
		{"a tenant", []permitResult{{"wax", nil}, {"wax", nil}}, balance.OK, "Sender [wax], Key []", 1},
		{"refused before it connects", []permitResult{{"", errKeyRemoved}}, balance.NeverSent, "", 0},
		{"refused before its last byte is sent", []permitResult{{"wax", nil}, {"", errKeyRemoved}}, balance.NeverSent, "", 1},
		{"key moved before its last byte is sent", []permitResult{{"wax", nil}, {"ink", nil}}, balance.NeverSent, "", 1},
		{"no tenant before its last byte is sent", []permitResult{{"wax", nil}, {"", nil}}, balance.NeverSent, "", 1},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			t.Run(c.name+map[bool]string{true: ", once only"}[once], func(t *testing.T) {
				received := ""
				address := fakeServer(t, func(_ int, r *http.Request, _ string) string {
					received = "Sender [" + strings.Join(r.Header["Sender"], " ") + "], Key [" + strings.Join(r.Header["Key"], " ") + "]"
					return rawResponse(200, r.Header.Get(HeaderRequestID), stampHeader, "fine")
				})
				s, calls := NewSender(8, &exchange.Counters{}, testAnswers()), 0
				o := &OriginRequest{ID: "try-1", OnceOnly: once}
				if c.results != nil {
					o.Permit = func() (string, error) {
						calls++
						return c.results[calls-1].tenant, c.results[calls-1].err
					}
				}
				got := attemptWith(t.Context(), s, o, address, http.Header{"Host": {"a"}, "Sender": {"me"}, "Key": {"k-1"}})
				assert.Equal(t, got.Result, c.want, "%v", got.Err)
				assert.Equal(t, received, c.received)
				assert.Equal(t, calls, len(c.results))
				assert.Equal(t, o.SentCount() > 0, c.want == balance.OK)
				assert.Equal(t, s.Counters.Dials.Load(), c.dials)
				assert.Equal(t, s.Counters.ServerConnections.Load(), s.Counters.IdleConnections.Load(), "slots of the pool are released")
			})
		}
	}
}
