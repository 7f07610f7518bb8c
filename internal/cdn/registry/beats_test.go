package registry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/departure"
	"cedarmast/internal/cdn/peerrpc"
	"cedarmast/internal/cdn/statesync"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A server's word that it leaves is acknowledged only once a majority has it, also where a later call of the same server has come already: that
// one may have failed. Here no config store answers. An older call that says nothing new is acknowledged.
func TestALateClosingIsNotTakenForGranted(t *testing.T) {
	w := &Registry{log: hclog.NewNullLogger(), peers: peerrpc.NewPeers(), beats: NewBeats(), replica: statesync.New(), callers: departure.NewLedger()}
	w.store = w.peers.At("127.0.0.1:1")
	cases := []struct {
		state  string
		beat   int
		status int
	}{
		{clusterstate.Closing, 7, http.StatusServiceUnavailable},
		{clusterstate.Closing, 6, http.StatusServiceUnavailable},
		{clusterstate.Open, 5, http.StatusOK},
	}
	for _, c := range cases {
		body := fmt.Sprintf(`{"id":"i-1","carrier":"shop","address":"10.0.0.9:80","zone":"a","edition":"v1","berths":4,"state":%q,"warmup":"0ms","postmark":%d}`, c.state, c.beat)
		answer := httptest.NewRecorder()
		w.accounted(w.calls()).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/servers/i-1", strings.NewReader(body)))
		assert.Equal(t, answer.Code, c.status, "%s %d: %s", c.state, c.beat, answer.Body)
	}
	assert.Equal(t, w.callers.Violations(), int64(0))
}
