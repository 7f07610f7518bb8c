package upstream

import (
	"net/http"
	"testing"

	"cedarmast/internal/exchange"

	"gotest.tools/v3/assert"
)

// counted is an account that notes what it hears.
type counted struct{ begun, not int }

func (c *counted) Begun(string) { c.begun++ }
func (c *counted) NotRun()      { c.not++ }

// What a server says not to have run is taken out of the account again.
func TestWhatWasNotRunIsTakenOut(t *testing.T) {
	for _, c := range []struct {
		status int
		head   string
		not    int
	}{{200, stamp, 0}, {503, "Not-Delivered: 1\r\n", 1}, {421, "", 1}, {500, "", 0}} {
		address := server(t, func(_ int, r *http.Request, _ string) string {
			return text(c.status, r.Header.Get(HeaderID), c.head, "x")
		})
		account := &counted{}
		o := &Order{ID: "try-1", Account: account, Permit: func() (string, error) { return "wax", nil }}
		attemptWith(t.Context(), NewSender(8, &exchange.Counters{}), o, address, http.Header{"Host": {"a"}})
		assert.Equal(t, *account, counted{1, c.not}, "%d", c.status)
		assert.Equal(t, o.SurelyNotRun(), c.not == 1, "%d", c.status)
	}
}
