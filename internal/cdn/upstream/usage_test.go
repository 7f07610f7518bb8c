package upstream

import (
	"net/http"
	"testing"

	"cedarmast/internal/exchange"

	"gotest.tools/v3/assert"
)

// countingUsageCounter is a UsageCounter that counts the calls of its methods.
type countingUsageCounter struct{ started, notRun int }

func (c *countingUsageCounter) CountAttempt(string) { c.started++ }
func (c *countingUsageCounter) UncountAttempt()     { c.notRun++ }

// An attempt that the server reports as not run, by its header or with status 421, is taken out of the tenant's usage again.
func TestNotRunAttemptIsUncounted(t *testing.T) {
	for _, c := range []struct {
		status int
		head   string
		not    int
	}{{200, stampHeader, 0}, {503, "Not-Delivered: 1\r\n", 1}, {421, "", 1}, {500, "", 0}} {
		address := fakeServer(t, func(_ int, r *http.Request, _ string) string {
			return rawResponse(c.status, r.Header.Get(HeaderRequestID), c.head, "x")
		})
		account := &countingUsageCounter{}
		o := &OriginRequest{ID: "try-1", UsageCounter: account, Permit: func() (string, error) { return "wax", nil }}
		attemptWith(t.Context(), NewSender(8, &exchange.Counters{}, testAnswers()), o, address, http.Header{"Host": {"a"}})
		assert.Equal(t, *account, countingUsageCounter{1, c.not}, "%d", c.status)
		assert.Equal(t, o.NeverRan(), c.not == 1, "%d", c.status)
	}
}
